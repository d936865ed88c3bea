package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
)

// zoneAnswerTime is how long an engine of a zoneRun generates an answer.
const zoneAnswerTime = 2400 * time.Millisecond

// zoneLoad describes short prompts that arrive at the gateways of one zone.
type zoneLoad struct {
	gateways, engines int
	// share is the share of the engines' slots that the requests use in the mean.
	share float64
	// reportInterval is the time between two reports of a gateway, reportsFrom the time of the first ones.
	reportInterval, reportsFrom time.Duration
	// returning is the number of callers that send again in the first half second, as a share of the slots.
	returning float64
	// joining is the time in which the gateways probably do not know all others.
	joining, length time.Duration
}

// zoneRequest is a request that an engine answers.
type zoneRequest struct {
	gateway *dispatch.Planner
	id      dispatch.PlacementID
	server  string
	endsAt  time.Time
}

// zoneRun plays a zoneLoad on virtual time and counts the requests that wait for a slot.
type zoneRun struct {
	zoneLoad
	random   *rand.Rand
	servers  []*roster.Server
	planners []*dispatch.Planner
	requests []zoneRequest
	counts   map[string]int
	// ran and queued are sums over all ticks; largest is the largest number of requests at one engine.
	ran, queued, largest int
}

func newZoneRun(load zoneLoad, seed uint64) *zoneRun {
	r := &zoneRun{zoneLoad: load, random: rand.New(rand.NewPCG(seed, 5)), servers: newServers(3 * load.engines), counts: map[string]int{}}
	for i := range load.gateways {
		p := dispatch.NewPlanner("z-0", dispatch.WithRandomSource(rand.NewPCG(seed, uint64(i))))
		p.SetReportIntervals(load.reportInterval, load.reportInterval)
		r.planners = append(r.planners, p)
	}
	return r
}

func (r *zoneRun) play() {
	const tick, returnTime = 5 * time.Millisecond, 500 * time.Millisecond
	slots := float64(r.engines * engine.Slots)
	perTick := r.share * slots * float64(tick) / float64(zoneAnswerTime)
	returningPerTick := r.returning * slots * float64(tick) / float64(returnTime)
	for now := start; now.Before(start.Add(r.length)); now = now.Add(tick) {
		r.finish(now)
		if since := now.Sub(start); since >= r.reportsFrom && since%r.reportInterval < tick {
			r.report(now)
		}
		for _, p := range r.planners {
			p.SetJoining(now.Before(start.Add(r.joining)))
		}
		arrivals := perTick
		if now.Before(start.Add(returnTime)) {
			arrivals += returningPerTick
		}
		for ; arrivals > 0 && r.random.Float64() < arrivals; arrivals-- {
			r.send(now)
		}
		r.count()
	}
}

func (r *zoneRun) send(now time.Time) {
	p := r.planners[r.random.IntN(len(r.planners))]
	send, ok := p.Place(now, shortProfile(), r.servers, nil).(dispatch.Send)
	if !ok {
		return
	}
	id := p.RecordPlacement(now, shortProfile(), send)
	p.RecordProgress(now, id)
	r.requests = append(r.requests, zoneRequest{p, id, send.Server.ID, now.Add(zoneAnswerTime)})
	r.counts[send.Server.ID]++
}

func (r *zoneRun) finish(now time.Time) {
	r.requests = slices.DeleteFunc(r.requests, func(q zoneRequest) bool {
		ended := !now.Before(q.endsAt)
		if ended {
			r.counts[q.server]--
			q.gateway.RecordEnd(now, q.id, dispatch.Answered{})
		}
		return ended
	})
}

func (r *zoneRun) report(now time.Time) {
	for i, from := range r.planners {
		loads, _ := from.Loads(now)
		for j, to := range r.planners {
			if i != j {
				to.SetPeerLoads(now, fmt.Sprint(i), loads)
			}
		}
	}
}

func (r *zoneRun) count() {
	r.ran += len(r.requests)
	for _, count := range r.counts {
		r.queued += max(count-engine.Slots, 0)
		r.largest = max(r.largest, count)
	}
}

