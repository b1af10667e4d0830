package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mostEntries are kept where Options say nothing.
	mostEntries = 4096
	// mostProofs are kept of one name where Options say nothing.
	mostProofs = 64
	// upgrade is for how long two processes of one name may be there side by side before they count as two.
	upgrade = 10 * time.Second
	// What is taken from others: bytes of a name and of an address, and the number of a start, which JSON can hold.
	longestName = 64
	longestAddr = 255
	latestStart = 1 << 53
)

// Roster is what one process knows of its fleet. It is not for concurrent use.
type Roster struct {
	o            Options
	self         ID
	left         bool // this process said that it leaves
	names        map[string]*name
	side         map[string]*name // of which several processes live
	entries      int
	deathRecords []deathRecord // in the order of going; some are forgotten since
	deaths       uint64        // so many were proved gone

	digest  uint64 // of all that live
	sharing int    // names that are not an observer's
	living  int    // of these, those of which a process lives
	heard   int    // of these, those of which a process is heard or this one
	others  int    // processes that live, without this one
	acked   int    // of these, those that know this one
	vouched int    // of these, those that were admitted when they said so
	sure    int    // of these, those that were not Forced

	admitted, forced bool
	admitBy          time.Duration
	asked            ID // whom Wanting gave last
}

// name holds what is known of the processes of one name, by start.
type name struct {
	all    []process
	proofs int // so many of them are proved gone
}

// deathRecord is a process that was proved gone, as the nth one.
type deathRecord struct {
	ID
	nth uint64
}

type process struct {
	ID
	addr    string
	proof   Proof  // None: it lives
	nth     uint64 // death
	watches bool   // it is an observer
	hash    uint64
	heard   bool
	acked   bool          // it knows this process
	vouched bool          // and was admitted when it said so
	sure    bool          // and not Forced
	since   time.Duration // it has been heard, or has not
	met     time.Duration
}

func (p *process) lives() bool { return p.proof == None }

func (p *process) entry() Entry {
	e := Entry{Name: p.Name, Start: p.Start, Proof: p.proof, Addr: p.addr, Observer: p.watches}
	if !p.lives() {
		e.Gone = p.Start
	}
	return e
}

// New is a roster that knows of nobody but its own process.
func New(now time.Duration, o Options) *Roster {
	o.Peers = max(o.Peers, 1)
	if o.Most <= 0 {
		o.Most = mostEntries
	}
	o.Most = max(o.Most, o.Peers)
	if o.Proofs <= 0 {
		o.Proofs = mostProofs
	}
	r := &Roster{o: o, names: map[string]*name{}, side: map[string]*name{}}
	r.begin(now, o.Self)
	return r
}

// begin makes this process a newcomer of that start.
func (r *Roster) begin(now time.Duration, self ID) {
	r.self, r.admitted, r.forced, r.admitBy = self, false, false, now+r.o.AdmitWithin
	r.asked = self // not all begin with the same ones
	for _, n := range r.names {
		r.count(n, -1)
		for i := range n.all {
			n.all[i].acked, n.all[i].vouched, n.all[i].sure = false, false, false
		}
		r.count(n, 1)
	}
	r.take(now, process{ID: self, addr: r.o.Addr, watches: r.o.Observer})
}

// Merge takes in what another process or the caller says, and gives the entries that it changed, to be told on. Entries
// that cannot be are left out.
//
// Up to the bounds it is a join: in any order and any number of times, the same entries come to the same knowledge.
// Beyond them - Most entries, or Proofs of one name - only this holds: a process that lives is never forgotten; one
// that is told of as living and of which no proof is kept is taken in; what is known as gone stays so for as long as its
// proof is kept. A proof is forgotten after all of its name, or of all, that were proved before, and one of a start that
// is not known is not taken if that would make another be forgotten, unless the start is its name's latest. So of two
// that were told the same, one may have a proof that the other has not. A start whose proof is forgotten counts again if
// somebody who has not heard of its end tells of it, until it is proved gone again: parts get smaller by that, never
// greater. Where more starts of one name than Proofs are told of as living and proved gone at the same time, that may go
// round for as long as somebody tells.
func (r *Roster) Merge(now time.Duration, entries ...Entry) []Entry {
	var news []Entry
	take := func(id ID, e Entry, proof Proof) {
		said := process{ID: id, proof: proof, watches: e.Observer}
		if id.Start == e.Start {
			said.addr = e.Addr
		}
		if p := r.take(now, said); p != nil {
			news = append(news, p.entry())
		}
	}
	for _, e := range entries {
		if !e.valid() {
			continue
		}
		proof := None
		if e.Gone > 0 {
			proof = max(e.Proof, Refused)
		}
		if !e.Lives() {
			take(ID{e.Name, e.Start}, e, proof)
		} else {
			take(ID{e.Name, e.Start}, e, None)
		}
		if e.Gone > 0 && e.Gone != e.Start {
			take(ID{e.Name, e.Gone}, e, proof)
		}
	}
	if p := r.find(r.self); p == nil || !p.lives() {
		if p != nil && p.proof == Left {
			r.left = true
		} else if !r.left {
			r.begin(now, r.again())
			news = append(news, r.find(r.self).entry())
		}
	}
	r.forget(entries)
	r.admit()
	return news
}

func (e Entry) valid() bool {
	return len(e.Name) > 0 && len(e.Name) <= longestName && len(e.Addr) <= longestAddr &&
		e.Start > 0 && e.Start <= latestStart && e.Gone >= 0 && e.Gone <= latestStart
}

