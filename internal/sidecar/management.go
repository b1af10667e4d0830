package sidecar

import (
	"io"
	"log/slog"
	"net"
	"net/http"

	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/fleet"
)

const (
	healthPath = "/healthcheck"
	statsPath  = "/stats"

	maxManagementHead = 8 << 10 // bytes
)

// managementServer serves the address for the platform. It has descriptors of its own and reads only what others have
// published, so that it answers under any load.
func (s *Sidecar) managementServer() *http.Server {
	srv := &http.Server{
		Handler: http.HandlerFunc(s.manage), ReadTimeout: config.ManagementTimeout, WriteTimeout: config.ManagementTimeout,
		MaxHeaderBytes: maxManagementHead,
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*clientserver.ClientConn); ok && state == http.StateActive {
				conn.RequestRead() // ManagementTimeout bounds it in any case
			}
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	srv.SetKeepAlivesEnabled(false) // one call to a connection
	return srv
}

// manage answers one call of the management address.
func (s *Sidecar) manage(w http.ResponseWriter, r *http.Request) {
	if fleet.IsMembersPath(r.URL.Path) {
		s.loop.Members.ServeHTTP(w, r)
		return
	}
	if r.URL.Path != healthPath && r.URL.Path != statsPath {
		http.NotFound(w, r)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	if r.URL.Path == statsPath {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		s.loop.Metrics.Write(w)
		s.loop.Members.WriteMetrics(w)
		return
	}
	s.writeHealth(w)
}

// writeHealth says whether this process can serve.
func (s *Sidecar) writeHealth(w http.ResponseWriter) {
	switch {
	case s.clients.Draining():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !s.serving.Load():
		http.Error(w, "not serving yet", http.StatusServiceUnavailable)
	case s.loop.Metrics.Servers.Load().Ready == 0:
		http.Error(w, "no server is known to be ready", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}
