package sidecar

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"marblelane/balance"
)

// Final answers other than 200. 429 and 503 tell the client that trying again is harmless, so nothing else
// here may answer with them.
const (
	statusRefused  = http.StatusServiceUnavailable
	statusFailed   = http.StatusBadGateway
	statusTimedOut = http.StatusGatewayTimeout
)

const (
	apiPath   = "/api"
	readyPath = "/health/ready"

	// overdueWait is how long past deadline and answer slack the module is waited for; sockets allow 50 ms.
	overdueWait = 25 * time.Millisecond
	maxWait     = time.Hour // the longest X-Timeout-Ms
	// peerWait is for a whole request, from when its connection or its first byte came: who says nothing or
	// stops halfway is owed an end within 3 s of connecting.
	peerWait  = 2500 * time.Millisecond
	writeWait = 5 * time.Second
)

// frontend is the application's side.
type frontend struct {
	cfg      *Config
	figures  *figures
	memory   memory // for bodies
	bodies   heldBodies
	post     func(any)
	draining atomic.Bool
	conns    atomic.Int64
	taken    atomic.Int64
	maxConns atomic.Int64 // from here on connections are not kept
	maxTaken atomic.Int64 // requests at a time

	peerWait, writeWait time.Duration

	states     *connStates   // of clients' connections; nil: systemStates
	clientPoll time.Duration // 0: clientPoll
	hook       checkpointHook
}

func (f *frontend) server() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: f.peerWait, MaxHeaderBytes: maxHeader, ConnContext: withConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateIdle:
				if c, ok := c.(*headConn); ok {
					c.next()
				}
			case http.StateNew:
				f.conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				f.conns.Add(-1)
			}
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// ServeHTTP answers the ready check and passes requests to the loop.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*headConn); ok {
		c.work()
	}
	if f.draining.Load() || f.conns.Load() >= f.maxConns.Load() {
		endAfter(w, r)
	}
	f.limitWrite(w)
	if err := checkFraming(r); err != nil {
		reject(w, err, http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case apiPath:
	case readyPath:
		f.ready(w, r)
		return
	default:
		http.NotFound(w, r)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		w.Header().Set("Allow", "GET, POST")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	c, body, err := f.parse(w, r)
	if err != nil {
		large := errors.Is(err, errBodyLarge)
		if large {
			http.NewResponseController(w).EnableFullDuplex()
		}
		reject(w, err, badStatus(err))
		if large {
			linger(w, r)
		}
		return
	}
	defer f.memory.give(c.held)
	// Bounds what is open together with goroutines and connections to servers. Nothing has been sent, so a
	// refusal is true.
	if f.taken.Add(1) > f.maxTaken.Load() {
		f.taken.Add(-1)
		f.figures.count(c.ev.Class, statusRefused)
		write(w, answer{status: statusRefused})
		return
	}
	defer f.taken.Add(-1)
	f.serve(w, r, c, body)
}

// endAfter ends a connection between requests only: the one at work is answered first, and so is what has come with it.
func endAfter(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*headConn); !ok || !c.behind(r.ContentLength) {
		w.Header().Set("Connection", "close")
	}
}

func badStatus(err error) int {
	switch {
	case errors.Is(err, errBodyLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodySlow):
		return http.StatusRequestTimeout
	case errors.Is(err, errServiceEnded):
		return statusRefused
	default:
		return http.StatusBadRequest
	}
}

