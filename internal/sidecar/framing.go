package sidecar

import (
	"bufio"
	"bytes"
	"net"
	"net/textproto"
	"sync"
	"time"
)

// maxHeader bounds the head of a request or an answer, in bytes.
const maxHeader = 32 << 10

// trackedConn is a connection that follows what becomes of the requests on it.
type trackedConn interface {
	net.Conn
	work()               // a request was read whole
	rest()               // its answer was written
	transport() net.Conn // the connection of the system
}

// newHeadConn keeps the heads of what is read from a connection.
func newHeadConn(c net.Conn) *headConn { return &headConn{Conn: c} }

// newClientHeadConn keeps the heads of a client's requests, and tells in a channel that something was read. Late: the
// first request may have waited before the connection was accepted.
func newClientHeadConn(c net.Conn, late bool) *headConn {
	return &headConn{Conn: c, since: time.Now(), ahead: make(chan struct{}, 1), acceptedLate: late}
}

// headConn keeps a request's head as it came. net/http drops a Content-Length that stands beside a
// Transfer-Encoding and reads on behind the last chunk, so what the sender holds for the rest of its body
// would be taken as a request of its own.
type headConn struct {
	net.Conn
	steady steadyReader // of who reads: there is one at a time

	mu    sync.Mutex // net/http also reads while a handler works
	head  []byte
	whole bool
	since time.Time // the request's begin: its first byte, or the connection's begin
	reads int       // that are waiting
	// acceptedLate: the first request may have waited for a while before its connection was accepted.
	acceptedLate bool

	ahead chan struct{} // a token: something was read; nil: nobody wants to know
}

func (c *headConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	n, err := c.steady.read(c.Conn, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads--
	if n > 0 {
		select {
		case c.ahead <- struct{}{}:
		default:
		}
	}
	if n > 0 && c.since.IsZero() {
		c.since = time.Now()
	}
	if !c.whole {
		seen := max(len(c.head)-3, 0) // the empty line may have come in two parts
		c.head = append(c.head, p[:n]...)
		c.whole = bytes.Contains(c.head[seen:], []byte("\n\r\n")) || bytes.Contains(c.head[seen:], []byte("\n\n")) ||
			len(c.head) > 2*maxHeader
	}
	return n, err
}

// reading reports whether somebody waits for what comes, and so sees an end.
func (c *headConn) reading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads > 0
}

// next drops the head: its request has been answered.
func (c *headConn) next() {
	if tracked, ok := c.Conn.(trackedConn); ok {
		tracked.rest()
	}
	c.mu.Lock()
	c.head, c.whole, c.since = c.head[:0], false, time.Time{}
	c.acceptedLate = false
	c.mu.Unlock()
}

// work tells that the head is whole and its request at work.
func (c *headConn) work() {
	if tracked, ok := c.Conn.(trackedConn); ok {
		tracked.work()
	}
}

// limitBuffer keeps the system from taking megabytes of an answer for a slow client.
func (c *headConn) limitBuffer() {
	if tracked, ok := c.Conn.(trackedConn); ok {
		limitBuffer(tracked.transport())
	}
}

// reset makes the connection end with an error.
func (c *headConn) reset() {
	if tracked, ok := c.Conn.(trackedConn); ok {
		if tcp, ok := tracked.transport().(interface{ SetLinger(seconds int) error }); ok {
			_ = repeatQuery(func() error { return tcp.SetLinger(0) }) // at worst the end is an orderly one
		}
	}
}

// behind reports whether a next request has come behind the one at work, or may have, as this came behind another.
// length is that of its body. It does not see what comes behind a body that is still on its way.
func (c *headConn) behind(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.whole {
		return true
	}
	end := headEnd(c.head)
	extra := int64(len(c.head) - end)
	if extra != length {
		return length >= 0 && extra > length
	}
	tracked, ok := c.Conn.(trackedConn)
	if !ok {
		return false
	}
	_, unread := peek(tracked.transport())
	return unread
}

// headEnd is the length of a head with its empty line, which it has.
func headEnd(head []byte) int {
	end := len(head)
	for _, empty := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(head, []byte(empty)); i >= 0 {
			end = min(end, i+len(empty))
		}
	}
	return end
}

func (c *headConn) began() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() { // pipelined: it came with the request before
		c.since = time.Now()
	}
	return c.since
}

// received is when the last byte of a request came that has just been read. It is now, but for the first request of a
// connection that was accepted late: the client's time has run since the system has had it.
func (c *headConn) received() time.Time {
	now := time.Now()
	c.mu.Lock()
	late := c.acceptedLate
	c.mu.Unlock()
	tracked, ok := c.Conn.(trackedConn)
	if !late || !ok {
		return now
	}
	if waited := sinceLastData(tracked.transport()); waited >= lateAccept {
		return now.Add(-waited)
	}
	return now
}

// lengths tells by which headers the head says where its message ends.
func (c *headConn) lengths() (chunked, length bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := textproto.NewReader(bufio.NewReader(bytes.NewReader(c.head)))
	if _, err := in.ReadLine(); err != nil {
		return false, false, err
	}
	head, err := in.ReadMIMEHeader()
	return head["Transfer-Encoding"] != nil, head["Content-Length"] != nil, err
}
