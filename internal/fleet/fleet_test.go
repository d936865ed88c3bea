package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"berylward.example/berylward/pkg/answer"
)

var start = time.Unix(1_800_000_000, 0)

func engines(n, zones int) []Instance {
	list := make([]Instance, n)
	for i := range list {
		zone := i % zones
		list[i] = Instance{Name: fmt.Sprintf("engine-%04d", i), Zone: fmt.Sprintf("zone-%d", zone),
			Region: fmt.Sprintf("region-%d", zone/2), Role: RoleEngine, Models: []string{"m"}}
	}
	return list
}

func entries(n, zones int) []Instance {
	list := make([]Instance, n)
	for i := range list {
		zone := i % zones
		list[i] = Instance{Name: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprintf("zone-%d", zone),
			Region: fmt.Sprintf("region-%d", zone/2), Role: RoleEntry}
	}
	return list
}

// newView returns a view that is linked to its subset, or to all workers when all is set.
func newView(list []Instance, all bool, options ...Option) *View {
	v := NewView(Instance{Name: "entry-0000", Zone: "zone-0", Region: "region-0", Role: RoleEntry}, rand.NewPCG(1, 2), options...)
	v.Update(start, list)
	names := v.Subset()
	if all {
		names = nil
		for _, i := range list {
			names = append(names, i.Name)
		}
	}
	for _, name := range names {
		v.LinkUp(start, name)
	}
	return v
}

func requestID(n int) answer.ID { return answer.ID{Sequence: uint64(n), Attempt: 1} }

// TestChoose guards against choosing a worker that must not get work, and against a wait beyond the request's deadline.
func TestChoose(t *testing.T) {
	req := Request{Model: "m", Tokens: 1000, Deadline: start.Add(10 * time.Second)}
	with := func(change func(*Request)) Request { r := req; change(&r); return r }
	tests := map[string]struct {
		workers int
		setup   func(*View)
		req     Request
		want    Choice
	}{
		"short prompt does not wait for its prefix": {workers: 2, setup: withCachedPrefix(0.1), req: with(func(r *Request) { r.Prefix = []uint64{1, 2} }), want: SendOffer{"engine-0001"}},
		"long prompt waits for its prefix":          {workers: 2, setup: withCachedPrefix(0.1), req: with(func(r *Request) { r.Prefix, r.Tokens = []uint64{1, 2}, 50_000 }), want: SendOffer{"engine-0000"}},
		"popular prefix uses another worker":        {workers: 2, setup: withCachedPrefix(1), req: with(func(r *Request) { r.Prefix, r.Tokens = []uint64{1, 2}, 500_000 }), want: SendOffer{"engine-0001"}},
		"engine cache lost":                         {workers: 2, setup: func(v *View) { withCachedPrefix(0.1)(v); v.workers["engine-0000"].cacheEpoch++ }, req: with(func(r *Request) { r.Prefix, r.Tokens = []uint64{1, 2}, 5000 }), want: SendOffer{"engine-0001"}},
		"single queue waits": {workers: 1, setup: func(v *View) { v.policy = SingleQueue{}; v.Sent(start, requestID(1), "engine-0000", Request{}) },
			req: req, want: Wait{start.Add(queueWait)}},
		"only worker":                      {workers: 1, req: req, want: SendOffer{"engine-0000"}},
		"already tried":                    {workers: 2, req: with(func(r *Request) { r.TriedWorkers = []string{"engine-0000"} }), want: SendOffer{"engine-0001"}},
		"all tried":                        {workers: 1, req: with(func(r *Request) { r.TriedWorkers = []string{"engine-0000"} }), want: Reject{answer.ReasonNoWorker}},
		"model without workers":            {workers: 2, req: with(func(r *Request) { r.Model = "x" }), want: Reject{answer.ReasonNotServed}},
		"past deadline":                    {workers: 1, req: with(func(r *Request) { r.Deadline = start }), want: Reject{answer.ReasonDeadline}},
		"quarantined":                      {workers: 1, req: with(func(r *Request) { r.SuspectState = Quarantined }), want: Reject{answer.ReasonQuarantined}},
		"zone taken out":                   {workers: 2, setup: func(v *View) { v.SetZonesOut([]string{"zone-0"}) }, req: req, want: SendOffer{"engine-0001"}},
		"draining":                         {workers: 2, setup: func(v *View) { v.Report(start, "engine-0001", Report{Status: StatusDraining}) }, req: req, want: SendOffer{"engine-0000"}},
		"link lost":                        {workers: 1, setup: func(v *View) { v.LinkDown(start, "engine-0000") }, req: req, want: Wait{start.Add(linkWait)}},
		"isolated request waits":           {workers: 1, setup: func(v *View) { v.Sent(start, requestID(1), "engine-0000", Request{SuspectState: Isolated}) }, req: with(func(r *Request) { r.SuspectState = Isolated }), want: Wait{start.Add(linkWait)}},
		"retry hint":                       {workers: 1, setup: withRefusal(time.Second, 1000), req: req, want: Wait{start.Add(time.Second)}},
		"retry hint beyond deadline":       {workers: 1, setup: withRefusal(20*time.Second, 1000), req: req, want: Reject{answer.ReasonOverloaded}},
		"smaller than the refused request": {workers: 1, setup: withRefusal(time.Second, 9000), req: req, want: SendOffer{"engine-0000"}},
		"loads reset after a pause":        {workers: 1, setup: func(v *View) { withRefusal(time.Second, 1000)(v); v.ResetLoads(start) }, req: req, want: SendOffer{"engine-0000"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView(engines(tt.workers, 3), true)
			if tt.setup != nil {
				tt.setup(v)
			}
			assert.Equal(t, v.Choose(start, tt.req), tt.want)
		})
	}
}

