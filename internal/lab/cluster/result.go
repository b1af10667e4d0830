package cluster

// This file is what a run of the list service came to.

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/measure"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/report"
)

// result sums the run up.
func (c *Cluster) result(watchers []*watcher, lag []time.Duration) *report.Report {
	out := &report.RegistryResult{Copies: len(c.Replicas), Watchers: len(watchers), Reads: len(c.reads), ReadsLost: c.failedReads,
		Lines: c.watchLines.Load(), Rejoins: c.rewatches.Load()}
	for i := range c.history {
		op := &c.history[i]
		switch {
		case op.outcome == outcomeConflict:
			out.Conflicts++
		case op.outcome == outcomeNotApplied:
			out.Refused++
		case op.outcome == outcomeUnknown:
			out.Unknown++
		case op.kind == opGet:
			out.Gets++
		default:
			out.Writes++
		}
	}
	if text := checkLinearizable(c.history); text != "" {
		c.breach("linearizable", text)
	}
	if text := checkListAges(c.reads, c.acknowledged); text != "" {
		c.breach("age-told", text)
	}
	for _, one := range c.reads {
		if one.age < time.Hour { // a copy that has just begun knows no age
			out.OldestMS = max(out.OldestMS, float64(one.age)/float64(time.Millisecond))
		}
	}
	for _, d := range c.restartDelays {
		out.Returns = append(out.Returns, float64(d)/float64(time.Millisecond))
	}
	for _, d := range c.diskRecoveries {
		out.Heals = append(out.Heals, float64(d)/float64(time.Millisecond))
	}
	tell := propagationTimes(c.acknowledged, watchers)
	at := func(q float64) float64 {
		if len(tell) == 0 {
			return 0
		}
		return float64(tell[int(q*float64(len(tell)-1))]) / float64(time.Millisecond)
	}
	out.TellP50, out.TellP99, out.TellMax = at(0.5), at(0.99), at(1)
	for _, m := range c.faultStarts {
		first := time.Duration(-1)
		for _, a := range c.acknowledged {
			if a.called >= m && (first < 0 || a.acknowledged < first) {
				first = a.acknowledged
			}
		}
		if first >= 0 {
			out.Gaps = append(out.Gaps, float64(first-m)/float64(time.Millisecond))
		}
	}
	for _, replica := range c.Replicas {
		p := measure.Process{Name: replica.Name, CPU: replica.pastCPU}
		if u, err := process.Measure(replica.Process().PID); err == nil {
			p.CPU += u.CPU
			p.LastRSS, p.PeakRSS, p.Descriptors = float64(u.RSS)/(1<<20), float64(u.PeakRSS)/(1<<20), u.Descriptors
		}
		out.Parties = append(out.Parties, p)
	}
	slices.Sort(lag)
	rep := &report.Report{Scenario: c.Scenario.Name, Title: c.Scenario.Title, Seed: c.Plan.Seed, LengthS: c.Scenario.Length.Duration().Seconds(),
		Registry: out, Verdict: &invariant.Verdict{Counts: c.breachCounts, Breaches: c.breaches,
			Checked: map[string]int{"linearizable": len(c.history), "watchers-agree": int(out.Lines), "age-told": len(c.reads),
				"disk-honest": c.diskChecks}}}
	if len(lag) > 0 {
		rep.Lateness.LagMS = float64(lag[int(0.99*float64(len(lag)-1))]) / float64(time.Millisecond)
		rep.Lateness.TooBig = rep.Lateness.LagMS > float64(report.MaxLatenessP99)/float64(time.Millisecond)
	}
	return rep
}

// olderThanTold finds a list that lacks a write which had been acknowledged before the time that the list is said to be
// of. A copy states its age while it is asked, so the time is no earlier than the call less the age.
func checkListAges(reads []listRead, acks []ackedWrite) string {
	acks = slices.Clone(acks)
	slices.SortFunc(acks, func(a, b ackedWrite) int { return cmp.Compare(a.acknowledged, b.acknowledged) })
	for i := 1; i < len(acks); i++ { // the greatest revision acknowledged by then
		acks[i].rev = max(acks[i].rev, acks[i-1].rev)
	}
	for _, one := range reads {
		i, _ := slices.BinarySearchFunc(acks, one.called-one.age, func(a ackedWrite, at time.Duration) int { return cmp.Compare(a.acknowledged, at) })
		if i > 0 && acks[i-1].rev > one.rev {
			return fmt.Sprintf("copy %s gave a list of revision %d with an age of %v; revision %d had been acknowledged %v before the call",
				one.replica, one.rev, one.age, acks[i-1].rev, one.called-acks[i-1].acknowledged)
		}
	}
	return ""
}

// tellTimes is, for each write, the time from its call until the last watcher had its revision; sorted.
func propagationTimes(acks []ackedWrite, watchers []*watcher) []time.Duration {
	var out []time.Duration
	for _, a := range acks {
		last := time.Duration(0)
		for _, w := range watchers {
			// A watcher that went to a copy which lags may have gone back; what counts is when it first had it.
			i := slices.IndexFunc(w.firstSeen, func(t ackedWrite) bool { return t.rev >= a.rev })
			if i < 0 {
				last = -1
				break
			}
			last = max(last, w.firstSeen[i].acknowledged)
		}
		if last > 0 {
			out = append(out, last-a.called)
		}
	}
	slices.Sort(out)
	return out
}

// AddTo adds the rules that the replicas broke to a verdict.
func (c *Cluster) AddTo(v *invariant.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for rule, n := range c.breachCounts {
		v.Counts[rule] += n
	}
	v.Breaches = append(v.Breaches, c.breaches...)
	if c.diskChecks > 0 {
		v.Checked["disk-honest"] += c.diskChecks
	}
}
