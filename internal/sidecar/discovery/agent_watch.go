package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Subscribe watches a local agent that pushes lists and that the balancer does not poll. The pauses between failed
// watches do not grow: calls to a local agent are cheap, and a long pause could begin just before the agent recovers.
func (c *Client) Subscribe(ctx context.Context) {
	c.start(func() {
		for ctx.Err() == nil {
			err := c.followAgent(ctx)
			if err == errAddrChanged {
				continue
			}
			slog.Warn("discovery: watch of the agent ended", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(c.timeouts.PushedDelay/2 + rand.N(c.timeouts.PushedDelay)/2):
			}
		}
	})
}

// agentCall identifies one of the two concurrent calls to an agent.
type agentCall int32

const (
	noAgentCall agentCall = iota
	patientCall           // waits for the full CallTimeout, as a busy machine responds slowly
	eagerCall             // is repeated with a short timeout, as a call from before the agent's recovery may get no response
)

// String returns the name of the call.
func (k agentCall) String() string {
	switch k {
	case patientCall:
		return "patient"
	case eagerCall:
		return "eager"
	}
	return "none"
}

// agentWatch makes both calls to an agent and keeps the first one that gets a response, the leader, as the watch.
type agentWatch struct {
	client *Client
	leader atomic.Int32 // the agentCall that got a response first, or noAgentCall
	ended  chan error   // receives the error that ends the watch; buffered for both calls, never closed
}

// followAgent keeps one watch of an agent and returns the error that ended it. It waits for the goroutines of both
// calls.
func (c *Client) followAgent(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w := &agentWatch{client: c, ended: make(chan error, 2)}
	calls.Go(func() { w.runPatient(ctx) })
	calls.Go(func() { w.runEager(ctx) })
	return <-w.ended
}

// runPatient makes the patient call. If it ends, the watch ends, unless an eager call is the leader.
func (w *agentWatch) runPatient(ctx context.Context) {
	if err := w.call(ctx, patientCall, w.client.timeouts.Call); w.current() != eagerCall {
		w.ended <- err
	}
}

// runEager makes eager calls until the patient call is the leader, or until an eager call that was the leader has
// ended.
func (w *agentWatch) runEager(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.client.timeouts.PushedDelay):
		}
		if w.current() == patientCall {
			return
		}
		if err := w.call(ctx, eagerCall, w.client.timeouts.PushedDelay); w.current() == eagerCall {
			w.ended <- err
			return
		}
	}
}

// call makes one call and returns the error that ended it. firstTimeout limits the wait for its first object.
func (w *agentWatch) call(ctx context.Context, kind agentCall, firstTimeout time.Duration) error {
	watch := &call{client: w.client, kind: watchCall, claim: func() bool { return w.claim(kind) },
		firstTimeout: firstTimeout, nextTimeout: w.client.timeouts.Watch}
	return watch.run(ctx)
}

// current returns the leader, or noAgentCall if no call has got a response.
func (w *agentWatch) current() agentCall { return agentCall(w.leader.Load()) }

// claim makes a call that got a response the leader if there is none. It reports whether the call is the leader.
func (w *agentWatch) claim(kind agentCall) bool {
	return w.current() == kind || w.leader.CompareAndSwap(int32(noAgentCall), int32(kind))
}
