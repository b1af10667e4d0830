package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/balance"
)

const (
	maxHeader = 32 << 10
	// A server that sends a head without end must not fill the memory.
	mostAnswer = maxHeader + 2*holdMost
	// holdTime is how long the beginning of an answer of unknown length is held: it may be short.
	holdTime   = 25 * time.Millisecond
	streamWait = 5 * time.Second // for the next bytes of a streamed body, either way
	// sendBuffer keeps the system from taking megabytes for a slow peer, and from waking a writer only once a third
	// of them is gone.
	sendBuffer = 64 << 10
	idleShare  = 0.85 // of the time after which a server closes an idle connection
	// lateConnect is how long a new connection may take to come up (STANDING). Nobody waits that long for it: it is
	// kept for who comes next.
	lateConnect = time.Second
	probeWait   = 250 * time.Millisecond
	// restTime is for how long a connection that has just carried an answer is left alone where others are idle: a
	// second answer may come some milliseconds late (STANDING), and nothing tells it from that to the next request.
	restTime = 10 * time.Millisecond
)

var (
	errNoSocket = errors.New("no socket is free")
	longAgo     = time.Unix(1, 0)
)

// upstream is one life of a server's process, as discovery told of it. A restart or another address makes
// a new one, so that no connection or decision outlives the process that it was made for.
type upstream struct {
	id       balance.ServerID
	endpoint string
	bootMS   float64
	retired  atomic.Bool // draining, gone or restarted: nothing new goes there
	idle     []*upConn   // oldest first; under the lock of upstreams, as are these:
	waiting  []*waiter   // attempts that wait for a connection, in turn
	dialing  int         // connections on their way
}

// waiter is an attempt that waits for a new connection: its own, or one that was begun for another. One that has just
// carried an answer it does not get: servers close some of those right then, and what is written to them is lost.
type waiter struct{ done chan dialed }

// dialed is what a waiter gets.
type dialed struct {
	conn *upConn
	err  error
}

// upConn is a kept connection; it carries one request at a time.
type upConn struct {
	net.Conn
	in    *bufio.Reader
	left  *io.LimitedReader // under in: bounds an answer, headers included
	head  *headConn         // under left: keeps the head of an answer
	up    *upstream
	since time.Time // idle since
}

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

// upstreams holds the kept connections to all servers and bounds how many there are.
type upstreams struct {
	dialer      net.Dialer
	connectWait time.Duration // of an attempt
	connIdle    time.Duration
	reportNames []string
	probePath   string
	windows     []time.Duration // by class: for how long it may be sent again; 0: nothing to watch
	ages        idleAges
	figures     *figures
	offer       func(any)       // hands an answer that has begun to the loop
	stopped     <-chan struct{} // the loop has ended

	dials   context.Context // its end is that of what is on its way
	endDial context.CancelFunc
	dialers sync.WaitGroup

	mu   sync.Mutex
	kept map[*upstream]struct{} // those with idle connections
	open int
	most int
}

func newUpstreams(cfg *Config, most int) *upstreams {
	wait := millis(cfg.balance.ConnectTimeout)
	if wait <= 0 {
		wait = lateConnect
	}
	p := &upstreams{
		dialer: net.Dialer{Timeout: max(wait, lateConnect), KeepAlive: -1}, connectWait: wait,
		connIdle:    time.Duration(float64(cfg.connIdle) * idleShare),
		reportNames: cfg.reportNames, probePath: "/health/live",
		kept: map[*upstream]struct{}{}, most: most, offer: func(any) {}, figures: newFigures(cfg.classNames),
	}
	for i := range cfg.balance.Classes {
		p.windows = append(p.windows, repeatWindow(&cfg.balance.Classes[i]))
	}
	p.dials, p.endDial = context.WithCancel(context.Background())
	if cfg.balance.Reports != balance.ReportNone {
		p.probePath = "/stats"
	}
	return p
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
		out := &sender{conn: conn, kept: kept, until: until}
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
				result = unsent(ctx, sendBy, err)
			}
			p.discard(conn)
			if errors.Is(err, errVoid) {
				return reply{result: balance.Moot, void: true}
			}
			unfit := err == errUnfit || errors.As(err, new(*net.OpError))
			if kept && result != balance.Full && ctx.Err() == nil && unfit &&
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
	if a != nil && a.call.gone() {
		return false, errMoot
	}
	if err := s.due(); err != nil {
		return false, err
	}
	if a != nil {
		a.call.out.begun = time.Now()
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

// turnedAway reads the answer of a server that did not wait for the whole request.
func (p *upstreams) turnedAway(conn *upConn, req *http.Request) bool {
	conn.SetDeadline(time.Now().Add(probeWait))
	resp, err := http.ReadResponse(conn.in, req)
	return err == nil && notRun(resp)
}

func notRun(resp *http.Response) bool {
	return resp.Header.Get("X-Not-Processed") == "1" &&
		(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout)
}

func limitBuffer(c net.Conn) {
	if tcp, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
		tcp.SetWriteBuffer(sendBuffer)
	}
}

