// Package client is the load generator that simulates the applications: open-loop arrivals (a request is sent at its
// planned time, regardless of earlier ones), connection reuse, timeouts, clients that leave early, and retries.
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
	// lateAnswerGrace is how long after its timeout a client still reads. An answer by then is late; without one, the record
	// has a NoAnswer event.
	lateAnswerGrace = 500 * time.Millisecond
	// maxIdle is the longest time that a connection is idle before it is discarded.
	maxIdle     = 30 * time.Second
	dialTimeout = time.Second
)

// RequestLog stores the sent requests by id, for the simulated servers to find.
type RequestLog struct {
	shards [16]struct {
		mu       sync.RWMutex
		requests map[uint64]stock.ClientRequest
	}
}

// NewRequestLog makes an empty store.
func NewRequestLog() *RequestLog {
	b := &RequestLog{}
	for i := range b.shards {
		b.shards[i].requests = map[uint64]stock.ClientRequest{}
	}
	return b
}

// Find finds a request that this log has recorded as sent, by its ID.
func (b *RequestLog) Find(id uint64) (stock.ClientRequest, bool) {
	p := &b.shards[id%16]
	p.mu.RLock()
	defer p.mu.RUnlock()
	a, ok := p.requests[id]
	return a, ok
}

// Add stores a request under its id.
func (b *RequestLog) Add(id uint64, a stock.ClientRequest) {
	p := &b.shards[id%16]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[id] = a
}

// Load sends a plan's arrivals.
type Load struct {
	Plan     *scenario.Plan
	Log      *record.Log
	Requests *RequestLog
	// Addr is where the clients of a sidecar connect at this moment.
	Addr func(sidecar int) string
	// Closed tells whether a sidecar's clients may open no connection at this moment; nil: they always may. They then
	// use their open connections round-robin, so that each one is exercised.
	Closed func(sidecar int) bool

	pools    []pool
	waiting  awaitingAnswer
	inFlight atomic.Int64
	wg       sync.WaitGroup
}

// InFlight is the number of requests in flight, including their retries.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Run sends each arrival at its time and waits until all have ended. It returns the scheduling delay of each arrival:
// how much later than planned this process started it.
func (l *Load) Run(ctx context.Context) []time.Duration {
	l.pools = make([]pool, len(l.Plan.Sidecars))
	delays := make([]time.Duration, 0, len(l.Plan.Arrivals))
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
		delays = append(delays, l.Log.Now()-a.At)
		l.inFlight.Add(1)
		l.wg.Go(func() {
			defer l.inFlight.Add(-1)
			l.sendRequest(ctx, i, a)
		})
	}
	l.wg.Wait()
	for i := range l.pools {
		l.pools[i].close()
	}
	return delays
}

// attemptResult is the outcome of an attempt, as its client sees it.
type attemptResult struct {
	status     int // 0: no answer
	retryAfter time.Duration
	notSent    bool
}

// sendRequest sends one request and its retries.
func (l *Load) sendRequest(ctx context.Context, arrivalIndex int, a *scenario.Arrival) {
	s := l.Plan.Scenario
	r := rand.New(rand.NewPCG(a.Seed, uint64(arrivalIndex)))
	class := &s.Classes[a.Class]
	deadline := a.At + s.Scaled(class.Deadline)
	honorsRetryAfter := r.Float64() < s.Traffic.RetryAfterFraction
	for attemptNumber := 1; attemptNumber <= 1+s.Traffic.Retries; attemptNumber++ {
		noise := 0.9 + 0.2*r.Float64() // factor on the attempt's part of the deadline, drawn for each attempt
		timeout := min(time.Duration(float64(s.Scaled(class.Deadline))*min(s.Traffic.AttemptTimeoutFraction*noise, 1)), deadline-l.Log.Now())
		if s.Traffic.Retries == 0 {
			timeout = deadline - l.Log.Now()
		}
		leaveAfter := time.Duration(0)
		if r.Float64() < s.Traffic.EarlyLeaveFraction {
			leaveAfter = time.Duration(float64(timeout) * r.Float64())
		}
		if timeout < time.Millisecond || ctx.Err() != nil {
			return
		}
		t := &attempt{load: l, arrival: a, arrivalIndex: arrivalIndex, attemptNumber: attemptNumber, id: r.Uint64()>>12 | 1,
			timeout: timeout, leaveAfter: leaveAfter}
		v := t.run(ctx)
		if v.status == http.StatusOK {
			return
		}
		wait := s.Scaled(s.Traffic.Backoff)
		if honorsRetryAfter && v.retryAfter > 0 {
			wait = v.retryAfter
		}
		if wait > 0 {
			pause(ctx, wait)
		}
	}
}

