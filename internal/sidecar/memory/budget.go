// Package memory limits how many bytes of memory a process holds for its clients and servers.
package memory

import "sync"

// Budget limits the memory that its users hold together. It is safe for concurrent use. The zero value has no memory to
// reserve.
type Budget struct {
	mu          sync.Mutex
	limit, used int64 // bytes
}

// NewBudget returns a budget of the given size in bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit changes the size of the budget. Memory that is already reserved stays reserved.
func (b *Budget) SetLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
}

// Usage returns how many bytes are reserved, and the size of the budget.
func (b *Budget) Usage() (used, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limit
}

// Reserve reserves memory. It returns false, and reserves nothing, if the budget would be exceeded.
func (b *Budget) Reserve(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserveLocked(bytes)
}

// reserveLocked does the work of Reserve. The caller holds the lock.
func (b *Budget) reserveLocked(bytes int64) bool {
	if bytes > b.limit-b.used {
		return false
	}
	b.used += bytes
	return true
}

// Release returns memory that Reserve has reserved.
func (b *Budget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

// Reservation is the part of a budget that one user holds. It is safe for concurrent use. A nil Reservation has no limit
// and counts nothing.
type Reservation struct {
	budget *Budget

	// Budget.mu guards the fields below.
	bytes  int64
	closed bool
}

// NewReservation returns an empty reservation.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// GrowTo increases the reservation to a total size in bytes; it never decreases it. It returns false, and changes
// nothing, if the budget would be exceeded.
func (r *Reservation) GrowTo(total int64) bool {
	if r == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.closed || total <= r.bytes {
		return true
	}
	if !r.budget.reserveLocked(total - r.bytes) {
		return false
	}
	r.bytes = total
	return true
}

// Bytes returns the size of the reservation.
func (r *Reservation) Bytes() int64 {
	if r == nil {
		return 0
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.bytes
}

// Release returns all reserved memory to the budget.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.releaseLocked()
}

// Close returns all reserved memory to the budget. A closed reservation counts nothing.
func (r *Reservation) Close() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.releaseLocked()
	r.closed = true
}

// releaseLocked does the work of Release. The caller holds the lock.
func (r *Reservation) releaseLocked() {
	r.budget.used -= r.bytes
	r.bytes = 0
}
