package memory

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPrefixes guards against prefixes that outlive the cache, against wrong results after a lost, late or repeated
// event, and against an estimate that the reported usage does not correct.
func TestPrefixes(t *testing.T) {
	chain := func(first uint64) []Prefix {
		return []Prefix{{first, 1000}, {first + 1, 2000}, {first + 2, 3000}, {first + 3, 4000}}
	}
	a, b := chain(1), chain(11)
	tests := map[string]struct {
		change func(*PrefixEstimator)
		a, b   int64
	}{
		"prefilled":                       {func(*PrefixEstimator) {}, 3200, 3200},
		"cleared":                         {func(p *PrefixEstimator) { p.ApplyChanges("x", []CacheChange{CacheCleared{2}}) }, 0, 0},
		"repeated event":                  {func(p *PrefixEstimator) { p.ApplyChanges("x", []CacheChange{CacheCleared{1}}) }, 3200, 3200},
		"half evicted":                    {func(p *PrefixEstimator) { p.ApplyChanges("x", []CacheChange{BlocksEvicted{2, 50}}) }, 0, 3200},
		"more blocks evicted than cached": {func(p *PrefixEstimator) { p.ApplyChanges("x", []CacheChange{BlocksEvicted{2, 500}}) }, 0, 0},
		"missed event":                    {func(p *PrefixEstimator) { p.ApplyChanges("x", []CacheChange{BlocksStored{3, 1}}) }, 2560, 2560},
		"engine restarted":                {func(p *PrefixEstimator) { p.ApplyChanges("y", nil) }, 0, 0},
		"less was cached":                 {func(p *PrefixEstimator) { p.Learn(a, 3200, 1600) }, 740, 2960},
		"nothing was cached":              {func(p *PrefixEstimator) { p.Learn(a, 3200, 0) }, 0, 2560},
		"all was cached":                  {func(p *PrefixEstimator) { p.Learn(a, 3200, 4000) }, 3360, 3360},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPrefixEstimator()
			p.ApplyChanges("x", []CacheChange{BlocksStored{1, 100}})
			p.AddPrefilled(a)
			p.AddPrefilled(b)
			test.change(p)
			assert.Equal(t, p.Cached(a), test.a)
			assert.Equal(t, p.Cached(b), test.b)
			assert.Equal(t, p.Cached(chain(21)), int64(0))
		})
	}
}
