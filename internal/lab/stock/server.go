package stock

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// ClientRequest is a request as a client sent it, which a server must receive unchanged.
type ClientRequest struct {
	Method  string
	Class   int
	Tenant  int
	BodySum uint64  // checksum of the body
	Work    float64 // work of the request, in milliseconds of a core of speed 1
	// WorkFactor returns the factor for the work of an attempt at a server; nil means 1.
	WorkFactor    func(attempt uint64, server int) float64
	ResponseBytes int // size of the response body
}

// RequestLog records the requests that clients have sent.
type RequestLog interface {
	// Find returns the request with this ID; false if no client has sent one.
	Find(id uint64) (ClientRequest, bool)
}

// Body returns n bytes derived from an ID. The body of a correct response is derived from the request ID, so a client
// that receives other bytes has the response to another request.
func Body(id uint64, n int) []byte {
	b := make([]byte, 0, n+16)
	for x := id; len(b) < n; x = x*6364136223846793005 + 1442695040888963407 {
		b = strconv.AppendUint(b, x, 16)
		b = append(b, '\n')
	}
	return b[:n]
}

// Pod is a group of servers that may share a capacity limit, with the timer that advances their models.
type Pod struct {
	log *record.Log

	mu         sync.Mutex
	group      group
	timer      *time.Timer
	nextUpdate time.Duration
	closed     bool
}

// NewPod returns an empty pod whose servers together have this fraction of their capacity (1 means no limit).
func NewPod(log *record.Log, limit float64) *Pod {
	p := &Pod{log: log, group: group{limit: limit}, nextUpdate: never}
	p.timer = time.AfterFunc(time.Hour, func() { p.update(func(time.Duration) {}) })
	return p
}

// update advances the pod to now, applies a change, and calls onStart and onDone of the jobs that started or completed.
func (p *Pod) update(change func(now time.Duration)) {
	p.mu.Lock()
	now := p.log.Now()
	completed, started := p.group.advance(now)
	change(now)
	completedAfter, startedAfter := p.group.advance(now)
	started = append(started, startedAfter...)
	completed = append(completed, completedAfter...)
	if p.nextUpdate = p.group.next(now); p.nextUpdate != never && !p.closed {
		p.timer.Reset(p.nextUpdate - now)
	}
	p.mu.Unlock()
	for _, j := range started {
		j.onStart()
	}
	for _, j := range completed {
		j.onDone(true)
	}
}

// Close stops the pod's timer.
func (p *Pod) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.timer.Stop()
}

// Behaviour is the faults of a server that are in force. The zero value means no faults.
type Behaviour struct {
	Slow       float64 // slowdown factor; 0 means normal speed
	Fail       float64 // fraction of requests that get status 500 immediately
	Hang       bool    // requests are accepted and never worked on
	Drop       float64 // fraction of requests whose response is never sent
	Drain      bool    // all new requests are rejected
	Reset      float64 // fraction of requests whose connection is reset during their work
	RejectLate float64 // fraction of requests that are rejected late, after a random part of their work time
	// ExtraResponse is the fraction of responses that are followed, some milliseconds later, by a second response or
	// half a line.
	ExtraResponse float64
	// FailClasses and HeavyClasses are the classes of requests that Fail and Heavy affect; empty means all.
	FailClasses, HeavyClasses []int
	Heavy                     float64 // factor for the work of requests; 0 means 1
	// Idle is the time after which an idle connection is closed. It applies if it is over 0 and Spec.Idle is
	// longer or 0.
	Idle       time.Duration
	ForgetIdle bool   // an expired connection stays open and is reset when the sidecar next writes to it
	Defect     string // planted defect: "wrong-body" or empty
}

