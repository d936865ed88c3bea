package standin

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/internal/engine"
)

// Engine is a stand-in for a model engine. It simulates continuous batching with a cost model, memory in tokens, a
// prefix cache, load reports with a lag, and delayed cache events. It implements http.Handler.
type Engine struct {
	settings settings
	server   *server
	handler  http.Handler
	wake     chan struct{}

	mu          sync.Mutex
	incarnation uuid.UUID
	// streams holds all streams that the engine remembers. Each is either in live or in ended, which is ordered by the
	// time of the end.
	streams    map[string]*stream
	live       map[*stream]struct{}
	ended      []*stream
	imports    map[string]*importedCache
	cache      *cache
	usedMemory int64
	peakMemory int64
	arrivals   uint64
	crashes    int
	// processedTokens counts the tokens processed since the engine started or became cold.
	processedTokens int64
	cold            bool
	reportsWarm     bool
	prefillRate     float64
	decodeRate      float64
	models          []engine.LoadedModel
	role            string
	fence           engine.Fence
	history         []engine.Load
	faults          engineFaults
}

type engineFaults struct {
	crashMarker   string
	crashAfter    time.Duration
	ignoreCancels bool
	ignoreFences  bool
	slowFactor    float64
}

// NewEngine returns a running engine that does not listen on an address, for use as an http.Handler. Call Stop to stop
// it.
func NewEngine(options ...Option) *Engine {
	e := &Engine{settings: defaultSettings(options), wake: make(chan struct{}, 1)}
	e.server = newServer(e.settings, e)
	e.handler = e.server.withFaults(e.routes())
	e.reset(e.settings.cold)
	e.server.tomb.Go(e.runBatches)
	return e
}

// StartEngine returns an engine that serves on a loopback address.
func StartEngine(options ...Option) (*Engine, error) {
	e := NewEngine(options...)
	if err := e.server.listen(e.settings); err != nil {
		_ = e.Stop()
		return nil, err
	}
	return e, nil
}

// Addr returns the address that the engine listens on. It stays the same across crashes.
func (e *Engine) Addr() netip.AddrPort { return e.server.addr }

// Stop stops the engine and closes its connections abruptly.
func (e *Engine) Stop() error { return e.server.stop() }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

// reset starts a new incarnation with empty state. Only the injected faults and the counters of arrivals, crashes and
// peak memory are kept.
func (e *Engine) reset(cold bool) {
	s := e.settings
	e.incarnation = uuid.New()
	e.streams, e.live, e.ended = map[string]*stream{}, map[*stream]struct{}{}, nil
	e.imports = map[string]*importedCache{}
	e.cache = newCache(s)
	e.usedMemory, e.processedTokens, e.prefillRate, e.decodeRate = 0, 0, 0, 0
	e.cold, e.reportsWarm = cold, !cold
	e.models, e.role, e.fence = slices.Clone(s.models), s.role, engine.Fence{}
	e.history = nil
	e.recordLoad()
}

// Incarnation returns the current incarnation, which changes with each crash.
func (e *Engine) Incarnation() uuid.UUID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// PeakMemory returns the largest number of tokens that were reserved at one time.
func (e *Engine) PeakMemory() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peakMemory
}

// Load returns the current load, without the lag of the load reports.
func (e *Engine) Load() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentLoad()
}

// Inject injects a fault.
func (e *Engine) Inject(fault Fault) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f := fault.(type) {
	case Crash:
		e.crash(f.Downtime)
	case Freeze:
		e.server.freeze(orIndefinite(f.Duration))
	case SilenceConns:
		e.server.silenceConns()
	case ClearFaults:
		e.faults = engineFaults{}
		e.server.restore()
	case TurnCold:
		e.cold, e.processedTokens = true, 0
		e.clearCache()
	case CrashOnMarker:
		e.faults.crashMarker, e.faults.crashAfter = f.Marker, f.After
	case IgnoreCancels:
		e.faults.ignoreCancels = f.On
	case IgnoreFences:
		e.faults.ignoreFences = f.On
	case Slow:
		e.faults.slowFactor = f.Factor
	case Delay, CrashAfterRun, LoseAnswer, EndlessAnswers, AnswerStatus, AnswerEarly, Unreachable, Stale:
		return unsupportedFault(fault)
	}
	return nil
}

func orIndefinite(d time.Duration) time.Duration {
	if d <= 0 {
		return indefinite
	}
	return d
}

// crash drops the state of the incarnation, closes the connections and refuses new ones for the given time, or for the
// restart time when it is zero.
func (e *Engine) crash(down time.Duration) {
	e.crashes++
	e.server.interrupt(cmp.Or(down, e.settings.restartTime))
	for s := range e.live {
		s.crashed = true
		s.notify()
	}
	e.reset(true)
}

