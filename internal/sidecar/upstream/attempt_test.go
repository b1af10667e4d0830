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
	if t.Equal(netcall.PastDeadline) {
		defer c.once.Do(func() { close(c.noticed) })
	}
	return c.TCPConn.SetDeadline(t)
}

// uploading makes an attempt one whose body is passed on, of a length that puts the end of the request at a multiple
// of size, and some bytes more. It gives the length of the request.
func uploading(t *testing.T, a *Attempt, size, more int) int {
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

// The answer to a body that is passed on may be noticed before the write of its last byte returns: it is the answer to
// a whole request, and is read to its end. The last byte may go out before the body's end is known.
func TestAnswerWithTheLastByteOfABody(t *testing.T) {
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
			p, a, conn, _ := exchanging(t, b)
			held := &heldConn{TCPConn: conn.Conn.(*net.TCPConn), noticed: make(chan struct{}), returns: returns}
			held.length = uploading(t, a, size, more)
			conn.Conn, conn.head.Conn = held, held
			p.put(conn)
			if r := p.Send(a); r.Result != balance.OK || string(r.Answer.Body) != "done" {
				t.Errorf("result %v with %q, want the server's answer", r.Result, r.Answer.Body)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("the server got %d whole requests, want 1", n)
			}
		})
	}
}

// outboundPost is a request with a body, as servers get it.
func outboundPost(body []byte) *inflight.Outbound {
	return &inflight.Outbound{Method: "POST", URL: &url.URL{Path: "/api"}, Host: "b", Header: http.Header{}, Body: body}
}

// keyedWindow makes an attempt one of a class whose key servers know for so long.
func keyedWindow(p *Pool, a *Attempt, window time.Duration, body []byte) {
	a.Call.Request.Class = 1
	p.retryWindows[1] = window
	a.Call.Outbound = outboundPost(body)
}

// further gives the next attempt of a request.
func further(a *Attempt) *Attempt {
	return &Attempt{Call: a.Call, Number: a.Number + 1, Server: a.Server, Deadline: a.Deadline, Context: a.Context, Cancel: a.Cancel}
}

// A key may be repeated for its window only. That ends while the further attempt waits for its first byte: nothing is
// sent, whatever was decided before.
func TestWindowOfAKeyEndsBeforeTheFirstByte(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true))
	p, a, conn, _ := exchanging(t, b)
	p.put(conn)
	const window = 50 * time.Millisecond
	keyedWindow(p, a, window, []byte("plate 12-34"))
	if r := p.Send(a); r.Result != balance.Failed {
		t.Fatalf("the first attempt: result %v", r.Result)
	}
	next := further(a)
	next.Call.Writing.Lock() // it has its connection, and waits here
	done := make(chan inflight.Reply, 1)
	go func() { done <- p.Send(next) }()
	<-time.After(time.Until(a.Call.Outbound.MayRunSince.Add(window)))
	next.Call.Writing.Unlock()
	if r := sidecartest.Receive(t, "the further attempt", done); r.Result != balance.NotSent {
		t.Errorf("result %v, want that nothing was sent", r.Result)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d attempts at the server, want the first alone", n)
	}
}

// What proves that nothing ran begins no window.
func TestWindowOfAKeyBeginsWithWhatMayHaveRun(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.Respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true))
	p, a, conn, _ := exchanging(t, b)
	p.put(conn)
	keyedWindow(p, a, time.Nanosecond, []byte("plate 12-34"))
	for range 2 {
		if r := p.Send(a); r.Result != balance.Rejected {
			t.Errorf("result %v, want that the server had no place", r.Result)
		}
		a = further(a)
	}
	if n := b.Requests.Load(); n != 2 {
		t.Errorf("%d attempts at the server, want 2", n)
	}
}

// A server that does not read holds up the write: the last byte must not go out once the window is over.
func TestWindowOfAKeyEndsUnderTheWrite(t *testing.T) {
	reads := make(chan struct{})
	whole := make(chan bool, 1)
	at := sidecartest.RawBackend(t, "a", func(c net.Conn, in *bufio.Reader) {
		<-reads
		req, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		whole <- err == nil
	})
	b := sidecartest.NewBackend(t, "b", sidecartest.OK)
	b.Target = at
	p, a, conn, _ := exchanging(t, b)
	p.put(conn)
	const window = 50 * time.Millisecond
	keyedWindow(p, a, window, make([]byte, inflight.MaxBody))
	a.Call.Outbound.MayRunSince = time.Now() // by an attempt before
	done := make(chan inflight.Reply, 1)
	go func() { done <- p.Send(a) }()
	select {
	case r := <-done:
		if r.Result != balance.NotSent {
			t.Errorf("result %v, want that it was given up", r.Result)
		}
	case <-time.After(sidecartest.Patience / 2):
		t.Error("the write went on after the window")
	}
	close(reads)
	if sidecartest.Receive(t, "the server", whole) {
		t.Error("the server got the whole request after the window")
	}
}

// wholeUpload makes an attempt one of a body whose rest has come, all of it, and waits to go out.
func wholeUpload(t *testing.T, a *Attempt, wait time.Duration) {
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
			b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				told <- r.Header.Get("X-Timeout-Ms")
				return sidecartest.OK(c, r, body)
			})
			p, a, conn, _ := exchanging(t, b)
			p.put(conn)
			offered := make(chan any, 4)
			p.post = func(ev any) { offered <- ev }
			wholeUpload(t, a, wait)
			a.Call.Writing.Lock() // the attempt waits here
			done := make(chan inflight.Reply, 1)
			go func() { done <- p.Send(a) }()
			sidecartest.Until(t, "the connection to be taken", func() bool { return idleOf(p, a.Server) == 0 })
			u := a.Call.Outbound.Upload
			u.Mu.Lock()
			u.Received = u.Received.Add(-test.passed)
			u.Mu.Unlock()
			a.Call.Writing.Unlock()
			r := sidecartest.Receive(t, "the end", done)
			if n := len(offered); n != map[bool]int{true: 2, false: 1}[test.sent] {
				t.Errorf("the loop is told %d times that the body is whole, want before the attempt and behind its last byte", n)
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
	at := sidecartest.RawBackend(t, "a", func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			close(heads)
		}
		io.Copy(io.Discard, in)
	})
	b := sidecartest.NewBackend(t, "b", sidecartest.OK)
	b.Target = at
	p, a, conn, _ := exchanging(t, b)
	p.put(conn)
	a.Call.Timeout = sidecartest.Patience
	a.Call.Outbound = outboundPost(nil)
	a.Call.Outbound.Upload = inflight.NewUpload(inflight.MaxBody, sidecartest.Pattern(inflight.MinHeldBody)) // no more of it comes
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
	if t.Equal(netcall.PastDeadline) {
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
			b := sidecartest.NewBackend(t, "a", sidecartest.Respond(test.answer, true))
			p, a, conn, _ := exchanging(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			gone := &givenUpConn{TCPConn: conn.Conn.(*net.TCPConn), giveUp: a.Cancel, stopped: make(chan struct{})}
			conn.Conn, conn.head.Conn = gone, gone
			p.put(conn)
			if r := p.Send(a); r.Result != test.want {
				t.Errorf("result %v, want %v", r.Result, test.want)
			}
			if n, idle := openOf(p), idleOf(p, a.Server); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are kept, want none", n, idle)
			}
		})
	}
}
