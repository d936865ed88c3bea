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
	Slots: 16, MemoryTokens: 315000, ReadPerSecond: 177000, PairsPerMillion: 184 * time.Microsecond,
}

func servers(n int) []*roster.Server {
	var list []*roster.Server
	for i := range n {
		list = append(list, &roster.Server{
			ID: fmt.Sprintf("i-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Zone: fmt.Sprintf("z-%d", i%3), Slots: 6,
		})
	}
	return list
}

func short() dispatch.Work {
	return dispatch.Work{Engine: engine, Prompt: 5000, Answer: 1600, Target: 300 * time.Millisecond}
}

func long(tokens int64) dispatch.Work {
	return dispatch.Work{Engine: engine, Prompt: tokens, Answer: 800, Target: 3 * time.Second,
		Due: start.Add(3 * time.Second), Latest: start.Add(12 * time.Second)}
}

func plain() dispatch.Work { return dispatch.Work{Target: 100 * time.Millisecond} }

func planner(seed uint64) *dispatch.Planner {
	return dispatch.NewPlanner("z-0", dispatch.WithSource(rand.NewPCG(seed, 1)))
}

// place places and accounts for a request, and returns the backend servers it goes to.
func place(p *dispatch.Planner, w dispatch.Work, list []*roster.Server) (dispatch.Ticket, []string) {
	placement := p.Place(start, w, list, nil)
	ticket := p.Placed(start, w, placement)
	switch got := placement.(type) {
	case dispatch.Send:
		return ticket, []string{got.Server.ID}
	case dispatch.Joint:
		var ids []string
		for _, s := range got.Servers {
			ids = append(ids, s.ID)
		}
		return ticket, ids
	case dispatch.Hold, dispatch.Nowhere:
	}
	return ticket, nil
}

// Guards against backend servers that are asked again though they were tried, failed, refused, fail more than others, or
// are cold and have got what they bear.
func TestAvoided(t *testing.T) {
	fail := func(o dispatch.Outcome, times int) func(*dispatch.Planner, []*roster.Server) {
		return func(p *dispatch.Planner, list []*roster.Server) {
			for range times {
				t := p.Placed(start, plain(), dispatch.Send{Server: list[0]})
				p.Ended(start, t, o)
			}
		}
	}
	cases := map[string]struct {
		work   dispatch.Work
		act    func(*dispatch.Planner, []*roster.Server)
		after  time.Duration
		tried  []string
		reason dispatch.Reason // when the only backend server is the one that is to be avoided
		used   bool
	}{
		"sound":               {work: plain(), act: fail(dispatch.Answered{}, 5), used: true},
		"tried":               {work: plain(), tried: []string{"i-0"}, reason: dispatch.AllTried},
		"lost":                {work: plain(), act: fail(dispatch.Lost{}, 1)},
		"lost once, later":    {work: plain(), act: fail(dispatch.Lost{}, 1), after: time.Second, used: true},
		"lost often, later":   {work: plain(), act: fail(dispatch.Lost{}, 5), after: time.Second},
		"full":                {work: plain(), act: fail(dispatch.Full{}, 1)},
		"full, later":         {work: plain(), act: fail(dispatch.Full{}, 1), after: time.Second, used: true},
		"one error":           {work: plain(), act: fail(dispatch.Errored{}, 1), used: true},
		"errors":              {work: plain(), act: fail(dispatch.Errored{}, 12)},
		"callers that leave":  {work: plain(), act: fail(dispatch.Abandoned{}, 12), used: true},
		"cold, share used up": {work: dispatch.Work{ColdPerSecond: 4}, act: fail(dispatch.Answered{}, 4), reason: dispatch.AllCold},
		"cold, share left":    {work: dispatch.Work{ColdPerSecond: 4}, act: fail(dispatch.Answered{}, 3), used: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := planner(1), servers(3)
			list[0].ColdUntil = start.Add(time.Minute)
			if tc.act != nil {
				tc.act(p, list)
			}
			now, used := start.Add(tc.after), false
			for range 200 {
				if send, ok := p.Place(now, tc.work, list, tc.tried).(dispatch.Send); ok && send.Server == list[0] {
					used = true
				}
			}
			assert.Equal(t, used, tc.used)
			switch got := p.Place(now, tc.work, list[:1], tc.tried).(type) {
			case dispatch.Nowhere:
				assert.Equal(t, got.Reason, tc.reason)
				assert.Assert(t, got.RetryAfter > 0)
			default:
				assert.Equal(t, tc.reason, dispatch.Reason(""), "the last backend server is used although it is avoided")
			}
		})
	}
	_, ok := planner(1).Place(start, plain(), nil, nil).(dispatch.Nowhere)
	assert.Assert(t, ok)
}

// Guards against cold backend servers that get their whole rate from each of several gateways.
func TestColdShared(t *testing.T) {
	list := servers(1)
	list[0].ColdUntil = start.Add(time.Minute)
	p := planner(1)
	p.SetGateways(3)
	sent := 0
	for at := time.Duration(0); at < 10*time.Second; at += 20 * time.Millisecond {
		w := dispatch.Work{ColdPerSecond: 36}
		if send, ok := p.Place(start.Add(at), w, list, nil).(dispatch.Send); ok {
			p.Ended(start.Add(at), p.Placed(start.Add(at), w, send), dispatch.Answered{})
			sent++
		}
	}
	assert.Assert(t, sent > 40 && sent <= 120, "%d sends in 10 s", sent)
}

