package membership

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"marblelane/internal/membership/roster"
)

// reportTimeout is how long a report waits for the owner.
const reportTimeout = 100 * time.Millisecond

// MemberState is the state of a process as another one sees it. The texts are part of the wire form.
type MemberState string

// The states of a member.
const (
	Alive       MemberState = "alive"
	Suspected   MemberState = "suspected" // it did not answer, and may refute the suspicion
	Unreachable MemberState = "silent"    // dead by the failure detector, but not proved gone: it counts
	Removed     MemberState = "gone"      // proved gone
)

// Member is one process as another one sees it.
type Member struct {
	Name        string      `json:"name"`
	Start       int64       `json:"start"`
	Addr        string      `json:"addr,omitempty"`
	Zone        string      `json:"zone,omitempty"`
	Role        string      `json:"role,omitempty"`
	Version     string      `json:"version,omitempty"`
	State       MemberState `json:"state"`
	Proof       string      `json:"proof,omitempty"` // why it is known to be gone: the text of a roster.Proof
	SinceMS     int64       `json:"since_ms"`        // how long it has been in State
	LastAliveMS int64       `json:"heard_ms"`        // time since it was last alive; -1: never
	Duplicate   bool        `json:"twin,omitempty"`  // another process of its name has been alive with it for long
}

// Report is what one process sees of its fleet. GET /members answers it.
type Report struct {
	Self    roster.ID   `json:"self"`
	Fleet   string      `json:"fleet"`
	UnixMS  int64       `json:"unix_ms"`
	View    roster.View `json:"view"`
	Changes uint64      `json:"changes"` // changes of the view or of a member's state
	Dropped uint64      `json:"dropped"` // packets, streams, messages and nodes that were dropped
	// EstimatedSize is the fleet's size that the balancer goes by; 0 where there is no balancer.
	EstimatedSize float64  `json:"believed"`
	Members       []Member `json:"members"` // by name and start, this process included
}

// Report returns all that this process sees now, or what it saw last if the owner is busy.
func (g *Group) Report() Report {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_ = g.runOnOwner(ctx, refreshStatus{}) // the last state is good enough
	r := Report{Fleet: g.cfg.Fleet, Self: g.current.Load().id, UnixMS: time.Now().UnixMilli(),
		Dropped: g.counters.totalDrops(), View: g.View()}
	if g.cfg.EstimatedSize != nil {
		r.EstimatedSize = g.cfg.EstimatedSize()
	}
	g.status.addMembers(&r, g.now())
	return r
}

// addMembers adds the members to a report.
func (t *statusTable) addMembers(r *Report, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Name != "" {
		r.Self = t.self
	}
	r.Changes, r.Members = t.changes, make([]Member, 0, len(t.members))
	for id, m := range t.members {
		r.Members = append(r.Members, m.toMember(id, now))
	}
	slices.SortFunc(r.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
	})
}

// toMember returns the status in the form of a report.
func (m *memberStatus) toMember(id roster.ID, now time.Duration) Member {
	member := Member{Name: id.Name, Start: id.Start, Addr: m.addr, State: m.state, SinceMS: (now - m.since).Milliseconds(),
		LastAliveMS: -1, Duplicate: m.duplicate}
	if m.meta != nil {
		member.Zone, member.Role, member.Version = m.meta.Zone, m.meta.Role, m.meta.Version
	}
	if m.alive() {
		member.LastAliveMS = 0
	} else if m.lastAlive >= 0 {
		member.LastAliveMS = (now - m.lastAlive).Milliseconds()
	}
	if m.state == Removed {
		member.Proof = proofText(m.proof)
	}
	return member
}

// proofText returns a proof's text in reports.
func proofText(p roster.Proof) string {
	switch p {
	case roster.ProofNone:
		return ""
	case roster.ProofRefused:
		return "refused"
	case roster.ProofAddressReused:
		return "replaced"
	case roster.ProofOperator:
		return "told"
	case roster.ProofLeft:
		return "left"
	}
	return "proof-" + strconv.Itoa(int(p)) // of a newer program
}
