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

// gate blocks goroutines until the test closes passed. After that it lets every goroutine pass.
type gate struct {
	reached chan struct{} // receives a token when a goroutine has reached the gate
	passed  chan struct{} // closed by the test to open the gate
}

func newGate() *gate { return &gate{reached: make(chan struct{}), passed: make(chan struct{})} }

// pass signals reached and waits until the test closes passed.
func (g *gate) pass() {
	select {
	case g.reached <- struct{}{}:
		<-g.passed
	case <-g.passed:
	}
}

// gatedConn waits at a gate after each read from the system, before it returns the bytes.
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

// acceptOne returns a limiter, a client that has connected to it, and the accepted connection.
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

// acceptPair connects a client to a limiter and returns both ends of the connection.
func acceptPair(t *testing.T, listener net.Listener, limiter *Limiter) (net.Conn, *ClientConn) {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	accepted, err := limiter.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	accepted.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	return client, accepted.(*ClientConn)
}

// halfClosed reports whether the limiter has half-closed a connection.
func (l *Limiter) halfClosed(conn *ClientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !conn.halfClosedAt.IsZero()
}

// CloseIdle does not close a connection while Read has bytes from the system that it has not returned yet: they become
// a request.
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
	if limiter.halfClosed(conn) {
		t.Error("the connection was half-closed after bytes of a request were read")
	}
	close(bytesRead.passed)
	if n := sidecartest.Receive(t, "the bytes", read); n != 8 {
		t.Errorf("Read returned %d bytes of the request, want 8", n)
	}
}

// closeWriteConn calls a function before each half-close.
type closeWriteConn struct {
	*net.TCPConn
	beforeCloseWrite func()
}

func (c closeWriteConn) CloseWrite() error {
	c.beforeCloseWrite()
	return c.TCPConn.CloseWrite()
}

// CloseIdle reads nothing from a connection between the decision to close it and the half-close.
func TestCloseIdle_notifying(t *testing.T) {
	limiter, _, conn := acceptOne(t, 2)
	conn.ResponseWritten()
	conn.inputBuffered = false // as after net/http has parsed all bytes and reads again
	notified := false
	conn.Conn = closeWriteConn{conn.Conn.(*net.TCPConn), func() {
		notified = true
		if conn.readLock.TryLock() {
			conn.readLock.Unlock()
			t.Error("readLock is not held: a request may be read and discarded before its client is notified")
		}
	}}
	limiter.CloseIdle(time.Now())
	if !notified {
		t.Error("CloseIdle did not half-close the connection")
	}
}

// serveLimiter serves the connections of a limiter with net/http, as the sidecar does.
func serveLimiter(t *testing.T, limiter *Limiter, stateChanged func(net.Conn, http.ConnState), handler http.HandlerFunc) {
	t.Helper()
	server := TrackConnections(&http.Server{
		Handler: handler, ConnContext: withConn, ReadHeaderTimeout: sidecartest.WaitTimeout,
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

// newLimiterOfOne returns a limiter with a limit of one connection, and a client that has connected to it.
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
	client.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	return NewLimiter(listener, 1), client
}

// plainRequest is a format string for a request; its argument is the path without the slash.
const plainRequest = "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"

// A pipelined request that was read together with the previous one waits in net/http's buffer between the two requests.
// Its connection is neither closed as idle nor evicted, also if only half of the request has arrived.
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
		limiter.Each(func(conn *ClientConn) { conn.readySince = time.Now().Add(-time.Hour) })
		if _, victim := limiter.claimSlot(&ClientConn{}); victim != nil {
			t.Error("the connection of a pipelined request was selected for eviction")
		}
		limiter.Each(func(conn *ClientConn) { conn.readySince = time.Now() })
		close(between.passed)
		in := bufio.NewReader(client)
		for _, want := range []string{"/a", "/b"} {
			if want == "/b" && second != complete {
				// The handler has not run, as half of the request is missing. The connection is not idle either.
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

// requestStarted reports whether part of a request has arrived on some connection.
func (l *Limiter) requestStarted() (started bool) {
	l.Each(func(conn *ClientConn) {
		_, connStarted := conn.requestStarted()
		started = started || connStarted
	})
	return started
}

// signalListener sends a token to reads before each read on one of its connections.
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

// A connection whose complete request net/http has read is not evicted, even if the handler has not run for a long time
// and net/http already waits for bytes that follow the request.
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
	sidecartest.Receive(t, "the wait for bytes after the request", reads)
	limiter.Each(func(conn *ClientConn) {
		conn.readySince = time.Now().Add(-time.Hour)
		conn.lastRead.Store(int64(time.Since(epoch) - time.Minute))
	})
	if _, victim := limiter.claimSlot(&ClientConn{}); victim != nil {
		t.Error("the connection of an active request was selected for eviction")
	}
	close(handled.passed)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// hasUnreadBytes reports whether some connection has bytes in its socket buffer that were not read yet.
func (l *Limiter) hasUnreadBytes() (found bool) {
	l.Each(func(conn *ClientConn) {
		_, unread := netcall.Peek(conn.Conn)
		found = found || unread
	})
	return found
}

// A client that has sent more bytes than the server has read still receives the last response on its connection, and an
// orderly end instead of a reset.
func TestClose_unreadBytes(t *testing.T) {
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
			sidecartest.Until(t, "unread bytes", limiter.hasUnreadBytes)
			close(handled.passed)
			in := bufio.NewReader(client)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err != nil || !resp.Close {
				t.Errorf("resp.Close is %v, error %v", resp.Close, err)
			}
			if extra, err := io.ReadAll(in); err != nil || len(extra) > 0 {
				t.Errorf("after the response: read %q, error %v, want the end of the connection", extra, err)
			}
			sidecartest.Until(t, "its slot to be freed", func() bool {
				limiter.mu.Lock()
				defer limiter.mu.Unlock()
				return len(limiter.conns) == 0
			})
		})
	}
}
