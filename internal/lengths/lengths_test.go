package lengths_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/lengths"
)

// Guards against a day on which the longest prompts are refused more often than the others, and the figures that operators
// see do not show it.
func TestShares(t *testing.T) {
	cases := map[string]struct {
		answered          func(rank int) bool // rank 0 is the longest of 100 prompts
		all, tenth, fifth float64
	}{
		"all answered":             {func(int) bool { return true }, 1, 1, 1},
		"none answered":            {func(int) bool { return false }, 0, 1, 1},
		"longest tenth refused":    {func(rank int) bool { return rank >= 10 }, 0.9, 0, 1 / 0.9},
		"fifth below refused":      {func(rank int) bool { return rank < 10 || rank >= 30 }, 0.8, 1 / 0.8, 0},
		"every second one refused": {func(rank int) bool { return rank%2 == 0 }, 0.5, 1, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var h lengths.Histogram
			for rank := range 100 {
				h.Record(int64(700_000*math.Pow(0.95, float64(rank))), tc.answered(rank))
			}
			s := h.Shares()
			assert.Equal(t, s.All.All, 100.0)
			assert.Equal(t, s.All.Ratio(), tc.all)
			const tolerance = 0.06 // two neighbors may share a bucket
			assert.Check(t, math.Abs(s.LongestTenth.Against(s.All)-tc.tenth) <= tolerance, "%.2f", s.LongestTenth.Against(s.All))
			assert.Check(t, math.Abs(s.FifthBelow.Against(s.All)-tc.fifth) <= tolerance, "%.2f", s.FifthBelow.Against(s.All))
		})
	}
}

// Guards against lengths outside of any range.
func TestExtremeLengths(t *testing.T) {
	var h lengths.Histogram
	for _, tokens := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64} {
		h.Record(tokens, true)
	}
	assert.Equal(t, h.Shares().All, lengths.Share{Answered: 5, All: 5})
}
