package scenario

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/examples"
	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/pkg/site"
)

const (
	officeAPIKey  = "cuenca-schedules-key"
	counterAPIKey = "cuenca-counter-centro-key"
	bookingsPath  = "/v1/services/booking-desk/bookings"
	slotsPath     = "/v1/services/booking-desk/slots"
	// defaultSettleTime is longer than the clean-up after a stream takes: a sidecar keeps a stream whose link was lost
	// for 10 s, and a lost cancel is repeated every 2 s.
	defaultSettleTime = 40 * time.Second
)

// harness is a fleet on virtual time and an in-memory network, with functions to inject faults and check results.
type harness struct {
	*demo.Fleet
	test   *testing.T
	net    *network
	clocks map[string]*pausableClock
	client *http.Client
	// addresses are the listen addresses of the entries.
	addresses []netip.AddrPort
	// allowExtraCrashes allows crashes that the test did not inject, for engines that turn cold while they report
	// that they are warm.
	allowExtraCrashes bool
	// settleTime is how long checkSettled waits.
	settleTime time.Duration
	// injectedCrashes counts the injected crashes by engine.
	injectedCrashes map[string]int
	// stopWatch is closed to stop watchGenerations.
	stopWatch chan struct{}
	watchers  sync.WaitGroup

	// mu guards the entries and sidecars of the fleet, which faults replace while watchGenerations reads them.
	mu sync.Mutex
}

func loadDeclarations(t *testing.T) *site.Declarations {
	base, err := examples.Source("", "base.yaml")
	assert.NilError(t, err)
	overlay, err := examples.Source("", "cuenca/site.yaml")
	assert.NilError(t, err)
	loaded, err := site.LoadSources(base, overlay)
	assert.NilError(t, err)
	d := loaded.Declarations
	// One model is enough for these tests. Engines of a second model would only add run time.
	delete(d.Models, "ledger-32b")
	for name, w := range d.Workspaces {
		if w.Models = slices.DeleteFunc(w.Models, func(m string) bool { return m == "ledger-32b" }); len(w.Models) == 0 {
			delete(d.Workspaces, name)
		}
	}
	return d
}

// withHarness starts a fleet, runs fn when it is ready, checks the invariants that hold after every test and stops
// the fleet. A leaked goroutine fails the test, because the synctest bubble cannot end.
func withHarness(t *testing.T, opts []demo.Option, fn func(*testing.T, *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{
			test: t, net: newNetwork(), clocks: map[string]*pausableClock{}, injectedCrashes: map[string]int{}, stopWatch: make(chan struct{}),
			settleTime: defaultSettleTime,
		}
		h.client = &http.Client{Transport: &http.Transport{DialContext: h.net.Dialer("caller"), DisableKeepAlives: true}}
		opts = append([]demo.Option{
			demo.WithFreePorts(), demo.WithNetwork(h.net), demo.WithClocks(h.clockOf),
			demo.WithSidecarOptions(sidecar.WithStrictInvariants()), demo.WithEntryOptions(entry.WithStrictInvariants()),
		}, opts...)
		f, err := demo.Start(loadDeclarations(t), opts...)
		assert.NilError(t, err)
		h.Fleet, h.addresses = f, f.EntryAddresses
		defer h.cleanUp()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.NilError(t, f.Ready(ctx))
		h.watchers.Go(h.watchGenerations)
		fn(t, h)
		h.checkSettled()
		close(h.stopWatch)
		h.watchers.Wait()
		ctx, cancel = context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		assert.NilError(t, f.Stop(ctx))
		h.Fleet = nil
		// The transport of net/http finishes a dial that no request waits for any more, and time stops at the end of the test.
		time.Sleep(3 * latency)
	})
}

