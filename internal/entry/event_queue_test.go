package entry

import (
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

func pieceOf(size int) event { return messageReceived{message: &link.Piece{Data: make([]byte, size)}} }

// Guards against pieces of answers that pile up without a bound because callers read slowly, and against a caller that reads fast
// and loses its answer because others do not.
func TestEventQueuesWithinBudget(t *testing.T) {
	const budget, piece = 1 << 20, 32 << 10
	cases := map[string]struct {
		slow    int  // queues that are never read, to which pieces are put as long as there is room
		handled bool // the events of the last queue are handled at once
		pieces  int  // that are put to the last queue
		want    int  // that find room
	}{
		"alone, not read":              {0, false, 100, 25}, // large ones may take four fifths
		"alone, read":                  {0, true, 100, 100},
		"read, beside those that wait": {3, true, 100, 100},
		"not read, beside others":      {3, false, 100, 2}, // up to 64 KiB
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			waiting := body.NewBudget(budget)
			var queues []*eventQueue
			for range tc.slow {
				q := newEventQueue(waiting)
				for q.Put(pieceOf(piece)) {
				}
				queues = append(queues, q)
			}
			last := newEventQueue(waiting)
			found := 0
			for range tc.pieces {
				if last.Put(pieceOf(piece)) {
					found++
				}
				if tc.handled {
					for _, e := range last.Take() {
						last.Handled(e)
					}
				}
			}
			assert.Equal(t, found, tc.want)
			assert.Assert(t, waiting.Usage().Peak <= budget)
			for _, q := range append(queues, last) {
				q.Close()
				assert.Assert(t, q.Put(pieceOf(piece)), "a piece for a request that has ended is dropped, not refused")
			}
			assert.Equal(t, waiting.Usage().Used, int64(0))
		})
	}
}

// Guards against a request that waits for its deadline because the message that found no room was the only one.
func TestDroppedMessageEndsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Entry{metrics: new(expvar.Map).Init(), waiting: body.NewBudget(1)}
		p := &peer{entry: e, attempts: map[answer.ID]*attempt{}}
		a := newAttempt(p, answer.ID{Sequence: 1, Attempt: 1})
		p.attempts[a.id] = a
		began := time.Now()
		time.AfterFunc(time.Second, func() {
			p.routeToAttempt(link.WireID(a.id), &link.Piece{ID: link.WireID(a.id), Data: make([]byte, 100)})
		})
		result := a.awaitEnd(t.Context(), nil)
		assert.Equal(t, result, attemptResult(requestEnded{answer.Unknown{Reason: answer.ReasonCancelled}}))
		assert.Equal(t, time.Since(began), time.Second)
	})
}
