package audit

import (
	"fmt"
	"math"
	"slices"

	"marblelane/internal/route"
)

// fleetWorld simulates a fleet with known true times, a network that loses, duplicates and reorders messages, and changing
// leaders. All random decisions come from choose(n), which returns a number from 0 to n-1.
type fleetWorld struct {
	choose         func(n int) int
	options        TrackerOptions
	maxListedRevs  int // revisions that processes list at most; 0: all
	now            int64
	leaderOffset   int64 // offset of the leader's clock from the true time
	leader         string
	leaders        int
	startedAt      int64
	committed      map[int64]int64 // true time of each revision's commit
	closed         map[int64]int64
	committedSince map[int64]int64 // time not after the commit, known to a copy
	rev            int64
	closedRev      int64 // the newest closed revision
	processes      []*trueProcess
	reports        []*route.Report
	responses      []func()
	tracker        *Tracker
	log            Log
	onArrival      func(w *fleetWorld, r *route.Report) *route.Report // replaces an arriving report, for a planted mistake
	onSend         func(p *trueProcess, r *route.Report)              // changes a report before it is sent, for a planted mistake
}

// attempt is an attempt under a revision, at its true time.
type attempt struct{ rev, at int64 }

// trueProcess is a process with all attempts that it made.
type trueProcess struct {
	route.Process
	report   route.Report
	started  map[int64]int64
	attempts []attempt
	sent     map[int64]int64
}

func newFleetWorld(draw func(n int) int, processes int) *fleetWorld {
	w := &fleetWorld{choose: draw, committed: map[int64]int64{}, closed: map[int64]int64{}, committedSince: map[int64]int64{}}
	w.options = TrackerOptions{Retention: []int64{1 << 40, 15, 4}[draw(3)], MaxFacts: []int{512, 4}[draw(2)], MaxProcesses: 100}
	w.maxListedRevs = []int{0, 2, 1}[draw(3)]
	w.options.MinListedRevs = []int{0, max(w.maxListedRevs, 1)}[draw(2)]
	for range processes {
		w.start(fmt.Sprint("p", len(w.processes)))
	}
	w.electLeader()
	return w
}

func (w *fleetWorld) start(name string) {
	p := &trueProcess{Process: route.Process{Name: name, Start: w.now*1000 + int64(len(w.processes))}}
	p.report.Process, p.started, p.sent = p.Process, map[int64]int64{}, map[int64]int64{}
	w.processes = append(w.processes, p)
}

func (w *fleetWorld) electLeader() {
	w.leaders++
	if w.leaders > 1 {
		w.leaderOffset = int64(w.choose(9) - 4)
	}
	w.leader, w.startedAt = fmt.Sprint("leader", w.leaders), w.now
	w.tracker = NewTracker(w.options, w.leader, w.clock(w.now))
}

func (w *fleetWorld) clock(at int64) int64 { return at + w.leaderOffset }

func (w *fleetWorld) attempt(p *trueProcess, leased bool) {
	rev := int64(0)
	if leased && p.report.AcknowledgedRev > w.closedRev {
		rev = p.report.AcknowledgedRev
	}
	p.started[rev]++
	p.attempts = append(p.attempts, attempt{rev: rev, at: w.now})
}

func (w *fleetWorld) send(p *trueProcess) {
	p.report.Seq++
	r := p.report
	revs := make([]int64, 0, len(p.started))
	for rev := range p.started {
		revs = append(revs, rev)
	}
	slices.Sort(revs)
	listed := 0
	for _, rev := range slices.Backward(revs) {
		if rev > 0 {
			if listed++; w.maxListedRevs > 0 && listed > w.maxListedRevs && rev != r.AcknowledgedRev {
				continue
			}
		}
		half := p.started[rev] / 2
		r.Counts = append(r.Counts, route.Count{Rev: rev, Tenant: "a", Started: half},
			route.Count{Rev: rev, Tenant: "a", Canary: true, Started: p.started[rev] - half})
	}
	if w.onSend != nil {
		w.onSend(p, &r)
	}
	w.reports = append(w.reports, &r)
}

func (w *fleetWorld) deliver(i int, again bool) {
	r := w.reports[i]
	if !again {
		w.reports = slices.Delete(w.reports, i, i+1)
	}
	if w.onArrival != nil {
		r = w.onArrival(w, r)
	}
	now := w.clock(w.now)
	w.log.Add(w.log.FilterNew(w.tracker.Report(now, w.now, r)))
	stamp := route.LeaderTime{Leader: w.leader, MS: now}
	for _, p := range w.processes {
		if p.Process == r.Process {
			w.responses = append(w.responses, func() { p.report.Echo = stamp })
		}
	}
}

