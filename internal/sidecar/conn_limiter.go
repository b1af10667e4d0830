package sidecar

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	listening "marblelane/internal/listener"
)

const (
	// evictAfterSilence is how long a peer may say nothing before it makes room for others: who has a request to send
	// does so at once, but this process must get to read it.
	evictAfterSilence = 50 * time.Millisecond
	// newConnGrace is how long a peer may pause in its request: it may take 2 s for a head.
	newConnGrace = time.Second
	// keepAliveAtLeast is how long a connection without a request is always kept (TERMS), unless nothing else is left.
	keepAliveAtLeast = 2 * time.Second
	// closeWindow is how long a request may be on its way: on a new connection after its client's connect, and once more
	// on a new one after the end of its old one crossed it.
	closeWindow = 200 * time.Millisecond
)

// connLimiter is a listener that holds so many connections and no more. At the bound whoever has been silent longest
// with no request at work makes room for who comes next: crowds that say nothing cannot shut others out.
type connLimiter struct {
	net.Listener
	left   chan struct{} // a token: somebody left, or the bound grew
	closed chan struct{}
	close  sync.Once
	last   atomic.Bool // nobody is on the way in any more
	read   func(fd int, p []byte) (n int, err error)

	mu    sync.Mutex
	most  int
	conns map[*clientConn]struct{}
}

// inputClosed stands for the time a clientConn was heard: nothing that it says counts any more.
const inputClosed = math.MinInt64

var epoch = time.Now()

func newConnLimiter(l net.Listener, most int) *connLimiter {
	return &connLimiter{
		Listener: l, most: most, conns: map[*clientConn]struct{}{},
		left: make(chan struct{}, 1), closed: make(chan struct{}), read: syscall.Read,
	}
}

func (r *connLimiter) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err != nil {
		select {
		case <-r.closed:
			r.last.Store(true)
		default:
		}
		return nil, err
	}
	g := &clientConn{Conn: c, limiter: r, since: time.Now()}
	r.enter(g)
	return g, nil
}

// acceptsFailed reports whether accepts have failed of late, so that a connection may have waited to be accepted.
func (r *connLimiter) acceptsFailed() bool {
	l, ok := r.Listener.(*listening.Listener)
	return ok && l.FailedWithin(acceptFailureMemory)
}

// enter waits until there is a place, or the listener is closed.
func (r *connLimiter) enter(g *clientConn) {
	for {
		victim, wait := r.place(g)
		switch {
		case victim != nil:
			victim.end()
		case wait == 0:
			return
		default:
			select {
			case <-r.left:
			case <-time.After(wait):
			case <-r.closed:
				// It came before the end and knows nothing of it: one more is let in.
				r.mu.Lock()
				r.conns[g] = struct{}{}
				r.mu.Unlock()
				return
			}
		}
	}
}

// place takes a newcomer in, or tells who has to go for it, or how long to wait at most until somebody may.
func (r *connLimiter) place(g *clientConn) (victim *clientConn, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) < r.most {
		r.conns[g] = struct{}{}
		return nil, 0
	}
	spared := map[*clientConn]bool{} // their bytes are on the way to their handler
	for {
		victim = r.longestSilent(spared)
		if victim == nil || victim.leave() {
			return victim, evictAfterSilence
		}
		spared[victim] = true
	}
}

// longestSilent is the first to make room, but for those that are spared; nil: nobody may.
func (r *connLimiter) longestSilent(spared map[*clientConn]bool) (first *clientConn) {
	now := time.Now()
	least, oldest := 0, time.Time{}
	for g := range r.conns {
		if g.busy && g.told.IsZero() || spared[g] {
			continue
		}
		order, last := g.order(now)
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

// setMost changes the bound; who is over it leaves in time.
func (r *connLimiter) setMost(most int) {
	r.mu.Lock()
	r.most = most
	r.mu.Unlock()
	r.hint()
}

// empty tells that the room is closed, nobody is in it and nobody on the way in.
func (r *connLimiter) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last.Load() && len(r.conns) == 0
}

// closeIdle ends the connections on which nothing was sent since their last request, and reports whether a client
// may yet need a new connection for a request that crosses such an end: not all who came before a time, and whose
// answers may not have ended their connections, have been told. Each is told by half a close and goes with its
// client: what crosses it is read and dropped, as a reset could take an answer with it that is not read yet.
func (r *connLimiter) closeIdle(before time.Time) (more bool) {
	var end []*clientConn
	now := time.Now()
	r.mu.Lock()
	for g := range r.conns {
		_, begun := g.begun()
		switch {
		case !g.told.IsZero():
			if more = true; now.Sub(g.told) >= closeWindow {
				end = append(end, g)
			}
		case g.busy:
			more = more || g.since.Before(before)
		case begun: // its answer ends it
		case !g.kept && now.Sub(g.since) < closeWindow:
			more = more || g.since.Before(before)
		default:
			more = true
			switch left, told := g.tellEnd(); {
			case told:
				g.told = now
			case left:
				end = append(end, g)
			}
		}
	}
	r.mu.Unlock()
	for _, g := range end {
		g.end()
	}
	return more
}

func (r *connLimiter) hint() {
	select {
	case r.left <- struct{}{}:
	default:
	}
}

func (r *connLimiter) Close() error {
	r.close.Do(func() { close(r.closed) })
	return r.Listener.Close()
}

// unaccepted is how many connections are completed and wait to be accepted, see listenQueue.
func unaccepted(l *net.TCPListener) (waiting int) { return systemQueue.waiting(l) }
