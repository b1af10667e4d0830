package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"marblelane/internal/route"
)

// TrackerOptions bound a Tracker. A field of 0 takes its default.
type TrackerOptions struct {
	Keep      int64 // ms since a fact was last told; 1 h
	Samples   int   // facts of each kind for one process; 512, at least 4
	Processes int   // 5,000; the one not heard of for longest gives way

	// Lists is how many revisions other than 0 a process lists before it leaves one out, unless its report says that it is
	// cut: with fewer listed none has been
	// left out, and what is not listed has no attempts. 0: no such promise.
	Lists int
}

func (o TrackerOptions) orDefaults() TrackerOptions {
	if o.Keep <= 0 {
		o.Keep = 60 * 60 * 1000
	}
	if o.Samples <= 0 {
		o.Samples = 512
	}
	o.Samples = max(o.Samples, 4)
	if o.Processes <= 0 {
		o.Processes = 5000
	}
	return o
}

// Bounds of what a report may hold for the audit.
const (
	mostText    = 256 // bytes
	mostSchemas = 64
	mostCounts  = 1 << 14 // 256 revisions, both sides, 32 tenants
	mostBegun   = 1 << 48 // so that no sum of a report's counts overflows
)

const (
	never  = math.MinInt64
	always = math.MaxInt64
)

// Tracker is what one leader has heard of processes, in its memory. It is not safe for concurrent use.
type Tracker struct {
	o         TrackerOptions
	leader    string
	startedAt int64
	now       int64 // the latest it was told
	processes map[route.Process]*process
	forgot    int64
}

// process is what is known of one start of one sidecar. All but last and what belongs to it is facts, which are true in
// whatever order they came.
type process struct {
	last     route.Report // of the highest Seq, without its counts
	heard    int64        // when that one came first
	sampled  int64        // not before this
	standing Kind
	broken   bool     // its reports contradict each other
	dropped  int64    // the newest revision whose series was dropped
	series   []series // by revision, rising
	none     []none
	skipped  []skipped
}

// NewTracker begins a leader's book. leader is what its answers' stamps have; now is ms on the same clock.
func NewTracker(o TrackerOptions, leader string, now int64) *Tracker {
	return &Tracker{o: o.orDefaults(), leader: leader, startedAt: now, now: now, processes: map[route.Process]*process{}}
}

// Check tells what is wrong with a report, naming the field and the bound. Tracker.Report takes nothing from such a one.
func Check(r *route.Report) error {
	switch {
	case r.Name == "" || len(r.Name) > mostText:
		return fmt.Errorf("report: name has %d bytes, it has 1 to %d", len(r.Name), mostText)
	case r.Seq < 1:
		return fmt.Errorf("report of %s: seq is %d, it counts from 1", r.Name, r.Seq)
	case r.AcknowledgedRev < 0:
		return fmt.Errorf("report of %s: have is %d, it is not negative", r.Name, r.AcknowledgedRev)
	case len(r.Version) > mostText || len(r.Config) > mostText:
		return fmt.Errorf("report of %s: version and config have at most %d bytes each", r.Name, mostText)
	case len(r.Schemas) > mostSchemas:
		return fmt.Errorf("report of %s: schemas has %d entries, at most %d", r.Name, len(r.Schemas), mostSchemas)
	case len(r.Counts) > mostCounts:
		return fmt.Errorf("report of %s: counts has %d entries, at most %d", r.Name, len(r.Counts), mostCounts)
	}
	for i, c := range r.Counts {
		if c.Rev < 0 {
			return fmt.Errorf("report of %s: counts[%d].rev is %d, it is not negative", r.Name, i, c.Rev)
		}
		if c.Started < 0 || c.Started > mostBegun {
			return fmt.Errorf("report of %s: counts[%d].begun is %d, it is 0 to %d", r.Name, i, c.Started, int64(mostBegun))
		}
	}
	return nil
}

// Report takes in a report that arrives now, ms on the leader's clock, and returns the transitions to replicate, with
// wall as their time: Acts when the process is first seen to act on its revision, Acted for each older one whose final
// count is seen. A report may come twice, late or out of order, and of a start that is not the newest.
func (b *Tracker) Report(now, wall int64, r *route.Report) []Transition {
	b.now = max(b.now, now)
	if Check(r) != nil {
		return nil
	}
	p := b.process(r.Process)
	lo := int64(never)
	if r.Echo.Leader == b.leader && r.Echo.MS <= now {
		lo = r.Echo.MS
	}
	before := p.last
	p.newest(r, now, lo)

	listed := sums(r.Counts)
	var out []Transition
	for _, c := range listed {
		s := p.under(c.rev)
		if !s.add(r.Seq, c.n, lo, now, c.rev != 0 && c.rev < r.AcknowledgedRev) {
			p.broken = true
		}
		if s.final >= 0 && !s.noted && c.rev > p.dropped {
			s.noted = true
			out = append(out, Transition{Process: r.Process, AtMS: wall, Kind: Acted, Rev: c.rev, N: c.n})
		}
	}
	p.unlisted(r, listed, lo, now, b.o)
	if r.Seq > before.Seq && r.AcknowledgedRev > before.AcknowledgedRev {
		// What it acted on before, and did not list as it made no attempt: its end is told nevertheless.
		if s := p.find(before.AcknowledgedRev); before.AcknowledgedRev > 0 && s == nil && p.skips(before.AcknowledgedRev) {
			out = append(out, Transition{Process: r.Process, AtMS: wall, Kind: Acted, Rev: before.AcknowledgedRev})
		}
		out = append(out, Transition{Process: r.Process, AtMS: wall, Kind: Acts, Rev: r.AcknowledgedRev, N: p.least(r.AcknowledgedRev)})
	}
	p.thin(b.o.Samples)
	if p.broken {
		return nil // another leader would take what it says of itself for true
	}
	return out
}

