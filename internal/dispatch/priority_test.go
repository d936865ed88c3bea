package dispatch_test

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/route"
)

// onTimeShare returns the share of the callers that arrived from a time on whose prompts were prefilled within their target times.
func onTimeShare(callers []*caller, from time.Time) float64 {
	onTime, all := 0, 0
	for _, c := range callers {
		if c.profile.TargetTime.Before(from) {
			continue
		}
		all++
		if !c.prefilledAt.IsZero() && !c.prefilledAt.After(c.profile.TargetTime) {
			onTime++
		}
	}
	return float64(onTime) / float64(all)
}

// Guards against bursts in which long prompts take the engines that more urgent short prompts need. The engines bear the short
// prompts in each case, so that nearly all of them have to begin in time; the long ones get what is left, so that some
// have to be served, and no engine works in vain for one that misses its deadline.
func TestUrgentShortPromptsInTime(t *testing.T) {
	for name, o := range map[string]overload{
		"burst of short prompts with a third of the engines gone": {
			engines: 36, gateways: 5, load: 0.6, shortPerSecond: 60, shortBurst: 2, burstStart: 10 * time.Second, burstEnd: 20 * time.Second,
			lostEngines: 12, duration: 30 * time.Second,
		},
		"burst of long prompts beside steady short ones": {
			engines: 24, gateways: 5, load: 0.5, burst: 3, shortPerSecond: 60, burstStart: 8 * time.Second, burstEnd: 16 * time.Second,
			duration: 30 * time.Second,
		},
		"all gateways have just started": {
			engines: 24, gateways: 12, load: 2, shortPerSecond: 60, joining: 20 * reportInterval, duration: 20 * time.Second,
		},
		"many gateways": {
			engines: 69, gateways: 23, load: 1.2, shortPerSecond: 110, duration: 8 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.ranked = true
			for seed := range *overloadSeeds {
				r := newOverloadRun(o, *firstOverloadSeed+seed)
				r.play()
				short, long := onTimeShare(r.short, start), servedShare(r.long)
				cut := 0
				for _, c := range r.long {
					if !c.served && !c.prefilledAt.IsZero() {
						cut++
					}
				}
				t.Logf("short prompts in time %.2f of %d, long ones served %.2f of %d, sent in vain %d", short, len(r.short), long, len(r.long), cut)
				assert.Check(t, short >= 0.95)
				assert.Check(t, long >= 0.25)
				assert.Check(t, cut == 0, "%d long prompts were sent and not prefilled before their deadlines", cut)
			}
		})
	}
}

// Guards against a less urgent prompt that is sent before a more urgent one because it arrived first or because its length has got
// less.
func TestOrderByRank(t *testing.T) {
	ranks := route.RankRange{Most: 0, Least: 2}
	held := func(rank route.Rank) dispatch.QueueReport {
		report := dispatch.QueueReport{Work: []dispatch.LongWork{{Service: 1, Rank: rank, Pending: 8 * time.Second}}}
		for range 30 {
			report.Held = append(report.Held, dispatch.HeldPrompt{Service: 1, Rank: rank, Waited: 2 * time.Second, Prefill: 2 * time.Second})
		}
		return report
	}
	for name, tc := range map[string]struct {
		rank, others route.Rank
		sent         bool
	}{
		"more urgent than those that wait": {rank: 1, others: 2, sent: true},
		"less urgent than those that wait": {rank: 2, others: 1},
		"as urgent as those that wait":     {rank: 2, others: 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := dispatch.NewPlanner("z-0")
			report(p, start, held(tc.others))
			profile := longProfile(45_000)
			profile.Service, profile.Rank, profile.Ranks = 1, tc.rank, ranks
			_, sent := p.Place(start, profile, newServers(12), nil).(dispatch.Send)
			if !sent {
				_, sent = p.Place(start, profile, newServers(12), nil).(dispatch.JointPrefill)
			}
			assert.Equal(t, sent, tc.sent)
		})
	}
}

// Guards against the least urgent prompts on engines that answer more urgent ones: a prefill pauses all answers of its engine.
func TestEnginesOfUrgentPrompts(t *testing.T) {
	servers := newServers(6)
	urgent := longProfile(45_000)
	urgent.Service, urgent.Rank, urgent.Ranks = 1, 1, route.RankRange{Most: 0, Least: 2}
	least := longProfile(300_000)
	least.Service, least.Rank, least.Ranks = 1, 2, urgent.Ranks
	p := dispatch.NewPlanner("z-0")
	used := map[string]bool{}
	for range 3 {
		placement := p.Place(start, urgent, servers, nil)
		p.RecordPlacement(start, urgent, placement)
		switch d := placement.(type) {
		case dispatch.Send:
			used[d.Server.ID] = true
		case dispatch.JointPrefill:
			used[d.Servers[0].ID] = true
		case dispatch.Hold, dispatch.NoPlacement:
			t.Fatalf("urgent prompt not sent: %+v", d)
		}
	}
	joint, ok := p.Place(start, least, servers, nil).(dispatch.JointPrefill)
	assert.Assert(t, ok)
	for _, s := range joint.Servers {
		assert.Check(t, !used[s.ID], "engine %s answers more urgent prompts", s.ID)
	}
}

// Guards against requests that are treated as less urgent than others because their routes and workspaces have a priority, although
// all requests for their service have the same: on the deployments whose requests are not ranked, middle prompts were on time less
// often.
func TestNotRanked(t *testing.T) {
	for name, tc := range map[string]struct {
		profile dispatch.RequestProfile
		loads   []dispatch.Load
		held    []dispatch.HeldPrompt
		joining bool
	}{
		"engines with short prompts":       {profile: longProfile(193_000), loads: loadsOf(12, dispatch.Load{Short: 6, PendingPrefill: 100 * time.Millisecond})},
		"much prefill before the engines":  {profile: longProfile(193_000), loads: loadsOf(12, dispatch.Load{Long: 1, PendingPrefill: 900 * time.Millisecond}), held: heldPrompts(6, 2*time.Second, 2*time.Second)},
		"gateways that do not know others": {profile: longProfile(193_000), joining: true},
		"many prompts that wait":           {profile: longProfile(45_000), held: heldPrompts(30, 2*time.Second, 2*time.Second)},
		"short prompt and full engines":    {profile: shortProfile(), loads: loadsOf(12, dispatch.Load{Short: 20, PendingPrefill: 300 * time.Millisecond})},
	} {
		t.Run(name, func(t *testing.T) {
			servers := newServers(12)
			place := func(rank route.Rank) (dispatch.Placement, int) {
				p := dispatch.NewPlanner("z-0")
				p.SetJoining(tc.joining)
				p.SetPeerLoads(start, "other", tc.loads)
				p.SetPeerQueue(start, "other", dispatch.QueueReport{Held: tc.held})
				profile := tc.profile
				profile.Service, profile.Rank = 1, rank
				return p.Place(start, profile, servers, nil), profile.EngineUrgency()
			}
			without, urgencyWithout := place(0)
			with, urgencyWith := place(1<<8 | 1)
			assert.Check(t, reflect.DeepEqual(with, without), "%+v, without a rank %+v", with, without)
			assert.Equal(t, urgencyWith, urgencyWithout)
		})
	}
}

// loadsOf returns the same load at each of a number of engines.
func loadsOf(n int, load dispatch.Load) []dispatch.Load {
	var loads []dispatch.Load
	for _, s := range newServers(n) {
		load.Key = dispatch.BackendKey(s)
		loads = append(loads, load)
	}
	return loads
}
