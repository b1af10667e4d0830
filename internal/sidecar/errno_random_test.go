package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
	"marblelane/internal/sidecar/upstream"
)

// faultSchedule decides at random which system calls fail, and how. It is safe for concurrent use.
type faultSchedule struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// maybeFail returns an error of a call with a random errno out of from, with a probability of perMille in 1000.
func (s *faultSchedule) maybeFail(call string, perMille int, from netcall.Errnos) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rnd.IntN(1000) >= perMille {
		return nil
	}
	return sidecartest.OpError(call, from[s.rnd.IntN(len(from))])
}

// randomConn is a connection whose reads and writes fail at random, before or after a part of the bytes. It may transfer
// single bytes.
type randomConn struct {
	*net.TCPConn
	schedule    *faultSchedule
	byteAtATime bool
}

func (c *randomConn) Read(p []byte) (int, error) {
	if err := c.schedule.maybeFail("read", 20, slices.Concat(netcall.TransientErrnos, netcall.ConnClosedErrnos)); err != nil {
		return 0, err
	}
	if c.byteAtATime && len(p) > 1 {
		p = p[:1]
	}
	return c.TCPConn.Read(p)
}

func (c *randomConn) Write(p []byte) (int, error) {
	if err := c.schedule.maybeFail("write", 30, slices.Concat(netcall.LocalErrnos, netcall.ConnClosedErrnos)); err != nil {
		return 0, err
	}
	if err := c.schedule.maybeFail("write", 30, slices.Concat(netcall.LocalErrnos, netcall.ConnClosedErrnos)); err != nil {
		n, _ := c.TCPConn.Write(p[:len(p)/2])
		return n, err
	}
	if !c.byteAtATime {
		return c.TCPConn.Write(p)
	}
	for i := range p {
		if _, err := c.TCPConn.Write(p[i : i+1]); err != nil {
			return i, err
		}
	}
	return len(p), nil
}

// injectInto makes dials and connections of a pool fail at random.
func (s *faultSchedule) injectInto(p *upstream.Pool) {
	dialErrnos := slices.Concat(netcall.Errnos{syscall.ECONNREFUSED, syscall.ECONNRESET}, netcall.LocalErrnos, netcall.UnreachableErrnos)
	p.WrapDial(func(dial netcall.DialFunc) netcall.DialFunc {
		return func(ctx context.Context, network, addr string) (net.Conn, error) {
			if err := s.maybeFail("connect", 150, dialErrnos); err != nil {
				return nil, err
			}
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			return &randomConn{TCPConn: c.(*net.TCPConn), schedule: s, byteAtATime: s.rnd.IntN(4) == 0}, nil
		}
	})
}

// runCounter counts, by X-Request-ID, how often each request reached a server completely.
type runCounter struct {
	t  *testing.T
	mu sync.Mutex
	by map[string]int // by X-Request-ID
}

// serve counts a request, checks its X-Timeout-Ms and responds to it.
func (r *runCounter) serve(c net.Conn, req *http.Request, body string) bool {
	r.mu.Lock()
	r.by[req.Header.Get("X-Request-ID")]++
	r.mu.Unlock()
	left, err := strconv.Atoi(req.Header.Get("X-Timeout-Ms"))
	if err != nil || left < 1 || left > int(scheduleWait.Milliseconds()) {
		r.t.Errorf("a server got the X-Timeout-Ms %q, %v", req.Header.Get("X-Timeout-Ms"), err)
	}
	return sidecartest.OK(c, req, body)
}

func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[id]
}

const (
	scheduleWait     = time.Second // timeout of each request
	scheduleClients  = 6
	scheduleRequests = 60 // requests of each client in each phase
	scheduleAttempts = 3  // maximum number of attempts per request
)

// checkResponse compares the response to a request with the number of times that the request ran.
func (r *runCounter) checkResponse(class, id string, status int) {
	r.t.Helper()
	n := r.count(id)
	switch {
	case status != 200 && status != inflight.StatusRejected && status != inflight.StatusFailed && status != inflight.StatusTimedOut:
		r.t.Errorf("%s %s: status %d", class, id, status)
	case n > scheduleAttempts:
		r.t.Errorf("%s %s: ran %d times, want at most %d", class, id, n, scheduleAttempts)
	case class == "charge" && n > 1:
		r.t.Errorf("%s %s: non-idempotent, but ran %d times", class, id, n)
	case class == "charge" && n > 0 && status == inflight.StatusRejected:
		r.t.Errorf("%s %s: rejected, but it ran", class, id)
	case status == 200 && n == 0:
		r.t.Errorf("%s %s: served, but it did not run", class, id)
	}
}

