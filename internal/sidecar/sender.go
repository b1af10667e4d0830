package sidecar

// This file writes one attempt to a connection, with the last checks before its first byte.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// sender writes a request to a connection, until it is stopped.
type sender struct {
	conn     *upConn
	kept     bool          // the connection has carried requests before
	peeked   chan struct{} // while a body is passed on: the server has begun to answer, or the connection is over
	answered bool          // it answered before the body was whole
	look     *routeCheck   // nil: it was looked already, or no route has a say
	expected int64         // what the head says that it counts under
	until    time.Time     // by when the last byte has to be out; zero: by when the answer has
	call     *call         // nil: its first byte is written, or it is a probe's
	hook     checkpointHook

	mu          sync.Mutex
	stopped     bool
	interrupted bool // nothing more of the body is passed on
	body        *uploadReader
}

// stop breaks off whatever waits on the connection, for good.
func (s *sender) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.conn.SetDeadline(pastDeadline)
	if s.body != nil {
		s.body.stop()
	}
}

// interrupt ends the passing on of a body. The connection can still be read once a new limit is set.
func (s *sender) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	s.conn.SetDeadline(pastDeadline)
	s.body.stop()
}

// limit sets the time by which all has to be done.
func (s *sender) limit(cut time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.conn.SetDeadline(cut)
		if !s.until.IsZero() && s.until.Before(cut) {
			s.conn.SetWriteDeadline(s.until)
		}
	}
}

// due is the last look before the first byte. What a kept connection holds by now cannot answer this request.
func (s *sender) due() error {
	if !s.until.IsZero() && !time.Now().Before(s.until) {
		return errNotNeeded
	}
	if s.kept && !s.conn.quiet() {
		return errStaleConn
	}
	return nil
}

// Write is for a body that is passed on: a server may be slow to read it, but must go on.
func (s *sender) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.stopped || s.interrupted {
		s.mu.Unlock()
		return 0, errNotNeeded
	}
	by := time.Now().Add(streamWait)
	if !s.until.IsZero() && s.until.Before(by) {
		by = s.until
	}
	s.conn.SetWriteDeadline(by)
	s.mu.Unlock()
	if s.call != nil && s.call.gone() {
		return 0, errNotNeeded
	}
	s.call = nil
	if s.look != nil {
		if under, err := s.look.begin(); err != nil || under != s.expected {
			return 0, errVoid // what the head says cannot be taken back
		}
		s.look = nil
	}
	return s.conn.Write(p)
}

// write reports whether the last byte was written: only then may the request run.
func (s *sender) write(cut time.Time, req *http.Request, a *attempt) (bool, error) {
	if a != nil {
		a.call.writing.Lock()
		defer a.call.writing.Unlock()
		if a.call.final.Load() {
			return false, errNotNeeded
		}
	}
	left := time.Until(cut)
	if s.conn.up.retired.Load() || left <= 0 {
		return false, errNotNeeded
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // none of our own
	}
	if a != nil && a.look != nil {
		s.look, s.expected = a.look, a.look.expect()
		a.look.mark(req.Header, s.expected)
	}
	if a != nil && a.call.out.upload != nil {
		s.call = a.call
		if left = a.call.uploadLeft(); left <= 0 {
			return false, errNotNeeded
		}
		req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
		if err := s.due(); err != nil {
			return false, err
		}
		a.call.out.begun = time.Now()
		s.hook.at(clockRead)
		err := s.passOn(req, a.call.out.upload)
		if err == nil {
			a.sent.Store(true)
		}
		return err == nil, err
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	var buf bytes.Buffer
	if err := render(&buf, req, a); err != nil {
		return false, errNotNeeded
	}
	if err := s.due(); err != nil {
		return false, err
	}
	if a != nil {
		a.call.out.begun = time.Now()
		s.hook.at(clockRead)
		if a.call.gone() { // after the clock: a process may be held up from there on
			return false, errNotNeeded
		}
	}
	if s.look != nil { // the last look, right before the first byte
		under, err := s.look.begin()
		if err != nil {
			return false, err
		}
		if under != s.expected {
			s.look.mark(req.Header, under)
			buf.Reset()
			if err := render(&buf, req, a); err != nil {
				return false, errNotNeeded
			}
		}
	}
	n, err := s.conn.Write(buf.Bytes())
	all := n == buf.Len()
	if all && a != nil {
		a.sent.Store(true)
	}
	return all, err
}

// render gives the text of a request whose body is held whole.
func render(buf *bytes.Buffer, req *http.Request, a *attempt) error {
	req.Body = http.NoBody
	if a != nil && len(a.call.out.body) > 0 {
		// Anew each time: the write before has used it up, and the request could not move on.
		req.Body = io.NopCloser(bytes.NewReader(a.call.out.body))
	}
	return req.Write(buf)
}

// passOn writes a request whose body is still coming. A server that answers before it is whole wants no more.
func (s *sender) passOn(req *http.Request, u *upload) error {
	limitBuffer(s.conn.Conn)
	body := u.reader()
	s.mu.Lock()
	s.body = body
	if s.stopped {
		body.stop()
	}
	s.mu.Unlock()
	var done atomic.Bool
	var early error
	s.peeked = make(chan struct{})
	go func() {
		defer close(s.peeked)
		_, err := s.conn.in.Peek(1)
		if done.CompareAndSwap(false, true) {
			s.answered, early = err == nil, err
			s.interrupt()
		}
	}()
	req.Body = io.NopCloser(body)
	if u.length >= 0 {
		// net/http asks for more behind the last byte. An error there would tell of a whole request that it was not.
		req.Body = io.NopCloser(io.LimitReader(body, u.length))
	}
	size := copySize / 2
	if s.look != nil {
		size = holdLeast // less than what is held: what is void must not have used up the body
	}
	out := bufio.NewWriterSize(s, size)
	err := req.Write(out)
	if err == nil {
		err = out.Flush()
	}
	first := done.CompareAndSwap(false, true)
	if err == nil {
		if !first {
			<-s.peeked // the answer came with the last byte: its interrupt has to come before the next limit
		}
		return nil
	}
	s.stop()
	<-s.peeked
	switch {
	case u.broken(): // the client's fault
		return errNotNeeded
	case !first && early != nil: // the connection broke
		return errors.Join(early, syscall.EPIPE)
	}
	return err
}
