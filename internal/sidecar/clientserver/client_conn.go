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

	"golang.org/x/time/rate"

	"marblelane/internal/sidecar/memory"
	"marblelane/internal/sidecar/netcall"
)

// epoch is the time from which ClientConn.lastRead counts, on the monotonic clock.
var epoch = time.Now()

// discardBufferSize is the size of the buffer of a connection whose input is discarded, in bytes. All connections may be
// in that state at once.
const discardBufferSize = 2 << 10

// inputClosed is a special value of ClientConn.lastRead: bytes that the client sends are read and discarded.
const inputClosed = math.MinInt64

// ClientConn is the connection of a client.
type ClientConn struct {
	net.Conn
	limiter    *Limiter
	headMemory *memory.Reservation // closed with the connection
	lastRead   atomic.Int64        // when bytes were last read, in ns since epoch; 0: never; inputClosed: input is discarded
	input      inputClock

	ownResponses *rate.Limiter // of responses that need no server; used by the handler; nil: there were none

	// readLock is held while bytes are read from the system, and while the connection is selected for closing and
	// half-closed. So bytes from the client are either read before the half-close and become part of a request, or are
	// read after it and discarded. It may be locked while Limiter.mu is held, but not the other way round.
	readLock      sync.Mutex
	inputBuffered bool // net/http may hold bytes that it has not started to parse as a request
	working       bool // same as busy, but guarded by readLock

	// Limiter.mu guards the fields below.
	readySince         time.Time // when the connection was accepted, or when its last response was written
	reused             bool      // at least one response has been written
	busy               bool      // the head of a request was read and its response is not written yet
	responseIncomplete bool      // the response was broken off
	halfClosedAt       time.Time // when the client was notified by a half-close that the connection ends; zero: it was not
}

// LastRead returns when bytes were last read from the client. It is zero if none were read or if the input is closed.
func (c *ClientConn) LastRead() time.Time {
	if at := c.lastRead.Load(); at != 0 && at != inputClosed {
		return epoch.Add(time.Duration(at))
	}
	return time.Time{}
}

// LastByteNotBefore returns the earliest time at which the client can have written the last byte of the request that is
// being read, of which at least remaining bytes were not read yet. It returns the zero time if the client has not written
// that byte yet.
func (c *ClientConn) LastByteNotBefore(remaining int64) time.Time {
	return c.input.lastByteNotBefore(time.Now(), remaining, c.unreadBytes)
}

// LastReadNotBefore returns the earliest time at which the client can have written the last byte that was read. It is zero
// if nothing was read.
func (c *ClientConn) LastReadNotBefore() time.Time { return c.input.lastReadNotBefore() }

func (c *ClientConn) unreadBytes() (int, error) { return netcall.UnreadBytes(c.Conn) }

// Read reads from the connection. If the input is closed it discards all bytes until the client closes its side. If the
// system is short of memory the bytes stay in the socket buffer and the read is repeated, until netcall.RetryCall gives
// up.
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
	c.inputBuffered = c.working // net/http reads again only when it has parsed all bytes that it has read
	c.readLock.Unlock()
	var n int
	var readErr error
	// raw.Read waits for more bytes only after EAGAIN. After another error the wait would not be woken by bytes that
	// are already in the socket buffer.
	_ = netcall.RetryCall(func() error {
		err = raw.Read(func(fd uintptr) (done bool) {
			n, readErr = c.readAvailable(int(fd), p)
			return readErr != syscall.EAGAIN
		})
		if err != nil {
			return err
		}
		return readErr
	})
	c.input.endRead(time.Now())
	switch {
	case err != nil:
		return 0, asReadError(err)
	case readErr != nil:
		return 0, &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr),
		}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readAvailable reads the bytes in the socket buffer, without waiting. It returns EAGAIN if there are none.
func (c *ClientConn) readAvailable(fd int, p []byte) (n int, err error) {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	for {
		n, err = c.limiter.readCall(fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			c.input.startWaiting()
			return 0, err
		case err != nil:
			return 0, err
		case n == 0:
			return 0, nil
		case c.lastRead.Load() == inputClosed:
			continue
		}
		now := time.Now()
		c.lastRead.Store(int64(now.Sub(epoch)))
		c.input.record(now, n, c.unreadBytes)
		c.inputBuffered = true
		return n, nil
	}
}

// asReadError sets the operation of a network error to "read": after such an error net/http sends no response to the
// client.
func asReadError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		op.Op = "read"
	}
	return err
}

