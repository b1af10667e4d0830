package sidecar

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
)

// heldConn holds back the end of the write that completes a request until the answer has been noticed.
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
	if t.Equal(pastDeadline) {
		defer c.once.Do(func() { close(c.noticed) })
	}
	return c.TCPConn.SetDeadline(t)
}

// uploading makes an attempt one whose body is passed on, of a length that puts the end of the request at a multiple
// of size, and some bytes more. It gives the length of the request.
func uploading(t *testing.T, a *attempt, size, more int) int {
	t.Helper()
	req := &http.Request{Method: "POST", URL: &url.URL{Path: "/api"}, Host: "b",
		Header: http.Header{"User-Agent": nil, "X-Timeout-Ms": {"9000"}}}
	length := 4 * size
	req.ContentLength, req.Body = int64(length), io.NopCloser(bytes.NewReader(pattern(length)))
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		t.Fatal(err)
	}
	length -= text.Len() % size
	length += more
	a.call.wait = 9 * time.Second
	a.call.out = outboundPost(nil)
	body := pattern(length)
	a.call.out.upload = newUpload(int64(length), body[:size])
	go a.call.out.upload.feed(bytes.NewReader(body[size:]))
	t.Cleanup(a.call.out.upload.drop)
	return text.Len()/size*size + more
}

// The answer to a body that is passed on may be noticed before the write of its last byte returns: it is the answer to
// a whole request, and is read to its end. The last byte may go out before the body's end is known.
func TestAnswerWithTheLastByteOfABody(t *testing.T) {
	const size = copySize / 2 // of one write
	for name, more := range map[string]int{"with the last write": 10, "ahead of the body's end": 0} {
		t.Run(name, func(t *testing.T) {
			returns := make(chan struct{})
			b := newBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
				<-returns
				_, err := io.WriteString(c, "done")
				return err == nil
			})
			p, a, conn, _ := exchanging(t, b)
			held := &heldConn{TCPConn: conn.Conn.(*net.TCPConn), noticed: make(chan struct{}), returns: returns}
			held.length = uploading(t, a, size, more)
			conn.Conn, conn.head.Conn = held, held
			p.put(conn)
			if r := p.send(a); r.result != balance.OK || string(r.answer.body) != "done" {
				t.Errorf("result %v with %q, want the server's answer", r.result, r.answer.body)
			}
			if n := b.requests.Load(); n != 1 {
				t.Errorf("the server got %d whole requests, want 1", n)
			}
		})
	}
}

// outboundPost is a request with a body, as servers get it.
func outboundPost(body []byte) *outbound {
	return &outbound{method: "POST", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{}, body: body}
}

// keyedWindow makes an attempt one of a class whose key servers know for so long.
func keyedWindow(p *upstreams, a *attempt, window time.Duration, body []byte) {
	a.call.ev.Class = 1
	p.windows[1] = window
	a.call.out = outboundPost(body)
}

// further gives the next attempt of a request.
func further(a *attempt) *attempt {
	return &attempt{call: a.call, number: a.number + 1, up: a.up, cut: a.cut, ctx: a.ctx, cancel: a.cancel}
}

// A key may be repeated for its window only. That ends while the further attempt waits for its first byte: nothing is
// sent, whatever was decided before.
func TestWindowOfAKeyEndsBeforeTheFirstByte(t *testing.T) {
	b := newBackend(t, "a", respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true))
	p, a, conn, _ := exchanging(t, b)
	p.put(conn)
	const window = 50 * time.Millisecond
	keyedWindow(p, a, window, []byte("plate 12-34"))
	if r := p.send(a); r.result != balance.Failed {
		t.Fatalf("the first attempt: result %v", r.result)
	}
	next := further(a)
	next.call.writing.Lock() // it has its connection, and waits here
	done := make(chan reply, 1)
	go func() { done <- p.send(next) }()
	<-time.After(time.Until(a.call.out.ran.Add(window)))
	next.call.writing.Unlock()
	if r := receive(t, "the further attempt", done); r.result != balance.NotSent {
		t.Errorf("result %v, want that nothing was sent", r.result)
	}
	if n := b.requests.Load(); n != 1 {
		t.Errorf("%d attempts at the server, want the first alone", n)
	}
}

