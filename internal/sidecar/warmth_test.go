package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/engine"
)

// Guards against a window that is reset under short prompts alone, and against a cold engine that is taken for a warm
// one.
func TestWarmth(t *testing.T) {
	const declared, coldShare = 20_000, 0.4
	warm := engine.Load{Warm: true, PrefillRate: 28_000, DecodeRate: 98}
	tests := map[string]struct {
		prefilled int64
		load      engine.Load
		slow      bool
		noRate    bool
	}{
		"much prefill, warm":                    {50_000, warm, false, false},
		"much prefill, cold without notice":     {50_000, engine.Load{Warm: true, PrefillRate: 7_000, DecodeRate: 90}, true, false},
		"short prompts, warm":                   {300, engine.Load{Warm: true, PrefillRate: 5_000, DecodeRate: 90}, false, false},
		"short prompts in a full batch":         {300, engine.Load{Warm: true, PrefillRate: 5_000, DecodeRate: 44}, false, false},
		"short prompts, cold without notice":    {300, engine.Load{Warm: true, PrefillRate: 1_500, DecodeRate: 25}, true, false},
		"idle":                                  {0, engine.Load{Warm: true}, false, true},
		"reports itself cold":                   {50_000, engine.Load{PrefillRate: 28_000, DecodeRate: 98}, true, false},
		"reports itself cold and is idle":       {0, engine.Load{}, true, false},
		"one prompt, no decode in the interval": {300, engine.Load{Warm: true, PrefillRate: 5_000}, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var w warmthEstimator
			w.report(warm, declared, coldShare)
			w.addPrefill(tt.prefilled)
			rate := w.report(tt.load, declared, coldShare).PrefillRate
			assert.Equal(t, rate == 0, tt.noRate)
			if !tt.noRate {
				assert.Equal(t, rate < declared*coldShare, tt.slow, "rate %v", rate)
			}
		})
	}
}
