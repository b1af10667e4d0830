package stock

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// oneRequest is a RequestLog that returns the same request for any ID.
type oneRequest ClientRequest

func (b oneRequest) Find(uint64) (ClientRequest, bool) { return ClientRequest(b), true }

// startServer starts a server in a pod of its own, with a link without faults.
func startServer(t *testing.T, spec Spec, work float64) (*Server, *record.Log) {
	t.Helper()
	log := record.New()
	pod := NewPod(log, 1)
	s, err := Start(log, oneRequest{Method: http.MethodGet, BodySum: record.Sum(nil), Work: work, ResponseBytes: 10}, pod, spec,
		Options{Links: func(int) *relay.Link { return relay.NewLink(relay.Rules{}, 1) }, HealthCheckWork: -1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		pod.Close()
	})
	return s, log
}

// caller is a client connection that sends one request at a time.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func dialServer(t *testing.T, s *Server) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", s.Port.Addr(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) exchange() error {
	if _, err := fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: 7\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

func hasEvent(log *record.Log, k record.Kind) bool {
	return slices.ContainsFunc(log.Events(), func(e record.Event) bool { return e.Kind == k })
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF)
}

// A connection that exceeds the idle time is closed, also after a response and if the idle time is shortened meanwhile.
// With ForgetIdle it stays open, and the next request on it is reset.
func TestServer_idleConnections(t *testing.T) {
	s, _ := startServer(t, Spec{Cores: 1, Speed: 1, Queue: 10, Idle: time.Hour}, 1)
	idle := dialServer(t, s)
	if err := idle.exchange(); err != nil {
		t.Fatal(err)
	}
	if err := idle.exchange(); err != nil {
		t.Fatal("second request within the idle time:", err)
	}
	s.SetBehaviour(func(b *Behaviour) { b.Idle = 20 * time.Millisecond })
	if _, err := idle.in.Peek(1); err != io.EOF {
		t.Errorf("read after the idle time: got %v, want EOF", err)
	}
	s.SetBehaviour(func(b *Behaviour) { b.ForgetIdle = true })
	forgotten := dialServer(t, s)
	if err := forgotten.exchange(); err != nil {
		t.Fatal(err)
	}
	_ = forgotten.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var timeout net.Error
	if _, err := forgotten.in.Peek(1); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("read on a forgotten connection: got %v, want a timeout", err)
	}
	_ = forgotten.SetReadDeadline(time.Now().Add(10 * time.Second))
	if err := forgotten.exchange(); !isReset(err) {
		t.Errorf("request on a forgotten connection: got %v, want a reset", err)
	}
	s.SetBehaviour(func(b *Behaviour) { *b = Behaviour{} })
	if err := dialServer(t, s).exchange(); err != nil {
		t.Error(err)
	}
}

// The Reset fault resets a connection after the work of its request has started, and ends the work.
func TestServer_resetDuringWork(t *testing.T) {
	s, log := startServer(t, Spec{Cores: 1, Speed: 1, Queue: 10, Idle: time.Hour}, 200)
	s.SetBehaviour(func(b *Behaviour) { b.Reset = 1 })
	if err := dialServer(t, s).exchange(); !isReset(err) {
		t.Errorf("request: got %v, want a reset", err)
	}
	if !hasEvent(log, record.WorkStarted) || hasEvent(log, record.ResponseSent) {
		t.Errorf("want an event WorkStarted and none ResponseSent: %v", log.Events())
	}
	s.SetBehaviour(func(b *Behaviour) { b.Reset = 0 })
	if err := dialServer(t, s).exchange(); err != nil {
		t.Error(err)
	}
}

// The ExtraResponse fault sends the response again, or half a status line, some milliseconds after a response.
func TestServer_extraResponse(t *testing.T) {
	s, _ := startServer(t, Spec{Cores: 1, Speed: 1, Queue: 10, Idle: time.Hour}, 1)
	s.SetBehaviour(func(b *Behaviour) { b.ExtraResponse = 1 })
	again, half := false, false
	for !again || !half {
		c := dialServer(t, s)
		if err := c.exchange(); err != nil {
			t.Fatal(err)
		}
		more, err := c.in.Peek(len("HTTP/1.1 2"))
		if err != nil || string(more) != "HTTP/1.1 2" {
			t.Fatalf("extra bytes after a response: %q, %v", more, err)
		}
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // a second response is written completely
		if resp, err := http.ReadResponse(c.in, nil); err == nil {
			again = true
			resp.Body.Close()
		} else {
			half = true
		}
	}
}

// A request that is rejected late has not run.
func TestServer_lateRejection(t *testing.T) {
	s, log := startServer(t, Spec{Cores: 1, Speed: 1, Queue: 10, Idle: time.Hour}, 20)
	s.SetBehaviour(func(b *Behaviour) { b.RejectLate = 1 })
	if err := dialServer(t, s).exchange(); err != nil {
		t.Fatal(err)
	}
	if hasEvent(log, record.WorkStarted) || !hasEvent(log, record.Rejected) {
		t.Errorf("want an event Rejected and none WorkStarted: %v", log.Events())
	}
}