// cleanUp kills the components of a fleet whose test has failed, so that the failure is reported and not the
// goroutines that are left.
func (h *harness) cleanUp() {
	if h.Fleet == nil {
		return
	}
	h.net.heal()
	for name := range h.clocks {
		h.resume(name)
	}
	for _, e := range h.Entries {
		e.Kill()
	}
	for _, s := range h.Sidecars {
		s.Kill()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.Stop(ctx)
	h.client.CloseIdleConnections()
	select {
	case <-h.stopWatch:
	default:
		close(h.stopWatch)
	}
}

func (h *harness) clockOf(instance string) clock.WithTicker {
	if h.clocks[instance] == nil {
		h.clocks[instance] = &pausableClock{}
	}
	return h.clocks[instance]
}

// pause suspends a process: its timers do not fire and its connections neither send nor receive.
func (h *harness) pause(instance string) {
	h.clocks[instance].pause()
	h.net.update(func() { h.net.paused[instance] = true })
}

func (h *harness) resume(instance string) {
	h.net.update(func() { delete(h.net.paused, instance) })
	h.clocks[instance].resume()
}

// watchGenerations checks that the generation in force never decreases in any process.
func (h *harness) watchGenerations() {
	highest := map[string]uint64{}
	observe := func(incarnation string, generation uint64) {
		if generation < highest[incarnation] {
			h.test.Errorf("generation decreased from %d to %d", highest[incarnation], generation)
		}
		highest[incarnation] = max(highest[incarnation], generation)
	}
	for {
		select {
		case <-h.stopWatch:
			return
		case <-time.After(500 * time.Millisecond):
		}
		h.mu.Lock()
		entries, sidecars := slices.Clone(h.Entries), slices.Collect(maps.Values(h.Sidecars))
		h.mu.Unlock()
		for _, e := range entries {
			st := e.Status()
			observe(st.Incarnation, st.Generation)
		}
		for _, s := range sidecars {
			if st := s.Status(); st.Incarnation != "" {
				observe(st.Incarnation, st.Generation)
			}
		}
	}
}

// checkSettled waits for settleTime, until no request is left, and checks the invariants of an idle fleet.
func (h *harness) checkSettled() {
	h.test.Helper()
	time.Sleep(h.settleTime)
	for name, s := range h.Sidecars {
		st := s.Status()
		if st.MemoryUsed != 0 || st.Reservations != 0 || st.Queued != 0 || st.Running != 0 {
			h.test.Errorf("%s still has requests or reserved memory when the fleet is idle: %+v", name, st)
		}
	}
	for name, e := range h.Engines {
		if load := e.Load(); load.MemoryUsed != 0 {
			h.test.Errorf("%s still has reserved memory when the fleet is idle: %+v", name, load)
		}
		if peak, total := e.PeakMemory(), e.Load().MemoryTotal; peak > total {
			h.test.Errorf("%s held %d tokens, which exceeds its capacity of %d", name, peak, total)
		}
		if crashes := e.Crashes(); crashes != h.injectedCrashes[name] && !h.allowExtraCrashes {
			h.test.Errorf("%s crashed %d times, %d crashes were injected: an extra crash means that it was overloaded", name, crashes, h.injectedCrashes[name])
		}
	}
	for key, n := range h.runs() {
		if n > 1 {
			h.test.Errorf("booking %s ran %d times, want at most 1", key, n)
		}
	}
}

// runs returns how often each booking ran, summed over all services.
func (h *harness) runs() map[string]int {
	runs := map[string]int{}
	for _, s := range h.Services {
		for key, n := range s.Runs() {
			runs[key] += n
		}
	}
	return runs
}

// crash crashes an engine and counts the crash as injected.
func (h *harness) crash(engine string, down time.Duration) {
	h.injectedCrashes[engine]++
	assert.NilError(h.test, h.Engines[engine].Inject(standin.Crash{Downtime: down}))
}

// publishAs publishes declarations under the given generation number, as a stale configuration service would serve
// them.
func (h *harness) publishAs(d *site.Declarations, generation uint64) error {
	manifest, shards, err := site.Render(d, generation)
	if err != nil {
		return err
	}
	for i, shard := range shards {
		if _, err := h.Platform.Publish(site.ShardName(manifest.Shards[i].Digest), shard); err != nil {
			return err
		}
	}
	encoded, err := manifest.Encode()
	if err != nil {
		return err
	}
	_, err = h.Platform.Publish(site.ManifestName, encoded)
	return err
}

// restartSidecar starts a new incarnation of a sidecar that has ended.
func (h *harness) restartSidecar(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.NilError(h.test, h.RestartSidecar(name))
}

// removeSidecar removes a sidecar from the fleet before it is stopped or killed.
func (h *harness) removeSidecar(name string) *sidecar.Sidecar {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.Sidecars[name]
	delete(h.Sidecars, name)
	return s
}

func (h *harness) killSidecar(name string) { h.removeSidecar(name).Kill() }

func (h *harness) restartEntry(i int, opts ...entry.Option) {
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.NilError(h.test, h.RestartEntry(i, opts...))
}

// busyEngines returns the names of the engines that run at least one request.
func (h *harness) busyEngines() []string {
	var names []string
	for name, e := range h.Engines {
		if e.Load().Running > 0 {
			names = append(names, name)
		}
	}
	return names
}
