// Package rollout moves tenants' canaries forward under a budget, and back. It is pure: State is replicated by the list
// service's raft and changes by commands alone; Controller is what the leader remembers and decides, fed with a clock.
// Promises and the ways not taken: docs/routes.md.
package rollout

import (
	"errors"

	"marblelane/internal/route"
)

// Spec is a rollout as a tenant posts it, with the subsets that its names stood for in the operators' file.
type Spec struct {
	Tenant  string       `json:"tenant"`
	Name    string       `json:"name"` // the tenant's own for it; a name is used once
	To      string       `json:"to"`   // name of the canary's subset
	Canary  route.Subset `json:"canary"`
	Classes []string     `json:"classes,omitempty"` // empty: all
	Steps   []Step       `json:"steps"`
	Budget  int64        `json:"budget"` // failures that it may cost
	Late    bool         `json:"late"`   // answers after the aim are failures too
	AtEnd   string       `json:"at_end"` // Keep: the canary becomes the base; Return: the base stays
	Note    string       `json:"note,omitempty"`
}

// What becomes of a canary that has held all its steps.
const (
	Keep   = "keep"
	Return = "return"
)

// Step is a share with what it takes to go on from it.
type Step struct {
	Share    float64 `json:"share"`    // of the tenant's requests, above 0 to 1, growing
	HoldMS   int64   `json:"hold_ms"`  // least time
	Requests int64   `json:"requests"` // least number of canary attempts that have ended
}

// Phase is where a rollout is.
type Phase string

// The phases; the last three are ends, which nothing leaves.
const (
	Running    Phase = "running"
	Paused     Phase = "paused" // share 0 until it is resumed
	Done       Phase = "done"
	RolledBack Phase = "rolled-back"
	Stopped    Phase = "stopped" // by the tenant or an operator
)

// Over tells whether a phase is an end.
func (p Phase) Over() bool { return p == Done || p == RolledBack || p == Stopped }

// Op is what a command does.
type Op string

// The operations; the comment names the fields of Command that count.
const (
	OpBase     Op = "base"     // Tenant, Base, If: the base without a rollout
	OpPost     Op = "post"     // Spec, If
	OpForward  Op = "forward"  // Tenant, Name, Step: from this step to the next, or to the end
	OpPause    Op = "pause"    // Tenant, Name, Why
	OpResume   Op = "resume"   // Tenant, Name
	OpRollBack Op = "rollback" // Tenant, Name, Why
	OpStop     Op = "stop"     // Tenant, Name, Why, If
	OpClose    Op = "close"    // Rev: no attempt begins any more under it or an older one
	OpLedger   Op = "ledger"   // Entries: gathered grants and settlements
	OpSchema   Op = "schema"   // Schema: processes that do not read this one are shut out
)

// Command is one change, as it is replicated. AtMS is the leader's wall clock, for people.
type Command struct {
	Op      Op           `json:"op"`
	AtMS    int64        `json:"at_ms"`
	Tenant  string       `json:"tenant,omitempty"`
	Name    string       `json:"name,omitempty"`
	If      *int64       `json:"if,omitempty"` // revision of the tenant's last change; 0: there is none
	Base    route.Subset `json:"base,omitzero"`
	Spec    *Spec        `json:"spec,omitempty"`
	Step    int          `json:"step,omitempty"`
	Rev     int64        `json:"rev,omitempty"`
	Schema  int          `json:"schema,omitempty"`
	Why     string       `json:"why,omitempty"`
	Entries []Entry      `json:"entries,omitempty"`
}

// Entry moves one process's account with one rollout, in totals; what is below the account's own changes nothing, so
// that an entry may come twice or late.
type Entry struct {
	route.Process
	Tenant   string `json:"tenant"`
	Rollout  string `json:"rollout"`
	Granted  int64  `json:"granted"`
	Spent    int64  `json:"spent"`
	Returned int64  `json:"returned"`
	Gone     bool   `json:"gone,omitempty"` // the process is no more: what it held is spent
}

// Account is what one process has of one rollout's budget, in totals.
type Account struct {
	Granted  int64 `json:"granted"`
	Spent    int64 `json:"spent"`
	Returned int64 `json:"returned"`
	Gone     bool  `json:"gone,omitempty"`
}

// Rollout is one rollout as the copies have it.
type Rollout struct {
	Spec    Spec               `json:"spec"`
	Phase   Phase              `json:"phase"`
	Step    int                `json:"step"`
	Rev     int64              `json:"rev"` // of its last change
	Why     string             `json:"why,omitempty"`
	SinceMS int64              `json:"since_ms"` // wall clock of its last change, for people
	Ledger  map[string]Account `json:"ledger"`   // by process, see Key
}

// Errors of commands.
var (
	ErrConflict = errors.New("the tenant's routes have changed meanwhile")
	ErrUnknown  = errors.New("there is no such rollout")
	ErrOver     = errors.New("the rollout is over")
	ErrExists   = errors.New("a rollout of this name, and another content, exists")
	ErrBusy     = errors.New("a rollout of this tenant is under way")
)
