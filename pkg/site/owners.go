package site

import (
	"fmt"
	"net/netip"
)

// checkTransition returns the problems that prevent the declarations from replacing the previous generation.
func (r *renderOptions) checkTransition(d *Declarations, generation uint64) []Problem {
	if r.previous == nil {
		return nil
	}
	var problems []Problem
	if generation <= r.previousManifest.Generation {
		problems = append(problems, Problem{
			Path: "generation", Found: fmt.Sprint(generation), Allowed: fmt.Sprintf("more than %d", r.previousManifest.Generation),
		})
	}
	for _, service := range sortedKeys(r.previous.Services) {
		if _, ok := d.Services[service]; !ok {
			continue
		}
		for _, name := range r.previous.Owners(service) {
			if _, ok := d.Services[service].Workers[name]; !ok {
				// The keys of the worker would be lost, because only declared workers are asked to hand over their
				// keys.
				problems = append(problems, Problem{
					Path:    "services." + service + ".workers." + name,
					Found:   "nothing, but the previous generation has it in service",
					Allowed: "the worker with its zone out, or declared lost, for at least key-life before it is removed",
				})
			}
		}
	}
	return problems
}

// ownerEpochs returns the owner epoch of each service. The epoch stays the same as long as the set of owners does.
func (r *renderOptions) ownerEpochs(d *Declarations, generation uint64) []OwnerEpoch {
	var epochs []OwnerEpoch
	for _, service := range sortedKeys(d.Services) {
		e := OwnerEpoch{Service: service, Epoch: generation}
		if before, ok := r.previousManifest.ownerEpoch(service); ok {
			e.Previous = before.Epoch
			if sameOwners(r.previous, d, service) {
				e = before
			}
		}
		epochs = append(epochs, e)
	}
	return epochs
}

func (m Manifest) ownerEpoch(service string) (OwnerEpoch, bool) {
	for _, o := range m.Owners {
		if o.Service == service {
			return o, true
		}
	}
	return OwnerEpoch{}, false
}

// sameOwners reports whether a service has the same workers in the same state in both declarations.
func sameOwners(a, b *Declarations, service string) bool {
	before, after := workerStates(a, service), workerStates(b, service)
	if len(before) != len(after) {
		return false
	}
	for name, s := range before {
		if after[name] != s {
			return false
		}
	}
	return true
}

type workerState struct {
	address         netip.AddrPort
	inService, lost bool
}

func workerStates(d *Declarations, service string) map[string]workerState {
	all := map[string]workerState{}
	for name, w := range d.Services[service].Workers {
		all[name] = workerState{address: w.Address, inService: d.ZoneInService(w.Zone), lost: w.Lost}
	}
	return all
}

// OwnerEpoch returns the owner epoch of a service. If the manifest has none for the service, the generation counts as a
// new epoch.
func (s *Snapshot) OwnerEpoch(service string) OwnerEpoch {
	if o, ok := s.Generation.Manifest.ownerEpoch(service); ok {
		return o
	}
	return OwnerEpoch{Service: service, Epoch: s.Number()}
}
