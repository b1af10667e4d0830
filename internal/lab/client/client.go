// Package client stands in for the applications: open-loop arrivals (a request goes out at its planned time,
// whatever has become of those before it), kept connections, tries that are given up, and retries.
package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"

	"golang.org/x/sys/unix"
)

const (
	// listen is how long after its time a client still listens: an answer by then earns nothing, one that comes
	// later, or never, was owed and not given.
	listen = 500 * time.Millisecond
	// keepIdle is for how long a connection without a request is kept.
	keepIdle = 30 * time.Second
	dialWait = time.Second
)

// RequestLog keeps what was sent, for the servers to look up.
type RequestLog struct {
	parts [16]struct {
		mu   sync.RWMutex
		asks map[uint64]stock.Ask
	}
}

// NewRequestLog makes an empty book.
func NewRequestLog() *RequestLog {
	b := &RequestLog{}
	for i := range b.parts {
		b.parts[i].asks = map[uint64]stock.Ask{}
	}
	return b
}

// Look finds a request by its id.
func (b *RequestLog) Look(id uint64) (stock.Ask, bool) {
	p := &b.parts[id%16]
	p.mu.RLock()
	defer p.mu.RUnlock()
	a, ok := p.asks[id]
	return a, ok
}

// Add keeps what a client sends under its id.
func (b *RequestLog) Add(id uint64, a stock.Ask) {
	p := &b.parts[id%16]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asks[id] = a
}

// Load sends a plan's arrivals.
type Load struct {
	Plan     *scenario.Plan
	Log      *record.Log
	Requests *RequestLog
	// Addr is where the clients of a sidecar connect at this moment.
	Addr func(sidecar int) string
	// Closed tells whether a sidecar's clients may open no connection at this moment; nil: they always may. They then
	// take in turn the connections they have, so that each that stays open is sent on.
	Closed func(sidecar int) bool

	pools   []pool
	waiting waiting
	live    atomic.Int64
	wg      sync.WaitGroup
}

// Live is how many requests are under way.
func (l *Load) Live() int { return int(l.live.Load()) }

// Run sends each arrival at its time and waits until all have ended. It returns by how much each arrival was late
// because this process was not given the time.
func (l *Load) Run(ctx context.Context) []time.Duration {
	l.pools = make([]pool, len(l.Plan.Sidecars))
	lates := make([]time.Duration, 0, len(l.Plan.Arrivals))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range l.Plan.Arrivals {
		a := &l.Plan.Arrivals[i]
		if wait := a.At - l.Log.Now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		lates = append(lates, l.Log.Now()-a.At)
		l.live.Add(1)
		l.wg.Go(func() {
			defer l.live.Add(-1)
			l.ask(ctx, i, a)
		})
	}
	l.wg.Wait()
	for i := range l.pools {
		l.pools[i].close()
	}
	return lates
}

// verdict is how a try ended, as its client sees it.
type verdict struct {
	status int // 0: no answer
	after  time.Duration
	unsent bool
}

// ask is one request with its retries.
func (l *Load) ask(ctx context.Context, number int, a *scenario.Arrival) {
	s := l.Plan.Scenario
	r := rand.New(rand.NewPCG(a.Seed, uint64(number)))
	class := &s.Classes[a.Class]
	deadline := a.At + s.Pace(class.Deadline)
	honours := r.Float64() < s.Traffic.Honour
	for try := 1; try <= 1+s.Traffic.Retries; try++ {
		noise := 0.9 + 0.2*r.Float64() // of a client's share, from try to try
		patience := min(time.Duration(float64(s.Pace(class.Deadline))*min(s.Traffic.TryShare*noise, 1)), deadline-l.Log.Now())
		if s.Traffic.Retries == 0 {
			patience = deadline - l.Log.Now()
		}
		early := time.Duration(0)
		if r.Float64() < s.Traffic.Impatient {
			early = time.Duration(float64(patience) * r.Float64())
		}
		if patience < time.Millisecond || ctx.Err() != nil {
			return
		}
		t := &try1{l: l, a: a, number: number, try: try, id: r.Uint64()>>12 | 1, patience: patience, early: early}
		v := t.run(ctx)
		if v.status == http.StatusOK {
			return
		}
		wait := s.Pace(s.Traffic.Backoff)
		if honours && v.after > 0 {
			wait = v.after
		}
		if wait > 0 {
			pause(ctx, wait)
		}
	}
}

// try1 is one try of a request: one id.
type try1 struct {
	l               *Load
	a               *scenario.Arrival
	number, try     int
	id              uint64
	patience, early time.Duration
	told            atomic.Bool // its client is told to leave
}

// waitMS is the time that the client says it waits, in milliseconds.
func (t *try1) waitMS() int64 { return max(t.patience.Milliseconds(), 1) }

func (t *try1) note(k record.Kind, e record.Event) {
	e.Kind, e.Request, e.Sidecar = k, t.id, int32(t.a.Sidecar)
	e.Server, e.Class, e.N = record.None, int16(t.a.Class), max(e.N, int64(t.number))
	t.l.Log.Add(e)
}

