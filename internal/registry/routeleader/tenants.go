package routeleader

// This file serves tenants' changes of their routes and rollouts.

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/operators"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// RolloutRequest is the body of a request that posts a rollout.
type RolloutRequest struct {
	To      string        `json:"to" validate:"required,bytes=100"`
	Classes []string      `json:"classes" validate:"max=100,unique,dive,min=1,bytes=200"`
	Steps   []StepRequest `json:"steps" validate:"min=1,max=20,dive"`
	Budget  int64         `json:"budget" validate:"gte=1"`
	Late    bool          `json:"late"`
	AtEnd   string        `json:"at_end" validate:"oneof=keep return"`
	Note    string        `json:"note" validate:"bytes=1000"`
}

// StepRequest is a step of a RolloutRequest.
type StepRequest struct {
	CanaryFraction float64 `json:"share" validate:"gt=0,lte=1"`
	HoldMS         int64   `json:"hold_ms" validate:"gte=0,lte=2592000000"`
	MinAttempts    int64   `json:"requests" validate:"gte=0,lte=1000000000000"`
}

// post creates a rollout, POST /routes/{tenant}/rollouts/{name}.
func (r *Routing) post(w http.ResponseWriter, req *http.Request) {
	r.handleChange(w, req, func(o *operators.Operators, t *operators.Tenant) (*rollout.Command, *Rejection) {
		var wish RolloutRequest
		if f := r.body(w, req, maxBodyBytes, &wish); f != nil {
			return nil, f
		}
		spec, f := rolloutSpec(o, t, req.PathValue("name"), &wish)
		return &rollout.Command{Op: rollout.OpPost, Tenant: operators.StateTenantName(t.Name), Spec: spec}, f
	})
}

// rolloutSpec resolves the subset of a posted rollout and checks the rollout against the limits of its tenant.
func rolloutSpec(o *operators.Operators, t *operators.Tenant, name string, wish *RolloutRequest) (*rollout.Spec, *Rejection) {
	if name == "" || len(name) > rollout.MaxRolloutNameBytes {
		return nil, rejectf(http.StatusBadRequest, "name", "has %d bytes, not 1 to %d", len(name), rollout.MaxRolloutNameBytes)
	}
	s := &rollout.Spec{Tenant: operators.StateTenantName(t.Name), Name: name, SubsetName: wish.To, Classes: wish.Classes, Budget: wish.Budget, LateIsFailure: wish.Late,
		AtEnd: wish.AtEnd, Note: wish.Note}
	for i, st := range wish.Steps {
		if st.CanaryFraction > *t.MaxCanaryFraction {
			return nil, rejectf(http.StatusForbidden, fmt.Sprintf("steps[%d].share", i), "%v is above max_share of tenant %q, %v", st.CanaryFraction, t.Name, *t.MaxCanaryFraction)
		}
		s.Steps = append(s.Steps, rollout.Step(st))
	}
	if wish.Budget > t.MaxBudget {
		return nil, rejectf(http.StatusForbidden, "budget", "%d is above max_budget of tenant %q, %d", wish.Budget, t.Name, t.MaxBudget)
	}
	var f *Rejection
	s.Canary, f = canarySubset(o, t, wish.To)
	return s, f
}

// canarySubset returns the named subset, and rejects a subset that the tenant may not send its requests to.
func canarySubset(o *operators.Operators, t *operators.Tenant, name string) (route.Subset, *Rejection) {
	sub, known := o.Subset(name)
	if !known || !slices.Contains(t.Subsets, name) {
		return sub, rejectf(http.StatusForbidden, "to", "%q is not among subsets of tenant %q, %v", clip(name), t.Name, t.Subsets)
	}
	return sub, nil
}

