package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"marblelane/internal/audit"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
)

// RoutesResult is what became of a run's rollouts.
type RoutesResult struct {
	Rollouts []RolloutResult `json:"rollouts"`
	Tables   int             `json:"tables"`   // revisions told
	Closed   int64           `json:"closed"`   // the newest revision said to be closed
	Asked    int             `json:"asked"`    // questions that the audit answered
	Verdicts map[string]int  `json:"verdicts"` // of processes, over all of them
	Held     float64         `json:"held"`     // share of attempts without permission, of tenants whose rollout was under way
	missed   []string
}

// RolloutResult is what became of one.
type RolloutResult struct {
	Name     string      `json:"name"`
	Tenant   string      `json:"tenant"`
	End      string      `json:"end"` // its phase; "refused", or empty where nobody has said
	Why      string      `json:"why,omitempty"`
	Step     int         `json:"step"`
	Budget   int64       `json:"budget"`
	Failures int         `json:"failures"` // that servers saw, or made
	Spent    int64       `json:"spent"`    // units, as the leader had it last
	Canary   int         `json:"canary"`   // attempts to it
	Steps    []StepShare `json:"steps"`
}

// StepShare is the share of a step as it was told, and as servers saw it in the first attempts of requests.
type StepShare struct {
	Step     int     `json:"step"`
	Share    float64 `json:"share"`
	Attempts int     `json:"attempts"`
	Measured float64 `json:"seen"`
}

// toldBy is how long sidecars may take to ask for their first permission after the first table.
const toldBy = time.Second

// leastForShare is how many attempts a step needs before the error of its share is judged.
const leastForShare = 100

func (o *rollouts) result(all []record.Event, facts *invariant.Routes, v *invariant.Verdict) *RoutesResult {
	out := &RoutesResult{Asked: o.asked, Verdicts: map[string]int{}, Tables: len(o.revs), missed: o.missed}
	for _, a := range o.answers {
		out.Verdicts[string(a.Verdict)]++
	}
	for i := range o.r.s.Rollouts {
		p := &o.r.s.Rollouts[i]
		one := RolloutResult{Name: p.Name, Tenant: p.Tenant, End: o.final[i], Step: o.phases[i].Step, Why: o.phases[i].Why, Budget: p.Budget, Spent: o.phases[i].Spent}
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
func (o *rollouts) shares(out *RoutesResult, all []record.Event, facts *invariant.Routes) {
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
					under[tenant] = invariant.Span{From: e.T + toldBy, To: math.MaxInt64}
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
	sums := map[step]*StepShare{}
	held, of := 0, 0
	for i := range all {
		e := &all[i]
		if e.Kind != record.FirstByte {
			continue
		}
		if r, ok := under[int(e.Tenant)]; ok && r.From <= e.T && e.T <= r.To && !o.r.s.RunsOlderProgram(int(e.Sidecar)) {
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
				s = &StepShare{Step: t.step, Share: t.share}
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
		slices.SortFunc(one.Steps, func(a, b StepShare) int { return a.Step - b.Step })
	}
}

func (o *RoutesResult) print(w io.Writer) {
	fmt.Fprintf(w, "\n%-18s %-16s %-12s %5s %7s %7s %9s %9s  steps (share told, seen of so many first attempts)\n",
		"rollout", "tenant", "end", "step", "budget", "spent", "failures", "canary")
	for _, r := range o.Rollouts {
		fmt.Fprintf(w, "%-18s %-16s %-12s %5d %7d %7d %9d %9d ", r.Name, r.Tenant, r.End, r.Step, r.Budget, r.Spent, r.Failures, r.Canary)
		for _, s := range r.Steps {
			fmt.Fprintf(w, " %.3f: %.3f of %d;", s.Share, s.Measured, s.Attempts)
		}
		if r.Why != "" {
			fmt.Fprintf(w, " (%s)", r.Why)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "routes        %d tables told, closed up to %d; %.1f%% of attempts without permission\n", o.Tables, o.Closed, 100*o.Held)
	fmt.Fprintf(w, "audit         %d questions; processes that did %d, did not %d, cannot be known %d\n", o.Asked,
		o.Verdicts[string(audit.Did)], o.Verdicts[string(audit.DidNot)], o.Verdicts[string(audit.Unknown)])
}

// missedRoutes compares what became of rollouts with what was expected.
func missedRoutes(s *scenario.Scenario, r *Report) []string {
	var out []string
	if r.Routes != nil {
		out = append(out, r.Routes.missed...)
		for _, one := range r.Routes.Rollouts {
			if want := s.Expect.RolloutPhases[one.Name]; want != "" && want != one.End {
				out = append(out, fmt.Sprintf("rollout %s ends %q (%s), expected %q", one.Name, one.End, one.Why, want))
			}
			for _, st := range one.Steps {
				if off := math.Abs(st.Measured - st.Share); s.Expect.FractionError != nil && st.Attempts >= leastForShare && off > *s.Expect.FractionError {
					out = append(out, fmt.Sprintf("rollout %s has a share of %.3f in step %d of %.3f, expected within %.3f",
						one.Name, st.Measured, st.Step, st.Share, *s.Expect.FractionError))
				}
			}
		}
	}
	for _, rule := range s.RulesToCheck() {
		if r.Verdict.Checked[rule] == 0 {
			out = append(out, fmt.Sprintf("rule %s was held to no case", rule))
		}
	}
	return out
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