// unsent is the result where the last byte was never written.
func unsent(ctx context.Context, cut time.Time, err error) balance.Result {
	switch {
	case ctx.Err() != nil, err == errMoot, err == errNoSocket, !time.Now().Before(cut), isLocal(err):
		return balance.Moot // no fault of the server
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return balance.Broken // something answered
	default:
		return balance.ConnectFailed
	}
}

// isLocal tells that this machine has no socket, port or memory left for a connection.
func isLocal(err error) bool {
	return slices.ContainsFunc([]error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	}, func(local error) bool { return errors.Is(err, local) })
}

// readReply reads the answer to a request that was written whole: what breaks from here on may have run.
func (p *upstreams) readReply(ctx context.Context, conn *upConn, cut time.Time, req *http.Request, a *attempt,
	idle time.Duration) (reply, bool) {
	resp, err := http.ReadResponse(conn.in, req)
	interim := false
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		interim = true
		resp, err = http.ReadResponse(conn.in, req)
	}
	lost := conn.left.N == mostAnswer // without a byte
	if err == nil {
		err = checkAnswer(conn, resp, interim)
	}
	var body []byte
	if err == nil {
		var more bool
		if body, more, err = readBody(ctx, conn, cut, resp, a != nil); more {
			p.ages.note(time.Now(), idle, false)
			return p.passAnswer(ctx, conn, resp, a, body)
		}
	}
	r := reply{result: broken(ctx, err)}
	p.ages.note(time.Now(), idle, r.result == balance.Reset && lost)
	if err != nil {
		return r, false
	}
	r.report = parseReport(resp.Header.Get("X-Server-Load"), p.reportNames)
	switch {
	case resp.StatusCode == http.StatusOK:
		r.answer = answer{status: http.StatusOK, contentType: resp.Header.Get("Content-Type"), body: body}
	case notRun(resp):
		r.result = balance.Full
	default: // also 503 without the mark: it may have run
		r.result = balance.Failed
	}
	return r, !resp.Close && conn.in.Buffered() == 0
}

// broken is the result of an answer that ended with an error.
func broken(ctx context.Context, err error) balance.Result {
	var timeout net.Error
	switch {
	case err == nil:
		return balance.OK
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		return balance.TimedOut
	default:
		return balance.Reset
	}
}

// passAnswer offers an answer that has begun to the client and stays until all of it was passed on.
func (p *upstreams) passAnswer(ctx context.Context, conn *upConn, resp *http.Response, a *attempt, first []byte) (reply, bool) {
	s := &stream{
		length: resp.ContentLength, first: first, rest: &streamReader{ctx, conn, atOnce(conn, resp), maxBody - int64(len(first))}, ended: make(chan error, 1),
	}
	p.offer(began{a, answer{status: http.StatusOK, contentType: resp.Header.Get("Content-Type"), stream: s}})
	var err error
	select {
	case err = <-s.ended:
	case <-p.stopped: // nobody takes the offer any more
		err = errUnwanted
	}
	r := reply{report: parseReport(resp.Header.Get("X-Server-Load"), p.reportNames)}
	switch {
	case err == errUnwanted, err == errClient:
		r.result = balance.Cancelled
	default:
		r.result = broken(ctx, err)
	}
	return r, err == nil && !resp.Close && conn.in.Buffered() == 0
}