// attempt is one attempt of a request. Each has its own id.
type attempt struct {
	load                        *Load
	arrival                     *scenario.Arrival
	arrivalIndex, attemptNumber int
	id                          uint64
	timeout, leaveAfter         time.Duration
	leaveRequested              atomic.Bool // set by LeaveEarly
}

// timeoutMS is the value of X-Timeout-Ms, in milliseconds.
func (t *attempt) timeoutMS() int64 { return max(t.timeout.Milliseconds(), 1) }

func (t *attempt) note(k record.Kind, e record.Event) {
	e.Kind, e.Request, e.Sidecar = k, t.id, int32(t.arrival.Sidecar)
	e.Server, e.Class, e.N = record.None, int16(t.arrival.Class), max(e.N, int64(t.arrivalIndex))
	t.load.Log.Add(e)
}

// run sends the attempt and waits for its end.
func (t *attempt) run(ctx context.Context) attemptResult {
	s := t.load.Plan.Scenario
	class := &s.Classes[t.arrival.Class]
	method, body := http.MethodGet, []byte(nil)
	if class.Effect == scenario.EffectNonIdempotent {
		method, body = http.MethodPost, stock.Body(^t.id, class.BodyBytes)
	}
	sum := record.Sum(body)
	t.load.Requests.Add(t.id, stock.ClientRequest{Method: method, Class: t.arrival.Class, Tenant: t.arrival.Tenant, BodySum: sum,
		Work: t.arrival.Work, WorkFactor: class.AttemptWorkFactor, ResponseBytes: s.Traffic.ResponseBytes})
	head := fmt.Appendf(nil, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %016x\r\nX-Priority-Class: %s\r\nX-Tenant-Id: %s\r\nX-Timeout-Ms: %d\r\n",
		method, t.id, class.Name, s.Tenants[t.arrival.Tenant].Name, t.timeoutMS())
	if s.HasRoutes() && !t.arrival.Keyless {
		head = fmt.Appendf(head, "X-Route-Key: %016x\r\n", t.arrival.Seed) // the same for each attempt
	}
	if body != nil {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(body))
	}
	message := append(append(head, "\r\n"...), body...)
	behaviour := t.drawBehaviour()
	if behaviour.pipelined == pipelinedWithRequest {
		message = append(message, partialNextRequest...)
	}
	p := &t.load.pools[t.arrival.Sidecar]
	addr := t.load.Addr(t.arrival.Sidecar)
	closed := func() bool { return t.load.Closed != nil && t.load.Closed(t.arrival.Sidecar) }
	c := p.take(addr, closed())
	for {
		reused := c != nil
		if c == nil {
			if closed() {
				t.note(record.NotSent, record.Event{Note: "no connection is open, and no new one may be opened"})
				return attemptResult{notSent: true}
			}
			var err error
			if c, err = dial(ctx, addr, min(t.timeout, dialTimeout)); err != nil {
				t.note(record.NotSent, record.Event{Note: "connect: " + err.Error()})
				return attemptResult{notSent: true}
			}
		}
		v, resend := t.exchange(ctx, c, p, message, sum, method, behaviour)
		if !resend || !reused {
			return v
		}
		// A reused connection was closed while the request was sent: send it again on a new one.
		c = nil
	}
}

