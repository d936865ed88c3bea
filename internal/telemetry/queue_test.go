package telemetry_test

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/telemetry"
)

// blockingWriter blocks until it is released.
type blockingWriter struct {
	mu       sync.Mutex
	text     strings.Builder
	released chan struct{}
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a stopped reader of the logs that blocks requests, against an unlimited rate of lines, and against
// lines that are dropped without a report.
func TestLogQueueNeverBlocks(t *testing.T) {
	cases := map[string]struct {
		lines       int
		interval    time.Duration
		wantDropped bool
	}{
		"few lines":           {100, 0, false},
		"steady lines":        {2000, 5 * time.Millisecond, false},
		"burst":               {20000, 0, true},
		"sustained high rate": {20000, time.Millisecond, true},
		"blocked reader":      {5000, 3 * time.Millisecond, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &blockingWriter{released: make(chan struct{})}
				if name != "blocked reader" {
					close(out.released)
				}
				q := telemetry.NewLogQueue(out, clock.RealClock{})
				start := time.Now()
				for range tc.lines {
					_, err := q.Write([]byte("line\n"))
					assert.NilError(t, err)
					synctest.Wait()
					time.Sleep(tc.interval)
				}
				assert.Equal(t, time.Since(start), time.Duration(tc.lines)*tc.interval)
				if name == "blocked reader" {
					close(out.released)
				}
				_, err := q.Write([]byte("last\n"))
				assert.NilError(t, err)
				q.Close()
				text := out.text.String()
				assert.Equal(t, strings.Contains(text, "log lines dropped") || q.Dropped() > 0, tc.wantDropped)
				assert.Assert(t, strings.Count(text, "line\n") <= 1200+400*int(time.Since(start)/time.Second+1))
			})
		})
	}
}

// lostReader fails all writes until it returns.
type lostReader struct {
	text strings.Builder
	gone bool
}

func (w *lostReader) Write(p []byte) (int, error) {
	if w.gone {
		return 0, syscall.EPIPE
	}
	return w.text.Write(p)
}

// Guards against lines that are lost without a count while nobody reads the log, and against a queue that ends with its reader.
func TestLogQueueCountsLostLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lostReader{}
		q := telemetry.NewLogQueue(out, clock.RealClock{})
		write := func(line string) {
			_, err := q.Write([]byte(line + "\n"))
			assert.NilError(t, err)
			synctest.Wait()
		}
		write("first")
		out.gone = true
		write("second")
		write("third")
		assert.Equal(t, q.Dropped(), uint64(2))
		out.gone = false
		write("fourth")
		q.Close()
		lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
		assert.Equal(t, len(lines), 3, "%q", lines)
		assert.Equal(t, lines[1], "fourth")
		assert.Assert(t, strings.Contains(lines[2], `"count":2`), lines[2])
	})
}

// Guards against a process that doesn't end because nobody reads its log, and against a panic of one that logs while it ends.
func TestLogQueueCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{released: make(chan struct{})}
		q := telemetry.NewLogQueue(out, clock.RealClock{})
		for range 100 {
			_, err := q.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		start := time.Now()
		q.Close()
		assert.Assert(t, time.Since(start) <= time.Second)
		_, err := q.Write([]byte("late\n"))
		assert.NilError(t, err)
		q.Close()
		close(out.released)
	})
}