// process finds a process or makes room for it.
func (b *Tracker) process(key route.Process) *process {
	if p := b.processes[key]; p != nil {
		return p
	}
	if len(b.processes) >= b.o.Processes {
		var oldest route.Process
		at := int64(always)
		for k, p := range b.processes {
			if p.heard < at || p.heard == at && compare(k, oldest) < 0 {
				oldest, at = k, p.heard
			}
		}
		delete(b.processes, oldest)
		b.forgot++
	}
	p := &process{sampled: never}
	b.processes[key] = p
	return p
}

func compare(a, b route.Process) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
}

// newest keeps the report of the highest Seq. A revision that goes back as Seq rises is none that a process may report.
func (p *process) newest(r *route.Report, now, lo int64) {
	if r.Seq > p.last.Seq && r.AcknowledgedRev < p.last.AcknowledgedRev || r.Seq < p.last.Seq && r.AcknowledgedRev > p.last.AcknowledgedRev {
		p.broken = true
	}
	if r.Seq <= p.last.Seq {
		return
	}
	p.last = *r
	p.last.Counts = nil
	p.last.Schemas = slices.Clone(r.Schemas)
	p.heard, p.sampled = now, lo
}

// Forget drops processes that were not heard of for Keep, and facts that are older; of a count that goes on the newest
// of those stays, as what it grows from.
func (b *Tracker) Forget(now int64) {
	b.now = max(b.now, now)
	cut := b.now - b.o.Keep
	for key, p := range b.processes {
		if p.heard < cut {
			delete(b.processes, key)
			continue
		}
		for i := len(p.series) - 1; i >= 0; i-- {
			s := &p.series[i]
			s.forget(cut)
			if s.final >= 0 && s.seq < p.last.Seq && s.steps[len(s.steps)-1].by < cut {
				p.drop(i)
			}
		}
		p.none = slices.DeleteFunc(p.none, func(n none) bool { return n.until < cut })
	}
}

// AccessChanged notes that a process is shut out, back, or gone, and returns the transition to replicate, with the attempts
// under rev that are known of by then; none when it stands so already, and for other kinds.
func (b *Tracker) AccessChanged(now, wall int64, key route.Process, kind Kind, rev int64, note string) []Transition {
	b.now = max(b.now, now)
	if !kind.standing() {
		return nil
	}
	t := Transition{Process: key, AtMS: wall, Kind: kind, Rev: rev, Note: note}
	if p := b.processes[key]; p != nil {
		if p.standing == kind {
			return nil
		}
		p.standing = kind
		t.N = p.least(rev)
	}
	return []Transition{t}
}

// Presence is what a process said of itself last.
type Presence struct {
	route.Process
	Have       int64  `json:"have"`   // revision of the routes that it acts on
	Unread     int64  `json:"unread"` // see route.Report
	Held       bool   `json:"held,omitempty"`
	List       int64  `json:"list_rev"`
	Version    string `json:"version"`
	Config     string `json:"config"`
	Schemas    []int  `json:"schemas"`
	HeardMS    int64  `json:"heard_ms"`             // ago: when its newest report came
	SampledMS  int64  `json:"sampled_ms"`           // ago at most: when it was true; -1: not known
	Standing   Kind   `json:"standing,omitempty"`   // what it was told to be last; empty: nothing
	Superseded bool   `json:"superseded,omitempty"` // a later start of its name has reported
}

// Present lists the processes of the book by name and start. One that is superseded or gone may act all the same: it is
// not to be counted on, and not ruled out.
func (b *Tracker) Present(now int64) []Presence {
	b.now = max(b.now, now)
	out := make([]Presence, 0, len(b.processes))
	for key, p := range b.processes {
		r := &p.last
		at := Presence{Process: key, Have: r.AcknowledgedRev, Unread: r.UnreadableRev, Held: r.NoLease, List: r.ListRev, Version: r.Version,
			Config: r.Config, Schemas: slices.Clone(r.Schemas), HeardMS: b.now - p.heard, SampledMS: -1, Standing: p.standing}
		if p.sampled > never {
			at.SampledMS = b.now - p.sampled
		}
		out = append(out, at)
	}
	slices.SortFunc(out, func(a, b Presence) int { return compare(a.Process, b.Process) })
	for i := 1; i < len(out); i++ {
		out[i-1].Superseded = out[i-1].Name == out[i].Name
	}
	return out
}
