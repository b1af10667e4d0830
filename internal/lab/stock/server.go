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

// Ask is what a client sent, as a server has to find it.
type Ask struct {
	Method string
	Class  int
	Tenant int
	Sum    uint64  // of the body
	Work   float64 // milliseconds of a core of speed 1
	// Vary is by how much the work of an attempt at a server differs, as a factor; nil: not at all.
	Vary   func(try uint64, server int) float64
	Answer int // bytes
}

// RequestLog knows what clients have sent.
type RequestLog interface {
	// Look finds a request that a client has sent, by its id.
	Look(id uint64) (Ask, bool)
}

// Body is the one right answer to a request: whoever gets other bytes was served something else.
func Body(id uint64, n int) []byte {
	b := make([]byte, 0, n+16)
	for x := id; len(b) < n; x = x*6364136223846793005 + 1442695040888963407 {
		b = strconv.AppendUint(b, x, 16)
		b = append(b, '\n')
	}
	return b[:n]
}

// Pod is servers that may share a limit, with the timer that moves them.
type Pod struct {
	log *record.Log

	mu     sync.Mutex
	group  group
	timer  *time.Timer
	due    time.Duration
	closed bool
}

// NewPod makes an empty pod that has so much of its servers' capacity (1: all of it).
func NewPod(log *record.Log, limit float64) *Pod {
	p := &Pod{log: log, group: group{limit: limit}, due: never}
	p.timer = time.AfterFunc(time.Hour, func() { p.change(func(time.Duration) {}) })
	return p
}

// change brings the pod to now, applies a change and tells the jobs what has come of them.
func (p *Pod) change(f func(now time.Duration)) {
	p.mu.Lock()
	now := p.log.Now()
	complete, begin := p.group.advance(now)
	f(now)
	more, begin2 := p.group.advance(now)
	begin = append(begin, begin2...)
	complete = append(complete, more...)
	if p.due = p.group.next(now); p.due != never && !p.closed {
		p.timer.Reset(p.due - now)
	}
	p.mu.Unlock()
	for _, j := range begin {
		j.onStart()
	}
	for _, j := range complete {
		j.done(true)
	}
}

// Close stops the pod's timer.
func (p *Pod) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.timer.Stop()
}

// Behaviour is what is wrong with a server for a while. The zero value is a sound one.
type Behaviour struct {
	Slow  float64 // times slower; 0: not
	Fail  float64 // share of requests answered 500 at once
	Hang  bool    // takes requests and does nothing
	Drop  float64 // share of requests whose answer is never sent
	Drain bool    // turns all new requests away
	Reset float64 // share of requests whose connection is reset while they are worked on
	Turn  float64 // share of requests that are turned away, after a part of the time of their work
	// Second is the share of answers after which something more comes, some milliseconds late: a second answer or half a line.
	Second float64
	// FailOf and HeavyOf are the classes of requests that Fail and Heavy concern; empty: all.
	FailOf, HeavyOf []int
	Heavy           float64 // times the work of these requests; 0: as it is
	// Idle is after what time without a request a connection is closed, where it is over 0 and sooner than the spec has it.
	Idle   time.Duration
	Forget bool   // it is not closed but forgotten: what is written to it is answered with a reset
	Defect string // planted: "wrong-body"
}

// Server is one stand-in.
type Server struct {
	Number int
	Port   *relay.Port

	log   *record.Log
	book  RequestLog
	pod   *Pod
	model *model
	spec  Spec
	probe float64 // work of a probe; negative: probes are not allowed

	behave    atomic.Pointer[Behaviour]
	overhears func(server, sidecar int, req *http.Request, body []byte)
	conns     atomic.Int64
	serial    atomic.Int32
	up        atomic.Bool
	// OnFall is called once when it is pushed over.
	OnFall func()

	mu   sync.Mutex
	rng  *rand.Rand
	idle map[*relay.Conn]time.Time // connections without a request, and since when
}

// Options are what a server is started with beside its spec.
type Options struct {
	Number int
	Links  func(sidecar int) *relay.Link
	Seed   uint64
	Probe  float64 // milliseconds of work for each probe; negative: not allowed
	// Overhears is told of each request that is whole, before it is judged; nil: nobody is.
	Overhears func(server, sidecar int, req *http.Request, body []byte)
}

