package upstream

import (
	"context"
	"os"
	"slices"
	"time"

	"marblelane/internal/sidecar/netcall"
)

// maxConnectTime is how long a new connection may take to come up. An attempt does not wait that long: a late connection is
// there for the next attempt.
const maxConnectTime = time.Second

// connWaiter is an attempt that waits for a new connection: its own, or one that was dialed for another attempt. It does not
// get one that has just carried an answer: some servers close those right then, and what is written to them is lost.
type connWaiter struct {
	result chan dialResult // has room for the one result; never closed
}

// dialResult is the connection that a waiter gets, or the error of a dial.
type dialResult struct {
	conn *serverConn
	err  error
}

// acquire returns an idle connection, or dials a new one. The request writer checks an idle one right before it writes.
// Dialing is bounded by the settings and the deadline. The event loop gets Connecting for an attempt that dials; attempt is
// nil for a health check.
func (p *Pool) acquire(ctx context.Context, server *Server, deadline time.Time, attempt *Attempt) (conn *serverConn, reused bool,
	err error) {
	if server.Retired.Load() || !time.Now().Before(deadline) {
		return nil, false, errNotNeeded
	}
	if conn := p.takeFreshIdle(server); conn != nil {
		return conn, true, nil
	}
	if !p.reserve() {
		return nil, false, errNoSocket
	}
	if attempt != nil {
		p.post(Connecting{attempt, false})
	}
	conn, err = p.awaitConnection(ctx, server, deadline)
	if err != nil {
		return nil, false, err
	}
	if attempt != nil {
		p.post(Connecting{attempt, true})
	}
	return conn, false, nil
}

// takeFreshIdle takes an idle connection that its server has not closed for its age yet, and closes older ones. It returns
// nil if there is none.
func (p *Pool) takeFreshIdle(server *Server) *serverConn {
	maxIdle := p.idleAges.bound(p.maxIdle)
	for {
		conn := p.takeIdle(server)
		if conn == nil || time.Since(conn.idleSince) < maxIdle {
			return conn
		}
		p.discard(conn)
	}
}

// awaitConnection dials a connection that reserve has counted, and takes the first one to the server that comes up. One that
// is too late for this attempt serves a later one.
func (p *Pool) awaitConnection(ctx context.Context, server *Server, deadline time.Time) (*serverConn, error) {
	waiter := &connWaiter{result: make(chan dialResult, 1)}
	p.mu.Lock()
	server.waiting = append(server.waiting, waiter)
	server.dialing++
	p.mu.Unlock()
	p.dialers.Go(func() { p.dial(server) })
	late := time.NewTimer(min(p.connectWait, time.Until(deadline)))
	defer late.Stop()
	select {
	case got := <-waiter.result:
		return got.conn, got.err
	case <-late.C:
		return p.stopWaiting(server, waiter, os.ErrDeadlineExceeded)
	case <-ctx.Done():
		return p.stopWaiting(server, waiter, ctx.Err())
	}
}

// stopWaiting takes an attempt out of the line. It may have got its connection at the same moment.
func (p *Pool) stopWaiting(server *Server, waiter *connWaiter, cause error) (*serverConn, error) {
	p.mu.Lock()
	if i := slices.Index(server.waiting, waiter); i >= 0 {
		server.waiting = slices.Delete(server.waiting, i, i+1)
	}
	p.mu.Unlock()
	select {
	case got := <-waiter.result:
		return got.conn, got.err
	default:
		return nil, cause
	}
}

// dial opens one connection for the attempt that has waited longest.
func (p *Pool) dial(server *Server) {
	raw, err := p.dialContext(p.dialsContext, "tcp", server.Endpoint)
	if err != nil {
		p.failDial(server, err)
		return
	}
	conn := newServerConn(raw, server)
	if p.handOver(conn) {
		return
	}
	p.post(ConnectionReady{server}) // not under the lock, for which the event loop may be waiting
}

// failDial ends one attempt with the error of a dial, unless as many dials are running as attempts wait.
func (p *Pool) failDial(server *Server, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server.dialing--
	p.open--
	switch {
	case len(server.waiting) <= server.dialing:
	case netcall.LocalErrnos.Contains(err):
		server.popLastWaiter().result <- dialResult{err: err}
	default:
		server.popFirstWaiter().result <- dialResult{err: err}
	}
}

// handOver gives a new connection to the attempt that has waited longest, or keeps it idle if none waits. It reports whether
// one did.
func (p *Pool) handOver(conn *serverConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.server.dialing--
	if len(conn.server.waiting) == 0 {
		p.addIdle(conn)
		return false
	}
	conn.server.popFirstWaiter().result <- dialResult{conn: conn}
	return true
}

// popFirstWaiter removes the attempt that has waited longest; the caller holds the lock of the pool.
func (s *Server) popFirstWaiter() *connWaiter { return s.popWaiter(0) }

// popLastWaiter removes the attempt that has waited least and so has most time to go elsewhere; the caller holds the lock of
// the pool. The dials that are running are left for those before it.
func (s *Server) popLastWaiter() *connWaiter { return s.popWaiter(len(s.waiting) - 1) }

// popWaiter removes the waiter with an index; the caller holds the lock of the pool.
func (s *Server) popWaiter(i int) *connWaiter {
	waiter := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return waiter
}
