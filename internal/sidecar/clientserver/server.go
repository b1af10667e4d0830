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

	"marblelane/balance"
	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/loglimit"
	"marblelane/internal/sidecar/memory"
	"marblelane/internal/sidecar/metrics"
	"marblelane/internal/sidecar/netcall"
)

const (
	apiPath = "/api"
	// ReadyPath is the path of the ready check, which reports whether the sidecar accepts requests.
	ReadyPath = "/health/ready"

	// DefaultReadTimeout is the time to receive a complete request, from the accept of its connection or from its first
	// byte. With it, the connection of a client that sends nothing, or stops halfway, ends within 3 s of connecting.
	DefaultReadTimeout = 2500 * time.Millisecond
	// DefaultWriteTimeout is the time to write each part of a response.
	DefaultWriteTimeout = 5 * time.Second
)

// Options configure a Server. Optional fields that are zero get their default.
type Options struct {
	Config  *config.Config
	Metrics *metrics.Metrics
	Post    func(any) // passes an Arrival, TimeStarted or CallAbandoned to the event loop

	// Abandoned is called with the hash of the ID of a non-idempotent request that may have run and whose client left.
	Abandoned func(id uint64) // optional

	ReadTimeout        time.Duration            // optional: DefaultReadTimeout
	WriteTimeout       time.Duration            // optional: DefaultWriteTimeout
	ClientPollInterval time.Duration            // optional: time between two checks whether a client has disconnected
	ConnStates         *netcall.ConnStateReader // optional: reads the state of client connections
	Checkpoints        checkpoint.Hook          // optional: called at each checkpoint; tests can delay a request there
}

// Server is the HTTP handler for the application.
type Server struct {
	options    Options
	bodyMemory memory.Budget // for held bodies
	bodies     openBodies
	unsafeIDs  unsafeIDs

	unreadBodyLog  loglimit.Limiter // for requests whose time is over before their body was read
	streamLimitLog loglimit.Limiter // for requests above streamLimit
	repeatedIDLog  loglimit.Limiter // for IDs that come again

	draining       atomic.Bool
	conns          atomic.Int64 // number of open connections
	requests       atomic.Int64 // number of requests that were read and whose response is not written yet
	keepAliveLimit atomic.Int64 // number of open connections at which connections are closed after a response
	requestLimit   atomic.Int64 // maximum number of concurrent requests
	streams        atomic.Int64 // number of those requests whose body is streamed to the server
	streamLimit    atomic.Int64 // maximum of streams
}

// New returns a server that rejects all requests until its limits are set.
func New(options Options) *Server {
	s := &Server{}
	s.Configure(func(o *Options) { *o = options })
	return s
}

// Configure changes options. It must be called before HTTPServer and before the first request.
func (s *Server) Configure(change func(*Options)) {
	change(&s.options)
	s.options.ReadTimeout = cmp.Or(s.options.ReadTimeout, DefaultReadTimeout)
	s.options.WriteTimeout = cmp.Or(s.options.WriteTimeout, DefaultWriteTimeout)
	s.options.ClientPollInterval = cmp.Or(s.options.ClientPollInterval, defaultClientPollInterval)
	if s.options.ConnStates == nil {
		s.options.ConnStates = netcall.NewConnStateReader()
	}
}

// StartDraining makes the ready check fail, and closes each connection after the responses to its pending requests.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Draining reports whether StartDraining was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// OpenConns returns the number of open client connections.
func (s *Server) OpenConns() int { return int(s.conns.Load()) }

// OpenRequests returns the number of requests that were read and whose response is not written yet.
func (s *Server) OpenRequests() int { return int(s.requests.Load()) }

// SetKeepAliveLimit sets the number of open connections at which connections are closed after a response.
func (s *Server) SetKeepAliveLimit(conns int) { s.keepAliveLimit.Store(int64(conns)) }

// SetRequestLimit sets the maximum number of concurrent requests. Requests above the limit are rejected.
func (s *Server) SetRequestLimit(requests int) { s.requestLimit.Store(int64(requests)) }

// RequestLimit returns the maximum number of concurrent requests.
func (s *Server) RequestLimit() int { return int(s.requestLimit.Load()) }

// SetStreamLimit sets the maximum number of concurrent requests whose body is streamed to the server. Requests above the
// limit are rejected.
func (s *Server) SetStreamLimit(requests int) { s.streamLimit.Store(int64(requests)) }

// SetBodyMemory sets the memory for all held bodies, in bytes. A body may use up to inflight.MinHeldBody beyond it.
func (s *Server) SetBodyMemory(bytes int64) { s.bodyMemory.SetLimit(bytes) }

// AbortBodies rejects all requests whose body is being read before they are passed to the event loop, and all later
// requests with a body.
func (s *Server) AbortBodies() { s.bodies.abort() }

