package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"marblelane/internal/route"
)

// Bounds of what a controller remembers and reads.
const (
	MaxProcesses = 5000 // heard within Remember, or with permission; one more gets none
	MaxCounts    = 4096 // of one report, beyond which they are not read
	MaxPurses    = 1000 // of one ask, likewise
	maxMoves     = 4096 // revisions whose time is known
	maxEntries   = 1000 // of one ledger command
)

// Why a controller pauses a rollout. What it paused for another reason, or somebody else did, it does not resume.
const (
	WhyEmpty  = "the canary has no ready server"
	WhyBehind = "too many processes are behind"
)

// WhyWorse is the reason of a rollback by the sequential test.
const WhyWorse = "the canary is clearly worse than the base at the same time"

// Options are a controller's settings. Times are milliseconds.
type Options struct {
	Leader      string  // its name and the number of its start, for stamps
	Term        int64   // of a permission
	BehindAfter int64   // since the revision that a process lacks: it is sent the whole table
	ShutAfter   int64   // likewise: its permission is not renewed
	GoneAfter   int64   // silence beyond a lengthened term, after which a process is gone
	Remember    int64   // how long a silent process is known
	BehindShare float64 // of the processes heard within a term: when more are behind, the fault is the service's
	Margin      float64 // of two clocks' rates: a term is lengthened by it before it counts as over
	Alpha       float64 // bound of the probability that one leader's test ends a rollout whose canary is as good; 0: none
	Rho         float64 // how many times worse a canary the test is sharpest for
	Slice       int64   // most units of one grant; 0: no bound but what is fair
}

// Defaults are the settings of docs/routes.md.
func Defaults() Options {
	return Options{Term: 5000, BehindAfter: 2000, ShutAfter: 6000, GoneAfter: 15000, Remember: 600_000,
		BehindShare: 0.3, Margin: 0.02, Alpha: 0.001, Rho: 3}
}

// lengthened is how long after a grant its term is over on every clock.
func (o *Options) lengthened() int64 { return int64(math.Ceil(float64(o.Term) * (1 + o.Margin))) }

// Controller is what a leader remembers of processes and rollouts, and what it decides from it. It begins empty with
// each leader; times are milliseconds on that leader's monotonic clock. One that is passed in below an earlier one counts as
// the earlier one.
type Controller struct {
	o              Options
	startedAt, now int64
	processes      map[string]*processState // by Key
	newest         map[string]int64         // start by name
	moves          []moved                  // of the table, oldest first
	runs           map[string]*rolloutProgress
	changes        []AccessChange // since the last Tick
	closing        int64          // the newest revision that was ever said to be closed from here
	fault          bool           // of the service: too many are behind
	faultKnown     bool           // at this time and revision
}

// processState is one process as it was last heard.
type processState struct {
	ProcessStatus
	seq    int64
	counts map[countKey]outcomeCounts // newest totals, of tenants with a rollout under way
}

// ProcessStatus is what operators are told of a process. Times are milliseconds on the leader's clock.
type ProcessStatus struct {
	route.Process
	Heard   int64  `json:"heard_ms"`     // its newest report
	Until   int64  `json:"permitted_ms"` // its permission may last until then
	Have    int64  `json:"have"`
	Unread  int64  `json:"unread"`
	List    int64  `json:"list_rev"`
	Version string `json:"version"`
	Config  string `json:"config"`
	Schemas []int  `json:"schemas"`
	ShutOut bool   `json:"shut_out"`
	Gone    bool   `json:"gone"`
}

// AccessChange is a change of what a process may do, for the audit. Rev is what it acted on by its newest report.
type AccessChange struct {
	route.Process
	ShutOut, Back, Gone bool
	Rev                 int64
}

// moved is when this controller first saw a revision.
type moved struct{ rev, at int64 }

type countKey struct {
	tenant string
	rev    int64
	canary bool
}

type outcomeCounts struct{ ended, failed int64 }

// rolloutProgress is what a controller gathers of a rollout under way.
type rolloutProgress struct {
	name        string
	late        bool
	posted, rev int64
	since       int64 // when this controller saw rev first
	ended       int64 // canary attempts under rev or a later one
	evidence    float64
	most        float64                // that evidence ever was; both are logarithms
	asks        map[string]*unitDemand // by process, that asked for units of late
	queue       []int64                // numbers of those that lack units, growing
	numbers     int64                  // given out
}

// unitDemand is one process's want of units.
type unitDemand struct {
	asked, got int64 // when it asked last, and was given some; -1: never
	number     int64 // in the queue; 0: it is not there
}

// NewController begins a leader's controller. now is when it began to lead, or later. The state that is passed in must
// hold all that leaders before have replicated: the caller waits for that first.
func NewController(o Options, now int64) *Controller {
	return &Controller{o: o, startedAt: now, now: now, processes: map[string]*processState{}, newest: map[string]int64{},
		runs: map[string]*rolloutProgress{}}
}

// settled tells whether each permission of a leader before is over.
func (d *Controller) settled() bool { return d.now >= d.startedAt+d.o.lengthened() }

