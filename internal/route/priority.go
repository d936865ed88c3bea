package route

import (
	"maps"
	"slices"
	"strconv"
)

// MaxPriority is the largest priority number, which is the least urgent.
const MaxPriority = 255

// Rank orders the requests for a service; the most urgent has the lowest number. The priority of the caller's workspace decides
// first, that of the route between requests of equal workspaces.
type Rank uint16

// newRank returns the rank of requests. A workspace without a priority has that of the route.
func newRank(workspace, route int) Rank { return Rank(workspace<<8 | route) }

// String returns the priority of the workspace and that of the route, such as 1/0.
func (r Rank) String() string {
	return strconv.Itoa(int(r>>8)) + "/" + strconv.Itoa(int(r&MaxPriority))
}

// MarshalText implements encoding.TextMarshaler, for logs and status.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// RankRange is the range of the ranks of the requests for a service. Most and Least are equal if the requests are not ranked.
type RankRange struct{ Most, Least Rank }

// Ranked reports whether some requests for the service are more urgent than others.
func (r RankRange) Ranked() bool { return r.Most != r.Least }

// Rank returns the rank of the requests of a workspace on a route. The workspace is empty on a public route.
func (t *Table) Rank(r *Route, workspace string) Rank {
	if p, ok := t.priorities[workspace]; ok && workspace != "" {
		return newRank(p, r.Priority)
	}
	return newRank(r.Priority, r.Priority)
}

// Ranks returns the range of the ranks of the requests for a service. Requests are ranked if operators have given the routes of
// the service different priorities.
func (t *Table) Ranks(service string) RankRange { return t.ranks[service] }

// RankedServices returns the names of the services whose requests are ranked, in alphabetical order.
func (t *Table) RankedServices() []string { return slices.Sorted(maps.Keys(t.ranks)) }

// findRanks returns the range of ranks of each service whose routes have different priorities.
func (t *Table) findRanks(routes []Route) map[string]RankRange {
	byService := map[string][]*Route{}
	for i := range routes {
		for _, share := range routes[i].Shares {
			if share.Weight > 0 {
				byService[share.Service] = append(byService[share.Service], &routes[i])
			}
		}
	}
	ranks := map[string]RankRange{}
	for service, list := range byService {
		if !slices.ContainsFunc(list, func(r *Route) bool { return r.Priority != list[0].Priority }) {
			continue
		}
		r := RankRange{Most: newRank(MaxPriority, MaxPriority)}
		for _, route := range list {
			if !t.NeedsKey(route) {
				r.add(t.Rank(route, ""))
				continue
			}
			for _, workspace := range t.workspaces {
				r.add(t.Rank(route, workspace))
			}
		}
		ranks[service] = r
	}
	return ranks
}

func (r *RankRange) add(rank Rank) { r.Most, r.Least = min(r.Most, rank), max(r.Least, rank) }
