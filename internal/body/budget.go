// Package body holds the bodies of requests and responses in memory, within a budget of bytes for the whole process. A Budget
// is shared by all bodies of one direction and is safe for concurrent use. A Buffer holds one body and is owned by the goroutine
// of its request. The package knows no protocol and never waits for memory: what finds none fails at once.
package body

import "sync"

const (
	// smallSize is the size in bytes up to which a body is small. Small bodies may use the whole budget, larger ones only
	// largeShare of it, so that a few peers that send without end leave room for usual requests.
	smallSize  = 64 << 10
	largeShare = 0.8
)

// Budget bounds the bytes that bodies take together.
type Budget struct {
	limit int64

	mu         sync.Mutex
	used, peak int64
	// refused counts the reservations that were refused.
	refused int64
}

// NewBudget returns a budget of limit bytes; zero means no limit.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Usage is what a budget holds, in bytes.
type Usage struct {
	Limit int64 `json:"limit"`
	Used  int64 `json:"used"`
	// Peak is the largest Used so far, Refused the number of bodies that found no memory.
	Peak    int64 `json:"peak"`
	Refused int64 `json:"refused"`
}

// Usage returns the present usage.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Used: b.used, Peak: b.peak, Refused: b.refused}
}

// add takes size bytes more for a body that then has total bytes, and reports whether the budget allows it. A negative size
// gives bytes back, which is always allowed.
func (b *Budget) add(size, total int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size > 0 && b.limit > 0 && b.used+size > b.limitFor(total) {
		b.refused++
		return false
	}
	b.used += size
	b.peak = max(b.peak, b.used)
	return true
}

// limitFor returns the bytes that may be used when a body of a size is among them.
func (b *Budget) limitFor(size int64) int64 {
	if size <= smallSize {
		return b.limit
	}
	return int64(largeShare * float64(b.limit))
}

// Reservation is the part of a budget that one owner holds. It must be used by one goroutine at a time.
type Reservation struct {
	budget *Budget
	size   int64
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Resize changes the size of the reservation in bytes. It returns an Error of KindNoMemory, and changes nothing, if the budget
// does not allow the size.
func (r *Reservation) Resize(size int64) error { return r.resize(size, size) }

// resize is Resize for a body of bodySize bytes, which takes more memory while it is copied.
func (r *Reservation) resize(size, bodySize int64) error {
	if size == r.size {
		return nil
	}
	if !r.budget.add(size-r.size, bodySize) {
		return &Error{Op: "reserve", Kind: KindNoMemory, Size: size, Limit: r.budget.limit}
	}
	r.size = size
	return nil
}

// growthFactor is the memory that a slice takes, times its length, while it grows by append.
const growthFactor = 2

// ResizeFor is Resize for the memory of a slice that has grown to a length in bytes by append.
func (r *Reservation) ResizeFor(length int) error { return r.Resize(growthFactor * int64(length)) }

// Release gives all bytes back. The reservation may be used again.
func (r *Reservation) Release() {
	r.budget.add(-r.size, 0)
	r.size = 0
}
