package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
)

// busyLoads returns the loads of engines that are not idle. heavy is the part of their pending prefill that is of heavy
// prompts.
func busyLoads(engines int, heavy time.Duration) []dispatch.Load {
	var loads []dispatch.Load
	for _, s := range newServers(engines) {
		loads = append(loads, dispatch.Load{Key: dispatch.BackendKey(s), Long: 1, PendingPrefill: 300 * time.Millisecond, PendingHeavy: heavy})
	}
	return loads
}

// Guards against a heavy prompt that is overtaken by later ones at other gateways, and against one that waits for a
// prompt which no gateway holds any more, which cannot be sent now, or which needs other engines.
func TestHeavyPromptsSentInOrder(t *testing.T) {
	const pool, otherPool = 1, 2
	held := func(waited time.Duration) dispatch.HeldPrompt {
		return dispatch.HeldPrompt{Service: pool, Route: 7, Waited: waited, Prefill: 12 * time.Second}
	}
	late, elsewhere := held(2*time.Second), held(2*time.Second)
	late.Due, elsewhere.Service = true, otherPool
	cases := map[string]struct {
		held       []dispatch.HeldPrompt
		reportedAt time.Time
		sent       bool
	}{
		"none held":                    {nil, start.Add(time.Second), true},
		"older at another gateway":     {[]dispatch.HeldPrompt{held(2 * time.Second)}, start.Add(time.Second), false},
		"younger at another gateway":   {[]dispatch.HeldPrompt{held(500 * time.Millisecond)}, start.Add(time.Second), true},
		"older, of another service":    {[]dispatch.HeldPrompt{elsewhere}, start.Add(time.Second), true},
		"older, held for its lateness": {[]dispatch.HeldPrompt{late}, start.Add(time.Second), true},
		"older, reported long ago":     {[]dispatch.HeldPrompt{held(0)}, start.Add(-2 * time.Second), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, now := newPlanner(1), start.Add(time.Second)
			p.SetPeerLoads(now, "busy", busyLoads(20, 0))
			p.SetPeerLoads(tc.reportedAt, "holding", nil)
			p.SetPeerQueue(tc.reportedAt, "holding", dispatch.QueueReport{Held: tc.held})
			profile := longProfile(450000)
			profile.Service, profile.Route = pool, 7
			placement := p.Place(now, profile, newServers(20), nil)
			_, sent := placement.(dispatch.JointPrefill)
			assert.Equal(t, sent, tc.sent, "%T", placement)
		})
	}
}

// Guards against a held prompt that stays in the queue after it was sent or has ended, and so holds up all later ones.
func TestEndHold(t *testing.T) {
	p, now := newPlanner(1), start.Add(time.Second)
	p.SetPeerLoads(now, "busy", busyLoads(20, 300*time.Millisecond))
	profile := longProfile(450000)
	hold, ok := p.Place(now, profile, newServers(20), nil).(dispatch.Hold)
	assert.Assert(t, ok)
	assert.Equal(t, hold.Reason, dispatch.HoldHeavy)
	profile.HoldID = p.RecordHold(profile, hold)
	assert.Equal(t, p.RecordHold(profile, hold), profile.HoldID, "held again")
	held := p.Queue(now).Held
	assert.Equal(t, len(held), 1)
	assert.Equal(t, held[0].Waited, time.Second)
	p.EndHold(profile.HoldID)
	held = p.Queue(now).Held
	assert.Equal(t, len(held), 0)
}

// Guards against a queue that grows until requests in it reach their deadline, against refusing only the longest
// prompts of a route when it is too long, and against refusing requests that have been admitted or are of another kind.
func TestQueueTooLong(t *testing.T) {
	const pool, review, digest = 1, 7, 8
	cases := map[string]struct {
		tokens   int64
		route    dispatch.Key
		queue    int // heavy prompts of the route review that another gateway holds
		admitted bool
		refused  bool
	}{
		"short queue, heavy":          {450000, review, 2, false, false},
		"long queue, longest":         {700000, review, 40, false, true},
		"long queue, heavy":           {330000, review, 40, false, true},
		"long queue, not heavy":       {100000, review, 40, false, true},
		"long queue, admitted before": {100000, review, 40, true, false},
		"long queue, other route":     {100000, digest, 40, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, now := newPlanner(1), start
			var held []dispatch.HeldPrompt
			for range tc.queue {
				held = append(held, dispatch.HeldPrompt{Service: pool, Route: review, Waited: time.Second, Prefill: 12 * time.Second})
			}
			p.SetPeerLoads(now, "holding", busyLoads(20, 0))
			p.SetPeerQueue(now, "holding", dispatch.QueueReport{
				Held: held, Offered: []dispatch.OfferedPrefill{{Service: pool, Heavy: 60 * time.Second, Total: 100 * time.Second}},
			})
			profile := longProfile(tc.tokens)
			profile.Service, profile.Route, profile.Admitted = pool, tc.route, tc.admitted
			refusal, refused := p.Place(now, profile, newServers(20), nil).(dispatch.NoPlacement)
			assert.Equal(t, refused, tc.refused)
			if refused {
				assert.Equal(t, refusal.Reason, dispatch.Overloaded)
				assert.Assert(t, refusal.RetryAfter > time.Second, "%v", refusal.RetryAfter)
			}
		})
	}
}

// Guards against a prompt that is refused because other prompts were, although engines are free and it needs no turn: of a
// prompt of 100,000 tokens all of 200 were refused after 30 longer ones.
func TestRefusalsOfOthersDoNotDecide(t *testing.T) {
	const pool, review = 1, 7
	for _, others := range []int{0, 30} {
		p := newPlanner(1)
		p.SetPeerLoads(start, "other", nil)
		p.SetPeerQueue(start, "other", dispatch.QueueReport{
			Held: []dispatch.HeldPrompt{{Service: pool, Route: review, Waited: time.Second, Prefill: 12 * time.Second}},
		})
		for range others {
			longer := longProfile(450_000)
			longer.Service, longer.Route = pool, review
			p.RecordArrival(start, longer)
			p.RecordPlacement(start, longer, dispatch.NoPlacement{Reason: dispatch.Overloaded})
		}
		refused := 0
		for range 200 {
			profile := longProfile(100_000)
			profile.Service, profile.Route = pool, review
			if _, ok := p.Place(start, profile, newServers(20), nil).(dispatch.NoPlacement); ok {
				refused++
			}
		}
		assert.Check(t, refused == 0, "refused %d of 200 after %d refusals of others", refused, others)
	}
}
