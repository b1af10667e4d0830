package audit

import (
	"cmp"
	"math"
	"slices"

	"marblelane/internal/route"
)

// TrackerOptions are the bounds of a Tracker. A field that is 0 means the default.
type TrackerOptions struct {
	Retention    int64 // ms since a process last reported and since a fact was last confirmed; default 1 h
	MaxFacts     int   // facts of each kind for one process; default 512, at least 4
	MaxProcesses int   // default 5,000; to add one more, the process that has not reported for the longest time is dropped

	// MinListedRevs is the number of revisions other than 0 that a process lists at least before it leaves any out, unless
	// its report states that its counts are truncated. If a report lists fewer, an unlisted revision has no attempts. 0: no
	// such guarantee.
	MinListedRevs int
}

const (
	defaultRetention    = 60 * 60 * 1000
	defaultMaxFacts     = 512
	minFacts            = 4
	defaultMaxProcesses = 5000
)

func (o TrackerOptions) withDefaults() TrackerOptions {
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	if o.MaxFacts <= 0 {
		o.MaxFacts = defaultMaxFacts
	}
	o.MaxFacts = max(o.MaxFacts, minFacts)
	if o.MaxProcesses <= 0 {
		o.MaxProcesses = defaultMaxProcesses
	}
	return o
}

// Times before and after all others.
const (
	minTime = math.MinInt64
	maxTime = math.MaxInt64
)

// Tracker keeps the facts that one leader learns about processes from reports. It is not safe for concurrent use.
type Tracker struct {
	options          TrackerOptions
	leader           string
	startedAt        int64
	now              int64 // the latest time passed to any method
	processes        map[route.Process]*processRecord
	droppedProcesses int64
}

// processRecord holds the facts about one process, which is one start of one sidecar. The facts hold regardless of the
// order of the reports; the other fields are of the newest report.
type processRecord struct {
	lastReport   route.Report // the report with the highest Seq, without its counts
	lastReportAt int64        // time at which lastReport first arrived
	sampledAfter int64        // lastReport was sampled at this time or later; minTime: not known
	access       TransitionKind
	inconsistent bool // the reports contradict each other

	// The facts; facts.go describes them.
	histories        []countHistory // sorted by revision
	zeros            []zeroCounts
	skipped          []revisionRange
	newestDroppedRev int64 // the newest revision whose history was dropped
}

// NewTracker returns a tracker for a new leader. leader is the name in the stamps of the leader's responses, and now is in
// ms on its clock.
func NewTracker(o TrackerOptions, leader string, now int64) *Tracker {
	return &Tracker{
		options: o.withDefaults(), leader: leader, startedAt: now, now: now,
		processes: map[route.Process]*processRecord{},
	}
}

// Report applies a report that arrived at now, in ms on the leader's clock, and returns the transitions to replicate, with
// wall as their time: FirstReport if the report is the first in which the process acts on its revision, and FinalCount for
// each older revision whose final count is now known. Reports may be duplicated, late or out of order, and may be from a
// start that is not the newest.
func (t *Tracker) Report(now, wall int64, r *route.Report) []Transition {
	t.now = max(t.now, now)
	if ValidateReport(r) != nil {
		return nil
	}
	p := t.findOrAddRecord(r.Process)
	lo := int64(minTime)
	if r.Echo.Leader == t.leader && r.Echo.MS <= now {
		lo = r.Echo.MS
	}
	before := p.lastReport
	p.recordNewest(r, now, lo)
	listed := countsByRevision(r.Counts)
	transitions := p.addListed(r, listed, lo, now)
	p.addUnlisted(r, listed, lo, now, t.options)
	if r.Seq > before.Seq && r.AcknowledgedRev > before.AcknowledgedRev {
		if p.hasNoAttempts(before.AcknowledgedRev) {
			transitions = append(transitions, Transition{Process: r.Process, Kind: FinalCount, Rev: before.AcknowledgedRev})
		}
		transitions = append(transitions, Transition{
			Process: r.Process, Kind: FirstReport, Rev: r.AcknowledgedRev, Attempts: p.highestKnownCount(r.AcknowledgedRev),
		})
	}
	p.limitFacts(t.options.MaxFacts)
	if p.inconsistent {
		return nil // other leaders must not rely on transitions from inconsistent reports
	}
	for i := range transitions {
		transitions[i].AtMS = wall
	}
	return transitions
}

// addListed adds the counts of a report that was sampled from lo to hi, and returns transitions for new final counts.
func (p *processRecord) addListed(r *route.Report, listed []revisionCount, lo, hi int64) (final []Transition) {
	for _, c := range listed {
		h := p.historyOrNew(c.rev)
		if !h.addSample(r.Seq, c.count, lo, hi, c.rev != 0 && c.rev < r.AcknowledgedRev) {
			p.inconsistent = true
		}
		if h.final >= 0 && !h.finalReported && c.rev > p.newestDroppedRev {
			h.finalReported = true
			final = append(final, Transition{Process: r.Process, Kind: FinalCount, Rev: c.rev, Attempts: c.count})
		}
	}
	return final
}

