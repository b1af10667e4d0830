package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// If all headers agree on where a request ends it ends there, and otherwise it gets an error. Bytes of a body are never
// taken for a request (request smuggling).
func TestFraming_requests(t *testing.T) {
	inner := sidecartest.RequestText("inner", "Content-Length: 0\r\n", "")
	http10 := func(s string) string { return strings.Replace(s, "HTTP/1.1", "HTTP/1.0", 1) }
	for name, test := range map[string]struct {
		bytes  string
		status []int  // of the responses, in order
		bodies string // bodies that reach the server, each in brackets
		closed bool
	}{
		"length":          {sidecartest.RequestText("1", "Content-Length: 3\r\n", "abc"), []int{200}, "[abc]", false},
		"chunks":          {sidecartest.RequestText("1", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"), []int{200}, "[abc]", false},
		"chunks and tail": {sidecartest.RequestText("1", "Transfer-Encoding: chunked\r\nTrailer: X-A\r\n", "3\r\nabc\r\n0\r\nX-A: b\r\n\r\n"), []int{200}, "[abc]", false},
		"no body":         {sidecartest.RequestText("1", "", ""), []int{200}, "[]", false},
		"one length, twice": {
			sidecartest.RequestText("1", "Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), []int{200}, "[abc]", false,
		},
		"a request as body": {
			sidecartest.RequestText("1", "Content-Length: "+strconv.Itoa(len(inner))+"\r\n", inner), []int{200}, "[" + inner + "]", false,
		},
		"pipelined": {
			sidecartest.RequestText("1", "Content-Length: 3\r\n", "abc") + sidecartest.RequestText("2", "Content-Length: 2\r\n", "de"),
			[]int{200, 200}, "[abc][de]", false,
		},
		"length, then chunks": {
			sidecartest.RequestText("1", "Content-Length: "+strconv.Itoa(5+len(inner))+"\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+inner),
			[]int{400}, "", true,
		},
		"chunks, then length": {
			sidecartest.RequestText("1", "transfer-encoding: chunked\r\ncontent-length: "+strconv.Itoa(5+len(inner))+"\r\n", "0\r\n\r\n"+inner),
			[]int{400}, "", true,
		},
		"both behind another": {
			sidecartest.RequestText("0", "Content-Length: 3\r\n", "abc") +
				sidecartest.RequestText("1", "Transfer-Encoding: chunked\r\nContent-Length: "+strconv.Itoa(5+len(inner))+"\r\n", "0\r\n\r\n"+inner),
			[]int{200, 400}, "[abc]", true,
		},
		"both, bare line feeds": {
			strings.ReplaceAll(sidecartest.RequestText("1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", ""), "\r\n", "\n") + "0\r\n\r\n" + inner,
			[]int{400}, "", true,
		},
		"both by HTTP/1.0": {
			http10(sidecartest.RequestText("1", "Connection: keep-alive\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+inner)),
			[]int{400}, "", true,
		},
		"two lengths":         {sidecartest.RequestText("1", "Content-Length: 3\r\nContent-Length: 4\r\n", "abc"+inner), []int{400}, "", true},
		"length not a number": {sidecartest.RequestText("1", "Content-Length: ten\r\n", "abc"+inner), []int{400}, "", true},
		"length negative":     {sidecartest.RequestText("1", "Content-Length: -3\r\n", "abc"+inner), []int{400}, "", true},
		"other coding":        {sidecartest.RequestText("1", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"+inner), []int{501}, "", true},
		"malformed chunk":     {sidecartest.RequestText("1", "Transfer-Encoding: chunked\r\n", "zz\r\n"+inner), []int{400}, "", true},
		"oversized": {
			sidecartest.RequestText("1", "Content-Length: "+strconv.Itoa(inflight.MaxBody+1+len(inner))+"\r\n", strings.Repeat("x", inflight.MaxBody+1)+inner),
			[]int{413}, "", true,
		},
		"behind a malformed one": {
			strings.Replace(inner, "X-Request-ID: inner\r\n", "", 1) + inner, []int{400}, "", true,
		},
		"GET with a body": {
			strings.NewReplacer("POST", "GET", "charge", "lookup").Replace(sidecartest.RequestText("1", "Content-Length: "+strconv.Itoa(len(inner))+"\r\n", "")) + inner,
			[]int{400}, "", true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			bodies := ""
			b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				mu.Lock()
				bodies += "[" + body + "]"
				mu.Unlock()
				return sidecartest.OK(c, r, body)
			})
			s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
			conn := s.dial(t)
			defer conn.Close()
			if _, err := io.WriteString(conn, test.bytes); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(conn)
			closed := false
			for _, want := range test.status {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				if closed = resp.Close; resp.StatusCode != want {
					t.Errorf("status %d, want %d", resp.StatusCode, want)
				}
			}
			if closed != test.closed {
				t.Errorf("announced close: %v, want %v", closed, test.closed)
			}
			if closed {
				// The close may be a reset, as the sidecar does not read all bytes that were sent.
				if more, _ := io.ReadAll(in); len(more) > 0 {
					t.Errorf("%q after the last response", more)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if bodies != test.bodies {
				t.Errorf("the server got %q, want %q", bodies, test.bodies)
			}
		})
	}
}

// setReadTimeout sets the time within which a request has to be complete.
func (s *Sidecar) setReadTimeout(timeout time.Duration) {
	s.clients.Configure(func(o *clientserver.Options) { o.ReadTimeout = timeout })
}

// The connection of a client that sends nothing, stops before its request is complete or sends it too slowly is closed.
func TestReadTimeout(t *testing.T) {
	if clientserver.DefaultReadTimeout >= 3*time.Second {
		t.Errorf("the default read timeout is %v, want less than 3 s", clientserver.DefaultReadTimeout)
	}
	const readTimeout = 200 * time.Millisecond
	head := sidecartest.RequestText("1", "Content-Length: 1000\r\n", "")
	complete := sidecartest.RequestText("0", "Content-Length: 3\r\n", "abc")
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), func(s *Sidecar) { s.setReadTimeout(readTimeout) })
	for name, test := range map[string]struct{ first, then string }{
		"silent":               {"", ""},
		"half a head":          {head[:40], ""},
		"head, no body":        {head, ""},
		"half a body":          {head + "abc", ""},
		"head byte by byte":    {head[:40], "x"},
		"body byte by byte":    {head, "x"},
		"chunks byte by byte":  {sidecartest.RequestText("1", "Transfer-Encoding: chunked\r\n", "fff\r\n"), "x"},
		"after a complete one": {complete + head, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			startedAt := time.Now()
			conn.SetDeadline(startedAt.Add(sidecartest.WaitTimeout))
			if _, err := io.WriteString(conn, test.first); err != nil {
				t.Fatal(err)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				io.Copy(io.Discard, conn) // an error or a close
			}()
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-ended:
					if took := time.Since(startedAt); took > 15*readTimeout {
						t.Errorf("the connection was closed after %v", took)
					}
					return
				case <-tick.C:
					io.WriteString(conn, test.then)
				}
			}
		})
	}
}

// If all headers agree on where a response ends it ends there. Otherwise the attempt has failed and may have run: the
// response is not forwarded and its connection is not reused.
func TestFraming_responses(t *testing.T) {
	const done = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
	for name, test := range map[string]struct {
		response string
		status   int
		reused   bool
	}{
		"length":                    {done, 200, true},
		"chunks":                    {chunks, 200, true},
		"after an interim response": {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + done, 200, true},
		"chunks after interim":      {"HTTP/1.1 100 Continue\r\n\r\n" + chunks, 200, false},
		"two responses":             {done + done, 200, false},
		"HTTP/1.0":                  {strings.Replace(done, "1.1", "1.0", 1), 200, false},
		"length, then chunks":       {strings.Replace(chunks, "Transfer", "Content-Length: 4\r\nTransfer", 1), 502, false},
		"chunks, then length":       {strings.Replace(chunks, "chunked", "chunked\r\ncontent-length: 4", 1), 502, false},
		"two lengths":               {strings.Replace(done, "Length: 4", "Length: 4\r\nContent-Length: 5", 1), 502, false},
		"other coding":              {strings.Replace(chunks, "chunked", "gzip, chunked", 1), 502, false},
		"other protocol":            {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + done, 502, false},
		"other version":             {strings.Replace(done, "1.1", "2.0", 1), 502, false},
		"rejected, two ends":        {"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 502, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.Respond(test.response, true))
			s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
			for range 2 {
				got := s.do(s.request("charge", time.Second))
				if got.status != test.status || got.status == 200 && got.body != "done" {
					t.Errorf("%d %q, want %d", got.status, got.body, test.status)
				}
			}
			if reused := b.Conns.Load() == 1; reused != test.reused || b.Requests.Load() != 2 {
				t.Errorf("connection reused: %v, want %v; %d requests", reused, test.reused, b.Requests.Load())
			}
		})
	}
}