// checkQueued plays a load with some seeds and checks the share of the requests that wait for a slot, and the largest
// number at one engine.
func checkQueued(t *testing.T, load zoneLoad, maxShare float64, maxRequests int) {
	for seed := range uint64(2) {
		r := newZoneRun(load, seed)
		r.play()
		share := float64(r.queued) / float64(r.ran)
		t.Logf("seed %d: %.3f of the requests queued, at most %d at one engine", seed, share, r.largest)
		assert.Check(t, share <= maxShare, "seed %d: %.3f queued", seed, share)
		assert.Check(t, r.largest <= maxRequests, "seed %d: %d at one engine", seed, r.largest)
	}
}

// Guards against gateways that start together under load and each pack short prompts on engines of their choice before
// they know of each other: on a played day some engines then held up to 60 requests for 10 slots while others were idle.
func TestRestartUnderLoad(t *testing.T) {
	cases := map[string]zoneLoad{
		"small zone":            {gateways: 4, engines: 7, reportInterval: 25 * time.Millisecond, reportsFrom: 200 * time.Millisecond},
		"large zone":            {gateways: 20, engines: 34, reportInterval: 55 * time.Millisecond, reportsFrom: 600 * time.Millisecond},
		"large zone, late news": {gateways: 20, engines: 34, reportInterval: 55 * time.Millisecond, reportsFrom: 1500 * time.Millisecond},
		"zone of 60 gateways":   {gateways: 60, engines: 100, reportInterval: 310 * time.Millisecond, reportsFrom: 930 * time.Millisecond},
	}
	for name, load := range cases {
		t.Run(name, func(t *testing.T) {
			load.share, load.returning, load.joining, load.length = 0.7, 0.4, 2*time.Second, 2*time.Second
			checkQueued(t, load, 0.05, 2*engine.Slots)
		})
	}
}

// Guards against gateways that hear the same late reports and all send to the engine that these show as the least loaded:
// in a zone of 60 gateways up to 118 requests were sent to one engine with 16 slots.
func TestPackingByLateReports(t *testing.T) {
	cases := map[string]zoneLoad{
		"zone of 6 gateways":  {gateways: 6, engines: 10, reportInterval: 25 * time.Millisecond},
		"zone of 20 gateways": {gateways: 20, engines: 34, reportInterval: 55 * time.Millisecond},
		"zone of 60 gateways": {gateways: 60, engines: 100, reportInterval: 310 * time.Millisecond},
	}
	for name, load := range cases {
		for _, share := range []float64{0.6, 0.8} {
			t.Run(fmt.Sprintf("%s, %.1f of the slots", name, share), func(t *testing.T) {
				load.share, load.length = share, 4*time.Second
				checkQueued(t, load, 0.05, 2*engine.Slots)
			})
		}
	}
}

// Guards against calls of plain services that go to another zone for nothing: the way there and back takes as long as the wait
// behind one more request here.
func TestPlainCallsAcrossZones(t *testing.T) {
	cases := map[string]struct {
		own, elsewhere int // requests at the servers of the gateway's zone and of others
		inZone         bool
	}{
		"idle":                    {0, 0, true},
		"one less elsewhere":      {3, 2, true},
		"full, one less there":    {6, 5, true},
		"two less elsewhere":      {4, 2, false},
		"full, others are idle":   {6, 0, false},
		"more requests elsewhere": {2, 5, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				p, list := newPlanner(seed), newServers(6)
				var loads []dispatch.Load
				for _, s := range list {
					l := dispatch.Load{Key: dispatch.BackendKey(s), Short: tc.elsewhere}
					if s.Zone == "z-0" {
						l.Short = tc.own
					}
					loads = append(loads, l)
				}
				p.SetPeerLoads(start, "other", loads)
				send, ok := p.Place(start, plainProfile(), list, nil).(dispatch.Send)
				assert.Assert(t, ok)
				assert.Equal(t, send.Server.Zone == "z-0", tc.inZone, "seed %d: %s", seed, send.Server.Zone)
			}
		})
	}
}
