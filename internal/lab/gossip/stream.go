package gossip

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is how many bytes of a stream wait for its reader before its writer is stopped.
const window = 1 << 20

// part is what one Write sent.
type part struct {
	due  time.Time // not read before
	data []byte
}

// pipe is one direction of a stream.
type pipe struct {
	from, to *Port

	mu     sync.Mutex
	parts  []part
	size   int
	last   time.Time // when the last part is due: none overtakes another
	closed bool      // no part comes any more
	broken bool
	wake   chan struct{} // closed and replaced at each change
}

func newPipe(from, to *Port) *pipe { return &pipe{from: from, to: to, wake: make(chan struct{})} }

// touch changes the pipe and wakes who waits at it.
func (h *pipe) touch(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do()
	close(h.wake)
	h.wake = make(chan struct{})
}

// Stream is one end of a connection between two ports.
type Stream struct {
	port    *Port
	in, out *pipe

	mu          sync.Mutex
	closed      bool
	read, write time.Time     // deadlines
	changed     chan struct{} // closed and replaced when a deadline changes or it is closed
}

// call opens a stream to a port; none where its backlog is full.
func (p *Port) call(to *Port) (*Stream, error) {
	there, back := newPipe(p, to), newPipe(to, p)
	mine := &Stream{port: p, in: back, out: there, changed: make(chan struct{})}
	its := &Stream{port: to, in: there, out: back, changed: make(chan struct{})}
	if !to.keep(its) {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	if !p.keep(mine) {
		its.reset()
		return nil, net.ErrClosed
	}
	select {
	case to.streams <- its:
		p.counts.streams.Add(1)
		return mine, nil
	default:
		its.reset()
		return nil, nil
	}
}

// keep has a port's Shutdown break the stream; false: the port is closed.
func (p *Port) keep(s *Stream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[s] = struct{}{}
	return true
}

// reset breaks both directions at once.
func (s *Stream) reset() {
	for _, h := range []*pipe{s.in, s.out} {
		h.touch(func() { h.broken, h.parts = true, nil })
	}
	_ = s.Close()
}

// Close ends the stream: what was written still arrives, what comes is not read.
func (s *Stream) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return net.ErrClosed
	}
	s.closed = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.out.touch(func() { s.out.closed = true })
	s.in.touch(func() { s.in.broken = true })
	s.port.mu.Lock()
	delete(s.port.open, s)
	s.port.mu.Unlock()
	return nil
}

// wait blocks until something has changed or a time has come. It fails where the stream is closed or a deadline is
// over.
func (s *Stream) wait(deadline func() time.Time, wake, networkChanged <-chan struct{}, until time.Time) error {
	s.mu.Lock()
	closed, end, streamChanged := s.closed, deadline(), s.changed
	s.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	if !end.IsZero() {
		if !time.Now().Before(end) {
			return os.ErrDeadlineExceeded
		}
		if until.IsZero() || end.Before(until) {
			until = end
		}
	}
	var due <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-wake:
	case <-networkChanged:
	case <-streamChanged:
	case <-due:
	}
	return nil
}

// Read reads what has arrived. Nothing does while the way to here is cut.
func (s *Stream) Read(b []byte) (int, error) {
	h := s.in
	for {
		rules, _, changed := s.port.net.path(h.from.addr, h.to.addr)
		now := time.Now()
		h.mu.Lock()
		var until time.Time
		wake := h.wake
		switch {
		case h.broken:
			h.mu.Unlock()
			return 0, s.failed("read")
		case len(h.parts) > 0 && !rules.Cut && !now.Before(h.parts[0].due):
			n := copy(b, h.parts[0].data)
			if h.parts[0].data = h.parts[0].data[n:]; len(h.parts[0].data) == 0 {
				h.parts = h.parts[1:]
			}
			h.size -= n
			h.mu.Unlock()
			h.touch(func() {})
			h.to.counts.receivedBytes.Add(uint64(n))
			return n, nil
		case len(h.parts) == 0 && h.closed && !rules.Cut:
			h.mu.Unlock()
			return 0, io.EOF
		case len(h.parts) > 0 && !rules.Cut:
			until = h.parts[0].due
		}
		h.mu.Unlock()
		if err := s.wait(func() time.Time { return s.read }, wake, changed, until); err != nil {
			return 0, s.op("read", err)
		}
	}
}

// Write sends; it waits where the reader is far behind.
func (s *Stream) Write(b []byte) (int, error) {
	h := s.out
	for {
		h.mu.Lock()
		wake, broken, full := h.wake, h.broken || h.closed, h.size > 0 && h.size+len(b) > window
		h.mu.Unlock()
		if broken {
			return 0, s.failed("write")
		}
		if !full {
			break
		}
		if err := s.wait(func() time.Time { return s.write }, wake, nil, time.Time{}); err != nil {
			return 0, s.op("write", err)
		}
	}
	rules, _, _ := s.port.net.path(h.from.addr, h.to.addr)
	rules.Cut = false // that holds it up where it is read
	lost, delay := s.port.draw(rules)
	for again := retransmit; lost && again < time.Minute; again *= 2 {
		var late time.Duration
		lost, late = s.port.draw(rules)
		delay += again + late
	}
	s.port.counts.sentBytes.Add(uint64(len(b)))
	h.touch(func() {
		if due := time.Now().Add(delay); due.After(h.last) {
			h.last = due
		}
		h.parts = append(h.parts, part{due: h.last, data: append([]byte(nil), b...)})
		h.size += len(b)
	})
	return len(b), nil
}

// failed says why a broken stream fails.
func (s *Stream) failed(op string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return s.op(op, net.ErrClosed)
	}
	return s.op(op, os.NewSyscallError(op, syscall.ECONNRESET))
}

func (s *Stream) op(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: err}
}

// LocalAddr is the own port's address.
func (s *Stream) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(s.out.from.addr) }

// RemoteAddr is the other port's address.
func (s *Stream) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(s.out.to.addr) }

func (s *Stream) update(do func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// SetDeadline bounds reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.update(func() { s.read, s.write = t, t }) }

// SetReadDeadline bounds reads.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.update(func() { s.read = t }) }

// SetWriteDeadline bounds writes.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.update(func() { s.write = t }) }
