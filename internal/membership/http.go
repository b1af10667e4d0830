package membership

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"marblelane/internal/membership/roster"
)

const (
	// watchIdleInterval is the time between two empty lines of a watch while nothing changes.
	watchIdleInterval = 2 * time.Second
	maxBodyBytes      = 4 << 10
)

// Handler returns the handler of the HTTP API, which does no authentication:
//
//   - GET /members returns the Report. With ?watch=1 it streams a report per line at each change, and an empty line
//     every 2 s while nothing changes.
//   - POST /members/leave makes this process leave the fleet.
//   - POST /members/gone with {"name", "start"} marks a process gone that has ended.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", g.serveReport)
	mux.HandleFunc("POST /members/leave", g.serveLeave)
	mux.HandleFunc("POST /members/gone", g.serveConfirmGone)
	return mux
}

func (g *Group) serveReport(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		_ = encoder.Encode(g.Report()) // fails only if the client has disconnected
		return
	}
	g.watchReport(r.Context(), w, encoder)
}

// watchReport writes a report at each change until the client disconnects or the owner ends.
func (g *Group) watchReport(ctx context.Context, w http.ResponseWriter, encoder *json.Encoder) {
	flush := http.NewResponseController(w)
	idle := time.NewTicker(watchIdleInterval)
	defer idle.Stop()
	for {
		changed := g.status.nextChange()
		if encoder.Encode(g.Report()) != nil || flush.Flush() != nil {
			return
		}
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-idle.C:
				if _, err := w.Write([]byte("\n")); err != nil || flush.Flush() != nil {
					return
				}
			case <-g.ownerDone:
				return
			case <-ctx.Done():
				return
			}
		}
	}
}

func (g *Group) serveLeave(w http.ResponseWriter, r *http.Request) {
	writeResult(w, g.Leave(r.Context()))
}

func (g *Group) serveConfirmGone(w http.ResponseWriter, r *http.Request) {
	var id roster.ID
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&id); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := checkID(id); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeResult(w, g.ConfirmGone(id))
}

// writeResult writes the response for the result of an operator's request.
func writeResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, ErrUnknownMember):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, net.ErrClosed):
		http.Error(w, "it has left, or is closed", http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