// withCachedPrefix records that engine-0000 holds the prefixes 1 and 2 and has the given fullness.
func withCachedPrefix(fullness float64) func(*View) {
	return func(v *View) {
		v.PrefixCached(start, "engine-0000", 1)
		v.PrefixCached(start, "engine-0000", 2)
		v.Report(start, "engine-0000", Report{Status: StatusServing, Window: 100_000, Fullness: fullness})
		v.Report(start, "engine-0001", Report{Status: StatusServing, Window: 100_000})
	}
}

// TestEstimate guards against load estimates that ignore a message, count an attempt twice, or never decay.
func TestEstimate(t *testing.T) {
	id, req := requestID(1), Request{Tokens: 50_000, Prefix: []uint64{1, 2}}
	report := func(v *View, fullness float64) {
		v.Report(start, "engine-0000", Report{Status: StatusServing, Window: 100_000, Fullness: fullness})
	}
	sent := func(v *View) { v.Sent(start, id, "engine-0000", req) }
	tests := map[string]struct {
		setup     func(*View)
		after     time.Duration
		low, high float64
	}{
		"report":               {func(v *View) { report(v, 0.3) }, 0, 0.3, 0.3},
		"sent after report":    {func(v *View) { report(v, 0.3); sent(v) }, 0, 0.8, 0.8},
		"in flight at report":  {func(v *View) { sent(v); report(v, 0.3) }, 0, 0.8, 0.8},
		"granted, then report": {func(v *View) { sent(v); v.Granted(start, id); report(v, 0.6) }, 0, 0.6, 0.6},
		"ended after report": {func(v *View) {
			sent(v)
			v.Granted(start, id)
			report(v, 0.6)
			v.Ended(start, id, answer.Done{}, answer.Usage{})
		}, 0, 0.1, 0.1},
		"ended before report":                {func(v *View) { report(v, 0.3); sent(v); v.Ended(start, id, answer.Done{}, answer.Usage{}) }, 0, 0.3, 0.3},
		"grant lowers the estimate":          {func(v *View) { report(v, 3); sent(v); v.Granted(start, id) }, 0, maxLoadAfterGrant + 0.5, maxLoadAfterGrant + 0.5},
		"queue position raises the estimate": {func(v *View) { report(v, 0.3); sent(v); v.Queued(start, id, 4) }, 0, 1.5, 2},
		"refusal raises the estimate":        {func(v *View) { report(v, 0.3); sent(v); v.Refused(start, id, Refusal{Reason: answer.ReasonOverloaded}) }, 0, 1, 1},
		"refusal with fullness":              {func(v *View) { sent(v); v.Refused(start, id, Refusal{Reason: answer.ReasonOverloaded, Fullness: 1.7}) }, 0, 1.7, 1.7},
		"own attempts remain":                {func(v *View) { report(v, 0); sent(v) }, time.Hour, 0.5, 1},
		"cached tokens are not counted":      {func(v *View) { withCachedPrefix(0)(v); sent(v) }, 0, 0, 0.01},
		"full worker decays to the mean": {func(v *View) {
			for range 99 {
				v.Report(start, "engine-0001", Report{Status: StatusServing, Fullness: 0.2})
			}
			report(v, 2)
		}, time.Minute, 0.1, 0.4},
		// With equal half-lives, every entry sent its requests to the worker that had reported idle last.
		"idle worker decays slowly": {func(v *View) {
			for range 99 {
				v.Report(start, "engine-0001", Report{Status: StatusServing, Fullness: 1})
			}
			report(v, 0)
		}, 5 * time.Second, 0, 0.1},
		"loads reset after a pause": {func(v *View) { report(v, 3); v.ResetLoads(start) }, 0, defaultLoad, defaultLoad},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView(engines(2, 1), true)
			tt.setup(v)
			got := v.workers["engine-0000"].estimate(start.Add(tt.after), v.fleetMean.value())
			assert.Assert(t, got >= tt.low-1e-9 && got <= tt.high+1e-9, "%v, want %v to %v", got, tt.low, tt.high)
		})
	}
}