// streamReader reads an answer that may be slow, but must go on.
type streamReader struct {
	ctx  context.Context
	conn *upConn
	body io.Reader
	left int64 // of the longest answer
}

func (r *streamReader) Read(p []byte) (int, error) {
	r.conn.SetReadDeadline(time.Now().Add(streamWait))
	if err := r.ctx.Err(); err != nil { // the line above may have undone the cancel
		return 0, err
	}
	n, err := r.body.Read(p)
	if r.left -= int64(n); r.left < 0 { // it has no end
		return 0, errAnswerLarge
	}
	return n, err
}

var (
	errNotHTTP1 = errors.New("an answer in a protocol that was not asked for")
	errTwoEnds  = errors.New("an answer with Transfer-Encoding beside Content-Length")
	// errAnswerLarge is for answers above 32 MB, and long ones that nobody is served with.
	errAnswerLarge = errors.New("body too large")
)

// checkAnswer refuses what net/http reads all the same, but would leave the connection out of step.
func checkAnswer(conn *upConn, resp *http.Response, interim bool) error {
	if resp.ProtoMajor != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
		return errNotHTTP1
	}
	if len(resp.TransferEncoding) == 0 {
		return nil
	}
	if interim {
		resp.Close = true // the head kept is the first one's
		return nil
	}
	if _, length, err := conn.head.lengths(); err != nil || length {
		return errTwoEnds
	}
	return nil
}

// errUnframed: the end of a connection right behind a head that does not tell where its answer ends.
var errUnframed = errors.New("an answer of nothing but its head")

// readBody reads all of a body, or fails: what is cut short is never passed on as whole. More tells that there is
// more of it than is held: its beginning may be passed on. An answer other than 200 is never longer.
func readBody(ctx context.Context, conn *upConn, cut time.Time, resp *http.Response, mayPass bool) (first []byte, more bool, err error) {
	length := resp.ContentLength
	unframed := length < 0 && len(resp.TransferEncoding) == 0 // it ends with its connection
	mayPass = mayPass && resp.StatusCode == http.StatusOK
	if length >= 0 && length <= holdMost {
		first = make([]byte, length)
		_, err = io.ReadFull(resp.Body, first)
		return first, false, err
	}
	if length > maxBody || length > holdMost && !mayPass {
		return nil, false, errAnswerLarge
	}
	conn.left.N = math.MaxInt64 // from here on nothing is held without a bound
	body := atOnce(conn, resp)
	for begin := time.Now(); ; {
		if len(first) == cap(first) {
			first = append(first, make([]byte, max(4<<10, len(first)))...)[:len(first)]
		}
		if mayPass && len(first) > 0 {
			in, err := conn.moreBy(ctx, begin.Add(holdTime), cut)
			if !in || err != nil {
				return first, err == nil, err
			}
		}
		n, err := body.Read(first[len(first):cap(first)])
		if len(first) == 0 {
			begin = time.Now()
		}
		first = first[:len(first)+n]
		switch {
		case err == io.EOF && unframed && len(first) == 0:
			return nil, false, errUnframed
		case err == io.EOF:
			return first, false, nil
		case err != nil:
			return nil, false, err
		case !mayPass && len(first) > holdMost:
			return nil, false, errAnswerLarge
		case mayPass && len(first) > 0 && (length > holdMost || len(first) > holdMost):
			return first, true, nil
		}
	}
}

// parseReport reads "name=value,name=value" in the order of names; a report that lacks one is none.
func parseReport(text string, names []string) []float32 {
	if text == "" || len(names) == 0 {
		return nil
	}
	report, found := make([]float32, len(names)), 0
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		for i := range names {
			if names[i] == name {
				if v, err := strconv.ParseFloat(value, 32); err == nil {
					report[i] = float32(v)
					found++
				}
			}
		}
	}
	if found != len(names) {
		return nil
	}
	return report
}

