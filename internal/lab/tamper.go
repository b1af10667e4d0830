package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/rollouts"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// Planted defects: each makes the fleet break one rule, for the checkers to find. None of them is in the copies;
// they sit on the wires, in the servers and in discovery, where nobody but the checkers can see them.

// prepareTampers puts a tamper before each sidecar whose answers will be spoilt; until then it is passed by.
func (r *run) prepareTampers() error {
	for _, p := range r.Plan.Faults {
		if p.Fault.Kind != "defect-lose-answer" && p.Fault.Kind != "defect-answer-twice" {
			continue
		}
		for _, i := range p.Sidecars {
			if r.tampers[i] != nil {
				continue
			}
			t, err := newTamper(r.sidecars[i].addr())
			if err != nil {
				return err
			}
			r.tampers[i] = t
		}
	}
	return nil
}

// plant begins or ends a defect.
func (r *run) plant(defect string, p *scenario.FaultPlan, on bool) {
	set := defect
	if !on {
		set = ""
	}
	switch defect {
	case "send-twice", "send-again", "send-often", "invent", "tell-whole":
		r.overheardBy.Store(&repeater{defect: set, sidecars: p.Sidecars})
	case "wrong-body":
		for _, i := range p.Servers {
			r.servers[i].SetBehaviour(func(b *stock.Behaviour) { b.Defect = set })
		}
	case "told-late", "ignore-drain":
		for _, i := range p.Sidecars {
			r.agents[0].SetBehaviour(i, func(b *agent.Behaviour) {
				b.Defect, b.DefectDelay = set, time.Duration(p.Fault.Size*float64(time.Second))
			})
		}
	case "undo-rollback":
		if r.service.undone.Store(nil); on {
			r.service.undone.Store(rollouts.NewRollbackDefect())
		}
	case "end-early", "ignore-term":
		for _, i := range p.Sidecars {
			r.sidecars[i].endsBad.Store(&set)
		}
	case "ready-late":
		for _, i := range p.Sidecars {
			if r.sidecars[i].stalls.Store(0); on {
				r.sidecars[i].stalls.Store(int64(p.Fault.Size * float64(time.Second)))
			}
		}
	case "lose-answer", "answer-twice":
		for _, i := range p.Sidecars {
			r.tampers[i].active.Store(&set)
		}
	}
}

// endsEarly is how long after SIGTERM a process that ends too early is gone.
const endsEarly = 100 * time.Millisecond

// spoilsEnd plays a defect of a process at SIGTERM in place of the signal: it ends with requests unanswered, or goes on
// as if nothing had been said. The records say nothing of it.
func (s *sidecar) spoilsEnd(c *process.Child) bool {
	defect := s.endsBad.Load()
	switch {
	case defect == nil || *defect == "":
		return false
	case *defect == "end-early":
		time.Sleep(endsEarly)
		c.Kill()
	}
	return true
}

// spoilStart plays a defect of a process at its start: it does nothing for a while. The records say nothing of it.
func (s *sidecar) spoilStart(ctx context.Context, c *process.Child) {
	stalls := time.Duration(s.stalls.Load())
	if stalls == 0 {
		return
	}
	_ = c.Signal(syscall.SIGSTOP) // one that has ended says so where its readiness is awaited
	harness.Sleep(ctx, stalls)
	_ = c.Signal(syscall.SIGCONT) // as above
}

// repeater says which sidecars' requests are sent again, and how.
type repeater struct {
	defect   string
	sidecars []int
}

// repeatAfter is when a request is sent again by "send-again", "tell-whole" and "send-often": the first has ended by then.
const repeatAfter = 1500 * time.Millisecond

// overhear sees each request that reaches a server.
func (r *run) overhear(server, sidecar int, req *http.Request, body []byte) {
	rep := r.overheardBy.Load()
	if rep == nil || rep.defect == "" || req.Header.Get("X-Overheard") != "" {
		return
	}
	if !slices.Contains(rep.sidecars, sidecar) || r.repeated.Add(1) > mostRepeats {
		return
	}
	other := r.servers[(server+1)%len(r.servers)].Port.Addr(sidecar)
	id := req.Header.Get("X-Request-ID")
	r.Tasks.Go(func() {
		tells := ""
		if rep.defect == "tell-whole" {
			tells = "X-Timeout-Ms: " + req.Header.Get("X-Timeout-Ms") + "\r\n" // as much as when the first was sent
		}
		again := func(id string) { _ = repeat(other, req, id, tells, body) } // a failed repeat is no defect
		switch rep.defect {
		case "send-twice":
			again(id)
		case "send-again", "tell-whole":
			time.Sleep(repeatAfter)
			again(id)
		case "send-often":
			time.Sleep(repeatAfter)
			for range 3 {
				again(id)
			}
		case "invent":
			again("00000000deadbeef")
		}
	})
}

// mostRepeats bounds the harm: a few cases are as good as thousands.
const mostRepeats = 5

// repeat sends a request as a sidecar would, with a header line more or none, and waits for its answer.
func repeat(addr string, req *http.Request, id, line string, body []byte) error {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Overheard: 1\r\n%sContent-Length: %d\r\n\r\n",
		req.Method, id, line, len(body))
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1<<10))
	return err
}

// tamper stands between clients and a sidecar and spoils the answers of the connections that are opened to it.
type tamper struct {
	addr   string
	active atomic.Pointer[string]
	l      net.Listener
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func newTamper(target string) (*tamper, error) {
	l, err := net.Listen("tcp4", harness.HostOf(target)+":0")
	if err != nil {
		return nil, fmt.Errorf("lab: tamper: %w", err)
	}
	t := &tamper{addr: l.Addr().String(), l: l, conns: map[net.Conn]struct{}{}}
	none := ""
	t.active.Store(&none)
	t.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.wg.Go(func() { t.pass(c, target) })
		}
	})
	return t, nil
}

func (t *tamper) keep(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.conns[c] = struct{}{}
	}
	return !t.closed
}

func (t *tamper) close() {
	t.l.Close()
	t.mu.Lock()
	t.closed = true
	for c := range t.conns {
		c.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// pass carries one connection.
func (t *tamper) pass(client net.Conn, target string) {
	defer client.Close()
	server, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer server.Close()
	if !t.keep(client) || !t.keep(server) {
		return
	}
	t.wg.Go(func() {
		_, _ = io.Copy(server, client) // either end of either side ends both
		_ = server.(*net.TCPConn).CloseWrite()
	})
	buf := make([]byte, 64<<10)
	for {
		n, err := server.Read(buf)
		if errors.Is(err, net.ErrClosed) || n == 0 {
			return
		}
		switch *t.active.Load() {
		case "lose-answer":
			continue
		case "answer-twice":
			if _, err := client.Write(buf[:n]); err != nil {
				return
			}
		}
		if _, err := client.Write(buf[:n]); err != nil {
			return
		}
	}
}
