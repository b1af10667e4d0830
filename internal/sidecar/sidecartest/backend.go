package sidecartest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marblelane/internal/sidecar/endpointlist"
)

// WaitTimeout bounds every wait of the tests. A passing test does not come close to it.
const WaitTimeout = 10 * time.Second

// Loopback is the address on which the tests of a package listen, with a port that the system chooses. Each package has
// an address of its own, because tests of packages run concurrently and may still call ports that they have closed. On
// a shared address the system could assign such a port to a listener of another package.
var Loopback = packageLoopback(filepath.Base(os.Args[0]))

// packageLoopback returns an address in 127.64.0.0/16, with port 0, for the test program of a package.
func packageLoopback(program string) string {
	h := fnv.New32a()
	io.WriteString(h, program)
	sum := h.Sum32()
	return fmt.Sprintf("127.64.%d.%d:0", sum>>8&0xff, 1+sum%254)
}

// Until polls until done returns true, and fails the test after WaitTimeout.
func Until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			buf := make([]byte, 1<<16)
			t.Fatalf("timed out waiting for %s\n%s", what, buf[:runtime.Stack(buf, true)])
		}
	}
}

// Receive receives a value, and fails the test after WaitTimeout.
func Receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// Backend is a server that counts requests and connections. Its ServeFunc defines how it responds.
type Backend struct {
	net.Listener
	Target   endpointlist.Target
	Requests atomic.Int64 // requests read completely
	Conns    atomic.Int64 // connections accepted

	Mu   sync.Mutex // guards Open
	Open map[net.Conn]bool
}

// ServeFunc responds to a request that was read completely. If it returns false the connection is closed.
type ServeFunc func(c net.Conn, req *http.Request, body string) bool

// NewBackend starts a server that responds with serve.
func NewBackend(t *testing.T, uid string, serve ServeFunc) *Backend {
	t.Helper()
	ln, err := net.Listen("tcp", Loopback)
	if err != nil {
		t.Fatal(err)
	}
	b := &Backend{Listener: ln, Open: map[net.Conn]bool{}, Target: Ready(uid, ln.Addr().String())}
	var handlers sync.WaitGroup
	handlers.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.Conns.Add(1)
			b.Mu.Lock()
			b.Open[c] = true
			b.Mu.Unlock()
			handlers.Go(func() { b.handle(c, serve) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		b.CloseConns()
		handlers.Wait()
	})
	return b
}

func (b *Backend) handle(c net.Conn, serve ServeFunc) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		b.Requests.Add(1)
		if !serve(c, req, string(body)) {
			return
		}
	}
}

// CloseConns closes all connections, as if the server's process had ended.
func (b *Backend) CloseConns() {
	b.Mu.Lock()
	defer b.Mu.Unlock()
	for c := range b.Open {
		c.Close()
	}
	clear(b.Open)
}

// Ready returns the list entry of a server that is ready.
func Ready(uid, addr string) endpointlist.Target {
	return endpointlist.Target{UID: uid, Endpoint: addr, Zone: "z", Model: "k", PodGroup: 1, State: "Ready", Capacity: 1}
}

// OK is a ServeFunc that responds with status 200 and a load report.
func OK(c net.Conn, _ *http.Request, _ string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: busy=0.5,rate=7\r\n\r\ndone")
	return err == nil
}

// Respond returns a ServeFunc that responds with a fixed text, and then keeps or closes the connection.
func Respond(text string, keep bool) ServeFunc {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, text)
		return err == nil && keep
	}
}

// FakeDiscovery is a list service whose calls are answered by the test.
type FakeDiscovery struct {
	*httptest.Server
	Calls chan DiscoveryCall
}

// DiscoveryCall is a call of the list service that waits for its response.
type DiscoveryCall struct {
	Query     string
	Lines     chan string     // lines of the response; closing the channel ends the response
	Fail      chan int        // a status to respond with instead of lines
	Cancelled <-chan struct{} // closed when the caller has disconnected
}

// HasEnded reports whether the caller has disconnected.
func (c DiscoveryCall) HasEnded() bool {
	select {
	case <-c.Cancelled:
		return true
	default:
		return false
	}
}

// NewFakeDiscovery starts a fake list service.
func NewFakeDiscovery(t *testing.T) *FakeDiscovery {
	r := &FakeDiscovery{Calls: make(chan DiscoveryCall, 16)}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		call := DiscoveryCall{
			Query: req.URL.RawQuery, Lines: make(chan string), Fail: make(chan int), Cancelled: req.Context().Done(),
		}
		r.Calls <- call
		for {
			select {
			case <-call.Cancelled:
				return
			case status := <-call.Fail:
				w.WriteHeader(status)
				return
			case line, more := <-call.Lines:
				if !more {
					return
				}
				_, _ = io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			}
		}
	}))
	t.Cleanup(r.Close)
	return r
}

// Addr returns the address of the list service.
func (r *FakeDiscovery) Addr() string { return r.Listener.Addr().String() }

// SendList sends a list as a line of the response.
func (c DiscoveryCall) SendList(t *testing.T, l endpointlist.List) {
	t.Helper()
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	c.SendLine(t, string(data))
}

// SendLine sends one line of the response.
func (c DiscoveryCall) SendLine(t *testing.T, text string) {
	t.Helper()
	select {
	case c.Lines <- text:
	case <-time.After(WaitTimeout):
		t.Fatal("timed out sending a line of the list service")
	}
}
