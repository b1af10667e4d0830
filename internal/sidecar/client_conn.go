package sidecar

// This file is a client's connection: what is read from it counts, or it is being closed.

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clientConn is a connection in the room.
type clientConn struct {
	net.Conn
	limiter *connLimiter
	heard   atomic.Int64 // when it last sent something, in ns since the room's epoch; 0: nothing yet; or deaf

	// taking is held while bytes are taken from the system, and while the end of the connection is decided and told:
	// what comes is either read before that, and counts, or after it, and does not. It may be taken under the room's
	// lock, not the other way round.
	taking  sync.Mutex
	holding bool // net/http may hold bytes that it has not begun a request with
	working bool // as busy

	since time.Time // it came, or its last request ended; under the room's lock, as are these:
	kept  bool      // it has had a request
	busy  bool      // a request is at work
	cut   bool      // its answer broke off
	told  time.Time // when the end of the connection was sent; zero: it was not
}

// Read drops what comes on a connection whose input is closed, up to the client's end. While the system is short of
// memory for it the bytes stay where they are and are read again, for up to callLimit.
func (g *clientConn) Read(p []byte) (int, error) {
	conn, ok := g.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	g.taking.Lock()
	g.holding = g.working // it reads on when it has nothing left of what it has read
	g.taking.Unlock()
	var n int
	var failed error
	// As a wait for more bytes would not end with those that have come, a failure leaves raw.Read first.
	_ = repeatCall(func() error {
		err = raw.Read(func(fd uintptr) (done bool) {
			n, failed = g.take(int(fd), p)
			return failed != syscall.EAGAIN
		})
		if err != nil {
			return err
		}
		return failed
	})
	switch {
	case err != nil:
		return 0, readError(err)
	case failed != nil:
		return 0, &net.OpError{
			Op: "read", Net: "tcp", Source: g.LocalAddr(), Addr: g.RemoteAddr(), Err: os.NewSyscallError("read", failed),
		}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// take reads what there is; EAGAIN: nothing.
func (g *clientConn) take(fd int, p []byte) (n int, err error) {
	g.taking.Lock()
	defer g.taking.Unlock()
	for {
		n, err = g.limiter.read(fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, nil
		case g.heard.Load() == inputClosed:
			continue
		}
		g.heard.Store(int64(time.Since(epoch)))
		g.holding = true
		return n, nil
	}
}

// readError names an error as that of a read: net/http tells by it that nobody is there to be answered.
func readError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		op.Op = "read"
	}
	return err
}

// SetReadDeadline also tells that a request has begun, of which all may have come with the one before: net/http sets a
// bound for the head from its first bytes on, and none between requests.
func (g *clientConn) SetReadDeadline(t time.Time) error {
	g.taking.Lock()
	if !t.IsZero() && !g.working && g.heard.Load() != inputClosed && g.heard.Load() != 0 {
		g.heard.Store(int64(time.Since(epoch)))
	}
	g.taking.Unlock()
	return g.Conn.SetReadDeadline(t)
}

// Close ends the connection. Where an answer has just been written it is half closed, and closed when its client has
// gone, 0.2 s later at most: a close over bytes that nobody has read resets the connection, and the answer is lost.
func (g *clientConn) Close() error {
	if !g.linger() {
		return g.end()
	}
	go g.drop()
	return nil
}

// linger half closes the connection, if it has an answer that its client may not have read.
func (g *clientConn) linger() bool {
	g.limiter.mu.Lock()
	defer g.limiter.mu.Unlock()
	if !g.busy || g.cut || !g.told.IsZero() {
		return false
	}
	g.taking.Lock()
	defer g.taking.Unlock()
	if open, unread := peek(g.Conn); !open && !unread {
		return false
	}
	half, ok := g.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	g.heard.Store(inputClosed)
	g.holding = false
	g.told = time.Now()
	return true
}

// drop reads what still comes, up to the client's end, and closes the connection.
func (g *clientConn) drop() {
	late := time.AfterFunc(closeWindow, func() { g.end() })
	defer late.Stop()
	g.Conn.SetReadDeadline(time.Time{})
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		if _, err := g.Conn.Read(*buf); err != nil {
			break
		}
	}
	g.end()
}

// cutOff makes the connection end at once when it is closed: its answer is not whole.
func (g *clientConn) cutOff() {
	g.limiter.mu.Lock()
	g.cut = true
	g.limiter.mu.Unlock()
}

// end closes the connection, and gives its place free.
func (g *clientConn) end() error {
	g.limiter.mu.Lock()
	delete(g.limiter.conns, g)
	g.limiter.mu.Unlock()
	g.limiter.hint()
	return g.Conn.Close()
}

// work tells that a whole request is there: from now on the connection is nobody's to close.
func (g *clientConn) work() {
	g.limiter.mu.Lock()
	g.busy = true
	g.limiter.mu.Unlock()
	g.taking.Lock()
	g.working = true
	g.taking.Unlock()
}

// rest tells that its request is answered.
func (g *clientConn) rest() {
	g.taking.Lock()
	g.working, g.holding = false, true // the next one may have come with it
	g.taking.Unlock()
	g.limiter.mu.Lock()
	g.busy, g.kept, g.since = false, true, time.Now()
	g.limiter.mu.Unlock()
}

// transport gives the connection of the system.
func (g *clientConn) transport() net.Conn { return g.Conn }

// begun tells whether some of a request has come since the last one, and when the connection was last heard of.
func (g *clientConn) begun() (last time.Time, begun bool) {
	if at := g.heard.Load(); at != 0 && at != inputClosed {
		if heard := epoch.Add(time.Duration(at)); heard.After(g.since) {
			return heard, true
		}
	}
	return g.since, false
}

func (g *clientConn) order(now time.Time) (order int, last time.Time) {
	last, begun := g.begun()
	quiet := now.Sub(last)
	switch {
	case !g.told.IsZero():
		return silent, g.told
	case (begun || !g.kept) && quiet < newConnGrace:
		return young, g.since
	case begun:
		return halfSent, last
	case !g.kept:
		return silent, last
	case quiet >= keepAliveAtLeast:
		return idleLong, last
	default:
		return idle, last
	}
}

// leave closes the input of the connection, unless something has come on it that has not become a request: that is
// either read and answered, or never runs and its client sends it again.
func (g *clientConn) leave() bool {
	g.taking.Lock()
	defer g.taking.Unlock()
	return g.leaveLocked()
}

func (g *clientConn) leaveLocked() bool {
	if g.holding {
		return false
	}
	if _, unread := peek(g.Conn); unread {
		return false
	}
	g.heard.Store(inputClosed)
	return true
}

// tellEnd closes the input of the connection as leave does, unless half a request has come on it, and tells the client
// so by half a close. Nothing is read from it in between.
func (g *clientConn) tellEnd() (left, told bool) {
	g.taking.Lock()
	defer g.taking.Unlock()
	if _, begun := g.begun(); begun || !g.leaveLocked() {
		return false, false
	}
	half, ok := g.Conn.(interface{ CloseWrite() error })
	return true, ok && half.CloseWrite() == nil
}
