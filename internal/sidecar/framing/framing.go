package framing

import (
	"bufio"
	"bytes"
	"net"
	"net/textproto"
	"sync"
	"time"

	"marblelane/internal/sidecar/netcall"
)

// MaxHeader bounds the head of a request or an answer, in bytes.
const MaxHeader = 32 << 10

// TrackedConn is a connection that follows what becomes of the requests on it.
type TrackedConn interface {
	net.Conn
	RequestRead()        // a request was read whole
	RequestAnswered()    // its answer was written
	Transport() net.Conn // the connection of the system
}

// NewHeadConn keeps the heads of what is read from a connection.
func NewHeadConn(c net.Conn) *HeadConn { return &HeadConn{Conn: c} }

// NewClientHeadConn keeps the heads of a client's requests, and tells in a channel that something was read. Late: the
// first request may have waited before the connection was accepted.
func NewClientHeadConn(c net.Conn, late bool) *HeadConn {
	return &HeadConn{Conn: c, startedAt: time.Now(), Ahead: make(chan struct{}, 1), acceptedLate: late}
}

// HeadConn keeps a request's head as it came. net/http drops a Content-Length that stands beside a
// Transfer-Encoding and reads on behind the last chunk, so what the sender holds for the rest of its body
// would be taken as a request of its own.
type HeadConn struct {
	net.Conn
	steady netcall.RetryingReader // of who reads: there is one at a time

	mu        sync.Mutex // net/http also reads while a handler works
	head      []byte
	complete  bool
	startedAt time.Time // the request's begin: its first byte, or the connection's begin
	reads     int       // that are waiting
	// acceptedLate: the first request may have waited for a while before its connection was accepted.
	acceptedLate bool

	Ahead chan struct{} // a token: something was read; nil: nobody wants to know
}

func (c *HeadConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	n, err := c.steady.Read(c.Conn, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads--
	if n > 0 {
		select {
		case c.Ahead <- struct{}{}:
		default:
		}
	}
	if n > 0 && c.startedAt.IsZero() {
		c.startedAt = time.Now()
	}
	if !c.complete {
		seen := max(len(c.head)-3, 0) // the empty line may have come in two parts
		c.head = append(c.head, p[:n]...)
		c.complete = bytes.Contains(c.head[seen:], []byte("\n\r\n")) || bytes.Contains(c.head[seen:], []byte("\n\n")) ||
			len(c.head) > 2*MaxHeader
	}
	return n, err
}

// Reading reports whether somebody waits for what comes, and so sees an end.
func (c *HeadConn) Reading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads > 0
}

// NextRequest drops the head: its request has been answered.
func (c *HeadConn) NextRequest() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		tracked.RequestAnswered()
	}
	c.mu.Lock()
	c.head, c.complete, c.startedAt = c.head[:0], false, time.Time{}
	c.acceptedLate = false
	c.mu.Unlock()
}

// RequestRead tells that the head is whole and its request at work.
func (c *HeadConn) RequestRead() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		tracked.RequestRead()
	}
}

// LimitBuffer keeps the system from taking megabytes of an answer for a slow client.
func (c *HeadConn) LimitBuffer() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		netcall.LimitBuffer(tracked.Transport())
	}
}

// Reset makes the connection end with an error.
func (c *HeadConn) Reset() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		if tcp, ok := tracked.Transport().(interface{ SetLinger(seconds int) error }); ok {
			_ = netcall.RetryQuery(func() error { return tcp.SetLinger(0) }) // at worst the end is an orderly one
		}
	}
}

// NextMayFollow reports whether a next request has come behind the one at work, or may have, as this came behind another.
// length is that of its body. It does not see what comes behind a body that is still on its way.
func (c *HeadConn) NextMayFollow(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.complete {
		return true
	}
	end := headEnd(c.head)
	extra := int64(len(c.head) - end)
	if extra != length {
		return length >= 0 && extra > length
	}
	tracked, ok := c.Conn.(TrackedConn)
	if !ok {
		return false
	}
	_, unread := netcall.Peek(tracked.Transport())
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

func (c *HeadConn) StartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startedAt.IsZero() { // pipelined: it came with the request before
		c.startedAt = time.Now()
	}
	return c.startedAt
}

// ReceivedAt is when the last byte of a request came that has just been read. It is now, but for the first request of a
// connection that was accepted late: the client's time has run since the system has had it.
func (c *HeadConn) ReceivedAt() time.Time {
	now := time.Now()
	c.mu.Lock()
	late := c.acceptedLate
	c.mu.Unlock()
	tracked, ok := c.Conn.(TrackedConn)
	if !late || !ok {
		return now
	}
	if waited := netcall.SinceLastData(tracked.Transport()); waited >= netcall.LateAccept {
		return now.Add(-waited)
	}
	return now
}

// LengthHeaders tells by which headers the head says where its message ends.
func (c *HeadConn) LengthHeaders() (chunked, length bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := textproto.NewReader(bufio.NewReader(bytes.NewReader(c.head)))
	if _, err := in.ReadLine(); err != nil {
		return false, false, err
	}
	head, err := in.ReadMIMEHeader()
	return head["Transfer-Encoding"] != nil, head["Content-Length"] != nil, err
}
