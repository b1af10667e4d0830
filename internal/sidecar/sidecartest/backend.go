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

// WaitTimeout bounds every wait of the tests; none is expected to last.
const WaitTimeout = 10 * time.Second

// Loopback is where the tests of a package listen, on a port of the system's choice. Each package has an address of its
// own: tests of other packages run at the same time and go on calling ports that they have closed, and the system may give
// such a port to another listener of the same address.
var Loopback = packageLoopback(filepath.Base(os.Args[0]))

// packageLoopback gives an address of 127.64.0.0/16 for the test program of a package.
func packageLoopback(program string) string {
	h := fnv.New32a()
	io.WriteString(h, program)
	sum := h.Sum32()
	return fmt.Sprintf("127.64.%d.%d:0", sum>>8&0xff, 1+sum%254)
}

// Until waits for a state that has no event, by polling.
func Until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			buf := make([]byte, 1<<16)
			t.Fatalf("waited in vain for %s\n%s", what, buf[:runtime.Stack(buf, true)])
		}
	}
}

// Receive receives a value, or fails the test after Patience.
func Receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Backend is a server that counts what reaches it and lets each test say what it does on a connection.
type Backend struct {
	net.Listener
	Target   endpointlist.Target
	Requests atomic.Int64 // read completely
	Conns    atomic.Int64 // accepted

	Mu   sync.Mutex // guards Open
	Open map[net.Conn]bool
}

// ServeFunc answers one request that was read completely; false ends the connection.
type ServeFunc func(c net.Conn, req *http.Request, body string) bool

// NewBackend starts a server that answers with serve.
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

// CloseConns closes all connections, as the end of a process does.
func (b *Backend) CloseConns() {
	b.Mu.Lock()
	defer b.Mu.Unlock()
	for c := range b.Open {
		c.Close()
	}
	clear(b.Open)
}

// Ready is the entry of a server that is ready.
func Ready(uid, addr string) endpointlist.Target {
	return endpointlist.Target{UID: uid, Endpoint: addr, Zone: "z", Model: "k", PodGroup: 1, State: "Ready", Capacity: 1}
}

// OK answers with status 200 and a load report.
func OK(c net.Conn, _ *http.Request, _ string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: busy=0.5,rate=7\r\n\r\ndone")
	return err == nil
}

// Respond answers with fixed text and keeps the connection or ends it.
func Respond(text string, keep bool) ServeFunc {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, text)
		return err == nil && keep
	}
}

// FakeDiscovery is discovery: a test answers each call by hand.
type FakeDiscovery struct {
	*httptest.Server
	Calls chan DiscoveryCall
}

// DiscoveryCall is a call to discovery that waits for its answer.
type DiscoveryCall struct {
	Query     string
	Lines     chan string // closed: the answer ends
	Fail      chan int    // a status instead of lines
	Cancelled <-chan struct{}
}

// NewFakeDiscovery starts discovery.
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

// Addr is the address of discovery.
func (r *FakeDiscovery) Addr() string { return r.Listener.Addr().String() }

// SendList answers with a list.
func (c DiscoveryCall) SendList(t *testing.T, l endpointlist.List) {
	t.Helper()
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	c.SendLine(t, string(data))
}

// SendLine answers with one line.
func (c DiscoveryCall) SendLine(t *testing.T, text string) {
	t.Helper()
	select {
	case c.Lines <- text:
	case <-time.After(WaitTimeout):
		t.Fatal("discovery's line is not taken")
	}
}
