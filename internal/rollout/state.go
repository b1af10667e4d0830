package rollout

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"marblelane/internal/route"
)

// Bounds of what is kept and taken.
const (
	MaxTenants  = 1000 // with a base, a rollout or a memory of one
	MaxEnded    = 50   // rollouts of a tenant that are over and remembered
	MaxAccounts = 2000 // of one rollout
	MaxSteps    = 20
	MaxBudget   = 1_000_000
	MaxHoldMS   = 30 * 24 * 3600 * 1000
	MaxName     = 200 // bytes, of each name and each value of a subset
	MaxRollout  = 160 // bytes of a rollout's name, which is told with its number
	MaxClasses  = 100
	MaxSelect   = 1000 // values in one list of a subset
	MaxNote     = 1000 // bytes, of notes and reasons
)

// countBits is the part of a revision that counts within an epoch, as in the server list's.
const countBits = 28

// SumKey is the account that those of processes that are gone become once they are many, and those of a rollout that is
// over once they are settled. No process has this key.
const SumKey = "*"

// WhySpent is the reason of a rollback for which no unit was left.
const WhySpent = "the budget is spent"

// ErrInvalid is of a command whose content cannot be; the error around it names the field and its bound.
var ErrInvalid = errors.New("the route cannot be")

// Key is the name of a process's account: name@start.
func Key(p route.Process) string { return p.Name + "@" + strconv.FormatInt(p.Start, 10) }

// processOf reads a key.
func processOf(key string) (p route.Process, ok bool) {
	at := strings.LastIndexByte(key, '@')
	if at < 0 {
		return p, false
	}
	start, err := strconv.ParseInt(key[at+1:], 10, 64)
	return route.Process{Name: key[:at], Start: start}, err == nil
}

// run is a rollout with what only the state needs.
type run struct {
	Rollout
	Posted int64   `json:"posted"` // revision that it began with
	total  Account // sums of Ledger
}

// tenant is what is kept of one.
type tenant struct {
	Name  string       `json:"tenant"`
	Rev   int64        `json:"rev"` // of its last change
	Base  route.Subset `json:"base,omitzero"`
	Live  *run         `json:"live,omitempty"`
	Ended []*run       `json:"ended,omitempty"` // oldest first
}

// State is all tenants' bases and rollouts. It is deterministic: the same commands give the same state.
type State struct {
	rev, closed int64
	schema      int
	tenants     map[string]*tenant
}

// NewState makes a state without any route.
func NewState() *State { return &State{tenants: map[string]*tenant{}} }

// Begin begins a history: revisions go on from the epoch's first where that is later.
func (s *State) Begin(epoch int64) { s.rev = max(s.rev, epoch<<countBits) }

// Rev is the revision of the table's last change.
func (s *State) Rev() int64 { return s.rev }

// Closed is the newest revision under which no attempt begins any more.
func (s *State) Closed() int64 { return s.closed }

// MinSchema is the oldest schema that a process must read to be permitted; 0: any.
func (s *State) MinSchema() int { return s.schema }

// TenantRev is the revision of a tenant's last change; 0: there is none.
func (s *State) TenantRev(name string) int64 {
	if t := s.tenants[name]; t != nil {
		return t.Rev
	}
	return 0
}

// Table is what processes are told: the tenants that have a base or a rollout under way, by name. A paused one is told
// with share 0, so that processes keep their purses for it.
func (s *State) Table() route.Table {
	out := route.Table{Rev: s.rev, Closed: s.closed}
	for _, t := range s.sorted() {
		r := t.Live
		if r == nil && empty(t.Base) {
			continue
		}
		line := route.Route{Tenant: t.Name, Base: cloneSubset(t.Base)}
		if r != nil {
			line.Classes, line.Canary = slices.Clone(r.Spec.Classes), cloneSubset(r.Spec.Canary)
			line.Rollout, line.Step, line.Budget = r.id(), r.Step, true
			line.Late, line.Note = r.Spec.Late, r.Spec.Note
			if r.Phase == Running {
				line.Share = r.Spec.Steps[r.Step].Share
			}
		}
		out.Routes = append(out.Routes, line)
	}
	return out
}

// Rollouts are all that are remembered, by tenant and name.
func (s *State) Rollouts() []Rollout {
	var out []Rollout
	for _, t := range s.sorted() {
		out = append(out, s.RolloutsOf(t.Name)...)
	}
	return out
}

// RolloutsOf are those of one tenant that are remembered, by name.
func (s *State) RolloutsOf(tenant string) []Rollout {
	var out []Rollout
	if t := s.tenants[tenant]; t != nil {
		for _, r := range t.runs() {
			out = append(out, r.copy())
		}
	}
	slices.SortFunc(out, func(a, b Rollout) int { return strings.Compare(a.Spec.Name, b.Spec.Name) })
	return out
}