// sync takes in the time, and what the table has become.
func (d *Controller) sync(now int64, s *State) {
	if now > d.now {
		d.now, d.faultKnown = now, false
	}
	if n := len(d.moves); n > 0 && d.moves[n-1].rev >= s.Rev() {
		return
	}
	d.faultKnown = false
	d.moves = append(d.moves, moved{s.Rev(), d.now})
	for len(d.moves) > maxMoves || len(d.moves) > 1 && d.moves[1].at+d.o.ShutAfter < d.now {
		d.moves = d.moves[1:] // who lacks this one lacks the next for long enough
	}
	for name, w := range d.runs {
		if t := s.tenants[name]; t == nil || t.Live == nil || t.Live.Posted != w.posted {
			delete(d.runs, name)
		}
	}
	for name, t := range s.tenants {
		if t.Live == nil {
			continue
		}
		w := d.runs[name]
		if w == nil {
			w = &rolloutProgress{
				name: t.Live.Spec.Name, late: t.Live.Spec.Late, posted: t.Live.Posted, asks: map[string]*unitDemand{},
			}
			d.runs[name] = w
		}
		if w.rev != t.Live.Rev {
			w.rev, w.since, w.ended = t.Live.Rev, d.now, 0
		}
	}
}

// lacking is for how long there has been a revision that a process does not act on; -1: there is none.
func (d *Controller) lacking(p *processState) int64 {
	i, _ := slices.BinarySearchFunc(d.moves, p.Have+1, func(m moved, rev int64) int {
		return int(min(max(m.rev-rev, -1), 1))
	})
	if i == len(d.moves) {
		return -1
	}
	return d.now - d.moves[i].at
}

// heard tells whether a process counts in what the fleet is asked for.
func (d *Controller) heard(p *processState) bool { return !p.Gone && d.now-p.Heard <= d.o.Term }

// serviceFault tells whether so many are behind that the service must be at fault.
func (d *Controller) serviceFault() bool {
	if !d.faultKnown {
		all, behind := 0, 0
		for _, p := range d.processes {
			if d.heard(p) {
				all++
				if d.lacking(p) >= d.o.BehindAfter {
					behind++
				}
			}
		}
		d.fault, d.faultKnown = float64(behind) > d.o.BehindShare*float64(all), true
	}
	return d.fault
}

// Report takes a report in, and says whether its process is permitted, for how long, or why not. The caller must have
// confirmed with a majority, after the report came, that it leads. Where the answer says Anew the caller adds the table.
func (d *Controller) Report(now int64, s *State, r *route.Report) route.Answer {
	d.sync(now, s)
	a := route.Answer{Stamp: route.Moment{Leader: d.o.Leader, MS: d.now}, Rev: s.Rev()}
	if a.Why = checkReport(r); a.Why != "" {
		return a
	}
	if newest := d.newest[r.Name]; r.Start < newest {
		a.Why, a.Start = "a later start of this name has reported", newest
		return a
	}
	p := d.processes[Key(r.Process)]
	if p == nil {
		if len(d.processes) >= MaxProcesses {
			a.Why = fmt.Sprintf("there are %d processes, as many as are kept", MaxProcesses)
			return a
		}
		p = d.begin(r.Process)
	}
	p.Have = max(p.Have, r.Have) // it never goes back, so that an old report tells this as well
	d.faultKnown = false
	switch {
	case r.Seq < p.seq:
		a.Why = "a later report of this process has come"
		return a
	case r.Seq > p.seq:
		d.take(p, r)
	}
	d.permit(s, p, &a)
	return a
}

func checkReport(r *route.Report) string {
	switch {
	case r.Name == "" || len(r.Name) > MaxName:
		return fmt.Sprintf("name has %d bytes, not 1 to %d", len(r.Name), MaxName)
	case r.Start < 1:
		return fmt.Sprintf("start is %d, below 1", r.Start)
	case r.Seq < 1:
		return fmt.Sprintf("seq is %d, below 1", r.Seq)
	case len(r.Schemas) > 100:
		return fmt.Sprintf("schemas are %d, more than 100", len(r.Schemas))
	case len(r.Version) > MaxName || len(r.Config) > MaxName:
		return fmt.Sprintf("version or config is longer than %d bytes", MaxName)
	}
	return ""
}

// begin makes a process known; the one of its name before is gone. What that was permitted it may act on still.
func (d *Controller) begin(id route.Process) *processState {
	if before := d.processes[Key(route.Process{Name: id.Name, Start: d.newest[id.Name]})]; before != nil {
		d.lose(before)
	}
	p := &processState{ProcessStatus: ProcessStatus{Process: id, Heard: d.now, Until: math.MinInt64}}
	d.processes[Key(id)], d.newest[id.Name] = p, id.Start
	return p
}

func (d *Controller) lose(p *processState) {
	if !p.Gone {
		p.Gone = true
		d.changes = append(d.changes, AccessChange{Process: p.Process, Gone: true, Rev: p.Have})
	}
}

