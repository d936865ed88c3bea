package link

import "sync"

// Queue passes values from many goroutines to one without blocking the senders. Ready signals that values are waiting,
// and Take returns all of them in order. The limit prevents a stalled reader from exhausting the memory of the process.
type Queue[T any] struct {
	mu     sync.Mutex
	values []T
	limit  int
	ready  chan struct{}
}

// NewQueue returns a queue that holds at most limit values.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, ready: make(chan struct{}, 1)}
}

// Put appends a value and reports whether there was room for it. It never blocks.
func (q *Queue[T]) Put(v T) bool {
	q.mu.Lock()
	if len(q.values) >= q.limit {
		q.mu.Unlock()
		return false
	}
	q.values = append(q.values, v)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// Ready returns a channel that receives a signal when values are waiting.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

// Take returns the waiting values in the order in which they were added.
func (q *Queue[T]) Take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	values := q.values
	q.values = nil
	return values
}