// TestPrefixHashes guards against different hashes for prompts with a common prefix, and against chains of unlimited
// length.
func TestPrefixHashes(t *testing.T) {
	text := make([]byte, 6<<20)
	for i := range text {
		text[i] = byte(i >> 9)
	}
	tests := map[string]struct{ bytes, hashes int }{
		"less than a block": {PrefixBlock - len("a question") - 1, 0}, "one block": {PrefixBlock, 1}, "one block apart": {16*PrefixBlock + 1, 16},
		"first larger step": {18 * PrefixBlock, 17}, "longest chain": {4 << 20, MaxPrefixHashes}, "beyond the longest chain": {6 << 20, MaxPrefixHashes},
	}
	whole := PrefixHashes(text)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := PrefixHashes(append(slices.Clone(text[:tt.bytes]), "a question"...))
			assert.Equal(t, len(got), tt.hashes)
			assert.Assert(t, slices.Equal(got, whole[:tt.hashes]))
		})
	}
	for i := denseHashes; i < MaxPrefixHashes; i++ {
		assert.Assert(t, (PrefixBytes(i)-PrefixBytes(i-1))*8 <= PrefixBytes(i-1), "step at %d", i)
	}
}

func withRefusal(after time.Duration, tokens int64) func(*View) {
	return func(v *View) {
		v.Sent(start, requestID(1), "engine-0000", Request{Tokens: tokens})
		v.Refused(start, requestID(1), Refusal{Reason: answer.ReasonOverloaded, RetryAfter: after})
	}
}

