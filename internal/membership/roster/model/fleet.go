package model

import (
	"fmt"
	"slices"
	"time"

	"marblelane/balance"
	"marblelane/internal/membership/roster"
)

// Random decides what happens next. math/rand/v2 implements it, and so may a generator that shrinks counterexamples.
type Random interface {
	IntN(n int) int // in [0, n)
}

// FleetConfig configures a random run.
type FleetConfig struct {
	Size        int // processes at the beginning, none of which knows another
	Peers       int
	NewNames    int           // names that may join later
	AdmitWithin time.Duration // 0: nobody is admitted by timeout
	Defect      Defect
	FalseProofs bool // a running process may be taken for gone
	// MaxProofsPerName bounds the proofs as in roster.Options. A process whose proof is forgotten may be present again.
	MaxProofsPerName int
}

// Fleet is a set of processes, each with a roster and the balancer's estimate of the fleet's size, in one random run.
type Fleet struct {
	FleetConfig
	random      Random
	now         time.Duration
	processes   []*process // all that ever started
	inFlight    []message
	names       int
	partitioned bool
	anyAdmitted bool     // some process was admitted
	Log         []string // the events so far
}

type process struct {
	roster      *roster.Roster
	estimate    balance.FleetEstimate
	addr        string
	running     bool
	leaving     bool          // it has said that it leaves
	secondSide  bool          // of a cut
	clockOffset time.Duration // of its clock at the beginning of the run
	clockRate   float64       // its seconds for each second of the run
	view        roster.View
	gone        map[roster.ID]bool // processes that it knew as gone
	proofUndone bool               // one of these became present
}

type message struct {
	to      *process
	by      roster.ID
	digest  uint64
	entries []roster.Entry // nil: a digest
}

// neverAdmit stands for no admission by timeout, in nanoseconds.
const neverAdmit = 1 << 50

// NewFleet starts the first processes.
func NewFleet(c FleetConfig, random Random) *Fleet {
	if c.AdmitWithin == 0 {
		c.AdmitWithin = neverAdmit
	}
	f := &Fleet{FleetConfig: c, random: random}
	for range c.Size {
		f.names++
		f.startProcess(fmt.Sprintf("p%d", f.names))
	}
	return f
}

func (f *Fleet) startProcess(name string) *process {
	p := &process{running: true, gone: map[roster.ID]bool{}, addr: fmt.Sprintf("host:%d", len(f.processes)+1)}
	p.secondSide = f.partitioned && f.random.IntN(2) == 0
	p.clockOffset = time.Duration(f.random.IntN(1e6)) * time.Second
	p.clockRate = 0.9 + 0.02*float64(f.random.IntN(11))
	id := roster.ID{Name: name, Start: f.now.Milliseconds() + int64(len(f.processes)) + 1}
	p.roster = roster.New(f.clock(p), roster.Options{Self: id, Addr: p.addr, Peers: f.Peers, AdmitWithin: f.AdmitWithin,
		MaxProofsPerName: f.MaxProofsPerName})
	f.processes = append(f.processes, p)
	return p
}

// clock returns the time that a process's clock shows.
func (f *Fleet) clock(p *process) time.Duration {
	return p.clockOffset + time.Duration(p.clockRate*float64(f.now))
}

// Step plays one random event. It returns an error if the invariant is broken then.
func (f *Fleet) Step() error {
	f.runRandomEvent()
	return f.CheckInvariant()
}

func (f *Fleet) logEvent(format string, args ...any) {
	f.Log = append(f.Log, fmt.Sprintf(format, args...))
}

// runRandomEvent draws one of 256 equally likely numbers, each of which stands for an event of a random process.
func (f *Fleet) runRandomEvent() {
	p := f.pick(func(p *process) bool { return p.running })
	if p == nil {
		return
	}
	switch n := f.random.IntN(256); {
	case n < 12:
		f.advance(time.Duration(1) << f.random.IntN(36))
	case n < 14 || f.partitioned && n < 20:
		f.togglePartition()
	case n < 24:
		f.startRandomProcess(p)
	case n < 26:
		f.leaveOrCrash(p)
	case n < 46:
		f.setVerdict(p)
	case n < 76:
		f.proveGone(p)
	case n < 110:
		f.deliver()
	default:
		if q := f.pick(func(q *process) bool { return f.canSend(p, q) }); q != nil && n < 170 {
			f.send(p, q)
		} else if q != nil {
			f.exchange(p, q)
		}
	}
}

