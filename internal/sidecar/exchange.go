package sidecar

// This file makes one attempt: it writes a request to a connection once, with the last checks before its first byte.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/balance"
)

const (
	streamWait = 5 * time.Second // for the next bytes of a streamed body, either way
	probeWait  = 250 * time.Millisecond
)

// longAgo as a deadline ends whatever waits on a connection.
var longAgo = time.Unix(1, 0)

// outbound is a request as servers get it.
type outbound struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end-to-end headers only
	body   []byte
	upload *upload // in place of body: it is passed on as it comes
	// The first bytes of the latest attempt, and of the first that may have run; zero: none. Its attempts follow each
	// other, so there is no lock.
	begun, ran time.Time
}

// reply is how an attempt or probe ended.
type reply struct {
	result balance.Result
	answer answer
	report []float32
	spent  bool // the request's body is used up
	void   bool // its route is not acted on any more
}

// repeatWindow is for how long servers know a class's key; 0: it has none, or no end that matters.
func repeatWindow(class *balance.Class) time.Duration {
	if class.Effect != balance.Keyed || class.Window >= float64(maxWait/time.Millisecond) {
		return 0
	}
	return max(millis(class.Window), 1)
}

// send makes one attempt and tells how it ended.
func (p *upstreams) send(a *attempt) reply {
	p.hook.at(attemptDecided)
	r := p.exchangeCall(a)
	if out := a.call.out; out.ran.IsZero() && !r.result.NeverRan() {
		out.ran = out.begun
	}
	return a.look.ended(r)
}

// repeatUntil is when the last byte of an attempt has to be out, as servers forget its key; zero: whenever.
func (p *upstreams) repeatUntil(a *attempt) time.Time {
	if a == nil || a.call.out.ran.IsZero() || p.windows[a.call.ev.Class] == 0 {
		return time.Time{}
	}
	return a.call.out.ran.Add(p.windows[a.call.ev.Class])
}

// exchangeCall is exchange with the client's request and its times.
func (p *upstreams) exchangeCall(a *attempt) reply {
	c := a.call
	req := &http.Request{
		Method: c.out.method, URL: c.out.url, Host: c.out.host, Header: c.out.header.Clone(),
		ContentLength: int64(len(c.out.body)),
	}
	if u := c.out.upload; u != nil {
		req.ContentLength = u.length
		cut := time.Now().Add(maxWait)
		if received := u.whole(); !received.IsZero() && !u.broken() {
			// It came to its end while nobody took it, so nobody has told the loop.
			cut = received.Add(c.wait)
			p.offer(whole{c})
		}
		r := p.exchange(a.ctx, a.up, cut, req, a)
		r.spent = u.spent()
		return r
	}
	return p.exchange(a.ctx, a.up, a.cut, req, a)
}

// probe asks a server how it is.
func (p *upstreams) probe(ctx context.Context, up *upstream) reply {
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: p.probePath}, Host: up.endpoint, Header: http.Header{},
	}
	r := p.exchange(ctx, up, time.Now().Add(probeWait), req, nil)
	if len(r.report) == 0 {
		r.report = parseReport(string(r.answer.body), p.reportNames)
	}
	return r
}

// exchange writes a request once and reads its answer; a is nil for a probe. net/http's Transport would
// send again by itself on a broken kept connection, which is one more attempt; here a request moves to
// another connection only while its last byte has not been written.
func (p *upstreams) exchange(ctx context.Context, up *upstream, cut time.Time, req *http.Request, a *attempt) reply {
	until := p.repeatUntil(a)
	sendBy := cut
	if !until.IsZero() && until.Before(cut) {
		sendBy = until
	}
	for {
		conn, kept, err := p.get(ctx, up, sendBy, a)
		if err != nil {
			return reply{result: unsent(ctx, sendBy, err)}
		}
		conn.head.next()
		conn.left.N = mostAnswer
		out := &sender{conn: conn, kept: kept, until: until, hook: p.hook}
		stop := context.AfterFunc(ctx, out.stop)
		if a == nil || a.call.out.upload == nil {
			out.limit(cut)
		}
		all, err := out.write(cut, req, a)
		if all && a != nil {
			p.figures.calls.Add(1)
		}
		if !all {
			stop()
			result := balance.Full
			if !out.answered || !p.turnedAway(conn, req) {
				result = unwritten(ctx, sendBy, err)
			}
			p.discard(conn)
			if errors.Is(err, errVoid) {
				return reply{result: balance.Moot, void: true}
			}
			unfit := err == errUnfit || errors.As(err, new(*net.OpError))
			elsewhere := result != balance.Full && result != balance.LocalFailure
			if kept && elsewhere && ctx.Err() == nil && unfit &&
				time.Now().Before(sendBy) && (a == nil || a.call.out.upload == nil || !a.call.out.upload.spent()) {
				continue // the server closed it while idle; nothing of the request has run
			}
			return reply{result: result}
		}
		if a != nil && a.call.out.upload != nil {
			cut = a.call.out.upload.whole().Add(a.call.wait)
			out.limit(cut)
			p.offer(whole{a.call})
			<-out.peeked
		}
		idle := time.Duration(0)
		if kept {
			idle = time.Since(conn.since)
		}
		r, keep := p.readReply(ctx, conn, cut, req, a, idle)
		if stop() && keep {
			p.put(conn)
		} else {
			p.discard(conn)
		}
		return r
	}
}

