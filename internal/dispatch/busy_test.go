package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
)

// Guards against sends to backend servers that want no requests, holds that cannot succeed, and a wait that ends early
// because the entry of the backend server disappeared for a while.
func TestBusyServers(t *testing.T) {
	const wait = 2 * time.Second
	cases := map[string]struct {
		// busy is the number of three servers that want no requests; tried are the IDs of those tried before.
		busy  int
		tried []string
		// deadline is the time that the request has from now on, at is when it is placed.
		deadline, at time.Duration
		forget       bool
		want         dispatch.Placement
	}{
		"one busy":              {busy: 1, deadline: time.Second, want: dispatch.Send{}},
		"all busy, can wait":    {busy: 3, deadline: 5 * time.Second, want: dispatch.Hold{}},
		"all busy, cannot wait": {busy: 3, deadline: 2 * time.Second, want: dispatch.NoPlacement{}},
		"all busy or tried":     {busy: 2, tried: []string{"i-2"}, deadline: 5 * time.Second, want: dispatch.Hold{}},
		"wait is over":          {busy: 3, deadline: 5 * time.Second, at: wait, want: dispatch.Send{}},
		"wait is not over":      {busy: 3, deadline: time.Second, at: wait - time.Millisecond, want: dispatch.Hold{}},
		"entry was missing":     {busy: 3, deadline: time.Second, forget: true, want: dispatch.NoPlacement{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(3)
			for _, s := range list[:tc.busy] {
				p.RecordBusy(start, s, wait)
			}
			if tc.forget {
				for _, s := range list {
					p.Forget(start, s)
				}
				p.Expire(start.Add(time.Second))
			}
			now := start.Add(tc.at)
			profile := dispatch.RequestProfile{Target: 100 * time.Millisecond, TargetTime: now.Add(100 * time.Millisecond), Deadline: now.Add(tc.deadline)}
			got := p.Place(now, profile, list, tc.tried)
			left := wait - tc.at
			switch want := tc.want.(type) {
			case dispatch.Send:
				sent, ok := got.(dispatch.Send)
				assert.Assert(t, ok, "%#v", got)
				assert.Equal(t, p.BusyFor(now, sent.Server), time.Duration(0))
			case dispatch.Hold:
				hold, ok := got.(dispatch.Hold)
				assert.Assert(t, ok, "%#v", got)
				assert.Equal(t, hold.Reason, dispatch.HoldBusy)
				assert.Assert(t, hold.Delay >= left && hold.Delay < left+200*time.Millisecond, "%v", hold.Delay)
			case dispatch.NoPlacement:
				refusal, ok := got.(dispatch.NoPlacement)
				assert.Assert(t, ok, "%#v", got)
				assert.Equal(t, refusal.Reason, dispatch.AllBusy)
				assert.Equal(t, refusal.RetryAfter, left)
			default:
				t.Fatalf("unexpected %T", want)
			}
		})
	}
}

// Guards against state that stays after its backend server has left while requests were outstanding there, and against a
// wait, an avoidance or a rate limit that is forgotten before it is over: the entry may return.
func TestForgottenServers(t *testing.T) {
	const lost = 400 * time.Millisecond // how long a server is avoided after a lost request
	cases := map[string]struct {
		wait    time.Duration
		outcome dispatch.Outcome
		after   time.Duration
		states  int
	}{
		"outstanding request ends": {0, dispatch.Abandoned{}, time.Second, 0},
		"wait not over":            {2 * time.Second, dispatch.Abandoned{}, time.Second, 1},
		"wait over":                {2 * time.Second, dispatch.Abandoned{}, 2 * time.Second, 0},
		"avoided":                  {0, dispatch.Lost{}, lost - time.Millisecond, 1},
		"avoided for longer":       {0, dispatch.Gone{}, 5 * time.Second, 1},
		"avoidance over":           {0, dispatch.Lost{}, time.Second, 0},
		"sent lately":              {0, dispatch.Answered{}, 900 * time.Millisecond, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(1)
			placed := p.Place(start, dispatch.RequestProfile{}, list, nil)
			id := p.RecordPlacement(start, dispatch.RequestProfile{}, placed)
			p.RecordBusy(start, list[0], tc.wait)
			p.Forget(start, list[0])
			p.Expire(start)
			assert.Equal(t, p.States(), 1)
			p.RecordEnd(start, id, tc.outcome)
			p.Expire(start.Add(tc.after))
			assert.Equal(t, p.States(), tc.states)
		})
	}
}

// Guards against a cold backend server that gets more requests than it may because its entry was missing for a moment.
func TestColdLimitOutlastsEntry(t *testing.T) {
	const perSecond = 3
	p, list := newPlanner(1), newServers(1)
	list[0].ColdUntil = start.Add(time.Minute)
	sends := 0
	for now := start; now.Before(start.Add(900 * time.Millisecond)); now = now.Add(20 * time.Millisecond) {
		profile := dispatch.RequestProfile{ColdPerSecond: perSecond, Deadline: now.Add(time.Second)}
		placed := p.Place(now, profile, list, nil)
		if _, ok := placed.(dispatch.Send); ok {
			sends++
		}
		p.RecordEnd(now, p.RecordPlacement(now, profile, placed), dispatch.Answered{})
		p.Forget(now, list[0])
		p.Expire(now)
	}
	assert.Equal(t, sends, perSecond)
}

// Guards against loads that do not fit into a datagram because others report for seconds that they avoid servers which have left.
func TestLoadsOfServersThatLeft(t *testing.T) {
	p, list := newPlanner(1), newServers(2)
	for _, s := range list {
		p.RecordEnd(start, p.RecordPlacement(start, dispatch.RequestProfile{}, dispatch.Send{Server: s}), dispatch.Gone{})
	}
	loads, _ := p.Loads(start)
	assert.Equal(t, len(loads), 2)
	p.Forget(start, list[0])
	loads, _ = p.Loads(start)
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Key, dispatch.BackendKey(list[1]))
}
