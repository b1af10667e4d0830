package membership

import (
	"marblelane/internal/membership/roster"
)

// MemberState is how a process stands with another.
type MemberState string

// The standings of a member, as one process sees it.
const (
	Alive     MemberState = "alive"
	Suspected MemberState = "suspected" // it did not answer, and may refute that
	Silent    MemberState = "silent"    // taken for dead by the failure detector, but not proved gone: it counts
	Gone      MemberState = "gone"      // proved gone
)

// Member is one process as another sees it.
type Member struct {
	Name    string      `json:"name"`
	Start   int64       `json:"start"`
	Addr    string      `json:"addr,omitempty"`
	Zone    string      `json:"zone,omitempty"`
	Role    string      `json:"role,omitempty"`
	Version string      `json:"version,omitempty"`
	State   MemberState `json:"state"`
	Proof   string      `json:"proof,omitempty"` // why it is known to be gone: refused, replaced, told, left
	SinceMS int64       `json:"since_ms"`        // for so long it has stood so
	HeardMS int64       `json:"heard_ms"`        // since it was last alive; -1: never
	Twin    bool        `json:"twin,omitempty"`  // another process of its name is alive beside it
}

// Report is what one process says of its fleet; GET /members answers it.
type Report struct {
	Self    roster.ID   `json:"self"`
	Fleet   string      `json:"fleet"`
	UnixMS  int64       `json:"unix_ms"`
	View    roster.View `json:"view"`
	Changes uint64      `json:"changes"` // how often what it sees has changed
	Dropped uint64      `json:"dropped"` // packets and connections that were refused or not understood
	// Believed is how many processes decisions go by; 0 where nothing is decided.
	Believed float64  `json:"believed"`
	Members  []Member `json:"members"` // by name and start, itself included
}