// Server is a stand-in server on a port.
type Server struct {
	Number int
	Port   *relay.Port

	log             *record.Log
	requests        RequestLog
	pod             *Pod
	model           *model
	spec            Spec
	healthCheckWork float64 // work of each health check, in ms of a core; negative: health checks are not allowed

	behaviour     atomic.Pointer[Behaviour]
	observe       func(server, sidecar int, req *http.Request, body []byte)
	openConnCount atomic.Int64
	lastSerial    atomic.Int32
	up            atomic.Bool
	// OnOverload is called in a goroutine for each request under which the server crashes; may be nil.
	OnOverload func()

	mu   sync.Mutex
	rng  *rand.Rand
	idle map[*relay.Conn]time.Time // connections without a request, with the start of their idle time
}

// Options are the settings of a server besides its Spec.
type Options struct {
	Number          int
	Links           func(sidecar int) *relay.Link
	Seed            uint64
	HealthCheckWork float64 // work of each health check, in ms of a core; negative: health checks are not allowed
	// Observe is called for each completely received request before it is checked; may be nil.
	Observe func(server, sidecar int, req *http.Request, body []byte)
}

// Start adds a server to a pod and opens its port.
func Start(log *record.Log, requests RequestLog, pod *Pod, spec Spec, o Options) (*Server, error) {
	s := &Server{
		Number: o.Number, observe: o.Observe, log: log, requests: requests, pod: pod, spec: spec, model: newModel(spec), healthCheckWork: o.HealthCheckWork,
		rng: rand.New(rand.NewPCG(o.Seed, uint64(o.Number))), idle: map[*relay.Conn]time.Time{},
	}
	s.behaviour.Store(&Behaviour{})
	s.up.Store(true)
	pod.update(func(time.Duration) { pod.group.models = append(pod.group.models, s.model) })
	var err error
	if s.Port, err = relay.Listen(o.Links, s.serve); err != nil {
		return nil, fmt.Errorf("server %d: %w", o.Number, err)
	}
	return s, nil
}

// SetBehaviour changes the faults of the server. Open idle connections get new deadlines.
func (s *Server) SetBehaviour(change func(*Behaviour)) {
	s.mu.Lock()
	b := *s.behaviour.Load()
	change(&b)
	s.behaviour.Store(&b)
	for c, since := range s.idle {
		s.setIdleDeadline(c, since)
	}
	s.mu.Unlock()
	s.pod.update(func(time.Duration) {
		s.model.slowdown, s.model.paused = max(b.Slow, 1), b.Hang
	})
}

// Kill simulates the death of the process: open connections are reset and new ones refused.
func (s *Server) Kill() {
	s.up.Store(false)
	s.Port.Kill()
	var lost []*job
	s.pod.update(func(time.Duration) {
		lost = append(append(lost, s.model.running...), s.model.queue...)
		s.model.running, s.model.queue = nil, nil
		for _, j := range lost {
			j.state = inactive
		}
	})
	for _, j := range lost {
		j.onDone(false)
	}
}

// Restart simulates a new start of the process, which begins in slow start.
func (s *Server) Restart() error {
	s.pod.update(s.model.restart)
	s.up.Store(true)
	if err := s.Port.Open(); err != nil {
		return fmt.Errorf("server %d: %w", s.Number, err)
	}
	return nil
}

// Up reports whether the process runs.
func (s *Server) Up() bool { return s.up.Load() }

// WorkDone returns the total work done, in milliseconds of a core of speed 1.
func (s *Server) WorkDone() float64 {
	var w float64
	s.pod.update(func(time.Duration) { w = s.model.workDone })
	return w
}

// Close ends the server and closes its port permanently.
func (s *Server) Close() {
	s.Kill()
	s.Port.Close()
}

func (s *Server) drawChance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < probability
}

var errHung = errors.New("no response to a health check: the server hangs")

// setIdleDeadline sets when a connection that is idle since this time expires. s.mu is held.
func (s *Server) setIdleDeadline(c *relay.Conn, since time.Time) {
	limit, faults := s.spec.Idle, s.behaviour.Load()
	if faults.Idle > 0 && (limit <= 0 || faults.Idle < limit) {
		limit = faults.Idle
	}
	deadline := time.Time{}
	if limit > 0 {
		deadline = since.Add(limit)
	}
	_ = c.SetReadDeadline(deadline) // fails on a closed connection, as the next read does
}

