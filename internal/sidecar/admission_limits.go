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
	warmSpeed               float64
	capacity                int64
	headroom, shortShare    float64
	classBounds             prompt.ClassBounds
	prefillRate, decodeRate float64
	model                   string
}

// computeLimits returns the limits under the declarations in force. It returns false until a declared model is
// loaded.
func (b *backend) computeLimits() (f admissionLimits, ok bool) {
	if b.snapshot == nil {
		return admissionLimits{}, false
	}
	d := b.snapshot.Declarations
	f = admissionLimits{
		coldWindow:   worker.Limits{Tokens: d.WarmUp.InitialTokens, Requests: d.WarmUp.InitialRequests},
		windowGrowth: float64(d.WarmUp.GrowthPercent) / 100,
		shortShare:   float64(d.Classes.ShortReservePercent) / 100,
		classBounds:  prompt.ClassBounds{Short: d.Classes.ShortTokens, Medium: d.Classes.MediumTokens},
	}
	if b.Service != "" {
		// A plain service has no token memory. Only the number of calls in flight is limited.
		f.warmWindow = worker.Limits{Tokens: math.MaxInt32, Requests: d.WarmUp.MaxRequests}
		f.coldWindow.Tokens, f.capacity = f.warmWindow.Tokens, math.MaxInt32
		f.prefillRate, f.decodeRate = 1e9, 1e3
		return f, true
	}
	model, ok := b.declaredModel()
	if !ok || b.load.MemoryTotal == 0 {
		return admissionLimits{}, false
	}
	f.model = model.Name
	// The engine reports its memory size. Operators may declare less than that.
	f.capacity = min(b.load.MemoryTotal, model.MemoryTokens)
	f.headroom = float64(model.HeadroomPercent) / 100
	f.warmWindow = worker.Limits{Tokens: f.capacity, Requests: d.WarmUp.MaxRequests}
	f.prefillRate = float64(model.PrefillTokensPerSecond)
	f.decodeRate = float64(model.DecodeTokensPerSecond) / float64(max(d.WarmUp.MaxRequests, 1))
	f.warmSpeed = f.prefillRate * float64(d.WarmUp.ColdPercent) / 100
	return f, true
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
	return []worker.Option{worker.WithWarmPrefillRate(l.warmSpeed), worker.WithGrowth(l.windowGrowth)}
}

// createScheduler creates the scheduler, the window and the reservation table as soon as the limits are known.
func (b *backend) createScheduler(now time.Time) {
	f, ok := b.computeLimits()
	if !ok {
		return
	}
	b.admissionLimits = f
	b.window = worker.NewWindow(f.coldWindow, f.warmWindow, f.windowOptions()...)
	b.reservations = memory.NewReservationTable(f.capacity, memory.WithHeadroom(f.headroom), memory.WithShortShare(f.shortShare))
	options := []prompt.Option{
		prompt.WithClassBounds(f.classBounds), prompt.WithShortShare(f.shortShare), prompt.WithRates(f.prefillRate, f.decodeRate),
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
	f, ok := b.computeLimits()
	if !ok || f == b.admissionLimits {
		return
	}
	previous := b.admissionLimits
	b.admissionLimits = f
	b.window.SetLimits(f.coldWindow, f.warmWindow, f.windowOptions()...)
	b.reservations.SetLimits(f.capacity, f.headroom, f.shortShare)
	b.scheduler.SetClassBounds(f.classBounds, f.shortShare)
	if f.prefillRate != previous.prefillRate || f.decodeRate != previous.decodeRate || f.model != previous.model {
		b.scheduler.SetRates(f.prefillRate, f.decodeRate)
	}
	b.metrics.Add("limits-changed", 1)
	b.log.Info("limits changed", "generation", b.snapshot.Number(), "model", f.model, "memory", b.reservations.Limit(),
		"window", f.warmWindow.Tokens, "requests", f.warmWindow.Requests)
	b.broadcastState(now)
}