// TestChooseOnlyAvailableWorkers guards against choosing a worker that is draining, already tried, not linked or in a
// zone taken out, for any order of events and any policy. Also guards against in-flight totals that do not return to
// zero.
func TestChooseOnlyAvailableWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Affinity{}, Random{}, RoundRobin{}, LeastRequests{}, SingleQueue{}}).Draw(t, "policy")
		list := engines(rapid.IntRange(1, 9).Draw(t, "workers"), 3)
		v := newView(list, true, WithPolicy(policy))
		linked, draining, out := map[string]bool{}, map[string]bool{}, ""
		for _, i := range list {
			linked[i.Name] = true
		}
		now, sent := start, map[int]string{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(list).Draw(t, "worker").Name
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				linked[name] = !linked[name]
				v.setLinked(name, linked[name])
			case 1:
				draining[name] = !draining[name]
				status := map[bool]Status{true: StatusDraining, false: StatusServing}[draining[name]]
				v.Report(now, name, Report{Status: status, Window: 50_000, Fullness: rapid.Float64Range(0, 2).Draw(t, "fullness")})
			case 2:
				out = rapid.SampledFrom([]string{"", "zone-0", "zone-1"}).Draw(t, "out")
				v.SetZonesOut([]string{out})
			case 3:
				v.ResetLoads(now)
			}
			req := Request{Model: "m", Tokens: rapid.Int64Range(0, 99_999).Draw(t, "tokens"), Deadline: now.Add(time.Minute),
				Prefix: []uint64{1, 2, 3, uint64(step % 3)}, TriedWorkers: []string{rapid.SampledFrom(list).Draw(t, "tried").Name}}
			c := v.Choose(now, req)
			offer, ok := c.(SendOffer)
			if wait, isWait := c.(Wait); isWait && (!wait.Until.After(now) || !wait.Until.Before(req.Deadline)) {
				t.Fatalf("wait until %v at %v", wait.Until, now)
			}
			if !ok {
				continue
			}
			if !linked[offer.Worker] || draining[offer.Worker] || offer.Worker == req.TriedWorkers[0] || v.workers[offer.Worker].Zone == out {
				t.Fatalf("offer to %s: linked %v, draining %v, tried %v, out %q", offer.Worker, linked, draining, req.TriedWorkers, out)
			}
			v.Sent(now, requestID(step), offer.Worker, req)
			sent[step] = offer.Worker
			switch rapid.IntRange(0, 3).Draw(t, "answer") {
			case 0:
				v.Granted(now, requestID(step))
			case 1:
				v.Queued(now, requestID(step), 2)
			case 2:
				v.Refused(now, requestID(step), Refusal{Reason: answer.ReasonOverloaded, RetryAfter: time.Second, Fullness: 1.1})
			}
		}
		for n := range sent {
			v.Ended(now, requestID(n), answer.Done{}, answer.Usage{})
			v.Ended(now, requestID(n), answer.Done{}, answer.Usage{})
		}
		for name, w := range v.workers {
			if w.inflight != (inflight{}) || w.load.unreportedTokens != 0 {
				t.Fatalf("%s: %+v, %d unreported tokens after all attempts ended", name, w.inflight, w.load.unreportedTokens)
			}
		}
	})
}

// TestSubsetEven guards against an uneven number of links per worker. Each worker must have between half and one and a
// half times the mean number of links, with a tolerance of one for rounding.
func TestSubsetEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		workers := engines(rapid.IntRange(5, 60).Draw(t, "workers per zone")*zones, zones)
		entryList := entries(rapid.IntRange(1, 15).Draw(t, "entries per zone")*zones, zones)
		links := map[string]int{}
		total := 0
		for i, chosen := range subsets(subsetNodes(entryList), subsetNodes(workers), subsetSize) {
			if len(chosen) != min(len(workers), subsetSize) {
				t.Fatalf("%s links to %d workers", entryList[i].Name, len(chosen))
			}
			for _, w := range chosen {
				links[w]++
				total++
			}
		}
		mean := float64(total) / float64(len(workers))
		for _, w := range workers {
			if n := float64(links[w.Name]); n < mean/2-1 || n > mean*1.5+1 {
				t.Fatalf("%s has %v links, mean %v", w.Name, n, mean)
			}
		}
	})
}

