package listserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"marblelane/internal/registry/state"
)

// LeaderRevPath is the path at which the leader reports its revision, once a quorum has confirmed that it leads.
const LeaderRevPath = "/registry/leader-revision"

// leaderRev responds to polls of followers with the revision of this replica, or with 503 if it is not the leader.
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

// maxRevisionBytes bounds the response to a poll of a revision.
const maxRevisionBytes = 64 << 10

// PollRevision reads a revision of a replica from the HTTP path that reports it.
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
		return 0, fmt.Errorf("%s responded with %s", replica, resp.Status)
	}
	var response struct {
		Rev int64 `json:"rev"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRevisionBytes)).Decode(&response); err != nil {
		return 0, fmt.Errorf("%s: %w", replica, err)
	}
	return response.Rev, nil
}
