// Package audit answers which processes acted on which revision of the routes, and when. It does no input or output and
// reads no clock. The answer for each process is Did, DidNot or Unknown; it is never DidNot of one that did, nor Did of
// one that did not.
//
// Tracker holds what one leader knows from reports, in its memory. Log holds transitions; it is replicated, for a stated
// time and size. A leader answers from its tracker, and from the log for the time before it led.
//
// # What is known of a count
//
// The attempts of one process under one revision are a count c(t) that starts at 0 and never falls. A report says c(s) =
// n, but the moment s of the sample is known as an interval only: a process samples after it received the answer that it
// echoes and before the report arrives, so s lies between the stamp of that answer and the arrival, both on the leader's
// clock. An echo of another leader bounds nothing, as its clock cannot be read; nor does the first report, as a process
// may have acted long before this leader knew it. A sample within [lo, hi] says two things that stay true, however often
// and in whatever order it comes: c is at least n from hi on, and at most n up to lo. Nothing follows from silence.
//
// Three more facts are used. Before the commit of a revision its c is 0. After its close c stays as it is. A process that
// acts on a later revision never goes back, so what it then counts under the older one is final: at most n, always.
// Revision 0, acting without a lease, has no commit, no close and no end.
//
// # The rules
//
// For a time [from, to], both ends included, in whole milliseconds:
//
//   - Did: c is at least n by to, and at most m < n as from begins. Then n - m attempts lie between. With m = 0 known from
//     the commit, one sample is enough.
//   - DidNot: c is at most n after the end of to, and at least n before from begins. Then none lies between. The time
//     after to the close is as good as after to. n = 0 needs no sample before from.
//   - DidNot, with no sample: to is before the commit, or from after the close.
//   - Unknown: all else, and also where what is known cannot all be true, which takes a process that breaks the protocol.
//
// Moments are whole milliseconds, cut off, and within one there is no order. So "before" and "after" are strict where
// DidNot depends on them, and a sample in the very millisecond in which the time begins is not before it.
//
// A fact that is dropped to bound memory makes an answer Unknown, never another one.
//
// # What a process must keep to
//
// An attempt is counted before its first byte is written, and the moment of an attempt here is that of its count. One
// race remains: a process that is frozen between the two writes the byte late, maybe after the end of a time in which it
// counted, and within one where DidNot is right of its count. A byte may also arrive at a server late.
//
// Counts and the revision acted on are read in one piece, after the answer that is echoed was received; what is counted
// later is not in them. Counts never fall. A process that bounds its list of counts leaves out whole revisions only, the
// oldest first, and never the one that it acts on; so a revision that is not listed has no attempts if it is not older
// than the one acted on, or if an older one (other than 0) is listed. Otherwise its absence says nothing, unless
// TrackerOptions.MinListedRevs says more.
package audit

import "marblelane/internal/route"

// Verdict is what is known of one process.
type Verdict string

// The verdicts.
const (
	Acted     Verdict = "did"
	DidNotAct Verdict = "did not"
	Unknown   Verdict = "cannot be known"
)

// ProcessVerdict is the verdict on one process, with the reason in a few words.
type ProcessVerdict struct {
	route.Process
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"why"`
}

// Transition is a change at a process, as it is replicated.
type Transition struct {
	route.Process
	AtMS     int64          `json:"at_ms"` // the leader's wall clock
	Kind     TransitionKind `json:"kind"`
	Rev      int64          `json:"rev"`
	Attempts int64          `json:"n"` // attempts under Rev by then
	Note     string         `json:"note,omitempty"`
}

// TransitionKind says what changed.
type TransitionKind string

// The kinds of transitions.
const (
	FirstReport TransitionKind = "acts"     // the first report that the process acts on Rev
	FinalCount  TransitionKind = "acted"    // the process acts on a later revision; Attempts of Rev is final
	ShutOut     TransitionKind = "shut out" // the process is behind; its lease is not renewed
	Readmitted  TransitionKind = "back"
	Gone        TransitionKind = "gone" // nothing more is expected of the process; Attempts of Rev may be too low
)

// isAccess reports whether a kind is a change of access rather than of a count.
func (k TransitionKind) isAccess() bool { return k == ShutOut || k == Readmitted || k == Gone }
