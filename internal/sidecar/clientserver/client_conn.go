package clientserver

import (
	"errors"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

// epoch is what ClientConn.lastRead counts from, by the monotonic clock.
var epoch = time.Now()

// inputClosed in place of a time of ClientConn.lastRead: what the client sends from now on is discarded.
const inputClosed = math.MinInt64

// ClientConn is the connection of a client.
type ClientConn struct {
	net.Conn
	limiter  *Limiter
	lastRead atomic.Int64 // when bytes were last read, in ns since epoch; 0: never; or inputClosed

	// readLock is held while bytes are read from the system, and while the end of the connection is decided and sent.
	// What the client sends is either read before that, and becomes a request, or after it, and is discarded. It may be
	// locked while Limiter.mu is held, not the other way round.
	readLock    sync.Mutex
	unprocessed bool // net/http may hold bytes that it has not started a request with
	working     bool // like busy, under this lock

	// Limiter.mu guards the fields below.
	since        time.Time // the connection was accepted, or its last request was answered
	reused       bool      // it has had a request
	busy         bool      // a request is at work
	answerCutOff bool      // its answer broke off
	endSentAt    time.Time // when the client was notified of the end of the connection; zero: it was not
}

// LastRead is when bytes were last read from the client; zero: there were none, or its input is closed.
func (c *ClientConn) LastRead() time.Time {
	if at := c.lastRead.Load(); at != 0 && at != inputClosed {
		return epoch.Add(time.Duration(at))
	}
	return time.Time{}
}

// Read discards what comes on a connection whose input is closed, up to the client's end. While the system is short of
// memory the bytes stay in it and are read again, until netcall.RetryCall gives up.
func (c *ClientConn) Read(p []byte) (int, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	c.readLock.Lock()
	c.unprocessed = c.working // net/http reads on when it has used up what it has read
	c.readLock.Unlock()
	var n int
	var failed error
	// raw.Read waits for more bytes only after EAGAIN: a wait after another error would not end with the bytes that are
	// there already.
	_ = netcall.RetryCall(func() error {
		err = raw.Read(func(fd uintptr) (done bool) {
			n, failed = c.readAvailable(int(fd), p)
			return failed != syscall.EAGAIN
		})
		if err != nil {
			return err
		}
		return failed
	})
	switch {
	case err != nil:
		return 0, asReadError(err)
	case failed != nil:
		return 0, &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", failed),
		}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readAvailable reads the bytes that are there; EAGAIN: none.
func (c *ClientConn) readAvailable(fd int, p []byte) (n int, err error) {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	for {
		n, err = c.limiter.readCall(fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, nil
		case c.lastRead.Load() == inputClosed:
			continue
		}
		c.lastRead.Store(int64(time.Since(epoch)))
		c.unprocessed = true
		return n, nil
	}
}

// asReadError names an error as that of a read: net/http answers no client whose connection failed while it was read.
func asReadError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		op.Op = "read"
	}
	return err
}

// SetReadDeadline also shows that a request has started, all of which may have come with the one before: net/http sets a
// deadline for a head from its first bytes on, and none between requests.
func (c *ClientConn) SetReadDeadline(t time.Time) error {
	c.readLock.Lock()
	if !t.IsZero() && !c.working && c.lastRead.Load() != inputClosed && c.lastRead.Load() != 0 {
		c.lastRead.Store(int64(time.Since(epoch)))
	}
	c.readLock.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Close ends the connection. Where an answer has just been written it half-closes it, and closes it when the client has
// gone or CloseWindow is over: a close over unread bytes resets the connection, and the answer is lost.
func (c *ClientConn) Close() error {
	if !c.halfCloseAfterAnswer() {
		return c.end()
	}
	go c.discardInput()
	return nil
}

// halfCloseAfterAnswer half-closes the connection, if it has an answer that its client may not have read.
func (c *ClientConn) halfCloseAfterAnswer() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.busy || c.answerCutOff || !c.endSentAt.IsZero() {
		return false
	}
	c.readLock.Lock()
	defer c.readLock.Unlock()
	if open, unread := netcall.Peek(c.Conn); !open && !unread {
		return false
	}
	if !c.closeWrite() {
		return false
	}
	c.lastRead.Store(inputClosed)
	c.unprocessed = false
	c.endSentAt = time.Now()
	return true
}