// TestSubsetReachesModelsAndServices guards against models and services without linked workers, and against dropping
// links to workers that still finish work.
func TestSubsetReachesModelsAndServices(t *testing.T) {
	list := engines(200, 2)
	for i := range 3 {
		list[i*60].Models = []string{"rare"}
		list = append(list, Instance{Name: fmt.Sprint("desk-", i), Zone: "zone-1", Role: RoleService, Service: "desk"})
	}
	v := newView(list, false)
	before := v.Subset()
	tests := map[string]struct {
		counts    func(Instance) bool
		minLinked int
	}{
		"rare model":     {func(i Instance) bool { return slices.Contains(i.Models, "rare") }, minWorkersPerModel},
		"small service":  {func(i Instance) bool { return i.Service == "desk" }, 3},
		"own zone first": {func(i Instance) bool { return i.Zone == "zone-0" }, 17},
		"other zone":     {func(i Instance) bool { return i.Role == RoleEngine && i.Zone == "zone-1" }, 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := 0
			for _, i := range list {
				if tt.counts(i) && slices.Contains(before, i.Name) {
					n++
				}
			}
			assert.Assert(t, n >= tt.minLinked, "%d linked", n)
		})
	}
	v.SetZonesOut([]string{"zone-0"})
	for _, name := range before {
		assert.Assert(t, slices.Contains(v.Subset(), name), name)
	}
}

func subsetNodes(list []Instance) []subsetNode {
	var all []subsetNode
	for _, i := range list {
		all = append(all, newSubsetNode(i))
	}
	return all
}

// TestSubsetStable guards against moving many links when one instance joins or leaves at the target size. One change
// may move at most one in twenty of the links of all entries.
func TestSubsetStable(t *testing.T) {
	workers, entryList := engines(1200, 6), entries(400, 6)
	before := subsets(subsetNodes(entryList), subsetNodes(workers), subsetSize)
	tests := map[string]struct{ entries, workers []Instance }{
		"worker leaves": {entryList, workers[1:]},
		"entry leaves":  {entryList[:399], workers},
		"worker joins":  {entryList, append(slices.Clone(workers), Instance{Name: "new", Zone: "zone-1"})},
		"entry joins":   {append(slices.Clone(entryList), Instance{Name: "new", Zone: "zone-1"}), workers},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			moved, total := 0, 0
			for i, after := range subsets(subsetNodes(tt.entries), subsetNodes(tt.workers), subsetSize) {
				if i >= len(before) {
					continue
				}
				for _, n := range before[i] {
					total++
					if !slices.Contains(after, n) {
						moved++
					}
				}
			}
			t.Logf("%d of %d links moved", moved, total)
			assert.Assert(t, moved*20 <= total, "%d of %d links moved", moved, total)
		})
	}
}

// TestRetryBudget guards against retry storms: over any period, retries stay within a tenth of the requests plus the
// reserve.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		now, requests, retries := start, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests++
			} else if b.Retry(now) {
				retries++
			}
			allowed := retryShare*float64(requests) + retryReserve*(1+now.Sub(start).Seconds()/retryDecayTime.Seconds())
			if float64(retries) > allowed+1e-6 {
				t.Fatalf("%d retries, %v allowed", retries, allowed)
			}
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 200, 1200} {
		for name, blocks := range map[string]int{"short": 1, "long": MaxPrefixHashes} {
			for links, all := range map[string]bool{"subset": false, "all": true} {
				b.Run(fmt.Sprintf("%d/%s/%s", n, name, links), func(b *testing.B) {
					v := newView(append(engines(n, 6), entries(n/3, 6)...), all)
					req := Request{Model: "m", Tokens: int64(blocks) * 1000, Deadline: start.Add(time.Minute)}
					for i := range blocks {
						req.Prefix = append(req.Prefix, uint64(i))
					}
					v.Choose(start, req)
					b.ReportAllocs()
					for b.Loop() {
						v.Choose(start, req)
					}
				})
			}
		}
	}
}

func BenchmarkSubset(b *testing.B) {
	list := append(engines(1200, 6), entries(400, 6)...)
	for b.Loop() {
		newView(list, false)
	}
}
