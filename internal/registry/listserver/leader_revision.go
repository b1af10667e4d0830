package listserver

import (
	"fmt"
	"net/http"

	"marblelane/internal/registry/state"
)

// LeaderRevPath answers the revision of a confirmed leader.
const LeaderRevPath = "/registry/leader-revision"

// leaderRev answers polls of followers with the revision of this replica, if it leads.
func (s *Server) leaderRev(w http.ResponseWriter, _ *http.Request) {
	var rev int64
	s.hub.Read(func(st *state.State) { rev = st.Rev() })
	if err := s.replica.Confirm(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"rev\":%d}\n", rev)
}