// closeWrite half-closes the connection, and reports whether it has.
func (c *ClientConn) closeWrite() bool {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && conn.CloseWrite() == nil
}

// discardInput reads what still comes, up to the client's end, and closes the connection.
func (c *ClientConn) discardInput() {
	timeout := time.AfterFunc(CloseWindow, func() { _ = c.end() })
	defer timeout.Stop()
	c.Conn.SetReadDeadline(time.Time{})
	buf := inflight.CopyBuffers.Get().(*[]byte)
	defer inflight.CopyBuffers.Put(buf)
	for {
		if _, err := c.Conn.Read(*buf); err != nil {
			break
		}
	}
	_ = c.end()
}

// cutOff makes Close end the connection at once: its answer is not complete.
func (c *ClientConn) cutOff() {
	c.limiter.mu.Lock()
	c.answerCutOff = true
	c.limiter.mu.Unlock()
}

// end closes the connection and frees its slot.
func (c *ClientConn) end() error {
	c.limiter.mu.Lock()
	delete(c.limiter.conns, c)
	c.limiter.mu.Unlock()
	c.limiter.wakeAdmit()
	return c.Conn.Close()
}

// RequestRead tells that a head is complete: the limiter does not close the connection before its answer.
func (c *ClientConn) RequestRead() {
	c.limiter.mu.Lock()
	c.busy = true
	c.limiter.mu.Unlock()
	c.readLock.Lock()
	c.working = true
	c.readLock.Unlock()
}

// ResponseWritten tells that the request is answered.
func (c *ClientConn) ResponseWritten() {
	c.readLock.Lock()
	c.working, c.unprocessed = false, true // the next request may have come with this one
	c.readLock.Unlock()
	c.limiter.mu.Lock()
	c.busy, c.reused, c.since = false, true, time.Now()
	c.limiter.mu.Unlock()
}

// NetConn is the connection of the system.
func (c *ClientConn) NetConn() net.Conn { return c.Conn }

// requestStarted reports whether some of a request has come since the last one, and since when the client is silent.
// Limiter.mu is held.
func (c *ClientConn) requestStarted() (silentSince time.Time, started bool) {
	if lastRead := c.LastRead(); lastRead.After(c.since) {
		return lastRead, true
	}
	return c.since, false
}

// evictionRank says how early the connection is evicted, and since when it is silent. Limiter.mu is held.
func (c *ClientConn) evictionRank(now time.Time) (rank evictionRank, silentSince time.Time) {
	silentSince, started := c.requestStarted()
	silence := now.Sub(silentSince)
	switch {
	case !c.endSentAt.IsZero():
		return evictSilent, c.endSentAt
	case (started || !c.reused) && silence < newConnGrace:
		return evictNew, c.since
	case started:
		return evictPartial, silentSince
	case !c.reused:
		return evictSilent, silentSince
	case silence >= minKeepAlive:
		return evictIdleLong, silentSince
	default:
		return evictIdle, silentSince
	}
}

// closeInput closes the input of the connection, unless bytes have come on it that have not become a request: those are
// read and answered. What comes after it never runs, and its client sends it again.
func (c *ClientConn) closeInput() bool {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	return c.closeInputLocked()
}

// closeInputLocked is closeInput with readLock held.
func (c *ClientConn) closeInputLocked() bool {
	if c.unprocessed {
		return false
	}
	if _, unread := netcall.Peek(c.Conn); unread {
		return false
	}
	c.lastRead.Store(inputClosed)
	return true
}

// sendEnd closes the input of the connection as closeInput does, unless part of a request has come on it, and notifies
// the client by a half-close. Nothing is read from it in between. Limiter.mu is held.
func (c *ClientConn) sendEnd() (inputEnded, notified bool) {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	if _, started := c.requestStarted(); started || !c.closeInputLocked() {
		return false, false
	}
	return true, c.closeWrite()
}

// rejectPartial answers part of a request, if there is one, and notifies the client of the end of the connection. It
// reports whether it has: not where bytes of the client are on the way to a handler. Limiter.mu is held.
func (c *ClientConn) rejectPartial() bool {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	_, started := c.requestStarted()
	if c.working || !c.closeInputLocked() {
		return false
	}
	if started {
		netcall.WriteNow(c.Conn, partialAnswer)
	}
	return c.closeWrite()
}
