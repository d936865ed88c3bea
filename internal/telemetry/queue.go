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
	// closeTimeout is how long Close waits for a reader that has stopped.
	closeTimeout = 500 * time.Millisecond
)

// LineQueue is a writer of lines, of a log or of spans, that never blocks. Lines that exceed its rate or the buffer for a slow reader, and lines that
// could not be written because the reader has gone, are dropped and counted. The count is logged once the queue is less than half
// full. It is safe for concurrent use.
type LineQueue struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	// reports is set if the lines may include reports of dropped ones.
	reports bool
	clock   clock.PassiveClock
	// dropped counts all dropped lines, reported those whose drop was logged.
	dropped         atomic.Uint64
	reported        uint64
	close           func()
	closed, written chan struct{}
}

// NewLogQueue returns a queue for the lines of a log and starts the goroutine that writes its lines to out until Close.
func NewLogQueue(out io.Writer, c clock.PassiveClock) *LineQueue {
	return newQueue(out, c, rate.NewLimiter(lineRate, lineBurst), true)
}

// newSpanQueue returns a queue for spans, whose number the batches of the exporter limit. No lines but spans are written.
func newSpanQueue(out io.Writer, c clock.PassiveClock) *LineQueue {
	return newQueue(out, c, rate.NewLimiter(rate.Inf, 0), false)
}

func newQueue(out io.Writer, c clock.PassiveClock, limiter *rate.Limiter, reports bool) *LineQueue {
	q := &LineQueue{
		out: out, lines: make(chan []byte, queueCapacity), limiter: limiter, reports: reports, clock: c,
		closed: make(chan struct{}), written: make(chan struct{}),
	}
	q.close = sync.OnceFunc(func() { close(q.closed) })
	go q.writeLines()
	return q
}

func (q *LineQueue) writeLines() {
	defer close(q.written)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-q.closed:
			for len(q.lines) > 0 {
				q.writeLine(<-q.lines)
			}
			return
		}
	}
}

func (q *LineQueue) writeLine(line []byte) {
	// A reader may return, so a failed write doesn't end the queue.
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(1)
		return
	}
	if q.reports && len(q.lines) < queueCapacity/2 {
		q.reportDropped()
	}
}

// reportDropped logs how many lines were dropped since the last report.
func (q *LineQueue) reportDropped() {
	dropped := q.dropped.Load()
	if dropped == q.reported {
		return
	}
	_, err := fmt.Fprintf(q.out, `{"time":%q,"level":"INFO","msg":"log lines dropped","slice":"telemetry","count":%d}`+"\n",
		q.clock.Now().Format(time.RFC3339Nano), dropped-q.reported)
	if err == nil {
		q.reported = dropped
	}
}

// Write queues one line. It never returns an error.
func (q *LineQueue) Write(line []byte) (int, error) {
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

// Dropped returns how many lines have been dropped since the start.
func (q *LineQueue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines. It waits no longer than closeTimeout for a reader that has stopped. Lines that are written after it
// are lost: parts of a process may still log while it ends.
func (q *LineQueue) Close() {
	q.close()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-q.written:
	case <-timer.C:
	}
}
