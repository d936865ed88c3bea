package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"berylward.example/berylward/internal/dispatch"
)

const queueEngines = 20

// heldPrompts returns a number of prompts for service 1 that have waited and take a prefill time.
func heldPrompts(n int, waited, prefill time.Duration) []dispatch.HeldPrompt {
	var held []dispatch.HeldPrompt
	for range n {
		held = append(held, dispatch.HeldPrompt{Service: 1, Waited: waited, Prefill: prefill})
	}
	return held
}

// longWork returns the work of service 1 of which prompts of one length were admitted, and a part was sent.
func longWork(prefill, admitted, sent, pending time.Duration) dispatch.LongWork {
	work := dispatch.LongWork{Service: 1, Pending: pending}
	work.Admitted.Add(prefill, admitted)
	work.Sent.Add(prefill, sent)
	return work
}

// report passes the queue of another gateway to a planner, with the load of its pending prefill evenly at all engines.
func report(p *dispatch.Planner, now time.Time, queue dispatch.QueueReport) {
	var pending time.Duration
	for _, w := range queue.Work {
		pending += w.Pending
	}
	var loads []dispatch.Load
	for _, s := range newServers(queueEngines) {
		loads = append(loads, dispatch.Load{Key: dispatch.BackendKey(s), Long: 1, PendingPrefill: pending / queueEngines})
	}
	p.SetPeerLoads(now, "other", loads)
	p.SetPeerQueue(now, "other", queue)
}

// waitingProfile is a profile of service 1 whose target leaves time for what engines have before them.
func waitingProfile(tokens int64) dispatch.RequestProfile {
	profile := longProfile(tokens)
	profile.Service, profile.Target, profile.TargetTime = 1, 10*time.Second, start.Add(10*time.Second)
	return profile
}

// decision names what happens to a prompt.
func decision(place dispatch.Placement) string {
	switch place := place.(type) {
	case dispatch.Send, dispatch.JointPrefill:
		return "sent"
	case dispatch.Hold:
		return "held: " + string(place.Reason)
	case dispatch.NoPlacement:
		return "refused: " + string(place.Reason)
	}
	return ""
}

// Guards against a prompt that is overtaken by later ones of its length at other gateways, and against one that waits for a
// prompt which no gateway holds any more, or which needs other engines.
func TestPromptsOfOneLengthSentInOrder(t *testing.T) {
	const otherPool = 2
	held := func(waited time.Duration) dispatch.QueueReport {
		return dispatch.QueueReport{
			Held: heldPrompts(1, waited, 22*time.Second), Work: []dispatch.LongWork{longWork(22*time.Second, 66*time.Second, 22*time.Second, 15*time.Second)},
		}
	}
	elsewhere := held(2 * time.Second)
	elsewhere.Held[0].Service = otherPool
	notHeld := held(0)
	notHeld.Held = nil
	cases := map[string]struct {
		report     dispatch.QueueReport
		reportedAt time.Time
		want       string
	}{
		"none held":                  {notHeld, start.Add(time.Second), "sent"},
		"older at another gateway":   {held(2 * time.Second), start.Add(time.Second), "held: turn"},
		"younger at another gateway": {held(500 * time.Millisecond), start.Add(time.Second), "sent"},
		"older, of another service":  {elsewhere, start.Add(time.Second), "sent"},
		"older, reported long ago":   {held(0), start.Add(-2 * time.Second), "sent"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, now := newPlanner(1), start.Add(time.Second)
			report(p, tc.reportedAt, tc.report)
			profile := waitingProfile(450_000)
			assert.Equal(t, decision(p.Place(now, profile, newServers(queueEngines), nil)), tc.want)
		})
	}
}

