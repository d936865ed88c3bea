package peering_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/peering"
	"berylward.example/berylward/internal/worker"
)

var (
	start = time.Unix(1000, 0)
	self  = netip.MustParseAddrPort("10.0.0.1:7000")
	seed  = netip.MustParseAddrPort("10.0.0.2:7000")
	other = netip.MustParseAddrPort("10.0.0.3:7000")
)

// Guards against old state that replaces newer state, and against ignoring a gateway that has restarted.
func TestReceive(t *testing.T) {
	cases := map[string]struct {
		from  netip.AddrPort
		state peering.State
		fresh bool
	}{
		"newer":               {other, peering.State{Incarnation: 5, Sequence: 8}, true},
		"repeated":            {other, peering.State{Incarnation: 5, Sequence: 7}, false},
		"older":               {other, peering.State{Incarnation: 5, Sequence: 6}, false},
		"next incarnation":    {other, peering.State{Incarnation: 6, Sequence: 1}, true},
		"earlier incarnation": {other, peering.State{Incarnation: 4, Sequence: 99}, false},
		"own":                 {self, peering.State{Incarnation: 9, Sequence: 1}, false},
		"another gateway":     {seed, peering.State{Incarnation: 1, Sequence: 1}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := peering.NewGroup(self, "z", []netip.AddrPort{seed})
			assert.DeepEqual(t, g.Receive(start, other, peering.State{Incarnation: 5, Sequence: 7}), peering.Fresh{Joined: true})
			_, fresh := g.Receive(start, tc.from, tc.state).(peering.Fresh)
			assert.Equal(t, fresh, tc.fresh)
		})
	}
}

// Guards against ignoring a gateway that restarted with its clock set back.
func TestClockSetBack(t *testing.T) {
	cases := map[string]struct {
		silence time.Duration
		fresh   bool
	}{
		"late datagram of the earlier incarnation": {100 * time.Millisecond, false},
		"restarted": {time.Second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := peering.NewGroup(self, "z", nil)
			g.Receive(start, other, peering.State{Incarnation: 50, Sequence: 7})
			_, fresh := g.Receive(start.Add(tc.silence), other, peering.State{Incarnation: 4, Sequence: 1}).(peering.Fresh)
			assert.Equal(t, fresh, tc.fresh)
			_, fresh = g.Receive(start.Add(tc.silence), other, peering.State{Incarnation: 4, Sequence: 2}).(peering.Fresh)
			assert.Equal(t, fresh, tc.fresh, "the next datagram")
		})
	}
}

// Guards against gateways that never learn of each other, gateways that are still counted while they stop or after
// they have ended, and an unlimited rate of datagrams.
func TestGroup(t *testing.T) {
	g := peering.NewGroup(self, "z", []netip.AddrPort{seed, self})
	assert.Assert(t, slices.Equal(g.Recipients(start, false), []netip.AddrPort{seed}))
	assert.Equal(t, len(g.Recipients(start.Add(10*time.Millisecond), true)), 0, "a silent seed gets one datagram per second")
	g.Receive(start, seed, peering.State{Incarnation: 1, Sequence: 1, Zone: "z", Members: []netip.AddrPort{other, self}})
	assert.Equal(t, g.Size(), 2)
	now := start.Add(time.Second)
	assert.Equal(t, len(g.Recipients(now, true)), 2, "a gateway that another one lists gets a datagram")
	assert.Equal(t, len(g.Recipients(now.Add(5*time.Millisecond), true)), 0)
	assert.Equal(t, len(g.Recipients(now.Add(40*time.Millisecond), false)), 1, "a pending change is sent")
	assert.Equal(t, len(g.Recipients(now.Add(400*time.Millisecond), false)), 0)
	assert.Equal(t, len(g.Recipients(now.Add(600*time.Millisecond), false)), 1, "an unchanged state is sent at the idle interval")
	g.Receive(now, other, peering.State{Incarnation: 1, Sequence: 1, Stopping: true})
	assert.Equal(t, g.Size(), 2)
	assert.Equal(t, len(g.Expire(start.Add(3500*time.Millisecond))), 1)
	assert.Equal(t, g.Size(), 1)
}

// Guards against large groups that send to other zones as often as within their own.
func TestIntervalsByZone(t *testing.T) {
	g := peering.NewGroup(self, "z", nil)
	for i := range 20 {
		zone := "z"
		if i%2 == 1 {
			zone = "far"
		}
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000)
		g.Receive(start, from, peering.State{Incarnation: 1, Sequence: 1, Zone: zone})
	}
	assert.Equal(t, len(g.Recipients(start, true)), 20)
	near, far := 0, 0
	for at := time.Duration(0); at < time.Second; at += 5 * time.Millisecond {
		for _, to := range g.Recipients(start.Add(at), true) {
			if to.Addr().As4()[3]%2 == 1 {
				far++
			} else {
				near++
			}
		}
	}
	assert.Assert(t, near >= 230 && near <= 290, "%d datagrams in a second within the zone", near)
	assert.Assert(t, far >= 30 && far <= 40, "%d datagrams in a second to other zones", far)
}