// HTTPServer returns a net/http server that uses s as its handler. net/http does not answer OPTIONS * by itself: a
// response with status 200 may only come from a stock server or the ready check.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler: s, DisableGeneralOptionsHandler: true, ConnContext: withConn, ConnState: s.connStateChanged,
		ReadHeaderTimeout: s.options.ReadTimeout, MaxHeaderBytes: framing.MaxHeader,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// connStateChanged counts connections, and prepares a connection for the next request after a response.
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

// ServeHTTP serves the ready check and passes API requests to the event loop.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn := headConn(r); conn != nil {
		conn.RequestRead()
	}
	if s.Draining() || s.conns.Load() >= s.keepAliveLimit.Load() {
		closeAfterResponse(w, r)
	}
	s.limitWrite(w)
	if conn := headConn(r); conn != nil && conn.HeadRejected() {
		writeError(w, framing.ErrNoHeadMemory, inflight.StatusRejected)
		return
	}
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
		awaitOwnResponse(r)
		http.NotFound(w, r)
	}
}

// serveAPI parses a request and serves it, or rejects it if the request limit is reached.
func (s *Server) serveAPI(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodGet, http.MethodPost) {
		return
	}
	call, body, err := s.parse(w, r)
	if err != nil {
		writeParseError(w, r, err)
		return
	}
	defer s.bodyMemory.Release(int64(call.HeldBytes))
	// The limit also bounds the number of goroutines and of connections to servers. The request has not been sent to a
	// server, so a rejection is correct.
	if s.requests.Add(1) > s.requestLimit.Load() {
		s.requests.Add(-1)
		s.respondAtOnce(w, r, call, inflight.StatusRejected)
		return
	}
	defer s.requests.Add(-1)
	if body == nil {
		s.serveOnce(w, r, call, nil)
		return
	}
	if s.streams.Add(1) > s.streamLimit.Load() {
		s.streams.Add(-1)
		s.streamLimitLog.Warn("clients: too many requests with long bodies for the memory limit, requests are rejected",
			"limit", s.streamLimit.Load())
		s.respondAtOnce(w, r, call, inflight.StatusRejected)
		return
	}
	defer s.streams.Add(-1)
	s.serveOnce(w, r, call, body)
}

// serveOnce serves a request, unless it is a non-idempotent one that is in flight on another connection or may have run
// for a client that left: such a request fails.
func (s *Server) serveOnce(w http.ResponseWriter, r *http.Request, call *inflight.Call, body io.Reader) {
	if s.options.Config.Balance.Classes[call.Request.Class].Idempotency != balance.NonIdempotent {
		s.serve(w, r, call, body)
		return
	}
	id := config.Hash(r.Header.Get("X-Request-ID"))
	if !s.unsafeIDs.begin(id, time.Now()) {
		s.repeatedIDLog.Warn("clients: a request that may have run is not sent again", "request", r.Header.Get("X-Request-ID"))
		s.respondAtOnce(w, r, call, inflight.StatusFailed)
		return
	}
	defer s.endUnsafe(id, call)
	s.serve(w, r, call, body)
}

// endUnsafe records the end of a non-idempotent request.
func (s *Server) endUnsafe(id uint64, call *inflight.Call) {
	defer s.unsafeIDs.end(id)
	if !call.Written.Load() || !call.ClientDisconnected() {
		return
	}
	s.unsafeIDs.abandon(id, time.Now())
	if s.options.Abandoned != nil {
		s.options.Abandoned(id)
	}
}

// RecordAbandoned records that another process of this sidecar has sent a non-idempotent request whose client left.
func (s *Server) RecordAbandoned(id uint64) { s.unsafeIDs.abandon(id, time.Now()) }

// AbandonedIDs returns the hashes of the IDs of non-idempotent requests that may have run and whose client left.
func (s *Server) AbandonedIDs() []uint64 { return s.unsafeIDs.all() }

// respondAtOnce responds to a request without serving it. The client may not have sent all of its body.
func (s *Server) respondAtOnce(w http.ResponseWriter, r *http.Request, call *inflight.Call, status int) {
	bodyIncomplete := call.Outbound.Upload != nil
	if bodyIncomplete {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Connection", "close")
	}
	s.options.Metrics.CountResponse(call.Request.Class, status)
	writeResponse(w, inflight.Response{Status: status})
	if bodyIncomplete {
		discardBody(w, r)
	}
}

// serveReady serves the ready check.
func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodGet, http.MethodHead) {
		return
	}
	awaitOwnResponse(r)
	if s.Draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// allowMethods reports whether a request has one of the methods. If not, it responds with 405.
func allowMethods(w http.ResponseWriter, r *http.Request, methods ...string) bool {
	if slices.Contains(methods, r.Method) {
		return true
	}
	awaitOwnResponse(r)
	w.Header().Set("Allow", strings.Join(methods, ", "))
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	return false
}

// writeParseError responds to a request that could not be parsed.
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
