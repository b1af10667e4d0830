package framing

import (
	"bufio"
	"bytes"
	"net"
	"net/textproto"
	"sync"
	"time"

	"marblelane/internal/sidecar/memory"
	"marblelane/internal/sidecar/netcall"
)

// MaxHeader is the maximum size of the head of a request or response, in bytes.
const MaxHeader = 32 << 10

// TrackedConn is a connection that is notified of the progress of the requests on it.
type TrackedConn interface {
	net.Conn
	RequestRead()      // called when the head of a request has been read completely
	ResponseWritten()  // called when the response to the request has been written
	NetConn() net.Conn // returns the underlying connection

	HeadMemory() *memory.Reservation // returns the memory that is reserved for the head that is being received
	EvictHead() bool                 // frees memory that the incomplete head of another connection holds, if there is one
	RejectHead()                     // rejects the request whose head is being received, as there is no memory for it
}

// HeadConn is a connection that records the head of the message that is being read, byte for byte. net/http drops a
// Content-Length beside a Transfer-Encoding and continues to read after the last chunk: bytes that the sender means as
// more of the body would be read as another request.
type HeadConn struct {
	net.Conn
	reader netcall.RetryingReader // used only by the goroutine that reads; there is one at a time
	memory *memory.Reservation    // for the head; nil: not limited

	mu           sync.Mutex // guards the fields below: net/http also reads while a handler runs
	head         []byte     // the head as received, and the bytes that were read together with its end
	size         headSize   // of the part of head that belongs to the head
	complete     bool       // head contains the empty line at its end, or is too long to be a head
	active       bool       // a request has been read and has no response yet: further bytes are not part of its head
	unparsed     headSize   // at most this much was read and not parsed yet: it may belong to the next head
	early        headSize   // at most this much of the head was read before the response to the previous request
	rejected     bool       // there was no memory for early
	startedAt    time.Time  // when the first byte of the message came, or the connection was accepted; zero: not yet
	reads        int        // number of calls of Read that are in progress
	acceptedLate bool       // the first request may have arrived long before its connection was accepted

	// received gets a token after each read that returned bytes. It is never closed, and nil if no goroutine waits for
	// it.
	received chan struct{}
}

// NewHeadConn returns a HeadConn for a connection to a server. It records the heads of responses, for which it reserves
// memory.
func NewHeadConn(c net.Conn, reservation *memory.Reservation) *HeadConn {
	return &HeadConn{Conn: c, memory: reservation}
}

// NewClientHeadConn returns a HeadConn for the connection of a client. It records the heads of requests and signals
// through Received when bytes were read. acceptedLate is true if the first request may have arrived long before the
// connection was accepted.
func NewClientHeadConn(c net.Conn, acceptedLate bool) *HeadConn {
	head := &HeadConn{Conn: c, startedAt: time.Now(), received: make(chan struct{}, 1), acceptedLate: acceptedLate}
	if tracked, ok := c.(TrackedConn); ok {
		head.memory = tracked.HeadMemory()
	}
	return head
}

// Received returns a channel that gets a token after bytes were read. It is nil for a connection to a server.
func (c *HeadConn) Received() <-chan struct{} { return c.received }

// Read reads from the connection and records the bytes that belong to the head. It fails if there is no memory for them.
func (c *HeadConn) Read(p []byte) (int, error) {
	if c.lacksEarlyMemory(len(p)) {
		return 0, c.rejectHead()
	}
	c.beginRead()
	n, err := c.reader.Read(c.Conn, p)
	c.endRead(n)
	if !c.recordHead(p[:n]) {
		return 0, c.rejectHead()
	}
	return n, err
}

func (c *HeadConn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
}

// endRead ends a read that has returned n bytes.
func (c *HeadConn) endRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads--
	if n == 0 {
		return
	}
	c.notifyReceived()
	if c.startedAt.IsZero() {
		c.startedAt = time.Now()
	}
}

// notifyReceived sends a token to received, unless it already holds one or is nil.
func (c *HeadConn) notifyReceived() {
	select {
	case c.received <- struct{}{}:
	default:
	}
}

// appendHead appends bytes to the head, until the head contains its empty line or is too long to be a head.
func (c *HeadConn) appendHead(p []byte) {
	searchFrom := max(len(c.head)-3, 0) // the empty line may be split between two reads
	c.head = append(c.head, p...)
	c.complete = bytes.Contains(c.head[searchFrom:], []byte("\n\r\n")) ||
		bytes.Contains(c.head[searchFrom:], []byte("\n\n")) || len(c.head) > 2*MaxHeader
}

// Reading reports whether a Read is in progress. Such a Read notices when the remote side closes the connection.
func (c *HeadConn) Reading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads > 0
}

// PrepareNextRequest discards the recorded head, after the response to its request.
func (c *HeadConn) PrepareNextRequest() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		tracked.ResponseWritten()
	}
	c.mu.Lock()
	c.discardHead()
	c.active, c.startedAt = false, time.Time{}
	c.acceptedLate = false
	c.mu.Unlock()
}

// RequestRead notifies the underlying TrackedConn that a head has been read completely and its request is active.
func (c *HeadConn) RequestRead() {
	c.mu.Lock()
	c.active = true
	c.mu.Unlock()
	if tracked, ok := c.Conn.(TrackedConn); ok {
		tracked.RequestRead()
	}
}

// LimitBuffer limits the send buffer of the operating system, which would otherwise hold megabytes of a response to a
// slow client.
func (c *HeadConn) LimitBuffer() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		netcall.LimitSendBuffer(tracked.NetConn())
	}
}

// ResetOnClose makes a later Close reset the connection, so that the remote side reads an error instead of an end.
func (c *HeadConn) ResetOnClose() {
	if tracked, ok := c.Conn.(TrackedConn); ok {
		if tcp, ok := tracked.NetConn().(interface{ SetLinger(seconds int) error }); ok {
			_ = netcall.RetryQuery(func() error { return tcp.SetLinger(0) }) // on failure Close does not reset the connection
		}
	}
}

// NextRequestMayFollow reports whether the client has sent, or may have sent, another request after the active one.
// bodyLength is the length of the active request's body, or -1 if it is unknown. A request that follows a body which is
// still being received is not detected.
func (c *HeadConn) NextRequestMayFollow(bodyLength int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.complete {
		return true // the active request arrived together with the previous one, and so may further ones
	}
	afterHead := int64(len(c.head) - headEnd(c.head))
	if afterHead != bodyLength {
		return bodyLength >= 0 && afterHead > bodyLength
	}
	tracked, ok := c.Conn.(TrackedConn)
	if !ok {
		return false
	}
	_, unread := netcall.Peek(tracked.NetConn())
	return unread
}

// headEnd returns the length of the head including its empty line, or the number of all bytes if there is no empty
// line.
func headEnd(head []byte) int {
	end := len(head)
	for _, emptyLine := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(head, []byte(emptyLine)); i >= 0 {
			end = min(end, i+len(emptyLine))
		}
	}
	return end
}

// StartedAt returns when the first byte of the message was received. For the first message of a client's connection it
// is the time when the connection was accepted.
func (c *HeadConn) StartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startedAt.IsZero() { // pipelined: it was read together with the previous request
		c.startedAt = time.Now()
	}
	return c.startedAt
}

// ReceivedAt returns when the last byte of the request that has just been read arrived. That is now, except for the
// first request on a connection that was accepted late: its client's timeout has been running since the operating
// system received the request.
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

// LengthHeaders reports whether the head has the header Transfer-Encoding (chunked) and the header Content-Length
// (length).
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
