package model

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"
)

const (
	// loadTimeout is the time limit for a load: 100 GB of weights at 500 MB/s, plus half of that time.
	loadTimeout = 5 * time.Minute
	// orderTimeout is the time limit for an order without a load.
	orderTimeout = 15 * time.Second
	// maxBackoff limits the factor by which repeated failures lengthen the timeout.
	maxBackoff = 8
)

// outstanding is the order that the engine has not carried out yet.
type outstanding struct {
	change   change
	sequence uint64
	// retryAt is when the order is sent again.
	retryAt time.Time
}

// Planner decides which orders to send to one engine. It is owned by the sidecar's backend goroutine.
type Planner struct {
	started time.Time
	pacer   loadPacer
	desired *Desired

	sequence    uint64
	outstanding *outstanding
	failures    map[target]int
	// converged holds the targets that the engine was seen to have as desired, in this generation and this
	// incarnation of the engine. If such a target differs again, a late order of another sidecar process changed it.
	converged map[target]bool
	// fullyConverged is set once the engine was seen with no difference from the desired state, in this generation
	// and this incarnation of the engine.
	fullyConverged bool
	incarnation    string
	nextPlan       time.Time
	// slotGranted holds the targets whose order has its slot and only waits for streams to end.
	slotGranted map[target]bool
	// closed holds the targets that must get no new work, because an order that interrupts their streams waits for
	// the streams to end or is being carried out.
	closed map[target]bool
	// refusedFence is the fencing number that the engine refused as too old, or nil.
	refusedFence *Fence
}

// NewPlanner returns the planner of a sidecar that started at the given time. The source draws the phase of the
// pacer.
func NewPlanner(started time.Time, source rand.Source) *Planner {
	return &Planner{
		started: started, pacer: newLoadPacer(source), failures: map[target]int{}, converged: map[target]bool{},
		slotGranted: map[target]bool{}, closed: map[target]bool{},
	}
}

// Adopt puts a desired state into force unless its generation is older than the one in force. An equal state changes
// nothing. A different state of the same generation replaces the current one, because the choice of the workers of a
// model depends on the instance list.
func (p *Planner) Adopt(_ time.Time, d Desired) AdoptResult {
	if p.desired != nil {
		if d.Generation < p.desired.Generation {
			return Stale{p.desired.Generation}
		}
		if reflect.DeepEqual(d, *p.desired) {
			return Adopted{}
		}
	}
	p.desired = &d
	clear(p.slotGranted)
	clear(p.converged)
	p.fullyConverged = false
	clear(p.failures)
	// A slot of the former period is not valid in the new one.
	p.pacer.nextSlot = time.Time{}
	return Adopted{}
}

// Fence returns the fencing number of this sidecar's orders.
func (p *Planner) Fence() Fence {
	f := Fence{Started: p.started}
	if p.desired != nil {
		f.Generation = p.desired.Generation
	}
	return f
}

// NextPlanTime returns when Plan should be called again even without a new status. Zero means that only a change
// requires a call.
func (p *Planner) NextPlanTime() time.Time { return p.nextPlan }

// OrderRejected records that the engine refused the outstanding order. The order is sent again after the timeout of an
// order without a load, because the refusal may be due to memory that is still being freed.
func (p *Planner) OrderRejected(now time.Time, sequence uint64) {
	if o := p.outstanding; o != nil && o.sequence == sequence {
		o.retryAt = minTime(o.retryAt, now.Add(orderTimeout*time.Duration(p.backoff(o.change.target))))
		p.nextPlan = o.retryAt
	}
}

// OrderFenced records that the engine refused the outstanding order because of its fencing number: a later sidecar, or
// one with a newer generation, sends the orders. This planner returns none until its own number has risen or the engine
// has restarted.
func (p *Planner) OrderFenced(sequence uint64) {
	if o := p.outstanding; o != nil && o.sequence == sequence {
		p.outstanding = nil
		p.refusedFence = new(p.Fence())
		clear(p.closed)
	}
}

// RefusesWork reports whether new work for the model and, unless it is empty, the adapter must be refused because of a
// due order that would interrupt it.
func (p *Planner) RefusesWork(model, adapter string) bool {
	return p.closed[target{}] || p.closed[target{model: model}] || (adapter != "" && p.closed[target{model, adapter}])
}

