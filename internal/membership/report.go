package membership

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"marblelane/internal/membership/roster"
)

// reportTimeout bounds the time that Report waits for the owner.
const reportTimeout = 100 * time.Millisecond

// MemberState is the state of a process as seen by another one. The values are part of the wire format.
type MemberState string

// The states of a member.
const (
	Alive       MemberState = "alive"
	Suspected   MemberState = "suspected" // did not acknowledge a probe, and may still refute the suspicion
	Unreachable MemberState = "silent"    // declared dead by the failure detector, but not proved to have ended; counted
	Gone        MemberState = "gone"      // proved to have ended; not counted
)

// Member is the state of one process as seen by another one.
type Member struct {
	Name        string      `json:"name"`
	Start       int64       `json:"start"`
	Addr        string      `json:"addr,omitempty"`
	Zone        string      `json:"zone,omitempty"`
	Role        string      `json:"role,omitempty"`
	Version     string      `json:"version,omitempty"`
	State       MemberState `json:"state"`
	Proof       string      `json:"proof,omitempty"` // why State is Gone: the text of a roster.Proof
	SinceMS     int64       `json:"since_ms"`        // time since State changed, in ms
	LastAliveMS int64       `json:"heard_ms"`        // time since the process was last alive, in ms; -1 means never
	Duplicate   bool        `json:"twin,omitempty"`  // alive together with another process of its name for 10 s or more
}

// Report is the state of the fleet as seen by one process. GET /members returns it.
type Report struct {
	Self    roster.ID   `json:"self"`
	Fleet   string      `json:"fleet"`
	UnixMS  int64       `json:"unix_ms"`
	View    roster.View `json:"view"`
	Changes uint64      `json:"changes"` // number of changes of the view or of a member's state
	Dropped uint64      `json:"dropped"` // number of dropped packets, streams, messages and nodes
	// EstimatedSize is the balancer's estimate of the fleet's size; 0 if the process has no balancer.
	EstimatedSize float64  `json:"believed"`
	Members       []Member `json:"members"` // sorted by name and start, this process included
}

// Report returns the current state of the fleet as seen by this process, or the last scanned one if the owner is busy.
func (g *Group) Report() Report {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_ = g.runOnOwner(ctx, refreshStatus{}) // on failure the last scanned state is reported
	r := Report{Fleet: g.cfg.Fleet, Self: g.current.Load().id, UnixMS: time.Now().UnixMilli(),
		Dropped: g.counters.totalDrops(), View: g.View()}
	if g.cfg.EstimatedSize != nil {
		r.EstimatedSize = g.cfg.EstimatedSize()
	}
	g.status.addMembers(&r, g.now())
	return r
}

// addMembers sets the members of a report.
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

// toMember converts a status for a report.
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
	if m.state == Gone {
		member.Proof = proofText(m.proof)
	}
	return member
}

// proofText returns the text of a proof in reports and logs.
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
	return "proof-" + strconv.Itoa(int(p)) // a proof that a newer version of the program has added
}
