package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
)

var start = time.Unix(1000, 0)

var engine = &route.Engine{
	Slots: 16, KVCacheTokens: 315000, PrefillRate: 177000, PrefillTimePerMillionPairs: 184 * time.Microsecond,
}

func newServers(n int) []*roster.Server {
	var list []*roster.Server
	for i := range n {
		list = append(list, &roster.Server{
			ID: fmt.Sprintf("i-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Zone: fmt.Sprintf("z-%d", i%3), Slots: 6,
		})
	}
	return list
}

func shortProfile() dispatch.RequestProfile {
	return dispatch.RequestProfile{Engine: engine, Prompt: 5000, Answer: 1600, Target: 300 * time.Millisecond}
}

func longProfile(tokens int64) dispatch.RequestProfile {
	return dispatch.RequestProfile{Engine: engine, Prompt: tokens, Answer: 800, Target: 3 * time.Second,
		TargetTime: start.Add(3 * time.Second), Deadline: start.Add(12 * time.Second)}
}

func plainProfile() dispatch.RequestProfile {
	return dispatch.RequestProfile{Target: 100 * time.Millisecond}
}

func newPlanner(seed uint64) *dispatch.Planner {
	return dispatch.NewPlanner("z-0", dispatch.WithRandomSource(rand.NewPCG(seed, 1)))
}

// placeAndRecord places a request, records the placement and returns the IDs of the backend servers it goes to.
func placeAndRecord(p *dispatch.Planner, profile dispatch.RequestProfile, list []*roster.Server) (dispatch.PlacementID, []string) {
	placement := p.Place(start, profile, list, nil)
	id := p.RecordPlacement(start, profile, placement)
	switch got := placement.(type) {
	case dispatch.Send:
		return id, []string{got.Server.ID}
	case dispatch.JointPrefill:
		var ids []string
		for _, s := range got.Servers {
			ids = append(ids, s.ID)
		}
		return id, ids
	case dispatch.Hold, dispatch.NoPlacement:
	}
	return id, nil
}

// Guards against sending a request to a backend server that has been tried for it, has failed, refused or returned
// more errors than others, or is cold and has reached its rate limit.
func TestAvoidance(t *testing.T) {
	end := func(o dispatch.Outcome, times int) func(*dispatch.Planner, []*roster.Server) {
		return func(p *dispatch.Planner, list []*roster.Server) {
			for range times {
				id := p.RecordPlacement(start, plainProfile(), dispatch.Send{Server: list[0]})
				p.RecordEnd(start, id, o)
			}
		}
	}
	cases := map[string]struct {
		profile dispatch.RequestProfile
		setup   func(*dispatch.Planner, []*roster.Server)
		elapsed time.Duration
		tried   []string
		reason  dispatch.Reason // expected when the backend server to avoid is the only one
		used    bool
	}{
		"healthy":                    {profile: plainProfile(), setup: end(dispatch.Answered{}, 5), used: true},
		"tried":                      {profile: plainProfile(), tried: []string{"i-0"}, reason: dispatch.AllTried},
		"lost":                       {profile: plainProfile(), setup: end(dispatch.Lost{}, 1)},
		"lost once, later":           {profile: plainProfile(), setup: end(dispatch.Lost{}, 1), elapsed: time.Second, used: true},
		"lost often, later":          {profile: plainProfile(), setup: end(dispatch.Lost{}, 5), elapsed: time.Second},
		"full":                       {profile: plainProfile(), setup: end(dispatch.Full{}, 1)},
		"gone, later":                {profile: plainProfile(), setup: end(dispatch.Gone{}, 1), elapsed: 5 * time.Second},
		"full, later":                {profile: plainProfile(), setup: end(dispatch.Full{}, 1), elapsed: time.Second, used: true},
		"one error":                  {profile: plainProfile(), setup: end(dispatch.Errored{}, 1), used: true},
		"errors":                     {profile: plainProfile(), setup: end(dispatch.Errored{}, 12)},
		"abandoned by callers":       {profile: plainProfile(), setup: end(dispatch.Abandoned{}, 12), used: true},
		"cold, rate limit reached":   {profile: dispatch.RequestProfile{ColdPerSecond: 4}, setup: end(dispatch.Answered{}, 4), reason: dispatch.AllCold},
		"cold, below the rate limit": {profile: dispatch.RequestProfile{ColdPerSecond: 4}, setup: end(dispatch.Answered{}, 3), used: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(3)
			list[0].ColdUntil = start.Add(time.Minute)
			if tc.setup != nil {
				tc.setup(p, list)
			}
			now, used := start.Add(tc.elapsed), false
			for range 200 {
				if send, ok := p.Place(now, tc.profile, list, tc.tried).(dispatch.Send); ok && send.Server == list[0] {
					used = true
				}
			}
			assert.Equal(t, used, tc.used)
			switch got := p.Place(now, tc.profile, list[:1], tc.tried).(type) {
			case dispatch.NoPlacement:
				assert.Equal(t, got.Reason, tc.reason)
				assert.Assert(t, got.RetryAfter > 0)
			default:
				assert.Equal(t, tc.reason, dispatch.Reason(""), "the only backend server is used although it is avoided")
			}
		})
	}
	_, ok := newPlanner(1).Place(start, plainProfile(), nil, nil).(dispatch.NoPlacement)
	assert.Assert(t, ok)
}

