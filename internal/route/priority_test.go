package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/route"
)

// Guards against requests that are ranked although operators have given the routes of their service one priority, and against a
// priority of a route that overrides that of the caller's workspace.
func TestRanks(t *testing.T) {
	routes := func(first, second int, public bool) []route.Route {
		shares := []route.Share{{Service: "pool", Weight: 1}}
		return []route.Route{
			{Name: "short", Host: "a.example", Prefix: "/s/", Priority: first, Shares: shares, Public: public},
			{Name: "long", Host: "a.example", Prefix: "/l/", Priority: second, Shares: shares, Public: public},
			{Name: "other", Host: "a.example", Prefix: "/o/", Priority: 9, Shares: []route.Share{{Service: "desk", Weight: 1}, {Service: "pool"}}},
		}
	}
	keys := map[string]string{"k1": "first", "k2": "second"}
	for name, tc := range map[string]struct {
		routes     []route.Route
		priorities map[string]int
		ranked     bool
		// less and more are the path and workspace of a more urgent and a less urgent request.
		more, less [2]string
	}{
		"routes of one priority":                  {routes: routes(1, 1, false), priorities: map[string]int{"first": 0, "second": 1}},
		"routes of different priorities":          {routes: routes(0, 2, false), ranked: true, more: [2]string{"/s/", "first"}, less: [2]string{"/l/", "first"}},
		"workspaces of one priority":              {routes: routes(0, 2, false), priorities: map[string]int{"first": 1, "second": 1}, ranked: true, more: [2]string{"/s/", "second"}, less: [2]string{"/l/", "first"}},
		"a workspace takes precedence":            {routes: routes(0, 2, false), priorities: map[string]int{"first": 0, "second": 1}, ranked: true, more: [2]string{"/l/", "first"}, less: [2]string{"/s/", "second"}},
		"routes that need no key":                 {routes: routes(0, 2, true), ranked: true, more: [2]string{"/s/", ""}, less: [2]string{"/l/", ""}},
		"a share of none does not rank a service": {routes: routes(1, 1, true)},
	} {
		t.Run(name, func(t *testing.T) {
			table := route.NewTable(1, tc.routes, nil, keys, route.Limits{}, route.WithPriorities(tc.priorities))
			ranks := table.Ranks("pool")
			assert.Equal(t, ranks.Ranked(), tc.ranked)
			if !tc.ranked {
				return
			}
			more := table.Rank(table.Match("a.example", tc.more[0]), tc.more[1])
			less := table.Rank(table.Match("a.example", tc.less[0]), tc.less[1])
			assert.Check(t, more < less, "%d, %d", more, less)
			assert.Check(t, ranks.Most <= more && less <= ranks.Least, "range %+v", ranks)
		})
	}
}
