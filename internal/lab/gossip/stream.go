package gossip

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBufferedBytes is the number of unread bytes in one direction of a stream at which its writer blocks.
const maxBufferedBytes = 1 << 20

// segment is the data of one Write.
type segment struct {
	due  time.Time // time from which the data can be read
	data []byte
}

// pipe is one direction of a stream.
type pipe struct {
	from, to *Port

	mu            sync.Mutex
	segments      []segment
	bufferedBytes int
	lastDue       time.Time // due time of the last segment; segments stay in order
	closed        bool      // the writer closed its end
	broken        bool
	wake          chan struct{} // closed and replaced at each change
}

func newPipe(from, to *Port) *pipe { return &pipe{from: from, to: to, wake: make(chan struct{})} }

// update runs do with the lock held and wakes the goroutines that wait for the pipe.
func (p *pipe) update(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
	close(p.wake)
	p.wake = make(chan struct{})
}

// Stream is one end of a connection between two ports.
type Stream struct {
	port    *Port
	in, out *pipe

	mu                          sync.Mutex
	closed                      bool
	readDeadline, writeDeadline time.Time     // zero: none
	changed                     chan struct{} // closed and replaced when a deadline changes or the stream is closed
}

// openStream opens a stream to a port. It returns nil without an error if the port's backlog is full.
func (p *Port) openStream(to *Port) (*Stream, error) {
	outbound, inbound := newPipe(p, to), newPipe(to, p)
	local := &Stream{port: p, in: inbound, out: outbound, changed: make(chan struct{})}
	remote := &Stream{port: to, in: outbound, out: inbound, changed: make(chan struct{})}
	if !to.track(remote) {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	if !p.track(local) {
		remote.reset()
		return nil, net.ErrClosed
	}
	select {
	case to.streams <- remote:
		p.counts.streams.Add(1)
		return local, nil
	default:
		remote.reset()
		return nil, nil
	}
}

// track registers a stream to be reset by the port's Shutdown. It returns false if the port is closed.
func (p *Port) track(s *Stream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.openStreams[s] = struct{}{}
	return true
}

// reset breaks both directions at once.
func (s *Stream) reset() {
	for _, h := range []*pipe{s.in, s.out} {
		h.update(func() { h.broken, h.segments = true, nil })
	}
	_ = s.Close()
}

// Close closes the stream. Data already written still arrives, incoming data is discarded.
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
	s.out.update(func() { s.out.closed = true })
	s.in.update(func() { s.in.broken = true })
	s.port.mu.Lock()
	delete(s.port.openStreams, s)
	s.port.mu.Unlock()
	return nil
}

// wait blocks until one of the channels signals a change or the time until is reached (zero: no time limit). It fails
// if the stream is closed or its deadline has passed.
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

// Read reads data that has arrived. It blocks while the incoming direction is cut.
func (s *Stream) Read(b []byte) (int, error) {
	in := s.in
	for {
		rules, _, changed := s.port.net.lookup(in.from.addr, in.to.addr)
		now := time.Now()
		in.mu.Lock()
		var until time.Time
		wake := in.wake
		switch {
		case in.broken:
			in.mu.Unlock()
			return 0, s.brokenError("read")
		case len(in.segments) > 0 && !rules.Cut && !now.Before(in.segments[0].due):
			n := copy(b, in.segments[0].data)
			if in.segments[0].data = in.segments[0].data[n:]; len(in.segments[0].data) == 0 {
				in.segments = in.segments[1:]
			}
			in.bufferedBytes -= n
			in.mu.Unlock()
			in.update(func() {})
			in.to.counts.receivedBytes.Add(uint64(n))
			return n, nil
		case len(in.segments) == 0 && in.closed && !rules.Cut:
			in.mu.Unlock()
			return 0, io.EOF
		case len(in.segments) > 0 && !rules.Cut:
			until = in.segments[0].due
		}
		in.mu.Unlock()
		if err := s.wait(func() time.Time { return s.readDeadline }, wake, changed, until); err != nil {
			return 0, s.opError("read", err)
		}
	}
}

// Write sends data. It blocks while the reader is maxBufferedBytes behind.
func (s *Stream) Write(b []byte) (int, error) {
	out := s.out
	for {
		out.mu.Lock()
		wake, broken, full := out.wake, out.broken || out.closed, out.bufferedBytes > 0 && out.bufferedBytes+len(b) > maxBufferedBytes
		out.mu.Unlock()
		if broken {
			return 0, s.brokenError("write")
		}
		if !full {
			break
		}
		if err := s.wait(func() time.Time { return s.writeDeadline }, wake, nil, time.Time{}); err != nil {
			return 0, s.opError("write", err)
		}
	}
	rules, _, _ := s.port.net.lookup(out.from.addr, out.to.addr)
	rules.Cut = false // Read applies the cut
	lost, delay := s.port.sampleDelivery(rules)
	for timeout := firstRetransmit; lost && timeout < time.Minute; timeout *= 2 {
		var extraDelay time.Duration
		lost, extraDelay = s.port.sampleDelivery(rules)
		delay += timeout + extraDelay
	}
	s.port.counts.sentBytes.Add(uint64(len(b)))
	out.update(func() {
		if due := time.Now().Add(delay); due.After(out.lastDue) {
			out.lastDue = due
		}
		out.segments = append(out.segments, segment{due: out.lastDue, data: append([]byte(nil), b...)})
		out.bufferedBytes += len(b)
	})
	return len(b), nil
}

// brokenError returns the error of an operation on a broken stream.
func (s *Stream) brokenError(op string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return s.opError(op, net.ErrClosed)
	}
	return s.opError(op, os.NewSyscallError(op, syscall.ECONNRESET))
}

// opError wraps an error with the operation and the addresses of the stream.
func (s *Stream) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: err}
}

// LocalAddr returns the address of the stream's own port.
func (s *Stream) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(s.out.from.addr) }

// RemoteAddr returns the address of the other port.
func (s *Stream) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(s.out.to.addr) }

// update runs do with the lock held and wakes the goroutines that wait for the stream.
func (s *Stream) update(do func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// SetDeadline sets the deadline of reads and writes; zero means none.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.update(func() { s.readDeadline, s.writeDeadline = t, t })
}

// SetReadDeadline sets the deadline of reads; zero means none.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.update(func() { s.readDeadline = t }) }

// SetWriteDeadline sets the deadline of writes; zero means none.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.update(func() { s.writeDeadline = t }) }