// Guards against a cold backend server that gets its whole rate limit from each of several gateways.
func TestColdRateSharedByGateways(t *testing.T) {
	list := newServers(1)
	list[0].ColdUntil = start.Add(time.Minute)
	p := newPlanner(1)
	p.SetGatewayCount(3)
	sent := 0
	for at := time.Duration(0); at < 10*time.Second; at += 20 * time.Millisecond {
		profile := dispatch.RequestProfile{ColdPerSecond: 36}
		if send, ok := p.Place(start.Add(at), profile, list, nil).(dispatch.Send); ok {
			p.RecordEnd(start.Add(at), p.RecordPlacement(start.Add(at), profile, send), dispatch.Answered{})
			sent++
		}
	}
	assert.Assert(t, sent > 40 && sent <= 120, "%d sends in 10 s", sent)
}

// Guards against a cold backend server that gets a request from each of many gateways at once, when the share of each
// gateway is less than one request per second.
func TestColdRateBelowOnePerGateway(t *testing.T) {
	list := newServers(1)
	list[0].ColdUntil = start.Add(time.Minute)
	const gateways, perSecond = 300, 36
	var planners []*dispatch.Planner
	for i := range gateways {
		p := newPlanner(uint64(i))
		p.SetGatewayCount(gateways)
		planners = append(planners, p)
	}
	var sent []int
	for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
		n := 0
		for _, p := range planners {
			profile := dispatch.RequestProfile{ColdPerSecond: perSecond}
			if send, ok := p.Place(start.Add(at), profile, list, nil).(dispatch.Send); ok {
				p.RecordEnd(start.Add(at), p.RecordPlacement(start.Add(at), profile, send), dispatch.Answered{})
				n++
			}
		}
		sent = append(sent, n)
	}
	total := 0
	for i, n := range sent {
		total += n
		lastSecond := 0
		for _, m := range sent[max(0, i-19) : i+1] {
			lastSecond += m
		}
		assert.Assert(t, lastSecond <= perSecond*3/2, "%d sends in a second", lastSecond)
	}
	assert.Assert(t, total > 20*perSecond*8/10, "%d sends in 20 s", total)
}

// Guards against gateways that together keep more idle connections to a backend server than it accepts.
func TestIdleConnections(t *testing.T) {
	for name, tc := range map[string]struct{ maxConnections, gateways, minIdle int }{
		"one gateway":                 {96, 1, 24},
		"three gateways":              {96, 3, 8},
		"few connections per gateway": {67, 21, 1},
		"many gateways":               {190, 294, 0},
		"no limit stated":             {0, 21, 24},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(1)
			p.SetGatewayCount(tc.gateways)
			idle := p.MaxIdleConnections(tc.maxConnections)
			assert.Assert(t, idle >= tc.minIdle && (tc.maxConnections == 0 || idle*tc.gateways <= tc.maxConnections), "%d idle connections", idle)
		})
	}
}

