package clientserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// gate holds up whoever comes to it until the test lets it go on. One that is not held lets all pass.
type gate struct {
	reached chan struct{}
	passed  chan struct{}
}

func newGate() *gate { return &gate{reached: make(chan struct{}), passed: make(chan struct{})} }

func (g *gate) come() {
	select {
	case g.reached <- struct{}{}:
		<-g.passed
	case <-g.passed:
	}
}

// gatedConn comes to a gate whenever it has taken bytes from the system, before anybody is told of them.
type gatedConn struct {
	*net.TCPConn
	taken *gate
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.taken.come()
	}
	return n, err
}

func (c gatedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return gatedRaw{raw, c.taken}, err
}

type gatedRaw struct {
	syscall.RawConn
	taken *gate
}

func (r gatedRaw) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		done := f(fd)
		if done {
			r.taken.come()
		}
		return done
	})
}

// accepted is a client's connection and its clientConn in a room of so many places.
func accepted(t *testing.T, places int) (*Limiter, net.Conn, *ClientConn) {
	t.Helper()
	l, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	r := NewLimiter(l, places)
	t.Cleanup(func() { r.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(sidecartest.Patience))
	g, err := r.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.Close() })
	g.SetDeadline(time.Now().Add(sidecartest.Patience))
	return r, c, g.(*ClientConn)
}

func (r *Limiter) isTold(g *ClientConn) bool {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	return !g.endSentAt.IsZero()
}

// A request that has been taken from the system counts, also where nobody has been told of it when idle connections
// are ended.
func TestShutdownAsARequestIsTaken(t *testing.T) {
	r, c, g := accepted(t, 2)
	g.RequestAnswered()
	taken := newGate()
	g.Conn = gatedConn{g.Conn.(*net.TCPConn), taken}
	read := make(chan int, 1)
	go func() {
		n, _ := g.Read(make([]byte, 8))
		read <- n
	}()
	if _, err := c.Write(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	sidecartest.Receive(t, "the bytes to be taken", taken.reached)
	r.CloseIdle(time.Now())
	if r.isTold(g) {
		t.Error("an end is told after a request was taken")
	}
	close(taken.passed)
	if n := sidecartest.Receive(t, "the bytes", read); n != 8 {
		t.Errorf("%d bytes of a request are passed on", n)
	}
}

// tellingConn runs a function within the half close.
type tellingConn struct {
	*net.TCPConn
	telling func()
}

func (c tellingConn) CloseWrite() error {
	c.telling()
	return c.TCPConn.CloseWrite()
}

// From the decision that a connection ends to the client's being told so nothing is taken from it.
func TestShutdownTakesNothingWhileItTells(t *testing.T) {
	r, _, g := accepted(t, 2)
	g.RequestAnswered()
	g.unprocessed = false // as when net/http reads again
	told := false
	g.Conn = tellingConn{g.Conn.(*net.TCPConn), func() {
		told = true
		if g.readLock.TryLock() {
			g.readLock.Unlock()
			t.Error("a request may be taken and dropped before its client is told")
		}
	}}
	r.CloseIdle(time.Now())
	if !told {
		t.Error("nobody was told")
	}
}

// serveRoom serves a room through net/http, as the sidecar does.
func serveRoom(t *testing.T, r *Limiter, hold func(net.Conn, http.ConnState), answer http.HandlerFunc) {
	t.Helper()
	srv := FollowConnections(&http.Server{
		Handler: answer, ConnContext: withConn, ReadHeaderTimeout: sidecartest.Patience,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*framing.HeadConn).NextRequest()
			}
			hold(c, state)
		},
	})
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(HeadListener{r}) }()
	t.Cleanup(func() {
		srv.Close()
		<-ended
	})
}

func openRoom(t *testing.T) (*Limiter, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(sidecartest.Patience))
	return NewLimiter(l, 1), c
}

const plain = "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"

