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

// book knows one request, by any id.
type book Ask

func (b book) Look(uint64) (Ask, bool) { return Ask(b), true }

// alone starts one server that one caller reaches.
func alone(t *testing.T, spec Spec, work float64) (*Server, *record.Log) {
	t.Helper()
	log := record.New()
	pod := NewPod(log, 1)
	s, err := Start(log, book{Method: http.MethodGet, Sum: record.Sum(nil), Work: work, Answer: 10}, pod, spec,
		Options{Links: func(int) *relay.Link { return relay.NewLink(relay.Rules{}, 1) }, Probe: -1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		pod.Close()
	})
	return s, log
}

// caller is a connection that sends requests one by one.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func call(t *testing.T, s *Server) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", s.Port.Addr(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) ask() error {
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

func has(log *record.Log, k record.Kind) bool {
	return slices.ContainsFunc(log.Events(), func(e record.Event) bool { return e.Kind == k })
}

func reset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF)
}

// What is idle for too long is closed, also after an answer and where the time grows shorter meanwhile; or it is
// forgotten, which shows when something is written.
func TestIdleConnections(t *testing.T) {
	s, _ := alone(t, Spec{Cores: 1, Speed: 1, Queue: 10, Idle: time.Hour}, 1)
	kept := call(t, s)
	if err := kept.ask(); err != nil {
		t.Fatal(err)
	}
	if err := kept.ask(); err != nil {
		t.Fatal("a connection within its time:", err)
	}
	s.Behave(func(b *Behaviour) { b.Idle = 20 * time.Millisecond })
	if _, err := kept.in.Peek(1); err != io.EOF {
		t.Errorf("idle for long: %v", err)
	}
	s.Behave(func(b *Behaviour) { b.Forget = true })
	forgotten := call(t, s)
	if err := forgotten.ask(); err != nil {
		t.Fatal(err)
	}
	_ = forgotten.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var late net.Error
	if _, err := forgotten.in.Peek(1); !errors.As(err, &late) || !late.Timeout() {
		t.Errorf("a forgotten connection was told: %v", err)
	}
	_ = forgotten.SetReadDeadline(time.Now().Add(10 * time.Second))
	if err := forgotten.ask(); !reset(err) {
		t.Errorf("a request on a forgotten connection: %v", err)
	}
	s.Behave(func(b *Behaviour) { *b = Behaviour{} })
	if err := call(t, s).ask(); err != nil {
		t.Error(err)
	}
}

// A reset under a request comes once its work has begun, and its work ends with it.
func TestResetUnderWork(t *testing.T) {
	s, log := alone(t, Spec{Cores: 1, Speed: 1, Queue: 10, Idle: time.Hour}, 200)
	s.Behave(func(b *Behaviour) { b.Reset = 1 })
	if err := call(t, s).ask(); !reset(err) {
		t.Errorf("got %v", err)
	}
	if !has(log, record.WorkStarted) || has(log, record.Replied) {
		t.Errorf("it had not begun, or has ended: %v", log.Events())
	}
	s.Behave(func(b *Behaviour) { b.Reset = 0 })
	if err := call(t, s).ask(); err != nil {
		t.Error(err)
	}
}

// What comes some milliseconds after an answer is the answer again, or half of a line.
func TestSecondAnswer(t *testing.T) {
	s, _ := alone(t, Spec{Cores: 1, Speed: 1, Queue: 10, Idle: time.Hour}, 1)
	s.Behave(func(b *Behaviour) { b.Second = 1 })
	again, half := false, false
	for !again || !half {
		c := call(t, s)
		if err := c.ask(); err != nil {
			t.Fatal(err)
		}
		more, err := c.in.Peek(len("HTTP/1.1 2"))
		if err != nil || string(more) != "HTTP/1.1 2" {
			t.Fatalf("after an answer came %q, %v", more, err)
		}
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // a second answer is written whole
		if resp, err := http.ReadResponse(c.in, nil); err == nil {
			again = true
			resp.Body.Close()
		} else {
			half = true
		}
	}
}

// A request that is turned away after a part of its work has not run.
func TestTurnedAwayLate(t *testing.T) {
	s, log := alone(t, Spec{Cores: 1, Speed: 1, Queue: 10, Idle: time.Hour}, 20)
	s.Behave(func(b *Behaviour) { b.Turn = 1 })
	if err := call(t, s).ask(); err != nil {
		t.Fatal(err)
	}
	if has(log, record.WorkStarted) || !has(log, record.Rejected) {
		t.Errorf("it ran, or was not turned away: %v", log.Events())
	}
}
