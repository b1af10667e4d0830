package lab

// This file is what a run of the list service came to.

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/measure"
	"marblelane/internal/lab/process"
)

// RegistryResult is what a run of the list service shows. Times are in milliseconds.
type RegistryResult struct {
	Copies    int               `json:"copies"`
	Watchers  int               `json:"watchers"`
	Writes    int               `json:"writes"`    // acknowledged
	Conflicts int               `json:"conflicts"` // refused on their condition
	Refused   int               `json:"refused"`   // certainly not done: nobody led
	Unknown   int               `json:"unknown"`   // no answer: done or not
	Gets      int               `json:"gets"`
	Reads     int               `json:"reads"`      // whole lists, of any copy
	ReadsLost int               `json:"reads_lost"` // no copy answered
	Lines     int64             `json:"lines"`      // that watchers took
	Rejoins   int64             `json:"rejoins"`    // watches that ended and began again
	TellP50   float64           `json:"tell_p50_ms"`
	TellP99   float64           `json:"tell_p99_ms"` // from a write's call until the last watcher is told
	TellMax   float64           `json:"tell_max_ms"`
	Gaps      []float64         `json:"gaps_ms"`    // after each fault: until a write called since is acknowledged
	Returns   []float64         `json:"returns_ms"` // of copies that were killed: from their start until they had the list
	Heals     []float64         `json:"heals_ms"`   // of disks that failed: from when one works until its copy had the list
	OldestMS  float64           `json:"oldest_ms"`  // the greatest age that a copy has stated with a list
	Parties   []measure.Process `json:"parties"`
}

// result sums the run up.
func (rr *registryRun) result(ctx context.Context, watchers []*lister, began time.Duration, lag []time.Duration) *Report {
	out := &RegistryResult{Copies: len(rr.copies), Watchers: len(watchers), Reads: len(rr.reads), ReadsLost: rr.lost,
		Lines: rr.lines.Load(), Rejoins: rr.rejoins.Load()}
	for i := range rr.ops {
		op := &rr.ops[i]
		switch {
		case op.outcome == outcomeConflict:
			out.Conflicts++
		case op.outcome == outcomeNone:
			out.Refused++
		case op.outcome == outcomeUnknown:
			out.Unknown++
		case op.kind == opGet:
			out.Gets++
		default:
			out.Writes++
		}
	}
	if text := notLinearizable(rr.ops); text != "" {
		rr.breach("linearizable", text)
	}
	if text := olderThanTold(rr.reads, rr.acks); text != "" {
		rr.breach("age-told", text)
	}
	for _, one := range rr.reads {
		if one.age < time.Hour { // a copy that has just begun knows no age
			out.OldestMS = max(out.OldestMS, float64(one.age)/float64(time.Millisecond))
		}
	}
	for _, d := range rr.returns {
		out.Returns = append(out.Returns, float64(d)/float64(time.Millisecond))
	}
	for _, d := range rr.heals {
		out.Heals = append(out.Heals, float64(d)/float64(time.Millisecond))
	}
	tell := tellTimes(rr.acks, watchers)
	at := func(q float64) float64 {
		if len(tell) == 0 {
			return 0
		}
		return float64(tell[int(q*float64(len(tell)-1))]) / float64(time.Millisecond)
	}
	out.TellP50, out.TellP99, out.TellMax = at(0.5), at(0.99), at(1)
	for _, m := range rr.marks {
		first := time.Duration(-1)
		for _, a := range rr.acks {
			if a.called >= m && (first < 0 || a.done < first) {
				first = a.done
			}
		}
		if first >= 0 {
			out.Gaps = append(out.Gaps, float64(first-m)/float64(time.Millisecond))
		}
	}
	for _, c := range rr.copies {
		p := measure.Process{Name: c.name, CPU: c.past}
		if u, err := process.Measure(c.process().PID); err == nil {
			p.CPU += u.CPU
			p.LastRSS, p.PeakRSS, p.Descriptors = float64(u.RSS)/(1<<20), float64(u.PeakRSS)/(1<<20), u.Descriptors
		}
		out.Parties = append(out.Parties, p)
	}
	slices.Sort(lag)
	rep := &Report{Scenario: rr.s.Name, Title: rr.s.Title, Seed: rr.plan.Seed, LengthS: rr.s.Length.Duration().Seconds(),
		Registry: out, Verdict: &invariant.Verdict{Counts: rr.counts, Breaches: rr.breaches,
			Checked: map[string]int{"linearizable": len(rr.ops), "watchers-agree": int(out.Lines), "age-told": len(rr.reads),
				"disk-honest": rr.disks}}}
	if len(lag) > 0 {
		rep.Lateness.LagMS = float64(lag[int(0.99*float64(len(lag)-1))]) / float64(time.Millisecond)
		rep.Lateness.TooBig = rep.Lateness.LagMS > float64(lateP99)/float64(time.Millisecond)
	}
	return rep
}

