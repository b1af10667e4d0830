package clientserver

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/metrics"
	"marblelane/internal/sidecar/netcall"
)

const (
	apiPath   = "/api"
	ReadyPath = "/health/ready"

	// overdueWait is how long past deadline and answer slack the module is waited for; sockets allow 50 ms.
	overdueWait = 25 * time.Millisecond
	// DefaultReadTimeout is for a whole request, from when its connection or its first byte came: who says nothing or
	// stops halfway is owed an end within 3 s of connecting.
	DefaultReadTimeout  = 2500 * time.Millisecond
	DefaultWriteTimeout = 5 * time.Second
)

// Server is the application's side.
type Server struct {
	Config       *config.Config
	Metrics      *metrics.Metrics
	Memory       Memory // for bodies
	Bodies       HeldBodies
	Post         func(any)
	Draining     atomic.Bool
	Conns        atomic.Int64
	Requests     atomic.Int64
	MaxKeptConns atomic.Int64 // from here on connections are not kept
	MaxRequests  atomic.Int64 // requests at a time

	ReadTimeout, WriteTimeout time.Duration

	States      *netcall.ConnStates // of clients' connections; nil: systemStates
	ClientPoll  time.Duration       // 0: clientPoll
	Checkpoints checkpoint.Hook
}

func (f *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: f.ReadTimeout, MaxHeaderBytes: framing.MaxHeader, ConnContext: withConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateIdle:
				if c, ok := c.(*framing.HeadConn); ok {
					c.NextRequest()
				}
			case http.StateNew:
				f.Conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				f.Conns.Add(-1)
			}
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// ServeHTTP answers the ready check and passes requests to the loop.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*framing.HeadConn); ok {
		c.RequestRead()
	}
	if f.Draining.Load() || f.Conns.Load() >= f.MaxKeptConns.Load() {
		endAfter(w, r)
	}
	f.limitWrite(w)
	if err := checkFraming(r); err != nil {
		reject(w, err, http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case apiPath:
	case ReadyPath:
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
	c, body, err := f.Parse(w, r)
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
	defer f.Memory.release(c.HeldBytes)
	// Bounds what is open together with goroutines and connections to servers. Nothing has been sent, so a
	// refusal is true.
	if f.Requests.Add(1) > f.MaxRequests.Load() {
		f.Requests.Add(-1)
		f.Metrics.CountAnswer(c.Request.Class, inflight.StatusRejected)
		write(w, inflight.Answer{Status: inflight.StatusRejected})
		return
	}
	defer f.Requests.Add(-1)
	f.serve(w, r, c, body)
}

func (f *Server) ready(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	if f.Draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// serve waits for the one answer; body is what is still to come of a request that is passed on.
func (f *Server) serve(w http.ResponseWriter, r *http.Request, c *inflight.Call, body io.Reader) {
	control := http.NewResponseController(w)
	guard := time.NewTimer(time.Hour)
	defer guard.Stop()
	counted := int64(0)
	taken := func(received time.Time) { // its last byte is here
		guard.Reset(time.Until(received.Add(c.Timeout)) + clock.Duration(f.Config.Balance.AnswerSlack) + overdueWait)
		counted = 1
		f.Metrics.InFlight.Add(1)
	}
	defer func() { f.Metrics.InFlight.Add(-counted) }()
	watch := newClientWatch(f.watchClient(r, c), cmp.Or(f.ClientPoll, clientPoll))
	defer watch.stop()
	var fed chan error // nil: the body is whole
	if u := c.Outbound.Upload; u != nil {
		control.EnableFullDuplex()
		fed = make(chan error, 1)
		go func() { fed <- u.Feed(body) }()
		defer func() {
			u.Abort()
			if fed != nil {
				<-fed // nobody may read when this request is over
			}
		}()
	} else {
		taken(c.Deadline.Add(-c.Timeout))
	}
	f.Checkpoints.At(checkpoint.RequestRead)
	f.Post(Arrival{c})
	var a inflight.Answer
	var failed error // it was no request after all
	var unheard bool // its client has gone
	for decided := false; !decided; {
		select {
		case a = <-c.Answers:
			decided = true
			continue
		case err := <-fed:
			fed = nil
			if err == nil {
				taken(c.Outbound.Upload.CompletedAt())
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
			a = inflight.Answer{Status: inflight.StatusTimedOut}
		}
		decided = true
		if !c.Finish() {
			a, unheard = <-c.Answers, false
			continue
		}
		f.Post(ClientGone{c})
		if a.Status != 0 {
			slog.Error("no answer from the module in time", "request", r.Header.Get("X-Request-ID"))
		}
	}
	if unheard || a.ClientLeft {
		if fed != nil { // who broke off tells how
			c.Outbound.Upload.Abort()
			failed, fed = <-fed, nil
		}
		// Half a close leaves a reader, to whom a return without an answer would be 200.
		a = inflight.Answer{Status: inflight.StatusFailed}
		w.Header().Set("Connection", "close")
	}
	f.Checkpoints.At(checkpoint.AnswerDecided)
	// An attempt that passed its last check before the answer was decided may still be writing.
	c.Writing.Lock()
	//lint:ignore SA2001 it only waits for the one that holds it
	c.Writing.Unlock()
	f.limitWrite(w)
	if failed == nil && c.Outbound.Upload != nil && c.Outbound.Upload.Broken() { // the attempt was quicker to tell
		failed, fed = <-fed, nil
	}
	if failed != nil {
		reject(w, failed, badStatus(failed))
		return
	}
	if fed != nil {
		w.Header().Set("Connection", "close")
	} else if f.Draining.Load() { // it may have been told to end since the request came
		endAfter(w, r)
	}
	if a.Stream != nil {
		f.pass(w, r, c, a)
		return
	}
	f.Metrics.CountAnswer(c.Request.Class, a.Status)
	write(w, a)
	if fed != nil {
		control.Flush() // the client may be sending for long
	}
}

// watchClient lets a call learn that its client has gone.
func (f *Server) watchClient(r *http.Request, c *inflight.Call) *framing.HeadConn {
	conn, ok := r.Context().Value(connKey{}).(*framing.HeadConn)
	if !ok {
		return nil
	}
	states := f.States
	if states == nil {
		states = netcall.SystemConnStates
	}
	c.ClientGone = func() bool { return r.Context().Err() != nil || clientGone(conn, states) }
	return conn
}
