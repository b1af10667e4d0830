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
	// lateResponseGrace is how long after the timeout of its attempt a client still reads. A response within this
	// time is recorded as late. Without a response, a NoResponse event is recorded.
	lateResponseGrace = 500 * time.Millisecond
	// maxIdle is how long a connection may be idle before it is discarded.
	maxIdle     = 30 * time.Second
	dialTimeout = time.Second
)

// RequestLog holds the sent requests by ID, for the simulated servers to look up.
type RequestLog struct {
	shards [16]struct {
		mu       sync.RWMutex
		requests map[uint64]stock.ClientRequest
	}
}

// NewRequestLog returns an empty log.
func NewRequestLog() *RequestLog {
	l := &RequestLog{}
	for i := range l.shards {
		l.shards[i].requests = map[uint64]stock.ClientRequest{}
	}
	return l
}

// Find returns the request with an ID, and whether the log has it.
func (l *RequestLog) Find(id uint64) (stock.ClientRequest, bool) {
	shard := &l.shards[id%16]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	request, ok := shard.requests[id]
	return request, ok
}

// Add stores a request under its ID.
func (l *RequestLog) Add(id uint64, request stock.ClientRequest) {
	shard := &l.shards[id%16]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.requests[id] = request
}

// Load sends a plan's arrivals.
type Load struct {
	Plan     *scenario.Plan
	Log      *record.Log
	Requests *RequestLog
	// Addr returns the address where the clients of a sidecar connect at this moment.
	Addr func(sidecar int) string
	// DialsBlocked reports whether a sidecar's clients must not open connections at this moment. While it reports
	// true, they use their open connections round-robin, so that each is exercised. nil: they may always open them.
	DialsBlocked func(sidecar int) bool

	pools    []pool
	awaiting awaitingResponse
	inFlight atomic.Int64
	wg       sync.WaitGroup
}

// InFlight returns the number of requests in flight. A request and its retries count once.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Run sends each arrival's request at its time and waits until all have ended. It returns the scheduling delay of each
// arrival: how much later than planned this process started it.
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
	status     int // status code of the response; 0: no response
	retryAfter time.Duration
	notSent    bool // no connection could be opened or the request could not be written
}

// sendRequest sends one request and its retries.
func (l *Load) sendRequest(ctx context.Context, arrivalIndex int, a *scenario.Arrival) {
	s := l.Plan.Scenario
	rng := rand.New(rand.NewPCG(a.Seed, uint64(arrivalIndex)))
	class := &s.Classes[a.Class]
	deadline := a.At + s.Scaled(class.Deadline)
	honorsRetryAfter := rng.Float64() < s.Traffic.RetryAfterFraction
	for attemptNumber := 1; attemptNumber <= 1+s.Traffic.Retries; attemptNumber++ {
		noise := 0.9 + 0.2*rng.Float64() // factor of the attempt's timeout, random for each attempt
		timeout := min(time.Duration(float64(s.Scaled(class.Deadline))*min(s.Traffic.AttemptTimeoutFraction*noise, 1)), deadline-l.Log.Now())
		if s.Traffic.Retries == 0 {
			timeout = deadline - l.Log.Now()
		}
		leaveAfter := time.Duration(0)
		if rng.Float64() < s.Traffic.EarlyLeaveFraction {
			leaveAfter = time.Duration(float64(timeout) * rng.Float64())
		}
		if timeout < time.Millisecond || ctx.Err() != nil {
			return
		}
		t := &attempt{load: l, arrival: a, arrivalIndex: arrivalIndex, attemptNumber: attemptNumber, id: rng.Uint64()>>12 | 1,
			timeout: timeout, leaveAfter: leaveAfter}
		result := t.run(ctx)
		if result.status == http.StatusOK {
			return
		}
		wait := s.Scaled(s.Traffic.Backoff)
		if honorsRetryAfter && result.retryAfter > 0 {
			wait = result.retryAfter
		}
		if wait > 0 {
			pause(ctx, wait)
		}
	}
}

// attempt is one attempt of a request. Each has its own ID.
type attempt struct {
	load                        *Load
	arrival                     *scenario.Arrival
	arrivalIndex, attemptNumber int
	id                          uint64
	timeout, leaveAfter         time.Duration
	leaveRequested              atomic.Bool // whether LeaveEarly has made the client leave
}

// timeoutMS returns the value of X-Timeout-Ms, in milliseconds.
func (t *attempt) timeoutMS() int64 { return max(t.timeout.Milliseconds(), 1) }

// recordEvent adds an event of the attempt to the log.
func (t *attempt) recordEvent(k record.Kind, e record.Event) {
	e.Kind, e.Request, e.Sidecar = k, t.id, int32(t.arrival.Sidecar)
	e.Server, e.Class, e.N = record.None, int16(t.arrival.Class), max(e.N, int64(t.arrivalIndex))
	t.load.Log.Add(e)
}