// Guards against shorter prompts that take the engine time which a longer one waits for, and longer ones that take that of
// shorter ones: of two lengths, the one goes first that has got the smaller part of what was admitted of it.
func TestLengthsShareEngineTime(t *testing.T) {
	const longer, shorter = 22 * time.Second, 1500 * time.Millisecond // 450,000 and 100,000 tokens
	work := func(longerSent, shorterSent time.Duration) []dispatch.LongWork {
		w := longWork(longer, 100*time.Second, longerSent, 28*time.Second)
		w.Admitted.Add(shorter, 100*time.Second)
		w.Sent.Add(shorter, shorterSent)
		return []dispatch.LongWork{w}
	}
	cases := map[string]struct {
		tokens int64
		held   []dispatch.HeldPrompt
		work   []dispatch.LongWork
		want   string
	}{
		"longer prompt, shorter ones arrived before it and have had more":      {450_000, heldPrompts(30, 3*time.Second, shorter), work(20*time.Second, 60*time.Second), "sent"},
		"longer prompt, shorter ones arrived before it and have had less":      {450_000, heldPrompts(30, 3*time.Second, shorter), work(90*time.Second, 20*time.Second), "held: turn"},
		"shorter prompt, longer ones arrived before it and have had more":      {100_000, heldPrompts(6, 3*time.Second, longer), work(60*time.Second, 20*time.Second), "sent"},
		"shorter prompt, longer ones arrived before it and have had less":      {100_000, heldPrompts(6, 3*time.Second, longer), work(20*time.Second, 90*time.Second), "held: turn"},
		"shorter prompt, longer ones arrived after it and have had less":       {100_000, heldPrompts(6, 0, longer), work(20*time.Second, 90*time.Second), "held: turn"},
		"longer prompt beside many shorter ones of which nothing was admitted": {450_000, heldPrompts(30, 3*time.Second, shorter), nil, "sent"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, now := newPlanner(1), start.Add(time.Second)
			report(p, now, dispatch.QueueReport{Held: tc.held, Work: tc.work})
			assert.Equal(t, decision(p.Place(now, waitingProfile(tc.tokens), newServers(queueEngines), nil)), tc.want)
		})
	}
}

// Guards against prompts of nearly the same length and time that fare differently, because a boundary between classes lies
// between them: their predicted waits differ by one place in the order at most.
func TestNearlyEqualPromptsWaitAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(time.Second)
		queue := dispatch.QueueReport{Work: []dispatch.LongWork{{Service: 1, Pending: 40 * time.Second}}}
		for range 30 {
			prefill := time.Duration(rapid.IntRange(200, 60_000).Draw(t, "prefill")) * time.Millisecond
			queue.Held = append(queue.Held, dispatch.HeldPrompt{Service: 1, Waited: time.Minute, Prefill: prefill})
			queue.Work[0].Admitted.Add(prefill, 2*prefill)
			queue.Work[0].Sent.Add(prefill, prefill/2)
		}
		tokens := int64(rapid.IntRange(40_000, 700_000).Draw(t, "tokens"))
		wait := func(tokens int64) time.Duration {
			p := newPlanner(1)
			report(p, now, queue)
			profile := waitingProfile(tokens)
			profile.Deadline = start.Add(time.Hour)
			hold, ok := p.Place(now, profile, newServers(queueEngines), nil).(dispatch.Hold)
			assert.Assert(t, ok)
			return hold.Queue.Wait
		}
		// A prompt of another length may go first by its place among the others, and a millionth longer by one place at most.
		longest := time.Minute / queueEngines
		difference := (wait(tokens) - wait(tokens+1)).Abs()
		assert.Assert(t, difference <= longest, "%d tokens: waits differ by %v", tokens, difference)
	})
}

// Guards against a held prompt that stays in the queue after it was sent or has ended, and so holds up all later ones.
func TestEndHold(t *testing.T) {
	p, now := newPlanner(1), start.Add(time.Second)
	report(p, now, dispatch.QueueReport{Work: []dispatch.LongWork{longWork(22*time.Second, 66*time.Second, 66*time.Second, 60*time.Second)}})
	profile := waitingProfile(450_000)
	hold, ok := p.Place(now, profile, newServers(queueEngines), nil).(dispatch.Hold)
	assert.Assert(t, ok)
	assert.Equal(t, hold.Reason, dispatch.HoldTurn)
	profile.HoldID = p.RecordHold(now, profile, hold)
	assert.Equal(t, p.RecordHold(now, profile, hold), profile.HoldID, "held again")
	held := p.Queue(now).Held
	assert.Equal(t, len(held), 1)
	assert.Equal(t, held[0].Waited, time.Second)
	p.EndHold(profile.HoldID)
	held = p.Queue(now).Held
	assert.Equal(t, len(held), 0)
}

