package entry

import (
	"sync"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/link"
)

// eventQueue passes the events of attempts to the goroutine of their request. The pieces of an answer that wait there, because the
// caller reads slowly, are held within a budget until they have been handled.
type eventQueue struct {
	*link.Queue[event]

	mu     sync.Mutex
	held   *body.Reservation
	size   int64 // of the events that have not been handled
	closed bool
}

func newEventQueue(budget *body.Budget) *eventQueue {
	return &eventQueue{Queue: link.NewQueue[event](maxAttemptEvents), held: budget.Reserve()}
}

// Put appends an event and reports whether there was room for it. It never blocks.
func (q *eventQueue) Put(e event) bool {
	size := eventSize(e)
	if !q.resize(size) {
		return false
	}
	if q.Queue.Put(e) {
		return true
	}
	q.resize(-size)
	return false
}

// Handled gives the memory of an event back that Take has returned.
func (q *eventQueue) Handled(e event) { q.resize(-eventSize(e)) }

// Close gives all memory back. Events that are put later are not counted, because nobody takes them.
func (q *eventQueue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.held.Release()
}

// resize changes the memory that waits, and reports whether the budget allows it.
func (q *eventQueue) resize(by int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || by == 0 {
		return true
	}
	if q.held.Resize(q.size+by) != nil {
		return false
	}
	q.size += by
	return true
}

// eventSize returns the memory in bytes that an event takes beyond a small constant.
func eventSize(e event) int64 {
	received, ok := e.(messageReceived)
	if !ok {
		return 0
	}
	if piece, ok := received.message.(*link.Piece); ok {
		return int64(len(piece.Data))
	}
	return 0
}