// reject answers what is not a proper request. What may follow on its connection cannot be trusted to be one.
func reject(w http.ResponseWriter, err error, status int) {
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// linger lets a client that is still sending see its answer: a connection that is closed with something unread
// takes the answer with it.
func linger(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	control.Flush()
	control.SetReadDeadline(time.Now().Add(largeWait))
	io.Copy(io.Discard, r.Body)
}

func (f *frontend) ready(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	if f.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// serve waits for the one answer; body is what is still to come of a request that is passed on.
func (f *frontend) serve(w http.ResponseWriter, r *http.Request, c *call, body io.Reader) {
	control := http.NewResponseController(w)
	guard := time.NewTimer(time.Hour)
	defer guard.Stop()
	counted := int64(0)
	taken := func(received time.Time) { // its last byte is here
		guard.Reset(time.Until(received.Add(c.wait)) + millis(f.cfg.balance.AnswerSlack) + overdueWait)
		counted = 1
		f.figures.inFlight.Add(1)
	}
	defer func() { f.figures.inFlight.Add(-counted) }()
	watch := newClientWatch(f.watchClient(r, c), cmp.Or(f.clientPoll, clientPoll))
	defer watch.stop()
	var fed chan error // nil: the body is whole
	if u := c.out.upload; u != nil {
		control.EnableFullDuplex()
		fed = make(chan error, 1)
		go func() { fed <- u.feed(body) }()
		defer func() {
			u.drop()
			if fed != nil {
				<-fed // nobody may read when this request is over
			}
		}()
	} else {
		taken(c.deadline.Add(-c.wait))
	}
	f.hook.at(requestRead)
	f.post(arrival{c})
	var a answer
	var failed error // it was no request after all
	var unheard bool // its client has gone
	for decided := false; !decided; {
		select {
		case a = <-c.answers:
			decided = true
			continue
		case err := <-fed:
			fed = nil
			if err == nil {
				taken(c.out.upload.whole())
				continue
			}
			failed = err
		case <-r.Context().Done():
			unheard = true
		case <-watch.ahead:
			watch.again()
			continue
		case <-watch.look:
			if !watch.gone(c) {
				continue
			}
			unheard = true
		case <-guard.C:
			// The module owes an answer and gave none: a bug, but the client is not left without one.
			a = answer{status: statusTimedOut}
		}
		decided = true
		if !c.finish() {
			a, unheard = <-c.answers, false
			continue
		}
		f.post(hangUp{c})
		if a.status != 0 {
			slog.Error("no answer from the module in time", "request", r.Header.Get("X-Request-ID"))
		}
	}
	if unheard || a.unheard {
		if fed != nil { // who broke off tells how
			c.out.upload.drop()
			failed, fed = <-fed, nil
		}
		// Half a close leaves a reader, to whom a return without an answer would be 200.
		a = answer{status: statusFailed}
		w.Header().Set("Connection", "close")
	}
	f.hook.at(answerDecided)
	// An attempt that passed its last check before the answer was decided may still be writing.
	c.writing.Lock()
	//lint:ignore SA2001 it only waits for the one that holds it
	c.writing.Unlock()
	f.limitWrite(w)
	if failed == nil && c.out.upload != nil && c.out.upload.broken() { // the attempt was quicker to tell
		failed, fed = <-fed, nil
	}
	if failed != nil {
		reject(w, failed, badStatus(failed))
		return
	}
	if fed != nil {
		w.Header().Set("Connection", "close")
	} else if f.draining.Load() { // it may have been told to end since the request came
		endAfter(w, r)
	}
	if a.stream != nil {
		f.pass(w, r, c, a)
		return
	}
	f.figures.count(c.ev.Class, a.status)
	write(w, a)
	if fed != nil {
		control.Flush() // the client may be sending for long
	}
}

// watchClient lets a call learn that its client has gone.
func (f *frontend) watchClient(r *http.Request, c *call) *headConn {
	conn, ok := r.Context().Value(connKey{}).(*headConn)
	if !ok {
		return nil
	}
	states := f.states
	if states == nil {
		states = systemStates
	}
	c.clientGone = func() bool { return r.Context().Err() != nil || conn.clientGone(states) }
	return conn
}

// pass writes an answer as it comes. One that breaks off ends its connection, so that the client can tell.
func (f *frontend) pass(w http.ResponseWriter, r *http.Request, c *call, a answer) {
	control := http.NewResponseController(w)
	s, h := a.stream, w.Header()
	if conn, ok := r.Context().Value(connKey{}).(*headConn); ok {
		conn.limitBuffer()
	}
	setContentType(h, a)
	if s.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(s.length, 10))
	}
	w.WriteHeader(a.status)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	var end error
	for part := s.first; ; {
		if len(part) > 0 {
			f.limitWrite(w)
			if _, err := w.Write(part); err != nil || control.Flush() != nil {
				s.ended <- errClient
				f.figures.count(c.ev.Class, statusFailed)
				panic(http.ErrAbortHandler)
			}
		}
		if end != nil {
			break
		}
		var n int
		n, end = s.rest.Read(*buf)
		part = (*buf)[:n]
	}
	if end != io.EOF {
		s.ended <- end
		f.figures.count(c.ev.Class, statusFailed)
		if conn, ok := r.Context().Value(connKey{}).(*headConn); ok && !r.ProtoAtLeast(1, 1) {
			conn.reset() // the end of the connection would be the end of the answer
		}
		panic(http.ErrAbortHandler)
	}
	s.ended <- nil
	f.figures.count(c.ev.Class, a.status)
}

// limitWrite bounds the time for an answer from now on: a client that does not read would hold its place
// among those taken for ever.
func (f *frontend) limitWrite(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.writeWait)); err != nil {
		slog.Error("no bound on writing", "error", err)
	}
}