// olderThanTold finds a list that lacks a write which had been acknowledged before the time that the list is said to be
// of. A copy states its age while it is asked, so the time is no earlier than the call less the age.
func olderThanTold(reads []reading, acks []ack) string {
	acks = slices.Clone(acks)
	slices.SortFunc(acks, func(a, b ack) int { return cmp.Compare(a.done, b.done) })
	for i := 1; i < len(acks); i++ { // the greatest revision acknowledged by then
		acks[i].rev = max(acks[i].rev, acks[i-1].rev)
	}
	for _, one := range reads {
		i, _ := slices.BinarySearchFunc(acks, one.called-one.age, func(a ack, at time.Duration) int { return cmp.Compare(a.done, at) })
		if i > 0 && acks[i-1].rev > one.rev {
			return fmt.Sprintf("copy %s gave a list of revision %d with an age of %v; revision %d had been acknowledged %v before the call",
				one.copy, one.rev, one.age, acks[i-1].rev, one.called-acks[i-1].done)
		}
	}
	return ""
}

// tellTimes is, for each write, the time from its call until the last watcher had its revision; sorted.
func tellTimes(acks []ack, watchers []*lister) []time.Duration {
	var out []time.Duration
	for _, a := range acks {
		last := time.Duration(0)
		for _, w := range watchers {
			// A watcher that went to a copy which lags may have gone back; what counts is when it first had it.
			i := slices.IndexFunc(w.told, func(t ack) bool { return t.rev >= a.rev })
			if i < 0 {
				last = -1
				break
			}
			last = max(last, w.told[i].done)
		}
		if last > 0 {
			out = append(out, last-a.called)
		}
	}
	slices.Sort(out)
	return out
}

// print writes the result as a table.
func (o *RegistryResult) print(w io.Writer, r *Report) {
	fmt.Fprintf(w, "%s (seed %d): %d copies of the list service, %d watchers, %.0f s\n\n", r.Scenario, r.Seed, o.Copies, o.Watchers, r.LengthS)
	fmt.Fprintf(w, "writes    %d acknowledged, %d refused on their condition, %d refused as nobody led, %d without an answer; %d single reads\n",
		o.Writes, o.Conflicts, o.Refused, o.Unknown, o.Gets)
	fmt.Fprintf(w, "lists     %d read of any copy, %d times no copy answered; the oldest was said to be of %.0f ms ago\n", o.Reads, o.ReadsLost, o.OldestMS)
	fmt.Fprintf(w, "watches   %d lines, begun again %d times; from a write's call to the last watcher p50 %.1f  p99 %.1f  max %.1f ms\n",
		o.Lines, o.Rejoins, o.TellP50, o.TellP99, o.TellMax)
	if len(o.Gaps) > 0 {
		fmt.Fprintf(w, "without writes after each fault: %.0f ms\n", o.Gaps)
	}
	if len(o.Returns) > 0 {
		fmt.Fprintf(w, "from a copy's start until it had the list: %.0f ms\n", o.Returns)
	}
	if len(o.Heals) > 0 {
		fmt.Fprintf(w, "from when a failed disk works again until its copy had the list: %.0f ms\n", o.Heals)
	}
	fmt.Fprintf(w, "\n%-8s %8s %9s %9s %12s\n", "copy", "CPU s", "RSS MB", "peak MB", "descriptors")
	for _, p := range o.Parties {
		fmt.Fprintf(w, "%-8s %8.2f %9.1f %9.1f %12d\n", p.Name, p.CPU, p.LastRSS, p.PeakRSS, p.Descriptors)
	}
	fmt.Fprintln(w)
}
