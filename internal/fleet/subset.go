package fleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hrwWeight returns the weight of a pair of hashes in rendezvous (highest random weight) hashing. The mixing steps are
// those of splitmix64.
func hrwWeight(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c159e3779b9)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// subsetNode is an instance with the fields that the subset calculation needs.
type subsetNode struct {
	name string
	zone string
	hash uint64
}

func newSubsetNode(i Instance) subsetNode {
	return subsetNode{name: i.Name, zone: i.Zone, hash: xxhash.Sum64String(i.Name)}
}

// subsets returns the workers that each entry links to, chosen from one group of interchangeable workers.
//
// Each entry has a quota of workers for every zone. Within a zone, all entries compute the same matching: pairs of
// entry and worker are taken in descending order of rendezvous weight while the entry has quota left and the worker
// has fewer links than the mean. With plain rendezvous hashing, the links of 1,200 workers to 400 entries would have
// a standard deviation of 2.8 around their mean of 8. An instance that joins or leaves moves only the pairs that it
// displaces directly or indirectly.
func subsets(entries, workers []subsetNode, size int) [][]string {
	chosen := make([][]string, len(entries))
	if len(workers) <= size {
		for i := range chosen {
			for _, w := range workers {
				chosen[i] = append(chosen[i], w.name)
			}
		}
		return chosen
	}
	byZone := map[string][]subsetNode{}
	for _, w := range workers {
		byZone[w.zone] = append(byZone[w.zone], w)
	}
	quotas := map[string]map[string]int{}
	for _, e := range entries {
		if quotas[e.zone] == nil {
			quotas[e.zone] = zoneQuotas(e.zone, byZone, size)
		}
	}
	demand := make([]int, len(entries))
	for zone, members := range byZone {
		for i, e := range entries {
			demand[i] = quotas[e.zone][zone]
		}
		matchZone(chosen, entries, demand, members)
	}
	return chosen
}