func write(w http.ResponseWriter, a answer) {
	h := w.Header()
	setContentType(h, a)
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter/1e3, 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

func setContentType(h http.Header, a answer) {
	h["Content-Type"] = nil
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
}

// parse takes in a request; one that is malformed reaches neither the module nor a server. Of a body that is not
// held whole the rest is still to be read.
func (f *frontend) parse(w http.ResponseWriter, r *http.Request) (*call, io.Reader, error) {
	c, err := f.call(r)
	if err != nil {
		return nil, nil, err
	}
	c.out = &outbound{method: r.Method, url: r.URL, host: r.Host, header: endToEnd(r.Header)}
	if f.cfg.routes != nil { // those are the sidecar's to say
		c.out.header.Del(revHeader)
		c.out.header.Del(canaryHeader)
	}
	var rest io.Reader
	if r.ContentLength != 0 {
		if rest, err = f.readBody(w, r, c); err != nil {
			f.memory.give(c.held)
			return nil, nil, fmt.Errorf("body: %w", err)
		}
	}
	if rest == nil {
		c.deadline = receivedAt(r).Add(c.wait) // the client's time counts from its last byte
	}
	if r.Method == http.MethodGet && (rest != nil || len(c.out.body) > 0) {
		f.memory.give(c.held)
		return nil, nil, errors.New("GET with a body")
	}
	return c, rest, nil
}

// readBody reads as much of a body as is held.
func (f *frontend) readBody(w http.ResponseWriter, r *http.Request, c *call) (rest io.Reader, err error) {
	length := r.ContentLength
	if length > maxBody {
		return nil, errBodyLarge
	}
	most := holdMost
	if length >= 0 && length <= holdMore {
		most = int(length)
	}
	if f.memory.take(most) {
		c.held = most
	} else {
		most = min(most, holdLeast)
	}
	body := newPacedBody(w, r, f.peerWait)
	f.bodies.add(body)
	defer f.bodies.remove(body)
	if length >= 0 {
		first := make([]byte, min(int(length), most))
		if _, err := io.ReadFull(body, first); err != nil {
			return nil, err
		}
		if len(first) == int(length) {
			c.out.body = first
			return nil, nil
		}
		c.out.upload = newUpload(length, first)
		return body, nil
	}
	first, err := io.ReadAll(io.LimitReader(body, int64(most)+1))
	if err != nil {
		return nil, err
	}
	if len(first) <= most {
		c.out.body = first
		return nil, nil
	}
	c.out.upload = newUpload(length, first)
	return body, nil
}

func (f *frontend) call(r *http.Request) (*call, error) {
	if r.Header.Get("X-Request-ID") == "" {
		return nil, errors.New("no X-Request-ID")
	}
	if r.Host == "" {
		return nil, errors.New("no Host")
	}
	ev := balance.Request{Repeat: r.Header.Get("X-Retried") == "1"}
	var ok bool
	if ev.Class, ok = f.cfg.classes[r.Header.Get("X-Priority-Class")]; !ok {
		return nil, errors.New("unknown X-Priority-Class")
	}
	if len(f.cfg.tenants) > 0 {
		if ev.Tenant, ok = f.cfg.tenants[r.Header.Get("X-Tenant-Id")]; !ok {
			return nil, errors.New("unknown X-Tenant-Id")
		}
	}
	class := &f.cfg.balance.Classes[ev.Class]
	if err := checkMethod(class.Effect, r); err != nil {
		return nil, err
	}
	wait := millis(class.Deadline)
	if v := r.Header.Get("X-Timeout-Ms"); v != "" {
		ms, err := strconv.ParseUint(v, 10, 32)
		if wait = time.Duration(ms) * time.Millisecond; err != nil || ms == 0 || wait > maxWait {
			return nil, errors.New("X-Timeout-Ms is not a number of milliseconds that can be")
		}
	}
	if v := r.Header.Get("X-Cost"); v != "" {
		us, err := strconv.ParseFloat(v, 64)
		if err != nil || !(us >= 0 && us < 1e12) {
			return nil, errors.New("X-Cost is not a number of microseconds")
		}
		ev.WorkHint = us / 1e3
	}
	if k, err := r.Cookie("k"); err == nil {
		ev.Key = hashOf(k.Value)
	}
	if f.cfg.routes != nil {
		ev.Route = f.cfg.routes.key(r.Header)
	}
	return &call{ev: ev, wait: wait, answers: make(chan answer, 1)}, nil
}

// checkMethod: the method follows from the class. A keyed request without its key would run twice.
func checkMethod(effect balance.Effect, r *http.Request) error {
	keyed := r.Header.Get("Idempotency-Key") != ""
	switch {
	case effect == balance.Safe && r.Method != http.MethodGet:
		return errors.New("the class is sent with GET")
	case effect != balance.Safe && r.Method != http.MethodPost:
		return errors.New("the class is sent with POST")
	case effect == balance.Keyed && !keyed:
		return errors.New("no Idempotency-Key")
	case effect == balance.Unsafe && keyed:
		return errors.New("the class takes no Idempotency-Key")
	}
	return nil
}

// endToEnd leaves out what concerns the client's connection only.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", "Content-Length",
	} {
		out.Del(name)
	}
	return out
}