// Start adds a server to a pod and listens.
func Start(log *record.Log, book RequestLog, pod *Pod, spec Spec, o Options) (*Server, error) {
	s := &Server{
		Number: o.Number, overhears: o.Overhears, log: log, book: book, pod: pod, spec: spec, model: newModel(spec), probe: o.Probe,
		rng: rand.New(rand.NewPCG(o.Seed, uint64(o.Number))), idle: map[*relay.Conn]time.Time{},
	}
	s.behave.Store(&Behaviour{})
	s.up.Store(true)
	pod.change(func(time.Duration) { pod.group.models = append(pod.group.models, s.model) })
	var err error
	if s.Port, err = relay.Listen(o.Links, s.serve); err != nil {
		return nil, fmt.Errorf("server %d: %w", o.Number, err)
	}
	return s, nil
}

// Behave changes what is wrong with it.
func (s *Server) Behave(change func(*Behaviour)) {
	s.mu.Lock()
	b := *s.behave.Load()
	change(&b)
	s.behave.Store(&b)
	for c, since := range s.idle {
		s.until(c, since)
	}
	s.mu.Unlock()
	s.pod.change(func(time.Duration) {
		s.model.slow, s.model.paused = max(b.Slow, 1), b.Hang
	})
}

// Kill ends its process: connections are reset and new ones refused.
func (s *Server) Kill() {
	s.up.Store(false)
	s.Port.Kill()
	var lost []*job
	s.pod.change(func(time.Duration) {
		lost = append(append(lost, s.model.running...), s.model.queue...)
		s.model.running, s.model.queue = nil, nil
		for _, j := range lost {
			j.where = nowhere
		}
	})
	for _, j := range lost {
		j.done(false)
	}
}

// Boot starts its process again; it is cold.
func (s *Server) Boot() error {
	s.pod.change(s.model.restart)
	s.up.Store(true)
	if err := s.Port.Open(); err != nil {
		return fmt.Errorf("server %d: %w", s.Number, err)
	}
	return nil
}

// Up tells whether its process runs.
func (s *Server) Up() bool { return s.up.Load() }

// Worked is the work it has done, in milliseconds of a core of speed 1.
func (s *Server) Worked() float64 {
	var w float64
	s.pod.change(func(time.Duration) { w = s.model.worked })
	return w
}

// Close ends it.
func (s *Server) Close() {
	s.Kill()
	s.Port.Close()
}

func (s *Server) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < share
}

var errHung = errors.New("hung")

// until sets when an idle connection's time is over. s.mu is held.
func (s *Server) until(c *relay.Conn, since time.Time) {
	limit, b := s.spec.Idle, s.behave.Load()
	if b.Idle > 0 && (limit <= 0 || b.Idle < limit) {
		limit = b.Idle
	}
	end := time.Time{}
	if limit > 0 {
		end = since.Add(limit)
	}
	_ = c.SetReadDeadline(end) // fails on a closed connection, as the read will
}

// rests begins the time of a connection without a request.
func (s *Server) rests(c *relay.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.idle[c] = now
	s.until(c, now)
}

// busy ends it.
func (s *Server) busy(c *relay.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	_ = c.SetReadDeadline(time.Time{}) // as above
}

// outstayed ends a connection whose idle time is over: it is closed, or forgotten, and then reset once anything comes.
func (s *Server) outstayed(c *relay.Conn, in *bufio.Reader, err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !s.behave.Load().Forget {
		return
	}
	s.busy(c)
	s.conns.Add(-1) // it counts no more at a machine that has forgotten it
	defer s.conns.Add(1)
	if _, err := in.Peek(1); err == nil {
		c.Reset()
	}
}

// serve takes requests from one connection until it ends.
func (s *Server) serve(c *relay.Conn) {
	open := s.conns.Add(1)
	defer s.conns.Add(-1)
	defer s.busy(c)
	serial := int16(s.serial.Add(1))
	in := bufio.NewReaderSize(c, 4<<10)
	extra := s.spec.Handshake // on the first request
	for {
		if in.Buffered() == 0 {
			s.rests(c)
		}
		if _, err := in.Peek(1); err != nil {
			s.outstayed(c, in, err)
			return
		}
		first := s.log.Now()
		s.busy(c)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if s.spec.MaxConns > 0 && open > int64(s.spec.MaxConns) {
			_, _ = io.Copy(io.Discard, req.Body)
			_ = answer(c, 503, []byte("too many connections\n"), "X-Not-Processed: 1\r\nConnection: close\r\n")
			return
		}
		if req.URL.Path != "/api" {
			if s.aside(c, in, req) != nil {
				return
			}
			continue
		}
		if err := s.one(c, in, req, first, serial, extra); err != nil {
			return
		}
		extra = 0
	}
}