// Guards against a size of the zone or of the group at which the interval within the zone jumps, so that gateways of a
// slightly larger zone place requests by much older reports.
func TestIntervalIsSmooth(t *testing.T) {
	cases := map[string]struct{ zones, most int }{"one zone": {1, 200}, "three zones": {3, 400}, "five zones": {5, 400}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := peering.NewGroup(self, "0", nil)
			previous := time.Duration(0)
			for i := range tc.most {
				from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7001)
				g.Receive(start, from, peering.State{Incarnation: 1, Sequence: 1, Zone: fmt.Sprint(i % tc.zones)})
				interval, _ := g.Intervals()
				assert.Assert(t, i < 5 || interval < previous+previous/4, "%v at %d gateways, %v at one less", interval, i+2, previous)
				previous = interval
			}
		})
	}
}

// Guards against large groups whose gateways learn of each other too late, lose each other because they rarely send,
// or send more datagrams than an instance can handle. Limits are divided among the known gateways, so a gateway that
// knows too few of them uses too large a part.
func TestLargeGroups(t *testing.T) {
	cases := map[string]struct {
		gateways int
		// allKnownBy is when all gateways must know each other.
		allKnownBy time.Duration
		// maxRate is the largest mean number of datagrams per second that one gateway may send.
		maxRate float64
	}{
		"3":   {3, time.Second, 150},
		"21":  {21, 2 * time.Second, 400},
		"100": {100, 3 * time.Second, 500},
		"300": {300, 5 * time.Second, 600},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const (
				step          = 5 * time.Millisecond
				latency       = 2 * time.Millisecond
				duration      = 7 * time.Second
				checkInterval = 50 * time.Millisecond
			)
			random := rand.New(rand.NewPCG(1, uint64(tc.gateways)))
			address := func(i int) netip.AddrPort {
				return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
			}
			type datagram struct {
				to    int
				from  netip.AddrPort
				state peering.State
			}
			index := map[netip.AddrPort]int{}
			var groups []*peering.Group
			var next []time.Duration
			for i := range tc.gateways {
				index[address(i)] = i
				zone := fmt.Sprint(i % 3)
				groups = append(groups, peering.NewGroup(address(i), zone, []netip.AddrPort{address(0), address(1), address(2)}))
				next = append(next, time.Duration(random.IntN(300))*time.Millisecond)
			}
			var inFlight []datagram
			completeAt, maxMissing, expired, sent := time.Duration(0), 0, 0, 0
			for at := time.Duration(0); at < duration; at += step {
				now := start.Add(at)
				arrived := inFlight
				inFlight = nil
				for _, d := range arrived {
					groups[d.to].Receive(now.Add(latency-step), d.from, d.state)
				}
				for i, g := range groups {
					if at < next[i] {
						continue
					}
					expired += len(g.Expire(now))
					to := g.Recipients(now, true)
					slices.SortFunc(to, netip.AddrPort.Compare) // makes lost datagrams the same in each run
					if len(to) > 0 {
						sequence, members := g.NextDatagram(now)
						s := peering.State{Incarnation: 1, Sequence: sequence, Zone: fmt.Sprint(i % 3), Members: members}
						for _, other := range to {
							sent++
							if random.Float64() > 0.01 {
								inFlight = append(inFlight, datagram{index[other], address(i), s})
							}
						}
					}
					interval, _ := g.Intervals()
					next[i] = at + interval
				}
				if at%checkInterval != 0 {
					continue
				}
				allKnown := true
				for _, g := range groups {
					size := g.Size()
					allKnown = allKnown && size == tc.gateways
					if g.Complete(now) {
						maxMissing = max(maxMissing, tc.gateways-size)
					}
				}
				if allKnown && completeAt == 0 {
					completeAt = at
				}
			}
			assert.Assert(t, completeAt > 0 && completeAt <= tc.allKnownBy, "all known after %v", completeAt)
			assert.Assert(t, maxMissing <= tc.gateways/10, "%d gateways not known although the group is complete", maxMissing)
			assert.Equal(t, expired, 0, "live gateways expired")
			rate := float64(sent) / float64(tc.gateways) / duration.Seconds()
			assert.Assert(t, rate <= tc.maxRate, "%.0f datagrams a second", rate)
		})
	}
}