// SetReadDeadline sets the deadline of reads. It also records that the client has started a request: net/http sets a
// deadline when it has the first bytes of a head, and none between requests. This detects requests that arrived
// completely with the previous one, for which no bytes are read.
func (c *ClientConn) SetReadDeadline(t time.Time) error {
	c.readLock.Lock()
	if !t.IsZero() && !c.working && c.lastRead.Load() != inputClosed && c.lastRead.Load() != 0 {
		c.lastRead.Store(int64(time.Since(epoch)))
	}
	c.readLock.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection. If a response has just been written it only half-closes the connection, and closes it
// when the client closes its side or after CloseWindow: closing a connection with unread bytes resets it, and the
// response is lost.
func (c *ClientConn) Close() error {
	if !c.halfCloseAfterResponse() {
		return c.closeNow()
	}
	go c.discardInput()
	return nil
}

// halfCloseAfterResponse half-closes the connection if the client may not have read the last response yet. It reports
// whether it has done so.
func (c *ClientConn) halfCloseAfterResponse() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.busy || c.responseIncomplete || !c.halfClosedAt.IsZero() {
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
	c.inputBuffered = false
	c.halfClosedAt = time.Now()
	return true
}

// closeWrite half-closes the connection and reports whether that succeeded.
func (c *ClientConn) closeWrite() bool {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && conn.CloseWrite() == nil
}

// discardInput reads and discards input until the client closes its side, at most for CloseWindow, and closes the
// connection.
func (c *ClientConn) discardInput() {
	timeout := time.AfterFunc(CloseWindow, func() { _ = c.closeNow() })
	defer timeout.Stop()
	c.Conn.SetReadDeadline(time.Time{})
	buf := make([]byte, discardBufferSize)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			break
		}
	}
	_ = c.closeNow()
}

// markResponseIncomplete records that the response was broken off, so that Close closes the connection immediately.
func (c *ClientConn) markResponseIncomplete() {
	c.limiter.mu.Lock()
	c.responseIncomplete = true
	c.limiter.mu.Unlock()
}

// closeNow closes the connection immediately and frees its slot.
func (c *ClientConn) closeNow() error {
	c.limiter.mu.Lock()
	delete(c.limiter.conns, c)
	c.limiter.mu.Unlock()
	c.headMemory.Close()
	c.limiter.wakeAdmit()
	return c.Conn.Close()
}

// RequestRead records that the head of a request was read completely. The limiter does not close the connection until
// the response is written.
func (c *ClientConn) RequestRead() {
	c.limiter.mu.Lock()
	c.busy = true
	c.limiter.mu.Unlock()
	c.readLock.Lock()
	c.working = true
	c.readLock.Unlock()
}

// ResponseWritten records that the response to the request was written.
func (c *ClientConn) ResponseWritten() {
	c.readLock.Lock()
	c.working, c.inputBuffered = false, true // the next request may have been read together with this one
	c.readLock.Unlock()
	c.limiter.mu.Lock()
	c.busy, c.reused, c.readySince = false, true, time.Now()
	c.limiter.mu.Unlock()
}

// NetConn returns the underlying connection.
func (c *ClientConn) NetConn() net.Conn { return c.Conn }

// requestStarted reports whether bytes of a request have arrived since the last response, and since when the client has
// sent nothing. The caller holds Limiter.mu.
func (c *ClientConn) requestStarted() (silentSince time.Time, started bool) {
	if lastRead := c.LastRead(); lastRead.After(c.readySince) {
		return lastRead, true
	}
	return c.readySince, false
}

// evictionRank returns the rank of the connection for eviction, and since when the client has sent nothing. The caller
// holds Limiter.mu.
func (c *ClientConn) evictionRank(now time.Time) (rank evictionRank, silentSince time.Time) {
	silentSince, started := c.requestStarted()
	silence := now.Sub(silentSince)
	switch {
	case !c.halfClosedAt.IsZero():
		return evictSilent, c.halfClosedAt
	case (started || !c.reused) && silence < newConnGrace:
		return evictNew, c.readySince
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

// closeInput closes the input of the connection and reports whether it has done so. It does nothing if bytes have
// arrived that are not part of an active request yet: they are still read, and the request gets a response. Bytes that
// arrive after closeInput are never part of a request that runs, so the client can safely send the request again.
func (c *ClientConn) closeInput() bool {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	return c.closeInputLocked()
}

// closeInputLocked does the work of closeInput. The caller holds readLock.
func (c *ClientConn) closeInputLocked() bool {
	if c.inputBuffered {
		return false
	}
	if _, unread := netcall.Peek(c.Conn); unread {
		return false
	}
	c.lastRead.Store(inputClosed)
	return true
}

// halfCloseIdle closes the input of the connection as closeInput does, unless part of a request has arrived, and
// notifies the client by a half-close. Nothing is read between the two steps.
// inputEnded reports whether the input was closed, and notified whether the half-close succeeded. The caller holds
// Limiter.mu.
func (c *ClientConn) halfCloseIdle() (inputEnded, notified bool) {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	if _, started := c.requestStarted(); started || !c.closeInputLocked() {
		return false, false
	}
	return true, c.closeWrite()
}

// rejectPartial sends a 503 if part of a request has arrived, and half-closes the connection. It reports whether the
// connection was half-closed. It does nothing if a request is active or if bytes have arrived that net/http has not
// parsed. The caller holds Limiter.mu.
func (c *ClientConn) rejectPartial() bool {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	_, started := c.requestStarted()
	if c.working || !c.closeInputLocked() {
		return false
	}
	if started {
		netcall.WriteNow(c.Conn, partialRequestResponse)
	}
	return c.closeWrite()
}
