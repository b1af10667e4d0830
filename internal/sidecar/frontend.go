package sidecar

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	apiPath   = "/api"
	readyPath = "/health/ready"

	// overdueWait is how long past deadline and answer slack the module is waited for; sockets allow 50 ms.
	overdueWait = 25 * time.Millisecond
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
		f.post(clientGoneEvent{c})
		if a.status != 0 {
			slog.Error("no answer from the module in time", "request", r.Header.Get("X-Request-ID"))
		}
	}
	if unheard || a.clientLeft {
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
	c.clientGone = func() bool { return r.Context().Err() != nil || clientGone(conn, states) }
	return conn
}