// run sends the attempt and waits for its end. If a reused connection turns out to be closed, it sends the attempt
// again.
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
		head = fmt.Appendf(head, "X-Route-Key: %016x\r\n", t.arrival.Seed) // the same key for all attempts of a request
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
	dialsBlocked := func() bool { return t.load.DialsBlocked != nil && t.load.DialsBlocked(t.arrival.Sidecar) }
	c := p.take(addr, dialsBlocked())
	for {
		reused := c != nil
		if c == nil {
			if dialsBlocked() {
				t.recordEvent(record.NotSent, record.Event{Note: "no open connection, and new connections are blocked"})
				return attemptResult{notSent: true}
			}
			var err error
			if c, err = dial(ctx, addr, min(t.timeout, dialTimeout)); err != nil {
				t.recordEvent(record.NotSent, record.Event{Note: "connect: " + err.Error()})
				return attemptResult{notSent: true}
			}
		}
		result, resend := t.exchange(ctx, c, p, message, sum, method, behaviour)
		if !resend || !reused {
			return result
		}
		// The reused connection was closed while the request was sent: send the request again on a new one.
		c = nil
	}
}

// exchange sends the attempt on one connection and reads the response. resend is set if the connection was closed
// before the first byte of the response.
func (t *attempt) exchange(ctx context.Context, c *conn, p *pool, message []byte, sum uint64, method string,
	behaviour clientBehaviour) (result attemptResult, resend bool) {
	started := time.Now()
	_ = c.SetDeadline(started.Add(t.timeout)) // on a closed connection the write below fails
	if _, err := c.Write(message); err != nil {
		c.Close()
		t.recordEvent(record.NotSent, record.Event{Note: "write: " + err.Error()})
		return attemptResult{notSent: true}, true
	}
	t.recordEvent(record.Sent, record.Event{Attempt: int16(t.attemptNumber), Sum: sum, Work: float64(t.timeoutMS())})
	if behaviour.pipelined == pipelinedLater {
		// A write error means that the connection is closed, which the read below detects.
		defer time.AfterFunc(pipelineDelay, func() { _, _ = io.WriteString(c, partialNextRequest) }).Stop()
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if t.leaveAfter > 0 {
		_ = c.SetDeadline(started.Add(t.leaveAfter))
	}
	t.load.awaiting.add(t, c)
	_, err := c.reader.Peek(1)
	t.load.awaiting.remove(t)
	if err != nil {
		switch {
		case ctx.Err() != nil:
			t.recordEvent(record.NoResponse, record.Event{Note: record.RunEnded})
			c.Close()
			return attemptResult{}, false
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.Close()
			t.recordEvent(record.ConnectionLost, record.Event{Note: "before the response: " + err.Error()})
			return attemptResult{}, true
		case t.leaveAfter > 0 || t.leaveRequested.Load():
			t.leave(c, behaviour.leaveMode)
			return attemptResult{}, false
		}
		t.recordEvent(record.Overdue, record.Event{})
		// The sidecar must still respond to the accepted request. The client's retry does not wait for the response.
		t.load.wg.Go(func() {
			defer c.Close()
			_ = c.SetDeadline(started.Add(t.timeout + lateResponseGrace))
			if _, err := c.reader.Peek(1); err != nil {
				t.recordEvent(record.NoResponse, record.Event{Note: err.Error()})
				return
			}
			t.readResponse(c, method)
		})
		return attemptResult{}, false
	}
	_ = c.SetDeadline(time.Now().Add(max(t.timeout, time.Second)))
	result, keep := t.readResponse(c, method)
	if !keep || behaviour.pipelined != notPipelined {
		c.Close()
		return result, false
	}
	p.put(c)
	return result, false
}

// readResponse reads the response whose first byte has arrived. keep is set if the connection can be reused.
func (t *attempt) readResponse(c *conn, method string) (result attemptResult, keep bool) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		t.recordEvent(record.ConnectionLost, record.Event{Note: "within the response: " + err.Error()})
		return attemptResult{}, false
	}
	e := record.Event{Status: int32(resp.StatusCode), Sum: record.Sum(body)}
	if resp.StatusCode == http.StatusOK {
		e.Want = record.Sum(stock.Body(t.id, t.load.Plan.Scenario.Traffic.ResponseBytes))
	}
	t.recordEvent(record.ResponseReceived, e)
	if c.reader.Buffered() > 0 {
		t.recordEvent(record.ExtraBytes, record.Event{})
		return attemptResult{status: resp.StatusCode}, false
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		result.retryAfter = time.Duration(after * float64(time.Second))
	}
	result.status = resp.StatusCode
	c.lastAttempt = t
	return result, !resp.Close
}

// conn is a connection to a sidecar.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	addr        string
	idleSince   time.Time
	lastAttempt *attempt // the attempt that received the last response
}

// dial opens a connection to a sidecar within wait.
func dial(ctx context.Context, addr string, wait time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: wait, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, 4<<10), addr: addr}, nil
}

// pool keeps the idle connections to one sidecar.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// take removes and returns an open connection to an address, or nil if there is none. It returns the most recently used
// connection, or the least recently used if oldest is set.
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

// put adds an idle connection.
func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// close closes all idle connections and records unread bytes on them.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.usable()
		c.Close()
	}
	p.idle = nil
}

// usable reports whether an idle connection is open and has no unread bytes. Unread bytes belong to no request and are
// recorded as an ExtraBytes event.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		c.lastAttempt.recordEvent(record.ExtraBytes, record.Event{})
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	n, recvErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if n > 0 {
		c.lastAttempt.recordEvent(record.ExtraBytes, record.Event{})
	}
	return err == nil && errors.Is(recvErr, unix.EAGAIN)
}
