package lengths_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/lengths"
)

// Guards against a day on which prompts of one length are refused more often than the others, and the figures that operators
// see do not show it.
func TestShares(t *testing.T) {
	cases := map[string]struct {
		answered func(tokens int64) bool
		want     []lengths.Band
	}{
		"all answered":     {func(int64) bool { return true }, []lengths.Band{band("8k", 2, 2), band("64k", 2, 2), band("256k", 2, 2), band("1024k", 1, 1), band("longer", 1, 1)}},
		"longest refused":  {func(tokens int64) bool { return tokens < 500_000 }, []lengths.Band{band("8k", 2, 2), band("64k", 2, 2), band("256k", 2, 2), band("1024k", 0, 1), band("longer", 0, 1)}},
		"one band refused": {func(tokens int64) bool { return tokens < 129_000 || tokens > 256_000 }, []lengths.Band{band("8k", 2, 2), band("64k", 2, 2), band("256k", 0, 2), band("1024k", 1, 1), band("longer", 1, 1)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var h lengths.Histogram
			for _, tokens := range []int64{1, 8_000, 32_001, 64_000, 129_000, 256_000, 600_000, 1_024_001} {
				h.Record(tokens, tc.answered(tokens))
			}
			s := h.Shares()
			assert.DeepEqual(t, s.Bands, tc.want)
			assert.Equal(t, s.All.All, int64(8))
		})
	}
}

func band(name string, answered, all int64) lengths.Band {
	return lengths.Band{Name: name, Share: lengths.Share{Answered: answered, All: all}}
}

// Guards against lengths outside of any range.
func TestExtremeLengths(t *testing.T) {
	var h lengths.Histogram
	for _, tokens := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64} {
		h.Record(tokens, true)
	}
	assert.DeepEqual(t, h.Shares().Bands, []lengths.Band{band("8k", 4, 4), band("longer", 1, 1)})
}
