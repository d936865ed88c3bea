package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
)

// Guards against short prompts that are spread over all engines or packed too densely on one, and against long
// prompts on engines with short ones.
func TestShortAndLongSeparated(t *testing.T) {
	for seed := range uint64(20) {
		p, list := newPlanner(seed), newServers(12)
		used := map[string]int{}
		for range 36 {
			id, ids := placeAndRecord(p, shortProfile(), list)
			p.RecordProgress(start, id)
			used[ids[0]]++
		}
		assert.Assert(t, len(used) == 3, "seed %d: %v", seed, used)
		for id, n := range used {
			assert.Assert(t, n <= 12, "seed %d: %s has %d", seed, id, n)
		}
		_, ids := placeAndRecord(p, longProfile(154000), list)
		assert.Assert(t, len(ids) > 1)
		for _, id := range ids {
			assert.Equal(t, used[id], 0, "seed %d: long prompt on an engine with short prompts", seed)
		}
		// Pending prefill keeps short prompts off these engines, although short prompts are packed on the others.
		_, next := placeAndRecord(p, shortProfile(), list)
		assert.Assert(t, !slices.Contains(ids, next[0]), "seed %d", seed)
	}
}

// Guards against a gateway that sends prompts to other zones without need, and against gateways that all start with
// the same engine before they know of each other.
func TestEngineOrderDiffersByGateway(t *testing.T) {
	first := map[string]int{}
	for seed := range uint64(40) {
		p, list := newPlanner(seed), newServers(12)
		_, ids := placeAndRecord(p, shortProfile(), list)
		for _, s := range list {
			if s.ID == ids[0] {
				assert.Equal(t, s.Zone, "z-0")
			}
		}
		first[ids[0]]++
	}
	assert.Assert(t, len(first) == 4, "%v", first)
}

// Guards against gateways of all zones that send their short prompts to the same few engines, which have short
// prompts already, although their own zones have room.
func TestShortPrefersOwnZone(t *testing.T) {
	cases := map[string]struct {
		sameZone, otherZones dispatch.Load // of each engine in the zone and elsewhere
		inZone               bool
	}{
		"zone is empty":               {dispatch.Load{}, dispatch.Load{Short: 1}, true},
		"zone has room":               {dispatch.Load{Short: 11}, dispatch.Load{Short: 1}, true},
		"zone is nearly full":         {dispatch.Load{Short: 12}, dispatch.Load{Short: 1}, true},
		"zone is full":                {dispatch.Load{Short: 15}, dispatch.Load{Short: 1}, false},
		"zone is full and prefilling": {dispatch.Load{Short: 12, PendingPrefill: 100 * time.Millisecond}, dispatch.Load{Short: 1}, false},
		"zone prefills long prompts":  {dispatch.Load{Long: 1, PendingPrefill: time.Second}, dispatch.Load{}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				p, list := newPlanner(seed), newServers(12)
				var loads []dispatch.Load
				for _, s := range list {
					l := tc.otherZones
					if s.Zone == "z-0" {
						l = tc.sameZone
					}
					l.Key = dispatch.BackendKey(s)
					loads = append(loads, l)
				}
				p.SetPeerLoads(start, "other", loads)
				send, ok := p.Place(start, shortProfile(), list, nil).(dispatch.Send)
				assert.Assert(t, ok)
				assert.Equal(t, send.Server.Zone == "z-0", tc.inZone, "seed %d: %s", seed, send.Server.Zone)
			}
		})
	}
}

// Guards against a long prompt that pauses the answers to other long prompts while engines without any are idle.
func TestLongAvoidsGeneratingEngines(t *testing.T) {
	for seed := range uint64(20) {
		p, list := newPlanner(seed), newServers(12)
		generating := map[string]bool{}
		var loads []dispatch.Load
		for i, s := range list {
			if i%2 == 0 {
				generating[s.ID] = true
				loads = append(loads, dispatch.Load{Key: dispatch.BackendKey(s), Long: 1})
			}
		}
		p.SetPeerLoads(start, "other", loads)
		_, ids := placeAndRecord(p, longProfile(100000), list)
		assert.Assert(t, len(ids) > 0)
		for _, id := range ids {
			assert.Assert(t, !generating[id], "seed %d: %v", seed, ids)
		}
	}
}

// Guards against a prompt that is sent long before engines can begin it, so that it stays ahead of those that should go first,
// against one that is held until it misses its deadline, and against one that is sent although it is known to miss it.
func TestHold(t *testing.T) {
	const engines = 4
	cases := map[string]struct {
		backlog time.Duration // of each engine
		now     time.Time
		want    string
	}{
		"engines nearly free": {1400 * time.Millisecond, start, "sent"},
		"engines busy":        {4 * time.Second, start, "held: turn"},
		// Its own part takes 763 ms, and the first event is expected 677 ms before the deadline.
		"no more time to wait": {4 * time.Second, start.Add(6500 * time.Millisecond), "sent"},
		"too late":             {4 * time.Second, start.Add(8 * time.Second), "refused: overloaded"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(engines)
			var loads []dispatch.Load
			for _, s := range list {
				loads = append(loads, dispatch.Load{Key: dispatch.BackendKey(s), Long: 1, PendingPrefill: tc.backlog})
			}
			p.SetPeerLoads(tc.now, "other", loads)
			p.SetPeerQueue(tc.now, "other", dispatch.QueueReport{Work: []dispatch.LongWork{{Pending: engines * tc.backlog}}})
			profile := longProfile(154000)
			profile.HoldID = 1
			assert.Equal(t, decision(p.Place(tc.now, profile, list, nil)), tc.want)
		})
	}
}

