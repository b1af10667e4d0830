package cluster

// This file computes the result of a run of the registry alone.

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

// result returns the report of the run. It checks the history of the writers and the ages of the lists that were read.
func (c *Cluster) result(watchers []*watcher, timerLag []time.Duration) *report.Report {
	out := &report.RegistryResult{Replicas: len(c.Replicas), Watchers: len(watchers), Reads: len(c.reads),
		FailedReads: c.failedReads, Lines: c.watchLines.Load(), RestartedWatches: c.rewatches.Load()}
	c.countOperations(out)
	if text := checkLinearizable(c.history); text != "" {
		c.recordBreach("linearizable", text)
	}
	if text := checkListAges(c.reads, c.acknowledged); text != "" {
		c.recordBreach("age-told", text)
	}
	c.summarizeTimes(out, watchers)
	out.Processes = c.measureReplicas()
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

// maxKnownAge bounds the ages of lists that count. A replica that has just started does not know the age of its list
// and reports a greater one.
const maxKnownAge = time.Hour

// summarizeTimes fills in the times: ages of lists, recoveries of replicas and disks, propagation to watchers, and gaps
// between writes after faults.
func (c *Cluster) summarizeTimes(out *report.RegistryResult, watchers []*watcher) {
	for _, read := range c.reads {
		if read.age < maxKnownAge {
			out.MaxListAgeMS = max(out.MaxListAgeMS, milliseconds(read.age))
		}
	}
	for _, d := range c.restartDelays {
		out.RestartTimes = append(out.RestartTimes, milliseconds(d))
	}
	for _, d := range c.diskRecoveries {
		out.DiskRecoveryTimes = append(out.DiskRecoveryTimes, milliseconds(d))
	}
	propagation := propagationTimes(c.acknowledged, watchers)
	out.NotifyP50, out.NotifyP99 = percentile(propagation, 0.5), percentile(propagation, 0.99)
	out.NotifyMax = percentile(propagation, 1)
	for _, start := range c.faultStarts {
		if first, ok := c.firstWriteSince(start); ok {
			out.WriteGaps = append(out.WriteGaps, milliseconds(first-start))
		}
	}
}

// firstWriteSince returns the earliest acknowledgement of the writes that were called at or after start.
func (c *Cluster) firstWriteSince(start time.Duration) (first time.Duration, ok bool) {
	for _, w := range c.acknowledged {
		if w.called >= start && (!ok || w.acknowledged < first) {
			first, ok = w.acknowledged, true
		}
	}
	return first, ok
}

// percentile returns the q quantile of a sorted list in milliseconds, or 0 if the list is empty.
func percentile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return milliseconds(sorted[int(q*float64(len(sorted)-1))])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureReplicas returns the resource usage of each replica's process.
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

// verdict returns the breaches, and for each invariant the number of cases that it was checked on.
func (c *Cluster) verdict() *invariant.Verdict {
	checked := map[string]int{"linearizable": len(c.history), "watchers-agree": int(c.watchLines.Load()),
		"age-told": len(c.reads), "disk-honest": c.diskChecks}
	return &invariant.Verdict{Counts: c.breachCounts, Breaches: c.breaches, Checked: checked}
}

// timerLateness returns the lateness of the run by the lab's timers alone, as the run has no planned arrivals.
func timerLateness(timerLag []time.Duration) (l report.Lateness) {
	slices.Sort(timerLag)
	l.LagMS = percentile(timerLag, 0.99)
	l.ExceedsLimit = l.LagMS > milliseconds(report.MaxLatenessP99)
	return l
}

// checkListAges returns a description of a list that lacks a write which had been acknowledged before the time of the
// list by its reported age, or an empty string. A replica determines the age during the call, so the time of the list
// is no earlier than the start of the call minus the age.
func checkListAges(reads []listRead, acks []ackedWrite) string {
	acks = slices.Clone(acks)
	slices.SortFunc(acks, func(a, b ackedWrite) int { return cmp.Compare(a.acknowledged, b.acknowledged) })
	for i := 1; i < len(acks); i++ { // sets rev to the greatest revision acknowledged up to this write
		acks[i].rev = max(acks[i].rev, acks[i-1].rev)
	}
	for _, read := range reads {
		i, _ := slices.BinarySearchFunc(acks, read.called-read.age, func(a ackedWrite, at time.Duration) int { return cmp.Compare(a.acknowledged, at) })
		if i > 0 && acks[i-1].rev > read.rev {
			return fmt.Sprintf("replica %s sent a list of revision %d with an age of %v, but revision %d had been acknowledged %v before the call",
				read.replica, read.rev, read.age, acks[i-1].rev, read.called-acks[i-1].acknowledged)
		}
	}
	return ""
}

// propagationTimes returns, sorted, the time of each write from its call until the last watcher had its revision.
// Writes that did not reach all watchers are left out.
func propagationTimes(acks []ackedWrite, watchers []*watcher) []time.Duration {
	var times []time.Duration
	for _, a := range acks {
		last := time.Duration(0)
		for _, w := range watchers {
			// The revision of a watcher goes back when it reconnects to a replica that lags. What counts is when it
			// first had the revision of the write.
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

// AddBreachesTo adds the breaches of the replicas, and the number of checked disk failures, to a verdict.
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