// What proves that nothing ran begins no window.
func TestWindowOfAKeyBeginsWithWhatMayHaveRun(t *testing.T) {
	b := newBackend(t, "a", respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true))
	p, a, conn, _ := exchanging(t, b)
	p.put(conn)
	keyedWindow(p, a, time.Nanosecond, []byte("plate 12-34"))
	for range 2 {
		if r := p.send(a); r.result != balance.Rejected {
			t.Errorf("result %v, want that the server had no place", r.result)
		}
		a = further(a)
	}
	if n := b.requests.Load(); n != 2 {
		t.Errorf("%d attempts at the server, want 2", n)
	}
}

// A server that does not read holds up the write: the last byte must not go out once the window is over.
func TestWindowOfAKeyEndsUnderTheWrite(t *testing.T) {
	reads := make(chan struct{})
	whole := make(chan bool, 1)
	at := rawBackend(t, "a", func(c net.Conn, in *bufio.Reader) {
		<-reads
		req, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		whole <- err == nil
	})
	b := newBackend(t, "b", ok)
	b.target = at
	p, a, conn, _ := exchanging(t, b)
	p.put(conn)
	const window = 50 * time.Millisecond
	keyedWindow(p, a, window, make([]byte, maxBody))
	a.call.out.ran = time.Now() // by an attempt before
	done := make(chan reply, 1)
	go func() { done <- p.send(a) }()
	select {
	case r := <-done:
		if r.result != balance.NotSent {
			t.Errorf("result %v, want that it was given up", r.result)
		}
	case <-time.After(patience / 2):
		t.Error("the write went on after the window")
	}
	close(reads)
	if receive(t, "the server", whole) {
		t.Error("the server got the whole request after the window")
	}
}

// wholeUpload makes an attempt one of a body whose rest has come, all of it, and waits to go out.
func wholeUpload(t *testing.T, a *attempt, wait time.Duration) {
	t.Helper()
	body := pattern(holdMost + 100)
	a.call.wait = wait
	a.call.out = outboundPost(nil)
	u := newUpload(int64(len(body)), body[:holdMost])
	a.call.out.upload = u
	go u.put(body[holdMost:], io.EOF)
	t.Cleanup(u.drop)
	until(t, "the last byte", func() bool { return !u.whole().IsZero() })
}

// The last byte of a body that is passed on may come before the attempt has its connection: what the server is told is
// what the client has left since then, and once that is over nothing is sent.
func TestTimeLeftOfABodyThatHasCome(t *testing.T) {
	const wait = 9 * time.Second
	for name, test := range map[string]struct {
		passed time.Duration // since the last byte, as the first byte is due
		sent   bool
	}{
		"some": {4 * time.Second, true},
		"none": {wait, false},
	} {
		t.Run(name, func(t *testing.T) {
			told := make(chan string, 1)
			b := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				told <- r.Header.Get("X-Timeout-Ms")
				return ok(c, r, body)
			})
			p, a, conn, _ := exchanging(t, b)
			p.put(conn)
			offered := make(chan any, 4)
			p.offer = func(ev any) { offered <- ev }
			wholeUpload(t, a, wait)
			a.call.writing.Lock() // the attempt waits here
			done := make(chan reply, 1)
			go func() { done <- p.send(a) }()
			until(t, "the connection to be taken", func() bool { return idleOf(p, a.up) == 0 })
			u := a.call.out.upload
			u.mu.Lock()
			u.received = u.received.Add(-test.passed)
			u.mu.Unlock()
			a.call.writing.Unlock()
			r := receive(t, "the end", done)
			if n := len(offered); n != map[bool]int{true: 2, false: 1}[test.sent] {
				t.Errorf("the loop is told %d times that the body is whole, want before the attempt and behind its last byte", n)
			}
			if !test.sent {
				if r.result != balance.NotSent || b.requests.Load() != 0 {
					t.Errorf("result %v, %d requests at the server", r.result, b.requests.Load())
				}
				return
			}
			if r.result != balance.OK {
				t.Fatalf("result %v", r.result)
			}
			most := (wait - test.passed).Milliseconds()
			if ms, err := strconv.ParseInt(<-told, 10, 64); err != nil || ms > most || ms < 1 {
				t.Errorf("the server is told %d ms, %v, and the client has at most %d", ms, err, most)
			}
		})
	}
}

