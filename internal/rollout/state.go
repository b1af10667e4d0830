package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

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

// enter takes an entry into its account, and ends the rollout that has spent all with it.
func (s *State) enter(e *Entry, atMS int64) {
	r := s.find(e.Tenant, e.Rollout)
	if r == nil {
		return
	}
	r.enter(e)
	if r.Phase.Over() {
		if a, known := r.Ledger[Key(e.Process)]; known && a.settled() {
			r.fold(Account.settled)
		}
	} else if r.total.Spent >= r.Spec.Budget {
		s.turn(s.tenants[e.Tenant], r, RolledBack, WhySpent, atMS)
	}
}

// settle is an account with later totals of what was spent and returned. It is none where they are more than was ever
// granted: then they are of an account that this one does not continue.
func (a Account) settle(spent, returned int64) (Account, bool) {
	a.Spent, a.Returned = max(a.Spent, spent), max(a.Returned, returned)
	return a, a.Spent <= a.Granted && a.Returned <= a.Granted-a.Spent
}

// settled tells whether nothing of an account is open.
func (a Account) settled() bool { return a.Gone || a.Spent+a.Returned == a.Granted }

// held is what the account's process holds at most.
func (a Account) held() int64 { return a.Granted - a.Spent - a.Returned }

func (a Account) plus(b Account, sign int64) Account {
	return Account{Granted: a.Granted + sign*b.Granted, Spent: a.Spent + sign*b.Spent,
		Returned: a.Returned + sign*b.Returned, Gone: a.Gone || b.Gone}
}

// left is what of the budget nobody holds or has spent.
func (r *run) left() int64 { return r.Spec.Budget - (r.total.Granted - r.total.Returned) }

func (r *run) enter(e *Entry) {
	key := Key(e.Process)
	old, known := r.Ledger[key]
	a, ok := old.settle(e.Spent, e.Returned)
	if old.Gone || !ok || e.Gone && !known {
		return
	}
	if e.Gone {
		a.Gone, a.Spent = true, a.Granted-a.Returned
	} else if !r.Phase.Over() {
		left := r.left() + a.Returned - old.Returned
		a.Granted += max(0, min(e.Granted-a.Granted, left))
	}
	if a == old {
		return
	}
	if !known && len(r.Ledger) >= MaxAccounts {
		if r.fold(func(a Account) bool { return a.Gone }); len(r.Ledger) >= MaxAccounts {
			return
		}
	}
	r.Ledger[key] = a
	r.total = r.total.plus(old, -1).plus(a, 1)
}

// fold adds the accounts that which picks to the one of sums.
func (r *run) fold(which func(Account) bool) {
	sum := r.Ledger[SumKey]
	n := 0
	for key, a := range r.Ledger { // a sum has no order
		if key != SumKey && which(a) {
			sum, n = sum.plus(a, 1), n+1
			delete(r.Ledger, key)
		}
	}
	if n > 0 {
		sum.Gone = true // no entry moves it
		r.Ledger[SumKey] = sum
	}
}

func (r *run) copy() Rollout {
	out := r.Rollout
	out.Spec, out.Ledger = r.Spec.copy(), maps.Clone(r.Ledger)
	return out
}

func (s *Spec) copy() Spec {
	out := *s
	out.Canary, out.Classes, out.Steps = cloneSubset(s.Canary), slices.Clone(s.Classes), slices.Clone(s.Steps)
	return out
}

func cloneSubset(s route.Subset) route.Subset {
	return route.Subset{Model: slices.Clone(s.Model), PodGroup: slices.Clone(s.PodGroup),
		Zone: slices.Clone(s.Zone), UID: slices.Clone(s.UID)}
}

func empty(s route.Subset) bool {
	return len(s.Model) == 0 && len(s.PodGroup) == 0 && len(s.Zone) == 0 && len(s.UID) == 0
}

// sameJSON compares by what is written down, where a list that is empty and one that is not there are alike.
func sameJSON(a, b any) bool {
	x, errA := json.Marshal(a)
	y, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}

// Check finds what a posted rollout lacks, and names the field and its bound.
func (s *Spec) Check() error {
	for _, f := range []struct{ name, value string }{{"tenant", s.Tenant}, {"name", s.Name}, {"to", s.To}} {
		if err := checkName(f.name, f.value); err != nil {
			return err
		}
	}
	switch {
	case len(s.Name) > MaxRollout:
		return fmt.Errorf("%w: name has %d bytes, not 1 to %d", ErrInvalid, len(s.Name), MaxRollout)
	case strings.Contains(s.Name, idMark):
		return fmt.Errorf("%w: name has a %s, which is kept for telling rollouts of one name apart", ErrInvalid, idMark)
	case empty(s.Canary):
		return fmt.Errorf("%w: canary selects all servers, it needs at least one list", ErrInvalid)
	case s.Budget < 1 || s.Budget > MaxBudget:
		return fmt.Errorf("%w: budget is %d, not 1 to %d", ErrInvalid, s.Budget, MaxBudget)
	case s.AtEnd != Keep && s.AtEnd != Return:
		return fmt.Errorf("%w: at_end is %q, not %q or %q", ErrInvalid, s.AtEnd, Keep, Return)
	case len(s.Note) > MaxNote:
		return fmt.Errorf("%w: note is longer than %d bytes", ErrInvalid, MaxNote)
	case len(s.Classes) > MaxClasses:
		return fmt.Errorf("%w: classes are %d, more than %d", ErrInvalid, len(s.Classes), MaxClasses)
	}
	for i, class := range s.Classes {
		if err := checkName(fmt.Sprintf("classes[%d]", i), class); err != nil {
			return err
		}
		if slices.Contains(s.Classes[:i], class) {
			return fmt.Errorf("%w: classes[%d] %q is there twice", ErrInvalid, i, class)
		}
	}
	if err := checkSubset("canary", s.Canary); err != nil {
		return err
	}
	return checkSteps(s.Steps)
}

