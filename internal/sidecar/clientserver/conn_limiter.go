package clientserver

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	listening "marblelane/internal/listener"
	"marblelane/internal/sidecar/memory"
	"marblelane/internal/sidecar/netcall"
)

const (
	// evictAfterSilence is the minimum time without input before a connection may be evicted. A client that connects to
	// send a request does so immediately, but this process needs time to read it.
	evictAfterSilence = 50 * time.Millisecond
	// newConnGrace is how long a client may pause within its request without being evicted early. A client may take 2 s
	// to send a head.
	newConnGrace = time.Second
	// minKeepAlive is how long a connection is kept after its last response, unless no connection of a lower
	// evictionRank is left to evict.
	minKeepAlive = 2 * time.Second
	// CloseWindow is the maximum time that a request is assumed to be in transit. It is granted on a new connection
	// after the client has connected, and again on the replacement of a connection whose end crossed the request.
	CloseWindow = 200 * time.Millisecond
)

// partialRequestResponse rejects a request of which only part of the head has arrived. No server has run it.
const partialRequestResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Limiter is a listener that limits the number of open connections, and the memory for the heads of their requests. At
// the limit it evicts a connection for each new one, so that silent clients cannot prevent others from connecting. It
// never evicts a connection with an active request, and evicts connections in the order of their evictionRank.
type Limiter struct {
	net.Listener
	slotFreed    chan struct{} // gets a token when a connection was closed or the limit was changed; never closed
	closed       chan struct{} // closed by Close
	closeOnce    sync.Once
	acceptsEnded atomic.Bool // Accept has failed after Close, so no further connection will be accepted
	readCall     func(fd int, p []byte) (n int, err error)
	heads        *memory.Budget // for the heads of requests, until their responses are written

	mu           sync.Mutex // guards the fields below
	limit        int
	conns        map[*ClientConn]struct{}
	headShortage headShortage
}

// NewLimiter returns a Limiter that accepts connections from a listener.
func NewLimiter(listener net.Listener, limit int) *Limiter {
	return &Limiter{
		Listener: listener, limit: limit, conns: map[*ClientConn]struct{}{},
		slotFreed: make(chan struct{}, 1), closed: make(chan struct{}), readCall: syscall.Read,
		heads: memory.NewBudget(math.MaxInt64),
	}
}

// SetReadCall replaces the system call that reads from connections. Tests use it to simulate errors. It must be called
// before the first Accept.
func (l *Limiter) SetReadCall(read func(fd int, p []byte) (n int, err error)) { l.readCall = read }

// Accept waits for the next connection, and then until there is a slot for it.
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
	conn := &ClientConn{Conn: accepted, limiter: l, readySince: time.Now(), headMemory: l.heads.NewReservation()}
	l.admit(conn)
	return conn, nil
}

// acceptsFailed reports whether accepts have failed recently, so that connections may have waited to be accepted.
func (l *Limiter) acceptsFailed() bool {
	listener, ok := l.Listener.(*listening.Listener)
	return ok && listener.FailedWithin(netcall.AcceptFailureWindow)
}

// admit waits until there is a slot for a connection, or until the listener is closed.
func (l *Limiter) admit(conn *ClientConn) {
	for {
		admitted, victim := l.claimSlot(conn)
		if admitted {
			return
		}
		if victim != nil {
			_ = victim.closeNow()
			continue
		}
		select {
		case <-l.slotFreed:
		case <-time.After(evictAfterSilence):
		case <-l.closed:
			// The client connected before the listener was closed, so its connection is admitted above the limit.
			l.mu.Lock()
			l.conns[conn] = struct{}{}
			l.mu.Unlock()
			return
		}
	}
}

// claimSlot claims a slot for a new connection. If all slots are taken it returns the connection to close, or nil if
// none can be closed yet.
func (l *Limiter) claimSlot(conn *ClientConn) (admitted bool, victim *ClientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.limit {
		l.conns[conn] = struct{}{}
		return true, nil
	}
	spared := map[*ClientConn]bool{} // not evicted: bytes from their clients have not reached a handler yet
	for {
		victim = l.evictionCandidate(spared)
		if victim == nil || victim.closeInput() {
			return false, victim
		}
		spared[victim] = true
	}
}

