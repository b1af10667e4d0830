package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/netcall"
)

// maxConnectTime is how long a new connection may take to come up (STANDING). Nobody waits that long for it: it is kept for
// who comes next.
const maxConnectTime = time.Second

var errNoSocket = errors.New("no socket is free")

// connWaiter is an attempt that waits for a new connection: its own, or one that was begun for another. One that has just
// carried an answer it does not get: servers close some of those right then, and what is written to them is lost.
type connWaiter struct{ done chan dialResult }

// dialResult is what a waiter gets.
type dialResult struct {
	conn *ServerConn
	err  error
}

// acquire takes a kept connection, or dials. Whether a kept one is still good the sender asks right before it
// writes. Dialing is bounded by the settings and by the time that the request has left; the loop is told of it, unless
// it is for a probe.
func (p *Pool) acquire(ctx context.Context, up *Server, cut time.Time, a *Attempt) (*ServerConn, bool, error) {
	if up.Retired.Load() || !time.Now().Before(cut) {
		return nil, false, errNotNeeded
	}
	for connIdle := p.idleAges.within(p.connIdle); ; {
		conn := p.takeIdle(up)
		if conn == nil {
			break
		}
		if time.Since(conn.idleSince) < connIdle {
			return conn, true, nil
		}
		p.discard(conn)
	}
	if !p.reserve() {
		return nil, false, errNoSocket
	}
	if a != nil {
		p.Post(Connecting{a, false})
	}
	conn, err := p.awaitConnection(ctx, up, cut)
	if err != nil {
		return nil, false, err
	}
	if a != nil {
		p.Post(Connecting{a, true})
	}
	return conn, false, nil
}

// awaitConnection begins a new connection, for which room is reserved, and takes the first that comes up. One that comes up too
// late for this attempt serves a later one.
func (p *Pool) awaitConnection(ctx context.Context, up *Server, cut time.Time) (*ServerConn, error) {
	w := &connWaiter{done: make(chan dialResult, 1)}
	p.mu.Lock()
	up.waiting = append(up.waiting, w)
	up.dialing++
	p.mu.Unlock()
	p.dialers.Go(func() { p.dial(up) })
	late := time.NewTimer(min(p.connectWait, time.Until(cut)))
	defer late.Stop()
	var err error
	select {
	case got := <-w.done:
		return got.conn, got.err
	case <-late.C:
		err = os.ErrDeadlineExceeded
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.mu.Lock()
	if i := slices.Index(up.waiting, w); i >= 0 {
		up.waiting = slices.Delete(up.waiting, i, i+1)
	}
	p.mu.Unlock()
	select { // it was served at the same moment
	case got := <-w.done:
		return got.conn, got.err
	default:
		return nil, err
	}
}

// dial brings one connection up, for whoever waits first.
func (p *Pool) dial(up *Server) {
	c, err := p.dialContext(p.dials, "tcp", up.Endpoint)
	p.mu.Lock()
	up.dialing--
	if err != nil {
		p.open--
		switch { // if nothing is on its way for one of them
		case len(up.waiting) <= up.dialing:
		case netcall.LocalErrnos.Has(err):
			up.newestWaiter() <- dialResult{err: err}
		default:
			up.nextWaiter() <- dialResult{err: err}
		}
		p.mu.Unlock()
		return
	}
	head := framing.NewHeadConn(c)
	left := &io.LimitedReader{R: head}
	conn := &ServerConn{Conn: c, in: bufio.NewReader(left), readLimit: left, head: head, server: up, idleSince: time.Now()}
	wanted := len(up.waiting) > 0
	if wanted {
		up.nextWaiter() <- dialResult{conn: conn}
	} else {
		p.keep(conn)
	}
	p.mu.Unlock()
	if !wanted { // not under the lock: the loop may be waiting for it
		p.Post(ConnectionReady{up})
	}
}

// nextWaiter takes the first waiter out of the line; the caller holds the lock.
func (up *Server) nextWaiter() chan<- dialResult {
	w := up.waiting[0]
	up.waiting = slices.Delete(up.waiting, 0, 1)
	return w.done
}

// newestWaiter takes the last waiter out of the line, which has waited least and goes elsewhere soonest; the caller holds the
// lock. What is on its way is left for those before it.
func (up *Server) newestWaiter() chan<- dialResult {
	last := len(up.waiting) - 1
	w := up.waiting[last]
	up.waiting = slices.Delete(up.waiting, last, last+1)
	return w.done
}
