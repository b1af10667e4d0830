// Package routeclient is a sidecar's side of the routes of docs/routes.md.
//
// A Client has three duties, each in a goroutine of its own: it follows the table of routes by a watch at one copy of the
// list service after another, it reports to the leader what this process acts on and gets canary leases for it, and it
// requests and returns units of rollouts' budgets.
//
// # What it promises
//
//   - The event loop never waits for a duty, and a duty never waits for the loop.
//   - From the loop to the duties goes a ring of samples. When it is full the oldest is dropped and counted in
//     route.Report.LostSamples. Samples are totals, so nothing is lost by it.
//   - From the duties to the loop goes one pending Update, in which a later table, lease or grant replaces an earlier one.
//     A stop, a rollback and the end of a lease therefore always arrive.
//   - The revision that is acted on never falls. Under a revision before the one of a report nothing begins after the
//     report was made, and what began before is counted in it.
//   - A canary attempt begins only under the revision that is acted on, and only during a lease. Begin checks both right
//     before the attempt's first byte, and counts the attempt in the same moment.
//   - A lease counts from before its report was made, so the leader counts its end later than this process does.
//   - Run returns soon after its context ends, whether or not the service answers.
//
// One mutex guards what the goroutines share. It is held for a few map look-ups, and never over a call.
//
// # Bounds
//
// The bounds stand at their constants, in limits.go. Counts are kept for the newest minRetainedRevs revisions, and for older
// ones until an answer confirms that their final counts were received. With maxRevs revisions kept no newer table is taken
// until reports are answered again; as attempts count under a revision only for a term after an answer, this takes maxRevs
// changes of the table within one term. A report has maxCounts counts, or all of the revision acted on if these are more.
// Where it leaves out older revisions it says so from then on, and their counts are dropped.
//
// # Clocks
//
// The lease is a time on Go's monotonic clock. On Linux that is CLOCK_MONOTONIC: it goes on while the process is stopped,
// and stands still while the machine is suspended. A machine that is suspended during a lease is not covered by what the
// service says of closed revisions.
package routeclient
