package discovery

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

// An object may take a part of the memory's limit and no more.
func TestObjectReader_maxBytes(t *testing.T) {
	for _, c := range []struct {
		memoryMB, maxBytes int
	}{{0, maxObjectBytes}, {1 << 10, maxObjectBytes}, {64, 4 << 20}, {8, minObjectBytes}} {
		client := New([]string{"127.0.0.1:1"}, c.memoryMB, func(any) {}, func(func()) {})
		if client.maxObject != c.maxBytes {
			t.Errorf("with %d MB an object may have %d bytes, want %d", c.memoryMB, client.maxObject, c.maxBytes)
		}
		if c.memoryMB != 8 {
			continue
		}
		line, err := newObjectReader(strings.NewReader(strings.Repeat("x", 2*c.maxBytes)), client.maxObject).next()
		if !errors.Is(err, errLineTooLong) || line != nil {
			t.Errorf("%d bytes, %v", len(line), err)
		}
		many := newObjectReader(strings.NewReader(strings.Repeat("{\n", c.maxBytes)), client.maxObject)
		if _, err := many.next(); !errors.Is(err, errLineTooLong) {
			t.Errorf("over many lines: %v", err)
		}
	}
}

// An object may be spread over lines, with empty ones among them. Empty lines between objects show that the list service is
// alive.
func TestObjectReader_indented(t *testing.T) {
	const odd = `{"rev": 43, "all": false,

 "targets": [
  {"uid": "a\"}}}", "endpoint": "127.0.0.1:1", "state": "Ready"}

 ]
}`
	compact := `{"rev":44,"all":true,"targets":[]}`
	for name, text := range map[string]string{
		"lines":               odd + "\n\n" + compact + "\n",
		"carriage returns":    strings.ReplaceAll(odd+"\n\n"+compact+"\n", "\n", "\r\n"),
		"no end of last line": odd + "\n\n" + compact,
	} {
		t.Run(name, func(t *testing.T) {
			client, events := clientOf(t, text)
			client.Watch(t.Context(), 0)
			if n := sidecartest.Receive(t, "the change", events); n.Kind != balance.ListDelta || n.List.Rev != 43 || n.List.Targets[0].UID != `a"}}}` {
				t.Errorf("%+v", n)
			}
			if n := sidecartest.Receive(t, "that it is alive", events); n.Kind != balance.ListUnchanged {
				t.Errorf("%+v", n)
			}
			if n := sidecartest.Receive(t, "the list", events); n.Kind != balance.ListFull || n.List.Rev != 44 {
				t.Errorf("%+v", n)
			}
			if n := sidecartest.Receive(t, "the end", events); n.Kind != balance.ListFailed {
				t.Errorf("%+v", n)
			}
		})
	}
	t.Run("full list", func(t *testing.T) {
		client, events := clientOf(t, odd)
		client.Fetch(t.Context(), 0)
		if n := sidecartest.Receive(t, "the list", events); n.List.Rev != 43 {
			t.Errorf("%+v", n)
		}
	})
	t.Run("cut off", func(t *testing.T) {
		client, events := clientOf(t, odd[:len(odd)-2])
		client.Watch(t.Context(), 0)
		if n := sidecartest.Receive(t, "the failure", events); n.Kind != balance.ListFailed {
			t.Errorf("%+v", n)
		}
	})
}

// clientOf returns a client of a list service that answers each call with a text.
func clientOf(t *testing.T, text string) (*Client, chan ListEvent) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }))
	t.Cleanup(srv.Close)
	return newTestClient(t, srv.Listener.Addr().String())
}

// Each worst case of docs/list.md for pushed lists is below the drain grace and the time after which a change counts as
// notified.
func TestPushedDelay_worstCases(t *testing.T) {
	const notifiedWithin = 6 * time.Second // of a change that a silent watch misses
	for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		delay := PushedDelay(float64(grace.Milliseconds()))
		if lost, limit := 3*delay, grace*3/4; lost > limit {
			t.Errorf("grace %v: a call starts %v after the agent's return, over %v", grace, lost, limit)
		}
		if lost := WatchTimeout + 3*delay; lost > notifiedWithin+grace/2 {
			t.Errorf("grace %v: what a silent watch misses is known after %v", grace, lost)
		}
		if delay < minPushedDelay || delay > maxPushedDelay {
			t.Errorf("grace %v: delay %v", grace, delay)
		}
	}
}

