// Package inflight has the types of a request in flight, which the packages that carry it share: the call of the client,
// what servers get of it, and the one answer.
//
// It starts no goroutines. Upload.mu guards a body between the goroutine that feeds it and the attempts that read it.
// Call.Writing is held by an attempt that writes.
package inflight
