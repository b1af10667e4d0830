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

// TrackedConn is a connection that follows the requests on it.
type TrackedConn interface {
	net.Conn
	RequestRead()      // the head of a request is complete
	ResponseWritten()  // its answer was written
	NetConn() net.Conn // the connection of the system
}

// HeadConn keeps the head of the message that is being read, as it came. net/http drops a Content-Length beside a
// Transfer-Encoding and reads on behind the last chunk: what the sender means as more of its body would be read as
// a request of its own.
type HeadConn struct {
	net.Conn
	reader netcall.RetryingReader // of the goroutine that reads: there is one at a time

	mu           sync.Mutex // guards the fields below: net/http also reads while a handler works
	head         []byte
	complete     bool
	startedAt    time.Time // the first byte of the message, or the start of the connection; zero: not yet
	reads        int       // that are waiting
	acceptedLate bool      // the first request may have waited before its connection was accepted

	received chan struct{} // a token: something was read; never closed; nil: no goroutine waits for it
}

// NewHeadConn keeps the heads of what is read from a connection.
func NewHeadConn(c net.Conn) *HeadConn { return &HeadConn{Conn: c} }

// NewClientHeadConn keeps the heads of a client's requests, and says when something was read. acceptedLate is true where
// the first request may have waited before the connection was accepted.
func NewClientHeadConn(c net.Conn, acceptedLate bool) *HeadConn {
	return &HeadConn{Conn: c, startedAt: time.Now(), received: make(chan struct{}, 1), acceptedLate: acceptedLate}
}

// Received gives a token after something was read. It is nil for the connection of a server.
func (c *HeadConn) Received() <-chan struct{} { return c.received }

// Read reads from the connection, and keeps what belongs to the head.
func (c *HeadConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	n, err := c.reader.Read(c.Conn, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads--
	if n > 0 {
		c.notifyReceived()
	}
	if n > 0 && c.startedAt.IsZero() {
		c.startedAt = time.Now()
	}
	if !c.complete {
		c.appendHead(p[:n])
	}
	return n, err
}

// notifyReceived leaves a token, unless one is there or no goroutine waits for it.
func (c *HeadConn) notifyReceived() {
	select {
	case c.received <- struct{}{}:
	default:
	}
}

// appendHead adds bytes to the head until it has its empty line, or is too long to be one.
func (c *HeadConn) appendHead(p []byte) {
	seen := max(len(c.head)-3, 0) // the empty line may have come in two parts
	c.head = append(c.head, p...)
	c.complete = bytes.Contains(c.head[seen:], []byte("\n\r\n")) || bytes.Contains(c.head[seen:], []byte("\n\n")) ||
		len(c.head) > 2*MaxHeader
}

// Reading reports whether a read is waiting, which would see the end of the connection.
func (c *HeadConn) Reading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads > 0
}

// PrepareNextRequest drops the head: its request has been answered.
func (c *HeadConn) PrepareNextRequest() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		tracked.ResponseWritten()
	}
	c.mu.Lock()
	c.head, c.complete, c.startedAt = c.head[:0], false, time.Time{}
	c.acceptedLate = false
	c.mu.Unlock()
}

// RequestRead tells the connection below that the head is complete and its request at work.
func (c *HeadConn) RequestRead() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		tracked.RequestRead()
	}
}

// LimitBuffer keeps the system from buffering megabytes of an answer for a slow client.
func (c *HeadConn) LimitBuffer() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		netcall.LimitSendBuffer(tracked.NetConn())
	}
}

// ResetOnClose makes the connection end with an error when it is closed.
func (c *HeadConn) ResetOnClose() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		if tcp, ok := tracked.NetConn().(interface{ SetLinger(seconds int) error }); ok {
			_ = netcall.RetryQuery(func() error { return tcp.SetLinger(0) }) // if that fails the end is an orderly one
		}
	}
}

// NextRequestMayFollow reports whether another request has come behind the one at work, or may have. bodyLength is that of the
// body of the one at work; what comes behind a body that is still on its way is not seen.
func (c *HeadConn) NextRequestMayFollow(bodyLength int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.complete {
		return true // it came together with the one before, and so may others
	}
	behindHead := int64(len(c.head) - headEnd(c.head))
	if behindHead != bodyLength {
		return bodyLength >= 0 && behindHead > bodyLength
	}
	tracked, ok := c.Conn.(TrackedConn)
	if !ok {
		return false
	}
	_, unread := netcall.Peek(tracked.NetConn())
	return unread
}

// headEnd is the length of a head with its empty line; all of the bytes where there is none.
func headEnd(head []byte) int {
	end := len(head)
	for _, emptyLine := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(head, []byte(emptyLine)); i >= 0 {
			end = min(end, i+len(emptyLine))
		}
	}
	return end
}

// StartedAt is when the first byte of the message came; for the first message it is the start of the connection.
func (c *HeadConn) StartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startedAt.IsZero() { // pipelined: it came with the request before
		c.startedAt = time.Now()
	}
	return c.startedAt
}

// ReceivedAt is when the last byte of a request came that has just been read. That is now, but for the first request of a
// connection that was accepted late: its client's time has run since the system has had it.
func (c *HeadConn) ReceivedAt() time.Time {
	now := time.Now()
	c.mu.Lock()
	late := c.acceptedLate
	c.mu.Unlock()
	tracked, ok := c.Conn.(TrackedConn)
	if !late || !ok {
		return now
	}
	if waited := netcall.SinceLastData(tracked.NetConn()); waited >= netcall.LateAcceptThreshold {
		return now.Add(-waited)
	}
	return now
}

// LengthHeaders reports which of the headers Transfer-Encoding and Content-Length the head has.
func (c *HeadConn) LengthHeaders() (chunked, length bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(c.head)))
	if _, err := reader.ReadLine(); err != nil {
		return false, false, err
	}
	head, err := reader.ReadMIMEHeader()
	return head["Transfer-Encoding"] != nil, head["Content-Length"] != nil, err
}
