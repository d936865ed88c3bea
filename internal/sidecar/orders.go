package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/model"
	"berylward.example/berylward/internal/worker"
	"berylward.example/berylward/pkg/site"
)

// resetModelLoaded is the reason for resetting the window after a load, because the engine is cold for a new version.
const resetModelLoaded worker.ResetReason = "model-loaded"

// engineControl holds the known state of the engine's models and role, and the planner of the orders that change it.
type engineControl struct {
	planner *model.Planner
	// state is the latest known state of the engine, and stateAt the time at which it held. The response to an order
	// has no lag. A load report is used only when it is more recent.
	state   engine.OrderResult
	stateAt time.Time
	// planDue means that something has changed since the last plan.
	planDue   bool
	placement placement
}

// orderResult is the result of an order.
type orderResult struct {
	order    engine.Order
	sequence uint64
	state    engine.OrderResult
	err      error
}

func (orderResult) event() {}

func newEngineControl(s *Sidecar) engineControl {
	return engineControl{
		planner:   model.NewPlanner(s.startedAt, rand.NewPCG(xxhash.Sum64(s.incarnation[:]), 2)),
		placement: placement{placedModels: map[string]bool{}},
	}
}

// applyLoadReport takes the models and the role from a load report that was requested at sentAt. The report is no
// older than that time less its age, however long the response took. The age is rounded down to milliseconds.
func (b *backend) applyLoadReport(load engine.Load, sentAt time.Time) {
	c := &b.control
	at := sentAt.Add(-load.Age - time.Millisecond)
	if load.Incarnation != c.state.Incarnation {
		c.state = engine.OrderResult{Incarnation: load.Incarnation}
	} else if !at.After(c.stateAt) {
		return
	}
	c.state.Models, c.state.Role, c.stateAt, c.planDue = load.Models, load.Role, at, true
}

// loadedModels returns the models that the engine serves.
func (b *backend) loadedModels() []engine.LoadedModel { return b.control.state.Models }

// serves reports whether the engine has loaded the model and, if one is named, the adapter.
func (b *backend) serves(name, adapter string) bool {
	return slices.ContainsFunc(b.loadedModels(), func(m engine.LoadedModel) bool {
		return m.Model == name && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}

// availableModels returns the names of the loaded models that accept new work.
func (b *backend) availableModels() []string {
	var names []string
	for _, m := range b.loadedModels() {
		if !b.control.planner.RefusesWork(m.Model, "") {
			names = append(names, m.Model)
		}
	}
	return names
}

// mayPlan reports whether orders may be sent. They may not be sent before the engine has reported its state, under a
// generation that is known to be outdated, or while the sidecar stops.
func (b *backend) mayPlan() bool {
	return b.Service == "" && !b.stopping && b.snapshot != nil && !b.control.stateAt.IsZero() && !b.exchange.Behind()
}

// planOrders sends the orders that are due to the engine.
func (b *backend) planOrders(now time.Time) {
	c := &b.control
	wake := c.planner.NextPlanTime()
	if !b.mayPlan() {
		return
	}
	// The end of a group member is noticed in the next round, which is at most one housekeeping interval later.
	if !c.planDue && !c.planner.RefusesAnyWork() && (wake.IsZero() || now.Before(wake)) {
		return
	}
	c.planDue = false
	c.planner.Adopt(now, b.desiredState())
	for _, order := range c.planner.Plan(now, b.engineStatus()) {
		b.sendOrder(now, order)
	}
}

func (b *backend) engineStatus() model.Status {
	c := &b.control
	s := model.Status{
		Incarnation: c.state.Incarnation.String(), Role: model.Role(c.state.Role), InUse: b.targetsInUse(),
	}
	if c.state.Fence != (engine.Fence{}) {
		s.Fence = model.Fence{Generation: c.state.Fence.Generation, Started: time.Unix(0, int64(c.state.Fence.Start))}
	}
	for _, m := range c.state.Models {
		loaded := model.Model{Name: m.Model, Version: m.Version}
		for _, a := range m.Adapters {
			loaded.Adapters = append(loaded.Adapters, model.Adapter{Name: a})
		}
		s.Models = append(s.Models, loaded)
	}
	return s
}

// targetsInUse returns the models and adapters of the requests that have not ended. Queued requests count too,
// because they were admitted for these models and adapters.
func (b *backend) targetsInUse() []string {
	used := map[string]bool{}
	for _, s := range b.streams {
		if p := s.offer.Prompt; p != nil && !s.ended {
			used[p.Model] = true
			if p.Adapter != "" {
				used[p.Model+":"+p.Adapter] = true
			}
		}
	}
	if len(b.members) > 0 {
		// A group member does not name its model before its segment arrives.
		for _, m := range b.loadedModels() {
			used[m.Model] = true
			for _, a := range m.Adapters {
				used[m.Model+":"+a] = true
			}
		}
	}
	names := make([]string, 0, len(used))
	for name := range used {
		names = append(names, name)
	}
	return names
}

// desiredState returns the state that the current declarations require of this engine.
func (b *backend) desiredState() model.Desired {
	d := b.snapshot.Declarations
	want := model.Desired{
		Generation: b.snapshot.Number(), Workers: d.Workers, LoadsPerSecond: d.WeightStore.LoadsPerSecond,
	}
	for _, name := range b.placedModels() {
		m := d.Models[name]
		w := model.Model{Name: name, Version: m.Version}
		for _, a := range m.Adapters {
			w.Adapters = append(w.Adapters, model.Adapter{Name: a})
		}
		role := model.Role(m.Role)
		if want.Role != "" && want.Role != role {
			// An engine has one role. Models with different roles can share an engine only in the mixed role.
			role = model.Role(site.RoleMixed)
		}
		want.Role = role
		want.Models = append(want.Models, w)
	}
	return want
}

// sendOrder sends an order in its own goroutine. The engine may carry out the order even when no response arrives, so
// the call times out when the planner would try again.
func (b *backend) sendOrder(now time.Time, order model.Order) {
	request, header := wireOrder(order)
	b.metrics.Add("orders", 1)
	if header.Revert {
		b.metrics.Add("orders-undone", 1)
	}
	b.log.Info("sending order to engine", "kind", string(request.Kind), "model", request.Model, "version", request.Version, "adapter", request.Adapter,
		"role", request.Role, "generation", request.Fence.Generation, "undo", header.Revert)
	timeout := max(b.control.planner.NextPlanTime().Sub(now), time.Second)
	b.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), timeout)
		defer cancel()
		state, err := b.client.SendOrder(ctx, request)
		b.events.Put(orderResult{order: request, sequence: header.Sequence, state: state, err: err})
		return nil
	})
}

