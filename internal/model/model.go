// Package model plans the orders that a sidecar sends to its engine: which models, versions and adapters to load, and
// which role to take. The sidecar is the only process that sends orders to its engine. The fencing number distinguishes
// its orders from late ones of an earlier incarnation. A Planner is owned by the sidecar's backend goroutine; it takes
// the engine's status and the time, and returns orders.
package model

import (
	"cmp"
	"slices"
	"time"
)

// Role is the role of an engine, as declared by operators. The empty role leaves the engine's role unchanged.
type Role string

// Adapter is one adapter of a model.
type Adapter struct{ Name, Version string }

// Model is one model with its version and adapters.
type Model struct {
	Name, Version string
	Adapters      []Adapter
}

// Desired is the state that operators declared for one worker in one generation.
type Desired struct {
	Generation uint64
	Models     []Model
	Role       Role
	// Workers/LoadsPerSecond is the period in which each sidecar starts at most one load. Zero for either turns
	// pacing off.
	Workers        int
	LoadsPerSecond float64
}

// Status is what the engine reports.
type Status struct {
	// Incarnation changes when the engine restarts.
	Incarnation string
	Models      []Model
	Role        Role
	// InUse lists the models with running streams, and the adapters with running streams as model:adapter. Nothing
	// that is in use is unloaded or replaced.
	InUse []string
	// Fence is the highest fencing number that the engine has seen. It is zero when the engine ignores fencing
	// numbers.
	Fence Fence
}

// Fence is the fencing number of an order. It is ordered by generation, then by the start time of the sidecar.
type Fence struct {
	Generation uint64
	Started    time.Time
}

// Compare returns -1, 0 or 1 when f is lower than, equal to or higher than o.
func (f Fence) Compare(o Fence) int {
	return cmp.Or(cmp.Compare(f.Generation, o.Generation), f.Started.Compare(o.Started))
}

// OrderHeader holds the fields common to all orders.
type OrderHeader struct {
	Fence Fence
	// Sequence numbers the orders of this sidecar, from 1.
	Sequence uint64
	// Revert is set when the order reverts a change that this sidecar did not order.
	Revert bool
}

// Order is one order to the engine. It is a sealed interface: Load, Unload, LoadAdapter, UnloadAdapter and SetRole
// are its only implementations.
//
//sumtype:decl
type Order interface{ order() }

// Load loads a version of a model, replacing any other version of it.
type Load struct {
	OrderHeader
	Model, Version string
}

// Unload removes a model with its adapters.
type Unload struct {
	OrderHeader
	Model string
}

// LoadAdapter loads a version of an adapter, replacing any other version of it.
type LoadAdapter struct {
	OrderHeader
	Model   string
	Adapter Adapter
}

// UnloadAdapter removes an adapter.
type UnloadAdapter struct {
	OrderHeader
	Model, Adapter string
}

// SetRole changes the engine's role.
type SetRole struct {
	OrderHeader
	Role Role
}

func (Load) order()          {}
func (Unload) order()        {}
func (LoadAdapter) order()   {}
func (UnloadAdapter) order() {}
func (SetRole) order()       {}

// AdoptResult is the result of Planner.Adopt. It is a sealed interface: Adopted and Stale are its only
// implementations.
//
//sumtype:decl
type AdoptResult interface{ adoptResult() }

// Adopted means that the desired state is now in force.
type Adopted struct{}

// Stale means that a newer generation is already in force.
type Stale struct{ InForce uint64 }

func (Adopted) adoptResult() {}
func (Stale) adoptResult()   {}

// target identifies what an order changes, so that the planner can tell whether the engine has carried out the order.
// The adapter is empty for a model; both fields are empty for the role.
type target struct{ model, adapter string }

// change is one difference between the desired and the actual state, with the order that removes it.
type change struct {
	target target
	order  Order
	// loads is set when the order fetches from the weight store.
	loads bool
	// interrupts is set when the order would interrupt streams of the target or, for the role, streams of any model.
	interrupts bool
}

