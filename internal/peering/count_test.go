package peering_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/peering"
)

// Guards against counts of members that drift from the members, by which shared limits and intervals would be wrong.
func TestCountsOfMembers(t *testing.T) {
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
	}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := peering.NewGroup(address(0), "0", nil)
		last := map[int]peering.State{} // the last state of each member that has not expired
		now := start
		for step := range 400 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			i := 1 + random.IntN(30)
			s := peering.State{
				Incarnation: 1, Sequence: uint64(step + 1), Zone: fmt.Sprint(random.IntN(3)), Stopping: random.IntN(4) == 0,
			}
			g.Receive(now, address(i), s)
			last[i] = s
			for _, gone := range g.Expire(now) {
				delete(last, int(gone.Addr().As4()[3]))
			}
			g.Recipients(now, true)
			size, same := 1, peering.NewGroup(address(0), "0", nil)
			for i, s := range last {
				if !s.Stopping {
					size++
				}
				same.Receive(now, address(i), s)
			}
			assert.Equal(t, g.Size(), size, "seed %d, step %d", seed, step)
			sameZone, otherZones := g.Intervals()
			wantSame, wantOther := same.Intervals()
			assert.Equal(t, sameZone, wantSame, "seed %d, step %d", seed, step)
			assert.Equal(t, otherZones, wantOther, "seed %d, step %d", seed, step)
		}
	}
}
