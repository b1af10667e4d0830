package clientserver

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	listening "marblelane/internal/listener"
	"marblelane/internal/sidecar/netcall"
)

const (
	// evictAfterSilence is how long a peer may say nothing before it makes room for others: who has a request to send
	// does so at once, but this process must get to read it.
	evictAfterSilence = 50 * time.Millisecond
	// newConnGrace is how long a peer may pause in its request: it may take 2 s for a head.
	newConnGrace = time.Second
	// keepAliveAtLeast is how long a connection without a request is always kept (TERMS), unless nothing else is left.
	keepAliveAtLeast = 2 * time.Second
	// CloseWindow is how long a request may be on its way: on a new connection after its client's connect, and once more
	// on a new one after the end of its old one crossed it.
	CloseWindow = 200 * time.Millisecond
)

// Limiter is a listener that holds so many connections and no more. At the bound whoever has been silent longest
// with no request at work makes room for who comes next: crowds that say nothing cannot shut others out.
type Limiter struct {
	net.Listener
	placeFreed   chan struct{} // a token: somebody left, or the bound grew
	closed       chan struct{}
	close        sync.Once
	acceptsEnded atomic.Bool // nobody is on the way in any more
	Read         func(fd int, p []byte) (n int, err error)

	Mu    sync.Mutex
	limit int
	Conns map[*ClientConn]struct{}
}

// inputClosed stands for the time a clientConn was heard: nothing that it says counts any more.
const inputClosed = math.MinInt64

var epoch = time.Now()

func NewLimiter(l net.Listener, most int) *Limiter {
	return &Limiter{
		Listener: l, limit: most, Conns: map[*ClientConn]struct{}{},
		placeFreed: make(chan struct{}, 1), closed: make(chan struct{}), Read: syscall.Read,
	}
}

func (r *Limiter) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err != nil {
		select {
		case <-r.closed:
			r.acceptsEnded.Store(true)
		default:
		}
		return nil, err
	}
	g := &ClientConn{Conn: c, limiter: r, since: time.Now()}
	r.admit(g)
	return g, nil
}

// acceptsFailed reports whether accepts have failed of late, so that a connection may have waited to be accepted.
func (r *Limiter) acceptsFailed() bool {
	l, ok := r.Listener.(*listening.Listener)
	return ok && l.FailedWithin(netcall.AcceptFailureMemory)
}

// admit waits until there is a place, or the listener is closed.
func (r *Limiter) admit(g *ClientConn) {
	for {
		victim, wait := r.place(g)
		switch {
		case victim != nil:
			victim.end()
		case wait == 0:
			return
		default:
			select {
			case <-r.placeFreed:
			case <-time.After(wait):
			case <-r.closed:
				// It came before the end and knows nothing of it: one more is let in.
				r.Mu.Lock()
				r.Conns[g] = struct{}{}
				r.Mu.Unlock()
				return
			}
		}
	}
}

// place takes a newcomer in, or tells who has to go for it, or how long to wait at most until somebody may.
func (r *Limiter) place(g *ClientConn) (victim *ClientConn, wait time.Duration) {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	if len(r.Conns) < r.limit {
		r.Conns[g] = struct{}{}
		return nil, 0
	}
	spared := map[*ClientConn]bool{} // their bytes are on the way to their handler
	for {
		victim = r.longestSilent(spared)
		if victim == nil || victim.closeInput() {
			return victim, evictAfterSilence
		}
		spared[victim] = true
	}
}

// longestSilent is the first to make room, but for those that are spared; nil: nobody may.
func (r *Limiter) longestSilent(spared map[*ClientConn]bool) (first *ClientConn) {
	now := time.Now()
	least, oldest := 0, time.Time{}
	for g := range r.Conns {
		if g.busy && g.endSentAt.IsZero() || spared[g] {
			continue
		}
		order, last := g.evictionOrder(now)
		if now.Sub(last) < evictAfterSilence {
			continue
		}
		if first == nil || order < least || order == least && last.Before(oldest) {
			first, least, oldest = g, order, last
		}
	}
	return first
}

// Who makes room, the first first. A newcomer that is closed loses its request; one between requests loses nothing.
const (
	silent   = iota // has never said a word
	idleLong        // kept, and without a request for long
	halfSent        // stopped in the middle
	idle            // kept
	young           // may have begun, or be about to
)

// Limit is how many connections there may be.
func (r *Limiter) Limit() int {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	return r.limit
}

// SetLimit changes the bound; who is over it leaves in time.
func (r *Limiter) SetLimit(most int) {
	r.Mu.Lock()
	r.limit = most
	r.Mu.Unlock()
	r.wakeAdmit()
}

// Empty tells that the room is closed, nobody is in it and nobody on the way in.
func (r *Limiter) Empty() bool {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	return r.acceptsEnded.Load() && len(r.Conns) == 0
}

// CloseIdle ends the connections on which nothing was sent since their last request, and reports whether a client
// may yet need a new connection for a request that crosses such an end: not all who came before a time, and whose
// answers may not have ended their connections, have been told. Each is told by half a close and goes with its
// client: what crosses it is read and dropped, as a reset could take an answer with it that is not read yet.
func (r *Limiter) CloseIdle(before time.Time) (more bool) {
	var end []*ClientConn
	now := time.Now()
	r.Mu.Lock()
	for g := range r.Conns {
		_, begun := g.requestStarted()
		switch {
		case !g.endSentAt.IsZero():
			if more = true; now.Sub(g.endSentAt) >= CloseWindow {
				end = append(end, g)
			}
		case g.busy:
			more = more || g.since.Before(before)
		case begun: // its answer ends it
		case !g.reused && now.Sub(g.since) < CloseWindow:
			more = more || g.since.Before(before)
		default:
			more = true
			switch left, told := g.sendEnd(); {
			case told:
				g.endSentAt = now
			case left:
				end = append(end, g)
			}
		}
	}
	r.Mu.Unlock()
	for _, g := range end {
		g.end()
	}
	return more
}

func (r *Limiter) wakeAdmit() {
	select {
	case r.placeFreed <- struct{}{}:
	default:
	}
}

func (r *Limiter) Close() error {
	r.close.Do(func() { close(r.closed) })
	return r.Listener.Close()
}