// Guards against a prompt that is refused although its turn comes in time, and against one that waits although it is known that
// it cannot be done before its deadline. Neither depends on the length of the prompt but for the work that it needs.
func TestRefusedIfTurnComesTooLate(t *testing.T) {
	const (
		margin  = 700 * time.Millisecond
		prefill = 4 * time.Second
	)
	refused, held := 0, 0
	for _, tokens := range []int64{60_000, 100_000, 154_000, 250_000, 450_000, 700_000} {
		for waiting := range 60 {
			p, now := newPlanner(1), start.Add(time.Second)
			report(p, now, dispatch.QueueReport{
				Held: heldPrompts(waiting, 2*time.Second, prefill),
				Work: []dispatch.LongWork{longWork(prefill, 600*time.Second, 300*time.Second, 30*time.Second)},
			})
			profile := waitingProfile(tokens)
			atOnce := profile
			atOnce.TargetTime, atOnce.Deadline = time.Time{}, time.Time{}
			joint, ok := p.Place(now, atOnce, newServers(queueEngines), nil).(dispatch.JointPrefill)
			assert.Assert(t, ok)
			left := profile.Deadline.Sub(now) - joint.Expected - margin
			switch place := p.Place(now, profile, newServers(queueEngines), nil).(type) {
			case dispatch.NoPlacement:
				refused++
				assert.Check(t, place.Queue.Wait > left, "%d tokens, %d waiting: refused although its turn comes in %v of %v", tokens, waiting, place.Queue.Wait, left)
				assert.Check(t, place.RetryAfter >= place.Queue.Wait-left, "told to come back in %v", place.RetryAfter)
			case dispatch.Hold:
				held++
				assert.Check(t, place.Queue.Wait <= left, "%d tokens, %d waiting: held although its turn comes in %v of %v", tokens, waiting, place.Queue.Wait, left)
			case dispatch.Send, dispatch.JointPrefill:
			}
		}
	}
	assert.Check(t, refused > 30 && held > 30, "%d refused, %d held", refused, held)
}

// Guards against a prompt that is refused because other prompts were, although engines are free and it needs no turn: of a
// prompt of 100,000 tokens all of 200 were refused after 30 longer ones.
func TestRefusalsOfOthersDoNotDecide(t *testing.T) {
	for _, others := range []int{0, 30} {
		p := newPlanner(1)
		p.SetPeerLoads(start, "other", nil)
		p.SetPeerQueue(start, "other", dispatch.QueueReport{Held: heldPrompts(1, time.Second, 12*time.Second)})
		for range others {
			longer := waitingProfile(450_000)
			p.RecordPlacement(start, longer, dispatch.NoPlacement{Reason: dispatch.Overloaded})
		}
		refused := 0
		for range 200 {
			if _, ok := p.Place(start, waitingProfile(100_000), newServers(queueEngines), nil).(dispatch.NoPlacement); ok {
				refused++
			}
		}
		assert.Check(t, refused == 0, "refused %d of 200 after %d refusals of others", refused, others)
	}
}

// Guards against an order that moves because other callers were refused: what waits before a prompt is the same, whether longer
// prompts were refused before it or not.
func TestRefusalsOfOthersDoNotMoveTheOrder(t *testing.T) {
	queue := dispatch.QueueReport{
		Held: heldPrompts(6, 0, 22*time.Second),
		Work: []dispatch.LongWork{longWork(22*time.Second, 200*time.Second, 190*time.Second, 28*time.Second)},
	}
	queue.Work[0].Admitted.Add(1500*time.Millisecond, 100*time.Second)
	queue.Work[0].Sent.Add(1500*time.Millisecond, 80*time.Second)
	decisions := map[int]string{}
	for _, others := range []int{0, 30} {
		p, now := newPlanner(1), start.Add(time.Second)
		report(p, now, queue)
		for range others {
			longer := waitingProfile(450_000)
			p.RecordPlacement(now, longer, dispatch.NoPlacement{Reason: dispatch.Overloaded})
		}
		decisions[others] = decision(p.Place(now, waitingProfile(100_000), newServers(queueEngines), nil))
	}
	assert.Equal(t, decisions[30], decisions[0], "after 30 refusals of longer prompts, and after none")
}

// Guards against a decision that is drawn: equal prompts in equal states are answered alike, whatever the source of randomness
// says.
func TestEqualPromptsDecidedAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := dispatch.QueueReport{Held: heldPrompts(rapid.IntRange(0, 60).Draw(t, "held"), 2*time.Second, 12*time.Second)}
		queue.Work = []dispatch.LongWork{longWork(12*time.Second, 300*time.Second, 100*time.Second, time.Duration(rapid.IntRange(0, 60).Draw(t, "pending"))*time.Second)}
		tokens := int64(rapid.IntRange(30_000, 700_000).Draw(t, "tokens"))
		decisions := map[string]bool{}
		for seed := range uint64(5) {
			p := dispatch.NewPlanner("z-0", dispatch.WithRandomSource(rand.NewPCG(seed, 3)))
			now := start.Add(time.Second)
			report(p, now, queue)
			decisions[decision(p.Place(now, waitingProfile(tokens), newServers(queueEngines), nil))] = true
		}
		assert.Assert(t, len(decisions) == 1, "%v", decisions)
	})
}
