package audit

import (
	"encoding/json"
	"fmt"

	"marblelane/internal/route"
)

// Bounds of a Log. Dropping a transition can turn verdicts into Unknown.
const (
	MaxLogTransitions = 20_000
	MaxLogAgeMS       = 7 * 24 * 60 * 60 * 1000 // age relative to the newest transition, by the wall clocks of leaders
)

// Log holds transitions in the order in which they were added. It is part of the replicated state: the same calls of Add
// produce the same Log on every replica, as ages are relative to the added transitions and not to a clock. The zero Log is
// empty and ready to use. It is not safe for concurrent use.
//
// The marks of transitions (see Mark) are only in the memory of this copy and not part of the replicated state.
type Log struct {
	entries     []*logEntry
	byProcess   map[route.Process][]*logEntry
	markedCount int // number of marked entries, which are the first ones
}

type logEntry struct {
	Transition
	happenedBy int64 // time on this copy's clock by which the transition had happened, or notMarked
}

// notMarked is the happenedBy of an entry that Mark has not marked yet.
const notMarked = maxTime

// Add adds transitions, and drops old ones that exceed the bounds. Adding a transition that the log already contains has
// no effect, so leaders may add one twice. A transition from a leader whose wall clock is far ahead causes older
// transitions to be dropped early.
func (l *Log) Add(transitions []Transition) {
	if l.byProcess == nil {
		l.byProcess = map[route.Process][]*logEntry{}
	}
	for _, t := range transitions {
		if l.contains(&t) {
			continue
		}
		e := &logEntry{t, notMarked}
		l.entries = append(l.entries, e)
		l.byProcess[t.Process] = append(l.byProcess[t.Process], e)
		for len(l.entries) > MaxLogTransitions || l.entries[0].AtMS < t.AtMS-MaxLogAgeMS {
			l.dropOldest()
		}
	}
}

// Mark records that all transitions in the log have happened by now, in ms on this copy's clock, rounded up. The clock
// must be monotonic. A copy that calls Mark often has a close upper bound for the time of each transition, including those that
// other leaders added, so after it becomes the leader it can compare them with the time of a query. The cost of a call is
// proportional to the number of transitions since the last call.
func (l *Log) Mark(now int64) {
	for _, e := range l.entries[l.markedCount:] {
		e.happenedBy = now
	}
	l.markedCount = len(l.entries)
}

// FilterNew returns the transitions that Add would add now. The others need not be replicated.
func (l *Log) FilterNew(transitions []Transition) []Transition {
	var out []Transition
	for _, t := range transitions {
		if !l.contains(&t) {
			out = append(out, t)
		}
	}
	return out
}

// contains reports whether adding t would have no effect: the log already has this first report or final count, or the
// process already has this access. Two different final counts of one revision are both kept, so that verdicts detect the
// contradiction.
func (l *Log) contains(t *Transition) bool {
	entries := l.byProcess[t.Process]
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		switch {
		case t.Kind.isAccess():
			if e.Kind.isAccess() {
				return e.Kind == t.Kind
			}
		case e.Kind == t.Kind && e.Rev == t.Rev && (t.Kind != FinalCount || e.Attempts == t.Attempts):
			return true
		}
	}
	return t.Kind == Readmitted // a process without any change of access has access
}

func (l *Log) dropOldest() {
	process := l.entries[0].Process
	l.entries = l.entries[1:]
	l.markedCount = max(l.markedCount-1, 0)
	if remaining := l.byProcess[process][1:]; len(remaining) > 0 {
		l.byProcess[process] = remaining
	} else {
		delete(l.byProcess, process)
	}
}

// Len returns the number of transitions.
func (l *Log) Len() int { return len(l.entries) }

// Since returns the transitions at or after atMS, by the wall clocks of the leaders that added them, in the order in
// which they were added.
func (l *Log) Since(atMS int64) []Transition {
	var out []Transition
	for _, e := range l.entries {
		if e.AtMS >= atMS {
			out = append(out, e.Transition)
		}
	}
	return out
}

// OfProcess returns the transitions of one process, in the order in which they were added.
func (l *Log) OfProcess(p route.Process) []Transition {
	var out []Transition
	for _, e := range l.byProcess[p] {
		out = append(out, e.Transition)
	}
	return out
}

// logForm is the version of the stored form; other versions are rejected.
const logForm = 1

// storedLog is the stored form of a Log in a snapshot.
type storedLog struct {
	Form        int          `json:"form"`
	Transitions []Transition `json:"transitions"`
}

// MarshalJSON encodes the whole log.
func (l *Log) MarshalJSON() ([]byte, error) {
	return json.Marshal(storedLog{Form: logForm, Transitions: l.Since(minTime)})
}

// UnmarshalJSON replaces the log with a stored one, none of whose transitions is marked. On an error, which names the
// field that cannot be read, the log is unchanged.
func (l *Log) UnmarshalJSON(data []byte) error {
	var stored storedLog
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("decode audit log: %w", err)
	}
	if stored.Form != logForm {
		return fmt.Errorf("decode audit log: form is %d, this program reads form %d", stored.Form, logForm)
	}
	for i, t := range stored.Transitions {
		if t.Kind != FirstReport && t.Kind != FinalCount && !t.Kind.isAccess() {
			return fmt.Errorf("decode audit log: transitions[%d].kind is %q, which is not a known kind", i, t.Kind)
		}
	}
	restored := Log{}
	restored.Add(stored.Transitions)
	*l = restored
	return nil
}
