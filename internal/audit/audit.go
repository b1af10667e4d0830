// Package audit answers who acted on which revision of the routes, and when. It is pure and fed with a clock. The answer
// for each process is Did, DidNot, or Unknown; it is never DidNot of one that did.
//
// Tracker holds samples of the reports that one leader has received, in its memory; Log holds transitions, replicated, for
// a stated time and size. A leader answers from its own book, and from the log for what was before it led.
//
// # What is known of a count
//
// The attempts of one process under one revision are a count c(t) that starts at 0 and never falls. A report says c(s) =
// n, but the moment s is known as an interval alone: a process samples after it received the answer that it echoes, and
// before the report arrives, so s lies between the stamp of that answer, on the same clock, and the arrival. An echo of
// another leader bounds nothing, for its clock cannot be read; nor does the time of the first report, for a process may
// have acted long before this leader heard of it. So a sample within [lo, hi] says two things that stay true, however
// often and in whatever order it comes: c is at least n from hi on, and at most n up to lo. Nothing follows from silence.
//
// Three more facts are used. Before the commit of a revision its c is 0. After its close c stays as it is. A process that
// acts on a later revision never goes back, so that what it then counts under the older one is final: at most n, always.
// (Revision 0, acting without permission, has no commit, no close and no end.)
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
// Moments are in whole milliseconds, cut off. What falls into the same one has no order; so «before» and «after» are
// strict where DidNot rests on them, and a sample in the very millisecond where the time begins is not before it.
//
// What is dropped to bound memory is a fact less: it makes an answer Unknown, never another one.
//
// # What a process must keep to
//
// An attempt is counted before its first byte is written, and the moment of an attempt here is that of its count. The one
// race: a process that is frozen between the two writes the byte late, maybe after the end of a time in which it counted
// and within one where DidNot is right of its count. Likewise a byte may arrive at a server late.
//
// Counts and the revision acted on are read after the answer that is echoed was received, in one piece, and what is
// counted later is not in them. Counts never fall. A process that bounds its list of counts leaves out whole revisions
// alone, the oldest first, and never the one that it acts on; so a revision that is not listed has no attempts if it is
// not older than the one acted on, or if an older one (other than 0) is listed. Else its absence says nothing, unless
// TrackerOptions.Lists says more.
package audit

import "marblelane/internal/route"

// Verdict is what is known of one process.
type Verdict string

// The verdicts.
const (
	Did     Verdict = "did"
	DidNot  Verdict = "did not"
	Unknown Verdict = "cannot be known"
)

// Answer is the verdict of one process, with the reason in a few words.
type Answer struct {
	route.Process
	Verdict Verdict `json:"verdict"`
	Why     string  `json:"why"`
}

// Transition is what changed at a process, as it is kept: the first report under a revision, the last, that it was shut
// out, that it is gone.
type Transition struct {
	route.Process
	AtMS int64  `json:"at_ms"` // the leader's wall clock
	Kind Kind   `json:"kind"`
	Rev  int64  `json:"rev"`
	N    int64  `json:"n"` // attempts under Rev by then
	Note string `json:"note,omitempty"`
}

// Kind says what changed.
type Kind string

// The kinds.
const (
	Acts    Kind = "acts"     // its first report that it acts on Rev
	Acted   Kind = "acted"    // the last count of Rev: it acts on a later one, N is final
	ShutOut Kind = "shut out" // it is behind, its permission is not renewed
	Back    Kind = "back"
	Gone    Kind = "gone" // nothing more will be heard of it; N of Rev may be short of what it did
)
