package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
)

// Guards against a missing memory reservation for a prompt larger than one engine's memory, and a needless one for a
// smaller prompt.
func TestReservation(t *testing.T) {
	cases := map[string]struct {
		tokens   int64
		reserved bool
	}{"small": {100000, false}, "just below": {285000, false}, "beyond one engine": {320000, true}, "twice one engine": {700000, true}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			joint, ok := newPlanner(1).Place(start, longProfile(tc.tokens), newServers(20), nil).(dispatch.JointPrefill)
			assert.Assert(t, ok)
			assert.Equal(t, joint.Reserved, tc.reserved)
			assert.Assert(t, len(joint.Servers) <= 16)
		})
	}
}

// Guards against reserved parts larger than the free memory of an engine. Every engine refuses them repeatedly,
// although the prompt would fit on more engines.
func TestReservedPartsFit(t *testing.T) {
	cases := map[string]struct {
		tokens int64
		// used is the memory in use at each engine, engines the number of engines.
		used    int64
		engines int
		want    string
	}{
		"idle engines":          {388000, 0, 20, "joint"},
		"two nearly full":       {388000, 90000, 2, "joint"},
		"two too full":          {388000, 200000, 2, "hold"},
		"one engine":            {388000, 0, 1, "too large"},
		"more than all engines": {6000000, 0, 20, "too large"},
		"one of two is avoided": {388000, 0, 2, "hold"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(tc.engines)
			if strings.Contains(name, "avoided") {
				p.RecordHelperFailure(start, list[0])
			}
			var loads []dispatch.Load
			for _, s := range list {
				loads = append(loads, dispatch.Load{Key: dispatch.BackendKey(s), Long: 1, Memory: tc.used})
			}
			p.SetPeerLoads(start, "other", loads)
			profile := longProfile(tc.tokens)
			profile.Deadline = start.Add(time.Hour)
			switch got := p.Place(start, profile, list, nil).(type) {
			case dispatch.JointPrefill:
				assert.Equal(t, tc.want, "joint")
				part := profile.Prompt/int64(len(got.Servers)) + tc.used
				assert.Assert(t, part < engine.KVCacheTokens, "%d tokens at each of %d engines", part, len(got.Servers))
			case dispatch.Hold:
				assert.Equal(t, tc.want, "hold")
			case dispatch.NoPlacement:
				assert.Equal(t, tc.want, "too large")
				assert.Equal(t, got.Reason, dispatch.TooLarge)
			case dispatch.Send:
				t.Fatal("sent to one engine")
			}
		})
	}
}

// Guards against a prompt that is refused although engines would have memory for it in time, against one that is held until its
// deadline passes, and against a time to come back that has nothing to do with when there is memory.
func TestHeldForMemoryWhileItCanBeDone(t *testing.T) {
	cases := map[string]struct {
		used     int64         // memory in use at each engine
		longTime time.Duration // how long requests hold it
		from, to time.Duration // when the prompt is refused, if no memory gets free
	}{
		// A ninth of the memory in use is missing, and the prefill takes 2 s in parts.
		"soon free":            {290_000, 2 * time.Second, 9 * time.Second, 10 * time.Second},
		"free after some time": {290_000, 30 * time.Second, 6 * time.Second, 8 * time.Second},
		"too late":             {290_000, 5 * time.Minute, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(20)
			for range 200 {
				id := p.RecordPlacement(start.Add(-tc.longTime), longProfile(100_000), dispatch.Send{Server: list[0]})
				p.RecordEnd(start, id, dispatch.Answered{})
			}
			var loads []dispatch.Load
			for _, s := range list {
				loads = append(loads, dispatch.Load{Key: dispatch.BackendKey(s), Short: 3, Memory: tc.used})
			}
			for at := time.Duration(0); at < 12*time.Second; at += 100 * time.Millisecond {
				p.SetPeerLoads(start.Add(at), "other", loads)
				refusal, refused := p.Place(start.Add(at), longProfile(450_000), list, nil).(dispatch.NoPlacement)
				if !refused {
					continue
				}
				assert.Equal(t, refusal.Reason, dispatch.NoMemory)
				assert.Check(t, at >= tc.from && at <= tc.to, "refused after %v", at)
				assert.Check(t, refusal.RetryAfter >= tc.longTime/12 && refusal.RetryAfter <= max(tc.longTime/8, time.Second), "told to come back in %v", refusal.RetryAfter)
				return
			}
			t.Fatal("held until its deadline")
		})
	}
}

// Guards against a time to come back of centuries for a request that is never held, since its caller has a part of the answer.
func TestNoMemoryWithoutDeadline(t *testing.T) {
	p, list := newPlanner(1), newServers(20)
	var loads []dispatch.Load
	for _, s := range list {
		loads = append(loads, dispatch.Load{Key: dispatch.BackendKey(s), Long: 1, Memory: 290_000})
	}
	p.SetPeerLoads(start, "other", loads)
	profile := longProfile(450_000)
	profile.TargetTime, profile.Deadline = time.Time{}, time.Time{}
	refusal, ok := p.Place(start, profile, list, nil).(dispatch.NoPlacement)
	assert.Assert(t, ok)
	assert.Assert(t, refusal.RetryAfter <= 5*time.Second, "%v", refusal.RetryAfter)
}
