package clientserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/sidecartest"
)

// A drain that comes between two requests that were sent at once does not take the connection for one that rests: the
// second has been read, so that it is answered.
func TestDrainBetweenPipelinedRequests(t *testing.T) {
	l, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	guests := NewLimiter(l, 3)
	served := 0
	f := &Server{ReadTimeout: sidecartest.Patience, WriteTimeout: sidecartest.Patience}
	srv := f.HTTPServer()
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*framing.HeadConn); ok {
			c.RequestRead()
		}
		served++
		io.WriteString(w, "done")
	})
	state := srv.ConnState
	srv.ConnState = func(c net.Conn, to http.ConnState) {
		state(c, to)
		if to == http.StateIdle && served == 1 { // the first is answered, the second not yet looked at
			guests.CloseIdle(time.Now())
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(HeadListener{guests}) }()
	t.Cleanup(func() { srv.Close(); <-ended })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(sidecartest.Patience))
	if _, err := io.WriteString(c, sidecartest.WireRequest("1", "", "")+sidecartest.WireRequest("2", "", "")); err != nil {
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
	sidecartest.Until(t, "the connection to be at rest, and told its end", func() bool {
		guests.CloseIdle(time.Now())
		guests.Mu.Lock()
		defer guests.Mu.Unlock()
		for g := range guests.Conns {
			return !g.endSentAt.IsZero()
		}
		return true
	})
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v, want the end", err)
	}
}
