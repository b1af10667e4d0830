package sidecartest

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marblelane/internal/sidecar/endpointlist"
)

// Patience bounds every wait of the tests; none is expected to last.
const Patience = 10 * time.Second

// Loopback is where these tests listen: an address of their own, as tests of other packages, which run at the same
// time, go on calling ports of 127.0.0.1 that they have given up, and the system gives those to whoever asks next.
const Loopback = "127.64.0.1:0"

// Until polls what has no event of its own.
func Until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			buf := make([]byte, 1<<16)
			t.Fatalf("waited in vain for %s\n%s", what, buf[:runtime.Stack(buf, true)])
		}
	}
}

func Receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Backend is a server that counts what reaches it and lets each test say what it does on a connection.
type Backend struct {
	net.Listener
	Target   endpointlist.Target
	Requests atomic.Int64
	Conns    atomic.Int64

	Mu   sync.Mutex
	Open map[net.Conn]bool
}

// ServeOne handles one request that was read whole; false ends the connection.
type ServeOne func(c net.Conn, req *http.Request, body string) bool

func NewBackend(t *testing.T, uid string, serve ServeOne) *Backend {
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
		b.Drop()
		handlers.Wait()
	})
	return b
}

func (b *Backend) handle(c net.Conn, serve ServeOne) {
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

// Drop closes all connections, as the end of a process does.
func (b *Backend) Drop() {
	b.Mu.Lock()
	defer b.Mu.Unlock()
	for c := range b.Open {
		c.Close()
	}
	clear(b.Open)
}

func Ready(uid, addr string) endpointlist.Target {
	return endpointlist.Target{UID: uid, Endpoint: addr, Zone: "z", Model: "k", PodGroup: 1, State: "Ready", Capacity: 1}
}

func OK(c net.Conn, _ *http.Request, _ string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: busy=0.5,rate=7\r\n\r\ndone")
	return err == nil
}

// Respond answers with fixed text and keeps the connection or ends it.
func Respond(text string, keep bool) ServeOne {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, text)
		return err == nil && keep
	}
}

// Registry is discovery: each call takes what the test gives it next.
type Registry struct {
	*httptest.Server
	Calls chan registryCall
}

type registryCall struct {
	Query string
	Lines chan string // closed: the answer ends
	Fail  chan int    // a status instead of lines
	Gone  <-chan struct{}
}

func NewRegistry(t *testing.T) *Registry {
	r := &Registry{Calls: make(chan registryCall, 16)}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		call := registryCall{
			Query: req.URL.RawQuery, Lines: make(chan string), Fail: make(chan int), Gone: req.Context().Done(),
		}
		r.Calls <- call
		for {
			select {
			case <-call.Gone:
				return
			case status := <-call.Fail:
				w.WriteHeader(status)
				return
			case line, more := <-call.Lines:
				if !more {
					return
				}
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			}
		}
	}))
	t.Cleanup(r.Close)
	return r
}

func (r *Registry) Addr() string { return r.Listener.Addr().String() }

func (c registryCall) Send(t *testing.T, l endpointlist.List) {
	t.Helper()
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	c.Line(t, string(data))
}

func (c registryCall) Line(t *testing.T, text string) {
	t.Helper()
	select {
	case c.Lines <- text:
	case <-time.After(Patience):
		t.Fatal("discovery's line is not taken")
	}
}
