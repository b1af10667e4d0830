package upstream

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

	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/routing"
)

// RequestWriter writes a request to a connection, until it is stopped.
type RequestWriter struct {
	Conn           *ServerConn
	reused         bool           // the connection has carried requests before
	answerPeeked   chan struct{}  // while a body is passed on: the server has begun to answer, or the connection is over
	answered       bool           // it answered before the body was whole
	RouteCheck     *routing.Check // nil: it was looked already, or no route has a say
	HeaderRevision int64          // what the head says that it counts under
	writeBy        time.Time      // by when the last byte has to be out; zero: by when the answer has
	call           *inflight.Call // nil: its first byte is written, or it is a probe's
	hook           checkpoint.Hook

	mu          sync.Mutex
	stopped     bool
	interrupted bool // nothing more of the body is passed on
	body        *inflight.UploadReader
}

// stop breaks off whatever waits on the connection, for good.
func (s *RequestWriter) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.Conn.SetDeadline(netcall.PastDeadline)
	if s.body != nil {
		s.body.Stop()
	}
}

// interrupt ends the passing on of a body. The connection can still be read once a new limit is set.
func (s *RequestWriter) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	s.Conn.SetDeadline(netcall.PastDeadline)
	s.body.Stop()
}

// limit sets the time by which all has to be done.
func (s *RequestWriter) limit(cut time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.Conn.SetDeadline(cut)
		if !s.writeBy.IsZero() && s.writeBy.Before(cut) {
			s.Conn.SetWriteDeadline(s.writeBy)
		}
	}
}

// checkBeforeFirstByte is the last look before the first byte. What a kept connection holds by now cannot answer this request.
func (s *RequestWriter) checkBeforeFirstByte() error {
	if !s.writeBy.IsZero() && !time.Now().Before(s.writeBy) {
		return errNotNeeded
	}
	if s.reused && !s.Conn.quiet() {
		return errStaleConn
	}
	return nil
}

// Write is for a body that is passed on: a server may be slow to read it, but must go on.
func (s *RequestWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.stopped || s.interrupted {
		s.mu.Unlock()
		return 0, errNotNeeded
	}
	by := time.Now().Add(streamTimeout)
	if !s.writeBy.IsZero() && s.writeBy.Before(by) {
		by = s.writeBy
	}
	s.Conn.SetWriteDeadline(by)
	s.mu.Unlock()
	if s.call != nil && s.call.ClientLeft() {
		return 0, errNotNeeded
	}
	s.call = nil
	if s.RouteCheck != nil {
		if under, err := s.RouteCheck.Begin(); err != nil || under != s.HeaderRevision {
			return 0, routing.ErrRevoked // what the head says cannot be taken back
		}
		s.RouteCheck = nil
	}
	return s.Conn.Write(p)
}

// write reports whether the last byte was written: only then may the request run.
func (s *RequestWriter) write(cut time.Time, req *http.Request, a *Attempt) (bool, error) {
	if a != nil {
		a.Call.Writing.Lock()
		defer a.Call.Writing.Unlock()
		if a.Call.Finished() {
			return false, errNotNeeded
		}
	}
	left := time.Until(cut)
	if s.Conn.server.Retired.Load() || left <= 0 {
		return false, errNotNeeded
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // none of our own
	}
	if a != nil && a.RouteCheck != nil {
		s.RouteCheck, s.HeaderRevision = a.RouteCheck, a.RouteCheck.Expect()
		a.RouteCheck.SetHeaders(req.Header, s.HeaderRevision)
	}
	if a != nil && a.Call.Outbound.Upload != nil {
		s.call = a.Call
		if left = a.Call.UploadTimeLeft(); left <= 0 {
			return false, errNotNeeded
		}
		req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
		if err := s.checkBeforeFirstByte(); err != nil {
			return false, err
		}
		a.Call.Outbound.LastFirstByte = time.Now()
		s.hook.At(checkpoint.ClockRead)
		err := s.stream(req, a.Call.Outbound.Upload)
		if err == nil {
			a.Written.Store(true)
		}
		return err == nil, err
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	var buf bytes.Buffer
	if err := render(&buf, req, a); err != nil {
		return false, errNotNeeded
	}
	if err := s.checkBeforeFirstByte(); err != nil {
		return false, err
	}
	if a != nil {
		a.Call.Outbound.LastFirstByte = time.Now()
		s.hook.At(checkpoint.ClockRead)
		if a.Call.ClientLeft() { // after the clock: a process may be held up from there on
			return false, errNotNeeded
		}
	}
	if s.RouteCheck != nil { // the last look, right before the first byte
		under, err := s.RouteCheck.Begin()
		if err != nil {
			return false, err
		}
		if under != s.HeaderRevision {
			s.RouteCheck.SetHeaders(req.Header, under)
			buf.Reset()
			if err := render(&buf, req, a); err != nil {
				return false, errNotNeeded
			}
		}
	}
	n, err := s.Conn.Write(buf.Bytes())
	all := n == buf.Len()
	if all && a != nil {
		a.Written.Store(true)
	}
	return all, err
}

// render gives the text of a request whose body is held whole.
func render(buf *bytes.Buffer, req *http.Request, a *Attempt) error {
	req.Body = http.NoBody
	if a != nil && len(a.Call.Outbound.Body) > 0 {
		// Anew each time: the write before has used it up, and the request could not move on.
		req.Body = io.NopCloser(bytes.NewReader(a.Call.Outbound.Body))
	}
	return req.Write(buf)
}

// stream writes a request whose body is still coming. A server that answers before it is whole wants no more.
func (s *RequestWriter) stream(req *http.Request, u *inflight.Upload) error {
	netcall.LimitBuffer(s.Conn.Conn)
	body := u.NewReader()
	s.mu.Lock()
	s.body = body
	if s.stopped {
		body.Stop()
	}
	s.mu.Unlock()
	var done atomic.Bool
	var early error
	s.answerPeeked = make(chan struct{})
	go func() {
		defer close(s.answerPeeked)
		_, err := s.Conn.in.Peek(1)
		if done.CompareAndSwap(false, true) {
			s.answered, early = err == nil, err
			s.interrupt()
		}
	}()
	req.Body = io.NopCloser(body)
	if u.Length >= 0 {
		// net/http asks for more behind the last byte. An error there would tell of a whole request that it was not.
		req.Body = io.NopCloser(io.LimitReader(body, u.Length))
	}
	size := inflight.CopySize / 2
	if s.RouteCheck != nil {
		size = inflight.MinHeldBody // less than what is held: what is void must not have used up the body
	}
	out := bufio.NewWriterSize(s, size)
	err := req.Write(out)
	if err == nil {
		err = out.Flush()
	}
	first := done.CompareAndSwap(false, true)
	if err == nil {
		if !first {
			<-s.answerPeeked // the answer came with the last byte: its interrupt has to come before the next limit
		}
		return nil
	}
	s.stop()
	<-s.answerPeeked
	switch {
	case u.Broken(): // the client's fault
		return errNotNeeded
	case !first && early != nil: // the connection broke
		return errors.Join(early, syscall.EPIPE)
	}
	return err
}
