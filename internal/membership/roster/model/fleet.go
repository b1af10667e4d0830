package model

import (
	"fmt"
	"slices"
	"time"

	"marblelane/balance"
	"marblelane/internal/membership/roster"
)

// Chance decides what happens: math/rand/v2 does, and so does what finds small counterexamples.
type Chance interface {
	IntN(n int) int // from 0 up to n, n excluded
}

// Course says how a fleet is to fare.
type Course struct {
	Size        int // processes at the beginning, none of which knows another
	Peers       int
	Newcomers   int           // names that may come beside
	AdmitWithin time.Duration // 0: nobody is admitted for having waited
	Defect      Defect
	FalseProofs bool // a process that runs may be taken for gone
	Proofs      int  // that are kept of one name; one that is forgotten may live again; 0: the default, all here
}

// Fleet is processes with a roster and a balancer's Crowd each, and all that may happen to them.
type Fleet struct {
	Course
	chance  Chance
	now     time.Duration
	all     []*process
	letters []parcel
	names   int
	cut     bool
	founded bool     // somebody is admitted
	Log     []string // what happened
}

type process struct {
	roster *roster.Roster
	crowd  balance.FleetEstimate
	addr   string
	runs   bool
	leaves bool          // it has said so
	right  bool          // the side of a cut that it is on
	epoch  time.Duration // its clock began that long before
	rate   float64       // and goes so fast
	view   roster.View
	gone   map[roster.ID]bool // that it knew as gone
	undone bool               // one of these came to life
}

type parcel struct {
	to      *process
	by      roster.ID
	digest  uint64
	entries []roster.Entry // nil: a digest
}

const never = 1 << 50

// NewFleet starts the first processes.
func NewFleet(c Course, chance Chance) *Fleet {
	if c.AdmitWithin == 0 {
		c.AdmitWithin = never
	}
	f := &Fleet{Course: c, chance: chance}
	for range c.Size {
		f.names++
		f.start(fmt.Sprintf("p%d", f.names))
	}
	return f
}

func (f *Fleet) start(name string) *process {
	p := &process{runs: true, gone: map[roster.ID]bool{}, addr: fmt.Sprintf("host:%d", len(f.all)+1),
		right: f.cut && f.chance.IntN(2) == 0, epoch: time.Duration(f.chance.IntN(1e6)) * time.Second,
		rate: 0.9 + 0.02*float64(f.chance.IntN(11))}
	id := roster.ID{Name: name, Start: f.now.Milliseconds() + int64(len(f.all)) + 1}
	p.roster = roster.New(f.clock(p), roster.Options{Self: id, Addr: p.addr, Peers: f.Peers, AdmitWithin: f.AdmitWithin,
		Proofs: f.Proofs})
	f.all = append(f.all, p)
	return p
}

// clock is what a process's clock shows.
func (f *Fleet) clock(p *process) time.Duration {
	return p.epoch + time.Duration(p.rate*float64(f.now))
}

// Step lets something happen, and says what breaks the invariant.
func (f *Fleet) Step() error {
	f.happen()
	return f.Check()
}

func (f *Fleet) note(format string, args ...any) { f.Log = append(f.Log, fmt.Sprintf(format, args...)) }

func (f *Fleet) happen() {
	p := f.any(func(p *process) bool { return p.runs })
	if p == nil {
		return
	}
	switch n := f.chance.IntN(256); {
	case n < 12:
		f.pass(time.Duration(1) << f.chance.IntN(36))
	case n < 14 || f.cut && n < 20:
		f.turn()
	case n < 24:
		f.come(p)
	case n < 26:
		f.end(p)
	case n < 46:
		f.detect(p)
	case n < 76:
		f.prove(p)
	case n < 110:
		f.deliver()
	default:
		if q := f.any(func(q *process) bool { return f.meets(p, q) }); q != nil && n < 170 {
			f.say(p, q)
		} else if q != nil {
			f.exchange(p, q)
		}
	}
}

