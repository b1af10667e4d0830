package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/sidecartest"
)

// improperDeadline is the time within which a request that is not proper gets an error or a close.
const improperDeadline = 3 * time.Second

// improperBodies returns a text for each framing: header lines, an empty line and the body.
func improperBodies() map[string]string {
	long := strings.Repeat("x", 6<<10)
	return map[string]string{
		"no body":        "\r\n",
		"length":         "Content-Length: 9\r\n\r\nparcel 17",
		"long":           fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long),
		"chunked":        "Transfer-Encoding: chunked\r\n\r\n9\r\nparcel 17\r\n0\r\n\r\n",
		"expect":         "Expect: 100-continue\r\nContent-Length: 9\r\n\r\nparcel 17",
		"unknown expect": "Expect: 200-ok\r\nContent-Length: 9\r\n\r\nparcel 17",
	}
}

// readFinal reads responses until one that is not informational, and returns its status. It returns 0 if the connection
// is closed.
func readFinal(t *testing.T, in *bufio.Reader, method string) int {
	t.Helper()
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("neither a response nor a close in time")
		}
		if err != nil {
			return 0
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode >= 200 {
			return resp.StatusCode
		}
	}
}

// Guards against a success that no server has given: a library below the handler answers OPTIONS * by itself.
func TestImproperRequests_noSuccessWithoutServer(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	proper := sidecartest.RequestText("1", "Content-Length: 2\r\n", "ab")
	headers := strings.SplitAfterN(strings.SplitN(proper, "Content-Length", 2)[0], "\r\n", 2)[1]
	check := func(t *testing.T, method, target, request string, before int) {
		t.Helper()
		conn := s.dial(t)
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(improperDeadline))
		ran := b.Requests.Load()
		if _, err := io.WriteString(conn, strings.Repeat(proper, before)+request); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(conn)
		expectResponses(t, in, before)
		status := readFinal(t, in, method)
		isReadyCheck := target == clientserver.ReadyPath && slices.Contains([]string{"GET", "HEAD"}, method)
		if status >= 200 && status < 300 && b.Requests.Load() == ran+int64(before) && !isReadyCheck {
			t.Fatalf("behind %d requests: %.60q got %d, and no server had it", before, request, status)
		}
	}
	for _, method := range []string{"OPTIONS", "options", "GET", "HEAD", "POST", "CONNECT", "TRACE", "PRI"} {
		for _, target := range []string{"*", "/*", "/api", "//api", clientserver.ReadyPath, "http://h", "http://h/api", "h:80"} {
			t.Run(method+" "+target, func(t *testing.T) {
				for _, version := range []string{"HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "HTTP/1.9"} {
					for _, body := range improperBodies() {
						request := fmt.Sprintf("%s %s %s\r\n%s%s", method, target, version, headers, body)
						check(t, method, target, request, 0)
						check(t, method, target, request, 1)
					}
				}
			})
		}
	}
	t.Run("before a proper request", func(t *testing.T) {
		conn := s.dial(t)
		defer conn.Close()
		if _, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\n"+headers+"\r\n"+proper); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(conn)
		if status := readFinal(t, in, "OPTIONS"); status != http.StatusNotFound {
			t.Errorf("status %d, want %d", status, http.StatusNotFound)
		}
		expectResponses(t, in, 1)
	})
	t.Run("while draining", func(t *testing.T) {
		s.clients.StartDraining()
		check(t, "OPTIONS", "*", "OPTIONS * HTTP/1.1\r\n"+headers+"\r\n", 0)
	})
}

// Guards against a success for the platform that the sidecar's handler has not given.
func TestManagement_generalOptions(t *testing.T) {
	s := start(t, configtest.WithManagement(configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr())))
	general := &http.Request{Method: http.MethodOptions, URL: &url.URL{Scheme: "http", Host: s.ManagementAddr(), Opaque: "*"}}
	if got := s.do(general); got.status != http.StatusNotFound {
		t.Errorf("%+v, want status %d", got, http.StatusNotFound)
	}
}
