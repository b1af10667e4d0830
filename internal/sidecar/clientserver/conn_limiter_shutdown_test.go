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

// gate holds a goroutine up until the test lets it go on. After that it lets all pass.
type gate struct {
	reached chan struct{}
	passed  chan struct{} // closed by the test
}

func newGate() *gate { return &gate{reached: make(chan struct{}), passed: make(chan struct{})} }

// pass tells the test, and waits until it closes passed.
func (g *gate) pass() {
	select {
	case g.reached <- struct{}{}:
		<-g.passed
	case <-g.passed:
	}
}

// gatedConn passes a gate whenever it has read bytes from the system, before it returns them.
type gatedConn struct {
	*net.TCPConn
	read *gate
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.read.pass()
	}
	return n, err
}

func (c gatedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return gatedRawConn{raw, c.read}, err
}

type gatedRawConn struct {
	syscall.RawConn
	read *gate
}

func (r gatedRawConn) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		done := f(fd)
		if done {
			r.read.pass()
		}
		return done
	})
}

// acceptOne is a limiter, a client that has connected to it, and its connection here.
func acceptOne(t *testing.T, limit int) (*Limiter, net.Conn, *ClientConn) {
	t.Helper()
	listener, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	limiter := NewLimiter(listener, limit)
	t.Cleanup(func() { limiter.Close() })
	client, accepted := acceptPair(t, listener, limiter)
	return limiter, client, accepted
}

// acceptPair connects a client to a limiter, and gives both ends.
func acceptPair(t *testing.T, listener net.Listener, limiter *Limiter) (net.Conn, *ClientConn) {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(sidecartest.Patience))
	accepted, err := limiter.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	accepted.SetDeadline(time.Now().Add(sidecartest.Patience))
	return client, accepted.(*ClientConn)
}

// endSent reports whether the client of a connection was notified of its end.
func (l *Limiter) endSent(conn *ClientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !conn.endSentAt.IsZero()
}

// Bytes that were read from the system become a request, though they are not returned yet when idle connections are
// closed.
func TestCloseIdle_reading(t *testing.T) {
	limiter, client, conn := acceptOne(t, 2)
	conn.ResponseWritten()
	bytesRead := newGate()
	conn.Conn = gatedConn{conn.Conn.(*net.TCPConn), bytesRead}
	read := make(chan int, 1)
	go func() {
		n, _ := conn.Read(make([]byte, 8))
		read <- n
	}()
	if _, err := client.Write(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	sidecartest.Receive(t, "the bytes to be read", bytesRead.reached)
	limiter.CloseIdle(time.Now())
	if limiter.endSent(conn) {
		t.Error("the client is notified of an end after its request was read")
	}
	close(bytesRead.passed)
	if n := sidecartest.Receive(t, "the bytes", read); n != 8 {
		t.Errorf("%d bytes of a request are returned", n)
	}
}

// closeWriteConn calls a function within the half-close.
type closeWriteConn struct {
	*net.TCPConn
	within func()
}

func (c closeWriteConn) CloseWrite() error {
	c.within()
	return c.TCPConn.CloseWrite()
}

// From the decision that a connection ends until its client is notified nothing is read from it.
func TestCloseIdle_notifying(t *testing.T) {
	limiter, _, conn := acceptOne(t, 2)
	conn.ResponseWritten()
	conn.unprocessed = false // as when net/http reads again
	notified := false
	conn.Conn = closeWriteConn{conn.Conn.(*net.TCPConn), func() {
		notified = true
		if conn.readLock.TryLock() {
			conn.readLock.Unlock()
			t.Error("a request may be read and discarded before its client is notified")
		}
	}}
	limiter.CloseIdle(time.Now())
	if !notified {
		t.Error("the client was not notified")
	}
}

// serveLimiter serves the connections of a limiter through net/http, as the sidecar does.
func serveLimiter(t *testing.T, limiter *Limiter, stateChanged func(net.Conn, http.ConnState), handler http.HandlerFunc) {
	t.Helper()
	server := TrackConnections(&http.Server{
		Handler: handler, ConnContext: withConn, ReadHeaderTimeout: sidecartest.Patience,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				conn.(*framing.HeadConn).PrepareNextRequest()
			}
			stateChanged(conn, state)
		},
	})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(New(Options{}).HeadListener(limiter)) }()
	t.Cleanup(func() {
		server.Close()
		<-ended
	})
}

// newLimiterOfOne is a limiter for one connection, and a client that has connected to it.
func newLimiterOfOne(t *testing.T) (*Limiter, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(sidecartest.Patience))
	return NewLimiter(listener, 1), client
}

// plainRequest has the place of the path.
const plainRequest = "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"

