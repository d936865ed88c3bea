package dispatch_test

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
)

const (
	overloadTick     = 20 * time.Millisecond
	overloadDuration = time.Minute
	// reportInterval is the time between two reports of a gateway.
	reportInterval = 60 * time.Millisecond
	// answerTime is how long an engine generates an answer after the prefill.
	answerTime = time.Second
	// meanLongPrefill is the mean prefill time of the long prompts of an overload.
	meanLongPrefill = 7100 * time.Millisecond
)

var (
	overloadSeeds     = flag.Uint64("overload-seeds", 2, "number of seeds of the overload tests")
	firstOverloadSeed = flag.Uint64("first-overload-seed", 1, "first seed of the overload tests")
)

// overload describes prompts of very different lengths that arrive at several gateways.
type overload struct {
	engines, gateways int
	// load is the prefill of the long prompts that arrive in a second, as a share of what all engines prefill in one.
	load float64
	// shortPerSecond is the rate of short prompts.
	shortPerSecond float64
	// lostEngines leave after a third of the time.
	lostEngines int
	// burst multiplies the load from burstStart to burstEnd; zero means that there is no burst.
	burst                float64
	burstStart, burstEnd time.Duration
	// duration is how long callers arrive; zero means overloadDuration.
	duration time.Duration
	// ranked makes short prompts more urgent than long ones.
	ranked bool
	// shortBurst multiplies shortPerSecond from burstStart to burstEnd; zero means that there is no such burst.
	shortBurst float64
	// joining is how long the gateways do not know each other after the start.
	joining time.Duration
	// slowdown multiplies the time that engines take to prefill, compared with what planners expect; zero means 1.
	slowdown float64
	// workspaces is the number of workspaces that send equal parts of the long prompts; zero means that there is only one. With more,
	// burst multiplies the load of the first of them.
	workspaces int
	// deaf means that gateways do not hear each other.
	deaf bool
}

// length returns how long callers arrive.
func (o overload) length() time.Duration { return cmp.Or(o.duration, overloadDuration) }

// loadAt returns the load of long prompts at a time after the start.
func (o overload) loadAt(elapsed time.Duration) float64 {
	if o.burst > 0 && elapsed >= o.burstStart && elapsed < o.burstEnd {
		return o.load * (1 + (o.burst-1)/float64(max(o.workspaces, 1)))
	}
	return o.load
}

// shortRateAt returns the rate of short prompts at a time after the start.
func (o overload) shortRateAt(elapsed time.Duration) float64 {
	if o.shortBurst > 0 && elapsed >= o.burstStart && elapsed < o.burstEnd {
		return o.shortPerSecond * o.shortBurst
	}
	return o.shortPerSecond
}

// caller sends one prompt, and sends it once more after it was refused.
type caller struct {
	gateway *dispatch.Planner
	profile dispatch.RequestProfile
	nextTry time.Time
	served  bool
	// prefilledAt is when the prompt was prefilled; zero if it was not sent.
	prefilledAt time.Time
	// refusedAfter holds how long the prompt was held before each refusal.
	refusedAfter []time.Duration
}

// sentPrompt is a prompt that engines prefill and answer.
type sentPrompt struct {
	caller                *caller
	id                    dispatch.PlacementID
	prefilledAt, endsAt   time.Time
	prefillDone, finished bool
}

// overloadRun plays an overload on virtual time.
type overloadRun struct {
	overload
	random   *rand.Rand
	planners []*dispatch.Planner
	servers  []*roster.Server
	freeAt   map[string]time.Time // when an engine has prefilled all that was sent to it
	waiting  []*caller
	sent     []*sentPrompt
	long     []*caller
	short    []*caller
}

func newOverloadRun(o overload, seed uint64) *overloadRun {
	r := &overloadRun{overload: o, random: rand.New(rand.NewPCG(seed, 7)), servers: newServers(o.engines), freeAt: map[string]time.Time{}}
	for i := range o.gateways {
		p := dispatch.NewPlanner(fmt.Sprintf("z-%d", i%3), dispatch.WithRandomSource(rand.NewPCG(seed, uint64(i))))
		p.SetGatewayCount(o.gateways)
		p.SetJoining(o.joining > 0)
		r.planners = append(r.planners, p)
	}
	return r
}

