package booking

import (
	"slices"
	"strings"

	"berylward.example/berylward/pkg/site"
)

// DeclaredOwnership returns the ownership of a service's keys in a generation. Entry processes and sidecars derive it
// from the same declarations and so agree on the owner of each key.
func DeclaredOwnership(s *site.Snapshot, service string) Ownership {
	d := s.Declarations
	epoch := s.OwnerEpoch(service)
	o := Ownership{Epoch: epoch.Epoch, Previous: epoch.Previous}
	for name, w := range d.Services[service].Workers {
		o.Workers = append(o.Workers, Worker{
			Name: name, Address: w.Address, Zone: w.Zone, InService: d.ZoneInService(w.Zone), Lost: w.Lost,
		})
	}
	slices.SortFunc(o.Workers, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	return o
}