// runClient sends the requests of one client and returns how many were served.
func (r *runCounter) runClient(s *running, seed uint64) (served int) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for range scheduleRequests {
		class := []string{"lookup", "reserve", "charge"}[rnd.IntN(3)]
		req := s.request(class, scheduleWait)
		id := req.Header.Get("X-Request-ID")
		got := s.do(req)
		r.checkResponse(class, id, got.status)
		if got.status == 200 {
			served++
		}
	}
	return served
}

// runClients sends the requests of all clients in one phase and returns how many were served.
func (r *runCounter) runClients(s *running, seed uint64) int {
	var clients sync.WaitGroup
	served := make([]int, scheduleClients)
	for i := range served {
		clients.Go(func() { served[i] = r.runClient(s, seed+uint64(i)) })
	}
	clients.Wait()
	all := 0
	for _, n := range served {
		all += n
	}
	return all
}

// While system calls fail at random, each request gets one response, a non-idempotent request runs at most once,
// servers get the remaining time of a request, and a draining server gets no new requests.
func TestErrno_random(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	counted := &runCounter{t: t, by: map[string]int{}}
	servers := make([]*sidecartest.Backend, 4)
	known := make([]endpointlist.Target, len(servers))
	for i := range servers {
		servers[i] = sidecartest.NewBackend(t, fmt.Sprintf("s%d", i), counted.serve)
		known[i] = servers[i].Target
	}
	registry := sidecartest.NewFakeDiscovery(t)
	c := configtest.NewConf(registry.Addr(), known...).
		ReplaceSetting(`"max_attempts": 6`, fmt.Sprintf(`"max_attempts": %d`, scheduleAttempts)).
		ReplaceSetting(`"parallel_tries": true`, `"parallel_tries": false`)
	c["management"] = sidecartest.Loopback // so that the metrics of servers are published
	faults := &faultSchedule{rnd: rand.New(rand.NewPCG(seed, 0))}
	s := start(t, c, func(s *Sidecar) {
		faults.injectInto(s.loop.Pool)
		s.loop.Discovery.SetTimeouts(discovery.Timeouts{Call: time.Hour, Watch: time.Hour}) // the list service may stay silent
	})
	watch := sidecartest.Receive(t, "the call to discovery", registry.Calls)

	const all = scheduleClients * scheduleRequests
	served := counted.runClients(s, seed)
	t.Logf("served %d of %d", served, all)
	if 2*served < all {
		t.Errorf("served %d of %d, want most of them", served, all)
	}

	draining := servers[0]
	target := draining.Target
	target.State = "Terminating"
	watch.SendList(t, endpointlist.List{Rev: 2, Targets: []endpointlist.Target{target}})
	sidecartest.Until(t, "the drain to be applied", func() bool { return s.loop.Metrics.Servers.Load().Ready == len(servers)-1 })
	before := draining.Requests.Load()
	served = counted.runClients(s, seed+scheduleClients)
	t.Logf("served %d of %d while a server drains", served, all)
	if n := draining.Requests.Load() - before; n > 0 {
		t.Errorf("%d requests reached the draining server", n)
	}
	if 2*served < all {
		t.Errorf("served %d of %d while a server drains, want most of them", served, all)
	}
	sidecartest.Until(t, "connections to be idle or closed", func() bool { open, idle := s.loop.Pool.Counts(); return idle == open })
}

// A long body and the response to it arrive complete although the connections to the client and to the server transfer
// single bytes in both directions.
func TestConnection_byteAtATime(t *testing.T) {
	body := string(sidecartest.PatternBody(20_000))
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, _ *http.Request, got string) bool {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(got), got)
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return false
			}
		}
		return true
	})
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), func(s *Sidecar) {
		sidecartest.InjectDialFaults(s.loop.Pool, sidecartest.Succeed, sidecartest.FaultyConn{ByteAtATime: true})
	})
	client, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	req := s.request("charge", 0)
	req.Header.Set("X-Timeout-Ms", "1000")
	req.Body, req.ContentLength = io.NopCloser(bytes.NewBufferString(body)), int64(len(body))
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		t.Fatal(err)
	}
	for _, b := range text.Bytes() {
		if _, err := client.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	client.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	got, err := http.ReadResponse(bufio.NewReaderSize(iotest.OneByteReader(client), 16), req)
	if err != nil {
		t.Fatal(err)
	}
	defer got.Body.Close()
	response, err := io.ReadAll(iotest.OneByteReader(got.Body))
	if err != nil || got.StatusCode != 200 || string(response) != body {
		t.Errorf("%d with %d bytes, %v, want the %d bytes that were sent", got.StatusCode, len(response), err, len(body))
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d requests at the server, want 1", n)
	}
}
