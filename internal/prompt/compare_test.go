package prompt

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMixedLoadGoals checks the goals of docs/design.md, section 1.3, at 85 % load: a p99 slowdown of short
// requests below 1.2, a throughput of long requests of at least 0.95 times that of a single queue, and no admitted
// request that is late.
func TestMixedLoadGoals(t *testing.T) {
	tests := map[string]struct{ seed uint64 }{"seed 1": {1}, "seed 2": {2}, "seed 3": {3}, "seed 4": {4}, "seed 5": {5}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := mixedArrivals(test.seed, 0.85, epoch, time.Hour)
			classQueues, err := compareWithShortAlone(all)
			assert.NilError(t, err)
			single, err := compareWithShortAlone(all, WithSingleQueue())
			assert.NilError(t, err)
			ratio := float64(classQueues.Tokens[Long]) / float64(single.Tokens[Long])
			t.Logf("long throughput ratio %.3f\nclasses:      %+v\nsingle queue: %+v", ratio, classQueues, single)
			assert.Check(t, classQueues.Slowdown < 1.2, "p99 slowdown %.3f", classQueues.Slowdown)
			assert.Check(t, ratio >= 0.95, "long throughput ratio %.3f", ratio)
			assert.Check(t, classQueues.Late == [numClasses]int{}, "admitted requests late: %v", classQueues.Late)
			assert.Check(t, classQueues.Refused[Short] == 0, "short requests refused: %d", classQueues.Refused[Short])
		})
	}
}
