package route_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/route"
)

// Guards against requests that go to a service with a share of none because the other services of the route are not usable,
// and against shares that do not follow the weights.
func TestChooseService(t *testing.T) {
	cases := map[string]struct {
		shares []route.Share
		usable []string
		// want is the expected number of each service in 1,000 draws, within a tenth of them; empty if none may be chosen.
		want map[string]int
	}{
		"one service":                         {[]route.Share{{Service: "a", Weight: 1}}, []string{"a"}, map[string]int{"a": 1000}},
		"split":                               {[]route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, []string{"a", "b"}, map[string]int{"a": 900, "b": 100}},
		"one of two not usable":               {[]route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, []string{"b"}, map[string]int{"b": 1000}},
		"none usable":                         {[]route.Share{{Service: "a", Weight: 50}, {Service: "b", Weight: 50}}, nil, map[string]int{"a": 500, "b": 500}},
		"share of none first, other gone":     {[]route.Share{{Service: "next"}, {Service: "a", Weight: 100}}, []string{"next"}, map[string]int{"a": 1000}},
		"share of none last, other gone":      {[]route.Share{{Service: "a", Weight: 100}, {Service: "next"}}, []string{"next"}, map[string]int{"a": 1000}},
		"share of none, other usable":         {[]route.Share{{Service: "next"}, {Service: "a", Weight: 100}}, []string{"next", "a"}, map[string]int{"a": 1000}},
		"one of three usable, share of none":  {[]route.Share{{Service: "next"}, {Service: "a", Weight: 70}, {Service: "b", Weight: 30}}, []string{"next", "b"}, map[string]int{"b": 1000}},
		"negative weight":                     {[]route.Share{{Service: "next", Weight: -3}, {Service: "a", Weight: 100}}, []string{"next"}, map[string]int{"a": 1000}},
		"negative weight beside usable":       {[]route.Share{{Service: "next", Weight: -3}, {Service: "a", Weight: 2}}, []string{"next", "a"}, map[string]int{"a": 1000}},
		"all shares of none":                  {[]route.Share{{Service: "a"}, {Service: "b"}}, []string{"a", "b"}, nil},
		"only service with a share of none":   {[]route.Share{{Service: "a"}}, []string{"a"}, nil},
		"no shares":                           {nil, nil, nil},
		"service named twice, once with none": {[]route.Share{{Service: "a"}, {Service: "a", Weight: 1}}, []string{"a"}, map[string]int{"a": 1000}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 5))
			r := &route.Route{Shares: tc.shares}
			got := map[string]int{}
			for range 1000 {
				service, ok := r.ChooseService(random.IntN, func(s string) bool { return slices.Contains(tc.usable, s) })
				assert.Equal(t, ok, len(tc.want) > 0)
				if ok {
					assert.Assert(t, r.Allows(service))
					got[service]++
				}
			}
			for service, n := range got {
				assert.Assert(t, n > tc.want[service]-100 && n < tc.want[service]+100 && tc.want[service] > 0, "%s: %d of 1,000 draws", service, n)
			}
		})
	}
}
