package scenario

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/standin"
)

var (
	seedCount   = flag.Int("seeds", 3, "number of seeds of TestRandomFaults")
	firstSeed   = flag.Uint64("first", 1, "first seed of TestRandomFaults")
	runLength   = flag.Duration("length", 40*time.Second, "virtual time for each seed during which requests are sent and faults injected")
	printFaults = flag.Bool("trace", false, "print each fault of TestRandomFaults")
)

// Guards against failures that break an invariant when they occur at any moment, alone, combined or repeated. The
// seed determines the requests and the faults, but not the order of goroutines or the incarnations.
func TestRandomFaults(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomFaults(t, seed, *runLength) })
	}
}

// randomRun is the state of one run with random faults.
type randomRun struct {
	*harness
	random *rand.Rand
	// end is the time after which no request is sent and no fault injected.
	end        time.Time
	goroutines sync.WaitGroup

	stateMu sync.Mutex
	// claimed holds the processes that a fault is stopping, killing or pausing, and "zones" while takeZoneOut runs.
	claimed map[string]bool
	// downUntil is when each entry was last restarted. Requests sent before then may have failed.
	downUntil map[string]time.Time
	// pauses holds the past pauses of each process.
	pauses  map[string][]interval
	records []record
	// disruptions counts the current faults that may keep a new generation from reaching a process.
	disruptions int
}

type interval struct{ from, to time.Time }

// record is one request and its result.
type record struct {
	request
	result
	startedAt time.Time
	cancelled bool
}

func runRandomFaults(t *testing.T, seed uint64, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 0))
	opts := slices.Clone(threeZones)
	if random.IntN(2) == 0 {
		opts = append(opts, demo.WithEngineOptions(standin.WithColdStart()))
	}
	withHarness(t, opts, func(t *testing.T, h *harness) {
		r := &randomRun{
			harness: h, random: random, end: time.Now().Add(length), claimed: map[string]bool{},
			downUntil: map[string]time.Time{}, pauses: map[string][]interval{},
		}
		requests, faults := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
		r.goroutines.Go(func() { r.sendRequests(requests) })
		r.goroutines.Go(func() { r.injectFaults(faults) })
		r.goroutines.Wait()
		r.checkResults()
		for _, s := range h.Services {
			// Clears faults that still apply to the next calls.
			assert.NilError(t, s.Inject(standin.ClearFaults{}))
		}
		// A call to a service that never answers is aborted a minute after its deadline, which is at most 30 s away.
		h.settleTime = 100 * time.Second
		h.checkSettled()
		h.settleTime = defaultSettleTime
		r.checkServing()
	})
}

// sendRequests sends random requests until the run ends.
func (r *randomRun) sendRequests(random *rand.Rand) {
	var sentBookings []request
	for n := 0; time.Now().Before(r.end); n++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(250*time.Millisecond)))
		req := request{entry: random.IntN(2), timeout: time.Duration(5+random.IntN(25)) * time.Second}
		switch random.IntN(4) {
		case 0:
			req.booking, req.key = fmt.Sprintf(`{"room":%d}`, n), newKey()
			sentBookings = append(sentBookings, req)
		case 1:
			if len(sentBookings) > 0 {
				earlier := sentBookings[random.IntN(len(sentBookings))]
				req.booking, req.key = earlier.booking, earlier.key
				break
			}
			fallthrough
		default:
			req.prompt = fmt.Sprintf("Complaint %d: %s", n, strings.Repeat("the room was cold. ", random.IntN(400)))
			req.tokens, req.stream = int64(1+random.IntN(400)), random.IntN(2) == 0
		}
		var cancelAfter time.Duration
		if random.IntN(8) == 0 {
			cancelAfter = time.Duration(random.IntN(3000)) * time.Millisecond
		}
		r.goroutines.Go(func() { r.sendOne(req, cancelAfter) })
	}
}

func (r *randomRun) sendOne(req request, cancelAfter time.Duration) {
	ctx, cancel := context.WithCancel(r.test.Context())
	defer cancel()
	if cancelAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, cancelAfter)
		defer cancel()
	}
	startedAt := time.Now()
	res := r.send(ctx, req)
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	r.records = append(r.records, record{request: req, result: res, startedAt: startedAt, cancelled: ctx.Err() != nil})
}

