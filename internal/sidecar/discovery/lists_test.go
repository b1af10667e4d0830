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

// A line may take a part of the memory and no more.
func TestLongLineEndsTheCall(t *testing.T) {
	for _, c := range []struct {
		memoryMB, most int
	}{{0, maxObjectBytes}, {1 << 10, maxObjectBytes}, {64, 4 << 20}, {8, minObjectBytes}} {
		d := New([]string{"127.0.0.1:1"}, c.memoryMB, func(any) {}, func(func()) {})
		if d.maxObject != c.most {
			t.Errorf("with %d MB a line may have %d bytes, want %d", c.memoryMB, d.maxObject, c.most)
		}
		if c.memoryMB != 8 {
			continue
		}
		line, err := newObjectReader(strings.NewReader(strings.Repeat("x", 2*c.most)), d.maxObject).next()
		if !errors.Is(err, errLineTooLong) || line != nil {
			t.Errorf("%d bytes, %v", len(line), err)
		}
		many := newObjectReader(strings.NewReader(strings.Repeat("{\n", c.most)), d.maxObject)
		if _, err := many.next(); !errors.Is(err, errLineTooLong) {
			t.Errorf("over many lines: %v", err)
		}
	}
}

// An object may be spread over lines, with empty ones in it; those between objects tell that the service lives.
func TestIndentedLists(t *testing.T) {
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
			d, heard := serving(t, text)
			d.Watch(t.Context(), 0)
			if n := sidecartest.Receive(t, "the change", heard); n.Kind != balance.ListDelta || n.List.Rev != 43 || n.List.Targets[0].UID != `a"}}}` {
				t.Errorf("%+v", n)
			}
			if n := sidecartest.Receive(t, "that it is alive", heard); n.Kind != balance.ListAlive {
				t.Errorf("%+v", n)
			}
			if n := sidecartest.Receive(t, "the list", heard); n.Kind != balance.ListFull || n.List.Rev != 44 {
				t.Errorf("%+v", n)
			}
			if n := sidecartest.Receive(t, "the end", heard); n.Kind != balance.ListFailed {
				t.Errorf("%+v", n)
			}
		})
	}
	t.Run("whole list", func(t *testing.T) {
		d, heard := serving(t, odd)
		d.Fetch(t.Context(), 0)
		if n := sidecartest.Receive(t, "the list", heard); n.List.Rev != 43 {
			t.Errorf("%+v", n)
		}
	})
	t.Run("cut off", func(t *testing.T) {
		d, heard := serving(t, odd[:len(odd)-2])
		d.Watch(t.Context(), 0)
		if n := sidecartest.Receive(t, "the failure", heard); n.Kind != balance.ListFailed {
			t.Errorf("%+v", n)
		}
	})
}

// serving is a discovery that answers each call with a text.
func serving(t *testing.T, text string) (*Client, chan ListEvent) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }))
	t.Cleanup(srv.Close)
	return hearing(t, srv.Listener.Addr().String())
}

// Each worst case of docs/list.md for pushed lists is below what counts as told and the drain grace.
func TestWhatIsToldIsKnownInTime(t *testing.T) {
	const told = 6 * time.Second // what a silent watch misses
	for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		lag := PushedDelay(float64(grace.Milliseconds()))
		if lost, limit := 3*lag, grace*3/4; lost > limit {
			t.Errorf("grace %v: a call begins %v after the agent's return, over %v", grace, lost, limit)
		}
		if lost := WatchTimeout + 3*lag; lost > told+grace/2 {
			t.Errorf("grace %v: what a silent watch misses is known after %v", grace, lost)
		}
		if lag < minPushedDelay || lag > maxPushedDelay {
			t.Errorf("grace %v: lag %v", grace, lag)
		}
	}
}

// Where lists are pushed, a call that the agent leaves unanswered is not waited for: others follow, and what any of them
// is told counts. It goes on as the one watch.
func TestAgentReturns(t *testing.T) {
	r := sidecartest.NewAgent(t)
	d, heard := hearing(t, r.Addr())
	d.timeouts.PushedDelay, d.timeouts.Call = 5*time.Millisecond, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.Subscribe(ctx)
	for range 8 { // it is away, and these are never answered
		sidecartest.Receive(t, "another call", r.Calls)
	}
	sidecartest.AnswerAll(t, r, endpointlist.List{Rev: 7})
	if n := sidecartest.Receive(t, "what it holds", heard); n.List.Rev != 7 {
		t.Errorf("%+v", n)
	}
}

// What an agent's watch misses as it is silent is asked for anew, and the silent one is closed.
func TestSilentAgentIsCalledAnew(t *testing.T) {
	r := sidecartest.NewAgent(t)
	d, heard := hearing(t, r.Addr())
	d.timeouts.PushedDelay, d.timeouts.Watch = 50*time.Millisecond, 50*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.Subscribe(ctx)
	first := sidecartest.Receive(t, "the watch", r.Calls)
	first.Line(t, "")
	if n := sidecartest.Receive(t, "that it is alive", heard); n.Kind != balance.ListAlive {
		t.Errorf("%+v", n)
	}
	sidecartest.AnswerAll(t, r, endpointlist.List{Rev: 7})
	if n := sidecartest.Receive(t, "the change", heard); n.List.Rev != 7 {
		t.Errorf("%+v", n)
	}
	sidecartest.Receive(t, "the silent watch to end", first.Gone)
}

// A busy machine answers late: the first call waits for long, whatever becomes of those beside it, and is then alone.
func TestSlowAgentIsWaitedFor(t *testing.T) {
	r := sidecartest.NewAgent(t)
	d, heard := hearing(t, r.Addr())
	d.timeouts.PushedDelay, d.timeouts.Call, d.timeouts.Watch = 5*time.Millisecond, time.Hour, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.Subscribe(ctx)
	first := sidecartest.Receive(t, "the watch", r.Calls)
	for range 3 {
		sidecartest.Receive(t, "the call beside it to be given up", sidecartest.Receive(t, "a call beside it", r.Calls).Gone)
	}
	first.Send(t, endpointlist.List{Rev: 7})
	if n := sidecartest.Receive(t, "the list", heard); n.List.Rev != 7 {
		t.Errorf("%+v", n)
	}
	first.Send(t, endpointlist.List{Rev: 8})
	if n := sidecartest.Receive(t, "the change", heard); n.List.Rev != 8 {
		t.Errorf("%+v", n)
	}
}

// Pauses do not grow while the agent is away: one would begin just before its return.
func TestPausesOfThePushedDoNotGrow(t *testing.T) {
	r := sidecartest.NewAgent(t)
	d, _ := hearing(t, r.Addr())
	d.timeouts.PushedDelay = 5 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.Subscribe(ctx)
	began := time.Now()
	for range 20 { // with pauses that grow to 2 s they take 27 s
		call := sidecartest.Receive(t, "the next call", r.Calls)
		select {
		case call.Fail <- http.StatusServiceUnavailable:
		case <-call.Gone:
		}
	}
	if took := time.Since(began); took > sidecartest.Patience {
		t.Errorf("20 calls took %v", took)
	}
}

// Of two calls that are answered one is followed, and what the other says is not heard.
func TestBeatenCallIsNotHeard(t *testing.T) {
	d, heard := serving(t, `{"rev":7}`)
	never := func() bool { return false }
	if err := (&call{client: d, kind: watchCall, claim: never, firstTimeout: time.Hour, nextTimeout: time.Hour}).run(t.Context()); err != errSuperseded || len(heard) > 0 {
		t.Errorf("%v, %d heard", err, len(heard))
	}
}
