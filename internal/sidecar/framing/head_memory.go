package framing

import (
	"bytes"
	"errors"
	"net"
	"time"
)

// A head takes several times its size in memory: its record in HeadConn, the parsed headers with their copies for the
// request and its attempt, and the request as it is written to a server. Short lines take more, as each line is an entry
// of the maps of headers.
const (
	memoryPerByte = 5   // bytes of memory for each byte of a head
	memoryPerLine = 384 // bytes of memory for each line of a head
	// freeHeadMemory is the memory for a head that each connection has beside the budget, in bytes. It is enough for
	// ordinary heads, so that these do not depend on the heads of other connections.
	freeHeadMemory = 12 << 10
	// maxRetainedRecord is the size of the largest record whose memory is retained for the next head on a connection, in bytes.
	maxRetainedRecord = bufferSize
	// bufferSize is the size of the buffer that net/http reads into, in bytes.
	bufferSize = 4 << 10
	// backgroundRead is the size of the buffer into which net/http reads while a handler runs, in bytes.
	backgroundRead = 1
)

// ErrNoHeadMemory reports that the memory for the heads of messages is used up.
var ErrNoHeadMemory = errors.New("no memory for the head of a message")

var lineEnd = []byte("\n")

// headSize is the size of a head or of a part of it.
type headSize struct{ bytes, lines int }

func sizeOf(text []byte) headSize { return headSize{len(text), bytes.Count(text, lineEnd)} }

func (s headSize) plus(other headSize) headSize {
	return headSize{s.bytes + other.bytes, s.lines + other.lines}
}

// memory returns the memory to reserve for a head of this size, in bytes.
func (s headSize) memory() int64 {
	return max(int64(s.bytes)*memoryPerByte+int64(s.lines)*memoryPerLine-freeHeadMemory, 0)
}

// recordHead records the bytes that belong to the head and reserves memory for them. It returns false if there is none.
func (c *HeadConn) recordHead(p []byte) bool {
	return c.reserve(func() bool { return c.tryRecordHead(p) })
}

// reserve calls a function that reserves memory. Until it succeeds, reserve evicts the heads of other connections. It
// returns false if that does not free enough memory.
func (c *HeadConn) reserve(try func() bool) bool {
	for {
		if try() {
			return true
		}
		tracked, ok := c.Conn.(TrackedConn)
		if !ok || !tracked.EvictHead() {
			return false
		}
	}
}

// tryRecordHead records the bytes that belong to the head, unless there is no memory for them.
func (c *HeadConn) tryRecordHead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete || c.active {
		c.countUnparsed(p, p[max(len(p)-bufferSize, 0):])
		return true
	}
	recorded := len(c.head)
	c.appendHead(p)
	end := len(c.head)
	if c.complete {
		end = headEnd(c.head) // a body or another request may follow
	}
	size := c.size.plus(sizeOf(c.head[recorded:end]))
	if !c.memory.GrowTo(c.early.plus(size).memory()) {
		c.head, c.complete = c.head[:recorded], false
		return false
	}
	c.size = size
	c.countUnparsed(p, c.head[end:])
	return true
}

// countUnparsed counts the end of the bytes p that were read, which may belong to the next head. net/http has parsed all
// earlier bytes when it reads again, except that it reads a single byte in the background while a handler runs. The
// caller holds the lock.
func (c *HeadConn) countUnparsed(p, end []byte) {
	if len(p) > backgroundRead {
		c.unparsed = sizeOf(end)
	} else if c.unparsed.bytes < bufferSize {
		c.unparsed = c.unparsed.plus(sizeOf(p))
	}
}

// SetReadDeadline sets the deadline of reads. net/http sets one when it starts to parse a head. If it has read nothing
// since the last response, the head starts with bytes that were read before, for which memory is reserved here. If there
// is none the next read fails.
func (c *HeadConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !c.reserve(c.tryReserveEarly) {
		c.mu.Lock()
		c.rejected = true
		c.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(t)
}

// tryReserveEarly reserves memory for the part of the head that was read before the last response. It returns false if
// there is none.
func (c *HeadConn) tryReserveEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.complete || len(c.head) > 0 {
		return true
	}
	if !c.memory.GrowTo(c.unparsed.memory()) {
		return false
	}
	c.early = c.unparsed
	return true
}

// lacksEarlyMemory reports whether a read into a buffer of some bytes has to fail because there was no memory for the part
// of the head that was read before the last response.
func (c *HeadConn) lacksEarlyMemory(buffer int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected && !c.active && buffer > backgroundRead
}

// HeadRejected reports whether a request whose head has been read has to be rejected, because all of its head was read
// before the last response and there was no memory for it.
func (c *HeadConn) HeadRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// rejectHead rejects the request whose head is being received, and returns the error of this read and of all later
// ones. net/http sends no response after a network error of a read.
func (c *HeadConn) rejectHead() error {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		tracked.RejectHead()
	}
	err := &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: ErrNoHeadMemory}
	c.reader.Fail(err)
	return err
}

// StartNextHead discards the recorded head and records the next one, the start of which has been read already. It is
// called after the head of an interim response. It fails if there is no memory for what has been read.
func (c *HeadConn) StartNextHead(received []byte) error {
	c.mu.Lock()
	c.discardHead()
	c.mu.Unlock()
	if !c.recordHead(received) {
		return ErrNoHeadMemory
	}
	return nil
}

// discardHead discards the recorded head and releases its memory. The caller holds the lock.
func (c *HeadConn) discardHead() {
	c.head, c.size, c.early, c.complete = c.head[:0], headSize{}, headSize{}, false
	if cap(c.head) > maxRetainedRecord {
		c.head = nil
	}
	c.memory.Release()
}
