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

// managementServer returns the server of the management address, which the platform calls. It has sockets reserved for
// it and reads only published state, so that it responds under any load.
func (s *Sidecar) managementServer() *http.Server {
	srv := &http.Server{
		Handler: http.HandlerFunc(s.handleManagement), ReadTimeout: config.ManagementTimeout, WriteTimeout: config.ManagementTimeout,
		MaxHeaderBytes: maxManagementHead, DisableGeneralOptionsHandler: true,
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*clientserver.ClientConn); ok && state == http.StateActive {
				conn.RequestRead() // ManagementTimeout still limits the time of the request
			}
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	srv.SetKeepAlivesEnabled(false) // one request per connection
	return srv
}

// handleManagement handles one request to the management address.
func (s *Sidecar) handleManagement(w http.ResponseWriter, r *http.Request) {
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

// writeHealth responds with 200 if this process can serve clients, and with 503 and the reason otherwise.
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