func (r *overloadRun) play() {
	end := start.Add(r.length())
	for now := start; now.Before(end.Add(30 * time.Second)); now = now.Add(overloadTick) {
		if now.Before(end) {
			r.arrive(now)
		}
		if r.lostEngines > 0 && now.Equal(start.Add(r.length()/3)) {
			r.servers = r.servers[r.lostEngines:]
		}
		r.finish(now)
		if now.Sub(start)%reportInterval == 0 && now.Sub(start) >= r.joining && !r.deaf {
			r.report(now)
		}
		if r.joining > 0 && now.Equal(start.Add(r.joining)) {
			for _, p := range r.planners {
				p.SetJoining(false)
			}
		}
		r.tryAll(now)
	}
}

// arrive adds the callers of one tick. The lengths of long prompts are distributed log-normally.
func (r *overloadRun) arrive(now time.Time) {
	perTick := overloadTick.Seconds()
	longRate := r.loadAt(now.Sub(start)) * float64(r.engines) / meanLongPrefill.Seconds()
	if r.random.Float64() < longRate*perTick {
		tokens := min(int64(193_000*math.Exp(0.52*r.random.NormFloat64())), 700_000)
		profile := dispatch.RequestProfile{Engine: engine, Prompt: tokens, Answer: 800, Target: 4 * time.Second}
		if r.ranked {
			profile.Rank, profile.Ranks = 1, route.RankRange{Most: 0, Least: 1}
		}
		if r.workspaces > 0 {
			profile.Workspace = r.drawWorkspace(now.Sub(start), len(r.long))
		}
		r.long = append(r.long, r.newCaller(now, profile, 15*time.Second))
	}
	for expected := r.shortRateAt(now.Sub(start)) * perTick; expected > 0; expected-- {
		if r.random.Float64() < expected {
			profile := shortProfile()
			if r.ranked {
				profile.Ranks = route.RankRange{Most: 0, Least: 1}
			}
			r.short = append(r.short, r.newCaller(now, profile, 10*time.Second))
		}
	}
}

func (r *overloadRun) newCaller(now time.Time, profile dispatch.RequestProfile, timeout time.Duration) *caller {
	c := &caller{profile: profile}
	c.send(now, r.planners[r.random.IntN(len(r.planners))], timeout)
	r.waiting = append(r.waiting, c)
	return c
}

// send sends the prompt to a gateway, for the first time or again.
func (c *caller) send(now time.Time, gateway *dispatch.Planner, timeout time.Duration) {
	c.gateway, c.nextTry = gateway, now
	c.profile.TargetTime, c.profile.Deadline, c.profile.HoldID = now.Add(c.profile.Target), now.Add(timeout), 0
}

// tryAll places the prompts that wait.
func (r *overloadRun) tryAll(now time.Time) {
	callers := r.waiting
	r.waiting = nil
	for _, c := range callers {
		if now.Before(c.nextTry) || !r.try(now, c) {
			r.waiting = append(r.waiting, c)
		}
	}
}

// try places a prompt, and reports whether its caller has nothing left to wait for.
func (r *overloadRun) try(now time.Time, c *caller) bool {
	placement := c.gateway.Place(now, c.profile, r.servers, nil)
	id := c.gateway.RecordPlacement(now, c.profile, placement)
	switch p := placement.(type) {
	case dispatch.Hold:
		c.nextTry, c.profile.HoldID = now.Add(p.Delay), c.gateway.RecordHold(now, c.profile, p)
		return false
	case dispatch.NoPlacement:
		c.gateway.EndHold(c.profile.HoldID)
		c.refusedAfter = append(c.refusedAfter, now.Add(c.profile.Target).Sub(c.profile.TargetTime))
		if len(c.refusedAfter) > 1 {
			return true
		}
		c.send(now.Add(p.RetryAfter), r.planners[r.random.IntN(len(r.planners))], c.profile.Deadline.Sub(c.profile.TargetTime)+c.profile.Target)
		return false
	case dispatch.Send:
		r.prefill(now, c, id, c.profile.PrefillTime(), p.Server)
	case dispatch.JointPrefill:
		r.prefill(now, c, id, p.PartTime, p.Servers...)
	}
	return true
}

func (r *overloadRun) prefill(now time.Time, c *caller, id dispatch.PlacementID, part time.Duration, servers ...*roster.Server) {
	c.gateway.EndHold(c.profile.HoldID)
	done := now
	for _, s := range servers {
		free := r.freeAt[s.ID]
		if free.Before(now) {
			free = now
		}
		r.freeAt[s.ID] = free.Add(seconds(part.Seconds() * cmp.Or(r.slowdown, 1)))
		if done.Before(r.freeAt[s.ID]) {
			done = r.freeAt[s.ID]
		}
	}
	c.served, c.prefilledAt = done.Before(c.profile.Deadline), done
	r.sent = append(r.sent, &sentPrompt{caller: c, id: id, prefilledAt: done, endsAt: done.Add(answerTime)})
}