// Guards against cold backend servers that get a request from each of many gateways at once, although each may send only a
// part of one in a second.
func TestColdSharedByMany(t *testing.T) {
	list := servers(1)
	list[0].ColdUntil = start.Add(time.Minute)
	const gateways, perSecond = 300, 36
	var planners []*dispatch.Planner
	for i := range gateways {
		p := planner(uint64(i))
		p.SetGateways(gateways)
		planners = append(planners, p)
	}
	var sent []int
	for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
		n := 0
		for _, p := range planners {
			w := dispatch.Work{ColdPerSecond: perSecond}
			if send, ok := p.Place(start.Add(at), w, list, nil).(dispatch.Send); ok {
				p.Ended(start.Add(at), p.Placed(start.Add(at), w, send), dispatch.Answered{})
				n++
			}
		}
		sent = append(sent, n)
	}
	whole := 0
	for i, n := range sent {
		whole += n
		second := 0
		for _, m := range sent[max(0, i-19) : i+1] {
			second += m
		}
		assert.Assert(t, second <= perSecond*3/2, "%d sends in a second", second)
	}
	assert.Assert(t, whole > 20*perSecond*8/10, "%d sends in 20 s", whole)
}

// Guards against gateways that together keep more connections to a backend server than it accepts.
func TestIdle(t *testing.T) {
	for name, tc := range map[string]struct{ most, gateways, least int }{
		"alone":         {96, 1, 24},
		"three":         {96, 3, 8},
		"few for each":  {67, 21, 1},
		"many gateways": {190, 294, 0},
		"not stated":    {0, 21, 24},
	} {
		t.Run(name, func(t *testing.T) {
			p := planner(1)
			p.SetGateways(tc.gateways)
			idle := p.Idle(tc.most)
			assert.Assert(t, idle >= tc.least && (tc.most == 0 || idle*tc.gateways <= tc.most), "%d idle connections", idle)
		})
	}
}

// Guards against loads of a gateway that ended, which would keep its engines unused.
func TestPeersExpire(t *testing.T) {
	p, list := planner(1), servers(2)
	busy := dispatch.Load{Key: dispatch.KeyOf(list[0]), Long: 3, Unread: time.Second}
	p.SetPeer(start, "other", []dispatch.Load{busy})
	count := func(now time.Time) (n int) {
		for range 20 {
			if send, ok := p.Place(now, short(), list[:], nil).(dispatch.Send); ok && send.Server == list[0] {
				n++
			}
		}
		return n
	}
	assert.Equal(t, count(start), 0)
	assert.Equal(t, count(start.Add(3*time.Second)), 20, "its zone's engine again")
}

// Guards against sums of other gateways' loads that drift when reports replace each other, come empty or expire.
func TestToldSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, list := planner(1), servers(4)
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
					Key: dispatch.KeyOf(s), Short: rapid.IntRange(0, 2).Draw(t, "short"), Memory: int64(rapid.IntRange(0, 2).Draw(t, "memory")),
					Unread: time.Duration(rapid.IntRange(0, 2).Draw(t, "unread")) * time.Millisecond,
				})
			}
			p.SetPeer(now, gateway, loads)
			last[gateway] = report{now, loads}
			for _, s := range list {
				var want dispatch.Load
				for _, r := range last {
					for _, l := range r.loads {
						if now.Sub(r.at) <= 2*time.Second && l.Key == dispatch.KeyOf(s) {
							want.Short += l.Short
							want.Memory += l.Memory
							want.Unread += l.Unread
						}
					}
				}
				send, ok := p.Place(now, short(), []*roster.Server{s}, nil).(dispatch.Send)
				assert.Assert(t, ok)
				want.Key = send.Seen.Key
				assert.DeepEqual(t, send.Seen, want)
			}
		}
	})
}

// Guards against counts that drift: whatever happens to requests, nothing stays counted after their end, and no count is
// negative meanwhile.
func TestCountsHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, list := planner(rapid.Uint64().Draw(t, "seed")), servers(6)
		var open []dispatch.Ticket
		outcomes := []dispatch.Outcome{dispatch.Answered{}, dispatch.Errored{}, dispatch.Full{}, dispatch.Lost{}, dispatch.Abandoned{}}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				w := rapid.SampledFrom([]dispatch.Work{short(), long(45000), long(400000), plain()}).Draw(t, "work")
				w.Due, w.Latest = now.Add(w.Target), now.Add(4*w.Target)
				placement := p.Place(now, w, list, nil)
				if ticket := p.Placed(now, w, placement); ticket != 0 {
					open = append(open, ticket)
				}
			case 2:
				if len(open) > 0 {
					p.Progress(now, open[0])
				}
			case 3:
				if len(open) > 0 {
					p.Ended(now, open[0], rapid.SampledFrom(outcomes).Draw(t, "outcome"))
					p.Ended(now, open[0], dispatch.Lost{})
					open = open[1:]
				}
			}
			loads, _ := p.Loads(now)
			for _, l := range loads {
				assert.Assert(t, l.Short >= 0 && l.Long >= 0 && l.Unread >= 0 && l.Memory >= 0, "%+v", l)
			}
		}
		for _, ticket := range open {
			p.Ended(now, ticket, dispatch.Answered{})
		}
		loads, _ := p.Loads(now.Add(time.Minute))
		assert.Equal(t, len(loads), 0, "%+v", loads)
	})
}