// While an agent leaves calls unanswered others follow, and the first that is answered goes on as the one watch.
func TestSubscribe_agentReturns(t *testing.T) {
	r := sidecartest.NewDrainedDiscovery(t)
	client, events := newTestClient(t, r.Addr())
	client.timeouts.PushedDelay, client.timeouts.Call = 5*time.Millisecond, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client.Subscribe(ctx)
	for range 8 { // it is away, and these are never answered
		sidecartest.Receive(t, "another call", r.Calls)
	}
	sidecartest.RespondToAll(t, r, endpointlist.List{Rev: 7})
	if n := sidecartest.Receive(t, "its list", events); n.List.Rev != 7 {
		t.Errorf("%+v", n)
	}
}

// A watch that falls silent is closed, and the agent is called again for what it missed.
func TestSubscribe_silentAgent(t *testing.T) {
	r := sidecartest.NewDrainedDiscovery(t)
	client, events := newTestClient(t, r.Addr())
	client.timeouts.PushedDelay, client.timeouts.Watch = 50*time.Millisecond, 50*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client.Subscribe(ctx)
	first := sidecartest.Receive(t, "the watch", r.Calls)
	first.SendLine(t, "")
	if n := sidecartest.Receive(t, "that it is alive", events); n.Kind != balance.ListUnchanged {
		t.Errorf("%+v", n)
	}
	sidecartest.RespondToAll(t, r, endpointlist.List{Rev: 7})
	if n := sidecartest.Receive(t, "the change", events); n.List.Rev != 7 {
		t.Errorf("%+v", n)
	}
	sidecartest.Receive(t, "the silent watch to end", first.Cancelled)
}

// A busy machine answers late: the first call waits for long, whatever becomes of the later ones, and is then the only one.
func TestSubscribe_slowAgent(t *testing.T) {
	r := sidecartest.NewDrainedDiscovery(t)
	client, events := newTestClient(t, r.Addr())
	client.timeouts.PushedDelay, client.timeouts.Call, client.timeouts.Watch = 5*time.Millisecond, time.Hour, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client.Subscribe(ctx)
	first := sidecartest.Receive(t, "the watch", r.Calls)
	for range 3 {
		sidecartest.Receive(t, "the eager call to end", sidecartest.Receive(t, "an eager call", r.Calls).Cancelled)
	}
	first.SendList(t, endpointlist.List{Rev: 7})
	if n := sidecartest.Receive(t, "the list", events); n.List.Rev != 7 {
		t.Errorf("%+v", n)
	}
	first.SendList(t, endpointlist.List{Rev: 8})
	if n := sidecartest.Receive(t, "the change", events); n.List.Rev != 8 {
		t.Errorf("%+v", n)
	}
}

// Pauses do not grow while the agent is away: a long one could start just before its return.
func TestSubscribe_constantPauses(t *testing.T) {
	r := sidecartest.NewDrainedDiscovery(t)
	client, _ := newTestClient(t, r.Addr())
	client.timeouts.PushedDelay = 5 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client.Subscribe(ctx)
	startedAt := time.Now()
	for range 20 { // with pauses that grow to 2 s they take 27 s
		call := sidecartest.Receive(t, "the next call", r.Calls)
		select {
		case call.Fail <- http.StatusServiceUnavailable:
		case <-call.Cancelled:
		}
	}
	if took := time.Since(startedAt); took > sidecartest.WaitTimeout {
		t.Errorf("20 calls took %v", took)
	}
}

// Of two calls that are answered one is followed; the other posts nothing.
func TestCall_superseded(t *testing.T) {
	client, events := clientOf(t, `{"rev":7}`)
	never := func() bool { return false }
	if err := (&call{client: client, kind: watchCall, claim: never, firstTimeout: time.Hour, nextTimeout: time.Hour}).run(t.Context()); err != errSuperseded || len(events) > 0 {
		t.Errorf("%v, %d events", err, len(events))
	}
}