// again is this process with a start after all of its name. Another of its name may do the same at the same time, and
// has another address.
func (r *Roster) again() ID {
	all := r.names[r.self.Name].all
	apart := hash(ID{r.o.Addr, r.o.Self.Start}) % 1000
	return ID{r.self.Name, max(r.self.Start, all[len(all)-1].Start) + 1 + int64(apart)}
}

// take merges what is said of one process, and gives what is known of it if that was news.
func (r *Roster) take(now time.Duration, said process) *process {
	n := r.names[said.Name]
	i, is := 0, false
	if n != nil {
		i, is = n.search(said.Start)
	}
	if is {
		p := &n.all[i]
		if said.addr <= p.addr && said.proof <= p.proof && (p.watches || !said.watches) {
			return nil
		}
		r.count(n, -1)
		if p.lives() && said.proof != None {
			p.nth = r.bury(n, p.ID)
		}
		p.addr, p.proof, p.watches = max(p.addr, said.addr), max(p.proof, said.proof), p.watches || said.watches
		r.count(n, 1)
	} else {
		gone := said.proof != None
		if gone && (r.entries >= r.o.Most || n != nil && n.proofs >= r.o.Proofs && i < len(n.all)) {
			return nil // or another would be forgotten for it, told again, and so on without an end
		}
		if n == nil {
			n = &name{}
			r.names[said.Name] = n
		}
		if gone {
			said.nth = r.bury(n, said.ID)
		}
		said.hash, said.since, said.met = hash(said.ID), now, now
		r.count(n, -1)
		n.all = slices.Insert(n.all, i, said)
		r.entries++
		r.count(n, 1)
	}
	return &n.all[i]
}

// bury notes that a process is proved gone now.
func (r *Roster) bury(n *name, id ID) (nth uint64) {
	n.proofs++
	r.deaths++
	r.deathRecords = append(r.deathRecords, deathRecord{id, r.deaths})
	return r.deaths
}

func (n *name) search(start int64) (int, bool) {
	return slices.BinarySearchFunc(n.all, start, func(p process, s int64) int { return cmp.Compare(p.Start, s) })
}

func (r *Roster) find(id ID) *process {
	if n := r.names[id.Name]; n != nil {
		if i, is := n.search(id.Start); is {
			return &n.all[i]
		}
	}
	return nil
}

// count adds a name to the sums, or takes it out of them.
func (r *Roster) count(n *name, by int) {
	living, heard, shares := 0, false, false
	for i := range n.all {
		p := &n.all[i]
		shares = shares || !p.watches
		if !p.lives() {
			continue
		}
		r.digest ^= p.hash
		if p.watches {
			continue
		}
		living++
		if p.ID == r.self {
			heard = true
			continue
		}
		r.others += by
		heard = heard || p.heard
		r.acked += by * int(bit(p.acked))
		r.vouched += by * int(bit(p.vouched))
		r.sure += by * int(bit(p.sure))
	}
	if shares {
		r.sharing += by
	}
	if living > 0 {
		r.living += by
	}
	if heard {
		r.heard += by
	}
	if living > 1 && by > 0 {
		r.side[n.all[0].Name] = n
	} else if living > 1 {
		delete(r.side, n.all[0].Name)
	}
}

// forget keeps the entries within bounds. Those that went first go first, and of them it is as if nobody had heard.
func (r *Roster) forget(said []Entry) {
	for _, e := range said {
		for n := r.names[e.Name]; n != nil && n.proofs > r.o.Proofs; {
			r.drop(n, n.first())
		}
	}
	for len(r.deathRecords) > 0 && r.entries > r.o.Most {
		g := r.deathRecords[0]
		r.deathRecords = r.deathRecords[1:]
		if p := r.find(g.ID); p != nil && p.nth == g.nth {
			n := r.names[g.Name]
			i, _ := n.search(g.Start)
			r.drop(n, i)
		}
	}
	if len(r.deathRecords) > 2*r.o.Most { // most of them were dropped for others of their name
		r.deathRecords = slices.DeleteFunc(r.deathRecords, func(g deathRecord) bool {
			p := r.find(g.ID)
			return p == nil || p.nth != g.nth
		})
	}
}

// first is the one that was proved gone first, of a name of which some are.
func (n *name) first() int {
	first := -1
	for i := range n.all {
		if p := &n.all[i]; !p.lives() && (first < 0 || p.nth < n.all[first].nth) {
			first = i
		}
	}
	return first
}

// drop forgets one that is proved gone.
func (r *Roster) drop(n *name, i int) {
	key := n.all[i].Name
	r.count(n, -1)
	n.all = slices.Delete(n.all, i, i+1)
	n.proofs--
	r.entries--
	r.count(n, 1)
	if len(n.all) == 0 {
		delete(r.names, key)
	}
}

// Heard takes in what the failure detector says of a process: that it is alive, or that it takes it for dead. Only the
// first proves anything: that it is there.
func (r *Roster) Heard(now time.Duration, id ID, alive bool) {
	if id == r.self {
		return
	}
	if alive && r.find(id) == nil {
		r.Merge(now, Entry{Name: id.Name, Start: id.Start})
	}
	if p := r.find(id); p != nil && p.heard != alive {
		n := r.names[id.Name]
		r.count(n, -1)
		p.heard, p.since = alive, now
		r.count(n, 1)
	}
}

// The lowest bits of a digest say how its process stands itself.
const (
	countedIn = 1 << iota // it is admitted
	surely                // and not Forced
	standing  = countedIn | surely
)

func compare(a, b ID) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start)) }

// hash is one that is as good as random, for sums in no order.
func hash(id ID) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for i := range len(id.Name) {
		h = (h ^ uint64(id.Name[i])) * 1099511628211
	}
	return mix(mix(h) + uint64(id.Start))
}

// mix is SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
