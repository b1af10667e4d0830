package rollout

import "marblelane/internal/route"

// Op is the operation of a command.
type Op string

// The operations, each with the fields of Command that it reads.
const (
	OpBase     Op = "base"     // Tenant, Base, IfRev: sets the base of a tenant without a live rollout
	OpPost     Op = "post"     // Spec, IfRev
	OpForward  Op = "forward"  // Tenant, Name, Step: moves from this step to the next one, or ends the rollout
	OpPause    Op = "pause"    // Tenant, Name, Reason
	OpResume   Op = "resume"   // Tenant, Name
	OpRollBack Op = "rollback" // Tenant, Name, Reason
	OpStop     Op = "stop"     // Tenant, Name, Reason, IfRev
	OpClose    Op = "close"    // Rev: closes this revision and all older ones
	OpLedger   Op = "ledger"   // Entries: grants and settlements of one or more requests
	OpSchema   Op = "schema"   // Schema: processes that cannot read this schema are shut out
)

// targetPhase returns the phase that a rollout has after the operation.
func (o Op) targetPhase() Phase {
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

// Command is one change of a State, in the form in which it is replicated.
type Command struct {
	Op      Op            `json:"op"`
	AtMS    int64         `json:"at_ms"` // the leader's wall clock, for display only
	Tenant  string        `json:"tenant,omitempty"`
	Name    string        `json:"name,omitempty"`
	IfRev   *int64        `json:"if,omitempty"` // expected revision of the tenant's last change (0: new tenant); nil: any
	Base    route.Subset  `json:"base,omitzero"`
	Spec    *Spec         `json:"spec,omitempty"`
	Step    int           `json:"step,omitempty"`
	Rev     int64         `json:"rev,omitempty"`
	Schema  int           `json:"schema,omitempty"`
	Reason  string        `json:"why,omitempty"`
	Entries []LedgerEntry `json:"entries,omitempty"`
}

// conflicts reports whether the command expects another revision of the tenant.
func (c *Command) conflicts(t *tenantState) bool { return c.IfRev != nil && *c.IfRev != t.Rev }
