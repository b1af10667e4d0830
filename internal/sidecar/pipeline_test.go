package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A drain that comes between two requests that were sent at once does not take the connection for one that rests: the
// second has been read, so that it is answered.
func TestDrainBetweenPipelinedRequests(t *testing.T) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	guests := newConnLimiter(l, 3)
	served := 0
	f := &frontend{peerWait: patience, writeWait: patience}
	srv := f.server()
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*headConn); ok {
			c.work()
		}
		served++
		io.WriteString(w, "done")
	})
	state := srv.ConnState
	srv.ConnState = func(c net.Conn, to http.ConnState) {
		state(c, to)
		if to == http.StateIdle && served == 1 { // the first is answered, the second not yet looked at
			guests.closeIdle(time.Now())
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(headListener{guests}) }()
	t.Cleanup(func() { srv.Close(); <-ended })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, wireRequest("1", "", "")+wireRequest("2", "", "")); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for i := range 2 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("answer %d: %+v, %v", i+1, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	until(t, "the connection to be at rest, and told its end", func() bool {
		guests.closeIdle(time.Now())
		guests.mu.Lock()
		defer guests.mu.Unlock()
		for g := range guests.conns {
			return !g.told.IsZero()
		}
		return true
	})
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v, want the end", err)
	}
}

// Where many connections are open, one that carries many requests at once is not closed before the last is answered.
func TestCrowdedPipelineIsAnswered(t *testing.T) {
	const requests = 5
	b := newBackend(t, "a", ok)
	s := start(t, newConf(newRegistry(t).addr(), b.target))
	s.frontend.maxConns.Store(0) // every one is too many
	for name, body := range map[string]string{"no bodies": "", "bodies": "abc"} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			request := wireRequest("1", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
			if _, err := io.WriteString(c, strings.Repeat(request, requests)); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(c)
			for i := range requests {
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != 200 {
					t.Fatalf("answer %d: %+v, %v", i+1, resp, err)
				}
				io.Copy(io.Discard, resp.Body)
			}
			if _, err := io.WriteString(c, request); err != nil { // alone
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != 200 || !resp.Close {
				t.Errorf("%+v, %v, want an answer that ends the connection", resp, err)
			}
		})
	}
}

// All of a pipeline that had been read when the drain began is answered before its connection ends.
func TestDrainedPipelineIsAnswered(t *testing.T) {
	answer := newBarrier()
	b := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		answer.pass()
		return ok(c, r, body)
	})
	s := start(t, newConf(newRegistry(t).addr(), b.target))
	t.Cleanup(answer.release)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	const requests = 3
	if _, err := io.WriteString(c, strings.Repeat(wireRequest("1", "", ""), requests)); err != nil {
		t.Fatal(err)
	}
	answer.waitFor(t, 1)
	s.term()
	until(t, "the drain", s.frontend.draining.Load)
	answer.release()
	in := bufio.NewReader(c)
	for i := range requests {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("answer %d: %+v, %v", i+1, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v, want the end", err)
	}
}

// What comes behind a request at work, and is none, is answered as such behind its answer.
func TestMalformedBehindAPipeline(t *testing.T) {
	for name, test := range map[string]struct {
		next string
		want int
	}{
		"no request":  {"no request\r\n\r\n", http.StatusBadRequest},
		"no id":       {"GET /api HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusBadRequest},
		"head no end": {"GET /api HTTP/1.1\r\nX: " + strings.Repeat("x", 3*maxHeader), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			answer := newBarrier()
			b := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				answer.pass()
				return ok(c, r, body)
			})
			s := start(t, newConf(newRegistry(t).addr(), b.target))
			t.Cleanup(answer.release)
			client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
			answer.waitFor(t, 1)
			if _, err := io.WriteString(client, test.next); err != nil {
				t.Fatal(err)
			}
			until(t, "it to come", func() bool { _, unread := peek(client.host.Conn); return unread })
			answer.release()
			in := bufio.NewReader(client)
			for _, want := range []int{200, test.want} {
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != want {
					t.Fatalf("%+v, %v, want %d", resp, err, want)
				}
				io.Copy(io.Discard, resp.Body)
			}
			if more, _ := io.ReadAll(in); len(more) > 0 { // its end may be a reset
				t.Errorf("%q after the last answer", more)
			}
			if n := b.requests.Load(); n != 1 {
				t.Errorf("%d requests reached the server", n)
			}
		})
	}
}
