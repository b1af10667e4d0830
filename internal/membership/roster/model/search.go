package model

import (
	"fmt"
	"math/bits"
	"slices"
	"time"

	"marblelane/internal/membership/roster"
)

// state is one state of a scenario. It refers to rosters by number, so that states can be compared and used as map
// keys.
type state struct {
	slots                                   [MaxSlots]knowledgeID
	delayed                                 [2]delayedMessage
	partitionSide                           uint8 // bit set of the slots on one side; 0 means no partition
	partitionsLeft, crashesLeft, forcedLeft uint8 // how many of these faults may still happen
}

// knowledgeID is an index in search.knowledge, or notStarted or crashed.
type knowledgeID int32

const (
	notStarted       knowledgeID = 0
	crashed          knowledgeID = 1
	firstKnowledgeID knowledgeID = 2
)

func (id knowledgeID) isRunning() bool { return id >= firstKnowledgeID }

// stepKind is the kind of a step of one process.
type stepKind uint8

const (
	receiveEntries    stepKind = iota + 1 // the process receives all entries of another process
	receiveOneEntry                       // the process receives the entry of one process
	receiveDigest                         // the process receives the digest of another process
	proveGone                             // the process obtains a proof that another one is gone
	admissionTimesOut                     // the process is admitted by timeout
)

// delayedMessage is a message that stays in flight. The zero value means no message.
type delayedMessage struct {
	kind   stepKind
	sender knowledgeID // the knowledge of the sender when it sent the message
	to     uint8       // slot of the receiver
}

// knowledge is a roster of one slot, with values derived from it.
type knowledge struct {
	roster        *roster.Roster
	entries       []roster.Entry
	view          roster.View
	present, gone uint8 // bit sets of the slots whose processes are present or proved gone in the entries
	names         uint8 // bit set of the slots whose name has a present process in the entries
	proofUndone   bool  // a process was proved gone before, and the entries list it as present
}

// eventLabel is the format and the arguments of an event's description. It is formatted only in the trace of a
// violation.
type eventLabel struct {
	format string
	args   [3]uint8
	count  int8
}

func event(format string, args ...int) eventLabel {
	l := eventLabel{format: format, count: int8(len(args))}
	for i, v := range args {
		l.args[i] = uint8(v)
	}
	return l
}

func (l eventLabel) String() string {
	args := make([]any, l.count)
	for i := range args {
		args[i] = l.args[i]
	}
	return fmt.Sprintf(l.format, args...)
}

// step is one step of a process. Its arg is a knowledgeID (of the sender) for receiveEntries and receiveDigest, a slot
// for receiveOneEntry and proveGone, and 0 for admissionTimesOut.
type step struct {
	before knowledgeID // knowledge of the process before the step
	kind   stepKind
	arg    int32
}

// search enumerates the states of a scenario. It computes the result of each step once.
type search struct {
	Scenario
	knowledge []knowledge            // indexed by knowledgeID
	ids       map[string]knowledgeID // IDs by slot, proofUndone and key of the roster
	results   map[step]knowledgeID
	emit      func(event eventLabel, s state) // receives each successor of a state, and the event that leads to it
}

func newSearch(scenario Scenario) *search {
	return &search{Scenario: scenario, knowledge: make([]knowledge, firstKnowledgeID), ids: map[string]knowledgeID{},
		results: map[step]knowledgeID{}}
}

func (x *search) newRoster(slot int) *roster.Roster {
	return roster.New(0, roster.Options{Self: x.Slots[slot].ID, Peers: x.Peers, AdmitWithin: admitWithin,
		MaxProofsPerName: x.MaxProofsPerName})
}

// initialState returns the initial state of the scenario.
func (x *search) initialState() state {
	s := state{partitionsLeft: uint8(x.Partitions), crashesLeft: uint8(x.Crashes), forcedLeft: uint8(x.ForcedAdmissions)}
	var started []*roster.Roster
	for i, slot := range x.Slots {
		if !slot.JoinsLater {
			started = append(started, x.newRoster(i))
		}
	}
	if !x.ColdStart {
		acknowledgeAll(started)
	}
	for i, slot := range x.Slots {
		if !slot.JoinsLater {
			s.slots[i], started = x.intern(i, started[0], knowledge{}), started[1:]
		}
	}
	return s
}

// acknowledgeAll merges the entries of all rosters into each, and has all rosters acknowledge each other.
func acknowledgeAll(rosters []*roster.Roster) {
	for _, r := range rosters {
		for _, q := range rosters {
			r.Merge(0, q.Entries()...)
		}
	}
	for _, r := range rosters {
		r.View(admitWithin)
		for _, q := range rosters {
			r.HandleDigest(q.Self(), q.Digest())
		}
	}
}

