package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls to the store that grow with the number of gateways while nothing changes, and against gateways
// that are not ready because their table is not proven.
func TestStoreCallsOfGroup(t *testing.T) {
	const quiet = 30 * time.Second
	cases := map[string]struct {
		gateways, zones int
		maxPerSecond    float64
	}{
		"one zone of 12":     {12, 1, 4},
		"five zones of 8":    {40, 5, 12},
		"three zones of two": {6, 3, 6},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, fleetOptions{gateways: tc.gateways, zones: tc.zones, servers: 10}, func(f *fleet) {
				time.Sleep(20 * time.Second)
				before := f.store.CallCount()
				for range 30 {
					time.Sleep(quiet / 30)
					assert.Equal(t, f.ready(), tc.gateways)
				}
				rate := float64(f.store.CallCount()-before) / quiet.Seconds()
				assert.Assert(t, rate <= tc.maxPerSecond, "%.1f calls per second", rate)
			})
		})
	}
}

// Guards against a revoked key that some gateway still accepts, and against gateways that refuse valid keys although
// others of their zone can prove the table, in a group that shares its proofs.
func TestRevocationInGroup(t *testing.T) {
	const gateways = 6
	cases := map[string]struct {
		// cut are the gateways without a path to the store; alone is one without a path to the others besides.
		cut   []int
		alone int
		// served are the gateways that must accept a valid key 8 s after the cut.
		served []int
	}{
		"no fault":               {nil, -1, []int{0, 1, 2, 3, 4, 5}},
		"prover cut":             {[]int{0}, -1, []int{0, 1, 2, 3, 4, 5}},
		"half cut":               {[]int{0, 1, 2}, -1, []int{0, 1, 2, 3, 4, 5}},
		"one cut from all":       {[]int{5}, 5, []int{0, 1, 2, 3, 4}},
		"prover cut from all":    {[]int{0}, 0, []int{1, 2, 3, 4, 5}},
		"all cut from the store": {[]int{0, 1, 2, 3, 4, 5}, -1, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, fleetOptions{gateways: gateways, zones: 1, servers: 3}, func(f *fleet) {
				time.Sleep(10 * time.Second)
				for _, i := range tc.cut {
					f.cutStore(i)
				}
				if tc.alone >= 0 {
					f.network.SetCut(fleetAddress(tc.alone), true)
				}
				time.Sleep(8 * time.Second)
				for _, i := range tc.served {
					assert.Assert(t, f.gateways[i].Ready(), "gateway %d", i)
				}
				f.publish("new-key")
				for range 5 {
					time.Sleep(time.Second)
				}
				for i := range gateways {
					status := f.status(i, callerKey)
					assert.Assert(t, status == 401 || status == 503 && !f.gateways[i].Ready(), "status %d of gateway %d", status, i)
				}
			})
		})
	}
}
