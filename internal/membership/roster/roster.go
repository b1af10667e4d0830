package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultMaxEntries       = 4096
	defaultMaxProofsPerName = 64
	// upgradeGracePeriod is how long two processes of one name may be present together before they count as two.
	upgradeGracePeriod = 10 * time.Second

	// Bounds of the entries that other processes send.
	maxNameBytes = 64
	maxAddrBytes = 255
	maxStart     = 1 << 53 // the largest integer that JSON numbers carry exactly
)

// Roster is what one process knows of its fleet. It is not safe for concurrent use.
type Roster struct {
	options      Options
	self         ID
	left         bool // this process said that it left
	byName       map[string]*nameGroup
	coexisting   map[string]*nameGroup // names with several present processes
	entryCount   int
	proofRecords []proofRecord // oldest first; may hold processes that were forgotten since
	proofCount   uint64        // processes that were ever proved gone

	totals totals

	admitted, forced bool
	admitDeadline    time.Duration
	lastListed       ID // the last process that Unacknowledged returned
}

// totals are sums over all names. Roster.updateTotals keeps them current.
type totals struct {
	presentDigest  uint64 // exclusive or of the hashes of all present processes
	memberNames    int    // names that are not an observer's
	presentNames   int    // of these, names with a present process
	reachableNames int    // of these, names with a reachable process, or this process
	otherProcesses int    // present processes without this one
	acks           int    // of these, processes that have acknowledged this one
	acksByAdmitted int    // of these, processes that were admitted when they did
	acksByUnforced int    // of these, processes that were not Forced when they did
}

// nameGroup is what is known of the processes of one name, sorted by start.
type nameGroup struct {
	processes []process
	goneCount int // how many of them are proved gone
}

// proofRecord notes that a process was proved gone. Records are numbered in that order.
type proofRecord struct {
	ID
	sequence uint64
}

type process struct {
	ID
	addr                 string
	proof                Proof  // ProofNone while it is present
	proofSequence        uint64 // of its goneRecord
	observer             bool
	hash                 uint64
	reachable            bool          // by the failure detector's last verdict
	acknowledged         bool          // it has acknowledged this process
	acknowledgedAdmitted bool          // and was admitted when it did
	acknowledgedUnforced bool          // and was not Forced
	reachableChangedAt   time.Duration // when reachable changed last
	firstSeenAt          time.Duration
}

func (p *process) present() bool { return p.proof == ProofNone }

func (p *process) entry() Entry {
	e := Entry{Name: p.Name, Start: p.Start, Proof: p.proof, Addr: p.addr, Observer: p.observer}
	if !p.present() {
		e.GoneStart = p.Start
	}
	return e
}

// New returns a roster that knows only its own process.
func New(now time.Duration, o Options) *Roster {
	o.Peers = max(o.Peers, 1)
	if o.MaxEntries <= 0 {
		o.MaxEntries = defaultMaxEntries
	}
	o.MaxEntries = max(o.MaxEntries, o.Peers)
	if o.MaxProofsPerName <= 0 {
		o.MaxProofsPerName = defaultMaxProofsPerName
	}
	r := &Roster{options: o, byName: map[string]*nameGroup{}, coexisting: map[string]*nameGroup{}}
	r.startIncarnation(now, o.Self)
	return r
}

// startIncarnation makes this process a joining one with the given start.
func (r *Roster) startIncarnation(now time.Duration, self ID) {
	r.self, r.admitted, r.forced = self, false, false
	r.admitDeadline = now + r.options.AdmitWithin
	r.lastListed = self // so that joining processes begin with different ones
	for _, group := range r.byName {
		r.updateTotals(group, -1)
		for i := range group.processes {
			p := &group.processes[i]
			p.acknowledged, p.acknowledgedAdmitted, p.acknowledgedUnforced = false, false, false
		}
		r.updateTotals(group, 1)
	}
	r.mergeProcess(now, process{ID: self, addr: r.options.Addr, observer: r.options.Observer})
}

