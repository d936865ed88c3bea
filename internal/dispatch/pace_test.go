package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
)

const (
	paceTick = 10 * time.Millisecond
	// changeAt is when the first server changes in a paceRun.
	changeAt = 5 * time.Second
	// lostAfter is how long a gateway waits for a server that does not answer.
	lostAfter = 900 * time.Millisecond
)

var paceEngine = &route.Engine{
	Slots: 12, KVCacheTokens: 344250, PrefillRate: 154000, PrefillTimePerMillionPairs: 162 * time.Microsecond, StepsPerIteration: 38,
	StepTime: 1310 * time.Microsecond, StepTimePerSequence: 917 * time.Nanosecond, StepTimePer1000Context: 2130 * time.Nanosecond,
}

// fakeServer is a backend server that prefills one prompt after the other and then answers as many as it has slots.
type fakeServer struct {
	*roster.Server
	slow          float64
	silent        bool
	freeAt        time.Time
	inFlight, max int // max is the most in flight
	lost          int
}

type paceRequest struct {
	gateway            *dispatch.Planner
	server             *fakeServer
	id                 dispatch.PlacementID
	sentAt             time.Time
	nextEvent, endsAt  time.Time
	answered, isEngine bool
}

// paceRun plays requests of several gateways at 12 servers of 12 slots on virtual time.
type paceRun struct {
	gateways  []*dispatch.Planner
	servers   []*fakeServer
	requests  []*paceRequest
	random    *rand.Rand
	profile   dispatch.RequestProfile
	perSecond float64
	answer    time.Duration
	now       time.Time
	// sends counts the requests sent by server ID and by tenth of a second.
	sends map[string][]int
}

func newPaceRun(gateways int, profile dispatch.RequestProfile, perSecond float64, answer time.Duration) *paceRun {
	r := &paceRun{random: rand.New(rand.NewPCG(1, 9)), profile: profile, perSecond: perSecond, answer: answer, now: start, sends: map[string][]int{}}
	for i := range gateways {
		p := dispatch.NewPlanner(fmt.Sprintf("z-%d", i%3), dispatch.WithRandomSource(rand.NewPCG(7, uint64(i))), dispatch.WithPace())
		p.SetGatewayCount(gateways)
		p.SetReportIntervals(reportInterval, 5*reportInterval)
		r.gateways = append(r.gateways, p)
	}
	for _, s := range newServers(12) {
		s.Slots = 12
		s.StartedAt = start.Add(-time.Hour)
		r.servers = append(r.servers, &fakeServer{Server: s, slow: 1})
	}
	return r
}

// playUntil plays up to a time after the start.
func (r *paceRun) playUntil(end time.Duration) {
	for ; r.now.Before(start.Add(end)); r.now = r.now.Add(paceTick) {
		r.progress()
		if r.now.Sub(start)%reportInterval == 0 {
			r.report()
		}
		for expected := r.perSecond * paceTick.Seconds(); expected > 0; expected-- {
			if r.random.Float64() < expected {
				r.send(r.gateways[r.random.IntN(len(r.gateways))])
			}
		}
	}
}

func (r *paceRun) send(p *dispatch.Planner) {
	list := make([]*roster.Server, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s.Server)
	}
	profile := r.profile
	profile.Deadline = r.now.Add(10 * time.Second)
	place := p.Place(r.now, profile, list, nil)
	sent, ok := place.(dispatch.Send)
	if !ok {
		return
	}
	for _, s := range r.servers {
		if s.Server != sent.Server {
			continue
		}
		q := &paceRequest{gateway: p, server: s, id: p.RecordPlacement(r.now, profile, place), sentAt: r.now, isEngine: profile.Engine != nil}
		prefill := time.Duration(s.slow * float64(profile.PrefillTime()+20*time.Millisecond))
		if s.freeAt.Before(r.now) {
			s.freeAt = r.now
		}
		if q.isEngine {
			s.freeAt = s.freeAt.Add(prefill)
		}
		queued := max(s.inFlight-s.Slots, 0) * int(r.answer) / s.Slots
		begins := s.freeAt.Add(r.noisy(s, time.Duration(queued)))
		q.nextEvent = begins.Add(r.noisy(s, 30*time.Millisecond))
		q.endsAt = begins.Add(r.noisy(s, r.answer))
		s.inFlight++
		s.max = max(s.max, s.inFlight)
		tenth := int(r.now.Sub(start) / (100 * time.Millisecond))
		for len(r.sends[s.ID]) <= tenth {
			r.sends[s.ID] = append(r.sends[s.ID], 0)
		}
		r.sends[s.ID][tenth]++
		r.requests = append(r.requests, q)
	}
}

// noisy returns the time that a server takes for what takes d in the median, distributed log-normally.
func (r *paceRun) noisy(s *fakeServer, d time.Duration) time.Duration {
	return time.Duration(s.slow * math.Exp(0.5*r.random.NormFloat64()) * float64(d))
}

