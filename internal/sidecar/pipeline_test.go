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
	guests := newRoom(l, 3)
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
		for g := range guests.guests {
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