// crashLater crashes the present incarnation after a time.
func (e *Engine) crashLater(after time.Duration) {
	incarnation := e.incarnation
	e.server.tomb.Go(func() error {
		select {
		case <-e.settings.clock.After(after):
		case <-e.server.tomb.Dying():
			return nil
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation == incarnation {
			e.crash(0)
		}
		return nil
	})
}

func (e *Engine) clearCache() {
	e.cache.clear(e.settings.clock.Now())
	for s := range e.live {
		s.pinned = nil
	}
}

// orderedStreams returns the live streams, highest priority first, then in order of arrival.
func (e *Engine) orderedStreams() []*stream {
	return slices.SortedFunc(maps.Keys(e.live), (*stream).compare)
}

// removeExpired removes ended streams and unused imports whose retention has passed.
func (e *Engine) removeExpired() {
	cutoff := e.settings.clock.Now().Add(-e.settings.retention)
	for len(e.ended) > 0 && e.ended[0].endedAt.Before(cutoff) {
		delete(e.streams, e.ended[0].ID)
		e.ended = e.ended[1:]
	}
	for handle, imported := range e.imports {
		if imported.users == 0 && imported.usedAt.Before(cutoff) {
			e.reserve(-imported.memory)
			delete(e.imports, handle)
		}
	}
}

// reserve adds tokens, which may be negative, to the memory in use. A total outside the capacity is a bug of this
// package.
func (e *Engine) reserve(tokens int64) {
	e.usedMemory += tokens
	e.peakMemory = max(e.peakMemory, e.usedMemory)
	if e.usedMemory < 0 || e.usedMemory > e.settings.capacity {
		panic("standin: memory in use is outside the capacity")
	}
}

func (e *Engine) currentLoad() engine.Load {
	load := engine.Load{
		Incarnation: e.incarnation, MemoryTotal: e.settings.capacity, MemoryUsed: e.usedMemory, Warm: e.reportsWarm,
		PrefillRate: e.prefillRate, DecodeRate: e.decodeRate, Models: slices.Clone(e.models), Role: e.role,
		MeasuredAt: e.settings.clock.Now(),
	}
	for s := range e.live {
		switch s.status() {
		case engine.StreamRunning:
			load.Running++
		case engine.StreamWaiting, engine.StreamSuspended:
			load.Waiting++
		case engine.StreamFinished:
		}
	}
	return load
}

// recordLoad appends the current load to the history and drops the entries that no later report needs, so that the
// first entry is the load as of one load lag ago.
func (e *Engine) recordLoad() {
	load := e.currentLoad()
	cutoff := load.MeasuredAt.Add(-e.settings.loadLag)
	e.history = append(e.history, load)
	for len(e.history) > 1 && !e.history[1].MeasuredAt.After(cutoff) {
		e.history = e.history[1:]
	}
}

// laggedLoad returns the load as of one load lag ago, or the first load of the incarnation when that is more recent.
func (e *Engine) laggedLoad() engine.Load {
	e.removeExpired()
	e.recordLoad()
	load := e.history[0]
	load.AgeMillis = min(e.settings.clock.Now().Sub(load.MeasuredAt), e.settings.loadLag).Milliseconds()
	return load
}

// serves reports whether the engine has loaded the model and, unless adapter is empty, the adapter.
func (e *Engine) serves(model, adapter string) bool {
	return slices.ContainsFunc(e.models, func(m engine.LoadedModel) bool {
		return m.Model == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}

// applyOrder executes an order. It copies the models, because entries of the load history share them.
func (e *Engine) applyOrder(order engine.Order) {
	models := slices.Clone(e.models)
	i := slices.IndexFunc(models, func(m engine.LoadedModel) bool { return m.Model == order.Model })
	switch order.Kind {
	case engine.OrderLoad:
		if i < 0 {
			models = append(models, engine.LoadedModel{Model: order.Model})
			i = len(models) - 1
		}
		models[i].Version = order.Version
	case engine.OrderUnload:
		if i >= 0 {
			models = slices.Delete(models, i, i+1)
		}
	case engine.OrderLoadAdapter:
		if i >= 0 && !slices.Contains(models[i].Adapters, order.Adapter) {
			models[i].Adapters = append(slices.Clone(models[i].Adapters), order.Adapter)
		}
	case engine.OrderUnloadAdapter:
		if i >= 0 {
			models[i].Adapters = slices.DeleteFunc(slices.Clone(models[i].Adapters),
				func(a string) bool { return a == order.Adapter })
		}
	case engine.OrderRole:
		e.role = order.Role
	}
	e.models = models
	e.recordLoad()
}

// runBatches is the goroutine that does all work of the engine: it plans a step, sleeps for the duration of the step
// and applies it. It waits for wakeBatch when there is nothing to do.
func (e *Engine) runBatches() error {
	ctx := e.server.tomb.Context(context.Background())
	for e.server.waitThawed(ctx) {
		e.mu.Lock()
		plan := e.planStep()
		e.mu.Unlock()
		if len(plan.parts) == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		if !e.server.sleep(ctx, plan.duration) || !e.server.waitThawed(ctx) {
			break
		}
		e.mu.Lock()
		e.applyStep(plan)
		e.mu.Unlock()
	}
	return nil
}

// wakeBatch wakes runBatches.
func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) hasCrashMarker(prompt string) bool {
	return e.faults.crashMarker != "" && strings.Contains(prompt, e.faults.crashMarker)
}
