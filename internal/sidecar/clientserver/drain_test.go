package clientserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"marblelane/internal/sidecar/sidecartest"
)

// A drain that starts between two pipelined requests does not treat their connection as idle: the second request has
// already been read and gets a response.
func TestDrain_betweenPipelinedRequests(t *testing.T) {
	listener, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	limiter := NewLimiter(listener, 3)
	served := 0
	s := New(Options{ReadTimeout: sidecartest.WaitTimeout, WriteTimeout: sidecartest.WaitTimeout})
	httpServer := s.HTTPServer()
	httpServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := headConn(r); conn != nil {
			conn.RequestRead()
		}
		served++
		io.WriteString(w, "done")
	})
	connState := httpServer.ConnState
	httpServer.ConnState = func(conn net.Conn, state http.ConnState) {
		connState(conn, state)
		if state == http.StateIdle && served == 1 { // the first response is written, the second request is not parsed yet
			limiter.CloseIdle(time.Now())
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- httpServer.Serve(s.HeadListener(limiter)) }()
	t.Cleanup(func() { httpServer.Close(); <-ended })
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if _, err := io.WriteString(c, sidecartest.RequestText("1", "", "")+sidecartest.RequestText("2", "", "")); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for i := range 2 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("response %d: %+v, error %v", i+1, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	sidecartest.Until(t, "the connection to be idle and half-closed", func() bool {
		limiter.CloseIdle(time.Now())
		allHalfClosed := true
		limiter.Each(func(conn *ClientConn) { allHalfClosed = allHalfClosed && !conn.halfClosedAt.IsZero() })
		return allHalfClosed
	})
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: error %v, want EOF", err)
	}
}
