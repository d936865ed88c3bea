package workspace

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"berylward.example/berylward/pkg/answer"
)

var start = time.Unix(1_800_000_000, 0)

// fixedLimit gives every workspace the same limit.
type fixedLimit Limit

func (l fixedLimit) WorkspaceLimit(name string) (Limit, bool) { return Limit(l), name != "" }

// TestTake guards against wrong waiting times, and against taking tokens for a request that is denied.
func TestTake(t *testing.T) {
	limit := fixedLimit{Rate: 100, Burst: 1000}
	tests := map[string]struct {
		entries int
		setup   func(*Limiter)
		tokens  int64
		want    Admission
	}{
		"within burst":            {1, nil, 1000, Admit{}},
		"beyond burst":            {1, nil, 1001, Deny{Reason: answer.ReasonTooLarge}},
		"short wait":              {1, func(l *Limiter) { l.Take(start, "w", 950) }, 100, Delay{500 * time.Millisecond}},
		"long wait":               {1, func(l *Limiter) { l.Take(start, "w", 900) }, 400, Deny{answer.ReasonRateLimited, 3 * time.Second}},
		"denial takes no tokens":  {1, func(l *Limiter) { l.Take(start, "w", 900); l.Take(start, "w", 400) }, 100, Admit{}},
		"one of ten entries":      {10, nil, 101, Delay{100 * time.Millisecond}},
		"entries join":            {1, func(l *Limiter) { l.Take(start, "w", 1); l.SetEntries(start, 10) }, 100, Delay{10 * time.Millisecond}},
		"entries leave":           {10, func(l *Limiter) { l.Take(start, "w", 100); l.SetEntries(start, 1) }, 50, Delay{500 * time.Millisecond}},
		"refunded":                {1, func(l *Limiter) { l.Take(start, "w", 1000); l.Refund(start, "w", 600) }, 600, Admit{}},
		"charged":                 {1, func(l *Limiter) { l.Charge(start, "w", 950) }, 100, Delay{500 * time.Millisecond}},
		"charge limited by burst": {1, func(l *Limiter) { l.Charge(start, "w", 1e9) }, 0, Deny{answer.ReasonRateLimited, 10 * time.Second}},
		// A bucket that was created again after its eviction started empty, which cancelled its debt.
		"debt kept after eviction": {1, func(l *Limiter) { l.Charge(start, "w", 1050); l.Take(start, "x", 1); l.Take(start, "y", 1) }, 10, Delay{600 * time.Millisecond}},
		"clock stepped back":       {1, func(l *Limiter) { l.Take(start.Add(time.Hour), "w", 1000) }, 10, Delay{100 * time.Millisecond}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLimiter(limit, tt.entries, WithCapacity(2))
			if tt.setup != nil {
				tt.setup(l)
			}
			assert.Equal(t, l.Take(start, "w", tt.tokens), tt.want)
		})
	}
}

// TestSiteLimit guards against grants beyond rate x time + burst over all entries, including after buckets are dropped
// or evicted.
func TestSiteLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := fixedLimit{Rate: rapid.Float64Range(1, 5000).Draw(t, "rate"), Burst: rapid.Int64Range(1, 9000).Draw(t, "burst")}
		limiters := make([]*Limiter, rapid.IntRange(1, 6).Draw(t, "entries"))
		for i := range limiters {
			limiters[i] = NewLimiter(limit, len(limiters), WithCapacity(rapid.IntRange(1, 3).Draw(t, "capacity")))
		}
		type grant struct {
			at     time.Time
			tokens int64
		}
		now, grants := start, map[string][]grant{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 700, 90_000}).Draw(t, "ms")) * time.Millisecond)
			l := limiters[rapid.IntRange(0, len(limiters)-1).Draw(t, "entry")]
			name := fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "workspace"))
			tokens := rapid.Int64Range(0, limit.Burst).Draw(t, "tokens")
			switch a := l.Take(now, name, tokens).(type) {
			case Admit:
				grants[name] = append(grants[name], grant{now, tokens})
			case Delay:
				grants[name] = append(grants[name], grant{now.Add(a.For), tokens})
			case Deny:
			}
		}
		// A delayed request may start after later requests of other entries, so grants are summed in order of their
		// start.
		for name, all := range grants {
			slices.SortStableFunc(all, func(a, b grant) int { return a.at.Compare(b.at) })
			sum := 0.0
			for _, g := range all {
				sum += float64(g.tokens)
				if allowed := limit.Rate*g.at.Sub(start).Seconds() + float64(limit.Burst); sum > allowed*(1+1e-9)+1e-3 {
					t.Fatalf("%s: %v tokens granted by %v, %v allowed", name, sum, g.at.Sub(start), allowed)
				}
			}
		}
	})
}

// TestIdleWorkspacesDropped guards against memory use that grows with the number of workspaces seen.
func TestIdleWorkspacesDropped(t *testing.T) {
	l := NewLimiter(fixedLimit{Rate: 100, Burst: 1000}, 4)
	for i := range 1000 {
		l.Take(start, fmt.Sprint("w", i), 10)
	}
	for i := range 1000 {
		l.Take(start.Add(time.Hour+time.Duration(i)*time.Second), "busy", 1)
	}
	assert.Equal(t, l.Active(), 1)
}

func BenchmarkTake(b *testing.B) {
	for _, n := range []int{10, 44_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := NewLimiter(fixedLimit{Rate: 1e6, Burst: 1e7}, 400)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}
			now, i := start, 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.Take(now, names[i%n], 10)
				i++
			}
		})
	}
}