// progress passes the events that are due.
func (r *paceRun) progress() {
	left := r.requests[:0]
	for _, q := range r.requests {
		end := dispatch.Outcome(nil)
		switch {
		case q.server.silent && !q.answered && r.now.Sub(q.sentAt) >= lostAfter:
			end = dispatch.Lost{}
			q.server.lost++
		case q.server.silent:
		case !q.endsAt.After(r.now):
			end = dispatch.Answered{}
		case q.isEngine && !q.nextEvent.After(r.now):
			q.gateway.RecordProgress(r.now, q.id)
			q.answered = true
			q.nextEvent = q.nextEvent.Add(r.noisy(q.server, 60*time.Millisecond))
		}
		if end == nil {
			left = append(left, q)
			continue
		}
		q.server.inFlight--
		q.gateway.RecordEnd(r.now, q.id, end)
	}
	r.requests = left
}

// report exchanges the reports of all gateways.
func (r *paceRun) report() {
	for i, p := range r.gateways {
		loads, _ := p.Loads(r.now)
		pace := p.Pace(r.now)
		for j, other := range r.gateways {
			if i != j {
				other.SetPeerLoads(r.now, fmt.Sprint(i), loads)
				other.SetPeerPace(r.now, fmt.Sprint(i), pace)
			}
		}
	}
}

// share returns the requests sent to the first server between two times after the start, as a share of the mean of all others.
func (r *paceRun) share(from, to time.Duration) float64 {
	var first, others float64
	for i, s := range r.servers {
		counts := r.sends[s.ID]
		for tenth := int(from / (100 * time.Millisecond)); tenth < min(int(to/(100*time.Millisecond)), len(counts)); tenth++ {
			if i == 0 {
				first += float64(counts[tenth])
			} else {
				others += float64(counts[tenth]) / float64(len(r.servers)-1)
			}
		}
	}
	return first / others
}

// believers returns how many gateways count the first server as slow.
func (r *paceRun) believers() int {
	n := 0
	for _, p := range r.gateways {
		for _, s := range p.SlowServers(r.now) {
			if s.Server == r.servers[0].ID && s.Slowness > 1 {
				n++
			}
		}
	}
	return n
}

func paceProfiles() map[string]func(gateways int) *paceRun {
	return map[string]func(gateways int) *paceRun{
		"engines": func(gateways int) *paceRun {
			profile := dispatch.RequestProfile{Engine: paceEngine, Prompt: 4960, Answer: 600, Target: 250 * time.Millisecond}
			return newPaceRun(gateways, profile, 90, time.Second)
		},
		"plain servers": func(gateways int) *paceRun {
			return newPaceRun(gateways, dispatch.RequestProfile{Target: 100 * time.Millisecond}, 700, 120*time.Millisecond)
		},
	}
}

// Guards against a slow server that gets as much as the others, that is noticed late or not by all gateways, or that is avoided
// altogether, and against one that gets little after it has recovered. Load: 60 % of all slots.
func TestSlowServer(t *testing.T) {
	for name, newRun := range paceProfiles() {
		t.Run(name, func(t *testing.T) {
			r := newRun(8)
			r.playUntil(changeAt)
			assert.Equal(t, r.believers(), 0)
			before := r.share(changeAt-2*time.Second, changeAt)
			r.servers[0].slow = 4
			r.playUntil(changeAt + 1200*time.Millisecond)
			noticed := r.believers()
			r.playUntil(changeAt + 8*time.Second)
			slow := r.share(changeAt+2*time.Second, changeAt+8*time.Second)
			r.servers[0].slow = 1
			r.playUntil(changeAt + 14*time.Second)
			after := r.share(changeAt+11*time.Second, changeAt+14*time.Second)
			t.Logf("share %.2f, %.2f while slow, %.2f after; noticed by %d", before, slow, after, noticed)
			assert.Equal(t, noticed, len(r.gateways))
			assert.Assert(t, slow < 0.4 && slow > 0.02)
			assert.Assert(t, after > 0.75)
		})
	}
}

// Guards against servers that count as slow by chance, or for queues that come and go. Load: 23 gateways, 78 % of all slots.
func TestServersOfEqualSpeed(t *testing.T) {
	for name, newRun := range paceProfiles() {
		t.Run(name, func(t *testing.T) {
			r := newRun(23)
			r.perSecond *= 1.3
			n, slow := 0, 0
			for at := 2 * time.Second; at < 12*time.Second; at += 250 * time.Millisecond {
				r.playUntil(at)
				for _, p := range r.gateways {
					n, slow = n+len(r.servers), slow+len(p.SlowServers(r.now))
				}
			}
			assert.Assert(t, slow <= n*3/100, "%d of %d", slow, n)
		})
	}
}

