package cluster

// This file is what a run of the registry came to.

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

// result sums the run up, and checks the history of the writers and the lists that were read.
func (c *Cluster) result(watchers []*watcher, timerLag []time.Duration) *report.Report {
	out := &report.RegistryResult{Replicas: len(c.Replicas), Watchers: len(watchers), Reads: len(c.reads),
		ReadsLost: c.failedReads, Lines: c.watchLines.Load(), Rejoins: c.rewatches.Load()}
	c.countOperations(out)
	if text := checkLinearizable(c.history); text != "" {
		c.recordBreach("linearizable", text)
	}
	if text := checkListAges(c.reads, c.acknowledged); text != "" {
		c.recordBreach("age-told", text)
	}
	c.summarizeTimes(out, watchers)
	out.Parties = c.measureReplicas()
	return &report.Report{Scenario: c.Scenario.Name, Title: c.Scenario.Title, Seed: c.Plan.Seed,
		LengthS: c.Scenario.Length.Duration().Seconds(), Registry: out, Verdict: c.verdict(), Lateness: timerLateness(timerLag)}
}

// countOperations counts the calls of the writers by their outcome.
func (c *Cluster) countOperations(out *report.RegistryResult) {
	for i := range c.history {
		op := &c.history[i]
		switch {
		case op.outcome == outcomeConflict:
			out.Conflicts++
		case op.outcome == outcomeNotApplied:
			out.Rejected++
		case op.outcome == outcomeUnknown:
			out.Unknown++
		case op.kind == opRead:
			out.Gets++
		default:
			out.Writes++
		}
	}
}

// maxKnownAge is the greatest age of a list that counts: a replica that has just started knows no age.
const maxKnownAge = time.Hour

// summarizeTimes sums up how long replicas, disks, writes and watchers took.
func (c *Cluster) summarizeTimes(out *report.RegistryResult, watchers []*watcher) {
	for _, read := range c.reads {
		if read.age < maxKnownAge {
			out.OldestMS = max(out.OldestMS, milliseconds(read.age))
		}
	}
	for _, d := range c.restartDelays {
		out.Returns = append(out.Returns, milliseconds(d))
	}
	for _, d := range c.diskRecoveries {
		out.Heals = append(out.Heals, milliseconds(d))
	}
	propagation := propagationTimes(c.acknowledged, watchers)
	out.TellP50, out.TellP99 = percentile(propagation, 0.5), percentile(propagation, 0.99)
	out.TellMax = percentile(propagation, 1)
	for _, start := range c.faultStarts {
		if first, ok := c.firstWriteSince(start); ok {
			out.Gaps = append(out.Gaps, milliseconds(first-start))
		}
	}
}

// firstWriteSince is when the first write was acknowledged that was called since a time.
func (c *Cluster) firstWriteSince(start time.Duration) (first time.Duration, ok bool) {
	for _, w := range c.acknowledged {
		if w.called >= start && (!ok || w.acknowledged < first) {
			first, ok = w.acknowledged, true
		}
	}
	return first, ok
}

// percentile is in milliseconds, of a sorted list.
func percentile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return milliseconds(sorted[int(q*float64(len(sorted)-1))])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (c *Cluster) measureReplicas() (processes []measure.Process) {
	const megabyte = 1 << 20
	for _, replica := range c.Replicas {
		p := measure.Process{Name: replica.Name, CPU: replica.pastCPU}
		if u, err := process.Measure(replica.Process().PID); err == nil {
			p.CPU += u.CPU
			p.LastRSS, p.PeakRSS, p.Descriptors = float64(u.RSS)/megabyte, float64(u.PeakRSS)/megabyte, u.Descriptors
		}
		processes = append(processes, p)
	}
	return processes
}

// verdict is the invariants with how many cases each was checked on.
func (c *Cluster) verdict() *invariant.Verdict {
	checked := map[string]int{"linearizable": len(c.history), "watchers-agree": int(c.watchLines.Load()),
		"age-told": len(c.reads), "disk-honest": c.diskChecks}
	return &invariant.Verdict{Counts: c.breachCounts, Breaches: c.breaches, Checked: checked}
}

// timerLateness judges the run by the timers of the lab alone, as it has no planned arrivals.
func timerLateness(timerLag []time.Duration) (l report.Lateness) {
	slices.Sort(timerLag)
	l.LagMS = percentile(timerLag, 0.99)
	l.TooBig = l.LagMS > milliseconds(report.MaxLatenessP99)
	return l
}

// checkListAges finds a list that lacks a write which had been acknowledged before the time that the list is said to be
// of. A replica states its age while it is asked, so the time is no earlier than the call less the age.
func checkListAges(reads []listRead, acks []ackedWrite) string {
	acks = slices.Clone(acks)
	slices.SortFunc(acks, func(a, b ackedWrite) int { return cmp.Compare(a.acknowledged, b.acknowledged) })
	for i := 1; i < len(acks); i++ { // the greatest revision acknowledged by then
		acks[i].rev = max(acks[i].rev, acks[i-1].rev)
	}
	for _, read := range reads {
		i, _ := slices.BinarySearchFunc(acks, read.called-read.age, func(a ackedWrite, at time.Duration) int { return cmp.Compare(a.acknowledged, at) })
		if i > 0 && acks[i-1].rev > read.rev {
			return fmt.Sprintf("copy %s gave a list of revision %d with an age of %v; revision %d had been acknowledged %v before the call",
				read.replica, read.rev, read.age, acks[i-1].rev, read.called-acks[i-1].acknowledged)
		}
	}
	return ""
}

// propagationTimes is, for each write, the time from its call until the last watcher had its revision; sorted.
func propagationTimes(acks []ackedWrite, watchers []*watcher) []time.Duration {
	var times []time.Duration
	for _, a := range acks {
		last := time.Duration(0)
		for _, w := range watchers {
			// A watcher that went to a replica that lags may have gone back; what counts is when it first had it.
			i := slices.IndexFunc(w.firstSeen, func(t ackedWrite) bool { return t.rev >= a.rev })
			if i < 0 {
				last = -1
				break
			}
			last = max(last, w.firstSeen[i].acknowledged)
		}
		if last > 0 {
			times = append(times, last-a.called)
		}
	}
	slices.Sort(times)
	return times
}

// AddBreachesTo adds the rules that the replicas broke to a verdict.
func (c *Cluster) AddBreachesTo(v *invariant.Verdict) {
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
