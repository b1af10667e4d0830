package listserver

// This file serves watches of the list.

import (
	"net/http"
	"time"
)

// watch sends all changes after a revision to one client until either side closes the watch.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, after int64, staleness time.Duration) {
	first, current, err := s.hub.subscribe(after)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.watches.Add(1)
	defer s.watches.Add(-1)
	s.WriteReplicaHeaders(w, current.rev, staleness)
	w.Header().Set("Content-Type", "application/json")
	writeLine := s.LineWriter(w)
	if len(first) == 0 {
		first = []byte("\n")
	}
	if !writeLine(first) {
		return
	}
	heartbeat := time.NewTicker(WatchHeartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-heartbeat.C:
			if _, stale := s.Stale(); stale || !writeLine([]byte("\n")) {
				return // on a replica that is cut off, heartbeats would hide from the client that it misses changes
			}
			continue
		case <-current.ready:
		}
		previousRev := current.rev
		current = current.next
		if s.hub.lines.Load()-current.position > MaxWatcherLag {
			s.metrics.slowWatchers.Inc()
			return
		}
		text := current.text
		if s.options.Load().EncodePerWatch {
			if text, err = s.hub.encodeSince(previousRev, current.rev); err != nil {
				return
			}
		}
		if !writeLine(text) {
			s.metrics.slowWatchers.Inc()
			return
		}
	}
}

// LineWriter returns a function that writes a line to a watch and reports whether it succeeded within lineWriteTimeout.
func (s *Server) LineWriter(w http.ResponseWriter) func(text []byte) bool {
	control := http.NewResponseController(w)
	return func(text []byte) bool {
		if err := control.SetWriteDeadline(time.Now().Add(lineWriteTimeout)); err != nil {
			return false
		}
		if _, err := w.Write(text); err != nil {
			return false
		}
		s.metrics.watchBytes.Add(float64(len(text)))
		return control.Flush() == nil
	}
}
