package worker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"berylward.example/berylward/pkg/answer"
)

var epoch = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

func testID(n int) answer.ID { return answer.ID{Sequence: uint64(n), Attempt: 1} }

// TestWindow guards against a cold backend server that gets as much work as a warm one, and against a window that
// never grows.
func TestWindow(t *testing.T) {
	cold, warm := Limits{Tokens: 100, Requests: 2}, Limits{Tokens: 180, Requests: 4}
	grow := func(w *Window) {
		for n := range 4 {
			w.Started(testID(n), 90)
			w.Completed(testID(n))
		}
	}
	tests := map[string]struct {
		before  func(w *Window)
		reports []LoadReport
		change  WindowChange
		limits  Limits
	}{
		"grows with completed work up to warm": {
			before: grow, reports: []LoadReport{{"a", 50}}, change: LimitsChanged{warm}, limits: warm,
		},
		"abandoned requests do not grow the window": {
			before:  func(w *Window) { w.Started(testID(1), 40); w.Abandoned(testID(1)) },
			reports: []LoadReport{{"a", 50}}, change: Unchanged{}, limits: cold,
		},
		"new incarnation": {
			before: grow, reports: []LoadReport{{"a", 50}, {"b", 50}}, change: WindowReset{ResetOnIncarnation, cold}, limits: cold,
		},
		"one slow report": {
			before: grow, reports: []LoadReport{{"a", 50}, {"a", 9}}, change: Unchanged{}, limits: warm,
		},
		"two slow reports": {
			before: grow, reports: []LoadReport{{"a", 50}, {"a", 9}, {"a", 9}}, change: WindowReset{ResetOnSpeed, cold}, limits: cold,
		},
		"a report without a prefill rate is not slow": {
			before: grow, reports: []LoadReport{{"a", 50}, {"a", 9}, {"a", 0}}, change: Unchanged{}, limits: warm,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewWindow(cold, warm, WithWarmPrefillRate(10))
			test.before(w)
			var change WindowChange
			for _, r := range test.reports {
				change = w.Observe(epoch, r)
			}
			assert.DeepEqual(t, change, test.change)
			assert.DeepEqual(t, w.Limits(), test.limits)
		})
	}
}

// TestWindowInvariants guards against counts that drift when requests end repeatedly, late or in an earlier
// incarnation.
func TestWindowInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold, warm := Limits{100, 2}, Limits{400, 6}
		w := NewWindow(cold, warm, WithWarmPrefillRate(10))
		id := rapid.IntRange(1, 8)
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				if tokens := rapid.Int64Range(0, 120).Draw(t, "tokens"); w.Allow(tokens) {
					w.Started(testID(id.Draw(t, "id")), tokens)
					assert.Assert(t, w.inFlightTokens <= w.limits.Tokens && len(w.inFlight) <= w.limits.Requests)
				}
			},
			"complete": func(t *rapid.T) { w.Completed(testID(id.Draw(t, "id"))) },
			"abandon":  func(t *rapid.T) { w.Abandoned(testID(id.Draw(t, "id"))) },
			"observe": func(t *rapid.T) {
				r := LoadReport{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "in"), float64(rapid.IntRange(0, 20).Draw(t, "v"))}
				if _, reset := w.Observe(epoch, r).(WindowReset); reset {
					assert.Equal(t, w.Limits(), cold)
				}
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, tokens := range w.inFlight {
					sum += tokens
				}
				assert.Equal(t, sum, w.inFlightTokens)
				assert.Assert(t, w.limits.Tokens >= cold.Tokens && w.limits.Tokens <= warm.Tokens)
				assert.Assert(t, w.limits.Requests >= cold.Requests && w.limits.Requests <= warm.Requests)
			},
		})
	})
}

// TestLifecycle guards against a grant during a drain, and against a backend server that serves again without a reset
// of its window.
func TestLifecycle(t *testing.T) {
	ready := func(l *Lifecycle) Transition { return l.Ready(epoch) }
	failed := func(l *Lifecycle) Transition { return l.Failed(epoch, answer.ReasonBackendFailed) }
	idle := func(l *Lifecycle) Transition { return l.Idle(epoch) }
	drain := func(c DrainCause) func(*Lifecycle) Transition {
		return func(l *Lifecycle) Transition { return l.Drain(epoch, c) }
	}
	withdraw := func(c DrainCause) func(*Lifecycle) Transition {
		return func(l *Lifecycle) Transition { return l.WithdrawCause(epoch, c) }
	}
	draining := func(c ...DrainCause) Transition { return Transitioned{To: Draining{Causes: c, Since: epoch}} }
	serving := Transitioned{To: Serving{}, ResetWindow: true}
	tests := map[string]struct {
		events []func(*Lifecycle) Transition
		last   Transition
		grants bool
	}{
		"ready":                      {[]func(*Lifecycle) Transition{ready}, serving, true},
		"ready twice":                {[]func(*Lifecycle) Transition{ready, ready}, NoTransition{}, true},
		"drain":                      {[]func(*Lifecycle) Transition{ready, drain(DrainZone)}, draining(DrainZone), false},
		"drain repeated":             {[]func(*Lifecycle) Transition{ready, drain(DrainZone), drain(DrainZone)}, NoTransition{}, false},
		"drain withdrawn":            {[]func(*Lifecycle) Transition{ready, drain(DrainZone), withdraw(DrainZone)}, serving, true},
		"second cause":               {[]func(*Lifecycle) Transition{ready, drain(DrainZone), drain(DrainLeaving)}, draining(DrainLeaving, DrainZone), false},
		"one of two withdrawn":       {[]func(*Lifecycle) Transition{ready, drain(DrainZone), drain(DrainLeaving), withdraw(DrainZone)}, draining(DrainLeaving), false},
		"stop is final":              {[]func(*Lifecycle) Transition{ready, drain(DrainStop), withdraw(DrainStop)}, NoTransition{}, false},
		"stop when idle":             {[]func(*Lifecycle) Transition{ready, drain(DrainStop), idle}, Transitioned{To: Stopped{}}, false},
		"idle in a zone drain":       {[]func(*Lifecycle) Transition{ready, drain(DrainZone), idle}, NoTransition{}, false},
		"failed":                     {[]func(*Lifecycle) Transition{ready, failed}, Transitioned{To: Down{Reason: answer.ReasonBackendFailed, Since: epoch}}, false},
		"recovered":                  {[]func(*Lifecycle) Transition{ready, failed, ready}, serving, true},
		"recovered during drain":     {[]func(*Lifecycle) Transition{ready, drain(DrainZone), failed, ready}, NoTransition{}, false},
		"drain withdrawn while down": {[]func(*Lifecycle) Transition{failed, drain(DrainZone), withdraw(DrainZone)}, Transitioned{To: Down{Reason: answer.ReasonBackendFailed, Since: epoch}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var l Lifecycle
			var last Transition
			for _, e := range test.events {
				last = e(&l)
			}
			assert.DeepEqual(t, last, test.last)
			assert.Equal(t, l.MayGrant(), test.grants)
		})
	}
}