// pick returns a random process that matches, or nil.
func (f *Fleet) pick(match func(*process) bool) *process {
	var matching []*process
	for _, p := range f.processes {
		if match(p) {
			matching = append(matching, p)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return matching[f.random.IntN(len(matching))]
}

func (f *Fleet) advance(d time.Duration) {
	f.now += d
	f.logEvent("%v pass", d)
}

// togglePartition cuts the fleet in two, or heals it.
func (f *Fleet) togglePartition() {
	f.partitioned = !f.partitioned
	for _, p := range f.processes {
		p.secondSide = f.partitioned && f.random.IntN(2) == 0
	}
	f.logEvent("cut: %v", f.partitioned)
}

// startRandomProcess starts a process of a new name, or the next process of a name, beside the one before or after it.
func (f *Fleet) startRandomProcess(p *process) {
	waiting, running := 0, 0
	for _, q := range f.processes {
		if q.running && (!q.view.Admitted || q.view.Forced) {
			waiting++
		}
		if q.running && !q.leaving {
			running++
		}
	}
	if !f.anyAdmitted || running > f.Size+f.NewNames || waiting >= f.Peers-1 {
		return // as many joining processes as Peers could take themselves for the fleet
	}
	if gone := f.pick(func(q *process) bool { return !q.running }); gone != nil && f.random.IntN(8) > 0 {
		p = gone
	}
	name := p.roster.Self().Name
	if f.NewNames > 0 && f.random.IntN(2) == 0 {
		f.NewNames--
		f.names++
		name = fmt.Sprintf("p%d", f.names)
	}
	q := f.startProcess(name)
	f.logEvent("%v starts", q.roster.Self())
}

// leaveOrCrash has a process say that it leaves, or crash.
func (f *Fleet) leaveOrCrash(p *process) {
	if f.random.IntN(2) == 0 {
		self := p.roster.Self()
		left := goneEntry(self, roster.ProofLeft)
		for _, q := range f.processes {
			if f.canSend(p, q) {
				f.inFlight = append(f.inFlight, message{to: q, by: self, entries: []roster.Entry{left}})
			}
		}
		p.roster.Merge(f.clock(p), left)
		p.leaving = true
		f.logEvent("%v leaves", self)
		return // it may run on for a while
	}
	p.running = false
	f.logEvent("%v crashes", p.roster.Self())
}

// setVerdict gives a process a verdict of its failure detector, right or wrong.
func (f *Fleet) setVerdict(p *process) {
	all := p.roster.Entries()
	e := all[f.random.IntN(len(all))]
	alive := f.random.IntN(2) == 0
	id := roster.ID{Name: e.Name, Start: e.Start}
	f.logEvent("%v detects %v as alive: %v", p.roster.Self(), id, alive)
	if !alive && f.Defect == TrustDetector {
		f.merge(p, goneEntry(id, roster.ProofRefused))
	}
	p.roster.SetReachable(f.clock(p), id, alive)
}

// proveGone has a process proveGone that another one is gone.
func (f *Fleet) proveGone(p *process) {
	gone := f.pick(func(q *process) bool { return q != p && (!q.running || f.FalseProofs) })
	if gone == nil {
		return
	}
	id := gone.roster.Self()
	f.logEvent("%v proves %v gone", p.roster.Self(), id)
	f.merge(p, goneEntry(id, roster.ProofRefused))
}

// canSend reports whether a message may be sent: one process knows the other, or one of them is admitted and so may be
// a seed, or none ever was.
func (f *Fleet) canSend(p, q *process) bool {
	if p == q || !p.running || !q.running || p.leaving || q.leaving || p.secondSide != q.secondSide {
		return false
	}
	return knows(p, q) || knows(q, p) || p.view.Admitted || q.view.Admitted || !f.anyAdmitted
}

func knows(p, q *process) bool {
	id := q.roster.Self()
	return slices.ContainsFunc(p.roster.Entries(), func(e roster.Entry) bool {
		return e.Name == id.Name && e.Start == id.Start
	})
}

// send sends all entries of a process, or one entry, or its digest.
func (f *Fleet) send(p, q *process) {
	m := message{to: q, by: p.roster.Self(), digest: p.roster.Digest()}
	all := p.roster.Entries()
	switch f.random.IntN(4) {
	case 0, 1:
		m.entries = all
	case 2:
		i := f.random.IntN(len(all))
		m.entries = all[i : i+1]
	}
	f.logEvent("%v sends %d entries, digest %x to %v", m.by, len(m.entries), m.digest, q.roster.Self())
	f.inFlight = append(f.inFlight, m)
	if f.random.IntN(2) == 0 { // at once
		f.receive(m)
	}
}

// exchange has two processes exchange all entries, and then acknowledge each other.
func (f *Fleet) exchange(p, q *process) {
	f.logEvent("%v and %v exchange", p.roster.Self(), q.roster.Self())
	f.merge(q, p.roster.Entries()...)
	f.merge(p, q.roster.Entries()...)
	p.roster.HandleDigest(q.roster.Self(), q.roster.Digest())
	q.roster.HandleDigest(p.roster.Self(), p.roster.Digest())
}

// deliver delivers, duplicates or drops a random message in flight.
func (f *Fleet) deliver() {
	if len(f.inFlight) == 0 {
		return
	}
	i := f.random.IntN(len(f.inFlight))
	m := f.inFlight[i]
	switch f.random.IntN(4) {
	case 0: // lost
		f.inFlight = slices.Delete(f.inFlight, i, i+1)
		return
	case 1: // delivered, and will be again
	default:
		f.inFlight = slices.Delete(f.inFlight, i, i+1)
	}
	f.receive(m)
}

func (f *Fleet) receive(m message) {
	if !m.to.running {
		return
	}
	f.logEvent("%v receives from %v", m.to.roster.Self(), m.by)
	if m.entries == nil {
		m.to.roster.HandleDigest(m.by, m.digest)
		return
	}
	f.merge(m.to, m.entries...)
}

func (f *Fleet) merge(p *process, entries ...roster.Entry) {
	if f.Defect == ProofUndone {
		p.roster = withoutProofs(p.roster, f.clock(p), entries, roster.Options{Self: p.roster.Self(), Addr: p.addr, Peers: f.Peers,
			AdmitWithin: f.AdmitWithin})
	}
	p.roster.Merge(f.clock(p), entries...)
	if f.MaxProofsPerName > 0 {
		return
	}
	for _, e := range p.roster.Entries() {
		id := roster.ID{Name: e.Name, Start: e.Start}
		p.proofUndone = p.proofUndone || e.Present() && p.gone[id]
		p.gone[id] = !e.Present()
	}
}

// CheckInvariant checks the invariant: the quotas of the running processes that are not Forced add up to at most 1, and a process
// that another one knows as gone does not become present for it again.
func (f *Fleet) CheckInvariant() error {
	if i := slices.IndexFunc(f.processes, func(p *process) bool { return p.proofUndone }); i >= 0 {
		return fmt.Errorf("%v: %w", f.processes[i].roster.Self(), ErrProofUndone)
	}
	if sum := f.QuotaSum(false); sum > 1+sumTolerance {
		return fmt.Errorf("%w: %.4f", ErrQuotaExceeded, sum)
	}
	return nil
}

// QuotaSum updates each running process's estimate of the fleet's size and returns the sum of the quotas, with or without those
// of Forced processes.
func (f *Fleet) QuotaSum(forced bool) float64 {
	sum := 0.0
	for _, p := range f.processes {
		if !p.running {
			continue
		}
		now := f.clock(p)
		p.view = p.roster.View(now)
		f.anyAdmitted = f.anyAdmitted || p.view.Admitted
		size := balance.FleetSize{Known: p.view.Known, Reachable: p.view.Reachable, Admitted: p.view.Admitted}
		if f.Defect == NoAdmission {
			size.Admitted = true
		}
		if f.Defect == IgnoreUnreachable {
			size.Reachable = size.Known
		}
		if quota := p.estimate.Quota(float64(now)/float64(time.Millisecond), size); forced || !p.view.Forced {
			sum += quota
		}
	}
	return sum
}

// ConvergedState is what a fleet converges to without further faults.
type ConvergedState struct {
	Names      int // names with a running process
	Admitted   int // admitted processes
	Duplicates int // processes that run together with a later one of their name
	Sum        float64
}

// Converge heals the cut, ends the leaving processes, and has all exchange all knowledge, true proofs included.
func (f *Fleet) Converge() (r ConvergedState) {
	f.partitioned, f.inFlight = false, nil
	for _, p := range f.processes {
		p.secondSide, p.running = false, p.running && !p.leaving
	}
	for range 8 {
		for _, p := range f.processes {
			for _, q := range f.processes {
				switch {
				case p == q || !p.running:
				case q.running:
					f.exchange(p, q)
					p.roster.SetReachable(f.clock(p), q.roster.Self(), true)
				default:
					id := q.roster.Self()
					f.merge(p, goneEntry(id, roster.ProofOperator))
				}
			}
		}
		f.advance(time.Minute)
		r.Sum = f.QuotaSum(true)
	}
	names := map[string]bool{}
	for _, p := range f.processes {
		if p.running {
			r.Duplicates++
			names[p.roster.Self().Name] = true
			if p.view.Admitted {
				r.Admitted++
			}
		}
	}
	r.Names = len(names)
	r.Duplicates -= r.Names
	return r
}