// markIdle records that a connection has no request, and sets its deadline.
func (s *Server) markIdle(c *relay.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.idle[c] = now
	s.setIdleDeadline(c, now)
}

// markNotIdle records that a connection has a request or has ended, and removes its deadline.
func (s *Server) markNotIdle(c *relay.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

// handleExpired handles a connection whose idle time is over. Its caller closes the connection afterwards. With
// ForgetIdle the connection first stays open until bytes arrive, and is then reset.
func (s *Server) handleExpired(c *relay.Conn, in *bufio.Reader, err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !s.behaviour.Load().ForgetIdle {
		return
	}
	s.markNotIdle(c)
	s.openConnCount.Add(-1) // a forgotten connection no longer counts
	defer s.openConnCount.Add(1)
	if _, err := in.Peek(1); err == nil {
		c.Reset()
	}
}

// serve reads requests from one connection until it ends.
func (s *Server) serve(c *relay.Conn) {
	open := s.openConnCount.Add(1)
	defer s.openConnCount.Add(-1)
	defer s.markNotIdle(c)
	serial := int16(s.lastSerial.Add(1))
	in := bufio.NewReaderSize(c, 4<<10)
	handshakeWork := s.spec.Handshake // extra work of the first request on the connection
	for {
		if in.Buffered() == 0 {
			s.markIdle(c)
		}
		if _, err := in.Peek(1); err != nil {
			s.handleExpired(c, in, err)
			return
		}
		firstByteAt := s.log.Now()
		s.markNotIdle(c)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if s.spec.MaxConns > 0 && open > int64(s.spec.MaxConns) {
			_, _ = io.Copy(io.Discard, req.Body)
			_ = writeResponse(c, 503, []byte("too many connections\n"), "X-Not-Processed: 1\r\nConnection: close\r\n")
			return
		}
		if req.URL.Path != "/api" {
			if s.serveOther(c, in, req) != nil {
				return
			}
			continue
		}
		if err := s.serveRequest(c, in, req, firstByteAt, serial, handshakeWork); err != nil {
			return
		}
		handshakeWork = 0
	}
}

// serveOther serves a health check, and rejects paths that are unknown.
func (s *Server) serveOther(c *relay.Conn, in *bufio.Reader, req *http.Request) error {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	if s.healthCheckWork < 0 || req.URL.Path != "/health/live" && req.URL.Path != "/stats" {
		return writeResponse(c, 404, nil, "")
	}
	status := 200
	b := s.behaviour.Load()
	if b.Drain {
		status = 503
	}
	if b.Hang {
		_, err := in.Peek(1) // blocks until the sidecar closes the connection
		return errors.Join(err, errHung)
	}
	s.pod.update(func(time.Duration) { s.model.workDone += s.healthCheckWork })
	return writeResponse(c, status, nil, "")
}

// serveRequest serves one request whose header has been read, and waits until its connection can carry the next.
func (s *Server) serveRequest(c *relay.Conn, in *bufio.Reader, req *http.Request, firstByteAt time.Duration, serial int16, handshakeWork float64) error {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return err
	}
	lastByteAt := s.log.Now()
	if s.observe != nil {
		s.observe(s.Number, c.Caller, req, body)
	}
	v := &requestRun{server: s, conn: c, serial: serial, ended: make(chan struct{})}
	sum := record.Sum(body)
	sent, mistake := s.match(v, req, sum)
	if mistake != "" {
		return s.rejectUnknown(v, mistake)
	}
	event := record.Event{Kind: record.FirstByte, T: firstByteAt, Request: v.id, Sidecar: int32(c.Caller),
		Server: int32(s.Number), Attempt: serial, Class: int16(sent.Class), Tenant: int16(sent.Tenant),
		Canary: req.Header.Get("X-Route-Canary") == "1"}
	if mistake := readAttemptHeaders(req.Header, &event); mistake != "" {
		return s.rejectUnknown(v, mistake)
	}
	s.log.Add(event)
	event.Kind, event.T, event.Sum = record.LastByte, lastByteAt, sum
	s.log.Add(event)
	c.OnPeerClose(v.recordSidecarClosed)
	s.process(v, sent, handshakeWork)
	return s.awaitNext(v, in)
}