// evictionCandidate returns the first connection to evict among those that are not spared, or nil if there is none.
func (l *Limiter) evictionCandidate(spared map[*ClientConn]bool) *ClientConn {
	now := time.Now()
	var first *ClientConn
	var firstRank evictionRank
	var firstSilentSince time.Time
	for conn := range l.conns {
		if conn.busy && conn.halfClosedAt.IsZero() || spared[conn] {
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

// evictionRank orders connections for eviction: lower ranks are evicted first. Evicting a connection between two
// requests costs the client nothing, but evicting it before its request is read makes that request fail.
type evictionRank int

const (
	evictSilent   evictionRank = iota // has sent no byte since it was accepted at least newConnGrace ago, or is half-closed
	evictIdleLong                     // has been between two requests for at least minKeepAlive
	evictPartial                      // has sent part of a request, the last of it at least newConnGrace ago
	evictIdle                         // has been between two requests for less than minKeepAlive
	evictNew                          // was accepted, or has sent part of a request, less than newConnGrace ago
)

// String returns the name of the rank for logs and tests.
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

// Limit returns the maximum number of connections.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

// SetLimit changes the limit. It does not close connections that exceed the new limit.
func (l *Limiter) SetLimit(limit int) {
	l.mu.Lock()
	l.limit = limit
	l.mu.Unlock()
	l.wakeAdmit()
}

// Each calls a function with each open connection, while holding the limiter's lock.
func (l *Limiter) Each(visit func(*ClientConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		visit(conn)
	}
}

// Empty reports whether the limiter is closed, no connection is open and none is waiting for a slot.
func (l *Limiter) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acceptsEnded.Load() && len(l.conns) == 0
}

// CloseIdle half-closes the connections on which the client has sent nothing since its last request. The half-close
// notifies the client. A connection is closed when its client closes its side, or in a later call after CloseWindow.
// Input after the half-close is read and discarded, because a reset could destroy a response that the client has not
// read yet.
//
// It returns true if a client may still need a new connection, for a request that crosses the end of its old one. That
// is the case while an idle or half-closed connection is open. It is also the case while a busy or newly accepted
// connection is open that was ready for its request before the given time, since its response may not have announced
// the end.
func (l *Limiter) CloseIdle(before time.Time) (more bool) {
	var toClose []*ClientConn
	now := time.Now()
	l.mu.Lock()
	for conn := range l.conns {
		_, started := conn.requestStarted()
		switch {
		case !conn.halfClosedAt.IsZero():
			if more = true; now.Sub(conn.halfClosedAt) >= CloseWindow {
				toClose = append(toClose, conn)
			}
		case conn.busy:
			more = more || conn.readySince.Before(before)
		case started: // closed after the response to its request
		case !conn.reused && now.Sub(conn.readySince) < CloseWindow:
			more = more || conn.readySince.Before(before)
		default:
			more = true
			switch inputEnded, notified := conn.halfCloseIdle(); {
			case notified:
				conn.halfClosedAt = now
			case inputEnded:
				toClose = append(toClose, conn)
			}
		}
	}
	l.mu.Unlock()
	for _, conn := range toClose {
		_ = conn.closeNow()
	}
	return more
}

// RejectPartial half-closes the connections without a complete request head. If part of a head has arrived it sends a
// 503 first. Further input is read and discarded, and a later CloseIdle closes the connections.
func (l *Limiter) RejectPartial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		if !conn.busy && conn.halfClosedAt.IsZero() && conn.rejectPartial() {
			conn.halfClosedAt = time.Now()
		}
	}
}

// wakeAdmit wakes a connection that waits in admit, so that it tries again to claim a slot.
func (l *Limiter) wakeAdmit() {
	select {
	case l.slotFreed <- struct{}{}:
	default:
	}
}

// Close closes the listener. Open connections stay open, and a connection that waits for a slot is admitted.
func (l *Limiter) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