// errMoot: between decision and first byte the request was concluded, its client left, its time ran out or its server
// was retired. It is checked last of all, as dialing takes time in which the list changes.
var errMoot = errors.New("not to be sent any more")

// errUnfit: a kept connection was closed by its server while it was idle, or holds bytes that answer nothing.
var errUnfit = errors.New("the kept connection is closed or out of step")

// sender writes a request to a connection, until it is stopped.
type sender struct {
	conn     *upConn
	kept     bool          // the connection has carried requests before
	peeked   chan struct{} // while a body is passed on: the server has begun to answer, or the connection is over
	answered bool          // it answered before the body was whole
	look     *look         // nil: it was looked already, or no route has a say
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
	s.conn.SetDeadline(longAgo)
	if s.body != nil {
		s.body.stop()
	}
}

// interrupt ends the passing on of a body. The connection can still be read once a new limit is set.
func (s *sender) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	s.conn.SetDeadline(longAgo)
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
		return errMoot
	}
	if s.kept && !s.conn.quiet() {
		return errUnfit
	}
	return nil
}

// Write is for a body that is passed on: a server may be slow to read it, but must go on.
func (s *sender) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.stopped || s.interrupted {
		s.mu.Unlock()
		return 0, errMoot
	}
	by := time.Now().Add(streamWait)
	if !s.until.IsZero() && s.until.Before(by) {
		by = s.until
	}
	s.conn.SetWriteDeadline(by)
	s.mu.Unlock()
	if s.call != nil && s.call.gone() {
		return 0, errMoot
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
			return false, errMoot
		}
	}
	left := time.Until(cut)
	if s.conn.up.retired.Load() || left <= 0 {
		return false, errMoot
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
			return false, errMoot
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
		return false, errMoot
	}
	if err := s.due(); err != nil {
		return false, err
	}
	if a != nil {
		a.call.out.begun = time.Now()
		s.hook.at(clockRead)
		if a.call.gone() { // after the clock: a process may be held up from there on
			return false, errMoot
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
				return false, errMoot
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

// uploadLeft is the time that the client of a body that is passed on has left: all of it until the last byte has come.
func (c *call) uploadLeft() time.Duration {
	if received := c.out.upload.whole(); !received.IsZero() {
		return time.Until(received.Add(c.wait))
	}
	return c.wait
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
		return errMoot
	case !first && early != nil: // the connection broke
		return errors.Join(early, syscall.EPIPE)
	}
	return err
}

// unsent is the result where no connection came up.
func unsent(ctx context.Context, cut time.Time, err error) balance.Result {
	switch {
	case ctx.Err() != nil, err == errMoot, err == errNoSocket, !time.Now().Before(cut):
		return balance.Moot // no fault of the server
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return balance.Broken // something answered
	case localErrnos.has(err):
		return balance.LocalFailure
	case unreachableErrnos.has(err):
		return balance.Unreachable
	default:
		return balance.ConnectFailed
	}
}

// unwritten is the result where the last byte was not written to a connection that was up. The system's errors, but for
// this machine's own trouble, tell then that it is over, and not that nobody is there.
func unwritten(ctx context.Context, cut time.Time, err error) balance.Result {
	result := unsent(ctx, cut, err)
	failed := result == balance.Unreachable || result == balance.ConnectFailed
	if failed && errors.As(err, new(syscall.Errno)) {
		return balance.Broken
	}
	return result
}
