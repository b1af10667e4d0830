package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// expectResponses reads n responses, each of which has to be 200.
func expectResponses(t *testing.T, in *bufio.Reader, n int) {
	t.Helper()
	for i := range n {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("response %d: %+v, %v", i+1, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}

// Above the keep-alive limit a connection with pipelined requests is closed only after the last response.
func TestPipeline_overKeepAliveLimit(t *testing.T) {
	const requests = 5
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	s.clients.SetKeepAliveLimit(0) // every connection exceeds it
	for name, body := range map[string]string{"no bodies": "", "bodies": "abc"} {
		t.Run(name, func(t *testing.T) {
			c := s.dial(t)
			defer c.Close()
			request := sidecartest.RequestText("1", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
			if _, err := io.WriteString(c, strings.Repeat(request, requests)); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(c)
			expectResponses(t, in, requests)
			if _, err := io.WriteString(c, request); err != nil { // not pipelined
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != 200 || !resp.Close {
				t.Errorf("%+v, %v, want a response that closes the connection", resp, err)
			}
		})
	}
}

// All pipelined requests that were read before the drain get their response before the connection is closed.
func TestPipeline_drain(t *testing.T) {
	respond := sidecartest.NewBarrier()
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		respond.Pass()
		return sidecartest.OK(c, r, body)
	})
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	t.Cleanup(respond.Release)
	c := s.dial(t)
	defer c.Close()
	const requests = 3
	if _, err := io.WriteString(c, strings.Repeat(sidecartest.RequestText("1", "", ""), requests)); err != nil {
		t.Fatal(err)
	}
	respond.WaitFor(t, 1)
	s.term()
	sidecartest.Until(t, "the drain to start", s.clients.Draining)
	respond.Release()
	in := bufio.NewReader(c)
	expectResponses(t, in, requests)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v, want io.EOF", err)
	}
}

// Malformed bytes behind a request get an error response after the response to that request.
func TestPipeline_malformedNext(t *testing.T) {
	for name, test := range map[string]struct {
		next string
		want int
	}{
		"no request":   {"no request\r\n\r\n", http.StatusBadRequest},
		"no id":        {"GET /api HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusBadRequest},
		"endless head": {"GET /api HTTP/1.1\r\nX: " + strings.Repeat("x", 3*framing.MaxHeader), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			respond := sidecartest.NewBarrier()
			b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				respond.Pass()
				return sidecartest.OK(c, r, body)
			})
			s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
			t.Cleanup(respond.Release)
			client := s.newLeavingClient(t, "lookup", "HTTP/1.1", "", "")
			respond.WaitFor(t, 1)
			if _, err := io.WriteString(client, test.next); err != nil {
				t.Fatal(err)
			}
			sidecartest.Until(t, "the next bytes to arrive", func() bool { _, unread := netcall.Peek(client.accepted.Conn); return unread })
			respond.Release()
			in := bufio.NewReader(client)
			for _, want := range []int{200, test.want} {
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != want {
					t.Fatalf("%+v, %v, want %d", resp, err, want)
				}
				io.Copy(io.Discard, resp.Body)
			}
			if more, _ := io.ReadAll(in); len(more) > 0 { // the close may be a reset
				t.Errorf("%q after the last response", more)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("%d requests reached the server", n)
			}
		})
	}
}