// get takes a kept connection, or dials. Whether a kept one is still good the sender asks right before it
// writes. Dialing is bounded by the settings and by the time that the request has left; the loop is told of it, unless
// it is for a probe.
func (p *upstreams) get(ctx context.Context, up *upstream, cut time.Time, a *attempt) (*upConn, bool, error) {
	if up.retired.Load() || !time.Now().Before(cut) {
		return nil, false, errMoot
	}
	for connIdle := p.ages.within(p.connIdle); ; {
		conn := p.takeIdle(up)
		if conn == nil {
			break
		}
		if time.Since(conn.since) < connIdle {
			return conn, true, nil
		}
		p.discard(conn)
	}
	if !p.reserve() {
		return nil, false, errNoSocket
	}
	if a != nil {
		p.offer(connecting{a, false})
	}
	conn, err := p.await(ctx, up, cut)
	if err != nil {
		return nil, false, err
	}
	if a != nil {
		p.offer(connecting{a, true})
	}
	return conn, false, nil
}

// await begins a new connection, for which room is reserved, and takes the first that comes up. One that comes up too
// late for this attempt serves a later one.
func (p *upstreams) await(ctx context.Context, up *upstream, cut time.Time) (*upConn, error) {
	w := &waiter{done: make(chan dialed, 1)}
	p.mu.Lock()
	up.waiting = append(up.waiting, w)
	up.dialing++
	p.mu.Unlock()
	p.dialers.Go(func() { p.dial(up) })
	late := time.NewTimer(min(p.connectWait, time.Until(cut)))
	defer late.Stop()
	var err error
	select {
	case got := <-w.done:
		return got.conn, got.err
	case <-late.C:
		err = os.ErrDeadlineExceeded
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.mu.Lock()
	if i := slices.Index(up.waiting, w); i >= 0 {
		up.waiting = slices.Delete(up.waiting, i, i+1)
	}
	p.mu.Unlock()
	select { // it was served at the same moment
	case got := <-w.done:
		return got.conn, got.err
	default:
		return nil, err
	}
}

// dial brings one connection up, for whoever waits first.
func (p *upstreams) dial(up *upstream) {
	c, err := p.dialer.DialContext(p.dials, "tcp", up.endpoint)
	p.mu.Lock()
	up.dialing--
	if err != nil {
		p.open--
		if len(up.waiting) > up.dialing { // nothing is on its way for the first
			up.next() <- dialed{err: err}
		}
		p.mu.Unlock()
		return
	}
	head := &headConn{Conn: c}
	left := &io.LimitedReader{R: head}
	conn := &upConn{Conn: c, in: bufio.NewReader(left), left: left, head: head, up: up, since: time.Now()}
	wanted := len(up.waiting) > 0
	if wanted {
		up.next() <- dialed{conn: conn}
	} else {
		p.keep(conn)
	}
	p.mu.Unlock()
	if !wanted { // not under the lock: the loop may be waiting for it
		p.offer(reached{up})
	}
}

// next takes the first waiter out of the line; the caller holds the lock.
func (up *upstream) next() chan<- dialed {
	w := up.waiting[0]
	up.waiting = slices.Delete(up.waiting, 0, 1)
	return w.done
}

// keep holds an idle connection; the caller holds the lock.
func (p *upstreams) keep(conn *upConn) {
	closed := conn.up.retired.Load() || p.dials.Err() != nil // retire or closeAll has closed the idle ones
	if closed || p.open > p.most {                           // or setMost has, while this one was at work
		conn.Close()
		p.open--
		return
	}
	conn.up.idle = append(conn.up.idle, conn)
	p.kept[conn.up] = struct{}{}
}

// atOnce gives a body's bytes as they come. The reader of chunks goes on until it has filled what it is given, or
// a chunk has ended, and holds back what a slow server has sent.
func atOnce(conn *upConn, resp *http.Response) io.Reader {
	if len(resp.TransferEncoding) == 0 {
		return resp.Body
	}
	return &chunkReader{conn.in, resp.Body}
}

type chunkReader struct {
	in   *bufio.Reader // under body
	body io.Reader
}

// Read never asks for more than half of what is there: the rest may be the frames of chunks. Behind the end of a
// chunk it stops, as the next one may not have begun.
func (r *chunkReader) Read(p []byte) (n int, err error) {
	if _, err := r.in.Peek(1); err == io.EOF {
		return 0, io.ErrUnexpectedEOF
	} else if err != nil {
		return 0, err
	}
	for n < len(p) && err == nil {
		there := r.in.Buffered()
		if n > 0 {
			if next, _ := r.in.Peek(min(there, 1)); len(next) == 0 || next[0] == '\r' {
				break
			}
		}
		var more int
		more, err = r.body.Read(p[n : n+min(len(p)-n, max(there/2, 1))])
		n += more
	}
	return n, err
}

// moreBy waits for the next bytes, or the end, until a time and no longer than cut. It leaves them to be read, but
// not an error: the system tells that only once.
func (c *upConn) moreBy(ctx context.Context, until, cut time.Time) (bool, error) {
	if c.in.Buffered() > 0 || until.After(cut) {
		return true, nil
	}
	c.SetReadDeadline(until)
	_, err := c.in.Peek(1)
	c.SetReadDeadline(cut)
	if ctx.Err() != nil { // the lines above may have undone the cancel
		c.SetReadDeadline(longAgo)
	}
	switch {
	case err == nil, err == io.EOF:
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, ctx.Err()
	default:
		return false, err
	}
}

// quiet tells that a kept connection is open with nothing to read. A server may have closed it while it
// was idle; a request written to it would end as a reset, which may have run.
func (c *upConn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	open, unread := peek(c.Conn)
	return open && !unread
}

// peek tells whether a connection is open, and whether it holds what nobody has read yet.
func peek(c net.Conn) (open, unread bool) {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, false
	}
	// Control, as a reader may be waiting on the connection.
	raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open, unread = err == syscall.EAGAIN || n > 0, n > 0
	})
	return open, unread
}

