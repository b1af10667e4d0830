package routeleader

// This file serves the read-only operator API: routes, rollouts, processes and the audit.

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"marblelane/internal/audit"
	"marblelane/internal/registry/operators"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// RolloutView is the JSON form of a rollout.
type RolloutView struct {
	Name           string        `json:"name"`
	To             string        `json:"to"`
	Phase          rollout.Phase `json:"phase"`
	Step           int           `json:"step"`
	Steps          int           `json:"steps"`
	CanaryFraction float64       `json:"share"` // current fraction of the tenant's requests that go to the canary
	Rev            int64         `json:"rev"`
	SinceMS        int64         `json:"since_ms"`
	Why            string        `json:"why,omitempty"`
	Budget         int64         `json:"budget"`
	Granted        int64         `json:"granted"` // total budget granted to processes
	Spent          int64         `json:"spent"`
	Returned       int64         `json:"returned"`
	Left           int64         `json:"left"`     // budget that is neither held by a process nor spent
	Evidence       float64       `json:"evidence"` // evidence against the canary, which is rolled back at 1/alpha
	Note           string        `json:"note,omitempty"`
}

// TenantView is the JSON form of a tenant's routes.
type TenantView struct {
	Tenant   string        `json:"tenant"`
	Rev      int64         `json:"rev"` // revision of the tenant's last change, for ?if=
	Table    int64         `json:"table_rev"`
	Closed   int64         `json:"closed"`
	Base     route.Subset  `json:"base"`
	Rollouts []RolloutView `json:"rollouts"`
}

// show handles GET /routes/{tenant}.
func (r *Routing) show(w http.ResponseWriter, req *http.Request) {
	l, o := r.leader(w, req)
	if l == nil {
		return
	}
	t, f := r.tenant(o, req)
	if f != nil {
		writeRejection(w, f)
		return
	}
	if err := r.replica.Confirm(); err != nil {
		writeRejection(w, rejectionOf(err))
		return
	}
	writeJSON(w, r.view(l, t.Name))
}

func (r *Routing) view(l *leadership, tenant string) TenantView {
	v := TenantView{Tenant: tenant, Rollouts: []RolloutView{}}
	tenant = operators.StateTenantName(tenant)
	l.processes.withState(r.list, func(s *state.State) {
		table := s.Routes.Table()
		v.Rev, v.Table, v.Closed = s.Routes.TenantRev(tenant), table.Rev, table.Closed
		fraction := map[string]float64{}
		for _, one := range table.Routes {
			if one.Tenant == tenant {
				v.Base, fraction[rollout.RolloutName(one.Rollout)] = one.Base, one.Share
			}
		}
		for _, one := range s.Routes.RolloutsOf(tenant) {
			granted, spent, returned := s.Routes.BudgetTotals(tenant, one.Spec.Name)
			v.Rollouts = append(v.Rollouts, RolloutView{Name: one.Spec.Name, To: one.Spec.SubsetName, Phase: one.Phase, Step: one.Step,
				Steps: len(one.Spec.Steps), CanaryFraction: fraction[one.Spec.Name], Rev: one.Rev, SinceMS: one.ChangedAtMS, Why: one.Reason,
				Budget: one.Spec.Budget, Granted: granted, Spent: spent, Returned: returned, Left: one.Spec.Budget - (granted - returned),
				Evidence: min(l.processes.controller.Evidence(tenant, one.Spec.Name), math.MaxFloat64), Note: one.Spec.Note})
		}
	})
	return v
}

// processes handles GET /routes/processes.
func (r *Routing) processes(w http.ResponseWriter, req *http.Request) {
	l, _ := r.leader(w, req)
	if l == nil {
		return
	}
	writeJSON(w, struct {
		Leader    string                  `json:"leader"`
		Processes []rollout.ProcessStatus `json:"processes"`
	}{l.id, r.processStatuses(l)})
}

// processStatuses returns the status of each process that the controller tracks.
func (r *Routing) processStatuses(l *leadership) []rollout.ProcessStatus {
	l.processes.mu.Lock()
	defer l.processes.mu.Unlock()
	return l.processes.controller.Processes(l.floor(time.Now()))
}

// handleAudit handles GET /routes/audit. The response states which processes acted on a revision within a time range.
func (r *Routing) handleAudit(w http.ResponseWriter, req *http.Request) {
	l, _ := r.leader(w, req)
	if l == nil {
		return
	}
	var n [3]int64
	for i, name := range []string{"rev", "from", "to"} {
		text := req.URL.Query().Get(name)
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil || v < 0 || v > 1<<53 {
			writeRejection(w, rejectf(http.StatusBadRequest, name, "%q is no whole number from 0 to 2^53; from and to are Unix milliseconds", clip(text)))
			return
		}
		n[i] = v
	}
	if n[1] > n[2] {
		writeRejection(w, rejectf(http.StatusBadRequest, "from", "%d is after to, %d", n[1], n[2]))
		return
	}
	if err := r.replica.Confirm(); err != nil {
		writeRejection(w, rejectionOf(err))
		return
	}
	out, f := r.auditSummary(l, n[0], n[1], n[2])
	if f != nil {
		writeRejection(w, f)
		return
	}
	writeJSON(w, out)
}

func (r *Routing) auditSummary(l *leadership, rev, from, to int64) (out audit.Summary, f *Rejection) {
	l.processes.mu.Lock()
	defer l.processes.mu.Unlock()
	leaderMS := func(wall int64) int64 { return wall - l.startedWallMS + l.floor(l.startedAt) }
	now := time.Now()
	committed, closed := r.tables.commitAndCloseTimes(rev)
	q := audit.Query{Rev: rev, From: leaderMS(from), To: leaderMS(to), CommittedAt: math.MinInt64, ClosedKnown: !closed.IsZero(), Now: l.ceil(now),
		Slack: ClockSlackMS, ClockAhead: l.ceil(r.createdAt)}
	if !committed.IsZero() {
		q.CommittedAt = l.floor(committed)
	}
	if q.ClosedKnown {
		q.ClosedAt = l.ceil(closed)
	}
	r.list.Read(func(s *state.State) {
		if newest := s.Routes.Rev(); rev > newest {
			f = rejectf(http.StatusNotFound, "rev", "%d is not committed; the newest is %d", rev, newest)
			return
		}
		out = l.processes.tracker.Summarize(q, s.AuditLog)
	})
	out.Verdicts = r.defect.modifyVerdicts(out.Verdicts)
	return out, f
}