// step performs one random action. Several actions may happen in one millisecond.
func (w *fleetWorld) step() {
	p := w.processes[w.choose(len(w.processes))]
	switch w.choose(16) {
	case 0, 1:
		w.now++
	case 2, 3:
		w.attempt(p, true)
	case 4:
		w.attempt(p, w.choose(2) == 0)
	case 5, 6:
		w.send(p)
	case 7, 8, 9:
		if len(w.reports) > 0 {
			w.deliver(w.choose(len(w.reports)), w.choose(4) == 0)
		}
	case 10, 11:
		if n := len(w.responses); n > 0 {
			i := w.choose(n)
			w.responses[i]()
			w.responses = slices.Delete(w.responses, i, i+1)
		}
	case 12:
		w.rev += 1 + int64(w.choose(2))
		w.committed[w.rev] = w.now
		if w.choose(2) == 0 {
			w.committedSince[w.rev] = w.now - int64(w.choose(3))
		}
	case 13:
		if w.committed[w.rev] != 0 || w.rev > 0 {
			p.report.AcknowledgedRev = w.rev
		}
	case 14:
		w.rareStep(p)
	case 15:
		w.log.Mark(w.now + copyAhead)
		w.tracker.DropExpired(w.clock(w.now))
	}
}

// copyAhead is the time in ms by which the clock of the copy that marks the log is ahead of the true time.
const copyAhead = 1000

func (w *fleetWorld) rareStep(p *trueProcess) {
	switch w.choose(6) {
	case 0:
		w.electLeader()
	case 1:
		w.start(p.Name)
	case 2:
		for rev := w.closedRev + 1; rev < w.rev; rev++ {
			w.closed[rev] = w.now
		}
		w.closedRev = max(w.closedRev, w.rev-1)
	case 3:
		if len(w.reports) > 0 {
			w.reports = slices.Delete(w.reports, 0, 1)
		}
	case 4:
		kind := []TransitionKind{ShutOut, Gone, Readmitted}[w.choose(3)]
		w.log.Add(w.tracker.AccessChanged(w.clock(w.now), w.now, p.Process, kind, w.rev, ""))
	case 5:
		text, _ := w.log.MarshalJSON()
		w.log = Log{}
		if err := w.log.UnmarshalJSON(text); err != nil {
			panic(err)
		}
	}
}

func (w *fleetWorld) query(rev, from, to int64) Query {
	q := Query{Rev: rev, From: w.clock(from), To: w.clock(to), CommittedAt: math.MinInt64, Now: w.clock(w.now),
		ClockAhead: w.leaderOffset - copyAhead}
	if at, ok := w.committed[rev]; ok && at >= w.startedAt {
		q.CommittedAt = w.clock(at)
	} else if at, ok := w.committedSince[rev]; ok {
		q.CommittedAt = w.clock(at)
	}
	if at, ok := w.closed[rev]; ok {
		q.ClosedAt, q.ClosedKnown = w.clock(max(at, w.startedAt)), true
	}
	return q
}

// verdictCounts counts all verdicts, those other than Unknown, and those that are wrong.
type verdictCounts struct{ verdicts, known, wrongActed, wrongDidNotAct int }

type verdictFunc func(w *fleetWorld, q Query) []ProcessVerdict

func trackerVerdicts(w *fleetWorld, q Query) []ProcessVerdict { return w.tracker.Verdicts(q, &w.log) }

// compareWithTruth compares the verdicts for every query with the attempts that were made, and counts them.
func (w *fleetWorld) compareWithTruth(counts *verdictCounts, verdicts verdictFunc) {
	truths := map[route.Process]*trueProcess{}
	for _, p := range w.processes {
		truths[p.Process] = p
	}
	for rev := int64(0); rev <= w.rev+1; rev++ {
		for from := int64(-1); from <= w.now; from++ {
			for to := from; to <= w.now+1; to++ {
				for _, a := range verdicts(w, w.query(rev, from, to)) {
					acted := slices.ContainsFunc(truths[a.Process].attempts, func(a attempt) bool {
						return a.rev == rev && a.at >= from && a.at <= to
					})
					counts.verdicts++
					if a.Verdict != Unknown {
						counts.known++
					}
					if a.Verdict == Acted && !acted {
						counts.wrongActed++
					}
					if a.Verdict == DidNotAct && acted {
						counts.wrongDidNotAct++
					}
				}
			}
		}
	}
}
