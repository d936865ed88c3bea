package peering_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/peering"
	"berylward.example/berylward/internal/suspect"
)

// Guards against a state that does not fit into the datagram that others read, so that its gateway is not heard while it has
// the most to tell.
func TestLargestDatagram(t *testing.T) {
	const (
		maxDatagram = 4 << 10 // what a gateway reads
		maxPayload  = 1472    // what an Ethernet frame carries
		busyServers = 500
	)
	state := func(count int, d time.Duration) peering.State {
		s := peering.State{Incarnation: 1 << 62, Sequence: 1 << 40, Zone: "a-zone-with-a-long-name", Stamp: 1 << 41}
		for i := range busyServers {
			s.Loads = append(s.Loads, dispatch.Load{
				Key: dispatch.Key(1<<31 + i), Short: count, Long: count, PendingPrefill: d, PendingHeavy: d, AvoidFor: d, Memory: 1 << 20,
			})
			s.Held = append(s.Held, dispatch.HeldPrompt{Service: 1 << 31, Route: 1 << 31, Waited: d, Prefill: d})
			s.Offered = append(s.Offered, dispatch.OfferedPrefill{Service: dispatch.Key(1<<31 + i), Total: d, Heavy: d})
			s.Shed = append(s.Shed, dispatch.ShedCounts{
				Route: dispatch.Key(1<<31 + i), Arrived: [3]float64{float64(count), 5, 5}, Refused: [3]float64{float64(count), 5, 5},
			})
			s.RetryUsage = append(s.RetryUsage, dispatch.RetryUsage{Service: dispatch.Key(1<<31 + i), Requests: count, Retries: count})
		}
		for i := range 12 {
			s.Members = append(s.Members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 2, byte(i)}), 7000))
		}
		return s
	}
	marks := make([]suspect.Mark, 12)
	for i := range marks {
		marks[i] = suspect.Mark{Crash: suspect.CrashID{Sequence: 1 << 62}, Role: suspect.RoleIsolated, Remaining: 24 * time.Hour}
	}
	crashMarks, err := suspect.EncodeMarks(marks)
	assert.NilError(t, err)
	cases := map[string]struct {
		state peering.State
		marks []byte
		limit int
	}{
		"most of everything": {state(1<<20, time.Hour), crashMarks, maxDatagram},
		"busy":               {state(20, 200*time.Millisecond), nil, maxPayload},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.state.CrashMarks = tc.marks
			data, err := peering.Encode(tc.state)
			assert.NilError(t, err)
			proof, err := peering.EncodeProof(peering.Proof{Version: 1 << 62, Incarnation: 1 << 62, Stamp: 1 << 62, Delay: time.Hour, Revision: 1 << 62})
			assert.NilError(t, err)
			t.Logf("%d bytes", len(data)+len(proof))
			assert.Assert(t, len(data)+len(proof) <= tc.limit, "%d bytes", len(data)+len(proof))
			decoded, _, err := peering.Decode(append(data, proof...))
			assert.NilError(t, err)
			assert.Equal(t, len(decoded.Loads), 48)
		})
	}
}
