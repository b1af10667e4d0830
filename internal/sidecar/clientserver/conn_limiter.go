package clientserver

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	listening "marblelane/internal/listener"
	"marblelane/internal/sidecar/netcall"
)

const (
	// evictAfterSilence is how long a connection must have been silent before it is evicted: a client with a request to
	// send does so at once, but this process must get to read it.
	evictAfterSilence = 50 * time.Millisecond
	// newConnGrace is how long a client may pause within its request: it may take 2 s for a head.
	newConnGrace = time.Second
	// minKeepAlive is how long a connection without a request is kept, unless all others have gone.
	minKeepAlive = 2 * time.Second
	// CloseWindow is how long a request may be on its way: on a new connection after its client's connect, and once more
	// on a new one after the end of its old one crossed it.
	CloseWindow = 200 * time.Millisecond
)

// partialAnswer tells a client that is in the middle of a head that nothing of its request has run.
const partialAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Limiter is a listener that bounds the connections it has open. At the limit the connection that has been silent for
// longest, and has no request at work, is closed for a new one: silent clients cannot shut others out.
type Limiter struct {
	net.Listener
	slotFreed    chan struct{} // a token: a connection ended, or the limit grew; never closed
	closed       chan struct{} // closed by Close
	closeOnce    sync.Once
	acceptsEnded atomic.Bool // after Close: no connection is waiting in Accept any more
	readCall     func(fd int, p []byte) (n int, err error)

	mu    sync.Mutex
	limit int
	conns map[*ClientConn]struct{}
}

// NewLimiter bounds the connections of a listener.
func NewLimiter(listener net.Listener, limit int) *Limiter {
	return &Limiter{
		Listener: listener, limit: limit, conns: map[*ClientConn]struct{}{},
		slotFreed: make(chan struct{}, 1), closed: make(chan struct{}), readCall: syscall.Read,
	}
}

// SetReadCall replaces the system call that reads from connections, so that tests can make it fail. It has to come
// before the first Accept.
func (l *Limiter) SetReadCall(read func(fd int, p []byte) (n int, err error)) { l.readCall = read }

// Accept waits for the next connection and until there is a slot for it.
func (l *Limiter) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		select {
		case <-l.closed:
			l.acceptsEnded.Store(true)
		default:
		}
		return nil, err
	}
	conn := &ClientConn{Conn: accepted, limiter: l, since: time.Now()}
	l.admit(conn)
	return conn, nil
}

// acceptsFailed reports whether accepts have failed of late, so that a connection may have waited to be accepted.
func (l *Limiter) acceptsFailed() bool {
	listener, ok := l.Listener.(*listening.Listener)
	return ok && listener.FailedWithin(netcall.AcceptFailureWindow)
}

// admit waits until there is a slot for a connection, or the listener is closed.
func (l *Limiter) admit(conn *ClientConn) {
	for {
		admitted, victim := l.claimSlot(conn)
		if admitted {
			return
		}
		if victim != nil {
			_ = victim.end()
			continue
		}
		select {
		case <-l.slotFreed:
		case <-time.After(evictAfterSilence):
		case <-l.closed:
			// The client connected before the end and does not know of it: its connection is one above the limit.
			l.mu.Lock()
			l.conns[conn] = struct{}{}
			l.mu.Unlock()
			return
		}
	}
}

// claimSlot claims a slot for a new connection. Where all are taken it returns the connection to close; nil: none yet.
func (l *Limiter) claimSlot(conn *ClientConn) (admitted bool, victim *ClientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.limit {
		l.conns[conn] = struct{}{}
		return true, nil
	}
	spared := map[*ClientConn]bool{} // bytes from their clients are on the way to a handler
	for {
		victim = l.evictionCandidate(spared)
		if victim == nil || victim.closeInput() {
			return false, victim
		}
		spared[victim] = true
	}
}

