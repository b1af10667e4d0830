package clientserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

// ClientConn is a connection in the room.
type ClientConn struct {
	net.Conn
	limiter  *Limiter
	LastRead atomic.Int64 // when it last sent something, in ns since the room's epoch; 0: nothing yet; or deaf

	// readLock is held while bytes are taken from the system, and while the end of the connection is decided and told:
	// what comes is either read before that, and counts, or after it, and does not. It may be taken under the room's
	// lock, not the other way round.
	readLock    sync.Mutex
	unprocessed bool // net/http may hold bytes that it has not begun a request with
	working     bool // as busy

	since        time.Time // it came, or its last request ended; under the room's lock, as are these:
	reused       bool      // it has had a request
	busy         bool      // a request is at work
	answerCutOff bool      // its answer broke off
	endSentAt    time.Time // when the end of the connection was sent; zero: it was not
}

// Read drops what comes on a connection whose input is closed, up to the client's end. While the system is short of
// memory for it the bytes stay where they are and are read again, for up to callLimit.
func (g *ClientConn) Read(p []byte) (int, error) {
	conn, ok := g.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	g.readLock.Lock()
	g.unprocessed = g.working // it reads on when it has nothing left of what it has read
	g.readLock.Unlock()
	var n int
	var failed error
	// As a wait for more bytes would not end with those that have come, a failure leaves raw.Read first.
	_ = netcall.RetryCall(func() error {
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
func (g *ClientConn) take(fd int, p []byte) (n int, err error) {
	g.readLock.Lock()
	defer g.readLock.Unlock()
	for {
		n, err = g.limiter.Read(fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, nil
		case g.LastRead.Load() == inputClosed:
			continue
		}
		g.LastRead.Store(int64(time.Since(epoch)))
		g.unprocessed = true
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
func (g *ClientConn) SetReadDeadline(t time.Time) error {
	g.readLock.Lock()
	if !t.IsZero() && !g.working && g.LastRead.Load() != inputClosed && g.LastRead.Load() != 0 {
		g.LastRead.Store(int64(time.Since(epoch)))
	}
	g.readLock.Unlock()
	return g.Conn.SetReadDeadline(t)
}

// Close ends the connection. Where an answer has just been written it is half closed, and closed when its client has
// gone, 0.2 s later at most: a close over bytes that nobody has read resets the connection, and the answer is lost.
func (g *ClientConn) Close() error {
	if !g.halfClose() {
		return g.end()
	}
	go g.discardInput()
	return nil
}

// halfClose half closes the connection, if it has an answer that its client may not have read.
func (g *ClientConn) halfClose() bool {
	g.limiter.Mu.Lock()
	defer g.limiter.Mu.Unlock()
	if !g.busy || g.answerCutOff || !g.endSentAt.IsZero() {
		return false
	}
	g.readLock.Lock()
	defer g.readLock.Unlock()
	if open, unread := netcall.Peek(g.Conn); !open && !unread {
		return false
	}
	half, ok := g.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	g.LastRead.Store(inputClosed)
	g.unprocessed = false
	g.endSentAt = time.Now()
	return true
}

// discardInput reads what still comes, up to the client's end, and closes the connection.
func (g *ClientConn) discardInput() {
	late := time.AfterFunc(CloseWindow, func() { g.end() })
	defer late.Stop()
	g.Conn.SetReadDeadline(time.Time{})
	buf := inflight.CopyBuffers.Get().(*[]byte)
	defer inflight.CopyBuffers.Put(buf)
	for {
		if _, err := g.Conn.Read(*buf); err != nil {
			break
		}
	}
	g.end()
}

// cutOff makes the connection end at once when it is closed: its answer is not whole.
func (g *ClientConn) cutOff() {
	g.limiter.Mu.Lock()
	g.answerCutOff = true
	g.limiter.Mu.Unlock()
}

// end closes the connection, and gives its place free.
func (g *ClientConn) end() error {
	g.limiter.Mu.Lock()
	delete(g.limiter.Conns, g)
	g.limiter.Mu.Unlock()
	g.limiter.wakeAdmit()
	return g.Conn.Close()
}

// RequestRead tells that a whole request is there: from now on the connection is nobody's to close.
func (g *ClientConn) RequestRead() {
	g.limiter.Mu.Lock()
	g.busy = true
	g.limiter.Mu.Unlock()
	g.readLock.Lock()
	g.working = true
	g.readLock.Unlock()
}

// RequestAnswered tells that its request is answered.
func (g *ClientConn) RequestAnswered() {
	g.readLock.Lock()
	g.working, g.unprocessed = false, true // the next one may have come with it
	g.readLock.Unlock()
	g.limiter.Mu.Lock()
	g.busy, g.reused, g.since = false, true, time.Now()
	g.limiter.Mu.Unlock()
}

// Transport gives the connection of the system.
func (g *ClientConn) Transport() net.Conn { return g.Conn }

// requestStarted tells whether some of a request has come since the last one, and when the connection was last heard of.
func (g *ClientConn) requestStarted() (last time.Time, begun bool) {
	if at := g.LastRead.Load(); at != 0 && at != inputClosed {
		if heard := epoch.Add(time.Duration(at)); heard.After(g.since) {
			return heard, true
		}
	}
	return g.since, false
}

func (g *ClientConn) evictionOrder(now time.Time) (order int, last time.Time) {
	last, begun := g.requestStarted()
	quiet := now.Sub(last)
	switch {
	case !g.endSentAt.IsZero():
		return silent, g.endSentAt
	case (begun || !g.reused) && quiet < newConnGrace:
		return young, g.since
	case begun:
		return halfSent, last
	case !g.reused:
		return silent, last
	case quiet >= keepAliveAtLeast:
		return idleLong, last
	default:
		return idle, last
	}
}

// closeInput closes the input of the connection, unless something has come on it that has not become a request: that is
// either read and answered, or never runs and its client sends it again.
func (g *ClientConn) closeInput() bool {
	g.readLock.Lock()
	defer g.readLock.Unlock()
	return g.closeInputLocked()
}

func (g *ClientConn) closeInputLocked() bool {
	if g.unprocessed {
		return false
	}
	if _, unread := netcall.Peek(g.Conn); unread {
		return false
	}
	g.LastRead.Store(inputClosed)
	return true
}

// sendEnd closes the input of the connection as leave does, unless half a request has come on it, and tells the client
// so by half a close. Nothing is read from it in between.
func (g *ClientConn) sendEnd() (left, told bool) {
	g.readLock.Lock()
	defer g.readLock.Unlock()
	if _, begun := g.requestStarted(); begun || !g.closeInputLocked() {
		return false, false
	}
	half, ok := g.Conn.(interface{ CloseWrite() error })
	return true, ok && half.CloseWrite() == nil
}
