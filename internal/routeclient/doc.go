// Package routeclient implements the sidecar's side of routes, which docs/routes.md describes.
//
// A Client runs three tasks, each in its own goroutine. It follows the routing table by a watch at one replica of the
// list service, and moves to the next replica when the watch ends. It reports the state of this process to the leader
// and gets canary leases in return. It requests and returns units of rollouts' budgets.
//
// # Guarantees
//
//   - The event loop never waits for a task, and a task never waits for the loop.
//   - The loop passes samples to the tasks through a ring. When the ring is full, the oldest sample is dropped and
//     counted in route.Report.LostSamples. Samples contain totals, so a dropped sample loses no data.
//   - The tasks pass one pending Update to the loop, in which a later table, lease or grant replaces an earlier one. A
//     stop, a rollback and the end of a lease therefore always reach the loop.
//   - The acting revision, which is the revision of the table that the loop uses, never decreases. After a report is
//     made, no attempt starts under a revision before the reported one. The report counts all attempts that have
//     started under such revisions.
//   - A canary attempt starts only under the acting revision and during a lease. StartAttempt checks both right before
//     the attempt's first byte, and counts the attempt in the same critical section.
//   - The term of a lease starts before its report is made, so the lease ends for this process before it ends for the
//     leader.
//   - Run returns soon after its context ends, whether or not the service responds.
//
// One mutex guards the shared state. It is held for a few map look-ups, and never during a call.
//
// # Bounds
//
// The constants in limits.go define the bounds. Counts are kept for the newest minRetainedRevs revisions, and for older
// revisions until a response confirms that the leader has received their final counts. While counts of maxRevs
// revisions are kept, newer tables are rejected until the leader responds to reports again. Attempts count under a
// revision only for one term after a response, so this happens only if the table changes maxRevs times within a term. A
// report has at most maxCounts counts, or all counts of the acting revision if these are more. If a report omits the
// counts of older revisions, they are dropped, and all later reports have CountsTruncated set.
//
// # Clocks
//
// The end of a lease is a time on Go's monotonic clock. On Linux this is CLOCK_MONOTONIC, which advances while the
// process is stopped, but not while the machine is suspended. The guarantees of the service for closed revisions
// therefore do not cover a machine that is suspended during a lease.
package routeclient
