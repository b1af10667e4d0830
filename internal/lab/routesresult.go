package lab

import (
	"encoding/json"
	"math"
	"slices"
	"sync"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/report"
)

// toldBy is how long sidecars may take to ask for their first permission after the first table.
const firstPermissionTime = time.Second

func (o *rollouts) result(all []record.Event, facts *invariant.Routes, v *invariant.Verdict) *report.RoutesResult {
	out := &report.RoutesResult{Asked: o.asked, Verdicts: map[string]int{}, Tables: len(o.revs), Missed: o.missed}
	for _, a := range o.answers {
		out.Verdicts[string(a.Verdict)]++
	}
	for i := range o.r.Scenario.Rollouts {
		p := &o.r.Scenario.Rollouts[i]
		one := report.RolloutResult{Name: p.Name, Tenant: p.Tenant, End: o.final[i], Step: o.phases[i].Step, Why: o.phases[i].Why, Budget: p.Budget, Spent: o.phases[i].Spent}
		if o.refused[i] != "" {
			one.End, one.Why = "refused", o.refused[i]
		}
		if i < len(v.Failures) {
			one.Failures = v.Failures[i]
		}
		out.Rollouts = append(out.Rollouts, one)
	}
	o.shares(out, all, facts)
	return out
}

// shares counts the first attempts of requests by what their revision had of a rollout.
func (o *rollouts) shares(out *report.RoutesResult, all []record.Event, facts *invariant.Routes) {
	type told struct {
		rollout, step int
		share         float64
	}
	type step struct{ rollout, step int }
	at := map[int64][]told{}
	under := map[int]invariant.Span{} // by tenant, when it was told a share
	for i := range all {
		switch e := &all[i]; e.Kind {
		case record.RevisionClosed:
			out.Closed = max(out.Closed, e.Rev)
		case record.RolloutFraction:
			one := told{int(e.Status), int(e.Attempt), e.Work}
			if tenant := facts.Rollouts[e.Status].Tenant; e.Work > 0 {
				if _, ok := under[tenant]; !ok {
					under[tenant] = invariant.Span{From: e.T + firstPermissionTime, To: math.MaxInt64}
				}
			}
			if e.Work > 0 && !slices.Contains(at[e.Rev], one) {
				at[e.Rev] = append(at[e.Rev], one)
			}
		case record.RolloutPhase:
			tenant := facts.Rollouts[e.Status].Tenant
			if s, ok := under[tenant]; ok && e.Note != "running" {
				under[tenant] = invariant.Span{From: s.From, To: min(s.To, e.T)}
			}
		}
	}
	first := map[uint64]bool{}
	sums := map[step]*report.StepShare{}
	held, of := 0, 0
	for i := range all {
		e := &all[i]
		if e.Kind != record.FirstByte {
			continue
		}
		if r, ok := under[int(e.Tenant)]; ok && r.From <= e.T && e.T <= r.To && !o.r.Scenario.RunsOlderProgram(int(e.Sidecar)) {
			if of++; e.Rev == 0 {
				held++
			}
		}
		if first[e.Request] {
			continue
		}
		first[e.Request] = true
		for _, t := range at[e.Rev] {
			r := &facts.Rollouts[t.rollout]
			if r.Tenant != int(e.Tenant) || !r.Classes[e.Class] {
				continue
			}
			s := sums[step{t.rollout, t.step}]
			if s == nil {
				s = &report.StepShare{Step: t.step, Share: t.share}
				sums[step{t.rollout, t.step}] = s
			}
			s.Attempts++
			if e.Canary {
				s.Measured++
				out.Rollouts[t.rollout].Canary++
			}
		}
	}
	if of > 0 {
		out.Held = float64(held) / float64(of)
	}
	for k, s := range sums {
		s.Measured /= float64(s.Attempts)
		one := &out.Rollouts[k.rollout]
		one.Steps = append(one.Steps, *s)
		slices.SortFunc(one.Steps, func(a, b report.StepShare) int { return a.Step - b.Step })
	}
}

// undoer plays a list service whose new leader has forgotten a rollback: from the first table in which a rollout's
// canary is gone on, sidecars are told the canary of before, under the new revision. It sits on the wires, as the other
// planted defects do.
type undoer struct {
	mu   sync.Mutex
	last map[string]json.RawMessage // the route of each tenant that had a canary
}

func (u *undoer) tell(line []byte) []byte {
	var t map[string]json.RawMessage
	var routes []json.RawMessage
	if json.Unmarshal(line, &t) != nil || t["routes"] == nil || json.Unmarshal(t["routes"], &routes) != nil {
		return line
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	there := map[string]bool{}
	for i, text := range routes {
		var one struct {
			Tenant string  `json:"tenant"`
			Share  float64 `json:"share"`
		}
		if json.Unmarshal(text, &one) != nil {
			return line
		}
		there[one.Tenant] = true
		if one.Share > 0 {
			var free map[string]any // of the budget: the true service grants nothing for it any more
			if json.Unmarshal(text, &free) != nil {
				return line
			}
			delete(free, "budget")
			u.last[one.Tenant], _ = json.Marshal(free) // what was read can be written
		} else if old := u.last[one.Tenant]; old != nil {
			routes[i] = old
		}
	}
	for tenant, old := range u.last {
		if !there[tenant] {
			routes = append(routes, old)
		}
	}
	var err error
	if t["routes"], err = json.Marshal(routes); err != nil {
		return line
	}
	text, err := json.Marshal(t)
	if err != nil {
		return line
	}
	return append(text, '\n')
}
