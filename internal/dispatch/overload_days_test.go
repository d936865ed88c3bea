package dispatch_test

import (
	"cmp"
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var overloadDays = flag.Uint64("overload-days", 3, "number of days of the tests that judge single days")

// dayShares are the shares of the long prompts of one day that were served.
type dayShares struct{ all, tenth, fifth float64 }

func playDay(o overload, seed uint64) dayShares {
	r := newOverloadRun(o, seed)
	r.play()
	long := slices.Clone(r.long)
	slices.SortFunc(long, func(a, b *caller) int { return cmp.Compare(b.profile.Prompt, a.profile.Prompt) })
	n := len(long)
	return dayShares{servedShare(long), servedShare(long[:n/10]), servedShare(long[n/10 : n/10+n/5])}
}

// Guards against single days on which the longest prompts are served less than half as often as all, although the mean over
// many days looks well.
func TestLongestPromptsOnSingleDays(t *testing.T) {
	const minRatio = 0.5
	burst := overload{
		engines: 62, gateways: 21, load: 0.4, burst: 2.9, burstStart: 13 * time.Second, burstEnd: 22 * time.Second,
		duration: 33 * time.Second, slowdown: 1.4,
	}
	lost := burst
	lost.lostEngines = 20
	cases := map[string]overload{
		"burst":                  burst,
		"burst and engines lost": lost,
		"short requests on all engines": {
			engines: 48, gateways: 15, load: 0.3, shortPerSecond: 600, duration: 33 * time.Second, slowdown: 1.4,
		},
	}
	for name, o := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for day := range *overloadDays {
				seed := *firstOverloadSeed + day
				s := playDay(o, seed)
				t.Logf("seed %d: all %.2f, largest tenth against all %.2f, fifth below %.2f", seed, s.all, s.tenth/s.all, s.fifth/s.all)
				assert.Check(t, s.tenth >= minRatio*s.all, "seed %d: largest tenth: %.2f of %.2f", seed, s.tenth, s.all)
				assert.Check(t, s.fifth >= minRatio*s.all, "seed %d: fifth below: %.2f of %.2f", seed, s.fifth, s.all)
			}
		})
	}
}
