package prompt

import (
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/pkg/answer"
)

type endState int

const (
	// endNone means that the request was never seen.
	endNone endState = iota
	// endNotRun is a tombstone: the request did not run and never will.
	endNotRun
	endRan
	// endDropped means that the request may have been seen, but its record has been dropped.
	endDropped
)

// maxIncarnations bounds the number of high-water marks. A fleet has a few hundred entries, and few sidecars run
// long enough to see all of them restart ten times.
const maxIncarnations = 4096

type endRecord struct {
	id      answer.ID
	endedAt time.Time
}

// endedRequests records how requests ended. A record is kept for the whole retention time, because a delayed offer
// could otherwise run again; when the table is full, the scheduler refuses new requests instead. For dropped
// records, highWater keeps the highest sequence number of each incarnation, so that an identifier above it is known
// to be new. Without it, a late cancel of a request that ran would be answered with "not run".
type endedRequests struct {
	limit     int
	retention time.Duration
	states    map[answer.ID]endState
	records   []endRecord
	highWater map[uuid.UUID]uint64
}

func newEndedRequests(limit int, retention time.Duration) endedRequests {
	return endedRequests{
		limit: limit, retention: retention, states: make(map[answer.ID]endState), highWater: make(map[uuid.UUID]uint64),
	}
}

func (e *endedRequests) find(id answer.ID) endState {
	if state, ok := e.states[id]; ok {
		return state
	}
	highest, ok := e.highWater[id.Incarnation]
	if id.Sequence <= highest || (!ok && len(e.highWater) >= maxIncarnations) {
		return endDropped
	}
	return endNone
}

func (e *endedRequests) add(now time.Time, id answer.ID, ran bool) {
	if _, ok := e.states[id]; ok {
		return
	}
	e.states[id] = endNotRun
	if ran {
		e.states[id] = endRan
	}
	e.records = append(e.records, endRecord{id: id, endedAt: now})
}

// roomAfter returns the time until the oldest record is dropped and there is room for another one; zero if there is none, so
// that the time is not known.
func (e *endedRequests) roomAfter(now time.Time) time.Duration {
	if len(e.records) == 0 {
		return 0
	}
	return max(e.records[0].endedAt.Add(e.retention).Sub(now), 0)
}

func (e *endedRequests) expire(now time.Time) {
	n := 0
	for n < len(e.records) && now.Sub(e.records[n].endedAt) >= e.retention {
		id := e.records[n].id
		delete(e.states, id)
		highest, ok := e.highWater[id.Incarnation]
		if ok || len(e.highWater) < maxIncarnations {
			e.highWater[id.Incarnation] = max(highest, id.Sequence)
		}
		n++
	}
	if n > 0 {
		e.records = append(e.records[:0], e.records[n:]...)
	}
}
