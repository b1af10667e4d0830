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

// delayedWriteConn delays the return of the write that completes a request until the response has been noticed.
type delayedWriteConn struct {
	*net.TCPConn
	length  int // length of the request in bytes
	written int
	noticed chan struct{} // closed when the response has been noticed
	returns chan struct{} // closed when the completing write returns
	once    sync.Once
}

func (c *delayedWriteConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.written += n; c.written == c.length {
		<-c.noticed
		close(c.returns)
	}
	return n, err
}

func (c *delayedWriteConn) SetDeadline(t time.Time) error {
	if t.Equal(netcall.PastDeadline) {
		defer c.once.Do(func() { close(c.noticed) })
	}
	return c.TCPConn.SetDeadline(t)
}

// setUpload gives an attempt a body that is forwarded as it arrives, and returns the length of the request: a multiple
// of size, plus extra bytes.
func setUpload(t *testing.T, a *Attempt, size, extra int) int {
	t.Helper()
	req := &http.Request{Method: "POST", URL: &url.URL{Path: "/api"}, Host: "b",
		Header: http.Header{"User-Agent": nil, "X-Timeout-Ms": {"9000"}}}
	length := 4 * size
	req.ContentLength, req.Body = int64(length), io.NopCloser(bytes.NewReader(sidecartest.PatternBody(length)))
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		t.Fatal(err)
	}
	length -= text.Len() % size
	length += extra
	a.Call.Timeout = 9 * time.Second
	a.Call.Outbound = outboundPost(nil)
	body := sidecartest.PatternBody(length)
	a.Call.Outbound.Upload = inflight.NewUpload(int64(length), body[:size])
	go a.Call.Outbound.Upload.Feed(bytes.NewReader(body[size:]))
	t.Cleanup(a.Call.Outbound.Upload.Abort)
	return text.Len()/size*size + extra
}

// The response to a forwarded body may be noticed before the write of the last byte of the body returns. It is the
// response to a complete request and must be read completely. The last byte may also be written before the end of the
// body is known.
func TestUpload_responseWithLastByte(t *testing.T) {
	const size = inflight.CopyBufferSize / 2 // bytes of one write
	for name, extra := range map[string]int{"with the last write": 10, "before the end of the body is known": 0} {
		t.Run(name, func(t *testing.T) {
			returns := make(chan struct{})
			b := sidecartest.NewBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
				<-returns
				_, err := io.WriteString(c, "done")
				return err == nil
			})
			p, a, conn, _ := newExchange(t, b)
			delayed := &delayedWriteConn{TCPConn: conn.Conn.(*net.TCPConn), noticed: make(chan struct{}), returns: returns}
			delayed.length = setUpload(t, a, size, extra)
			conn.Conn, conn.head.Conn = delayed, delayed
			p.release(conn)
			if r := p.Send(a); r.Result != balance.OK || string(r.Response.Body) != "done" {
				t.Errorf("result %v with %q, want the server's response", r.Result, r.Response.Body)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("the server got %d complete requests, want 1", n)
			}
		})
	}
}

// outboundPost returns a request with a body, as it is sent to servers.
func outboundPost(body []byte) *inflight.Outbound {
	return &inflight.Outbound{Method: "POST", URL: &url.URL{Path: "/api"}, Host: "b", Header: http.Header{}, Body: body}
}

// setKeyWindow gives an attempt a class whose idempotency keys servers remember for window.
func setKeyWindow(p *Pool, a *Attempt, window time.Duration, body []byte) {
	a.Call.Request.Class = 1
	p.retryWindows[1] = window
	a.Call.Outbound = outboundPost(body)
}

// nextAttempt returns the next attempt of a request.
func nextAttempt(a *Attempt) *Attempt {
	return &Attempt{Call: a.Call, Number: a.Number + 1, Server: a.Server, Deadline: a.Deadline, Context: a.Context, Cancel: a.Cancel}
}

// A request with an idempotency key may be sent again only within the window of the key. If the window ends while the
// retry waits for its first byte, nothing may be sent.
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
	next.Call.WriteLock.Lock() // the retry waits here with its connection
	done := make(chan inflight.AttemptOutcome, 1)
	go func() { done <- p.Send(next) }()
	<-time.After(time.Until(a.Call.Outbound.MayHaveRunSince.Add(window)))
	next.Call.WriteLock.Unlock()
	if r := sidecartest.Receive(t, "the retry", done); r.Result != balance.NotSent {
		t.Errorf("result %v, want not sent", r.Result)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("the server got %d attempts, want only the first", n)
	}
}

// A response that guarantees that nothing ran does not start the window.
func TestKeyWindow_startsWithPossibleRun(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.Respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true))
	p, a, conn, _ := newExchange(t, b)
	p.release(conn)
	setKeyWindow(p, a, time.Nanosecond, []byte("plate 12-34"))
	for range 2 {
		if r := p.Send(a); r.Result != balance.Rejected {
			t.Errorf("result %v, want rejected", r.Result)
		}
		a = nextAttempt(a)
	}
	if n := b.Requests.Load(); n != 2 {
		t.Errorf("the server got %d attempts, want 2", n)
	}
}