// Guards against gateways that all send to a server which has just started, before they hear of each other, and against a server
// that stays idle for long. Load: 23 gateways, 60 % of all slots. The server starts under an ID that is known, or a new one.
func TestNewIncarnation(t *testing.T) {
	for name, newRun := range paceProfiles() {
		for _, id := range []string{"i-0", "i-new"} {
			t.Run(name+", "+id, func(t *testing.T) {
				r := newRun(23)
				r.playUntil(changeAt)
				s := *r.servers[0].Server
				s.ID, s.StartedAt = id, r.now
				r.servers[0] = &fakeServer{Server: &s, slow: 1}
				r.playUntil(changeAt + 300*time.Millisecond)
				atFirst := r.servers[0].max
				r.playUntil(changeAt + 6*time.Second)
				later := r.share(changeAt+3*time.Second, changeAt+6*time.Second)
				t.Logf("%d in flight within 300 ms, share %.2f after 3 s", atFirst, later)
				assert.Assert(t, atFirst <= 8)
				assert.Assert(t, later > 0.75)
			})
		}
	}
}

// Guards against gateways that go on sending to a server whose answers have stopped, and against one that gets its load at once, or
// only after long, when it answers again. Load: 8 gateways, 60 % of all slots. The server answers again after 4 s, and then is silent
// for 2 s of each 4 s.
func TestAnswersStop(t *testing.T) {
	for name, newRun := range paceProfiles() {
		t.Run(name, func(t *testing.T) {
			r := newRun(8)
			r.playUntil(changeAt)
			r.servers[0].silent = true
			r.playUntil(changeAt + 4*time.Second)
			probes := r.share(changeAt+2*time.Second, changeAt+4*time.Second)
			r.servers[0].silent = false
			r.playUntil(changeAt + 16*time.Second)
			after := r.share(changeAt+12*time.Second, changeAt+16*time.Second)
			lost := r.servers[0].lost
			for range 6 {
				r.servers[0].silent = !r.servers[0].silent
				r.playUntil(r.now.Sub(start) + 2*time.Second)
			}
			flapping := r.share(changeAt+18*time.Second, changeAt+28*time.Second)
			lost = r.servers[0].lost - lost
			t.Logf("share %.2f while silent, %.2f after, %.2f while flapping, %d lost then", probes, after, flapping, lost)
			assert.Assert(t, probes < 0.1)
			assert.Assert(t, after > 0.75)
			// Three times, no more than a full server is lost.
			assert.Assert(t, lost <= 3*12)
			assert.Assert(t, flapping > 0.01)
		})
	}
}

// Guards against a rate limit for cold servers that the window lifts. Load: 23 gateways with more than the cold server may get.
func TestPaceKeepsColdLimit(t *testing.T) {
	r := paceProfiles()["plain servers"](23)
	r.profile.ColdPerSecond = 26
	r.playUntil(changeAt)
	s := *r.servers[0].Server
	s.StartedAt, s.ColdUntil = r.now, r.now.Add(time.Minute)
	r.servers[0] = &fakeServer{Server: &s, slow: 1}
	r.playUntil(changeAt + 8*time.Second)
	counts := r.sends[s.ID]
	for first := int(changeAt / (100 * time.Millisecond)); first+10 <= len(counts); first++ {
		inSecond := 0
		for _, n := range counts[first : first+10] {
			inSecond += n
		}
		assert.Assert(t, inSecond <= 26+5 || first < int(changeAt/(100*time.Millisecond))+1, "%d sends in the second after %d00 ms", inSecond, first)
	}
}

// Guards against one slow answer that changes where requests go, and against a planner that forgets what it has learned itself when
// the gateway that had learned more ends.
func TestEvidenceOfOthers(t *testing.T) {
	list := newServers(2)
	answer := func(p *dispatch.Planner, now time.Time, server int, d time.Duration) {
		_ = p.Place(now, plainProfile(), list, nil)
		id := p.RecordPlacement(now, plainProfile(), dispatch.Send{Server: list[server]})
		p.RecordEnd(now.Add(d), id, dispatch.Answered{})
	}
	newGateway := func(slow int) *dispatch.Planner {
		p := dispatch.NewPlanner("z-0", dispatch.WithPace())
		for range 30 {
			answer(p, start, 1, 100*time.Millisecond)
		}
		for range slow {
			answer(p, start, 0, 400*time.Millisecond)
		}
		return p
	}
	now := start.Add(500 * time.Millisecond)
	tests := map[string]struct {
		own, others int
		at          time.Duration
		slow        bool
	}{
		"one slow answer":                     {own: 1},
		"own evidence":                        {own: 6, slow: true},
		"evidence of another gateway":         {others: 6, slow: true},
		"the other gateway has ended":         {others: 6, at: 2100 * time.Millisecond},
		"own evidence outlives another's end": {own: 30, others: 6, at: 2100 * time.Millisecond, slow: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p, other := newGateway(tc.own), newGateway(tc.others)
			p.SetPeerLoads(now, "other", nil)
			p.SetPeerPace(now, "other", other.Pace(now))
			later := now.Add(tc.at)
			_ = p.Place(later, plainProfile(), list, nil)
			assert.Equal(t, len(p.SlowServers(later)) > 0, tc.slow)
		})
	}
}
