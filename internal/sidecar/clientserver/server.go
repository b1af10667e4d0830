package clientserver

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
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
	apiPath = "/api"
	// ReadyPath answers whether the sidecar takes requests.
	ReadyPath = "/health/ready"

	// DefaultReadTimeout is for a complete request, from when its connection or its first byte came. A client that sends
	// nothing or stops halfway gets an end within 3 s of connecting.
	DefaultReadTimeout = 2500 * time.Millisecond
	// DefaultWriteTimeout is for each part of an answer.
	DefaultWriteTimeout = 5 * time.Second
)

// Options are what a Server works with. The optional ones have their default where they are zero.
type Options struct {
	Config  *config.Config
	Metrics *metrics.Metrics
	Post    func(any) // gives an Arrival or a ClientGone to the event loop

	ReadTimeout        time.Duration            // optional: DefaultReadTimeout
	WriteTimeout       time.Duration            // optional: DefaultWriteTimeout
	ClientPollInterval time.Duration            // optional: between two checks whether a client has gone that is not read from
	ConnStates         *netcall.ConnStateReader // optional: of clients' connections
	Checkpoints        checkpoint.Hook          // optional: where tests hold a request up
}

// Server is the HTTP handler for the application.
type Server struct {
	options    Options
	bodyMemory bodyMemory
	bodies     openBodies

	draining       atomic.Bool
	conns          atomic.Int64 // open connections
	requests       atomic.Int64 // requests that were read and are not answered
	keepAliveLimit atomic.Int64 // open connections from which on they are closed after an answer
	requestLimit   atomic.Int64 // requests at a time
}

// New makes a server that rejects all requests until its limits are set.
func New(options Options) *Server {
	s := &Server{}
	s.Configure(func(o *Options) { *o = options })
	return s
}

// Configure changes options. It has to come before HTTPServer and the first request.
func (s *Server) Configure(change func(*Options)) {
	change(&s.options)
	s.options.ReadTimeout = cmp.Or(s.options.ReadTimeout, DefaultReadTimeout)
	s.options.WriteTimeout = cmp.Or(s.options.WriteTimeout, DefaultWriteTimeout)
	s.options.ClientPollInterval = cmp.Or(s.options.ClientPollInterval, defaultClientPoll)
	if s.options.ConnStates == nil {
		s.options.ConnStates = netcall.NewConnStateReader()
	}
}

// StartDraining makes the ready check fail, and connections end after the answers that they owe.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Draining reports whether StartDraining was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// OpenConns is how many connections of clients are open.
func (s *Server) OpenConns() int { return int(s.conns.Load()) }

// OpenRequests is how many requests have been read and not answered.
func (s *Server) OpenRequests() int { return int(s.requests.Load()) }

// SetKeepAliveLimit sets how many connections may be open before they are closed after an answer.
func (s *Server) SetKeepAliveLimit(conns int) { s.keepAliveLimit.Store(int64(conns)) }

// SetRequestLimit sets how many requests there may be at a time. Those above it are rejected.
func (s *Server) SetRequestLimit(requests int) { s.requestLimit.Store(int64(requests)) }

// RequestLimit is how many requests there may be at a time.
func (s *Server) RequestLimit() int { return int(s.requestLimit.Load()) }

// SetBodyMemory sets how many bytes all bodies that are held may take, beside inflight.MinHeldBody of each.
func (s *Server) SetBodyMemory(bytes int64) { s.bodyMemory.setLimit(bytes) }

// AbortBodies rejects the requests whose bodies are being read and that the event loop does not know yet, and all
// requests with a body that come later.
func (s *Server) AbortBodies() { s.bodies.abort() }

// HTTPServer is the server of net/http for this handler.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler: s, ReadHeaderTimeout: s.options.ReadTimeout, MaxHeaderBytes: framing.MaxHeader, ConnContext: withConn,
		ConnState: s.connStateChanged,
		ErrorLog:  slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// connStateChanged counts connections, and tells one that its request has been answered.
func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		if conn, ok := conn.(*framing.HeadConn); ok {
			conn.PrepareNextRequest()
		}
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// ServeHTTP answers the ready check and gives requests to the event loop.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn := headConn(r); conn != nil {
		conn.RequestRead()
	}
	if s.Draining() || s.conns.Load() >= s.keepAliveLimit.Load() {
		closeAfterAnswer(w, r)
	}
	s.limitWrite(w)
	if err := checkFraming(r); err != nil {
		writeError(w, err, http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case apiPath:
		s.serveAPI(w, r)
	case ReadyPath:
		s.serveReady(w, r)
	default:
		http.NotFound(w, r)
	}
}

// serveAPI parses a request, and answers it where the limit of requests allows.
func (s *Server) serveAPI(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodGet, http.MethodPost) {
		return
	}
	call, body, err := s.parse(w, r)
	if err != nil {
		writeParseError(w, r, err)
		return
	}
	defer s.bodyMemory.release(call.HeldBytes)
	// The limit bounds what is open together with goroutines and connections to servers. Nothing has been sent, so that
	// a rejection is true.
	if s.requests.Add(1) > s.requestLimit.Load() {
		s.requests.Add(-1)
		s.options.Metrics.CountResponse(call.Request.Class, inflight.StatusRejected)
		writeAnswer(w, inflight.Response{Status: inflight.StatusRejected})
		return
	}
	defer s.requests.Add(-1)
	s.serve(w, r, call, body)
}

// serveReady answers the ready check.
func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodGet, http.MethodHead) {
		return
	}
	if s.Draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// allowMethods reports whether a request has one of the methods, and answers it if not.
func allowMethods(w http.ResponseWriter, r *http.Request, methods ...string) bool {
	if slices.Contains(methods, r.Method) {
		return true
	}
	w.Header().Set("Allow", strings.Join(methods, ", "))
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	return false
}

// writeParseError answers a request that could not be parsed.
func writeParseError(w http.ResponseWriter, r *http.Request, err error) {
	tooLarge := errors.Is(err, errBodyTooLarge)
	if tooLarge {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	writeError(w, err, errorStatus(err))
	if tooLarge {
		discardBody(w, r)
	}
}
