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
	// watchIdleInterval is how often a watch gets an empty line while nothing changes.
	watchIdleInterval = 2 * time.Second
	maxBodyBytes      = 4 << 10
)

// Handler serves reports and operators' requests: GET /members, with ?watch=1 a line at each change and an empty one each
// 2 s; POST /members/leave; POST /members/gone with {"name", "start"}. It does no authentication.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", g.serveReport)
	mux.HandleFunc("POST /members/leave", g.serveLeave)
	mux.HandleFunc("POST /members/gone", g.serveRemove)
	return mux
}

func (g *Group) serveReport(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		_ = encoder.Encode(g.Report()) // fails only if the caller has gone
		return
	}
	g.watchReport(r.Context(), w, encoder)
}

// watchReport writes a report at each change until the caller or the owner has gone.
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

func (g *Group) serveRemove(w http.ResponseWriter, r *http.Request) {
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
	writeResult(w, g.RemoveMember(id))
}

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
