package listserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// maxRevisionBytes bounds the answer to a poll of a revision.
const maxRevisionBytes = 64 << 10

// PollRevision asks a replica for one of its revisions, at the path that answers it.
func PollRevision(ctx context.Context, client *http.Client, replica, path string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+replica+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s answers %s", replica, resp.Status)
	}
	var answer struct {
		Rev int64 `json:"rev"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRevisionBytes)).Decode(&answer); err != nil {
		return 0, fmt.Errorf("%s: %w", replica, err)
	}
	return answer.Rev, nil
}
