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
	// queueCapacity is the number of lines that are buffered for a slow reader before further lines are dropped.
	queueCapacity = 2048
	// lineRate, in lines per second, and lineBurst limit the log lines of a process, so that a burst of logged
	// decisions does not use up the CPU.
	lineRate  = 400
	lineBurst = 1200
)

// LogQueue is a writer of log lines that never blocks. Lines that exceed its rate or the buffer for a slow reader are
// dropped and counted, and the count is logged once the queue is less than half full. It is safe for concurrent use.
type LogQueue struct {
	lines   chan []byte
	limiter *rate.Limiter
	clock   clock.PassiveClock
	dropped atomic.Uint64
	writer  sync.WaitGroup
	once    sync.Once
}

// NewLogQueue returns a queue and starts the goroutine that writes its lines to out until Close.
func NewLogQueue(out io.Writer, c clock.PassiveClock) *LogQueue {
	q := &LogQueue{lines: make(chan []byte, queueCapacity), limiter: rate.NewLimiter(lineRate, lineBurst), clock: c}
	q.writer.Go(func() {
		for line := range q.lines {
			// The process must continue when the reader has gone, so write errors are ignored.
			_, _ = out.Write(line)
			if len(q.lines) >= queueCapacity/2 {
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

// Write queues one line. It never returns an error.
func (q *LogQueue) Write(line []byte) (int, error) {
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

// Dropped returns how many lines were dropped since the count was last logged.
func (q *LogQueue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines. Write must not be called after it.
func (q *LogQueue) Close() {
	q.once.Do(func() { close(q.lines) })
	q.writer.Wait()
}