// Guards against fields that are lost in encoding, and datagrams that are too large, malformed or truncated.
func TestMessages(t *testing.T) {
	state := peering.State{
		Incarnation: 7, Sequence: 9, Zone: "el-centro", Stopping: true, Members: []netip.AddrPort{seed}, Requests: []byte{1}, Parts: []byte{2},
		Loads: []dispatch.Load{{Key: 3, Short: 2, Long: 1, PendingPrefill: 250 * time.Millisecond, Memory: 9000, AvoidFor: time.Second}},
		Held:  []dispatch.HeldPrompt{{Service: 4, Waited: 2 * time.Second, Prefill: 9 * time.Second}},
		Work: []dispatch.LongWork{{
			Service: 4, Admitted: dispatch.PrefillByLength{0, time.Second, 20 * time.Second}, Sent: dispatch.PrefillByLength{3 * time.Second},
			Pending: 1200 * time.Millisecond,
		}},
		RetryUsage: []dispatch.RetryUsage{{Service: 8, Requests: 90, Retries: 4}}, Stamp: 70_000,
		Paces: []dispatch.PaceReport{
			{Key: 3, Speed: worker.SpeedEvidence{Weight: 3, LogSum: 3}, HasWindow: true, Window: worker.WindowReport{Generation: 2, Grown: -1}},
			{Key: 5, HasWindow: true, Window: worker.WindowReport{Open: true, Grown: 9}},
			{Key: 6, Speed: worker.SpeedEvidence{Weight: 5, LogSum: -5}},
		},
	}
	proof := peering.Proof{Version: 8, Incarnation: 3, Stamp: 70_000, Delay: 40 * time.Millisecond}
	proofData, err := peering.EncodeProof(proof)
	assert.NilError(t, err)
	data, err := peering.Encode(state)
	assert.NilError(t, err)
	got, gotProof, err := peering.Decode(append(data, proofData...))
	assert.NilError(t, err)
	assert.DeepEqual(t, gotProof, proof)
	assert.DeepEqual(t, got, state, cmpopts.EquateComparable(netip.AddrPort{}))
	state.Loads = nil
	for i := range 500 {
		state.Loads = append(state.Loads, dispatch.Load{Key: dispatch.Key(i + 1<<30), Short: 10, PendingPrefill: time.Duration(i) * time.Second})
	}
	state.Held, state.Work = nil, nil
	for i := range 500 {
		state.Held = append(state.Held, dispatch.HeldPrompt{Service: 1 << 30, Waited: time.Duration(i) * time.Second, Prefill: time.Minute})
		work := dispatch.LongWork{Service: 1 << 30, Pending: time.Duration(i) * time.Second}
		for c := range work.Admitted {
			work.Admitted[c], work.Sent[c] = time.Duration(i)*time.Second, time.Hour
		}
		state.Work = append(state.Work, work)
	}
	data, err = peering.Encode(state)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 1400, "%d bytes", len(data))
	data = append(data, proofData...)
	got, _, err = peering.Decode(data)
	assert.NilError(t, err)
	assert.Equal(t, got.Loads[0].PendingPrefill, 499*time.Second, "the largest loads are kept")
	assert.Equal(t, got.Held[0].Waited, 499*time.Second, "the oldest held prompts are kept")
	assert.Equal(t, got.Work[0].Pending, 499*time.Second, "the services with the most work are kept")
	for name, speed := range map[string]worker.SpeedEvidence{"huge": {Weight: 1e9, LogSum: 1e12}, "none": {}, "tiny": {Weight: 1e-9, LogSum: 1}} {
		data, err := peering.Encode(peering.State{Paces: []dispatch.PaceReport{{Key: 1, Speed: speed}}})
		assert.NilError(t, err)
		_, _, err = peering.Decode(append(data, proofData...))
		assert.NilError(t, err, name)
	}
	for name, malformed := range map[string][]byte{"empty": {}, "not an array": {0x01}, "truncated": data[:40], "no proof": data[:len(data)-len(proofData)]} {
		_, _, err := peering.Decode(malformed)
		assert.ErrorContains(t, err, "decode", name)
	}
}

// Guards against datagrams that make the decoder panic, and negative numbers in decoded loads.
func FuzzDecode(f *testing.F) {
	data, err := peering.Encode(peering.State{Loads: []dispatch.Load{{Key: 1, Short: 1}}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _, err := peering.Decode(data)
		if err != nil {
			return
		}
		for _, l := range s.Loads {
			assert.Assert(t, l.Short >= 0 && l.PendingPrefill >= 0 && l.AvoidFor >= 0)
		}
		for _, h := range s.Held {
			assert.Assert(t, h.Waited >= 0 && h.Prefill >= 0)
		}
		for _, r := range s.Paces {
			assert.Assert(t, r.Speed.Weight >= 0 && r.Window.Generation >= 0)
		}
	})
}
