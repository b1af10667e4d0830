// Package audit determines which processes acted on which revision of the routes, and when. It does no input or output
// and reads no clock. The verdict on a process is Acted, DidNotAct or Unknown. It is never DidNotAct for a process that
// acted, nor Acted for one that did not.
//
// Tracker keeps in memory what one leader learns from reports. Log holds transitions; it is replicated, and bounded in
// age and size. A leader derives verdicts from its tracker, and from the log for the time before it led.
//
// # Evidence about a count
//
// The number of attempts of one process under one revision is a count c(t) that starts at 0 and never falls. A report
// states c(s) = n for the moment s of its sample, but s is known only as an interval: a process takes the sample after it
// received the response that it echoes, and before the report arrives, so s lies between the stamp of that response and
// the arrival, both on the leader's clock. The echo of a response of another leader gives no lower bound, as its stamp is
// of another clock; nor does a process's first report, as the process may have acted long before its first report to this
// leader. A sample within [lo, hi] establishes two facts that hold regardless of the order and number of reports: c is at
// least n from hi on, and at most n up to lo. The absence of reports establishes nothing.
//
// Three more facts are used. Before the commit of a revision its c is 0. After the close of the revision c is constant. A
// process that acts on a later revision never returns to an earlier one, so what it then reports for the earlier one is
// final: c is at most n at all times. Revision 0, which stands for acting without a lease, has no commit, no close and no
// final count.
//
// # The rules
//
// For a time [from, to], both ends included, in whole milliseconds:
//
//   - Acted: c is at least n at the end of to, and at most m < n when from begins. Then n - m attempts lie between. If
//     m = 0 is known from the commit, one sample is enough.
//   - DidNotAct: c is at most n at a moment after the end of to, and at least n at a moment before from begins. Then no
//     attempt lies between. If the revision was closed by the end of to, a sample after the close counts like one after
//     to. For n = 0 no sample before from is needed.
//   - DidNotAct without a sample: to is before the commit, or from is after the close.
//   - Unknown: in all other cases, and if the facts contradict each other, which happens only if a process violates the
//     protocol.
//
// Moments are truncated to whole milliseconds, and the order within a millisecond is unknown. "Before" and "after" are
// therefore strict in the rules for DidNotAct: a sample in the millisecond of from is not before from.
//
// Dropping a fact to bound memory can only turn a verdict into Unknown.
//
// # Requirements on processes
//
// An attempt is counted before its first byte is written, and the moment of an attempt here is the moment when it was
// counted. One race remains: a process that is suspended between the two writes the byte late. The byte may then be
// written after the end of a time in which the attempt was counted, or within a time for which DidNotAct is correct by
// the count. A byte may also arrive late at the server.
//
// A process reads its counts and the revision that it acts on atomically, after it received the response that it echoes;
// attempts counted later are not in the report. Counts never fall. A process that bounds its list of counts leaves out
// only whole revisions, the oldest first, and never the one that it acts on. An unlisted revision therefore has no
// attempts if it is not older than the one acted on, or if an older one (other than 0) is listed. In other cases its
// absence establishes nothing, unless TrackerOptions.MinListedRevs applies.
package audit

import "marblelane/internal/route"

// Verdict states whether one process acted on a revision within a time.
type Verdict string

// The verdicts.
const (
	Acted     Verdict = "did"
	DidNotAct Verdict = "did not"
	Unknown   Verdict = "cannot be known"
)

// ProcessVerdict is the verdict on one process, with a short reason.
type ProcessVerdict struct {
	route.Process
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"why"`
}

// Transition is a change of a process's revision, count or access, as it is replicated.
type Transition struct {
	route.Process
	AtMS     int64          `json:"at_ms"` // the leader's wall clock
	Kind     TransitionKind `json:"kind"`
	Rev      int64          `json:"rev"`
	Attempts int64          `json:"n"` // attempts under Rev up to then
	Note     string         `json:"note,omitempty"`
}

// TransitionKind is the kind of a Transition.
type TransitionKind string

// The kinds of transitions.
const (
	FirstReport TransitionKind = "acts"     // first report in which the process acts on Rev
	FinalCount  TransitionKind = "acted"    // the process acts on a later revision; Attempts is the final count under Rev
	ShutOut     TransitionKind = "shut out" // the process is behind; its lease is not renewed
	Readmitted  TransitionKind = "back"
	Gone        TransitionKind = "gone" // no more reports are expected; Attempts may be lower than the true count under Rev
)

// isAccess reports whether a kind is a change of access rather than of a count.
func (k TransitionKind) isAccess() bool { return k == ShutOut || k == Readmitted || k == Gone }