// The last checks of an attempt are those of its first byte, which goes out at once: a client that is slow with the
// rest of its body does not hold it back until they have become wrong.
func TestFirstByteDoesNotWaitForTheBody(t *testing.T) {
	heads := make(chan struct{})
	at := rawBackend(t, "a", func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			close(heads)
		}
		io.Copy(io.Discard, in)
	})
	b := newBackend(t, "b", ok)
	b.target = at
	p, a, conn, _ := exchanging(t, b)
	p.put(conn)
	a.call.wait = patience
	a.call.out = outboundPost(nil)
	a.call.out.upload = newUpload(maxBody, pattern(holdLeast)) // no more of it comes
	done := make(chan reply, 1)
	go func() { done <- p.send(a) }()
	select {
	case <-heads:
	case <-time.After(patience / 2):
		t.Error("the server got no head")
	}
	a.cancel()
	if r := receive(t, "the end", done); r.result != balance.NotSent {
		t.Errorf("result %v", r.result)
	}
}

// givenUpConn gives an attempt up with each answer that it reads.
type givenUpConn struct {
	*net.TCPConn
	giveUp  func()
	stopped chan struct{} // the connection was told
	once    sync.Once
}

func (c *givenUpConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.giveUp()
		<-c.stopped
	}
	return n, err
}

func (c *givenUpConn) SetDeadline(t time.Time) error {
	if t.Equal(pastDeadline) {
		defer c.once.Do(func() { close(c.stopped) })
	}
	return c.TCPConn.SetDeadline(t)
}

// An answer may arrive as its attempt is given up: it counts once or not at all, and its connection, whose deadline is
// in the past, is not kept.
func TestAnswerAsTheAttemptIsGivenUp(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	for name, test := range map[string]struct {
		answer string
		want   balance.Result
	}{
		"whole": {head + "done", balance.OK},
		"half":  {head + "do", balance.Cancelled},
		"head":  {head, balance.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "a", respond(test.answer, true))
			p, a, conn, _ := exchanging(t, b)
			a.call.out = outboundPost([]byte("plate 12-34"))
			gone := &givenUpConn{TCPConn: conn.Conn.(*net.TCPConn), giveUp: a.cancel, stopped: make(chan struct{})}
			conn.Conn, conn.head.Conn = gone, gone
			p.put(conn)
			if r := p.send(a); r.result != test.want {
				t.Errorf("result %v, want %v", r.result, test.want)
			}
			if n, idle := openOf(p), idleOf(p, a.up); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are kept, want none", n, idle)
			}
		})
	}
}

// A request whose window ends while its further attempt connects is answered then, and not only at its deadline: it can
// not be sent any more.
func TestWindowOfAKeyEndsWhileConnecting(t *testing.T) {
	b := newBackend(t, "a", respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true))
	b.target.Capacity = 1000 // it is asked first
	never := ready("b", unanswering(t))
	c := newConf(newRegistry(t).addr(), b.target, never).
		setting(`"window_ms": 2000`, `"window_ms": 100`).
		setting(`"connect_timeout_ms": 100`, `"connect_timeout_ms": 60000`).
		setting(`"hard_limit_ms": 1000, "worth": 8`, `"hard_limit_ms": 9000, "worth": 8`)
	s := start(t, c)
	if got := s.do(s.request("reserve", 9*time.Second)); got.status != statusFailed {
		t.Errorf("%+v, want a failure", got)
	}
	if n := b.requests.Load(); n != 1 {
		t.Errorf("%d attempts at the server, want 1", n)
	}
}