// Guards against medium prompts that queue behind long ones while engines with short prompts have room for small
// parts.
func TestMediumSpills(t *testing.T) {
	p, list := newPlanner(1), newServers(8)
	var loads []dispatch.Load
	for i, s := range list {
		l := dispatch.Load{Key: dispatch.BackendKey(s), Short: 4}
		if i < 2 {
			l = dispatch.Load{Key: dispatch.BackendKey(s), Long: 1, PendingPrefill: 6 * time.Second}
		}
		loads = append(loads, l)
	}
	p.SetPeerLoads(start, "other", loads)
	profile := longProfile(45000)
	profile.Target = 1500 * time.Millisecond
	joint, ok := p.Place(start, profile, list, nil).(dispatch.JointPrefill)
	assert.Assert(t, ok)
	for _, s := range joint.Servers {
		assert.Assert(t, s.ID != "i-0" && s.ID != "i-1")
	}
	assert.Assert(t, joint.PartTime <= 140*time.Millisecond)
}

// Guards against a prompt that takes 22 s of engine time and is sent while engines have others before them, and against one that
// waits until no engine has short requests or shorter prompts.
func TestLongestPromptHeld(t *testing.T) {
	const pending = 2 * time.Second
	cases := map[string]struct {
		load dispatch.Load
		now  time.Time
		want string
	}{
		"idle engines":           {dispatch.Load{}, start, "sent"},
		"idle engines, too late": {dispatch.Load{}, start.Add(11 * time.Second), "refused: overloaded"},
		// 22 s of prefill, in parts of at most the target of 3 s.
		"short requests":                {dispatch.Load{Short: 3}, start, "sent to 8"},
		"short requests, not its turn":  {dispatch.Load{Short: 3, PendingPrefill: pending}, start, "held: turn"},
		"short requests, too late":      {dispatch.Load{Short: 3}, start.Add(12 * time.Second), "refused: overloaded"},
		"pending prefill":               {dispatch.Load{Long: 1, PendingPrefill: pending}, start, "held: turn"},
		"little pending prefill":        {dispatch.Load{Long: 1, PendingPrefill: 300 * time.Millisecond}, start, "sent"},
		"too late for its turn":         {dispatch.Load{Long: 1, PendingPrefill: pending}, start.Add(8500 * time.Millisecond), "refused: overloaded"},
		"too late at all":               {dispatch.Load{Long: 1, PendingPrefill: 300 * time.Millisecond}, start.Add(12 * time.Second), "refused: overloaded"},
		"engines that generate answers": {dispatch.Load{Long: 1}, start, "sent"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(20)
			var loads []dispatch.Load
			for _, s := range list {
				l := tc.load
				l.Key = dispatch.BackendKey(s)
				loads = append(loads, l)
			}
			p.SetPeerLoads(tc.now, "other", loads)
			p.SetPeerQueue(tc.now, "other", dispatch.QueueReport{Work: []dispatch.LongWork{{Pending: 20 * tc.load.PendingPrefill}}})
			place := p.Place(tc.now, longProfile(450000), list, nil)
			got := decision(place)
			if joint, ok := place.(dispatch.JointPrefill); ok && tc.load.Short > 0 {
				got = fmt.Sprintf("sent to %d", len(joint.Servers))
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

// Guards against the longest prompts if they all go to the engines with the fewest short requests, on which others already wait, until
// they cannot be done in time there.
func TestLongestPromptsSpreadOverBusyEngines(t *testing.T) {
	p, list := newPlanner(1), newServers(20)
	var loads []dispatch.Load
	for i, s := range list {
		l := dispatch.Load{Key: dispatch.BackendKey(s), Short: 6}
		if i < 8 {
			l = dispatch.Load{Key: l.Key, Short: 1, Long: 1, PendingPrefill: 2 * time.Second}
		}
		loads = append(loads, l)
	}
	p.SetPeerLoads(start, "other", loads)
	joint, ok := p.Place(start, longProfile(450000), list, nil).(dispatch.JointPrefill)
	assert.Assert(t, ok)
	assert.Assert(t, joint.Expected < 4*time.Second, "%v", joint.Expected)
}

// Guards against gateways of a large group that send long prompts to the same engines of another zone, because their last
// reports of it are old.
func TestLongPromptsByAgeOfReports(t *testing.T) {
	cases := map[string]struct {
		sameZone, otherZones time.Duration
		// own is the pending prefill of the engines in the gateway's zone; the others are idle by their last reports.
		own  time.Duration
		zone string
	}{
		"recent reports":             {23 * time.Millisecond, 23 * time.Millisecond, 100 * time.Millisecond, "z-1"},
		"old reports":                {60 * time.Millisecond, 800 * time.Millisecond, 100 * time.Millisecond, "z-0"},
		"old reports, own zone full": {60 * time.Millisecond, 800 * time.Millisecond, 400 * time.Millisecond, "z-1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := dispatch.NewPlanner("z-0"), newServers(2)
			p.SetReportIntervals(tc.sameZone, tc.otherZones)
			p.SetPeerLoads(start, "other", []dispatch.Load{{Key: dispatch.BackendKey(list[0]), Long: 1, PendingPrefill: tc.own}})
			profile := longProfile(30000)
			sent, ok := p.Place(start, profile, list, nil).(dispatch.Send)
			assert.Assert(t, ok)
			assert.Equal(t, sent.Server.Zone, tc.zone)
		})
	}
}

// Guards against short prompts that wait at engines until their callers give up, although it is known that no engine begins the
// answer before that. It does not matter whether they were sent or held before.
func TestShortRefusedAtOnce(t *testing.T) {
	const callerWait = 2400 * time.Millisecond
	full := dispatch.Load{Short: engine.Slots + 20}
	late := dispatch.Load{Short: 1, PendingPrefill: 3 * time.Second}
	free := dispatch.Load{Short: engine.Slots + 2}
	cases := map[string]struct {
		loads   []dispatch.Load
		change  func(*dispatch.RequestProfile)
		refused bool
	}{
		"all engines have long queues":   {[]dispatch.Load{full, full, full}, nil, true},
		"all engines prefill for long":   {[]dispatch.Load{late, late, late}, nil, true},
		"one engine is in time":          {[]dispatch.Load{full, late, free}, nil, false},
		"the request was held before":    {[]dispatch.Load{full, full}, func(r *dispatch.RequestProfile) { r.HoldID = 1 }, true},
		"the caller waits without limit": {[]dispatch.Load{full, full}, func(r *dispatch.RequestProfile) { r.Deadline = time.Time{} }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(len(tc.loads))
			for i := range tc.loads {
				tc.loads[i].Key = dispatch.BackendKey(list[i])
			}
			p.SetPeerLoads(start, "other", tc.loads)
			profile := shortProfile()
			profile.Deadline = start.Add(callerWait)
			if tc.change != nil {
				tc.change(&profile)
			}
			placement := p.Place(start, profile, list, nil)
			refusal, refused := placement.(dispatch.NoPlacement)
			assert.Equal(t, refused, tc.refused, "%#v", placement)
			if refused {
				assert.Equal(t, refusal.Reason, dispatch.Overloaded)
				assert.Assert(t, refusal.RetryAfter >= 500*time.Millisecond, "%v", refusal.RetryAfter)
			}
		})
	}
}

// Guards against the longest prompts if they pile up on the one or two engines without short requests and fail there, while all others
// are nearly idle but for a few short requests: on a played day 15 of them waited for one engine until their
// deadline, with a mean pending prefill of 37 ms in the fleet.
func TestLongestPromptsUseEnginesWithShortRequests(t *testing.T) {
	cases := map[string]struct {
		// free is the pending prefill of the four engines without short requests; the others have shorts of them.
		free   time.Duration
		shorts int
		// others is set if engines with short requests must be used.
		others bool
	}{
		"idle engines without short requests":        {0, 1, false},
		"engines without short requests soon free":   {300 * time.Millisecond, 1, false},
		"engines without short requests far behind":  {6 * time.Second, 1, true},
		"the same, more short requests elsewhere":    {6 * time.Second, 6, true},
		"engines without short requests out of time": {12 * time.Second, 2, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newPlanner(1), newServers(12)
			var loads []dispatch.Load
			for i, s := range list {
				l := dispatch.Load{Key: dispatch.BackendKey(s), Short: tc.shorts}
				if i < 4 {
					l = dispatch.Load{Key: dispatch.BackendKey(s), Long: 1, PendingPrefill: tc.free}
				}
				loads = append(loads, l)
			}
			p.SetPeerLoads(start, "other", loads)
			profile := longProfile(277000)
			profile.Target, profile.TargetTime, profile.Deadline = 4*time.Second, start.Add(4*time.Second), start.Add(15*time.Second)
			place := p.Place(start, profile, list, nil)
			var servers []*roster.Server
			var expected time.Duration
			switch place := place.(type) {
			case dispatch.Send:
				servers, expected = []*roster.Server{place.Server}, place.Expected
			case dispatch.JointPrefill:
				servers, expected = place.Servers, place.Expected
			case dispatch.Hold, dispatch.NoPlacement:
				t.Fatalf("not sent: %+v", place)
			}
			used := 0
			for _, s := range servers {
				if !slices.Contains(list[:4], s) {
					used++
				}
			}
			assert.Equal(t, used > 0, tc.others, "%d of %d engines have short requests", used, len(servers))
			assert.Check(t, used <= 3, "%d engines with short requests", used)
			assert.Check(t, expected <= profile.Target, "expected after %v", expected)
		})
	}
}