// takeIdle takes the newest connection that has rested, or the one that has rested longest; nil: there is none.
func (p *upstreams) takeIdle(up *upstream) *upConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(up.idle) == 0 {
		return nil
	}
	rested := time.Now().Add(-restTime)
	newest := len(up.idle) - 1
	for newest > 0 && up.idle[newest].since.After(rested) {
		newest--
	}
	conn := up.idle[newest]
	up.idle = slices.Delete(up.idle, newest, newest+1) // which clears the last place: it would hold its buffers
	if len(up.idle) == 0 {
		delete(p.kept, up)
	}
	return conn
}

// reserve counts one more connection in; at the bound the longest idle one makes room.
func (p *upstreams) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.most && !p.evict() {
		return false
	}
	p.open++
	return true
}

// setMost changes the bound. Idle connections over it go at once.
func (p *upstreams) setMost(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	for p.open > p.most && p.evict() {
	}
}

func (p *upstreams) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// evict closes the longest idle connection; the caller holds the lock.
func (p *upstreams) evict() bool {
	var oldest *upstream
	for up := range p.kept {
		if oldest == nil || up.idle[0].since.Before(oldest.idle[0].since) {
			oldest = up
		}
	}
	if oldest == nil {
		return false
	}
	p.closeOldest(oldest, 1)
	return true
}

// closeOldest closes the n longest idle connections of a server; the caller holds the lock.
func (p *upstreams) closeOldest(up *upstream, n int) {
	for _, conn := range up.idle[:n] {
		conn.Close()
	}
	p.open -= n
	up.idle = slices.Delete(up.idle, 0, n)
	if len(up.idle) == 0 {
		delete(p.kept, up)
	}
}

func (p *upstreams) put(conn *upConn) {
	conn.SetDeadline(time.Time{})
	conn.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(conn)
}

func (p *upstreams) discard(conn *upConn) {
	conn.Close()
	p.release()
}

// retire marks a server's process as over and drops its idle connections; busy ones go when they end.
func (p *upstreams) retire(up *upstream) {
	up.retired.Store(true)
	p.closeIdle(up)
}

func (p *upstreams) closeIdle(up *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOldest(up, len(up.idle))
}

// reap closes connections before their servers would.
func (p *upstreams) reap(now time.Time) {
	connIdle := p.ages.within(p.connIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	for up := range p.kept {
		n := 0
		for n < len(up.idle) && now.Sub(up.idle[n].since) >= connIdle {
			n++
		}
		p.closeOldest(up, n)
	}
}

func (p *upstreams) closeAll() {
	p.endDial()
	p.dialers.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for up := range p.kept {
		p.closeOldest(up, len(up.idle))
	}
}