// intern returns the ID of the knowledge with roster r in a slot. previous is the knowledge before the step.
func (x *search) intern(slot int, r *roster.Roster, previous knowledge) knowledgeID {
	k := knowledge{roster: r, entries: r.Entries(), view: r.Clone().View(0)}
	for _, e := range k.entries {
		for i, other := range x.Slots {
			same := other.ID == (roster.ID{Name: e.Name, Start: e.Start})
			k.present |= bitIf(i, e.Present() && same)
			k.gone |= bitIf(i, !e.Present() && same)
			k.names |= bitIf(i, e.Present() && e.Name == other.ID.Name)
		}
	}
	k.proofUndone = x.MaxProofsPerName == 0 && (previous.proofUndone || previous.gone&^k.gone != 0)
	key := string(r.AppendKey([]byte{byte(slot), bitIf(0, k.proofUndone)}))
	id, known := x.ids[key]
	if !known {
		id = knowledgeID(len(x.knowledge))
		x.knowledge = append(x.knowledge, k)
		x.ids[key] = id
	}
	return id
}

func bitIf(position int, condition bool) uint8 {
	if condition {
		return 1 << position
	}
	return 0
}

// apply returns the knowledge of the process in a slot after a step.
func (x *search) apply(slot int, s step) knowledgeID {
	if id, known := x.results[s]; known {
		return id
	}
	k := x.knowledge[s.before]
	r := k.roster.Clone()
	switch s.kind {
	case receiveEntries:
		r = x.merge(r, x.knowledge[s.arg].entries...)
	case receiveOneEntry:
		r = x.merge(r, roster.Entry{Name: x.Slots[s.arg].ID.Name, Start: x.Slots[s.arg].ID.Start})
	case receiveDigest:
		sender := x.knowledge[s.arg].roster
		r.HandleDigest(sender.Self(), sender.Digest())
	case proveGone:
		r.Merge(0, goneEntry(x.Slots[s.arg].ID, roster.ProofRefused))
	case admissionTimesOut:
		r.View(admitWithin)
	}
	id := x.intern(slot, r, k)
	x.results[s] = id
	return id
}

func goneEntry(id roster.ID, proof roster.Proof) roster.Entry {
	return roster.Entry{Name: id.Name, Start: id.Start, GoneStart: id.Start, Proof: proof}
}

// merge merges entries into r and returns the result. If the planted defect is ProofUndone, it deletes contradicted
// proofs.
func (x *search) merge(r *roster.Roster, entries ...roster.Entry) *roster.Roster {
	if x.Defect == ProofUndone {
		r = withoutProofs(r, 0, entries, roster.Options{Self: r.Self(), Peers: x.Peers, AdmitWithin: admitWithin})
	}
	r.Merge(0, entries...)
	return r
}

// withoutProofs returns the roster without the proofs of processes that the entries report as present.
func withoutProofs(r *roster.Roster, now time.Duration, entries []roster.Entry, o roster.Options) *roster.Roster {
	contradicted := func(e roster.Entry) bool {
		return !e.Present() && slices.ContainsFunc(entries, func(reported roster.Entry) bool {
			return reported.Present() && reported.Name == e.Name && reported.Start == e.Start
		})
	}
	all := r.Entries()
	if !slices.ContainsFunc(all, contradicted) {
		return r
	}
	kept := roster.New(now, o)
	kept.Merge(now, slices.DeleteFunc(all, contradicted)...)
	return kept
}

// checkInvariant checks that the quotas of the running processes add up to at most the bound, and that no proof was
// undone.
func (x *search) checkInvariant(s state) error {
	sum, admitted := 0.0, 0
	var forced []roster.View
	for i := range x.Slots {
		k := x.knowledge[max(s.slots[i], 0)]
		if k.proofUndone {
			return fmt.Errorf("%s: %w", x.Slots[i].ID.Name, ErrProofUndone)
		}
		if !s.slots[i].isRunning() || !k.view.Admitted && x.Defect != NoAdmission {
			continue
		}
		if k.view.Forced {
			forced = append(forced, k.view)
			if x.Bound == nil {
				continue
			}
		} else {
			admitted++
		}
		sum += 1 / float64(k.view.Known)
	}
	bound := 1.0
	if x.Bound != nil {
		bound = x.Bound(forced, admitted)
	}
	if sum > bound+sumTolerance {
		return fmt.Errorf("%w: sum %.4f, bound %.4f", ErrQuotaExceeded, sum, bound)
	}
	return nil
}

