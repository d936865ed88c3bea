package sidecar

import (
	"math"
	"time"

	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/internal/prompt"
	"berylward.example/berylward/internal/worker"
	"berylward.example/berylward/pkg/site"
)

// admissionLimits holds the admission limits that follow from the declarations and from the engine's load report.
type admissionLimits struct {
	coldWindow, warmWindow  worker.Limits
	windowGrowth            float64
	warmPrefillRate         float64
	capacity                int64
	headroom, shortShare    float64
	classBounds             prompt.ClassBounds
	prefillRate, decodeRate float64
	model                   string
}

// computeLimits returns the limits under the current declarations. For a model engine it returns false until a declared
// model is loaded and the engine has reported its memory size.
func (b *backend) computeLimits() (limits admissionLimits, ok bool) {
	if b.snapshot == nil {
		return admissionLimits{}, false
	}
	d := b.snapshot.Declarations
	limits = admissionLimits{
		coldWindow:   worker.Limits{Tokens: d.WarmUp.InitialTokens, Requests: d.WarmUp.InitialRequests},
		windowGrowth: float64(d.WarmUp.GrowthPercent) / 100,
		shortShare:   float64(d.Classes.ShortReservePercent) / 100,
		classBounds:  prompt.ClassBounds{Short: d.Classes.ShortTokens, Medium: d.Classes.MediumTokens},
	}
	if b.Service != "" {
		// A plain service has no token memory. Only the number of calls in flight is limited.
		limits.warmWindow = worker.Limits{Tokens: math.MaxInt32, Requests: d.WarmUp.MaxRequests}
		limits.coldWindow.Tokens, limits.capacity = limits.warmWindow.Tokens, math.MaxInt32
		limits.prefillRate, limits.decodeRate = 1e9, 1e3
		return limits, true
	}
	model, ok := b.declaredModel()
	if !ok || b.load.MemoryTotal == 0 {
		return admissionLimits{}, false
	}
	limits.model = model.Name
	// The engine reports its memory size. Operators may declare less than that.
	limits.capacity = min(b.load.MemoryTotal, model.MemoryTokens)
	limits.headroom = float64(model.HeadroomPercent) / 100
	limits.warmWindow = worker.Limits{Tokens: limits.capacity, Requests: d.WarmUp.MaxRequests}
	limits.prefillRate = float64(model.PrefillTokensPerSecond)
	limits.decodeRate = float64(model.DecodeTokensPerSecond) / float64(max(d.WarmUp.MaxRequests, 1))
	limits.warmPrefillRate = limits.prefillRate * float64(d.WarmUp.ColdPercent) / 100
	return limits, true
}

// declaredModel returns the declaration of the first loaded model that is declared.
func (b *backend) declaredModel() (site.Model, bool) {
	for _, loaded := range b.loadedModels() {
		if m, ok := b.snapshot.Model(loaded.Model); ok {
			return m, true
		}
	}
	return site.Model{}, false
}

func (l admissionLimits) windowOptions() []worker.Option {
	return []worker.Option{worker.WithWarmPrefillRate(l.warmPrefillRate), worker.WithGrowth(l.windowGrowth)}
}

// createScheduler creates the scheduler, the window and the reservation table as soon as the limits are known.
func (b *backend) createScheduler(now time.Time) {
	limits, ok := b.computeLimits()
	if !ok {
		return
	}
	b.admissionLimits = limits
	b.window = worker.NewWindow(limits.coldWindow, limits.warmWindow, limits.windowOptions()...)
	b.reservations = memory.NewReservationTable(limits.capacity, memory.WithHeadroom(limits.headroom), memory.WithShortShare(limits.shortShare))
	options := []prompt.Option{
		prompt.WithClassBounds(limits.classBounds), prompt.WithShortShare(limits.shortShare), prompt.WithRates(limits.prefillRate, limits.decodeRate),
	}
	if b.Service == "" {
		options = append(options, prompt.WithSuspend(2*time.Second))
		b.reservations.SetIncarnation(b.load.Incarnation.String())
		b.observeSlow(now)
	}
	b.scheduler = prompt.NewScheduler(b.reservations, b.window, append(options, b.schedulerOptions...)...)
	b.broadcastState(now)
}

// applyLimits applies changed limits without ending requests that were admitted under the previous limits.
func (b *backend) applyLimits(now time.Time) {
	if b.snapshot != nil {
		b.suspects.SetQuarantine(b.snapshot.Declarations.Suspects.Quarantine)
	}
	if b.scheduler == nil {
		b.createScheduler(now)
		return
	}
	limits, ok := b.computeLimits()
	if !ok || limits == b.admissionLimits {
		return
	}
	previous := b.admissionLimits
	b.admissionLimits = limits
	b.window.SetLimits(limits.coldWindow, limits.warmWindow, limits.windowOptions()...)
	b.reservations.SetLimits(limits.capacity, limits.headroom, limits.shortShare)
	b.scheduler.SetClassBounds(limits.classBounds, limits.shortShare)
	if limits.prefillRate != previous.prefillRate || limits.decodeRate != previous.decodeRate || limits.model != previous.model {
		b.scheduler.SetRates(limits.prefillRate, limits.decodeRate)
	}
	b.metrics.Add("limits-changed", 1)
	b.log.Info("limits changed", "generation", b.snapshot.Number(), "model", limits.model, "memory", b.reservations.Limit(),
		"window", limits.warmWindow.Tokens, "requests", limits.warmWindow.Requests)
	b.broadcastState(now)
}