// Guards against counting the last report of a gateway that has ended, which would leave engines unused.
func TestPeerLoadsExpire(t *testing.T) {
	p, list := newPlanner(1), newServers(2)
	busy := dispatch.Load{Key: dispatch.BackendKey(list[0]), Long: 3, PendingPrefill: time.Second}
	p.SetPeerLoads(start, "other", []dispatch.Load{busy})
	count := func(now time.Time) (n int) {
		for range 20 {
			if send, ok := p.Place(now, shortProfile(), list[:], nil).(dispatch.Send); ok && send.Server == list[0] {
				n++
			}
		}
		return n
	}
	assert.Equal(t, count(start), 0)
	assert.Equal(t, count(start.Add(3*time.Second)), 20, "the engine in the zone is used again")
}

// Guards against sums of peer reports that drift when a report is replaced, is empty or expires.
func TestPeerLoadSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, list := newPlanner(1), newServers(4)
		type report struct {
			at    time.Time
			loads []dispatch.Load
		}
		last := map[string]report{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			gateway := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "gateway"))
			var loads []dispatch.Load
			for range rapid.IntRange(0, 4).Draw(t, "loads") {
				s := list[rapid.IntRange(0, 3).Draw(t, "server")]
				loads = append(loads, dispatch.Load{
					Key: dispatch.BackendKey(s), Short: rapid.IntRange(0, 2).Draw(t, "short"), Memory: int64(rapid.IntRange(0, 2).Draw(t, "memory")),
					PendingPrefill: time.Duration(rapid.IntRange(0, 2).Draw(t, "pending prefill")) * time.Millisecond,
				})
			}
			p.SetPeerLoads(now, gateway, loads)
			last[gateway] = report{now, loads}
			for _, s := range list {
				var want dispatch.Load
				for _, r := range last {
					for _, l := range r.loads {
						if now.Sub(r.at) <= 2*time.Second && l.Key == dispatch.BackendKey(s) {
							want.Short += l.Short
							want.Memory += l.Memory
							want.PendingPrefill += l.PendingPrefill
						}
					}
				}
				send, ok := p.Place(now, shortProfile(), []*roster.Server{s}, nil).(dispatch.Send)
				assert.Assert(t, ok)
				want.Key = send.Seen.Key
				assert.DeepEqual(t, send.Seen, want)
			}
		}
	})
}

// Guards against counts that drift: no count is negative at any time, and none remains after all requests have ended.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, list := newPlanner(rapid.Uint64().Draw(t, "seed")), newServers(6)
		var open []dispatch.PlacementID
		outcomes := []dispatch.Outcome{dispatch.Answered{}, dispatch.Errored{}, dispatch.Full{}, dispatch.Lost{}, dispatch.Abandoned{}}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				profile := rapid.SampledFrom([]dispatch.RequestProfile{shortProfile(), longProfile(45000), longProfile(400000), plainProfile()}).Draw(t, "profile")
				profile.TargetTime, profile.Deadline = now.Add(profile.Target), now.Add(4*profile.Target)
				placement := p.Place(now, profile, list, nil)
				if id := p.RecordPlacement(now, profile, placement); id != 0 {
					open = append(open, id)
				}
			case 2:
				if len(open) > 0 {
					p.RecordProgress(now, open[0])
				}
			case 3:
				if len(open) > 0 {
					p.RecordEnd(now, open[0], rapid.SampledFrom(outcomes).Draw(t, "outcome"))
					p.RecordEnd(now, open[0], dispatch.Lost{})
					open = open[1:]
				}
			}
			loads, _ := p.Loads(now)
			for _, l := range loads {
				assert.Assert(t, l.Short >= 0 && l.Long >= 0 && l.PendingPrefill >= 0 && l.Memory >= 0, "%+v", l)
			}
		}
		for _, id := range open {
			p.RecordEnd(now, id, dispatch.Answered{})
		}
		loads, _ := p.Loads(now.Add(time.Minute))
		assert.Equal(t, len(loads), 0, "%+v", loads)
	})
}
