package listserver

// This file serves watches of the list.

import (
	"net/http"
	"time"
)

// watch sends all changes to one client until either side ends the watch.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, after int64, staleness time.Duration) {
	first, at, err := s.hub.subscribe(after)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.watches.Add(1)
	defer s.watches.Add(-1)
	s.WriteReplicaHeaders(w, at.rev, staleness)
	w.Header().Set("Content-Type", "application/json")
	say := s.LineWriter(w)
	if len(first) == 0 {
		first = []byte("\n")
	}
	if !say(first) {
		return
	}
	tick := time.NewTicker(WatchHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
			if _, stale := s.Stale(); stale || !say([]byte("\n")) {
				return // a watch on a replica that is cut off would look alive and tell nothing
			}
			continue
		case <-at.ready:
		}
		before := at.rev
		at = at.next
		if s.hub.lines.Load()-at.n > MaxWatcherLag {
			s.metrics.slow.Inc()
			return
		}
		text := at.text
		if s.o.Load().EncodePerWatch {
			if text, err = s.hub.encodeSince(before, at.rev); err != nil {
				return
			}
		}
		if !say(text) {
			s.metrics.slow.Inc()
			return
		}
	}
}

// LineWriter returns a function that writes a line to a watch and reports whether it was written in time.
func (s *Server) LineWriter(w http.ResponseWriter) func(text []byte) bool {
	control := http.NewResponseController(w)
	return func(text []byte) bool {
		if err := control.SetWriteDeadline(time.Now().Add(lineWriteTimeout)); err != nil {
			return false
		}
		if _, err := w.Write(text); err != nil {
			return false
		}
		s.metrics.bytes.Add(float64(len(text)))
		return control.Flush() == nil
	}
}