// base changes the base subset of a tenant, POST /routes/{tenant}/base.
func (r *Routing) base(w http.ResponseWriter, req *http.Request) {
	r.handleChange(w, req, func(o *operators.Operators, t *operators.Tenant) (*rollout.Command, *Rejection) {
		var wish struct {
			To string `json:"to" validate:"bytes=100"` // empty: all servers
		}
		if f := r.body(w, req, maxBodyBytes, &wish); f != nil {
			return nil, f
		}
		c := &rollout.Command{Op: rollout.OpBase, Tenant: operators.StateTenantName(t.Name)}
		var f *Rejection
		if wish.To != "" {
			c.Base, f = canarySubset(o, t, wish.To)
		}
		return c, f
	})
}

// handleRolloutOp pauses, resumes, rolls back or stops a rollout.
func (r *Routing) handleRolloutOp(w http.ResponseWriter, req *http.Request, op rollout.Op) {
	r.handleChange(w, req, func(_ *operators.Operators, t *operators.Tenant) (*rollout.Command, *Rejection) {
		wish := struct {
			Why string `json:"why" validate:"bytes=200"`
		}{"by command"}
		if f := r.optionalBody(w, req, maxBodyBytes, &wish); f != nil {
			return nil, f
		}
		if op != rollout.OpStop && req.URL.Query().Has("if") {
			return nil, rejectf(http.StatusBadRequest, "if", "is for post, base and stop alone")
		}
		return &rollout.Command{Op: op, Tenant: operators.StateTenantName(t.Name), Name: req.PathValue("name"), Reason: wish.Why}, nil
	})
}

// handleChange handles a tenant's change. The change is replicated if it is within the limits of the tenant and all
// relevant processes read the new table with the same meaning.
func (r *Routing) handleChange(w http.ResponseWriter, req *http.Request, build func(*operators.Operators, *operators.Tenant) (*rollout.Command, *Rejection)) {
	l, o := r.leader(w, req)
	if l == nil {
		return
	}
	rev, f := r.replicateChange(l, o, req, build)
	if f != nil {
		writeRejection(w, f)
		return
	}
	r.server.WriteReplicaHeaders(w, 0, r.replica.Staleness())
	writeJSON(w, struct {
		Rev int64 `json:"rev"`
	}{rev})
}

// replicateChange checks a tenant's change, replicates it and returns its revision.
func (r *Routing) replicateChange(l *leadership, o *operators.Operators, req *http.Request, build func(*operators.Operators, *operators.Tenant) (*rollout.Command, *Rejection)) (int64, *Rejection) {
	t, f := r.tenant(o, req)
	if f != nil {
		return 0, f
	}
	c, f := build(o, t)
	if f != nil {
		return 0, f
	}
	if text := req.URL.Query().Get("if"); text != "" {
		rev, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, rejectf(http.StatusBadRequest, "if", "%q is no revision", clip(text))
		}
		c.IfRev = &rev
	}
	// Changes are checked and replicated one at a time, so that the result of the check still holds at the commit.
	select {
	case r.changing <- struct{}{}:
		defer func() { <-r.changing }()
	case <-time.After(listserver.ApplyTimeout):
		return 0, &Rejection{status: http.StatusServiceUnavailable, after: time.Second, Error: "other changes are under way"}
	case <-req.Context().Done():
		return 0, &Rejection{status: http.StatusServiceUnavailable, Error: "the caller is gone"}
	}
	c.AtMS = l.wall(time.Now())
	effective, f := r.dryRun(l, c, t)
	if f != nil {
		return 0, f
	}
	if limited := c.Op == rollout.OpPost || c.Op == rollout.OpBase || c.Op == rollout.OpResume; effective && limited {
		if wait := l.limits.take(t); wait > 0 {
			return 0, &Rejection{status: http.StatusTooManyRequests, after: wait, Field: "changes_per_minute",
				Error: fmt.Sprintf("changes_per_minute: tenant %q has made its %v", t.Name, t.ChangesPerMinute)}
		}
	}
	rev, err := r.change(l, c)
	if err != nil {
		return 0, rejectionOf(err)
	}
	return rev, nil
}