// any is one of those that are meant.
func (f *Fleet) any(meant func(*process) bool) *process {
	var some []*process
	for _, p := range f.all {
		if meant(p) {
			some = append(some, p)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return some[f.chance.IntN(len(some))]
}

func (f *Fleet) pass(d time.Duration) {
	f.now += d
	f.note("%v pass", d)
}

// turn cuts the fleet in two, or heals it.
func (f *Fleet) turn() {
	f.cut = !f.cut
	for _, p := range f.all {
		p.right = f.cut && f.chance.IntN(2) == 0
	}
	f.note("cut: %v", f.cut)
}

// come starts a newcomer, or the next process of a name, which may run beside the one before.
func (f *Fleet) come(p *process) {
	waiting, run := 0, 0
	for _, q := range f.all {
		if q.runs && (!q.view.Admitted || q.view.Forced) {
			waiting++
		}
		if q.runs && !q.leaves {
			run++
		}
	}
	if !f.founded || run > f.Size+f.Newcomers || waiting >= f.Peers-1 {
		return // as many newcomers as the settings name could take themselves for the fleet
	}
	if gone := f.any(func(q *process) bool { return !q.runs }); gone != nil && f.chance.IntN(8) > 0 {
		p = gone
	}
	name := p.roster.Self().Name
	if f.Newcomers > 0 && f.chance.IntN(2) == 0 {
		f.Newcomers--
		f.names++
		name = fmt.Sprintf("p%d", f.names)
	}
	q := f.start(name)
	f.note("%v starts", q.roster.Self())
}

// end ends a process, which may say so before.
func (f *Fleet) end(p *process) {
	if f.chance.IntN(2) == 0 {
		self := p.roster.Self()
		left := []roster.Entry{{Name: self.Name, Start: self.Start, Gone: self.Start, Proof: roster.Left}}
		for _, q := range f.all {
			if f.meets(p, q) {
				f.letters = append(f.letters, parcel{to: q, by: self, entries: left})
			}
		}
		p.roster.Merge(f.clock(p), left...)
		p.leaves = true
		f.note("%v leaves", self)
		return // it may run for a while
	}
	p.runs = false
	f.note("%v crashes", p.roster.Self())
}

// detect is a verdict of a process's failure detector, right or wrong.
func (f *Fleet) detect(p *process) {
	all := p.roster.Entries()
	e := all[f.chance.IntN(len(all))]
	alive := f.chance.IntN(2) == 0
	id := roster.ID{Name: e.Name, Start: e.Start}
	f.note("%v hears %v: %v", p.roster.Self(), id, alive)
	if !alive && f.Defect == TrustDetector {
		f.merge(p, roster.Entry{Name: id.Name, Start: id.Start, Gone: id.Start, Proof: roster.Refused})
	}
	p.roster.Heard(f.clock(p), id, alive)
}

// prove lets a process find out that one that it knows is gone.
func (f *Fleet) prove(p *process) {
	gone := f.any(func(q *process) bool { return q != p && (!q.runs || f.FalseProofs) })
	if gone == nil {
		return
	}
	id := gone.roster.Self()
	f.note("%v finds %v gone", p.roster.Self(), id)
	f.merge(p, roster.Entry{Name: id.Name, Start: id.Start, Gone: id.Start, Proof: roster.Refused})
}

// meets reports whether a message may be sent: one of both knows the other, or is a newcomer that asks one that is
// admitted, or nobody ever was.
func (f *Fleet) meets(p, q *process) bool {
	if p == q || !p.runs || !q.runs || p.leaves || q.leaves || p.right != q.right {
		return false
	}
	return knows(p, q) || knows(q, p) || p.view.Admitted || q.view.Admitted || !f.founded
}

func knows(p, q *process) bool {
	id := q.roster.Self()
	return slices.ContainsFunc(p.roster.Entries(), func(e roster.Entry) bool {
		return e.Name == id.Name && e.Start == id.Start
	})
}

// say sends all that a process knows, or one entry, or a digest.
func (f *Fleet) say(p, q *process) {
	l := parcel{to: q, by: p.roster.Self(), digest: p.roster.Digest()}
	all := p.roster.Entries()
	switch f.chance.IntN(4) {
	case 0, 1:
		l.entries = all
	case 2:
		i := f.chance.IntN(len(all))
		l.entries = all[i : i+1]
	}
	f.note("%v says %d entries, digest %x to %v", l.by, len(l.entries), l.digest, q.roster.Self())
	f.letters = append(f.letters, l)
	if f.chance.IntN(2) == 0 { // at once
		f.arrive(l)
	}
}

// exchange is two processes that tell each other all, and then acknowledge.
func (f *Fleet) exchange(p, q *process) {
	f.note("%v and %v exchange", p.roster.Self(), q.roster.Self())
	f.merge(q, p.roster.Entries()...)
	f.merge(p, q.roster.Entries()...)
	p.roster.Acknowledged(q.roster.Self(), q.roster.Digest())
	q.roster.Acknowledged(p.roster.Self(), p.roster.Digest())
}

// deliver brings a message on its way, any of them; it may come again, or was lost.
func (f *Fleet) deliver() {
	if len(f.letters) == 0 {
		return
	}
	i := f.chance.IntN(len(f.letters))
	l := f.letters[i]
	switch f.chance.IntN(4) {
	case 0:
		f.letters = slices.Delete(f.letters, i, i+1)
		return
	case 1:
	default:
		f.letters = slices.Delete(f.letters, i, i+1)
	}
	f.arrive(l)
}

func (f *Fleet) arrive(l parcel) {
	if !l.to.runs {
		return
	}
	f.note("%v receives from %v", l.to.roster.Self(), l.by)
	if l.entries == nil {
		l.to.roster.Acknowledged(l.by, l.digest)
		return
	}
	f.merge(l.to, l.entries...)
}

func (f *Fleet) merge(p *process, entries ...roster.Entry) {
	if f.Defect == SmallerGone {
		p.roster = without(p.roster, f.clock(p), entries, roster.Options{Self: p.roster.Self(), Addr: p.addr, Peers: f.Peers,
			AdmitWithin: f.AdmitWithin})
	}
	p.roster.Merge(f.clock(p), entries...)
	if f.Proofs > 0 {
		return
	}
	for _, e := range p.roster.Entries() {
		id := roster.ID{Name: e.Name, Start: e.Start}
		p.undone = p.undone || e.Lives() && p.gone[id]
		p.gone[id] = !e.Lives()
	}
}

// Check holds the invariant: the parts of those that run and are not Forced add up to the whole at most, and what a
// process knows as gone does not live again.
func (f *Fleet) Check() error {
	if i := slices.IndexFunc(f.all, func(p *process) bool { return p.undone }); i >= 0 {
		return fmt.Errorf("%v: %w", f.all[i].roster.Self(), ErrUndone)
	}
	if sum := f.Sum(false); sum > 1+slack {
		return fmt.Errorf("%w: %.4f", ErrTooMuch, sum)
	}
	return nil
}

// Sum tells each process's balancer how things stand, and adds up the parts; with those that are Forced, or without.
func (f *Fleet) Sum(forced bool) float64 {
	sum := 0.0
	for _, p := range f.all {
		if !p.runs {
			continue
		}
		now := f.clock(p)
		p.view = p.roster.View(now)
		f.founded = f.founded || p.view.Admitted
		s := balance.FleetSize{Known: p.view.Known, Reachable: p.view.Heard, Admitted: p.view.Admitted}
		if f.Defect == NoAdmission {
			s.Admitted = true
		}
		if f.Defect == QuickCrowd {
			s.Reachable = s.Known
		}
		if part := p.crowd.Quota(float64(now)/float64(time.Millisecond), s); forced || !p.view.Forced {
			sum += part
		}
	}
	return sum
}

// Rest is what a fleet comes to when it is left in peace.
type Rest struct {
	Names, Admitted int // names with a process that runs, and processes that are admitted
	Twins           int // processes that run beside a later one of their name
	Sum             float64
}

// Settle heals the fleet, ends those that leave, and lets all tell each other all that there is to know, true proofs
// included.
func (f *Fleet) Settle() (r Rest) {
	f.cut, f.letters = false, nil
	for _, p := range f.all {
		p.right, p.runs = false, p.runs && !p.leaves
	}
	for range 8 {
		for _, p := range f.all {
			for _, q := range f.all {
				switch {
				case p == q || !p.runs:
				case q.runs:
					f.exchange(p, q)
					p.roster.Heard(f.clock(p), q.roster.Self(), true)
				default:
					id := q.roster.Self()
					f.merge(p, roster.Entry{Name: id.Name, Start: id.Start, Gone: id.Start, Proof: roster.Told})
				}
			}
		}
		f.pass(time.Minute)
		r.Sum = f.Sum(true)
	}
	names := map[string]bool{}
	for _, p := range f.all {
		if p.runs {
			r.Twins++
			names[p.roster.Self().Name] = true
			if p.view.Admitted {
				r.Admitted++
			}
		}
	}
	r.Names = len(names)
	r.Twins -= r.Names
	return r
}
