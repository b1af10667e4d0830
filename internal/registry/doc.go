// Package registry is the list service of this product, replicated by raft. Readers use the platform's protocol, writers
// plain HTTP and JSON.
//
// # Guarantees
//
// Changes are totally ordered, each with a revision. A watch that resumes after revision N receives every later change
// without a gap. If N was compacted, is ahead of the newest revision or belongs to another epoch, it receives the full
// list. An acknowledged write is stored on a quorum of replicas. A replica without a quorum rejects writes immediately.
//
// # Revisions
//
// A revision is epoch x 2^28 + count and fits in 2^53. The epoch identifies a history. A new cluster, and one restored
// from a backup, begins an epoch higher than any earlier one, so that no revision is assigned twice: the minutes since
// 2026 at that time, or the previous epoch plus one if that is higher.
//
// # Leases
//
// A registration may have a lease. Only the leader expires leases, by its monotonic clock. Renewals are kept in the
// leader's memory and are not replicated, so that they cost no disk writes. A new leader restarts every lease with its
// full term.
package registry