// emitSuccessors emits each state that may follow s.
func (x *search) emitSuccessors(s state) {
	for i := range x.Slots {
		switch s.slots[i] {
		case notStarted:
			x.emitStart(s, i)
		case crashed:
		default:
			x.emitLocalSteps(s, i)
			for j := range x.Slots {
				if x.canSend(s, i, j) {
					x.emitMessages(s, i, j)
				}
			}
		}
	}
	x.emitDelayedMessages(s)
	if s.partitionSide != 0 {
		c := s
		c.partitionSide = 0
		x.emit(event("partition heals"), c)
	} else if s.partitionsLeft > 0 {
		// The sides are interchangeable, so the last slot is always on the other side.
		for side := uint8(1); side < 1<<(len(x.Slots)-1); side++ {
			c := s
			c.partitionSide, c.partitionsLeft = side, s.partitionsLeft-1
			x.emit(event("partition with side %05b", int(side)), c)
		}
	}
}

// emitStart emits the state in which the process of slot i has started, unless AfterCrash prevents its start.
func (x *search) emitStart(s state, i int) {
	for j, other := range x.Slots {
		if x.Slots[i].AfterCrash && other.ID.Name == x.Slots[i].ID.Name && j != i && s.slots[j] != crashed {
			return
		}
	}
	s.slots[i] = x.intern(i, x.newRoster(i), knowledge{})
	x.emit(event("%d starts", i), s)
}

// emitLocalSteps emits the states after each step of a process without a message: it crashes, is admitted by timeout,
// or proves that another process has crashed. With TrustDetector it may prove any process gone.
func (x *search) emitLocalSteps(s state, i int) {
	if s.crashesLeft > 0 {
		c := s
		c.slots[i], c.crashesLeft = crashed, s.crashesLeft-1
		x.emit(event("%d crashes", i), c)
	}
	k := x.knowledge[s.slots[i]]
	if s.forcedLeft > 0 && !k.view.Admitted {
		c := s
		c.slots[i], c.forcedLeft = x.apply(i, step{s.slots[i], admissionTimesOut, 0}), s.forcedLeft-1
		x.emit(event("%d is admitted by timeout", i), c)
	}
	for j := range x.Slots {
		if k.present&(1<<j) != 0 && j != i && (s.slots[j] == crashed || x.Defect == TrustDetector) {
			x.emitStep(s, i, step{s.slots[i], proveGone, int32(j)}, event("%d proves %d gone", i, j))
		}
	}
}

// emitStep emits the state after a step of slot i, unless the step changes nothing.
func (x *search) emitStep(s state, i int, p step, what eventLabel) {
	if id := x.apply(i, p); id != s.slots[i] {
		s.slots[i] = id
		x.emit(what, s)
	}
}

// canSend reports whether a message from slot i can reach slot j. One of them must know a present process of the
// other's name or have the other as a seed.
func (x *search) canSend(s state, i, j int) bool {
	cutOff := s.partitionSide != 0 && (s.partitionSide>>i^s.partitionSide>>j)&1 != 0
	if i == j || !s.slots[i].isRunning() || !s.slots[j].isRunning() || cutOff {
		return false
	}
	return x.knowledge[s.slots[i]].names&(1<<j) != 0 || x.knowledge[s.slots[j]].names&(1<<i) != 0 ||
		x.Slots[i].Seeds&(1<<j) != 0 || x.Slots[j].Seeds&(1<<i) != 0
}

// emitMessages emits the states after a message from slot i to slot j, which arrives at once or stays in flight.
func (x *search) emitMessages(s state, i, j int) {
	sender := s.slots[i]
	x.emitStep(s, j, step{s.slots[j], receiveEntries, int32(sender)}, event("%d sends its entries to %d", i, j))
	x.emitStep(s, j, step{s.slots[j], receiveDigest, int32(sender)}, event("%d acknowledges %d", i, j))
	for all := x.knowledge[sender].present; all != 0; all &= all - 1 {
		m := bits.TrailingZeros8(all)
		x.emitStep(s, j, step{s.slots[j], receiveOneEntry, int32(m)}, event("%d sends entry %d to %d", i, m, j))
	}
	for n := range x.DelayedMessages {
		if s.delayed[n].kind == 0 {
			for _, kind := range []stepKind{receiveEntries, receiveDigest} {
				c := s
				c.delayed[n] = delayedMessage{kind, sender, uint8(j)}
				x.emit(event("%d sends %d a delayed message of kind %d", i, j, int(kind)), c)
			}
			break
		}
	}
}

// emitDelayedMessages emits the states after the arrival of a delayed message. Such a message stays in flight, as it
// may be duplicated, and may also arrive at another process of the receiver's name.
func (x *search) emitDelayedMessages(s state) {
	for _, m := range s.delayed {
		for i := range x.Slots {
			if m.kind != 0 && s.slots[i].isRunning() && x.Slots[i].ID.Name == x.Slots[m.to].ID.Name {
				x.emitStep(s, i, step{s.slots[i], m.kind, int32(m.sender)}, event("delayed message arrives at %d", i))
			}
		}
	}
}
