package report

import (
	"fmt"
	"io"
	"marblelane/internal/audit"
	"marblelane/internal/lab/scenario"
	"math"
)

// RoutesResult is the result of a run's rollouts.
type RoutesResult struct {
	Rollouts         []RolloutResult `json:"rollouts"`
	Revisions        int             `json:"tables"`   // revisions of the route table that were published
	Closed           int64           `json:"closed"`   // newest revision that was reported as closed
	AuditAnswers     int             `json:"asked"`    // queries that the audit answered
	Verdicts         map[string]int  `json:"verdicts"` // number of verdicts on processes over all queries, by verdict
	UnleasedFraction float64         `json:"held"`     // fraction of attempts without a lease, of tenants whose rollout was in progress
	Missed           []string        `json:"-"`        // expectations that were not met; copied to Report.Missed
}

// RolloutResult is the result of one rollout.
type RolloutResult struct {
	Name           string         `json:"name"`
	Tenant         string         `json:"tenant"`
	Phase          string         `json:"end"`           // final phase, "refused", or empty if it is unknown
	Reason         string         `json:"why,omitempty"` // reason for the phase, as the list service states it
	Step           int            `json:"step"`
	Budget         int64          `json:"budget"`
	Failures       int            `json:"failures"` // failures of the canary, from the servers' events
	Spent          int64          `json:"spent"`    // units spent, as last reported by the leader
	CanaryAttempts int            `json:"canary"`   // attempts to the canary
	Steps          []StepFraction `json:"steps"`
}

// StepFraction is the fraction of a step as published, and as measured at servers in the first attempts of requests.
type StepFraction struct {
	Step     int     `json:"step"`
	Fraction float64 `json:"share"`
	Attempts int     `json:"attempts"`
	Measured float64 `json:"seen"`
}

// minFractionAttempts is the number of attempts from which on the error of a step's fraction is checked.
const minFractionAttempts = 100

// print writes the result as a table of the rollouts and lines of text.
func (o *RoutesResult) print(w io.Writer) {
	fmt.Fprintf(w, "\n%-18s %-16s %-12s %5s %7s %7s %9s %9s  steps (published share: measured share of first attempts)\n",
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
	fmt.Fprintf(w, "routes        %d revisions published, closed up to %d; %.1f%% of attempts without a lease\n", o.Revisions, o.Closed, 100*o.UnleasedFraction)
	fmt.Fprintf(w, "audit         %d queries; processes that did %d, did not %d, cannot be known %d\n", o.AuditAnswers,
		o.Verdicts[string(audit.Acted)], o.Verdicts[string(audit.DidNotAct)], o.Verdicts[string(audit.Unknown)])
}

// missedRouteExpectations returns the expectations of rollouts that were not met, and the rules that had to be checked
// on some case and were not.
func missedRouteExpectations(s *scenario.Scenario, r *Report) []string {
	var out []string
	if r.Routes != nil {
		out = append(out, r.Routes.Missed...)
		for _, one := range r.Routes.Rollouts {
			if want := s.Expect.RolloutPhases[one.Name]; want != "" && want != one.Phase {
				out = append(out, fmt.Sprintf("rollout %s ended as %q (%s), expected %q", one.Name, one.Phase, one.Reason, want))
			}
			for _, st := range one.Steps {
				if off := math.Abs(st.Measured - st.Fraction); s.Expect.FractionError != nil && st.Attempts >= minFractionAttempts && off > *s.Expect.FractionError {
					out = append(out, fmt.Sprintf("rollout %s has a measured fraction of %.3f in step %d of fraction %.3f, expected within %.3f",
						one.Name, st.Measured, st.Step, st.Fraction, *s.Expect.FractionError))
				}
			}
		}
	}
	for _, rule := range s.InvariantsToCheck() {
		if r.Verdict.Checked[rule] == 0 {
			out = append(out, fmt.Sprintf("rule %s was checked on no case", rule))
		}
	}
	return out
}
