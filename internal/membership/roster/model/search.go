package model

import (
	"fmt"
	"math/bits"
	"slices"
	"time"

	"marblelane/internal/membership/roster"
)

// state is one state of a scenario. It holds numbers in place of rosters, so that equal states compare equal.
type state struct {
	slots                                   [MaxSlots]knowledgeID
	delayed                                 [2]delayedMessage
	partitionSide                           uint8 // bit set of the slots on one side of a cut; 0: no cut
	partitionsLeft, crashesLeft, forcedLeft uint8 // how many may still happen
}

// knowledgeID is the index in search.knowledge of what a process knows, or one of the constants.
type knowledgeID int32

const (
	notStarted       knowledgeID = 0
	crashed          knowledgeID = 1
	firstKnowledgeID knowledgeID = 2
)

func (id knowledgeID) isRunning() bool { return id >= firstKnowledgeID }

// stepKind is what a process does, or receives.
type stepKind uint8

const (
	receiveEntries    stepKind = iota + 1 // all entries of another process
	receiveOneEntry                       // one entry of another process
	receiveDigest                         // another process's digest
	proveGone                             // the process proves that another one is gone
	admissionTimesOut                     // the process has waited long enough
)

// delayedMessage is a message that stays in flight. The zero value is none.
type delayedMessage struct {
	kind   stepKind
	sender knowledgeID // as it was when it sent this
	to     uint8       // slot
}

// knowledge is the roster in a slot and what follows from it.
type knowledge struct {
	roster        *roster.Roster
	entries       []roster.Entry
	view          roster.View
	present, gone uint8 // bit sets of the slots whose processes are present or proved gone, by the entries
	names         uint8 // bit set of the slots of whose names it knows a present process
	proofUndone   bool
}

// eventLabel names an event and the slots that took part. It is formatted only for the trace of a violation.
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

// step is one step of a process that knows what from says. The meaning of arg depends on the kind: a knowledgeID for
// receiveEntries and receiveDigest, a slot for receiveOneEntry and proveGone.
type step struct {
	before knowledgeID
	kind   stepKind
	arg    int32
}

// search walks through a scenario. The result of each step is computed once.
type search struct {
	Scenario
	knowledge []knowledge // by knowledgeID
	ids       map[string]knowledgeID
	results   map[step]knowledgeID
	emit      func(event eventLabel, s state)
}

func newSearch(scenario Scenario) *search {
	return &search{Scenario: scenario, knowledge: make([]knowledge, firstKnowledgeID), ids: map[string]knowledgeID{},
		results: map[step]knowledgeID{}}
}

func (x *search) newRoster(slot int) *roster.Roster {
	return roster.New(0, roster.Options{Self: x.Slots[slot].ID, Peers: x.Peers, AdmitWithin: admitWithin,
		MaxProofsPerName: x.MaxProofsPerName})
}

// initialState returns the state at the beginning.
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

// acknowledgeAll has all rosters exchange their entries and acknowledge each other.
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

// intern returns the number of the knowledge in a slot, which was derived from the previous one.
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

// apply returns what the process in a slot knows after a step.
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

// merge merges entries, with the planted defect if it is ProofUndone.
func (x *search) merge(r *roster.Roster, entries ...roster.Entry) *roster.Roster {
	if x.Defect == ProofUndone {
		r = withoutProofs(r, 0, entries, roster.Options{Self: r.Self(), Peers: x.Peers, AdmitWithin: admitWithin})
	}
	r.Merge(0, entries...)
	return r
}

// withoutProofs returns the roster without the proofs against the processes that the entries report as present.
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
	c := roster.New(now, o)
	c.Merge(now, slices.DeleteFunc(all, contradicted)...)
	return c
}

// checkInvariant checks the invariant: the quotas of the running processes add up to at most the bound.
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
		return fmt.Errorf("%w: %.4f, not %.4f", ErrQuotaExceeded, sum, bound)
	}
	return nil
}

// emitSuccessors emits each state that may follow a state.
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
		x.emit(event("heal"), c)
	} else if s.partitionsLeft > 0 {
		for side := uint8(1); side < 1<<(len(x.Slots)-1); side++ { // the last slot is always on the other side
			c := s
			c.partitionSide, c.partitionsLeft = side, s.partitionsLeft-1
			x.emit(event("cut %05b", int(side)), c)
		}
	}
}

// emitStart emits the state in which the process of a slot has started, if it may.
func (x *search) emitStart(s state, i int) {
	for j, other := range x.Slots {
		if x.Slots[i].AfterCrash && other.ID.Name == x.Slots[i].ID.Name && j != i && s.slots[j] != crashed {
			return
		}
	}
	s.slots[i] = x.intern(i, x.newRoster(i), knowledge{})
	x.emit(event("%d starts", i), s)
}

// emitLocalSteps emits what a process does without a message: it crashes, is admitted by timeout, or proves that another one is
// gone, as soon as that is true.
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

// emitStep emits the state after a step of one slot, unless the step changes nothing.
func (x *search) emitStep(s state, i int, p step, what eventLabel) {
	if id := x.apply(i, p); id != s.slots[i] {
		s.slots[i] = id
		x.emit(what, s)
	}
}

// canSend reports whether a message from one slot may come to another: one of them knows the other, or has it as a seed.
func (x *search) canSend(s state, i, j int) bool {
	cutOff := s.partitionSide != 0 && (s.partitionSide>>i^s.partitionSide>>j)&1 != 0
	if i == j || !s.slots[i].isRunning() || !s.slots[j].isRunning() || cutOff {
		return false
	}
	return x.knowledge[s.slots[i]].names&(1<<j) != 0 || x.knowledge[s.slots[j]].names&(1<<i) != 0 ||
		x.Slots[i].Seeds&(1<<j) != 0 || x.Slots[j].Seeds&(1<<i) != 0
}

// emitMessages emits what one process may emitMessages to another: messages that arrive at once, and messages that stay in flight.
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
				x.emit(event("%d sends %d a message (%d) that is late", i, j, int(kind)), c)
			}
			break
		}
	}
}

// emitDelayedMessages emits the arrival of late messages. They stay in flight, as they may be duplicated, and may also come to
// another process of the receiver's name.
func (x *search) emitDelayedMessages(s state) {
	for _, m := range s.delayed {
		for i := range x.Slots {
			if m.kind != 0 && s.slots[i].isRunning() && x.Slots[i].ID.Name == x.Slots[m.to].ID.Name {
				x.emitStep(s, i, step{s.slots[i], m.kind, int32(m.sender)}, event("late message at %d", i))
			}
		}
	}
}
