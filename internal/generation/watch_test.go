package generation

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/platformclient"
)

// timedSource records when its values are read.
type timedSource struct {
	source
	reads []time.Time
}

func (s *timedSource) Value(ctx context.Context, name string) (platformclient.Value, error) {
	s.reads = append(s.reads, time.Now())
	return s.source.Value(ctx, name)
}

// Guards against processes that started together and go on calling the configuration service together, because their pauses are
// spread by less than the 25 % either way that sleep states.
func TestWatcherJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &timedSource{source: source{values: map[string]platformclient.Value{}, calls: new(int), changed: make(chan struct{})}}
		s.publish(t, render(t, 5))
		ctx, cancel := context.WithTimeout(t.Context(), 400*pollInterval)
		defer cancel()
		w := NewWatcher(newExchange(), s, clock.RealClock{}, 1, func() bool { return false })
		assert.NilError(t, w.Run(ctx))
		var pauses []time.Duration
		for i := 1; i < len(s.reads); i++ {
			if pause := s.reads[i].Sub(s.reads[i-1]); pause > 0 {
				pauses = append(pauses, pause)
			}
		}
		shortest, longest := slices.Min(pauses), slices.Max(pauses)
		assert.Assert(t, shortest >= pollInterval*3/4 && shortest < pollInterval*4/5, "%v", shortest)
		assert.Assert(t, longest <= pollInterval*5/4 && longest > pollInterval*6/5, "%v", longest)
	})
}
