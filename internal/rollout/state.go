package rollout

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"marblelane/internal/route"
)

// revisionCountBits is the low part of a revision, which counts within an epoch; the server list's is the same.
const revisionCountBits = 28

// State is the bases and rollouts of all tenants. It is deterministic: the same commands give the same state.
type State struct {
	rev, closed int64
	minSchema   int
	tenants     map[string]*tenantState
}

// tenantState is what is stored of one tenant.
type tenantState struct {
	Name  string          `json:"tenant"`
	Rev   int64           `json:"rev"` // of its last change
	Base  route.Subset    `json:"base,omitzero"`
	Live  *rolloutState   `json:"live,omitempty"`
	Ended []*rolloutState `json:"ended,omitempty"` // oldest first
}

// rolloutState is a rollout with what only the state needs. The embedded Rollout's fields are stored beside its own.
type rolloutState struct {
	Rollout
	PostedRev int64   `json:"posted"` // revision of its post
	totals    Account // sums of Ledger
}

// NewState returns a state without any route.
func NewState() *State { return &State{tenants: map[string]*tenantState{}} }

// BeginEpoch begins an epoch: the next revisions are at least its first.
func (s *State) BeginEpoch(epoch int64) { s.rev = max(s.rev, epoch<<revisionCountBits) }

// Rev is the revision of the table's last change.
func (s *State) Rev() int64 { return s.rev }

// ClosedRev is the newest revision under which no attempt begins any more.
func (s *State) ClosedRev() int64 { return s.closed }

// MinSchema is the oldest schema that a process must read to get a lease; 0: any.
func (s *State) MinSchema() int { return s.minSchema }

// TenantRev is the revision of a tenant's last change; 0: there is none.
func (s *State) TenantRev(name string) int64 {
	if t := s.tenants[name]; t != nil {
		return t.Rev
	}
	return 0
}

// sortedTenants are all tenants by name.
func (s *State) sortedTenants() []*tenantState {
	out := make([]*tenantState, 0, len(s.tenants))
	for _, name := range slices.Sorted(maps.Keys(s.tenants)) {
		out = append(out, s.tenants[name])
	}
	return out
}

// findRollout finds a live or remembered rollout by its name or ID; nil: there is none.
func (s *State) findRollout(tenant, name string) *rolloutState {
	t := s.tenants[tenant]
	if t == nil {
		return nil
	}
	if t.Live != nil && t.Live.named(name) {
		return t.Live
	}
	for _, r := range t.Ended {
		if r.named(name) {
			return r
		}
	}
	return nil
}

// rollouts are a tenant's remembered rollouts and its live one.
func (t *tenantState) rollouts() []*rolloutState {
	if t.Live == nil {
		return t.Ended
	}
	return append(slices.Clone(t.Ended), t.Live)
}

// idSeparator stands between a rollout's name and its number in its ID.
const idSeparator = "@"

// id names a rollout in the table. A name may be used again once it is forgotten; an ID is not, so that the canary
// budget which a process holds for the one is not used for the other.
func (r *rolloutState) id() string {
	return r.Spec.Name + idSeparator + strconv.FormatInt(r.PostedRev, 10)
}

// RolloutName is the tenant's name of a rollout, from its ID in a table.
func RolloutName(id string) string {
	if i := strings.LastIndex(id, idSeparator); i >= 0 {
		return id[:i]
	}
	return id
}

// named reports whether name is the rollout's name or ID.
func (r *rolloutState) named(name string) bool { return r.Spec.Name == name || r.id() == name }