func checkSteps(steps []Step) error {
	if len(steps) < 1 || len(steps) > MaxSteps {
		return fmt.Errorf("%w: steps are %d, not 1 to %d", ErrInvalid, len(steps), MaxSteps)
	}
	last := 0.0
	for i, st := range steps {
		switch {
		case !(st.Share > 0 && st.Share <= 1):
			return fmt.Errorf("%w: steps[%d].share is %v, not above 0 to 1", ErrInvalid, i, st.Share)
		case st.Share <= last:
			return fmt.Errorf("%w: steps[%d].share is %v, not above the %v before", ErrInvalid, i, st.Share, last)
		case st.HoldMS < 0 || st.HoldMS > MaxHoldMS:
			return fmt.Errorf("%w: steps[%d].hold_ms is %d, not 0 to %d", ErrInvalid, i, st.HoldMS, int64(MaxHoldMS))
		case st.Requests < 0:
			return fmt.Errorf("%w: steps[%d].requests is %d, below 0", ErrInvalid, i, st.Requests)
		}
		last = st.Share
	}
	return nil
}

func checkName(field, value string) error {
	if value == "" || len(value) > MaxName {
		return fmt.Errorf("%w: %s has %d bytes, not 1 to %d", ErrInvalid, field, len(value), MaxName)
	}
	if !utf8.ValidString(value) {
		return fmt.Errorf("%w: %s is no UTF-8", ErrInvalid, field)
	}
	return nil
}

func checkSubset(field string, s route.Subset) error {
	lists := []struct {
		name   string
		values []string
	}{{"model", s.Model}, {"az", s.Zone}, {"uid", s.UID}}
	for _, l := range lists {
		if len(l.values) > MaxSelect {
			return fmt.Errorf("%w: %s.%s has %d values, more than %d", ErrInvalid, field, l.name, len(l.values), MaxSelect)
		}
		for i, v := range l.values {
			if err := checkName(fmt.Sprintf("%s.%s[%d]", field, l.name, i), v); err != nil {
				return err
			}
		}
	}
	if len(s.PodGroup) > MaxSelect {
		return fmt.Errorf("%w: %s.pod_group has %d values, more than %d", ErrInvalid, field, len(s.PodGroup), MaxSelect)
	}
	return nil
}

// saved is a state as a snapshot keeps it.
type saved struct {
	Form    int       `json:"form"`
	Rev     int64     `json:"rev"`
	Closed  int64     `json:"closed"`
	Schema  int       `json:"schema"`
	Tenants []*tenant `json:"tenants"` // by name
}

// savedForm is the form of snapshots; a newer one is refused.
const savedForm = 1

// MarshalJSON writes the whole state down; the same state is the same bytes.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(saved{Form: savedForm, Rev: s.rev, Closed: s.closed, Schema: s.schema, Tenants: s.sorted()})
}

// UnmarshalJSON replaces the state by one that was written down. One of a newer form is refused, and changes nothing.
func (s *State) UnmarshalJSON(data []byte) error {
	var head struct {
		Form int `json:"form"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return fmt.Errorf("rollout: a saved state: %w", err)
	}
	if head.Form != savedForm {
		return fmt.Errorf("rollout: a saved state of form %d, this program reads form %d", head.Form, savedForm)
	}
	var from saved
	if err := json.Unmarshal(data, &from); err != nil {
		return fmt.Errorf("rollout: a saved state: %w", err)
	}
	tenants := make(map[string]*tenant, len(from.Tenants))
	for i, t := range from.Tenants {
		if t == nil {
			return fmt.Errorf("rollout: a saved state: tenants[%d] is null", i)
		}
		for _, r := range t.runs() {
			if r == nil || !r.Phase.Over() && (r.Step < 0 || r.Step >= len(r.Spec.Steps)) {
				return fmt.Errorf("rollout: a saved state: a rollout of tenant %q has no such step", t.Name)
			}
			if r.Ledger == nil {
				r.Ledger = map[string]Account{}
			}
			for _, a := range r.Ledger {
				r.total = r.total.plus(a, 1)
			}
		}
		tenants[t.Name] = t
	}
	s.rev, s.closed, s.schema, s.tenants = from.Rev, from.Closed, from.Schema, tenants
	return nil
}
