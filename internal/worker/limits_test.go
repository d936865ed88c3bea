package worker

import (
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/pkg/answer"
)

// TestSetLimits guards against new limits that have no effect, that lose track of the work in flight, or that leave
// the window outside its new bounds. The window starts with 100 tokens and 4 requests, of which 80 tokens and 2
// requests are in flight.
func TestSetLimits(t *testing.T) {
	tests := map[string]struct {
		cold, warm Limits
		growth     float64
		want       Limits
		allow      bool
		grown      Limits
	}{
		"same limits":     {Limits{100, 4}, Limits{400, 8}, 1, Limits{100, 4}, true, Limits{140, 5}},
		"higher":          {Limits{200, 5}, Limits{400, 8}, 1, Limits{200, 5}, true, Limits{200, 5}},
		"lower":           {Limits{50, 1}, Limits{60, 1}, 1, Limits{60, 1}, false, Limits{60, 1}},
		"half the growth": {Limits{100, 4}, Limits{400, 8}, 0.5, Limits{100, 4}, true, Limits{120, 4}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewWindow(Limits{100, 4}, Limits{400, 8})
			w.Started(answer.ID{Sequence: 1}, 40)
			w.Started(answer.ID{Sequence: 2}, 40)
			w.SetLimits(tt.cold, tt.warm, WithGrowth(tt.growth))
			assert.Equal(t, w.Limits(), tt.want)
			assert.Equal(t, w.InFlight(), Limits{80, 2})
			assert.Equal(t, w.Allow(20), tt.allow)
			w.Completed(answer.ID{Sequence: 1})
			assert.Equal(t, w.Limits(), tt.grown)
		})
	}
}
