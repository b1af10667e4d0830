package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// heldConn delays the return of the write that completes a request until the answer has been noticed.
type heldConn struct {
	*net.TCPConn
	length  int // of the request
	written int
	noticed chan struct{}
	returns chan struct{}
	once    sync.Once
}

func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.written += n; c.written == c.length {
		<-c.noticed
		close(c.returns)
	}
	return n, err
}

func (c *heldConn) SetDeadline(t time.Time) error {
	if t.Equal(netcall.PastDeadline) {
		defer c.once.Do(func() { close(c.noticed) })
	}
	return c.TCPConn.SetDeadline(t)
}

// setUpload gives an attempt a body that is forwarded as it arrives. The request ends more bytes behind a multiple of size.
// It returns the length of the request.
func setUpload(t *testing.T, a *Attempt, size, more int) int {
	t.Helper()
	req := &http.Request{Method: "POST", URL: &url.URL{Path: "/api"}, Host: "b",
		Header: http.Header{"User-Agent": nil, "X-Timeout-Ms": {"9000"}}}
	length := 4 * size
	req.ContentLength, req.Body = int64(length), io.NopCloser(bytes.NewReader(sidecartest.Pattern(length)))
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		t.Fatal(err)
	}
	length -= text.Len() % size
	length += more
	a.Call.Timeout = 9 * time.Second
	a.Call.Outbound = outboundPost(nil)
	body := sidecartest.Pattern(length)
	a.Call.Outbound.Upload = inflight.NewUpload(int64(length), body[:size])
	go a.Call.Outbound.Upload.Feed(bytes.NewReader(body[size:]))
	t.Cleanup(a.Call.Outbound.Upload.Abort)
	return text.Len()/size*size + more
}

// The answer to a forwarded body may be noticed before the write of its last byte returns. It is the answer to a complete
// request and is read to its end. The last byte may be written before the end of the body is known.
func TestUpload_answerWithLastByte(t *testing.T) {
	const size = inflight.CopySize / 2 // of one write
	for name, more := range map[string]int{"with the last write": 10, "ahead of the body's end": 0} {
		t.Run(name, func(t *testing.T) {
			returns := make(chan struct{})
			b := sidecartest.NewBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
				<-returns
				_, err := io.WriteString(c, "done")
				return err == nil
			})
			p, a, conn, _ := newExchange(t, b)
			held := &heldConn{TCPConn: conn.Conn.(*net.TCPConn), noticed: make(chan struct{}), returns: returns}
			held.length = setUpload(t, a, size, more)
			conn.Conn, conn.head.Conn = held, held
			p.release(conn)
			if r := p.Send(a); r.Result != balance.OK || string(r.Answer.Body) != "done" {
				t.Errorf("result %v with %q, want the server's answer", r.Result, r.Answer.Body)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("the server got %d complete requests, want 1", n)
			}
		})
	}
}

// outboundPost returns a request with a body, as servers get it.
func outboundPost(body []byte) *inflight.Outbound {
	return &inflight.Outbound{Method: "POST", URL: &url.URL{Path: "/api"}, Host: "b", Header: http.Header{}, Body: body}
}

// setKeyWindow gives an attempt a class whose idempotency key servers remember for window.
func setKeyWindow(p *Pool, a *Attempt, window time.Duration, body []byte) {
	a.Call.Request.Class = 1
	p.retryWindows[1] = window
	a.Call.Outbound = outboundPost(body)
}

// nextAttempt returns the next attempt of a request.
func nextAttempt(a *Attempt) *Attempt {
	return &Attempt{Call: a.Call, Number: a.Number + 1, Server: a.Server, Deadline: a.Deadline, Context: a.Context, Cancel: a.Cancel}
}