// evictionCandidate is the first connection to evict, but for those that are spared; nil: there is none.
func (l *Limiter) evictionCandidate(spared map[*ClientConn]bool) *ClientConn {
	now := time.Now()
	var first *ClientConn
	var firstRank evictionRank
	var firstSilentSince time.Time
	for conn := range l.conns {
		if conn.busy && conn.endSentAt.IsZero() || spared[conn] {
			continue
		}
		rank, silentSince := conn.evictionRank(now)
		if now.Sub(silentSince) < evictAfterSilence {
			continue
		}
		if first == nil || rank < firstRank || rank == firstRank && silentSince.Before(firstSilentSince) {
			first, firstRank, firstSilentSince = conn, rank, silentSince
		}
	}
	return first
}

// evictionRank orders connections for eviction, the first to be closed first. A client that is closed out before its
// request is read loses that request; one between two requests loses nothing.
type evictionRank int

const (
	evictSilent   evictionRank = iota // has never sent a byte, or was notified of its end
	evictIdleLong                     // has been without a request for minKeepAlive
	evictPartial                      // stopped in the middle of a request
	evictIdle                         // is between two requests
	evictNew                          // is new, or started a request a moment ago
)

// String names the rank for logs and tests.
func (r evictionRank) String() string {
	switch r {
	case evictSilent:
		return "silent"
	case evictIdleLong:
		return "idle for long"
	case evictPartial:
		return "partial request"
	case evictIdle:
		return "idle"
	case evictNew:
		return "new"
	default:
		return "unknown"
	}
}

// Limit is how many connections there may be.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

// SetLimit changes the limit. Connections above it are not closed for that.
func (l *Limiter) SetLimit(limit int) {
	l.mu.Lock()
	l.limit = limit
	l.mu.Unlock()
	l.wakeAdmit()
}

// Each calls a function with each open connection, under the limiter's lock.
func (l *Limiter) Each(visit func(*ClientConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		visit(conn)
	}
}

// Empty reports whether the limiter is closed, and no connection is open or about to be.
func (l *Limiter) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acceptsEnded.Load() && len(l.conns) == 0
}

// CloseIdle ends the connections on which nothing was sent since their last request. It reports whether a client may yet
// need a new connection for a request that crosses such an end: some connection that was open before the given time, and
// whose answers may not have ended it, has not gone. Each is notified by a half-close and goes with its client: what
// crosses that is read and discarded, as a reset could destroy an answer that the client has not read yet.
func (l *Limiter) CloseIdle(before time.Time) (more bool) {
	var ending []*ClientConn
	now := time.Now()
	l.mu.Lock()
	for conn := range l.conns {
		_, started := conn.requestStarted()
		switch {
		case !conn.endSentAt.IsZero():
			if more = true; now.Sub(conn.endSentAt) >= CloseWindow {
				ending = append(ending, conn)
			}
		case conn.busy:
			more = more || conn.since.Before(before)
		case started: // its answer ends it
		case !conn.reused && now.Sub(conn.since) < CloseWindow:
			more = more || conn.since.Before(before)
		default:
			more = true
			switch inputEnded, notified := conn.sendEnd(); {
			case notified:
				conn.endSentAt = now
			case inputEnded:
				ending = append(ending, conn)
			}
		}
	}
	l.mu.Unlock()
	for _, conn := range ending {
		_ = conn.end()
	}
	return more
}

// RejectPartial ends the connections without a complete head. Those from which part of one has come get a 503, all are
// notified by a half-close, and what still comes is read and discarded. CloseIdle closes them later.
func (l *Limiter) RejectPartial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		if !conn.busy && conn.endSentAt.IsZero() && conn.rejectPartial() {
			conn.endSentAt = time.Now()
		}
	}
}

// wakeAdmit makes a connection that waits for a slot look again.
func (l *Limiter) wakeAdmit() {
	select {
	case l.slotFreed <- struct{}{}:
	default:
	}
}

// Close closes the listener. Connections stay open, and one that waits for a slot gets it.
func (l *Limiter) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