// run sends the try and waits for its end.
func (t *try1) run(ctx context.Context) verdict {
	s := t.l.Plan.Scenario
	class := &s.Classes[t.a.Class]
	method, body := http.MethodGet, []byte(nil)
	if class.Effect == "unsafe" {
		method, body = http.MethodPost, stock.Body(^t.id, class.Body)
	}
	sum := record.Sum(body)
	t.l.Requests.Add(t.id, stock.Ask{Method: method, Class: t.a.Class, Tenant: t.a.Tenant, Sum: sum, Work: t.a.Work, Vary: class.Vary, Answer: s.Traffic.Answer})
	head := fmt.Appendf(nil, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %016x\r\nX-Priority-Class: %s\r\nX-Tenant-Id: %s\r\nX-Timeout-Ms: %d\r\n",
		method, t.id, class.Name, s.Tenants[t.a.Tenant].Name, t.waitMS())
	if s.Routed() && !t.a.Keyless {
		head = fmt.Appendf(head, "X-Route-Key: %016x\r\n", t.a.Seed) // the same on each try
	}
	if body != nil {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(body))
	}
	message := append(append(head, "\r\n"...), body...)
	habits := t.habits()
	if habits.pipelined == together {
		message = append(message, nextRequest...)
	}
	p := &t.l.pools[t.a.Sidecar]
	addr := t.l.Addr(t.a.Sidecar)
	closed := func() bool { return t.l.Closed != nil && t.l.Closed(t.a.Sidecar) }
	c := p.take(addr, closed())
	for {
		kept := c != nil
		if c == nil {
			if closed() {
				t.note(record.NotSent, record.Event{Note: "no connection is open, and no new one may be opened"})
				return verdict{unsent: true}
			}
			var err error
			if c, err = dial(ctx, addr, min(t.patience, dialWait)); err != nil {
				t.note(record.NotSent, record.Event{Note: "connect: " + err.Error()})
				return verdict{unsent: true}
			}
		}
		v, again := t.over(ctx, c, p, message, sum, method, habits)
		if !again || !kept {
			return v
		}
		// The close of a kept connection crossed the request; it is sent once more on a new one.
		c = nil
	}
}

// over sends the try on one connection. again tells that it was closed without a byte of an answer.
func (t *try1) over(ctx context.Context, c *conn, p *pool, message []byte, sum uint64, method string, habits habits) (v verdict, again bool) {
	began := time.Now()
	_ = c.SetDeadline(began.Add(t.patience)) // a closed connection says so below
	if _, err := c.Write(message); err != nil {
		c.Close()
		t.note(record.NotSent, record.Event{Note: "write: " + err.Error()})
		return verdict{unsent: true}, true
	}
	t.note(record.Sent, record.Event{Attempt: int16(t.try), Sum: sum, Work: float64(t.waitMS())})
	if habits.pipelined == later {
		defer time.AfterFunc(nextAfter, func() { _, _ = io.WriteString(c, nextRequest) }).Stop() // on an ended connection it is lost
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if t.early > 0 {
		_ = c.SetDeadline(began.Add(t.early))
	}
	t.l.waiting.add(t, c)
	_, err := c.in.Peek(1)
	t.l.waiting.remove(t)
	if err != nil {
		switch {
		case ctx.Err() != nil:
			t.note(record.NoAnswer, record.Event{Note: record.RunEnded})
			c.Close()
			return verdict{}, false
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.Close()
			t.note(record.ConnectionLost, record.Event{Note: "no byte of an answer: " + err.Error()})
			return verdict{}, true
		case t.early > 0 || t.told.Load():
			t.leave(c, habits.leave)
			return verdict{}, false
		}
		t.note(record.Overdue, record.Event{})
		// What was taken is still owed its answer; the client's retry does not wait for it.
		t.l.wg.Go(func() {
			defer c.Close()
			_ = c.SetDeadline(began.Add(t.patience + listen))
			if _, err := c.in.Peek(1); err != nil {
				t.note(record.NoAnswer, record.Event{Note: err.Error()})
				return
			}
			t.answer(c, method)
		})
		return verdict{}, false
	}
	_ = c.SetDeadline(time.Now().Add(max(t.patience, time.Second)))
	v, keep := t.answer(c, method)
	if !keep || habits.pipelined != never {
		c.Close()
		return v, false
	}
	p.put(c)
	return v, false
}

// answer reads the answer whose first byte is there.
func (t *try1) answer(c *conn, method string) (v verdict, keep bool) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		t.note(record.ConnectionLost, record.Event{Note: "in its answer: " + err.Error()})
		return verdict{}, false
	}
	e := record.Event{Status: int32(resp.StatusCode), Sum: record.Sum(body)}
	if resp.StatusCode == http.StatusOK {
		e.Want = record.Sum(stock.Body(t.id, t.l.Plan.Scenario.Traffic.Answer))
	}
	t.note(record.Answered, e)
	if c.in.Buffered() > 0 {
		t.note(record.ExtraBytes, record.Event{})
		return verdict{status: resp.StatusCode}, false
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		v.after = time.Duration(after * float64(time.Second))
	}
	v.status = resp.StatusCode
	c.last = t
	return v, !resp.Close
}

// conn is a connection to a sidecar.
type conn struct {
	net.Conn
	in   *bufio.Reader
	addr string
	idle time.Time
	last *try1 // whose answer it carried last
}

func dial(ctx context.Context, addr string, wait time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: wait, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReaderSize(c, 4<<10), addr: addr}, nil
}

// pool keeps the idle connections to one sidecar.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// take gives the connection to an address used last that is still open, or the one used longest ago; nil: there is
// none.
func (p *pool) take(addr string, oldest bool) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		i := n - 1
		if oldest {
			i = 0
		}
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		p.mu.Unlock()
		if c.quiet() && c.addr == addr && time.Since(c.idle) < keepIdle {
			return c
		}
		c.Close()
	}
}

func (p *pool) put(c *conn) {
	c.idle = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.quiet()
		c.Close()
	}
	p.idle = nil
}

// quiet looks at an idle connection: it is open and nothing came on it. What did come answers nobody.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		c.last.note(record.ExtraBytes, record.Event{})
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	n, failed := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		n, _, failed = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if n > 0 {
		c.last.note(record.ExtraBytes, record.Event{})
	}
	return err == nil && errors.Is(failed, unix.EAGAIN)
}