// RefusesAnyWork reports whether any target is closed to new work.
func (p *Planner) RefusesAnyWork() bool {
	for _, closed := range p.closed {
		if closed {
			return true
		}
	}
	return false
}

// Plan returns the next order, or none. One order is outstanding at a time: the next one follows when the effect
// shows in the status or the timeout has passed. This also suffices for engines that ignore the fencing number: a
// late order of an earlier incarnation shows as a difference from the desired state, which the next order reverts.
func (p *Planner) Plan(now time.Time, s Status) []Order {
	p.nextPlan = time.Time{}
	clear(p.closed)
	if p.desired == nil {
		return nil
	}
	if s.Incarnation != p.incarnation {
		// A restarted engine has lost its state and any outstanding order.
		p.incarnation = s.Incarnation
		p.outstanding, p.refusedFence = nil, nil
		clear(p.converged)
		p.fullyConverged = false
		clear(p.failures)
		clear(p.slotGranted)
	}
	if p.refusedFence != nil && p.Fence().Compare(*p.refusedFence) <= 0 {
		return nil
	}
	if s.Fence.Compare(p.Fence()) > 0 {
		// A later sidecar, or one with a newer generation, sends the orders. This one waits for a newer generation of
		// its own.
		p.outstanding = nil
		return nil
	}
	changes := requiredChanges(*p.desired, s)
	if !p.resolveOutstanding(now, s, changes) {
		return nil
	}
	p.recordConverged(changes)
	maps.DeleteFunc(p.slotGranted, func(t target, _ bool) bool {
		return !slices.ContainsFunc(changes, func(c change) bool { return c.target == t })
	})
	for _, c := range changes {
		// The slot comes first: a model serves until its slot and is closed only then, until its streams end.
		if c.needsSlot() && !p.slotGranted[c.target] && !p.pacer.tryStart(now, pacingPeriod(p.desired.Workers, p.desired.LoadsPerSecond)) {
			p.nextPlan = p.pacer.nextSlot
			return nil
		}
		p.slotGranted[c.target] = true
		if c.blocked(s.InUse) {
			p.closed[c.target] = true
			continue
		}
		delete(p.slotGranted, c.target)
		return []Order{p.issue(now, c)}
	}
	return nil
}

// resolveOutstanding reports whether another order may be sent: no order is outstanding, its effect shows, it is no
// longer wanted, or its timeout has passed.
func (p *Planner) resolveOutstanding(now time.Time, s Status, changes []change) bool {
	o := p.outstanding
	if o == nil {
		return true
	}
	wanted := slices.ContainsFunc(changes, func(c change) bool { return c.target == o.change.target })
	done := !wanted || applied(o.change.order, s)
	switch {
	case done:
		delete(p.failures, o.change.target)
	case now.Before(o.retryAt):
		p.nextPlan = o.retryAt
		p.closed[o.change.target] = o.change.interrupts
		return false
	default:
		p.failures[o.change.target]++
	}
	p.outstanding = nil
	return true
}

// recordConverged records every desired target that the engine has.
func (p *Planner) recordConverged(changes []change) {
	differs := make(map[target]bool, len(changes))
	for _, c := range changes {
		differs[c.target] = true
	}
	record := func(t target) {
		if !differs[t] {
			p.converged[t] = true
		}
	}
	if p.desired.Role != "" {
		record(target{})
	}
	for _, m := range p.desired.Models {
		record(target{model: m.Name})
		for _, a := range m.Adapters {
			if !differs[target{model: m.Name}] {
				record(target{m.Name, a.Name})
			}
		}
	}
	p.fullyConverged = p.fullyConverged || len(changes) == 0
}

func (p *Planner) issue(now time.Time, c change) Order {
	revert := p.converged[c.target]
	switch c.order.(type) {
	case Unload, UnloadAdapter:
		revert = p.fullyConverged
	case Load, LoadAdapter, SetRole:
	}
	timeout := orderTimeout
	if c.loads {
		timeout = loadTimeout
	}
	p.sequence++
	p.outstanding = &outstanding{change: c, sequence: p.sequence, retryAt: now.Add(timeout * time.Duration(p.backoff(c.target)))}
	p.nextPlan = p.outstanding.retryAt
	p.closed[c.target] = c.interrupts
	return withHeader(c.order, OrderHeader{Fence: p.Fence(), Sequence: p.sequence, Revert: revert})
}

func (p *Planner) backoff(t target) int { return min(1<<min(p.failures[t], 8), maxBackoff) }

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
