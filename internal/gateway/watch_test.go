package gateway_test

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/peering"
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
					assert.Assert(t, f.gateways[i].Load().Ready(), "gateway %d", i)
				}
				f.publish("new-key")
				for range 5 {
					time.Sleep(time.Second)
				}
				for i := range gateways {
					status := f.status(i, callerKey)
					assert.Assert(t, status == 401 || status == 503 && !f.gateways[i].Load().Ready(), "status %d of gateway %d", status, i)
				}
			})
		})
	}
}

// Guards against a datagram that ends a gateway, or makes it refuse or lose what it serves: truncated, with changed bytes, or
// with random content.
func TestMalformedDatagrams(t *testing.T) {
	withFleet(t, fleetOptions{gateways: 3, zones: 1, servers: 3}, func(f *fleet) {
		time.Sleep(5 * time.Second)
		random := rand.New(rand.NewPCG(3, 3))
		conn := f.network.Listen(fleetAddress(9))
		target := net.UDPAddrFromAddrPort(fleetAddress(1))
		state := peering.State{
			Incarnation: 1, Zone: "0", Members: []netip.AddrPort{fleetAddress(0)}, Loads: []dispatch.Load{{Key: 7, Short: 3, PendingPrefill: time.Second}},
			RetryUsage: []dispatch.RetryUsage{{Service: 5, Requests: 9}}, Requests: []byte{1, 2, 3}, Held: []dispatch.HeldPrompt{{Service: 5, Waited: time.Second}},
		}
		for n := range 3000 {
			state.Sequence = uint64(n)
			data, err := peering.Encode(state)
			assert.NilError(t, err)
			proof, err := peering.EncodeProof(peering.Proof{Version: 1 << 40, Revision: 1 << 40, Stamp: uint64(n)})
			assert.NilError(t, err)
			data = append(data, proof...)
			switch n % 3 {
			case 0:
				data = data[:random.IntN(len(data))]
			case 1:
				for range 1 + random.IntN(4) {
					data[random.IntN(len(data))] = byte(random.IntN(256))
				}
			default:
				for i := range data {
					data[i] = byte(random.IntN(256))
				}
			}
			_, err = conn.WriteTo(data, target)
			assert.NilError(t, err)
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, f.ready(), 3)
		// The backend servers of a fleet do not listen, so an admitted request gets no answer from them.
		assert.Equal(t, f.status(1, "unknown"), 401)
		assert.Assert(t, f.status(1, callerKey) != 401)
		assert.NilError(t, conn.Close())
	})
}