// A request that came together with the one before is at work or waits in net/http's buffer between the two: its
// connection is not idle, and makes no room either.
func TestShutdownBetweenPipelinedRequests(t *testing.T) {
	whole := fmt.Sprintf(plain, "b")
	for _, second := range []string{whole, whole[:len(whole)/2]} {
		r, c := openRoom(t)
		between := newGate()
		first := true
		serveRoom(t, r, func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle && first {
				first = false
				between.come()
			}
		}, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.URL.Path) })
		if _, err := io.WriteString(c, fmt.Sprintf(plain, "a")+second); err != nil {
			t.Fatal(err)
		}
		sidecartest.Receive(t, "the first request's end", between.reached)
		r.CloseIdle(time.Now())
		r.Mu.Lock()
		for g := range r.Conns {
			g.since = time.Now().Add(-time.Hour)
		}
		r.Mu.Unlock()
		if victim, _ := r.place(&ClientConn{}); victim != nil {
			t.Error("it makes room")
		}
		r.Mu.Lock()
		for g := range r.Conns {
			g.since = time.Now()
		}
		r.Mu.Unlock()
		close(between.passed)
		in := bufio.NewReader(c)
		for _, want := range []string{"/a", "/b"} {
			if want == "/b" && second != whole {
				// Half of it waits for the rest, and is no idle connection either.
				sidecartest.Until(t, "half a request", func() bool {
					r.Mu.Lock()
					defer r.Mu.Unlock()
					for g := range r.Conns {
						if _, begun := g.requestStarted(); begun {
							return true
						}
					}
					return false
				})
				r.CloseIdle(time.Now())
				if _, err := io.WriteString(c, whole[len(second):]); err != nil {
					t.Fatal(err)
				}
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("%s: %v", want, err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != want {
				t.Errorf("%q, %v, want %s", body, err, want)
			}
		}
	}
}

// readsListener tells of each wait for bytes that begins on its connections.
type readsListener struct {
	net.Listener
	reads chan struct{}
}

func (l readsListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return readsConn{c.(*net.TCPConn), l.reads}, nil
}

type readsConn struct {
	*net.TCPConn
	reads chan struct{}
}

func (c readsConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return readsRaw{raw, c.reads}, err
}

type readsRaw struct {
	syscall.RawConn
	reads chan struct{}
}

func (r readsRaw) Read(f func(fd uintptr) bool) error {
	r.reads <- struct{}{}
	return r.RawConn.Read(f)
}

// Who has sent a whole request that net/http has read makes no room, though its handler has not run for long and
// net/http waits for what comes behind it.
func TestNoRoomIsMadeByAReadRequest(t *testing.T) {
	r, c := openRoom(t)
	reads := make(chan struct{}, 10)
	r.Listener = readsListener{r.Listener, reads}
	handled := newGate()
	serveRoom(t, r, func(net.Conn, http.ConnState) {}, func(w http.ResponseWriter, r *http.Request) {
		handled.come() // before it says that it is at work
		io.WriteString(w, r.URL.Path)
	})
	sidecartest.Receive(t, "the wait for a head", reads)
	if _, err := fmt.Fprintf(c, plain, "a"); err != nil {
		t.Fatal(err)
	}
	sidecartest.Receive(t, "the handler", handled.reached)
	sidecartest.Receive(t, "the wait for what comes behind", reads)
	r.Mu.Lock()
	for g := range r.Conns {
		g.since = time.Now().Add(-time.Hour)
		g.LastRead.Store(int64(time.Since(epoch) - time.Minute))
	}
	r.Mu.Unlock()
	if victim, _ := r.place(&ClientConn{}); victim != nil {
		t.Error("it makes room")
	}
	close(handled.passed)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// unreadBytes tells whether bytes of a client wait in the system.
func (r *Limiter) unreadBytes() bool {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	for g := range r.Conns {
		if _, unread := netcall.Peek(g.Conn); unread {
			return true
		}
	}
	return false
}

// The last answer on a connection reaches a client that has sent more than was read, and so does the connection's end.
func TestShutdownOverUnreadBytes(t *testing.T) {
	for name, text := range map[string]string{
		"asked to close": "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"told to close":  "GET /last HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r, c := openRoom(t)
			handled := newGate()
			serveRoom(t, r, func(net.Conn, http.ConnState) {}, func(w http.ResponseWriter, r *http.Request) {
				handled.come()
				if r.URL.Path == "/last" {
					w.Header().Set("Connection", "close")
				}
				io.WriteString(w, r.URL.Path)
			})
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			sidecartest.Receive(t, "the handler", handled.reached)
			if _, err := c.Write(make([]byte, 100_000)); err != nil {
				t.Fatal(err)
			}
			sidecartest.Until(t, "unread bytes", r.unreadBytes)
			close(handled.passed)
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err != nil || !resp.Close {
				t.Errorf("close: %v, %v", resp.Close, err)
			}
			if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
				t.Errorf("not just the connection's end but %q, %v", rest, err)
			}
			// It still makes room, and does not stay for ever.
			sidecartest.Until(t, "its place", func() bool {
				r.Mu.Lock()
				defer r.Mu.Unlock()
				return len(r.Conns) == 0
			})
		})
	}
}
