// Package rollout advances the canaries of tenants step by step under an error budget, and rolls them back.
//
// The package does no input or output and reads no clock. State is replicated through the raft log of the list service
// and is changed only by commands. Controller keeps the leader's view of processes and rollouts in memory and decides
// which commands are due; each call passes the time as an argument.
//
// The guarantees and the rejected alternatives are described in docs/routes.md.
package rollout

import "errors"

// Phase is the phase of a rollout's lifecycle.
type Phase string

// The phases of a rollout. Done, RolledBack and Stopped are final.
const (
	Running    Phase = "running"
	Paused     Phase = "paused" // no request goes to the canary until the rollout is resumed
	Done       Phase = "done"
	RolledBack Phase = "rolled-back"
	Stopped    Phase = "stopped" // stopped by the tenant or an operator
)

// IsFinal reports whether a phase is final.
func (p Phase) IsFinal() bool { return p == Done || p == RolledBack || p == Stopped }

// Reasons of commands that a controller issues. A controller resumes only a rollout that a controller has paused.
const (
	ReasonNoReadyServer = "the canary has no ready server"
	ReasonStragglers    = "too many processes are behind"
	ReasonCanaryWorse   = "the canary is clearly worse than the base at the same time"
	ReasonBudgetSpent   = "the budget is spent"
)

// pausedByController reports whether a pause with this reason was issued by a controller.
func pausedByController(reason string) bool {
	return reason == ReasonNoReadyServer || reason == ReasonStragglers
}

// Rollout is one rollout in the replicated state.
type Rollout struct {
	Spec        Spec               `json:"spec"`
	Phase       Phase              `json:"phase"`
	Step        int                `json:"step"`
	Rev         int64              `json:"rev"` // revision of the rollout's last change
	Reason      string             `json:"why,omitempty"`
	ChangedAtMS int64              `json:"since_ms"` // the leader's wall clock at the last change, for display only
	Ledger      map[string]Account `json:"ledger"`   // account of each process, by AccountKey
}

// Errors of Apply.
var (
	ErrConflict = errors.New("the tenant's routes have changed meanwhile")
	ErrNotFound = errors.New("there is no such rollout")
	ErrEnded    = errors.New("the rollout is over")
	ErrExists   = errors.New("a rollout of this name, and another content, exists")
	ErrBusy     = errors.New("a rollout of this tenant is under way")

	// ErrInvalid is wrapped by errors that name the invalid field and its bound.
	ErrInvalid = errors.New("the route cannot be")
)
