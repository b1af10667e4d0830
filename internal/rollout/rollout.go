// Package rollout moves the canaries of tenants forward step by step under an error budget, and rolls them back.
//
// The package does no input or output and reads no clock. State is replicated by the raft log of the list service and
// changes by commands alone. Controller is what the leader remembers and decides; each call passes the time in.
//
// What is promised, and the alternatives that were not taken: docs/routes.md.
package rollout

import "errors"

// Phase is where a rollout is.
type Phase string

// The phases. Done, RolledBack and Stopped are final.
const (
	Running    Phase = "running"
	Paused     Phase = "paused" // no request goes to the canary until the rollout is resumed
	Done       Phase = "done"
	RolledBack Phase = "rolled-back"
	Stopped    Phase = "stopped" // by the tenant or an operator
)

// IsFinal reports whether a phase is final.
func (p Phase) IsFinal() bool { return p == Done || p == RolledBack || p == Stopped }

// Reasons that a controller gives for its commands. It resumes only a rollout that it has paused itself.
const (
	ReasonNoReadyServer = "the canary has no ready server"
	ReasonStragglers    = "too many processes are behind"
	ReasonCanaryWorse   = "the canary is clearly worse than the base at the same time"
	ReasonBudgetSpent   = "the budget is spent"
)

// pausedByController reports whether a pause with this reason was the controller's own.
func pausedByController(reason string) bool {
	return reason == ReasonNoReadyServer || reason == ReasonStragglers
}

// Rollout is one rollout in the replicated state.
type Rollout struct {
	Spec        Spec               `json:"spec"`
	Phase       Phase              `json:"phase"`
	Step        int                `json:"step"`
	Rev         int64              `json:"rev"` // revision of its last change
	Reason      string             `json:"why,omitempty"`
	ChangedAtMS int64              `json:"since_ms"` // the leader's wall clock at its last change; only people read it
	Ledger      map[string]Account `json:"ledger"`   // by AccountKey
}

// Errors of Apply.
var (
	ErrConflict = errors.New("the tenant's routes have changed meanwhile")
	ErrNotFound = errors.New("there is no such rollout")
	ErrEnded    = errors.New("the rollout is over")
	ErrExists   = errors.New("a rollout of this name, and another content, exists")
	ErrBusy     = errors.New("a rollout of this tenant is under way")

	// ErrInvalid is wrapped by an error that names the field and its bound.
	ErrInvalid = errors.New("the route cannot be")
)
