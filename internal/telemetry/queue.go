package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/utils/clock"
)

const (
	// queueLines is how many lines wait for a slow reader before further ones are dropped.
	queueLines = 2048
	// lineRate and lineBurst bound the lines of a process, so that a storm of decisions does not take the processor.
	lineRate  = 400
	lineBurst = 1200
)

// Queue is a writer of log lines that never blocks: lines beyond its rate, or beyond what a slow reader leaves room for,
// are dropped and counted, and the count is written when there is room again. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	limiter *rate.Limiter
	clock   clock.PassiveClock
	dropped atomic.Uint64
	done    sync.WaitGroup
	once    sync.Once
}

// NewQueue returns a queue whose task writes to out until Close.
func NewQueue(out io.Writer, c clock.PassiveClock) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), limiter: rate.NewLimiter(lineRate, lineBurst), clock: c}
	q.done.Go(func() {
		for line := range q.lines {
			// A reader that is gone must not end the process.
			_, _ = out.Write(line)
			if len(q.lines) >= queueLines/2 {
				continue
			}
			if n := q.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(out, `{"time":%q,"level":"INFO","msg":"log lines dropped","slice":"telemetry","count":%d}`+"\n",
					q.clock.Now().Format(time.RFC3339Nano), n)
			}
		}
	})
	return q
}

// Write takes one line. It always succeeds.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.limiter.AllowN(q.clock.Now(), 1) {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last count was written.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes what waits. No line may be written after it.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.lines) })
	q.done.Wait()
}