// zoneQuotas divides size among the zones in proportion to their workers, with the entry's own zone weighted by
// localZoneWeight. Each zone gets at least one and at most all of its workers.
func zoneQuotas(localZone string, byZone map[string][]subsetNode, size int) map[string]int {
	zones := make([]string, 0, len(byZone))
	for z := range byZone {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	weight := func(z string) float64 {
		if z == localZone {
			return localZoneWeight * float64(len(byZone[z]))
		}
		return float64(len(byZone[z]))
	}
	quotas := make(map[string]int, len(zones))
	remaining := size
	for _, z := range zones {
		quotas[z] = 1
		remaining--
	}
	// The zone with the highest quotient gets the next link (d'Hondt method), so that no quota falls when size or a
	// zone grows by one.
	for ; remaining > 0; remaining-- {
		best, score := "", -1.0
		for _, z := range zones {
			if s := weight(z) / float64(quotas[z]+1); quotas[z] < len(byZone[z]) && s > score {
				best, score = z, s
			}
		}
		if best == "" {
			break
		}
		quotas[best]++
	}
	return quotas
}

// pair is a possible link from an entry to a worker, both given by index.
type pair struct {
	weight        uint64
	entry, worker int32
}

const (
	// sparePairs keeps the probability low that an entry with a demand of one or two finds no worker with room.
	sparePairs = 16
	// likelyPairLevels is how many ceilings are tried with the likely pairs before all pairs are considered.
	likelyPairLevels = 3
)

// rankedPairs returns the pairs in descending order of weight. With likelyOnly, it returns only the pairs that each
// entry is most likely to get, about four times its demand plus sparePairs. Sorting all 480,000 pairs of the target
// size would take a quarter of a second.
func rankedPairs(entries []subsetNode, demand []int, workers []subsetNode, likelyOnly bool) []pair {
	var pairs []pair
	for i, e := range entries {
		minWeight := uint64(0)
		if share := float64(4*demand[i]+sparePairs) / float64(len(workers)); likelyOnly && share < 1 {
			minWeight = uint64((1 - share) * math.MaxUint64)
		}
		if demand[i] == 0 {
			continue
		}
		for j, w := range workers {
			if weight := hrwWeight(e.hash, w.hash); weight >= minWeight {
				pairs = append(pairs, pair{weight, int32(i), int32(j)})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Or(cmp.Compare(a.entry, b.entry), cmp.Compare(a.worker, b.worker))
	})
	return pairs
}

// matchZone appends to chosen the workers of one zone that each entry is matched with.
func matchZone(chosen [][]string, entries []subsetNode, demand []int, workers []subsetNode) {
	total := 0
	remaining := slices.Clone(demand)
	for _, d := range demand {
		total += d
	}
	links := make([]int, len(workers))
	// The ceiling starts just below the mean, so that nearly every worker reaches it, and rises until every entry has
	// its quota. Where the starting value changes, 8 % of all links move; the offset of 1/4 keeps that point away
	// from integer means, such as the mean of 8 at the target size.
	ceiling := int(math.Floor(max(float64(total)/float64(len(workers))-0.25, 0)))
	pairs := rankedPairs(entries, demand, workers, true)
	for level, unmet := 0, total; unmet > 0 && ceiling <= len(entries); level, ceiling = level+1, ceiling+1 {
		if level == likelyPairLevels {
			pairs = slices.DeleteFunc(rankedPairs(entries, demand, workers, false), func(p pair) bool {
				return remaining[p.entry] == 0 || slices.Contains(chosen[p.entry], workers[p.worker].name)
			})
		}
		deferred := pairs[:0]
		for _, p := range pairs {
			if remaining[p.entry] == 0 {
				continue
			}
			if links[p.worker] >= ceiling {
				deferred = append(deferred, p)
				continue
			}
			remaining[p.entry]--
			links[p.worker]++
			unmet--
			chosen[p.entry] = append(chosen[p.entry], workers[p.worker].name)
		}
		pairs = deferred
	}
}

// computeSubset returns the sorted names of the workers to link to. Workers that take no new work do not count
// towards the size or minWorkersPerModel, but a link that the entry would otherwise have stays for the work that
// still runs on it.
func computeSubset(self Instance, instances []Instance, size int, inService func(Instance) bool) []string {
	entries := []subsetNode{newSubsetNode(self)}
	var workers, serving []Instance
	notInService := map[string]bool{}
	for _, i := range instances {
		switch {
		case i.Role == RoleEntry:
			if !i.Leaving && i.Name != self.Name {
				entries = append(entries, newSubsetNode(i))
			}
			continue
		case inService(i):
			serving = append(serving, i)
		default:
			notInService[i.Name] = true
		}
		workers = append(workers, i)
	}
	chosen := chooseSubset(entries, serving, size)
	if len(notInService) > 0 {
		for name := range chooseSubset(entries, workers, size) {
			if notInService[name] {
				chosen[name] = true
			}
		}
	}
	names := make([]string, 0, len(chosen))
	for name := range chosen {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// chooseSubset returns the workers of the first entry: an even subset of the engines and of each service's workers,
// and further workers in rendezvous order until each model has minWorkersPerModel.
func chooseSubset(entries []subsetNode, workers []Instance, size int) map[string]bool {
	groups, models := map[target][]subsetNode{}, map[string][]subsetNode{}
	for _, i := range workers {
		node := newSubsetNode(i)
		if i.Role == RoleService {
			groups[target{true, i.Service}] = append(groups[target{true, i.Service}], node)
			continue
		}
		groups[target{}] = append(groups[target{}], node)
		for _, m := range i.Models {
			models[m] = append(models[m], node)
		}
	}
	chosen := map[string]bool{}
	for _, group := range groups {
		for _, name := range subsets(entries, group, size)[0] {
			chosen[name] = true
		}
	}
	names := make([]string, 0, len(models))
	for m := range models {
		names = append(names, m)
	}
	slices.Sort(names) // A worker added for one model may cover the next.
	self := entries[0]
	for _, m := range names {
		members, count := models[m], 0
		for _, w := range members {
			if chosen[w.name] {
				count++
			}
		}
		if count >= minWorkersPerModel {
			continue
		}
		slices.SortFunc(members, func(a, b subsetNode) int {
			return cmp.Or(cmp.Compare(hrwWeight(self.hash, b.hash), hrwWeight(self.hash, a.hash)), cmp.Compare(a.name, b.name))
		})
		for _, w := range members {
			if count < minWorkersPerModel && !chosen[w.name] {
				chosen[w.name] = true
				count++
			}
		}
	}
	return chosen
}