// wireOrder returns the wire form of an order, and its header.
func wireOrder(order model.Order) (engine.Order, model.OrderHeader) {
	fence := func(h model.OrderHeader) engine.Fence {
		return engine.Fence{Generation: h.Fence.Generation, Start: uint64(h.Fence.Started.UnixNano())}
	}
	switch o := order.(type) {
	case model.Load:
		return engine.Order{Kind: engine.OrderLoad, Model: o.Model, Version: o.Version, Fence: fence(o.OrderHeader)}, o.OrderHeader
	case model.Unload:
		return engine.Order{Kind: engine.OrderUnload, Model: o.Model, Fence: fence(o.OrderHeader)}, o.OrderHeader
	case model.LoadAdapter:
		return engine.Order{Kind: engine.OrderLoadAdapter, Model: o.Model, Adapter: o.Adapter.Name, Fence: fence(o.OrderHeader)}, o.OrderHeader
	case model.UnloadAdapter:
		return engine.Order{Kind: engine.OrderUnloadAdapter, Model: o.Model, Adapter: o.Adapter, Fence: fence(o.OrderHeader)}, o.OrderHeader
	case model.SetRole:
		return engine.Order{Kind: engine.OrderRole, Role: string(o.Role), Fence: fence(o.OrderHeader)}, o.OrderHeader
	}
	return engine.Order{}, model.OrderHeader{}
}

// handleOrderResult applies the result of an order.
func (b *backend) handleOrderResult(now time.Time, e orderResult) {
	c := &b.control
	c.planDue = true
	var failure *engine.Error
	switch {
	case e.err == nil && e.state.Incarnation == c.state.Incarnation:
		c.state, c.stateAt = e.state, now
		if e.order.Kind == engine.OrderLoad && b.window != nil {
			b.window.Reset(resetModelLoaded)
		}
		b.applyLimits(now)
	case e.err == nil:
		// The engine has restarted since the order or since the last report. The next report shows which state it is
		// in.
		b.requestProbe()
	case errors.As(e.err, &failure) && failure.Kind == engine.KindFenced:
		b.metrics.Add("orders-fenced", 1)
		b.log.Info("order refused: engine has seen a higher fencing number", "error", e.err.Error())
		c.planner.OrderFenced(e.sequence)
	case errors.As(e.err, &failure) && failure.NotRun():
		b.metrics.Add("orders-rejected", 1)
		b.log.Info("engine rejected order", "error", e.err.Error())
		c.planner.OrderRejected(now, e.sequence)
	default:
		// The engine's next reports show whether it carried out the order.
		b.metrics.Add("orders-unanswered", 1)
		b.log.Info("no response to order", "error", e.err.Error())
	}
}
