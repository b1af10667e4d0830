package audit

import (
	"encoding/json"
	"fmt"

	"marblelane/internal/route"
)

// Bounds of a Log. A transition that is dropped makes answers Unknown.
const (
	MaxLogTransitions = 20_000
	MaxLogAgeMS       = 7 * 24 * 60 * 60 * 1000 // before the newest transition, by the wall clocks of leaders
)

// Log holds transitions in the order in which they were added. It is part of the replicated state: the same Adds make the
// same Log everywhere, as ages are measured against what is added and not against a clock. The zero Log is empty and ready
// to use. It is not safe for concurrent use.
//
// When this copy held a transition is in its memory only, and not part of the replicated state: see Mark.
type Log struct {
	entries   []*logEntry
	byProcess map[route.Process][]*logEntry
	marked    int // of entries, from the first on
}

type logEntry struct {
	Transition
	trueBy int64 // the transition had happened by then, on this copy's clock; notMarked: not known
}

// notMarked is the trueBy of an entry that Mark has not seen.
const notMarked = maxTime

// Add adds transitions, and drops old ones beyond the bounds. A transition that the log contains changes nothing, so that
// leaders may add it twice. A leader whose wall clock is far ahead drops older transitions by what it adds.
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

// Mark notes that all transitions held have happened by now, in ms, rounded up, on the clock of this copy, which must be
// monotonic. A copy that marks often knows of each transition when it held it, also of those that another leader added; so
// once it leads itself, it can tell what was before which time. The cost is that of the transitions since the last Mark.
func (l *Log) Mark(now int64) {
	for _, e := range l.entries[l.marked:] {
		e.trueBy = now
	}
	l.marked = len(l.entries)
}

// Fresh is those transitions that Add would add now; the others need not be replicated.
func (l *Log) Fresh(transitions []Transition) []Transition {
	var out []Transition
	for _, t := range transitions {
		if !l.contains(&t) {
			out = append(out, t)
		}
	}
	return out
}

// contains reports whether t changes nothing: a first report or a final count of a revision that the log has, or the
// access that the process has. Two final counts of one revision are both kept, so that answers see the contradiction.
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
	return t.Kind == Readmitted // a process without a change of access has access
}

func (l *Log) dropOldest() {
	process := l.entries[0].Process
	l.entries = l.entries[1:]
	l.marked = max(l.marked-1, 0)
	if remaining := l.byProcess[process][1:]; len(remaining) > 0 {
		l.byProcess[process] = remaining
	} else {
		delete(l.byProcess, process)
	}
}

// Len is the number of transitions.
func (l *Log) Len() int { return len(l.entries) }

// Since is the transitions from a moment on, by the wall clocks of the leaders that added them, in the order of adding.
func (l *Log) Since(atMS int64) []Transition {
	var out []Transition
	for _, e := range l.entries {
		if e.AtMS >= atMS {
			out = append(out, e.Transition)
		}
	}
	return out
}

// Of is the transitions of one process, in the order of adding.
func (l *Log) Of(p route.Process) []Transition {
	var out []Transition
	for _, e := range l.byProcess[p] {
		out = append(out, e.Transition)
	}
	return out
}

// logForm is the number of the stored form; any other is rejected.
const logForm = 1

// savedLog is a log as a snapshot stores it.
type savedLog struct {
	Form        int          `json:"form"`
	Transitions []Transition `json:"transitions"`
}

// MarshalJSON encodes the whole log.
func (l *Log) MarshalJSON() ([]byte, error) {
	return json.Marshal(savedLog{Form: logForm, Transitions: l.Since(minTime)})
}

// UnmarshalJSON replaces the log by a stored one, of which nothing is marked. After an error, which names what cannot be
// read, the log is as it was.
func (l *Log) UnmarshalJSON(data []byte) error {
	var stored savedLog
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("audit log: %w", err)
	}
	if stored.Form != logForm {
		return fmt.Errorf("audit log: form is %d, this program reads %d", stored.Form, logForm)
	}
	for i, t := range stored.Transitions {
		if t.Kind != FirstReport && t.Kind != FinalCount && !t.Kind.isAccess() {
			return fmt.Errorf("audit log: transitions[%d].kind is %q, which is unknown", i, t.Kind)
		}
	}
	restored := Log{}
	restored.Add(stored.Transitions)
	*l = restored
	return nil
}
