package upstream

import (
	"context"
	"os"
	"slices"
	"time"

	"marblelane/internal/sidecar/netcall"
)

// maxConnectTime is how long a dial may take, unless the configured connect timeout is longer. An attempt waits only
// for the connect timeout: a connection that is established later serves the next attempt.
const maxConnectTime = time.Second

// connWaiter is an attempt that waits for a new connection, which may have been dialed for another attempt. It gets no
// connection that has just carried a response: some servers close such a connection at that moment, and what is
// written to it is lost.
type connWaiter struct {
	result chan dialResult // buffered for its one result; never closed
}

// dialResult is the connection for a waiter, or the error of a dial.
type dialResult struct {
	conn *serverConn
	err  error
}

// acquire returns an idle connection, or dials a new one. The request writer checks a reused connection right before
// it writes. The wait for a new connection is limited by the connect timeout and the deadline. The event loop gets
// Connecting events for an attempt that dials; attempt is nil for a health check.
func (p *Pool) acquire(ctx context.Context, server *Server, deadline time.Time, attempt *Attempt) (
	conn *serverConn, reused bool, err error) {
	if server.Retired.Load() || !time.Now().Before(deadline) {
		return nil, false, errAttemptObsolete
	}
	if conn := p.takeFreshIdle(server); conn != nil {
		return conn, true, nil
	}
	if !p.reserve() {
		return nil, false, errPoolExhausted
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

// takeFreshIdle takes a connection that has been idle for less than the maximum idle time, and closes connections that
// have been idle for longer, as their server may close them at any time. It returns nil if there is none.
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

// awaitConnection starts a dial, which reserve has counted, and waits for the first new connection to the server. A
// connection that is established too late for this attempt serves a later one.
func (p *Pool) awaitConnection(ctx context.Context, server *Server, deadline time.Time) (*serverConn, error) {
	waiter := &connWaiter{result: make(chan dialResult, 1)}
	p.mu.Lock()
	server.waiting = append(server.waiting, waiter)
	server.dialing++
	p.mu.Unlock()
	p.dialers.Go(func() { p.dial(server) })
	timer := time.NewTimer(min(p.connectTimeout, time.Until(deadline)))
	defer timer.Stop()
	select {
	case received := <-waiter.result:
		return received.conn, received.err
	case <-timer.C:
		return p.stopWaiting(server, waiter, os.ErrDeadlineExceeded)
	case <-ctx.Done():
		return p.stopWaiting(server, waiter, ctx.Err())
	}
}

// stopWaiting removes an attempt from the waiting ones and returns the cause. It returns the result of a dial instead
// if that was delivered at the same moment.
func (p *Pool) stopWaiting(server *Server, waiter *connWaiter, cause error) (*serverConn, error) {
	p.mu.Lock()
	if i := slices.Index(server.waiting, waiter); i >= 0 {
		server.waiting = slices.Delete(server.waiting, i, i+1)
	}
	p.mu.Unlock()
	select {
	case received := <-waiter.result:
		return received.conn, received.err
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
	conn := newServerConn(raw, server, p.heads.NewReservation())
	if p.deliver(conn) {
		return
	}
	p.post(ConnectionReady{server}) // not under the lock, which the event loop may be waiting for
}

// failDial ends one waiting attempt with the error of a dial, unless the dials that are still running are enough for
// all waiting attempts. If the failure is one of this machine, it ends the attempt that has waited least.
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

// deliver passes a connection that was just established to a waiting attempt, as assign does.
func (p *Pool) deliver(conn *serverConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.server.dialing--
	return p.assign(conn)
}

// giveBack returns a connection to the pool to which its attempt has written nothing. One that has carried no request yet
// goes to a waiting attempt, if there is one.
func (p *Pool) giveBack(conn *serverConn, reused bool) {
	if reused {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.addIdle(conn)
		return
	}
	p.mu.Lock()
	assigned := p.assign(conn)
	p.mu.Unlock()
	if !assigned {
		p.post(ConnectionReady{conn.server})
	}
}

// assign passes a connection that has carried no request to the attempt that has waited longest, and returns true. If no
// attempt waits, it keeps the connection idle and returns false. The caller holds the lock.
func (p *Pool) assign(conn *serverConn) bool {
	if len(conn.server.waiting) == 0 {
		p.addIdle(conn)
		return false
	}
	conn.server.popFirstWaiter().result <- dialResult{conn: conn}
	return true
}

// popFirstWaiter removes and returns the attempt that has waited longest. The caller holds the lock of the pool.
func (s *Server) popFirstWaiter() *connWaiter { return s.popWaiter(0) }

// popLastWaiter removes and returns the attempt that has waited least, which has the most time left to try another
// server. The dials that are running serve the attempts before it. The caller holds the lock of the pool.
func (s *Server) popLastWaiter() *connWaiter { return s.popWaiter(len(s.waiting) - 1) }

// popWaiter removes and returns the waiter at an index. The caller holds the lock of the pool.
func (s *Server) popWaiter(i int) *connWaiter {
	waiter := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return waiter
}
