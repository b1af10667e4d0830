package framing

import (
	"bytes"
	"errors"
	"net"
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
	// maxKeptRecord is the size of the largest record whose memory is kept for the next head on a connection, in bytes. It
	// is what net/http reads at once.
	maxKeptRecord = 4 << 10
)

// ErrNoHeadMemory reports that the memory for the heads of messages is used up.
var ErrNoHeadMemory = errors.New("no memory for the head of a message")

var lineEnd = []byte("\n")

// headMemory returns the memory to reserve for a head, in bytes.
func headMemory(bytes, lines int) int64 {
	return max(int64(bytes)*memoryPerByte+int64(lines)*memoryPerLine-freeHeadMemory, 0)
}

// recordHead records the bytes that belong to the head and reserves memory for them. If there is none it evicts the
// heads of other connections. It returns false if that does not free enough memory.
func (c *HeadConn) recordHead(p []byte) bool {
	for {
		if c.tryRecordHead(p) {
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
		return true
	}
	recorded := len(c.head)
	c.appendHead(p)
	end := len(c.head)
	if c.complete {
		end = headEnd(c.head) // a body or another request may follow
	}
	lines := c.lines + bytes.Count(c.head[recorded:end], lineEnd)
	if !c.memory.GrowTo(headMemory(end, lines)) {
		c.head, c.complete = c.head[:recorded], false
		return false
	}
	c.lines = lines
	return true
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
	c.head, c.lines, c.complete = c.head[:0], 0, false
	if cap(c.head) > maxKeptRecord {
		c.head = nil
	}
	c.memory.Release()
}
