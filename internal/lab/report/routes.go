package report

import (
	"fmt"
	"io"
	"marblelane/internal/audit"
	"marblelane/internal/lab/scenario"
	"math"
)

// RoutesResult is what became of a run's rollouts.
type RoutesResult struct {
	Rollouts         []RolloutResult `json:"rollouts"`
	Revisions        int             `json:"tables"`   // revisions that were published
	Closed           int64           `json:"closed"`   // the newest revision said to be closed
	AuditAnswers     int             `json:"asked"`    // questions that the audit answered
	Verdicts         map[string]int  `json:"verdicts"` // of processes, over all of them
	UnleasedFraction float64         `json:"held"`     // share of attempts without permission, of tenants whose rollout was under way
	Missed           []string        `json:"-"`        // expectations that were not met; they stand in the report's own list
}

// RolloutResult is what became of one.
type RolloutResult struct {
	Name           string         `json:"name"`
	Tenant         string         `json:"tenant"`
	Phase          string         `json:"end"` // its phase; "refused", or empty where it is not known
	Reason         string         `json:"why,omitempty"`
	Step           int            `json:"step"`
	Budget         int64          `json:"budget"`
	Failures       int            `json:"failures"` // that servers saw, or made
	Spent          int64          `json:"spent"`    // units, as the leader had it last
	CanaryAttempts int            `json:"canary"`   // attempts to it
	Steps          []StepFraction `json:"steps"`
}

// StepFraction is the fraction of a step as it was published, and as servers measured it in the first attempts of requests.
type StepFraction struct {
	Step     int     `json:"step"`
	Fraction float64 `json:"share"`
	Attempts int     `json:"attempts"`
	Measured float64 `json:"seen"`
}

// minFractionAttempts is how many attempts a step needs before the error of its fraction is judged.
const minFractionAttempts = 100

func (o *RoutesResult) print(w io.Writer) {
	fmt.Fprintf(w, "\n%-18s %-16s %-12s %5s %7s %7s %9s %9s  steps (share told, seen of so many first attempts)\n",
		"rollout", "tenant", "end", "step", "budget", "spent", "failures", "canary")
	for _, r := range o.Rollouts {
		fmt.Fprintf(w, "%-18s %-16s %-12s %5d %7d %7d %9d %9d ", r.Name, r.Tenant, r.Phase, r.Step, r.Budget, r.Spent, r.Failures, r.CanaryAttempts)
		for _, s := range r.Steps {
			fmt.Fprintf(w, " %.3f: %.3f of %d;", s.Fraction, s.Measured, s.Attempts)
		}
		if r.Reason != "" {
			fmt.Fprintf(w, " (%s)", r.Reason)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "routes        %d tables told, closed up to %d; %.1f%% of attempts without permission\n", o.Revisions, o.Closed, 100*o.UnleasedFraction)
	fmt.Fprintf(w, "audit         %d questions; processes that did %d, did not %d, cannot be known %d\n", o.AuditAnswers,
		o.Verdicts[string(audit.Acted)], o.Verdicts[string(audit.DidNotAct)], o.Verdicts[string(audit.Unknown)])
}

// missedRouteExpectations compares what became of rollouts with what was expected.
func missedRouteExpectations(s *scenario.Scenario, r *Report) []string {
	var out []string
	if r.Routes != nil {
		out = append(out, r.Routes.Missed...)
		for _, one := range r.Routes.Rollouts {
			if want := s.Expect.RolloutPhases[one.Name]; want != "" && want != one.Phase {
				out = append(out, fmt.Sprintf("rollout %s ends %q (%s), expected %q", one.Name, one.Phase, one.Reason, want))
			}
			for _, st := range one.Steps {
				if off := math.Abs(st.Measured - st.Fraction); s.Expect.FractionError != nil && st.Attempts >= minFractionAttempts && off > *s.Expect.FractionError {
					out = append(out, fmt.Sprintf("rollout %s has a share of %.3f in step %d of %.3f, expected within %.3f",
						one.Name, st.Measured, st.Step, st.Fraction, *s.Expect.FractionError))
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