// aside answers a probe, or what no client sends.
func (s *Server) aside(c *relay.Conn, in *bufio.Reader, req *http.Request) error {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	if s.probe < 0 || req.URL.Path != "/health/live" && req.URL.Path != "/stats" {
		return answer(c, 404, nil, "")
	}
	status := 200
	b := s.behave.Load()
	if b.Drain {
		status = 503
	}
	if b.Hang {
		_, err := in.Peek(1) // until the caller has had enough
		return errors.Join(err, errHung)
	}
	s.pod.change(func(time.Duration) { s.model.worked += s.probe })
	return answer(c, status, nil, "")
}

// one serves one request.
func (s *Server) one(c *relay.Conn, in *bufio.Reader, req *http.Request, first time.Duration, serial int16, extra float64) error {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return err
	}
	last := s.log.Now()
	if s.overhears != nil {
		s.overhears(s.Number, c.Caller, req, body)
	}
	v := &visit{server: s, conn: c, serial: serial, ended: make(chan struct{})}
	id := req.Header.Get("X-Request-ID")
	stray := func(note string) error {
		s.log.Add(record.Event{Kind: record.UnknownRequest, Request: v.id, Sidecar: int32(c.Caller), Server: int32(s.Number),
			Attempt: serial, Class: record.None, Note: note})
		return answer(c, 400, nil, "")
	}
	if id == "" {
		return stray("without an id")
	}
	if v.id, err = strconv.ParseUint(id, 16, 64); err != nil {
		return stray("with the id " + strconv.Quote(id))
	}
	ask, known := s.book.Look(v.id)
	sum := record.Sum(body)
	switch {
	case !known:
		return stray("with an id that no client sent")
	case ask.Method != req.Method || ask.Sum != sum:
		return stray(fmt.Sprintf("in another form: %s, body %016x", req.Method, sum))
	}
	event := record.Event{Kind: record.FirstByte, T: first, Request: v.id, Sidecar: int32(c.Caller),
		Server: int32(s.Number), Attempt: serial, Class: int16(ask.Class), Tenant: int16(ask.Tenant),
		Canary: req.Header.Get("X-Route-Canary") == "1"}
	if rev := req.Header.Get("X-Route-Rev"); rev != "" {
		if event.Rev, err = strconv.ParseInt(rev, 10, 64); err != nil {
			return stray("with the route revision " + strconv.Quote(rev))
		}
	}
	if wait := req.Header.Get("X-Timeout-Ms"); wait != "" {
		if event.N, err = strconv.ParseInt(wait, 10, 64); err != nil {
			return stray("with the time " + strconv.Quote(wait))
		}
	}
	s.log.Add(event)
	event.Kind, event.T, event.Sum = record.LastByte, last, sum
	s.log.Add(event)
	c.OnPeerClose(v.gone)
	s.work(v, ask, extra)

	// The next byte is the next request's; an end means that the caller does not wait any more, or that nothing more has
	// come for long after its answer.
	_, err = in.Peek(1)
	if v.replied.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		<-v.ended
		s.outstayed(c, in, err)
		return err
	}
	if err != nil {
		if !v.replied.Load() {
			v.gone() // its caller has closed, or this server has died
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

// concerns tells whether a class is among those of a fault.
func concerns(classes []int, class int) bool {
	return len(classes) == 0 || slices.Contains(classes, class)
}

// moreWithin is the time after an answer within which what nobody asked for comes.
const moreWithin = 8 * time.Millisecond

// sayMore writes what nobody asked for a little after an answer, if its connection still rests then: the answer again, or the
// first half of its first line.
func (s *Server) sayMore(c *relay.Conn, status int, body []byte) {
	late := time.Duration(s.draw() * float64(moreWithin))
	half := s.draw() < 0.5
	time.AfterFunc(late, func() {
		if !s.resting(c) {
			return
		}
		if half {
			_, _ = c.Write([]byte("HTTP/1.1 2")) // a connection that has ended takes nothing more
			return
		}
		_ = answer(c, status, body, "") // as above
	})
}

// resting tells whether a connection is without a request.
func (s *Server) resting(c *relay.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, rests := s.idle[c]
	return rests
}

func answer(c *relay.Conn, status int, body []byte, header string) error {
	b := make([]byte, 0, 128+len(body))
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), header, len(body))
	_, err := c.Write(append(b, body...))
	return err
}