// match returns what a client sent under the ID of a request. The mistake is empty if the request is unchanged.
func (s *Server) match(v *requestRun, req *http.Request, sum uint64) (sent ClientRequest, mistake string) {
	id := req.Header.Get("X-Request-ID")
	if id == "" {
		return sent, "without an id"
	}
	var err error
	if v.id, err = strconv.ParseUint(id, 16, 64); err != nil {
		return sent, "with the id " + strconv.Quote(id)
	}
	sent, known := s.requests.Find(v.id)
	switch {
	case !known:
		return sent, "with an id that no client sent"
	case sent.Method != req.Method || sent.BodySum != sum:
		return sent, fmt.Sprintf("in another form: %s, body %016x", req.Method, sum)
	}
	return sent, ""
}

// readAttemptHeaders reads the headers that a sidecar adds to an attempt. The mistake is empty if they are valid.
func readAttemptHeaders(header http.Header, event *record.Event) (mistake string) {
	var err error
	if rev := header.Get("X-Route-Rev"); rev != "" {
		if event.Rev, err = strconv.ParseInt(rev, 10, 64); err != nil {
			return "with the route revision " + strconv.Quote(rev)
		}
	}
	if wait := header.Get("X-Timeout-Ms"); wait != "" {
		if event.N, err = strconv.ParseInt(wait, 10, 64); err != nil {
			return "with the time " + strconv.Quote(wait)
		}
	}
	return ""
}

// rejectUnknown records a request that no client sent, or not in this form, and responds with status 400.
func (s *Server) rejectUnknown(v *requestRun, mistake string) error {
	s.log.Add(record.Event{Kind: record.UnknownRequest, Request: v.id, Sidecar: int32(v.conn.Caller), Server: int32(s.Number),
		Attempt: v.serial, Class: record.None, Note: mistake})
	return writeResponse(v.conn, 400, nil, "")
}

// awaitNext waits for the end of a request and for the next bytes on its connection, which belong to the next request.
// If the connection ends first, the sidecar has cancelled the request, or the connection expired after its response.
func (s *Server) awaitNext(v *requestRun, in *bufio.Reader) error {
	_, err := in.Peek(1)
	if v.replied.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		<-v.ended
		s.handleExpired(v.conn, in, err)
		return err
	}
	if err != nil {
		if !v.replied.Load() {
			v.recordSidecarClosed() // the sidecar has closed the connection, or this server was killed
		}
		select {
		case <-v.ended:
		default:
			s.cancel(v)
		}
	}
	<-v.ended
	return err
}

// affects reports whether a fault limited to these classes affects a class; no classes means all.
func affects(classes []int, class int) bool {
	return len(classes) == 0 || slices.Contains(classes, class)
}

// maxExtraDelay is the longest time from a response to the extra bytes that follow it.
const maxExtraDelay = 8 * time.Millisecond

// writeExtra writes extra bytes within maxExtraDelay after a response, if the connection is idle then: the response
// again, or the first half of its status line.
func (s *Server) writeExtra(c *relay.Conn, status int, body []byte) {
	delay := time.Duration(s.randomFraction() * float64(maxExtraDelay))
	half := s.randomFraction() < 0.5
	time.AfterFunc(delay, func() {
		if !s.isIdle(c) {
			return
		}
		if half {
			_, _ = c.Write([]byte("HTTP/1.1 2")) // fails if the connection has ended
			return
		}
		_ = writeResponse(c, status, body, "") // fails if the connection has ended
	})
}

// isIdle reports whether a connection has no request.
func (s *Server) isIdle(c *relay.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, idle := s.idle[c]
	return idle
}

// writeResponse writes a response. header is further header lines, each with its line end.
func writeResponse(c *relay.Conn, status int, body []byte, header string) error {
	b := make([]byte, 0, 128+len(body))
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), header, len(body))
	_, err := c.Write(append(b, body...))
	return err
}
