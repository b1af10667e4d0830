package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Subscribe keeps a watch where lists are pushed and the balancer does not poll. The agent is local and its answers cost
// nothing, so pauses do not grow: a long one could start just before the agent's return.
func (c *Client) Subscribe(ctx context.Context) {
	c.start(func() {
		for ctx.Err() == nil {
			err := c.followAgent(ctx)
			if err == errAddrChanged {
				continue
			}
			slog.Warn("discovery: agent's watch ended", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(c.timeouts.PushedDelay/2 + rand.N(c.timeouts.PushedDelay)/2):
			}
		}
	})
}

// agentCall tells apart the two calls that are made to an agent at the same time.
type agentCall int32

const (
	noAgentCall agentCall = iota
	patientCall           // waits as long as any call, as a busy machine is slow to answer
	eagerCall             // is given up early and made again, as a call from before the agent's return may stay silent
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

// agentWatch makes both calls to an agent and follows the first that is answered, the leader.
type agentWatch struct {
	client *Client
	leader atomic.Int32 // an agentCall
	ended  chan error   // has room for an error of each call; never closed
}

// followAgent follows an agent until its watch ends. It waits for the goroutines of both calls.
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

// runPatient makes the patient call. Its end is that of the watch, unless an eager call leads.
func (w *agentWatch) runPatient(ctx context.Context) {
	if err := w.call(ctx, patientCall, w.client.timeouts.Call); w.current() != eagerCall {
		w.ended <- err
	}
}

// runEager makes eager calls until one of them has led or the patient call leads.
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

// call makes one call, whose first object has to come within a time.
func (w *agentWatch) call(ctx context.Context, kind agentCall, firstTimeout time.Duration) error {
	watch := &call{client: w.client, kind: watchCall, claim: func() bool { return w.claim(kind) },
		firstTimeout: firstTimeout, nextTimeout: w.client.timeouts.Watch}
	return watch.run(ctx)
}

// current returns the call that leads.
func (w *agentWatch) current() agentCall { return agentCall(w.leader.Load()) }

// claim makes a call that is answered the leader, if there is none, and reports whether it leads.
func (w *agentWatch) claim(kind agentCall) bool {
	return w.current() == kind || w.leader.CompareAndSwap(int32(noAgentCall), int32(kind))
}