// dryRun applies a change to a clone of the state. It reports whether the change has an effect, or why it is rejected.
func (r *Routing) dryRun(l *leadership, c *rollout.Command, t *operators.Tenant) (effective bool, f *Rejection) {
	var table route.Table
	var err error
	live := 0
	r.list.Read(func(s *state.State) {
		if _, ok := s.Routes.LiveSpec(operators.StateTenantName(t.Name)); ok {
			live = 1
		}
		table, effective, err = s.Routes.Preview(c)
	})
	switch {
	case err != nil:
		return false, rejectionOf(err)
	case !effective:
		return false, nil
	}
	if c.Op == rollout.OpPost && live >= *t.Rollouts {
		return true, rejectf(http.StatusForbidden, "rollouts", "tenant %q has %d under way, and may have %d", t.Name, live, *t.Rollouts)
	}
	if c.Op != rollout.OpPost && c.Op != rollout.OpBase && c.Op != rollout.OpResume {
		return true, nil // this check never rejects a command that pauses or ends a canary
	}
	return true, r.checkTableReadings(l, &table)
}

// checkTableReadings rejects a table that a relevant process would read with a different meaning.
func (r *Routing) checkTableReadings(l *leadership, table *route.Table) *Rejection {
	sameForAll := true
	for schema := 1; schema < route.Newest; schema++ {
		_, v, _ := route.ChooseSchema(r.defect.tableAsRead(table, []int{schema}), []int{schema})
		sameForAll = sameForAll && v <= route.SameWhenDowngraded
	}
	if sameForAll { // the meaning is the same in every schema, so the processes need not be known
		return nil
	}
	all, wait := r.relevantProcesses(l)
	if wait > 0 {
		return &Rejection{status: http.StatusServiceUnavailable, after: wait,
			Error: "this copy has only just begun to lead and does not know yet which schemas the processes read"}
	}
	out := &Rejection{status: http.StatusConflict}
	for _, p := range all {
		reads := supportedSchemas(p.Schemas)
		if _, v, findings := route.ChooseSchema(r.defect.tableAsRead(table, reads), reads); v > route.SameWhenDowngraded {
			if len(out.Processes) == 0 {
				out.Findings = findings
				out.Error = fmt.Sprintf("the routes would be %s by processes that are present or were within %v", v, l.retention())
				if len(findings) > 0 {
					out.Field = findings[0].Field
					out.Error = findings[0].Path + ": " + findings[0].Effect + "; " + out.Error
				}
			}
			if len(out.Processes) < maxListedProcesses {
				out.Processes = append(out.Processes, p)
			} else {
				out.Others++
			}
		}
	}
	if len(out.Processes) == 0 {
		return nil
	}
	return out
}

// schema sets the minimum schema, POST /routes/schema. Processes that read only schemas below the minimum are
// shut out.
func (r *Routing) schema(w http.ResponseWriter, req *http.Request) {
	l, o := r.leader(w, req)
	if l == nil {
		return
	}
	if !operators.TokenMatches(o.Token, req) {
		writeRejection(w, rejectf(http.StatusUnauthorized, "Authorization", "this needs operator_token: Authorization: Bearer TOKEN"))
		return
	}
	var wish struct {
		MinSchema int `json:"least"`
	}
	f := r.body(w, req, maxBodyBytes, &wish)
	if f == nil && (wish.MinSchema < 1 || wish.MinSchema > route.Newest) {
		f = rejectf(http.StatusBadRequest, "least", "%d is not between 1 and %d", wish.MinSchema, route.Newest)
	}
	if f != nil {
		writeRejection(w, f)
		return
	}
	rev, err := r.change(l, &rollout.Command{Op: rollout.OpSchema, AtMS: l.wall(time.Now()), Schema: wish.MinSchema})
	if err != nil {
		writeRejection(w, rejectionOf(err))
		return
	}
	var minSchema int
	r.list.Read(func(s *state.State) { minSchema = s.Routes.MinSchema() })
	writeJSON(w, struct {
		Rev       int64 `json:"rev"`
		MinSchema int   `json:"least"`
	}{rev, minSchema})
}
