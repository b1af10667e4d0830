package listserver

// This file serves changes of the set of replicas.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"marblelane/internal/membership"
)

// ReplicasPath is the path of changes of the set of replicas.
const ReplicasPath = "/registry/copies"

// Peer is a replica with its addresses.
type Peer struct {
	Name  string `toml:"name" json:"name"`
	Raft  string `toml:"raft" json:"raft"`
	Serve string `toml:"serve" json:"serve"`
}

// ErrRejected is returned for a change of the replicas that would put the quorum at risk.
var ErrRejected = errors.New("the copies stay as they are")

// ReplicaStatus is the status of a replica as seen by the replica that reports it.
type ReplicaStatus struct {
	Name  string `json:"name"`
	Raft  string `json:"raft"`
	Serve string `json:"serve"`
	Votes bool   `json:"votes"`
	// AckMS is set by the leader: the age of its newest message of this term that the replica has acknowledged; -1 if
	// there is none.
	AckMS int64 `json:"ack_ms"`
	// Member is the state of the replica in the membership group. It does not affect which replicas vote.
	Member membership.MemberState `json:"member"`
}

// ReplicaSet is a replica through which the set of replicas can be changed.
type ReplicaSet interface {
	Add(Peer) error
	Remove(name string) error
	Learn(Peer) error
	Promote(name string) error
	Retire(name string) error
	Name() string
	Replicas() []ReplicaStatus
	Applied() uint64
}

// handleReplicas registers the handlers for changes of the set of replicas.
func (s *Server) handleReplicas(m *http.ServeMux, c ReplicaSet) {
	withPeer := func(apply func(Peer) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var p Peer
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxWriteBodyBytes)).Decode(&p); err != nil {
				http.Error(w, "the body is no copy: "+err.Error(), http.StatusBadRequest)
				return
			}
			if p.Name = r.PathValue("name"); p.Raft == "" || p.Serve == "" {
				http.Error(w, "a copy has the addresses raft and serve", http.StatusBadRequest)
				return
			}
			if s.RequireLeader(w, r) {
				s.writeChangeResult(w, apply(p))
			}
		}
	}
	withName := func(apply func(string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if s.RequireLeader(w, r) {
				s.writeChangeResult(w, apply(r.PathValue("name")))
			}
		}
	}
	m.HandleFunc("POST "+ReplicasPath+"/{name}", withPeer(c.Add))
	m.HandleFunc("DELETE "+ReplicasPath+"/{name}", withName(c.Remove))
	m.HandleFunc("POST "+ReplicasPath+"/{name}/learn", withPeer(c.Learn))
	m.HandleFunc("POST "+ReplicasPath+"/{name}/promote", withName(c.Promote))
	m.HandleFunc("POST "+ReplicasPath+"/{name}/retire", withName(c.Retire))
}

// writeChangeResult responds with the outcome of a change of the replicas.
func (s *Server) writeChangeResult(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrRejected):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "done")
	}
}