// take takes in what a newer report says.
func (d *Controller) take(p *processState, r *route.Report) {
	if p.Gone { // it was silent only; its accounts stay closed
		p.Gone = false
		d.changes = append(d.changes, AccessChange{Process: p.Process, Back: true, Rev: p.Have})
	}
	first := p.seq == 0
	p.seq, p.Heard = r.Seq, d.now
	p.Unread, p.List, p.Version, p.Config = r.Unread, r.List, r.Version, r.Config
	p.Schemas = slices.Clone(r.Schemas)
	d.count(p, r, first && d.now-d.startedAt > d.o.Remember && r.Seq > 1)
}

// permit grants a term, or says why not.
func (d *Controller) permit(s *State, p *processState, a *route.Answer) {
	late, why := d.lacking(p), ""
	if newest := slices.Max(append([]int{0}, p.Schemas...)); newest < s.MinSchema() {
		why = fmt.Sprintf("it reads schemas up to %d, and %d is asked for", newest, s.MinSchema())
	} else if late >= d.o.ShutAfter && !d.serviceFault() {
		why = fmt.Sprintf("it acts on revision %d, and has lacked a later one for %d ms", p.Have, late)
	}
	shut := why != ""
	// What is closed, or is about to be, stays so for one that comes late with an older table, too.
	if closed := max(s.Closed(), d.closing); !shut && p.Have <= closed {
		why = fmt.Sprintf("it acts on revision %d, and %d is closed", p.Have, closed)
	}
	// One that was told the newest and cannot read it gains nothing from being told again.
	a.Anew = late >= d.o.BehindAfter && p.Unread < s.Rev()
	if shut != p.ShutOut {
		p.ShutOut = shut
		d.changes = append(d.changes, AccessChange{Process: p.Process, ShutOut: shut, Back: !shut, Rev: p.Have})
	}
	if a.Why = why; why == "" {
		a.TermMS = d.o.Term
		p.Until = d.now + d.o.lengthened()
	}
}

// count takes in the attempts since the report before. Each window is of one process under one revision, throughout
// which the share is the same. Of a process that may have been counted and forgotten, the first totals tell nothing.
func (d *Controller) count(p *processState, r *route.Report, forgotten bool) {
	next := map[countKey]outcomeCounts{}
	counts := r.Counts[max(0, len(r.Counts)-MaxCounts):] // the newest revisions come last
	for i := range counts {
		c := &counts[i]
		w := d.runs[c.Tenant]
		if w == nil || c.Rev < w.posted || c.Failed < 0 || c.Late < 0 || c.Failed > c.Ended || c.Late > c.Ended-c.Failed {
			continue
		}
		t := outcomeCounts{c.Ended, c.Failed}
		if w.late {
			t.failed += c.Late
		}
		next[countKey{c.Tenant, c.Rev, c.Canary}] = t
	}
	if forgotten {
		p.counts = next
		return
	}
	for i := range counts {
		c := &counts[i]
		key := countKey{c.Tenant, c.Rev, true}
		if _, ok := next[key]; !ok || !c.Canary {
			continue
		}
		w := d.runs[c.Tenant]
		canary := next[key].since(p.counts[key])
		p.counts = with(p.counts, key, next[key]) // a line that is there twice counts once
		key.canary = false
		base := next[key].since(p.counts[key])
		if c.Rev >= w.rev {
			w.ended += canary.ended
		}
		w.evidence += logWindow(canary.ended, base.ended, canary.failed, base.failed, d.o.Rho)
		w.most = max(w.most, w.evidence)
	}
	p.counts = next
}

func with(m map[countKey]outcomeCounts, key countKey, t outcomeCounts) map[countKey]outcomeCounts {
	if m == nil {
		m = map[countKey]outcomeCounts{}
	}
	m[key] = t
	return m
}

// since is what came on top of earlier totals; none where the two are not of one count.
func (t outcomeCounts) since(old outcomeCounts) outcomeCounts {
	out := outcomeCounts{t.ended - old.ended, t.failed - old.failed}
	if out.failed < 0 || out.failed > out.ended {
		return outcomeCounts{}
	}
	return out
}

// Evidence is that of the sequential test against a rollout's canary, as it is now; 1 says nothing, and what exceeds
// 1/Alpha rolls it back. It is 0 for one that is not under way. A new leader begins the test anew, with the totals that
// it is first told. The test compares like with like only where the base's counts are of requests that might have gone
// to the canary: of the route's classes.
func (d *Controller) Evidence(tenant, name string) float64 {
	if w := d.runs[tenant]; w != nil && w.name == name {
		return math.Exp(w.evidence)
	}
	return 0
}

// Processes are those that are known, by name and start.
func (d *Controller) Processes(now int64) []ProcessStatus {
	out := make([]ProcessStatus, 0, len(d.processes))
	for _, p := range d.processes {
		if now-p.Heard <= d.o.Remember {
			seen := p.ProcessStatus
			seen.Schemas = slices.Clone(p.Schemas)
			out = append(out, seen)
		}
	}
	slices.SortFunc(out, func(a, b ProcessStatus) int { return compare(a.Process, b.Process) })
	return out
}

func compare(a, b route.Process) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return int(min(max(a.Start-b.Start, -1), 1))
}
