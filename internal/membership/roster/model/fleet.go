package model

import (
	"fmt"
	"slices"
	"time"

	"marblelane/balance"
	"marblelane/internal/membership/roster"
)

// Random chooses the events of a run. *rand.Rand of math/rand/v2 implements it. A generator that shrinks
// counterexamples can, too.
type Random interface {
	IntN(n int) int // returns a number in [0, n)
}

// FleetConfig configures a random run.
type FleetConfig struct {
	Size        int           // number of processes at the start of the run, none of which knows another
	Peers       int           // roster.Options.Peers of all processes
	NewNames    int           // number of names that may join later
	AdmitWithin time.Duration // 0 means no admission by timeout
	Defect      Defect
	FalseProofs bool // running processes may be proved gone
	// MaxProofsPerName is roster.Options.MaxProofsPerName of all processes. If it is set, a process whose proof was
	// evicted may become present again.
	MaxProofsPerName int
}

// Fleet is a set of processes in one random run. Each has a roster and the balancer's estimate of the fleet's size.
type Fleet struct {
	FleetConfig
	random      Random
	now         time.Duration
	processes   []*process // all processes that were started, in this order
	inFlight    []message  // messages that were sent and may still arrive
	names       int        // number of names used
	partitioned bool
	anyAdmitted bool     // at least one process was admitted during the run
	Log         []string // the events of the run so far
}

type process struct {
	roster      *roster.Roster
	estimate    balance.FleetEstimate
	addr        string
	running     bool
	leaving     bool          // the process announced that it leaves, and may still run
	secondSide  bool          // the process is on the second side of the partition
	clockOffset time.Duration // time of the process's clock at the start of the run
	clockRate   float64       // seconds of the process's clock per second of the run
	view        roster.View
	gone        map[roster.ID]bool // whether each process in its roster is proved gone
	proofUndone bool               // a process that was proved gone became present
}

type message struct {
	to      *process
	by      roster.ID
	digest  uint64
	entries []roster.Entry // nil if the message carries the digest
}

// neverAdmit is an AdmitWithin, in nanoseconds, that no run reaches.
const neverAdmit = 1 << 50

// NewFleet returns a fleet with FleetConfig.Size running processes.
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

// clock returns the time of a process's clock.
func (f *Fleet) clock(p *process) time.Duration {
	return p.clockOffset + time.Duration(p.clockRate*float64(f.now))
}

// Step performs one random event and checks the invariant.
func (f *Fleet) Step() error {
	f.runRandomEvent()
	return f.CheckInvariant()
}

func (f *Fleet) logEvent(format string, args ...any) {
	f.Log = append(f.Log, fmt.Sprintf(format, args...))
}

// runRandomEvent performs a random event of a random process. The bounds of the cases are weights out of 256.
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
	f.logEvent("advance the clock by %v", d)
}

// togglePartition splits the fleet into two sides, or heals the partition.
func (f *Fleet) togglePartition() {
	f.partitioned = !f.partitioned
	for _, p := range f.processes {
		p.secondSide = f.partitioned && f.random.IntN(2) == 0
	}
	f.logEvent("partitioned: %v", f.partitioned)
}

// startRandomProcess starts a process of a new name, or the next process of a known name. The previous process of that
// name may still be running.
func (f *Fleet) startRandomProcess(p *process) {
	joining, running := 0, 0
	for _, q := range f.processes {
		if q.running && (!q.view.Admitted || q.view.Forced) {
			joining++
		}
		if q.running && !q.leaving {
			running++
		}
	}
	if !f.anyAdmitted || running > f.Size+f.NewNames || joining >= f.Peers-1 {
		return // Peers joining processes could acknowledge each other and count as a complete fleet
	}
	if stopped := f.pick(func(q *process) bool { return !q.running }); stopped != nil && f.random.IntN(8) > 0 {
		p = stopped
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

// leaveOrCrash has a process announce that it leaves, or crash.
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
		return // the leaving process may keep running for a while
	}
	p.running = false
	f.logEvent("%v crashes", p.roster.Self())
}

// setVerdict sets a random verdict of a process's failure detector, which may be wrong.
func (f *Fleet) setVerdict(p *process) {
	all := p.roster.Entries()
	e := all[f.random.IntN(len(all))]
	alive := f.random.IntN(2) == 0
	id := roster.ID{Name: e.Name, Start: e.Start}
	f.logEvent("%v: failure detector reports %v alive: %v", p.roster.Self(), id, alive)
	if !alive && f.Defect == TrustDetector {
		f.merge(p, goneEntry(id, roster.ProofRefused))
	}
	p.roster.SetReachable(f.clock(p), id, alive)
}

// proveGone has a process obtain a proof that another one is gone.
func (f *Fleet) proveGone(p *process) {
	target := f.pick(func(q *process) bool { return q != p && (!q.running || f.FalseProofs) })
	if target == nil {
		return
	}
	id := target.roster.Self()
	f.logEvent("%v proves %v gone", p.roster.Self(), id)
	f.merge(p, goneEntry(id, roster.ProofRefused))
}

// canSend reports whether a message from p can reach q. Both must be running, not leaving, and on the same side of the
// partition. One of them must know the other or be admitted, as only admitted processes serve as seeds. Until the first
// admission, every process may be a seed.
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

// send sends all entries of p, one entry, or its digest to q. The message may also arrive at once.
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
	if f.random.IntN(2) == 0 { // the message arrives at once, and may arrive again
		f.receive(m)
	}
}

// exchange has two processes merge all entries of each other, and then handle the digest of each other.
func (f *Fleet) exchange(p, q *process) {
	f.logEvent("%v and %v exchange entries and digests", p.roster.Self(), q.roster.Self())
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
	case 0: // the message is lost
		f.inFlight = slices.Delete(f.inFlight, i, i+1)
		return
	case 1: // the message is delivered, and stays in flight as a duplicate
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

// CheckInvariant checks that the quotas of the running processes that are not Forced add up to at most 1, and that no
// roster lists a process as present after it listed it as gone.
func (f *Fleet) CheckInvariant() error {
	if i := slices.IndexFunc(f.processes, func(p *process) bool { return p.proofUndone }); i >= 0 {
		return fmt.Errorf("%v: %w", f.processes[i].roster.Self(), ErrProofUndone)
	}
	if sum := f.QuotaSum(false); sum > 1+sumTolerance {
		return fmt.Errorf("%w: %.4f", ErrQuotaExceeded, sum)
	}
	return nil
}

// QuotaSum updates the estimate of the fleet's size of each running process and returns the sum of their quotas. The
// quotas of Forced processes are included if forced is set.
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

// ConvergedState is the state that a fleet reaches without further faults.
type ConvergedState struct {
	Names      int     // number of names with a running process
	Admitted   int     // number of admitted processes
	Duplicates int     // number of running processes beyond one per name
	Sum        float64 // sum of the quotas of all running processes
}

// Converge heals the partition, ends the leaving processes, and has all processes exchange their entries and learn of
// every ended process by a proof.
func (f *Fleet) Converge() (result ConvergedState) {
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
		result.Sum = f.QuotaSum(true)
	}
	names := map[string]bool{}
	for _, p := range f.processes {
		if p.running {
			result.Duplicates++
			names[p.roster.Self().Name] = true
			if p.view.Admitted {
				result.Admitted++
			}
		}
	}
	result.Names = len(names)
	result.Duplicates -= result.Names
	return result
}