// hasNoAttempts reports whether the process made no attempt under a revision that it has acted on, so that the
// revision was never listed.
func (p *processRecord) hasNoAttempts(rev int64) bool {
	return rev > 0 && p.history(rev) == nil && p.wasSkipped(rev)
}

// findOrAddRecord returns the record of a process, or adds one. If the tracker is full, the process that has not reported
// for the longest time is dropped.
func (t *Tracker) findOrAddRecord(key route.Process) *processRecord {
	if p := t.processes[key]; p != nil {
		return p
	}
	if len(t.processes) >= t.options.MaxProcesses {
		delete(t.processes, t.longestSilent())
		t.droppedProcesses++
	}
	p := &processRecord{sampledAfter: minTime}
	t.processes[key] = p
	return p
}

// longestSilent returns the process that has not reported for the longest time.
func (t *Tracker) longestSilent() route.Process {
	var oldest route.Process
	at := int64(maxTime)
	for key, p := range t.processes {
		if p.lastReportAt < at || p.lastReportAt == at && compareProcesses(key, oldest) < 0 {
			oldest, at = key, p.lastReportAt
		}
	}
	return oldest
}

func compareProcesses(a, b route.Process) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
}

// recordNewest stores a report if it has the highest Seq. The record becomes inconsistent if the acknowledged revision
// falls as Seq rises.
func (p *processRecord) recordNewest(r *route.Report, now, lo int64) {
	last := &p.lastReport
	if r.Seq > last.Seq && r.AcknowledgedRev < last.AcknowledgedRev ||
		r.Seq < last.Seq && r.AcknowledgedRev > last.AcknowledgedRev {
		p.inconsistent = true
	}
	if r.Seq <= last.Seq {
		return
	}
	p.lastReport = *r
	p.lastReport.Counts = nil
	p.lastReport.Schemas = slices.Clone(r.Schemas)
	p.lastReportAt, p.sampledAfter = now, lo
}

// DropExpired drops processes that have not reported for the retention time, and facts older than it. If a count has no
// final value yet, the newest of these facts is kept as the start value for later growth.
func (t *Tracker) DropExpired(now int64) {
	t.now = max(t.now, now)
	cutoff := t.now - t.options.Retention
	for key, p := range t.processes {
		if p.lastReportAt < cutoff {
			delete(t.processes, key)
			continue
		}
		p.dropBefore(cutoff)
	}
}

// AccessChanged records that a process is shut out, readmitted or gone, and returns the transition to replicate, with the
// attempts under rev that are known so far. It returns none if nothing changes or if kind is not a change of access.
func (t *Tracker) AccessChanged(
	now, wall int64, key route.Process, kind TransitionKind, rev int64, note string,
) []Transition {
	t.now = max(t.now, now)
	if !kind.isAccess() {
		return nil
	}
	transition := Transition{Process: key, AtMS: wall, Kind: kind, Rev: rev, Note: note}
	if p := t.processes[key]; p != nil {
		if p.access == kind {
			return nil
		}
		p.access = kind
		transition.Attempts = p.highestKnownCount(rev)
	}
	return []Transition{transition}
}

// Presence is the status of a process according to its newest report.
type Presence struct {
	route.Process
	AcknowledgedRev int64          `json:"have"`
	UnreadableRev   int64          `json:"unread"`
	NoLease         bool           `json:"held,omitempty"`
	ListRev         int64          `json:"list_rev"`
	Version         string         `json:"version"`
	Config          string         `json:"config"`
	Schemas         []int          `json:"schemas"`
	LastReportAgoMS int64          `json:"heard_ms"`
	SampledAgoMS    int64          `json:"sampled_ms"`           // upper bound of the sample's age; -1: not known
	Access          TransitionKind `json:"standing,omitempty"`   // kind of the last change of access; empty: none
	Superseded      bool           `json:"superseded,omitempty"` // a later start of the same name has reported
}

// ListProcesses returns the known processes, sorted by name and start. A process that is superseded or gone may still act;
// callers must rely neither on that nor on the opposite.
func (t *Tracker) ListProcesses(now int64) []Presence {
	t.now = max(t.now, now)
	out := make([]Presence, 0, len(t.processes))
	for key, p := range t.processes {
		out = append(out, p.presence(key, t.now))
	}
	slices.SortFunc(out, func(a, b Presence) int { return compareProcesses(a.Process, b.Process) })
	for i := 1; i < len(out); i++ {
		out[i-1].Superseded = out[i-1].Name == out[i].Name
	}
	return out
}

func (p *processRecord) presence(key route.Process, now int64) Presence {
	r := &p.lastReport
	out := Presence{
		Process:         key,
		AcknowledgedRev: r.AcknowledgedRev,
		UnreadableRev:   r.UnreadableRev,
		NoLease:         r.NoLease,
		ListRev:         r.ListRev,
		Version:         r.Version,
		Config:          r.Config,
		Schemas:         slices.Clone(r.Schemas),
		LastReportAgoMS: now - p.lastReportAt,
		SampledAgoMS:    -1,
		Access:          p.access,
	}
	if p.sampledAfter > minTime {
		out.SampledAgoMS = now - p.sampledAfter
	}
	return out
}
