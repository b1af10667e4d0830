package sidecar

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

const (
	headPeers = 520   // peers that send a long head at the same time: nearly all client connections of 1,024 sockets
	longHead  = 30000 // bytes of each such head; net/http accepts 32 KiB
)

// startWithMemory starts a sidecar of 32 MB and 1,024 sockets with one server.
func startWithMemory(t *testing.T, server endpointlist.Target) *running {
	t.Helper()
	c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), server)
	c["limits"] = map[string]any{"cores": 1, "memory_mb": 32, "sockets": 1024}
	return start(t, c)
}

// silentServer returns a server that reads requests and never responds.
func silentServer(t *testing.T) endpointlist.Target {
	t.Helper()
	return sidecartest.RawBackend(t, "a", func(_ net.Conn, in *bufio.Reader) { _, _ = io.Copy(io.Discard, in) })
}

// writeAll opens connections until the end of the test and writes a text on each.
func (r *running) writeAll(t *testing.T, peers int, text string) (conns []net.Conn) {
	t.Helper()
	for range peers {
		c := r.dial(t)
		t.Cleanup(func() { c.Close() })
		_, _ = io.WriteString(c, text) // fails if the sidecar has closed the connection
		conns = append(conns, c)
	}
	return conns
}

// liveHeap returns the size of the live objects and stacks of the process, in bytes.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // pools keep their objects for one more collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// checkMemory writes a text on each of many connections, and checks that the memory in use stays under the limit of the
// runtime: above it no garbage collection helps.
func (r *running) checkMemory(t *testing.T, peers int, text string) {
	t.Helper()
	before, highest := liveHeap(), int64(0)
	r.writeAll(t, peers, text)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		highest = max(highest, liveHeap()-before)
	}
	if limit := r.cfg.MemoryLimit(1); highest > limit {
		t.Errorf("%d MB in use, the limit of the runtime is %d MB", highest>>20, limit>>20)
	}
}

// Guards against long heads that take a sidecar over its memory limit, so that it is killed: of peers that stop within
// the head, and of requests that wait for their server.
func TestHeadMemory_staysUnderLimit(t *testing.T) {
	for name, text := range sidecartest.LongHeads(3900) { // with the request before it in one read of 4 kB
		t.Run(name+"/behind another request", func(t *testing.T) {
			startWithMemory(t, silentServer(t)).checkMemory(t, 380, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"+text)
		})
	}
	for name, text := range sidecartest.LongHeads(longHead) {
		for state, end := range map[string]string{"incomplete": "", "in flight": "Content-Length: 1\r\n\r\nb"} {
			t.Run(name+"/"+state, func(t *testing.T) {
				s := startWithMemory(t, silentServer(t))
				s.checkMemory(t, headPeers, text+end)
			})
		}
	}
}

// Guards against servers that stop within long heads of their answers, or send such heads without an end, and so take a
// sidecar over its memory limit.
func TestHeadMemory_answersStayUnderLimit(t *testing.T) {
	for name, requestHead := range sidecartest.LongHeads(longHead) {
		_, lines, _ := strings.Cut(requestHead, "\n")
		for state, answer := range map[string]string{
			"incomplete": "HTTP/1.1 200 OK\r\n" + lines, "endless": "HTTP/1.1 200 OK\r\n" + strings.Repeat(lines, 5),
			"after an interim head": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + lines,
		} {
			t.Run(name+"/"+state, func(t *testing.T) {
				s := startWithMemory(t, sidecartest.RawBackend(t, "a", func(c net.Conn, in *bufio.Reader) {
					_, _ = in.ReadByte()
					_, _ = io.WriteString(c, answer)
					_, _ = io.Copy(io.Discard, in)
				}))
				s.checkMemory(t, s.clients.RequestLimit(), sidecartest.RequestText("1", "Content-Length: 1\r\n", "b"))
			})
		}
	}
}

// Guards against a request behind another one that takes memory which is not there, or that gets two responses.
func TestHeadMemory_rejectedOnceBehindAnother(t *testing.T) {
	server := sidecartest.NewBackend(t, "a", sidecartest.OK)
	s := startWithMemory(t, server.Target)
	s.listener.SetHeadMemory(0)
	request := func(lines int) string {
		return sidecartest.RequestText("1", "Content-Length: 1\r\n"+strings.Repeat("a:\r\n", lines), "b")
	}
	c := s.dial(t)
	defer c.Close()
	if _, err := io.WriteString(c, request(0)+request(100)+request(0)); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(c)
	if n := strings.Count(string(text), "HTTP/1.1 "); n != 2 || err != nil {
		t.Errorf("%d responses, %v, want 2: %q", n, err, text)
	}
	if !strings.HasPrefix(string(text), "HTTP/1.1 200 ") || !strings.Contains(string(text), "HTTP/1.1 503 ") || server.Requests.Load() != 1 {
		t.Errorf("%d requests ran, want the first one alone: %q", server.Requests.Load(), text)
	}
}

// Guards against sound clients that are rejected because peers that stop within long heads hold the memory for heads.
func TestHeadMemory_soundClientsServed(t *testing.T) {
	s := startWithMemory(t, sidecartest.NewBackend(t, "a", sidecartest.OK).Target)
	s.writeAll(t, 200, sidecartest.LongHeads(longHead)["lines of 45"])
	sidecartest.Until(t, "silence of the peers", func() (silent bool) {
		silent = s.clients.OpenConns() > 0
		s.listener.Each(func(c *clientserver.ClientConn) {
			silent = silent && time.Since(c.LastRead()) > 100*time.Millisecond
		})
		return silent
	})
	for _, cookie := range []int{0, 4 << 10, 16 << 10} {
		req := s.request("charge", time.Second)
		req.Header.Set("Cookie", strings.Repeat("c", cookie))
		if got := s.do(req); got.status != 200 {
			t.Errorf("a request with a cookie of %d bytes: %d %q, want 200", cookie, got.status, got.body)
		}
	}
}

// Guards against peers whose connection ends without a response when the memory for heads is used up, or stays open and
// keeps what was parsed: the response states that nothing has run, and the end follows at once.
func TestHeadMemory_rejectedWith503(t *testing.T) {
	s := startWithMemory(t, silentServer(t))
	lag := sidecartest.MachineLag(t)
	var peers sync.WaitGroup
	var rejected atomic.Int64
	for _, c := range s.writeAll(t, 200, sidecartest.LongHeads(longHead)["lines of 45"]) {
		peers.Go(func() {
			in := bufio.NewReader(c)
			line, _ := in.ReadString('\n')
			if !strings.HasPrefix(line, "HTTP/1.1 503 ") {
				return // the end of the time for a head
			}
			rejected.Add(1)
			respondedAt := time.Now()
			_, _ = io.Copy(io.Discard, in)
			if took := time.Since(respondedAt); took > clientserver.DefaultReadTimeout/2+lag() {
				t.Errorf("a rejected connection ended %v after its response", took)
			}
		})
	}
	peers.Wait()
	if n := rejected.Load(); n < 100 {
		t.Errorf("%d of 200 peers were rejected, want more than half: each takes over 0.1 of 3.2 MB", n)
	}
}