// Live are the specs of all rollouts under way, by tenant.
func (s *State) Live() []Spec {
	var out []Spec
	for _, t := range s.sorted() {
		if t.Live != nil {
			out = append(out, t.Live.Spec.copy())
		}
	}
	return out
}

// LiveOf is the rollout of a tenant that is under way.
func (s *State) LiveOf(tenant string) (spec Spec, ok bool) {
	if t := s.tenants[tenant]; t != nil && t.Live != nil {
		return t.Live.Spec.copy(), true
	}
	return Spec{}, false
}

// Try tells what a command of a tenant would make of the table, and changes nothing. It costs as much as that one
// tenant has, and a table.
func (s *State) Try(c *Command) (table route.Table, changed bool, err error) {
	name := c.Tenant
	if c.Spec != nil {
		name = c.Spec.Tenant
	}
	as := &State{rev: s.rev, closed: s.closed, schema: s.schema, tenants: maps.Clone(s.tenants)}
	if t := s.tenants[name]; t != nil {
		one := *t
		one.Ended = slices.Clone(t.Ended)
		for i, r := range one.Ended {
			one.Ended[i] = r.alone()
		}
		if t.Live != nil {
			one.Live = t.Live.alone()
		}
		as.tenants[name] = &one
	}
	if _, err := as.Apply(c); err != nil {
		return route.Table{}, false, err
	}
	return as.Table(), as.rev != s.rev, nil
}

// alone is a copy without accounts.
func (r *run) alone() *run {
	out := *r
	out.Ledger = map[string]Account{}
	return &out
}

// id names a rollout in what processes are told: a name may be used again once it is forgotten, and a purse must not be.
func (r *run) id() string { return r.Spec.Name + idMark + strconv.FormatInt(r.Posted, 10) }

const idMark = "@"

// NameOf is the tenant's name for a rollout that a table names.
func NameOf(id string) string {
	if i := strings.LastIndex(id, idMark); i >= 0 {
		return id[:i]
	}
	return id
}

// is tells whether a rollout is named so, by its tenant or in a table.
func (r *run) is(name string) bool { return r.Spec.Name == name || r.id() == name }

// Rollout gives one.
func (s *State) Rollout(tenant, name string) (Rollout, bool) {
	if r := s.find(tenant, name); r != nil {
		return r.copy(), true
	}
	return Rollout{}, false
}

// Held is what all processes together were granted of a rollout's budget, have spent of it and returned.
func (s *State) Held(tenant, name string) (granted, spent, returned int64) {
	if r := s.find(tenant, name); r != nil {
		return r.total.Granted, r.total.Spent, r.total.Returned
	}
	return 0, 0, 0
}

func (s *State) sorted() []*tenant {
	out := make([]*tenant, 0, len(s.tenants))
	for _, name := range slices.Sorted(maps.Keys(s.tenants)) {
		out = append(out, s.tenants[name])
	}
	return out
}

func (s *State) find(tenant, name string) *run {
	t := s.tenants[tenant]
	if t == nil {
		return nil
	}
	if t.Live != nil && t.Live.is(name) {
		return t.Live
	}
	for _, r := range t.Ended {
		if r.is(name) {
			return r
		}
	}
	return nil
}

func (t *tenant) runs() []*run {
	if t.Live == nil {
		return t.Ended
	}
	return append(slices.Clone(t.Ended), t.Live)
}

// Apply carries out a command. It returns the revision after which a reader sees it: of the change, or of the one that
// made it so before, so that a command that is sent twice does no harm. A command that is refused changes nothing.
func (s *State) Apply(c *Command) (rev int64, err error) {
	switch c.Op {
	case OpBase:
		return s.base(c)
	case OpPost:
		return s.post(c)
	case OpForward, OpPause, OpResume, OpRollBack, OpStop:
		return s.move(c)
	case OpClose: // of the newest revision attempts always may begin
		s.closed = max(s.closed, min(c.Rev, s.rev-1))
		return s.rev, nil
	case OpSchema:
		s.schema = max(s.schema, c.Schema)
		return s.rev, nil
	case OpLedger:
		for i := range c.Entries {
			s.enter(&c.Entries[i], c.AtMS)
		}
		return s.rev, nil
	}
	return 0, fmt.Errorf("rollout: unknown operation %q", c.Op)
}

// tenant gives a tenant, a new one while there is room.
func (s *State) tenant(name string) (*tenant, error) {
	t := s.tenants[name]
	if t == nil {
		if len(s.tenants) >= MaxTenants {
			return nil, fmt.Errorf("%w: tenant %q would be one more than %d", ErrInvalid, name, MaxTenants)
		}
		t = &tenant{Name: name}
	}
	return t, nil
}

