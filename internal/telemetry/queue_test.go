package telemetry_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/telemetry"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	mu       sync.Mutex
	text     strings.Builder
	released chan struct{}
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a reader of the logs that stops and thereby stops requests, against a storm of lines without bound, and
// against lines that are dropped without a word.
func TestQueueNeverBlocks(t *testing.T) {
	cases := map[string]struct {
		lines int
		gap   time.Duration
		drops bool
	}{
		"few lines":          {100, 0, false},
		"steady lines":       {2000, 5 * time.Millisecond, false},
		"storm":              {20000, 0, true},
		"long steady storm":  {20000, time.Millisecond, true},
		"reader that sticks": {5000, 3 * time.Millisecond, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &stuckWriter{released: make(chan struct{})}
				if name != "reader that sticks" {
					close(out.released)
				}
				q := telemetry.NewQueue(out, clock.RealClock{})
				began := time.Now()
				for range tc.lines {
					_, err := q.Write([]byte("line\n"))
					assert.NilError(t, err)
					synctest.Wait()
					time.Sleep(tc.gap)
				}
				assert.Equal(t, time.Since(began), time.Duration(tc.lines)*tc.gap)
				if name == "reader that sticks" {
					close(out.released)
				}
				_, err := q.Write([]byte("last\n"))
				assert.NilError(t, err)
				q.Close()
				text := out.text.String()
				assert.Equal(t, strings.Contains(text, "log lines dropped") || q.Dropped() > 0, tc.drops)
				assert.Assert(t, strings.Count(text, "line\n") <= 1200+400*int(time.Since(began)/time.Second+1))
			})
		})
	}
}