// A request with an idempotency key may be sent again within the key's window only. If that ends while the retry waits for
// its first byte, nothing is sent.
func TestKeyWindow_endsBeforeFirstByte(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true))
	p, a, conn, _ := newExchange(t, b)
	p.release(conn)
	const window = 50 * time.Millisecond
	setKeyWindow(p, a, window, []byte("plate 12-34"))
	if r := p.Send(a); r.Result != balance.Failed {
		t.Fatalf("the first attempt: result %v", r.Result)
	}
	next := nextAttempt(a)
	next.Call.Writing.Lock() // it waits here with its connection
	done := make(chan inflight.Reply, 1)
	go func() { done <- p.Send(next) }()
	<-time.After(time.Until(a.Call.Outbound.MayRunSince.Add(window)))
	next.Call.Writing.Unlock()
	if r := sidecartest.Receive(t, "the retry", done); r.Result != balance.NotSent {
		t.Errorf("result %v, want that nothing was sent", r.Result)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d attempts at the server, want the first alone", n)
	}
}

// An answer that proves that nothing ran starts no window.
func TestKeyWindow_startsWithPossibleRun(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.Respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true))
	p, a, conn, _ := newExchange(t, b)
	p.release(conn)
	setKeyWindow(p, a, time.Nanosecond, []byte("plate 12-34"))
	for range 2 {
		if r := p.Send(a); r.Result != balance.Rejected {
			t.Errorf("result %v, want that the server rejected it", r.Result)
		}
		a = nextAttempt(a)
	}
	if n := b.Requests.Load(); n != 2 {
		t.Errorf("%d attempts at the server, want 2", n)
	}
}

// A server that does not read delays the write: the last byte must not be written after the window.
func TestKeyWindow_endsDuringWrite(t *testing.T) {
	reads := make(chan struct{})
	complete := make(chan bool, 1)
	at := sidecartest.RawBackend(t, "a", func(c net.Conn, in *bufio.Reader) {
		<-reads
		req, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		complete <- err == nil
	})
	b := sidecartest.NewBackend(t, "b", sidecartest.OK)
	b.Target = at
	p, a, conn, _ := newExchange(t, b)
	p.release(conn)
	const window = 50 * time.Millisecond
	setKeyWindow(p, a, window, make([]byte, inflight.MaxBody))
	a.Call.Outbound.MayRunSince = time.Now() // an earlier attempt may have run
	done := make(chan inflight.Reply, 1)
	go func() { done <- p.Send(a) }()
	select {
	case r := <-done:
		if r.Result != balance.NotSent {
			t.Errorf("result %v, want that it was not sent", r.Result)
		}
	case <-time.After(sidecartest.Patience / 2):
		t.Error("the write went on after the window")
	}
	close(reads)
	if sidecartest.Receive(t, "the server", complete) {
		t.Error("the server got the complete request after the window")
	}
}

// setReceivedUpload gives an attempt a forwarded body of which all has arrived and nothing was read.
func setReceivedUpload(t *testing.T, a *Attempt, wait time.Duration) {
	t.Helper()
	body := sidecartest.Pattern(inflight.MaxHeldBody + 100)
	a.Call.Timeout = wait
	a.Call.Outbound = outboundPost(nil)
	u := inflight.NewUpload(int64(len(body)), body[:inflight.MaxHeldBody])
	a.Call.Outbound.Upload = u
	go u.Put(body[inflight.MaxHeldBody:], io.EOF)
	t.Cleanup(u.Abort)
	sidecartest.Until(t, "the last byte", func() bool { return !u.CompletedAt().IsZero() })
}