// finish reports the first events and the ends of answers to the planners.
func (r *overloadRun) finish(now time.Time) {
	for _, s := range r.sent {
		if !s.prefillDone && !now.Before(s.prefilledAt) {
			s.prefillDone = true
			s.caller.gateway.RecordProgress(now, s.id)
		}
		if !now.Before(s.endsAt) {
			s.finished = true
			s.caller.gateway.RecordEnd(now, s.id, dispatch.Answered{})
		}
	}
	r.sent = slices.DeleteFunc(r.sent, func(s *sentPrompt) bool { return s.finished })
}

// report passes the loads of each planner to all others.
func (r *overloadRun) report(now time.Time) {
	for i, from := range r.planners {
		loads, _ := from.Loads(now)
		queue := from.Queue(now)
		for j, to := range r.planners {
			if i != j {
				to.SetPeerLoads(now, fmt.Sprint(i), loads)
				to.SetPeerQueue(now, fmt.Sprint(i), queue)
			}
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// servedShare returns the share of the callers that were served.
func servedShare(callers []*caller) float64 {
	served := 0
	for _, c := range callers {
		if c.served {
			served++
		}
	}
	return float64(served) / float64(len(callers))
}

// overloads are the cases of an overload that lasts.
var overloads = map[string]overload{
	"at capacity":           {engines: 24, gateways: 5, load: 1, shortPerSecond: 10},
	"half above capacity":   {engines: 24, gateways: 5, load: 1.5},
	"twice the capacity":    {engines: 24, gateways: 5, load: 2},
	"many gateways":         {engines: 24, gateways: 12, load: 1.2},
	"one gateway":           {engines: 24, gateways: 1, load: 1.2},
	"a third of them lost":  {engines: 36, gateways: 5, load: 0.8, lostEngines: 12},
	"beside short requests": {engines: 24, gateways: 5, load: 0.8, shortPerSecond: 60},
}

// playOverload returns the callers of long prompts of all seeds.
func playOverload(o overload) []*caller {
	var long []*caller
	for seed := range *overloadSeeds {
		r := newOverloadRun(o, *firstOverloadSeed+seed)
		r.play()
		long = append(long, r.long...)
	}
	return long
}

// Guards against an overload in which the long prompts that are refused are always the longest, however long they wait
// and however often they return.
func TestRefusedLongPromptsAreTheLongest(t *testing.T) {
	for name, o := range overloads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			long := playOverload(o)
			slices.SortFunc(long, func(a, b *caller) int { return cmp.Compare(b.profile.Prompt, a.profile.Prompt) })
			n := len(long)
			all, tenth, fifth := servedShare(long), servedShare(long[:n/10]), servedShare(long[n/10:n/10+n/5])
			t.Logf("%d prompts: all %.2f, largest tenth %.2f, fifth below %.2f", n, all, tenth, fifth)
			assert.Check(t, tenth >= 0.7*all, "largest tenth: %.2f of %.2f", tenth, all)
			assert.Check(t, fifth >= 0.8*all, "fifth below: %.2f of %.2f", fifth, all)
		})
	}
}

// Guards against prompts that cannot be served and are told so only after they have been held.
func TestRefusedAtOnce(t *testing.T) {
	for name, o := range overloads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			long := playOverload(o)
			var refusedAfter []time.Duration
			for _, c := range long {
				refusedAfter = append(refusedAfter, c.refusedAfter...)
			}
			if len(refusedAfter) == 0 {
				return
			}
			slices.Sort(refusedAfter)
			atOnce, _ := slices.BinarySearch(refusedAfter, overloadTick+1)
			late, n := len(refusedAfter)-atOnce, len(long)
			t.Logf("%d refused, %d of them after they were held", len(refusedAfter), late)
			assert.Check(t, refusedAfter[len(refusedAfter)/2] <= overloadTick, "median %v", refusedAfter[len(refusedAfter)/2])
			assert.Check(t, late <= max(len(refusedAfter)/5, n/100), "%d of %d refusals of %d prompts are late", late, len(refusedAfter), n)
		})
	}
}
