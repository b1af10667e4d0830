package rollout

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"marblelane/internal/route"
)

// revisionCountBits is the number of low bits of a revision that count changes within an epoch. The revisions of the
// server list have the same layout.
const revisionCountBits = 28

// State holds the bases and rollouts of all tenants. It is deterministic: the same commands produce the same state.
type State struct {
	rev, closed int64
	minSchema   int
	tenants     map[string]*tenantState
}

// tenantState is the stored state of one tenant.
type tenantState struct {
	Name  string          `json:"tenant"`
	Rev   int64           `json:"rev"` // revision of the tenant's last change
	Base  route.Subset    `json:"base,omitzero"`
	Live  *rolloutState   `json:"live,omitempty"`
	Ended []*rolloutState `json:"ended,omitempty"` // ended rollouts, oldest first
}

// rolloutState is a rollout with the fields that only State needs. The fields of the embedded Rollout are stored at the
// same level as its own.
type rolloutState struct {
	Rollout
	PostedRev int64   `json:"posted"` // revision at which the rollout was posted
	totals    Account // sum of all accounts of Ledger; not stored
}

// NewState returns a state without any route.
func NewState() *State { return &State{tenants: map[string]*tenantState{}} }

// BeginEpoch begins an epoch: later revisions are higher than all revisions of earlier epochs.
func (s *State) BeginEpoch(epoch int64) { s.rev = max(s.rev, epoch<<revisionCountBits) }

// Rev returns the revision of the table's last change.
func (s *State) Rev() int64 { return s.rev }

// ClosedRev returns the newest closed revision: no attempt begins under it or an older one.
func (s *State) ClosedRev() int64 { return s.closed }

// MinSchema returns the schema that a process must be able to read to get a lease; 0: no requirement.
func (s *State) MinSchema() int { return s.minSchema }

// TenantRev returns the revision of a tenant's last change, or 0 for an unknown tenant.
func (s *State) TenantRev(name string) int64 {
	if t := s.tenants[name]; t != nil {
		return t.Rev
	}
	return 0
}

// sortedTenants returns all tenants, sorted by name.
func (s *State) sortedTenants() []*tenantState {
	out := make([]*tenantState, 0, len(s.tenants))
	for _, name := range slices.Sorted(maps.Keys(s.tenants)) {
		out = append(out, s.tenants[name])
	}
	return out
}

// findRollout returns the live or ended rollout with this name or ID, or nil.
func (s *State) findRollout(tenant, name string) *rolloutState {
	t := s.tenants[tenant]
	if t == nil {
		return nil
	}
	if t.Live != nil && t.Live.hasNameOrID(name) {
		return t.Live
	}
	for _, r := range t.Ended {
		if r.hasNameOrID(name) {
			return r
		}
	}
	return nil
}

// rollouts returns a tenant's ended rollouts, followed by the live one.
func (t *tenantState) rollouts() []*rolloutState {
	if t.Live == nil {
		return t.Ended
	}
	return append(slices.Clone(t.Ended), t.Live)
}

// rolloutIDSeparator stands between a rollout's name and its number in its ID.
const rolloutIDSeparator = "@"

// id returns the rollout's ID in the table. A name may be reused once the rollout of that name is no longer kept, but an
// ID is unique, so that a process cannot use the canary budget of one rollout for a later rollout of the same name.
func (r *rolloutState) id() string {
	return r.Spec.Name + rolloutIDSeparator + strconv.FormatInt(r.PostedRev, 10)
}

// RolloutName returns the name of a rollout from its ID in a table.
func RolloutName(id string) string {
	if i := strings.LastIndex(id, rolloutIDSeparator); i >= 0 {
		return id[:i]
	}
	return id
}

// hasNameOrID reports whether name is the rollout's name or ID.
func (r *rolloutState) hasNameOrID(name string) bool { return r.Spec.Name == name || r.id() == name }