// A request that came together with the one before is at work, or waits in net/http's buffer between the two: its
// connection is not idle, and is not evicted.
func TestCloseIdle_betweenPipelinedRequests(t *testing.T) {
	complete := fmt.Sprintf(plainRequest, "b")
	for _, second := range []string{complete, complete[:len(complete)/2]} {
		limiter, client := newLimiterOfOne(t)
		between := newGate()
		first := true
		serveLimiter(t, limiter, func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle && first {
				first = false
				between.pass()
			}
		}, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.URL.Path) })
		if _, err := io.WriteString(client, fmt.Sprintf(plainRequest, "a")+second); err != nil {
			t.Fatal(err)
		}
		sidecartest.Receive(t, "the first request's end", between.reached)
		limiter.CloseIdle(time.Now())
		limiter.Each(func(conn *ClientConn) { conn.since = time.Now().Add(-time.Hour) })
		if _, victim := limiter.claimSlot(&ClientConn{}); victim != nil {
			t.Error("it is evicted")
		}
		limiter.Each(func(conn *ClientConn) { conn.since = time.Now() })
		close(between.passed)
		in := bufio.NewReader(client)
		for _, want := range []string{"/a", "/b"} {
			if want == "/b" && second != complete {
				// Half of it waits for the other half, and its connection is not idle either.
				sidecartest.Until(t, "half a request", limiter.requestStarted)
				limiter.CloseIdle(time.Now())
				if _, err := io.WriteString(client, complete[len(second):]); err != nil {
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

// requestStarted reports whether some connection has part of a request.
func (l *Limiter) requestStarted() (started bool) {
	l.Each(func(conn *ClientConn) {
		_, has := conn.requestStarted()
		started = started || has
	})
	return started
}

// signalListener signals each wait for bytes that starts on its connections.
type signalListener struct {
	net.Listener
	reads chan struct{}
}

func (l signalListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return signalConn{conn.(*net.TCPConn), l.reads}, nil
}

type signalConn struct {
	*net.TCPConn
	reads chan struct{}
}

func (c signalConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return signalRawConn{raw, c.reads}, err
}

type signalRawConn struct {
	syscall.RawConn
	reads chan struct{}
}

func (r signalRawConn) Read(f func(fd uintptr) bool) error {
	r.reads <- struct{}{}
	return r.RawConn.Read(f)
}

// A connection with a complete request that net/http has read is not evicted, though its handler has not run for long and
// net/http waits for what comes behind the request.
func TestLimiter_readRequestStays(t *testing.T) {
	limiter, client := newLimiterOfOne(t)
	reads := make(chan struct{}, 10)
	limiter.Listener = signalListener{limiter.Listener, reads}
	handled := newGate()
	serveLimiter(t, limiter, func(net.Conn, http.ConnState) {}, func(w http.ResponseWriter, r *http.Request) {
		handled.pass() // before the server's handler would call RequestRead
		io.WriteString(w, r.URL.Path)
	})
	sidecartest.Receive(t, "the wait for a head", reads)
	if _, err := fmt.Fprintf(client, plainRequest, "a"); err != nil {
		t.Fatal(err)
	}
	sidecartest.Receive(t, "the handler", handled.reached)
	sidecartest.Receive(t, "the wait for what comes behind", reads)
	limiter.Each(func(conn *ClientConn) {
		conn.since = time.Now().Add(-time.Hour)
		conn.lastRead.Store(int64(time.Since(epoch) - time.Minute))
	})
	if _, victim := limiter.claimSlot(&ClientConn{}); victim != nil {
		t.Error("it is evicted")
	}
	close(handled.passed)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// unreadBytes reports whether bytes of a client wait in the system.
func (l *Limiter) unreadBytes() (some bool) {
	l.Each(func(conn *ClientConn) {
		_, unread := netcall.Peek(conn.Conn)
		some = some || unread
	})
	return some
}

// The last answer on a connection reaches a client that has sent more than was read, and so does the connection's end.
func TestClose_overUnreadBytes(t *testing.T) {
	for name, request := range map[string]string{
		"client asks to close":  "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"handler asks to close": "GET /last HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			limiter, client := newLimiterOfOne(t)
			handled := newGate()
			serveLimiter(t, limiter, func(net.Conn, http.ConnState) {}, func(w http.ResponseWriter, r *http.Request) {
				handled.pass()
				if r.URL.Path == "/last" {
					w.Header().Set("Connection", "close")
				}
				io.WriteString(w, r.URL.Path)
			})
			if _, err := io.WriteString(client, request); err != nil {
				t.Fatal(err)
			}
			sidecartest.Receive(t, "the handler", handled.reached)
			if _, err := client.Write(make([]byte, 100_000)); err != nil {
				t.Fatal(err)
			}
			sidecartest.Until(t, "unread bytes", limiter.unreadBytes)
			close(handled.passed)
			in := bufio.NewReader(client)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err != nil || !resp.Close {
				t.Errorf("close: %v, %v", resp.Close, err)
			}
			if behind, err := io.ReadAll(in); err != nil || len(behind) > 0 {
				t.Errorf("not just the connection's end but %q, %v", behind, err)
			}
			sidecartest.Until(t, "its slot to be freed", func() bool {
				limiter.mu.Lock()
				defer limiter.mu.Unlock()
				return len(limiter.conns) == 0
			})
		})
	}
}