func (s *State) base(c *Command) (int64, error) {
	if err := checkName("tenant", c.Tenant); err != nil {
		return 0, err
	}
	if err := checkSubset("base", c.Base); err != nil {
		return 0, err
	}
	t, err := s.tenant(c.Tenant)
	switch {
	case err != nil:
		return 0, err
	case sameJSON(t.Base, c.Base): // sent twice, or nothing new
		return t.Rev, nil
	case t.Live != nil:
		return 0, ErrBusy
	case c.If != nil && *c.If != t.Rev:
		return 0, ErrConflict
	}
	t.Base = cloneSubset(c.Base)
	s.tenants[t.Name] = t
	return s.changed(t), nil
}

func (s *State) post(c *Command) (int64, error) {
	if c.Spec == nil {
		return 0, fmt.Errorf("%w: spec is missing", ErrInvalid)
	}
	if err := c.Spec.Check(); err != nil {
		return 0, err
	}
	t, err := s.tenant(c.Spec.Tenant)
	if err != nil {
		return 0, err
	}
	old := s.find(c.Spec.Tenant, c.Spec.Name)
	switch {
	case old != nil && sameJSON(old.Spec, *c.Spec):
		return old.Posted, nil
	case old != nil:
		return 0, ErrExists
	case t.Live != nil:
		return 0, ErrBusy
	case c.If != nil && *c.If != t.Rev:
		return 0, ErrConflict
	}
	for _, r := range t.Ended {
		r.fold(func(Account) bool { return true })
	}
	s.tenants[t.Name] = t
	t.Live = &run{Rollout: Rollout{Spec: c.Spec.copy(), Phase: Running, SinceMS: c.AtMS, Ledger: map[string]Account{}}}
	t.Live.Posted = s.changed(t)
	t.Live.Rev = t.Live.Posted
	return t.Live.Rev, nil
}

// changed gives a tenant's change its revision. A count that is used up goes on in the next epoch, which is the next
// number.
func (s *State) changed(t *tenant) int64 {
	s.rev++
	t.Rev = s.rev
	return s.rev
}

// move changes the phase or the step of a rollout.
func (s *State) move(c *Command) (int64, error) {
	r := s.find(c.Tenant, c.Name)
	if r == nil {
		return 0, ErrUnknown
	}
	t := s.tenants[c.Tenant]
	switch {
	case c.Op == OpForward:
		return s.forward(t, r, c), nil
	case c.Op == OpPause && r.Phase == Paused && passing(r.Why) && !passing(c.Why):
		return s.turn(t, r, Paused, c.Why, c.AtMS), nil // else the controller would resume what somebody wants to rest
	case r.Phase == c.Op.leadsTo():
		return r.Rev, nil // sent twice
	case r.Phase.Over():
		return 0, ErrOver
	case c.Op == OpStop && c.If != nil && *c.If != t.Rev:
		return 0, ErrConflict
	}
	return s.turn(t, r, c.Op.leadsTo(), c.Why, c.AtMS), nil
}

// passing tells whether a pause is the controller's own, which it ends itself.
func passing(why string) bool { return why == WhyEmpty || why == WhyBehind }

// leadsTo is the phase after an operation.
func (o Op) leadsTo() Phase {
	switch o {
	case OpPause:
		return Paused
	case OpRollBack:
		return RolledBack
	case OpStop:
		return Stopped
	}
	return Running
}

func (s *State) forward(t *tenant, r *run, c *Command) int64 {
	if r.Phase != Running || r.Step != c.Step {
		return r.Rev
	}
	if r.Step+1 < len(r.Spec.Steps) {
		r.Step++
		return s.turn(t, r, Running, "", c.AtMS)
	}
	if r.Spec.AtEnd == Keep {
		t.Base = cloneSubset(r.Spec.Canary)
	}
	return s.turn(t, r, Done, "", c.AtMS)
}

// turn is each change of a rollout after its post.
func (s *State) turn(t *tenant, r *run, to Phase, why string, atMS int64) int64 {
	r.Phase, r.Why, r.SinceMS = to, strings.ToValidUTF8(why[:min(len(why), MaxNote)], ""), atMS
	r.Rev = s.changed(t)
	if to.Over() {
		t.Live, t.Ended = nil, append(t.Ended, r)
		if extra := len(t.Ended) - MaxEnded; extra > 0 {
			t.Ended = slices.Clone(t.Ended[extra:])
		}
		r.fold(Account.settled)
	}
	return r.Rev
}

func (r *run) copy() Rollout {
	out := r.Rollout
	out.Spec, out.Ledger = r.Spec.copy(), maps.Clone(r.Ledger)
	return out
}

// savedForm is the form of snapshots; a newer one is refused.
const savedForm = 1
