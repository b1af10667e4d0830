// Package registry is the product's own list service: the platform's protocol on the read side, plain HTTP and JSON
// on the write side, replicated by raft.
//
// # Guarantees
//
// Changes are totally ordered, each with a revision. A watch that resumes after revision N receives every later change,
// or the full list where N is compacted, ahead of the newest revision or of another epoch; never a gap. An acknowledged
// write is on a quorum of replicas. A replica without a quorum rejects writes at once.
//
// # Revisions
//
// A revision is epoch x 2^28 + count and fits in 2^53. The epoch names a history: a cluster that starts anew, or is
// restored from a backup, gets a higher one than any before (minutes since 2026 at that time, at least the old one
// plus one), so that no revision is assigned twice.
//
// # Leases
//
// A registration may have a lease. Only the leader expires it, on its monotonic clock; renewals are kept in its memory
// and not replicated, so that they cost no disk, and a new leader gives every lease a full term again.
package registry