// exchange sends the attempt on one connection. resend is set if it was closed without a byte of an answer.
func (t *attempt) exchange(ctx context.Context, c *conn, p *pool, message []byte, sum uint64, method string,
	behaviour clientBehaviour) (v attemptResult, resend bool) {
	started := time.Now()
	_ = c.SetDeadline(started.Add(t.timeout)) // on a closed connection the write below fails
	if _, err := c.Write(message); err != nil {
		c.Close()
		t.note(record.NotSent, record.Event{Note: "write: " + err.Error()})
		return attemptResult{notSent: true}, true
	}
	t.note(record.Sent, record.Event{Attempt: int16(t.attemptNumber), Sum: sum, Work: float64(t.timeoutMS())})
	if behaviour.pipelined == pipelinedLater {
		// A write error means that the connection is closed, which the read below reports.
		defer time.AfterFunc(pipelineDelay, func() { _, _ = io.WriteString(c, partialNextRequest) }).Stop()
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if t.leaveAfter > 0 {
		_ = c.SetDeadline(started.Add(t.leaveAfter))
	}
	t.load.waiting.add(t, c)
	_, err := c.in.Peek(1)
	t.load.waiting.remove(t)
	if err != nil {
		switch {
		case ctx.Err() != nil:
			t.note(record.NoAnswer, record.Event{Note: record.RunEnded})
			c.Close()
			return attemptResult{}, false
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.Close()
			t.note(record.ConnectionLost, record.Event{Note: "no byte of an answer: " + err.Error()})
			return attemptResult{}, true
		case t.leaveAfter > 0 || t.leaveRequested.Load():
			t.leave(c, behaviour.leaveWay)
			return attemptResult{}, false
		}
		t.note(record.Overdue, record.Event{})
		// The sidecar still has to answer the accepted request; the client's retry does not wait for that.
		t.load.wg.Go(func() {
			defer c.Close()
			_ = c.SetDeadline(started.Add(t.timeout + lateAnswerGrace))
			if _, err := c.in.Peek(1); err != nil {
				t.note(record.NoAnswer, record.Event{Note: err.Error()})
				return
			}
			t.readAnswer(c, method)
		})
		return attemptResult{}, false
	}
	_ = c.SetDeadline(time.Now().Add(max(t.timeout, time.Second)))
	v, keep := t.readAnswer(c, method)
	if !keep || behaviour.pipelined != notPipelined {
		c.Close()
		return v, false
	}
	p.put(c)
	return v, false
}

// readAnswer reads the answer whose first byte has arrived.
func (t *attempt) readAnswer(c *conn, method string) (v attemptResult, keep bool) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		t.note(record.ConnectionLost, record.Event{Note: "in its answer: " + err.Error()})
		return attemptResult{}, false
	}
	e := record.Event{Status: int32(resp.StatusCode), Sum: record.Sum(body)}
	if resp.StatusCode == http.StatusOK {
		e.Want = record.Sum(stock.Body(t.id, t.load.Plan.Scenario.Traffic.ResponseBytes))
	}
	t.note(record.Answered, e)
	if c.in.Buffered() > 0 {
		t.note(record.ExtraBytes, record.Event{})
		return attemptResult{status: resp.StatusCode}, false
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		v.retryAfter = time.Duration(after * float64(time.Second))
	}
	v.status = resp.StatusCode
	c.lastAttempt = t
	return v, !resp.Close
}

// conn is a connection to a sidecar.
type conn struct {
	net.Conn
	in          *bufio.Reader
	addr        string
	idleSince   time.Time
	lastAttempt *attempt // the attempt whose answer it carried last
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

// take removes and returns an open connection to an address: the most recently used, or the least recently used if
// oldest is set; nil: there is none.
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
		if c.usable() && c.addr == addr && time.Since(c.idleSince) < maxIdle {
			return c
		}
		c.Close()
	}
}

func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.usable()
		c.Close()
	}
	p.idle = nil
}

// usable tells whether an idle connection is open and has no unread bytes. Unread bytes belong to no request and are
// recorded.
func (c *conn) usable() bool {
	if c.in.Buffered() > 0 {
		c.lastAttempt.note(record.ExtraBytes, record.Event{})
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
		c.lastAttempt.note(record.ExtraBytes, record.Event{})
	}
	return err == nil && errors.Is(failed, unix.EAGAIN)
}