// Merge adds what another process or the caller knows, and returns the entries that changed, for the caller to send to
// others. Invalid entries are ignored.
//
// Up to the bounds it is a join: the same entries, in any order and any number of times, give the same knowledge.
// Beyond them (MaxEntries entries, or MaxProofsPerName proofs of one name) it holds that:
//
//   - a present process is never forgotten;
//   - a process that is reported as present, and of which no proof is kept, is added;
//   - a process that is known as gone stays so as long as its proof is kept;
//   - a proof is forgotten after all earlier proofs of its name, or of the whole roster;
//   - a proof of an unknown process is ignored if another would be forgotten for it, unless it is its name's latest.
//
// Two processes that received the same entries may therefore keep different proofs. A process whose proof is forgotten
// counts again if somebody still reports it as present, until it is proved gone again; quotas get smaller by that,
// never greater. Where more than MaxProofsPerName processes of one name are reported as present and as gone at the same
// time, this may repeat for as long as the reports do.
func (r *Roster) Merge(now time.Duration, entries ...Entry) []Entry {
	var changed []Entry
	for _, e := range entries {
		if e.valid() {
			changed = r.mergeEntry(now, e, changed)
		}
	}
	if p := r.find(r.self); p == nil || !p.present() {
		if p != nil && p.proof == ProofLeft {
			r.left = true
		} else if !r.left {
			r.startIncarnation(now, r.nextIncarnation())
			changed = append(changed, r.find(r.self).entry())
		}
	}
	r.enforceBounds(entries)
	r.updateAdmission()
	return changed
}

// mergeEntry merges an entry and appends what changed. An entry speaks of two processes if Gone is not its Start.
func (r *Roster) mergeEntry(now time.Duration, e Entry, changed []Entry) []Entry {
	merge := func(start int64, proof Proof) {
		update := process{ID: ID{e.Name, start}, proof: proof, observer: e.Observer}
		if start == e.Start {
			update.addr = e.Addr
		}
		if p := r.mergeProcess(now, update); p != nil {
			changed = append(changed, p.entry())
		}
	}
	proof := ProofNone
	if e.GoneStart > 0 {
		proof = max(e.Proof, ProofRefused)
	}
	if e.Present() {
		merge(e.Start, ProofNone)
	} else {
		merge(e.Start, proof)
	}
	if e.GoneStart > 0 && e.GoneStart != e.Start {
		merge(e.GoneStart, proof)
	}
	return changed
}

// nextIncarnation returns this process's name with a start later than all of that name. The offset differs by address,
// as another process of the name may do the same at the same time.
func (r *Roster) nextIncarnation() ID {
	processes := r.byName[r.self.Name].processes
	latest := processes[len(processes)-1].Start
	offset := hashID(ID{r.options.Addr, r.options.Self.Start}) % 1000
	return ID{r.self.Name, max(r.self.Start, latest) + 1 + int64(offset)}
}

// mergeProcess merges an update of one process. It returns what is known of the process now, or nil if nothing changed.
func (r *Roster) mergeProcess(now time.Duration, update process) *process {
	group := r.byName[update.Name]
	if group == nil {
		group = &nameGroup{}
	}
	i, known := group.search(update.Start)
	if !known {
		return r.insertProcess(now, group, i, update)
	}
	p := &group.processes[i]
	if update.addr <= p.addr && update.proof <= p.proof && (p.observer || !update.observer) {
		return nil
	}
	r.updateTotals(group, -1)
	if p.present() && update.proof != ProofNone {
		p.proofSequence = r.addProofRecord(group, p.ID)
	}
	p.addr, p.proof = max(p.addr, update.addr), max(p.proof, update.proof)
	p.observer = p.observer || update.observer
	r.updateTotals(group, 1)
	return p
}

// insertProcess adds a process that was not known at its index. It returns nil for a proof beyond the bounds: another
// one would be forgotten for it, reported again, and so on without an end.
func (r *Roster) insertProcess(now time.Duration, group *nameGroup, index int, update process) *process {
	if update.proof != ProofNone {
		latest := index == len(group.processes)
		nameFull := group.goneCount >= r.options.MaxProofsPerName && !latest
		if r.entryCount >= r.options.MaxEntries || nameFull {
			return nil
		}
		update.proofSequence = r.addProofRecord(group, update.ID)
	}
	r.byName[update.Name] = group
	update.hash, update.reachableChangedAt, update.firstSeenAt = hashID(update.ID), now, now
	r.updateTotals(group, -1)
	group.processes = slices.Insert(group.processes, index, update)
	r.entryCount++
	r.updateTotals(group, 1)
	return &group.processes[index]
}

// addProofRecord notes that a process is proved gone, and returns the number of the record.
func (r *Roster) addProofRecord(group *nameGroup, id ID) (sequence uint64) {
	group.goneCount++
	r.proofCount++
	r.proofRecords = append(r.proofRecords, proofRecord{id, r.proofCount})
	return r.proofCount
}

// search returns the index of a start, or where it would be inserted.
func (g *nameGroup) search(start int64) (int, bool) {
	return slices.BinarySearchFunc(g.processes, start, func(p process, s int64) int { return cmp.Compare(p.Start, s) })
}

