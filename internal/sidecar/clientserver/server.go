package clientserver

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/metrics"
	"marblelane/internal/sidecar/netcall"
)

const (
	apiPath   = "/api"
	ReadyPath = "/health/ready"

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

func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler: s, ReadHeaderTimeout: s.ReadTimeout, MaxHeaderBytes: framing.MaxHeader, ConnContext: withConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateIdle:
				if c, ok := c.(*framing.HeadConn); ok {
					c.NextRequest()
				}
			case http.StateNew:
				s.Conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.Conns.Add(-1)
			}
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// ServeHTTP answers the ready check and passes requests to the loop.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*framing.HeadConn); ok {
		c.RequestRead()
	}
	if s.Draining.Load() || s.Conns.Load() >= s.MaxKeptConns.Load() {
		endAfter(w, r)
	}
	s.limitWrite(w)
	if err := checkFraming(r); err != nil {
		reject(w, err, http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case apiPath:
	case ReadyPath:
		s.ready(w, r)
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
	c, body, err := s.Parse(w, r)
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
	defer s.Memory.release(c.HeldBytes)
	// Bounds what is open together with goroutines and connections to servers. Nothing has been sent, so a
	// refusal is true.
	if s.Requests.Add(1) > s.MaxRequests.Load() {
		s.Requests.Add(-1)
		s.Metrics.CountAnswer(c.Request.Class, inflight.StatusRejected)
		write(w, inflight.Answer{Status: inflight.StatusRejected})
		return
	}
	defer s.Requests.Add(-1)
	s.serve(w, r, c, body)
}

func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	if s.Draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// watchClient lets a call learn that its client has gone.
func (s *Server) watchClient(r *http.Request, c *inflight.Call) *framing.HeadConn {
	conn, ok := r.Context().Value(connKey{}).(*framing.HeadConn)
	if !ok {
		return nil
	}
	states := s.States
	if states == nil {
		states = netcall.SystemConnStates
	}
	c.ClientGone = func() bool { return r.Context().Err() != nil || clientGone(conn, states) }
	return conn
}