// A server that does not read delays the write: the last byte must not be written after the window has ended.
func TestKeyWindow_endsDuringWrite(t *testing.T) {
	startReading := make(chan struct{})
	complete := make(chan bool, 1)
	at := sidecartest.RawBackend(t, "a", func(c net.Conn, in *bufio.Reader) {
		<-startReading
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
	a.Call.Outbound.MayHaveRunSince = time.Now() // an earlier attempt may have run
	done := make(chan inflight.AttemptOutcome, 1)
	go func() { done <- p.Send(a) }()
	select {
	case r := <-done:
		if r.Result != balance.NotSent {
			t.Errorf("result %v, want not sent", r.Result)
		}
	case <-time.After(sidecartest.WaitTimeout / 2):
		t.Error("the write went on after the window")
	}
	close(startReading)
	if sidecartest.Receive(t, "the server", complete) {
		t.Error("the server got the complete request after the window")
	}
}

// setReceivedUpload gives an attempt a forwarded body that has arrived completely and of which nothing has been read.
func setReceivedUpload(t *testing.T, a *Attempt, wait time.Duration) {
	t.Helper()
	body := sidecartest.PatternBody(inflight.MaxHeldBody + 100)
	a.Call.Timeout = wait
	a.Call.Outbound = outboundPost(nil)
	u := inflight.NewUpload(int64(len(body)), body[:inflight.MaxHeldBody])
	a.Call.Outbound.Upload = u
	go u.Put(body[inflight.MaxHeldBody:], io.EOF)
	t.Cleanup(u.Abort)
	sidecartest.Until(t, "the last byte", func() bool { return !u.CompletedAt().IsZero() })
}

// The last byte of a forwarded body may arrive before the attempt has its connection. The server is sent the time that
// the client has left since then. If none is left, nothing is sent.
func TestUpload_timeLeftOfReceivedBody(t *testing.T) {
	const wait = 9 * time.Second
	for name, test := range map[string]struct {
		passed time.Duration // from the arrival of the last byte to the writing of the first one
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
			a.Call.WriteLock.Lock() // the attempt waits here
			done := make(chan inflight.AttemptOutcome, 1)
			go func() { done <- p.Send(a) }()
			sidecartest.Until(t, "the connection to be taken", func() bool { return idleCount(p, a.Server) == 0 })
			u := a.Call.Outbound.Upload
			u.SetCompletedAt(u.CompletedAt().Add(-test.passed))
			a.Call.WriteLock.Unlock()
			r := sidecartest.Receive(t, "the end", done)
			if n := len(posted); n != map[bool]int{true: 2, false: 1}[test.sent] {
				t.Errorf("the event loop got BodyComplete %d times, want one before the attempt and, if it is sent, one after its last byte", n)
			}
			if !test.sent {
				if r.Result != balance.NotSent || b.Requests.Load() != 0 {
					t.Errorf("result %v with %d requests at the server, want not sent and none", r.Result, b.Requests.Load())
				}
				return
			}
			if r.Result != balance.OK {
				t.Fatalf("result %v", r.Result)
			}
			maxMS := (wait - test.passed).Milliseconds()
			if ms, err := strconv.ParseInt(<-timeLeftHeaders, 10, 64); err != nil || ms > maxMS || ms < 1 {
				t.Errorf("the server got %d ms, error %v, and the client has at most %d", ms, err, maxMS)
			}
		})
	}
}

// The first byte of an attempt is written right after its last checks. A client that is slow with the rest of its body
// must not delay it, as the checks would be outdated by then.
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
	a.Call.Timeout = sidecartest.WaitTimeout
	a.Call.Outbound = outboundPost(nil)
	a.Call.Outbound.Upload = inflight.NewUpload(inflight.MaxBody, sidecartest.PatternBody(inflight.MinHeldBody)) // the rest never arrives
	done := make(chan inflight.AttemptOutcome, 1)
	go func() { done <- p.Send(a) }()
	select {
	case <-heads:
	case <-time.After(sidecartest.WaitTimeout / 2):
		t.Error("the server got no head")
	}
	a.Cancel()
	if r := sidecartest.Receive(t, "the end", done); r.Result != balance.NotSent {
		t.Errorf("result %v", r.Result)
	}
}

// cancellingConn cancels an attempt whenever it reads a part of the response.
type cancellingConn struct {
	*net.TCPConn
	cancel  func()
	stopped chan struct{} // closed when the connection gets PastDeadline
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

// A response may arrive at the moment at which its attempt is cancelled. It is counted once or not at all, and its
// connection, whose deadline has passed, is not reused.
func TestAttempt_responseAtCancel(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	for name, test := range map[string]struct {
		response string
		want     balance.Result
	}{
		"complete": {head + "done", balance.OK},
		"half":     {head + "do", balance.Cancelled},
		"head":     {head, balance.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.Respond(test.response, true))
			p, a, conn, _ := newExchange(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			cancelling := &cancellingConn{TCPConn: conn.Conn.(*net.TCPConn), cancel: a.Cancel, stopped: make(chan struct{})}
			conn.Conn, conn.head.Conn = cancelling, cancelling
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
