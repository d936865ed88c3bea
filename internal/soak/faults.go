package soak

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

const (
	// maxFaultGap limits the pause before the next fault, and maxFaultLength how long a fault lasts. Faults usually
	// overlap.
	maxFaultGap    = 900 * time.Millisecond
	maxFaultLength = 2500 * time.Millisecond
	// faultGrace is how long after its end an unplanned fault still excuses an interrupted response.
	faultGrace = 4 * time.Second
)

// fault is one kind of fault. start injects it and returns the function that ends it. A planned fault, such as a drain,
// does not excuse interrupted responses.
type fault struct {
	name    string
	planned bool
	start   func(h *harness) (end func())
}

// faults are chosen with equal probability, together with surroundingFaults. Several may be active at once, also of the same kind.
var faults = []fault{
	{"gateway killed", false, func(h *harness) func() {
		h.randomGateway().signal(syscall.SIGKILL)
		return func() {}
	}},
	{"gateway paused", false, func(h *harness) func() {
		process := h.randomGateway()
		process.signal(syscall.SIGSTOP)
		return func() { process.signal(syscall.SIGCONT) }
	}},
	{"gateway stopped", true, func(h *harness) func() {
		h.randomGateway().signal(syscall.SIGTERM)
		return func() {}
	}},
	{"gateway reload", true, func(h *harness) func() {
		h.randomGateway().signal(syscall.SIGHUP)
		return func() {}
	}},
	{"store connection fault", false, func(h *harness) func() {
		h.storeProxy.SetFault(h.randomConnFault())
		return func() { h.storeProxy.SetFault(NoFault{}) }
	}},
	{"store outage", false, func(h *harness) func() {
		h.store.SetOutage([]direct.Outage{direct.NoAnswer{}, direct.Unavailable{}, direct.ConnClosed{}}[h.random.IntN(3)])
		return func() { h.store.SetOutage(direct.NoOutage{}) }
	}},
	{"store history compacted", false, func(h *harness) func() {
		h.store.Compact()
		return func() {}
	}},
	{"store restored from a copy", false, (*harness).restoreStore},
	{"backend connection fault", false, func(h *harness) func() {
		p := h.backendProxies[h.random.IntN(len(h.backendProxies))]
		p.SetFault(h.randomConnFault())
		return func() { p.SetFault(NoFault{}) }
	}},
	{"caller connection fault", false, func(h *harness) func() {
		p := h.gatewayProxies[h.random.IntN(len(h.gatewayProxies))]
		p.SetFault(h.randomConnFault())
		return func() { p.SetFault(NoFault{}) }
	}},
	{"backend misbehavior", false, func(h *harness) func() {
		b := h.backends[h.random.IntN(len(h.backends))]
		b.SetFault([]direct.ServerFault{
			direct.NeverAnswers{}, direct.Refuses{}, direct.Errors{}, direct.ClosesEarly{After: h.random.IntN(4)}, direct.Unsigned{}, direct.WrongID{},
			direct.RepeatsRefusal{}, direct.RefusesFor{For: time.Duration(h.random.Int64N(int64(maxFaultLength)))},
			direct.Endless{Status: http.StatusOK, Unframed: h.random.IntN(2) == 0}, direct.Endless{Status: http.StatusInternalServerError},
			direct.Endless{Status: http.StatusServiceUnavailable, Refusal: true},
		}[h.random.IntN(11)])
		return func() { b.SetFault(direct.NoFault{}) }
	}},
	{"backend leaves and restarts", true, func(h *harness) func() {
		b := h.backends[h.random.IntN(len(h.backends))]
		b.SetFault(direct.Leaves{})
		return func() {
			b.SetFault(direct.NoFault{})
			h.mu.Lock()
			h.startedAt[b] = h.clock.Now()
			h.mu.Unlock()
			h.updateEntry(b, false)
		}
	}},
	{"backend drain", true, func(h *harness) func() {
		b := h.backends[h.random.IntN(len(h.backends))]
		h.mu.Lock()
		h.drains = append(h.drains, drain{b, h.clock.Now()})
		h.mu.Unlock()
		h.updateEntry(b, true)
		return func() { h.updateEntry(b, false) }
	}},
	{"backend entry deleted", false, func(h *harness) func() {
		b := h.backends[h.random.IntN(len(h.backends))]
		h.store.Delete(platform.ServerKey(b.Server.ID))
		return func() { h.updateEntry(b, false) }
	}},
	{"zone out of service", true, func(h *harness) func() {
		z := zone(h.random.IntN(3))
		h.setZoneOut(z, true)
		return func() { h.setZoneOut(z, false) }
	}},
	{"key revoked", true, func(h *harness) func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		revokedKey := h.activeKeys[0]
		h.activeKeys = append(h.activeKeys[1:], revokedKey+"'")
		h.publishTable()
		h.revokedAt[revokedKey] = h.clock.Now()
		return func() {}
	}},
	{"table published", true, func(h *harness) func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.publishTable()
		return func() {}
	}},
	{"invalid entry", true, func(h *harness) func() {
		h.store.Put(platform.ServerKey("broken"), []byte(`{"service":`))
		return func() { h.store.Delete(platform.ServerKey("broken")) }
	}},
}

func (h *harness) randomGateway() *gatewayProcess { return h.gateways[h.random.IntN(len(h.gateways))] }

// updateEntry writes the store entry of a backend server. It ignores errors, because the same encoding succeeded in
// setUp.
func (h *harness) updateEntry(b *direct.Backend, draining bool) { _ = h.putEntry(b, draining) }

func (h *harness) randomConnFault() ConnFault {
	return []ConnFault{
		Delayed{Delay: time.Duration(1+h.random.IntN(40)) * time.Millisecond}, Reset{}, BlockServerToClient{}, BlockClientToServer{},
	}[h.random.IntN(4)]
}

// injectFaults injects random faults until ctx ends, and then ends those that are still active.
func (h *harness) injectFaults(ctx context.Context) {
	type activeFault struct {
		until time.Time
		end   func()
	}
	var active []activeFault
	all := slices.Concat(faults, surroundingFaults)
	for ctx.Err() == nil {
		now := h.clock.Now()
		kept := active[:0]
		for _, f := range active {
			if now.Before(f.until) {
				kept = append(kept, f)
			} else {
				f.end()
			}
		}
		active = kept
		h.copyStore(now)
		next := all[h.random.IntN(len(all))]
		length := time.Duration(h.random.Int64N(int64(maxFaultLength)))
		h.mu.Lock()
		h.faultCounts[next.name]++
		if !next.planned {
			h.unplannedFaults = append(h.unplannedFaults, interval{now, now.Add(length + maxFaultGap + faultGrace)})
		}
		h.mu.Unlock()
		active = append(active, activeFault{now.Add(length), next.start(h)})
		select {
		case <-ctx.Done():
		case <-h.clock.After(time.Duration(h.random.Int64N(int64(maxFaultGap)))):
		}
	}
	for _, f := range active {
		f.end()
	}
}
