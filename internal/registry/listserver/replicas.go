package listserver

// This file serves the members of the cluster and changes of them.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"marblelane/internal/membership"
)

// ReplicasPath is the path of changes of the cluster.
const ReplicasPath = "/registry/copies"

// Peer is a replica with its addresses.
type Peer struct {
	Name  string `toml:"name" json:"name"`
	Raft  string `toml:"raft" json:"raft"`
	Serve string `toml:"serve" json:"serve"`
}

// ErrRejected rejects a membership change that would put the quorum at risk.
var ErrRejected = errors.New("the copies stay as they are")

// ReplicaStatus is one replica in the status of another.
type ReplicaStatus struct {
	Name   string                 `json:"name"`
	Raft   string                 `json:"raft"`
	Serve  string                 `json:"serve"`
	Votes  bool                   `json:"votes"`
	AckMS  int64                  `json:"ack_ms"` // at the leader: age of the newest acknowledged message of this term; -1: none
	Member membership.MemberState `json:"member"` // from membership; it does not affect who votes
}

// ReplicaSet is a replica whose members can be changed.
type ReplicaSet interface {
	Add(Peer) error
	Remove(name string) error
	AddLearner(Peer) error
	Promote(name string) error
	Retire(name string) error
	Name() string
	Replicas() []ReplicaStatus
	Applied() uint64
}

// handleReplicas serves changes of the cluster.
func (s *Server) handleReplicas(m *http.ServeMux, c ReplicaSet) {
	peer := func(do func(Peer) error) http.HandlerFunc {
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
				s.answer(w, do(p))
			}
		}
	}
	named := func(do func(string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if s.RequireLeader(w, r) {
				s.answer(w, do(r.PathValue("name")))
			}
		}
	}
	m.HandleFunc("POST "+ReplicasPath+"/{name}", peer(c.Add))
	m.HandleFunc("DELETE "+ReplicasPath+"/{name}", named(c.Remove))
	m.HandleFunc("POST "+ReplicasPath+"/{name}/learn", peer(c.AddLearner))
	m.HandleFunc("POST "+ReplicasPath+"/{name}/promote", named(c.Promote))
	m.HandleFunc("POST "+ReplicasPath+"/{name}/retire", named(c.Retire))
}

func (s *Server) answer(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrRejected):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "done")
	}
}