// The last byte of a forwarded body may arrive before the attempt has its connection. The server gets what the client has
// left since then; once that is over nothing is sent.
func TestUpload_timeLeftOfReceivedBody(t *testing.T) {
	const wait = 9 * time.Second
	for name, test := range map[string]struct {
		passed time.Duration // from the last byte that arrived to the first one that is written
		sent   bool
	}{
		"some": {4 * time.Second, true},
		"none": {wait, false},
	} {
		t.Run(name, func(t *testing.T) {
			timeLeftHeaders := make(chan string, 1)
			b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				timeLeftHeaders <- r.Header.Get("X-Timeout-Ms")
				return sidecartest.OK(c, r, body)
			})
			p, a, conn, _ := newExchange(t, b)
			p.release(conn)
			posted := make(chan any, 4)
			p.post = func(ev any) { posted <- ev }
			setReceivedUpload(t, a, wait)
			a.Call.Writing.Lock() // the attempt waits here
			done := make(chan inflight.Reply, 1)
			go func() { done <- p.Send(a) }()
			sidecartest.Until(t, "the connection to be taken", func() bool { return idleCount(p, a.Server) == 0 })
			u := a.Call.Outbound.Upload
			u.SetCompletedAt(u.CompletedAt().Add(-test.passed))
			a.Call.Writing.Unlock()
			r := sidecartest.Receive(t, "the end", done)
			if n := len(posted); n != map[bool]int{true: 2, false: 1}[test.sent] {
				t.Errorf("the event loop got BodyComplete %d times, want before the attempt and after its last byte", n)
			}
			if !test.sent {
				if r.Result != balance.NotSent || b.Requests.Load() != 0 {
					t.Errorf("result %v, %d requests at the server", r.Result, b.Requests.Load())
				}
				return
			}
			if r.Result != balance.OK {
				t.Fatalf("result %v", r.Result)
			}
			maxMS := (wait - test.passed).Milliseconds()
			if ms, err := strconv.ParseInt(<-timeLeftHeaders, 10, 64); err != nil || ms > maxMS || ms < 1 {
				t.Errorf("the server got %d ms, %v, and the client has at most %d", ms, err, maxMS)
			}
		})
	}
}

// The first byte of an attempt is written right after its last checks: a client that is slow with the remainder of its body
// must not delay it, as the checks would become wrong.
func TestUpload_firstByteBeforeBody(t *testing.T) {
	heads := make(chan struct{})
	at := sidecartest.RawBackend(t, "a", func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			close(heads)
		}
		io.Copy(io.Discard, in)
	})
	b := sidecartest.NewBackend(t, "b", sidecartest.OK)
	b.Target = at
	p, a, conn, _ := newExchange(t, b)
	p.release(conn)
	a.Call.Timeout = sidecartest.Patience
	a.Call.Outbound = outboundPost(nil)
	a.Call.Outbound.Upload = inflight.NewUpload(inflight.MaxBody, sidecartest.Pattern(inflight.MinHeldBody)) // the remainder never arrives
	done := make(chan inflight.Reply, 1)
	go func() { done <- p.Send(a) }()
	select {
	case <-heads:
	case <-time.After(sidecartest.Patience / 2):
		t.Error("the server got no head")
	}
	a.Cancel()
	if r := sidecartest.Receive(t, "the end", done); r.Result != balance.NotSent {
		t.Errorf("result %v", r.Result)
	}
}

// cancellingConn cancels an attempt whenever it reads a part of the answer.
type cancellingConn struct {
	*net.TCPConn
	cancel  func()
	stopped chan struct{} // closed when the connection gets its past deadline
	once    sync.Once
}

func (c *cancellingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.cancel()
		<-c.stopped
	}
	return n, err
}

func (c *cancellingConn) SetDeadline(t time.Time) error {
	if t.Equal(netcall.PastDeadline) {
		defer c.once.Do(func() { close(c.stopped) })
	}
	return c.TCPConn.SetDeadline(t)
}

// An answer may arrive as its attempt is cancelled: it counts once or not at all, and its connection, whose deadline has
// passed, is not reused.
func TestAttempt_answerAtCancel(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	for name, test := range map[string]struct {
		answer string
		want   balance.Result
	}{
		"complete": {head + "done", balance.OK},
		"half":     {head + "do", balance.Cancelled},
		"head":     {head, balance.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.Respond(test.answer, true))
			p, a, conn, _ := newExchange(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			gone := &cancellingConn{TCPConn: conn.Conn.(*net.TCPConn), cancel: a.Cancel, stopped: make(chan struct{})}
			conn.Conn, conn.head.Conn = gone, gone
			p.release(conn)
			if r := p.Send(a); r.Result != test.want {
				t.Errorf("result %v, want %v", r.Result, test.want)
			}
			if n, idle := openCount(p), idleCount(p, a.Server); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are idle, want none", n, idle)
			}
		})
	}
}
