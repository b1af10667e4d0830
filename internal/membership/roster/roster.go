package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultMaxEntries       = 4096
	defaultMaxProofsPerName = 64
	// upgradeGracePeriod is how long two processes of one name may run side by side before they count as two.
	upgradeGracePeriod = 10 * time.Second

	// Bounds on the fields of received entries, beyond which an entry is invalid.
	maxNameBytes = 64
	maxAddrBytes = 255
	maxStart     = 1 << 53 // the largest integer that JSON numbers carry exactly
)

// Roster holds what one process knows about its fleet. It is not safe for concurrent use.
type Roster struct {
	options      Options
	self         ID
	left         bool // this process announced that it left
	byName       map[string]*nameGroup
	coexisting   map[string]*nameGroup // names with more than one present process
	entryCount   int
	proofRecords []proofRecord // oldest first; includes records that are no longer current (see isCurrent)
	proofCount   uint64        // total number of records ever added

	totals totals

	admitted, forced bool
	admitDeadline    time.Duration
	lastListed       ID // the last process that Unacknowledged returned; the next call continues after it
}

// totals are sums over all names. Roster.updateTotals keeps them current.
type totals struct {
	presentDigest  uint64 // XOR of the hashes of all present processes
	memberNames    int    // number of names with a process that is no observer
	presentNames   int    // number of names in memberNames with a present process
	reachableNames int    // number of names in presentNames with a reachable process, or of this process
	otherProcesses int    // number of present processes other than this one, without observers
	acks           int    // number of processes in otherProcesses that have acknowledged this one
	acksByAdmitted int    // number of processes in acks that were admitted when they acknowledged
	acksByUnforced int    // number of processes in acks that were admitted and not Forced when they acknowledged
}

// nameGroup holds the known processes of one name.
type nameGroup struct {
	processes []process // processes of the name, in ascending order of start
	goneCount int       // the number of processes that are proved gone
}

// proofRecord records that a process was proved gone. The sequence numbers give the order of eviction.
type proofRecord struct {
	ID
	sequence uint64
}

type process struct {
	ID
	addr                 string
	proof                Proof  // ProofNone while the process is present
	proofSequence        uint64 // sequence number of the proofRecord; 0 while the process is present
	observer             bool
	hash                 uint64
	reachable            bool          // the last verdict of the failure detector
	acknowledged         bool          // the process has acknowledged this one
	acknowledgedAdmitted bool          // the process was admitted when it acknowledged this one
	acknowledgedUnforced bool          // the process was admitted and not Forced when it acknowledged this one
	reachableChangedAt   time.Duration // time at which reachable last changed
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

// New returns a roster whose only entry is its own process.
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

// startIncarnation resets this process to a joining one with the given ID, which no process has acknowledged.
func (r *Roster) startIncarnation(now time.Duration, self ID) {
	r.self, r.admitted, r.forced = self, false, false
	r.admitDeadline = now + r.options.AdmitWithin
	r.lastListed = self // starts after this process, so that joining processes begin with different peers
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

// Merge adds entries of another process or of the caller. It returns the entries that changed, which the caller sends
// to other processes. Invalid entries are ignored.
//
// Within the bounds, merging is commutative, associative and idempotent. If there are more than MaxEntries entries or
// MaxProofsPerName proofs of one name, the following holds:
//
//   - a present process is never evicted;
//   - a process that is reported as present is added unless its proof is kept;
//   - a process that is proved gone remains so as long as its proof is kept;
//   - a proof is evicted after all earlier proofs of its name or of the whole roster;
//   - a proof of an unknown process is ignored if it would evict another proof, unless it is for the latest process of
//     its name.
//
// Two processes that received the same entries may therefore keep different proofs. A process whose proof was evicted
// counts again if another process still reports it as present, until it is proved gone again. This makes quotas
// smaller, never greater. If more than MaxProofsPerName processes of one name are reported both as present and as gone,
// this can repeat for as long as those reports continue.
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

// mergeEntry merges an entry and appends the resulting entries that changed. If GoneStart is set and differs from
// Start, the entry describes two processes.
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

// nextIncarnation returns an ID for this process with a start later than those of all processes of its name. The start
// includes an offset that depends on the address, because another process of the name may do the same concurrently.
func (r *Roster) nextIncarnation() ID {
	processes := r.byName[r.self.Name].processes
	latest := processes[len(processes)-1].Start
	offset := hashID(ID{r.options.Addr, r.options.Self.Start}) % 1000
	return ID{r.self.Name, max(r.self.Start, latest) + 1 + int64(offset)}
}

// mergeProcess merges an update of one process. It returns the updated process, or nil if nothing changed.
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

// insertProcess inserts an unknown process at the given index. It returns nil for a proof beyond the bounds. Such a
// proof would evict another one, which would then be reported again, and so on forever.
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

// addProofRecord records that a process is proved gone, and returns the sequence number of the record.
func (r *Roster) addProofRecord(group *nameGroup, id ID) (sequence uint64) {
	group.goneCount++
	r.proofCount++
	r.proofRecords = append(r.proofRecords, proofRecord{id, r.proofCount})
	return r.proofCount
}

// search returns the index of the process with the given start and true, or the index to insert it at and false.
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

// updateTotals adds a name to the totals (delta 1) or subtracts it (delta -1). Every change of a name is enclosed by a
// subtraction and an addition.
func (r *Roster) updateTotals(group *nameGroup, delta int) {
	t := &r.totals
	present, reachable, member := 0, false, false
	for i := range group.processes {
		p := &group.processes[i]
		member = member || !p.observer
		if !p.present() {
			continue
		}
		t.presentDigest ^= p.hash // XOR: the second application removes the hash
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

// enforceBounds evicts the oldest proofs until the entries are within the bounds. Only the names of the merged entries
// can exceed MaxProofsPerName.
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
	if len(r.proofRecords) > 2*r.options.MaxEntries { // most records are of proofs evicted by MaxProofsPerName
		r.proofRecords = slices.DeleteFunc(r.proofRecords, func(g proofRecord) bool { return !r.isCurrent(g) })
	}
}

// isCurrent reports whether a record belongs to the proof that is kept now. It does not if that proof was evicted, even
// if another one was added later.
func (r *Roster) isCurrent(g proofRecord) bool {
	p := r.find(g.ID)
	return p != nil && p.proofSequence == g.sequence
}

// oldestProof returns the index of the process with the oldest proof, or -1 if there is no proof.
func (g *nameGroup) oldestProof() int {
	first := -1
	for i := range g.processes {
		if p := &g.processes[i]; !p.present() && (first < 0 || p.proofSequence < g.processes[first].proofSequence) {
			first = i
		}
	}
	return first
}

// evict deletes a process that is proved gone, together with its proof.
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

// SetReachable records the verdict of the failure detector on a process. A reachable process that is unknown is added
// as present. An unreachable one is not proved gone by that.
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

// hashID hashes an ID with 64-bit FNV-1a and SplitMix64. Processes exchange digests made of these hashes, so the
// function is part of the wire form.
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
