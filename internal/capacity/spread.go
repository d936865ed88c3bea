package capacity

import (
	"context"
	"math/rand/v2"
	"time"

	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/generation"
)

// watchersPerZone is the number of entries in each zone that watch the configuration service, as in package entry.
const watchersPerZone = 3

// measurePropagation computes the number of hops over links by which a new generation reaches the last process, starting
// at the entries that watch the configuration service. The fleet has size processes; a quarter of them are entries. Each
// hop takes at most one heartbeat interval plus the transfer.
func measurePropagation(_ context.Context, size int, _ time.Duration) (map[string]float64, error) {
	instances := toFleetInstances(newInstanceList(size))
	links := map[string][]string{}
	zones := map[string][]string{}
	for _, i := range instances {
		if i.Role != fleet.RoleEntry {
			continue
		}
		zones[i.Zone] = append(zones[i.Zone], i.Name)
		view := fleet.NewView(i, rand.NewPCG(1, 1))
		view.Update(time.Time{}, instances)
		for _, worker := range view.Subset() {
			links[i.Name] = append(links[i.Name], worker)
			links[worker] = append(links[worker], i.Name)
		}
	}
	hopsTo := map[string]int{}
	var frontier []string
	for _, names := range zones {
		for _, name := range names {
			if generation.IsWatcher(name, names, watchersPerZone) {
				hopsTo[name] = 0
				frontier = append(frontier, name)
			}
		}
	}
	watchers, lastHop := len(frontier), 0
	for hops := 1; len(frontier) > 0; hops++ {
		var next []string
		for _, name := range frontier {
			for _, peer := range links[name] {
				if _, ok := hopsTo[peer]; !ok {
					hopsTo[peer], lastHop = hops, hops
					next = append(next, peer)
				}
			}
		}
		frontier = next
	}
	linkCount := 0
	for _, i := range instances {
		if i.Role == fleet.RoleEntry {
			linkCount += len(links[i.Name])
		}
	}
	return map[string]float64{
		"watching entries":      float64(watchers),
		"hops to the last":      float64(lastHop),
		"processes not reached": float64(size - len(hopsTo)),
		"links of a sidecar":    float64(linkCount) / float64(size-countByRole(instances, fleet.RoleEntry)),
		"watch calls/s":         float64(watchers) / 30,
		"poll calls/s":          float64(size-watchers) / 60,
		"list watch calls/s":    float64(countByRole(instances, fleet.RoleEntry)) / 30,
	}, nil
}

func countByRole(instances []fleet.Instance, role fleet.Role) int {
	n := 0
	for _, i := range instances {
		if i.Role == role {
			n++
		}
	}
	return n
}