// checkResults checks each result and compares the results with the runs that the services counted.
func (r *randomRun) checkResults() {
	answers, mayHaveRun := map[string]string{}, map[string]bool{}
	outcomeCounts := map[string]int{}
	for _, rec := range r.records {
		entryName := fmt.Sprintf("entry-%d", rec.entry+1)
		ended := rec.startedAt.Add(rec.elapsed)
		outcomeCounts[rec.outcome]++
		switch {
		case rec.cancelled:
			mayHaveRun[rec.key] = true
			continue
		case rec.err != nil && r.downUntil[entryName].After(rec.startedAt):
			mayHaveRun[rec.key] = true
			continue
		case rec.err != nil || rec.outcome == "":
			r.test.Errorf("%s at %s: no definite outcome: %s", rec.name(), rec.startedAt, rec.result)
			continue
		}
		limit := rec.timeout + 10*latency
		for _, p := range r.pauses[entryName] {
			if p.from.Before(ended) && p.to.After(rec.startedAt) {
				// A paused process cannot answer.
				limit += p.to.Sub(p.from)
			}
		}
		if rec.elapsed > limit {
			r.test.Errorf("%s at %s: exceeded its timeout of %s: %s", rec.name(), rec.startedAt, rec.timeout, rec.result)
		}
		if rec.outcome != "not-run" {
			mayHaveRun[rec.key] = true
		}
		if rec.outcome != "done" {
			continue
		}
		if rec.booking == "" {
			if want := standin.ExpectedAnswer(rec.prompt, rec.tokens); rec.text != want || rec.stream && !rec.terminated {
				r.test.Errorf("%s at %s: answer incomplete or wrong: %s", rec.name(), rec.startedAt, rec.result)
			}
			continue
		}
		if before, ok := answers[rec.key]; ok && before != rec.text {
			r.test.Errorf("%s: got different answers %q and %q", rec.name(), before, rec.text)
		}
		answers[rec.key] = rec.text
	}
	runs := r.runs()
	for key := range answers {
		if runs[key] != 1 {
			r.test.Errorf("booking %s was answered but ran %d times, want 1", key, runs[key])
		}
	}
	for key, n := range runs {
		if !mayHaveRun[key] && n > 0 {
			r.test.Errorf("booking %s ran although every caller got the outcome not-run", key)
		}
	}
	if *printFaults {
		r.test.Logf("outcomes %v, bookings %d", outcomeCounts, len(answers))
	}
}

// checkServing checks that requests are answered normally after all faults have ended.
func (r *randomRun) checkServing() {
	requests := append(promptRequests(6, 50, 30*time.Second),
		request{booking: `{"room":0}`, key: newKey(), timeout: 30 * time.Second},
		request{booking: `{"room":1}`, key: newKey(), timeout: 30 * time.Second, entry: 1})
	for i, res := range r.sendAll(requests, 0, nil) {
		r.checkWholeAnswer(requests[i], res)
	}
}

// startedCount returns how many requests a sidecar has started.
func startedCount(sidecar string) int64 {
	metrics, _ := expvar.Get("berylward").(*expvar.Map)
	if metrics == nil {
		return 0
	}
	instanceMetrics, _ := metrics.Get(sidecar).(*expvar.Map)
	if instanceMetrics == nil {
		return 0
	}
	sidecarMetrics, _ := instanceMetrics.Get("sidecar").(*expvar.Map)
	if sidecarMetrics == nil {
		return 0
	}
	n, _ := sidecarMetrics.Get("started").(*expvar.Int)
	if n == nil {
		return 0
	}
	return n.Value()
}

// takeZoneOut takes a zone out of service for the given duration. It checks that no request starts in the zone once
// the new generation has had time to arrive.
func (r *randomRun) takeZoneOut(zone string, duration time.Duration) {
	r.mu.Lock()
	r.setZoneOut(zone, true)
	r.mu.Unlock()
	const propagationTime = 5 * time.Second
	time.Sleep(propagationTime)
	names := []string{zone + "-engine-1", "booking-desk-" + zone}
	before := map[string]int64{}
	incarnation := map[string]string{}
	for _, name := range names {
		if s := r.sidecarNamed(name); s != nil {
			before[name], incarnation[name] = startedCount(name), s.Status().Incarnation
		}
	}
	undisruptedBefore := r.undisrupted()
	time.Sleep(duration)
	for _, name := range names {
		s := r.sidecarNamed(name)
		if undisruptedBefore && r.undisrupted() && s != nil && s.Status().Incarnation == incarnation[name] && startedCount(name) != before[name] {
			r.test.Errorf("%s started %d requests while its zone was out of service", name, startedCount(name)-before[name])
		}
	}
	r.mu.Lock()
	r.setZoneOut(zone, false)
	r.mu.Unlock()
}

// undisrupted reports whether no current fault separates processes from each other or from the platform.
func (r *randomRun) undisrupted() bool {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	return r.disruptions == 0
}

func (r *randomRun) addDisruptions(delta int) {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	r.disruptions += delta
}

// exclusively runs f unless another fault is already stopping, killing or pausing the named process.
func (r *randomRun) exclusively(name string, f func()) {
	r.stateMu.Lock()
	if r.claimed[name] {
		r.stateMu.Unlock()
		return
	}
	r.claimed[name] = true
	r.stateMu.Unlock()
	f()
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	r.claimed[name] = false
}

func (r *randomRun) stopContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.test.Context(), 3*time.Minute)
}

// Guards against the return of bugs that TestRandomFaults found with these seeds.
func TestRegressionSeeds(t *testing.T) {
	tests := map[string]uint64{
		"pending service fault and calls on silent connections": 10,
		"short requests on a cold engine":                       31,
	}
	for name, seed := range tests {
		t.Run(name, func(t *testing.T) { runRandomFaults(t, seed, 40*time.Second) })
	}
}