// needsSlot reports whether the order waits for a slot of the sidecar's pacer. Loads do, to protect the weight store.
// A change of role does, because otherwise the whole fleet would stop taking work at the same time.
func (c change) needsSlot() bool { return c.loads || c.target == (target{}) }

// requiredChanges returns the changes in the order in which they are made. Removals come first, because loads need
// the memory that they free.
func requiredChanges(desired Desired, actual Status) []change {
	var removals, loads []change
	wanted := make(map[string]Model, len(desired.Models))
	for _, m := range desired.Models {
		wanted[m.Name] = m
	}
	loaded := make(map[string]Model, len(actual.Models))
	for _, m := range actual.Models {
		loaded[m.Name] = m
		w, ok := wanted[m.Name]
		if !ok {
			removals = append(removals, change{target: target{model: m.Name}, order: Unload{Model: m.Name}, interrupts: true})
			continue
		}
		for _, a := range m.Adapters {
			if !slices.ContainsFunc(w.Adapters, func(o Adapter) bool { return o.Name == a.Name }) {
				removals = append(removals, change{target: target{m.Name, a.Name}, order: UnloadAdapter{Model: m.Name, Adapter: a.Name}, interrupts: true})
			}
		}
	}
	if desired.Role != "" && desired.Role != actual.Role {
		removals = append(removals, change{order: SetRole{Role: desired.Role}, interrupts: true})
	}
	for _, m := range desired.Models {
		current, ok := loaded[m.Name]
		if !ok || current.Version != m.Version {
			loads = append(loads, change{target{model: m.Name}, Load{Model: m.Name, Version: m.Version}, true, ok})
			continue
		}
		for _, a := range m.Adapters {
			i := slices.IndexFunc(current.Adapters, func(o Adapter) bool { return o.Name == a.Name })
			if i < 0 || current.Adapters[i].Version != a.Version {
				loads = append(loads, change{target{m.Name, a.Name}, LoadAdapter{Model: m.Name, Adapter: a}, true, i >= 0})
			}
		}
	}
	return append(removals, loads...)
}

func (c change) blocked(inUse []string) bool {
	if !c.interrupts {
		return false
	}
	if c.target == (target{}) {
		return len(inUse) > 0
	}
	return slices.Contains(inUse, c.target.inUseName())
}

// inUseName returns the form of the target in Status.InUse.
func (t target) inUseName() string {
	if t.adapter == "" {
		return t.model
	}
	return t.model + ":" + t.adapter
}

// applied reports whether the status shows that an order was carried out.
func applied(o Order, s Status) bool {
	find := func(model string) (Model, bool) {
		i := slices.IndexFunc(s.Models, func(m Model) bool { return m.Name == model })
		if i < 0 {
			return Model{}, false
		}
		return s.Models[i], true
	}
	switch o := o.(type) {
	case Load:
		m, ok := find(o.Model)
		return ok && m.Version == o.Version
	case Unload:
		_, ok := find(o.Model)
		return !ok
	case LoadAdapter:
		m, _ := find(o.Model)
		return slices.Contains(m.Adapters, o.Adapter)
	case UnloadAdapter:
		m, _ := find(o.Model)
		return !slices.ContainsFunc(m.Adapters, func(a Adapter) bool { return a.Name == o.Adapter })
	case SetRole:
		return s.Role == o.Role
	}
	return false
}

func withHeader(o Order, h OrderHeader) Order {
	switch o := o.(type) {
	case Load:
		o.OrderHeader = h
		return o
	case Unload:
		o.OrderHeader = h
		return o
	case LoadAdapter:
		o.OrderHeader = h
		return o
	case UnloadAdapter:
		o.OrderHeader = h
		return o
	case SetRole:
		o.OrderHeader = h
		return o
	}
	return o
}