func (r *Roster) find(id ID) *process {
	if group := r.byName[id.Name]; group != nil {
		if i, known := group.search(id.Start); known {
			return &group.processes[i]
		}
	}
	return nil
}

// updateTotals adds a name to the totals (delta 1), or removes it (delta -1). A change of a name is made between a
// removal and an addition.
func (r *Roster) updateTotals(group *nameGroup, delta int) {
	t := &r.totals
	present, reachable, member := 0, false, false
	for i := range group.processes {
		p := &group.processes[i]
		member = member || !p.observer
		if !p.present() {
			continue
		}
		t.presentDigest ^= p.hash // adding twice removes
		if p.observer {
			continue
		}
		present++
		if p.ID == r.self {
			reachable = true
			continue
		}
		reachable = reachable || p.reachable
		t.otherProcesses += delta
		t.acks += delta * int(boolToByte(p.acknowledged))
		t.acksByAdmitted += delta * int(boolToByte(p.acknowledgedAdmitted))
		t.acksByUnforced += delta * int(boolToByte(p.acknowledgedUnforced))
	}
	if member {
		t.memberNames += delta
	}
	if present > 0 {
		t.presentNames += delta
	}
	if reachable {
		t.reachableNames += delta
	}
	if present > 1 && delta > 0 {
		r.coexisting[group.processes[0].Name] = group
	} else if present > 1 {
		delete(r.coexisting, group.processes[0].Name)
	}
}

// enforceBounds forgets the processes that were proved gone first, until the entries are within the bounds. The merged
// entries name the groups that may have grown.
func (r *Roster) enforceBounds(merged []Entry) {
	for _, e := range merged {
		group := r.byName[e.Name]
		for group != nil && group.goneCount > r.options.MaxProofsPerName {
			r.evict(group, group.oldestProof())
		}
	}
	for len(r.proofRecords) > 0 && r.entryCount > r.options.MaxEntries {
		oldest := r.proofRecords[0]
		r.proofRecords = r.proofRecords[1:]
		if r.isCurrent(oldest) {
			group := r.byName[oldest.Name]
			i, _ := group.search(oldest.Start)
			r.evict(group, i)
		}
	}
	if len(r.proofRecords) > 2*r.options.MaxEntries { // most of them were forgotten by the bound of their name
		r.proofRecords = slices.DeleteFunc(r.proofRecords, func(g proofRecord) bool { return !r.isCurrent(g) })
	}
}

// isCurrent reports whether a record's process was neither forgotten nor proved gone anew since.
func (r *Roster) isCurrent(g proofRecord) bool {
	p := r.find(g.ID)
	return p != nil && p.proofSequence == g.sequence
}

// oldestProof returns the index of the process that was proved gone first, or -1 if none was.
func (g *nameGroup) oldestProof() int {
	first := -1
	for i := range g.processes {
		if p := &g.processes[i]; !p.present() && (first < 0 || p.proofSequence < g.processes[first].proofSequence) {
			first = i
		}
	}
	return first
}

// evict removes a process that is proved gone.
func (r *Roster) evict(group *nameGroup, index int) {
	name := group.processes[index].Name
	r.updateTotals(group, -1)
	group.processes = slices.Delete(group.processes, index, index+1)
	group.goneCount--
	r.entryCount--
	r.updateTotals(group, 1)
	if len(group.processes) == 0 {
		delete(r.byName, name)
	}
}

// SetReachable records the failure detector's verdict on a process. Only that it is reachable proves anything, namely
// that it is present.
func (r *Roster) SetReachable(now time.Duration, id ID, reachable bool) {
	if id == r.self {
		return
	}
	if reachable && r.find(id) == nil {
		r.Merge(now, Entry{Name: id.Name, Start: id.Start})
	}
	if p := r.find(id); p != nil && p.reachable != reachable {
		group := r.byName[id.Name]
		r.updateTotals(group, -1)
		p.reachable, p.reachableChangedAt = reachable, now
		r.updateTotals(group, 1)
	}
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
}

// hashID hashes a process's identity with 64-bit FNV-1a and SplitMix64. Digests of this form are compared between
// processes, so it is part of the wire form.
func hashID(id ID) uint64 {
	const offsetBasis, prime = 14695981039346656037, 1099511628211
	h := uint64(offsetBasis)
	for i := range len(id.Name) {
		h = (h ^ uint64(id.Name[i])) * prime
	}
	return splitMix64(splitMix64(h) + uint64(id.Start))
}

func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
