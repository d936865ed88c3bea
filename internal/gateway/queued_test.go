package gateway_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/peering"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/internal/standin/direct"
)

var (
	ownPeerAddress   = netip.MustParseAddrPort("127.0.0.1:7001")
	otherPeerAddress = netip.MustParseAddrPort("127.0.0.1:7002")
)

// withPeer is withHarness for a gateway in a group with another one, whose datagrams fn sends through the connection other.
func withPeer(t *testing.T, fn func(h *harness, other net.PacketConn), options ...gateway.Option) {
	var other net.PacketConn
	withHarness(t, func(h *harness) {
		fn(h, other)
		assert.NilError(t, other.Close())
	}, append(options, func(g *gateway.Gateway) {
		// The network belongs to the virtual time of the harness.
		network := standin.NewPacketNetwork(2 * time.Millisecond)
		other = network.Listen(otherPeerAddress)
		gateway.WithPeerConn(network.Listen(ownPeerAddress))(g)
	})...)
}

// reportLoads sends a load at all engines as the state of another gateway, ten times a second.
func (h *harness) reportLoads(conn net.PacketConn, load dispatch.Load, times int) {
	for i := range times {
		s := peering.State{Incarnation: 1, Sequence: uint64(i + 1), Zone: "banos"}
		for _, b := range h.backends {
			if b.Server.Service == "pool" {
				load.Key = dispatch.BackendKey(&b.Server)
				s.Loads = append(s.Loads, load)
			}
		}
		h.sendReport(conn, s)
		time.Sleep(100 * time.Millisecond)
	}
}

// sendReport sends a state to the gateway under test.
func (h *harness) sendReport(conn net.PacketConn, s peering.State) {
	data, err := peering.Encode(s)
	assert.NilError(h.test, err)
	proof, err := peering.EncodeProof(peering.Proof{})
	assert.NilError(h.test, err)
	_, err = conn.WriteTo(append(data, proof...), net.UDPAddrFromAddrPort(ownPeerAddress))
	assert.NilError(h.test, err)
}

// checkPausedStream checks that a stream is complete which pauses at each engine, while another gateway reports a load at all
// engines, and how many engines run it.
func (h *harness) checkPausedStream(other net.PacketConn, pauses direct.Pauses, load dispatch.Load, runs int) {
	h.test.Helper()
	h.setFaults("pool", pauses, pauses)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(150 * time.Millisecond)
		h.reportLoads(other, load, 15)
	}()
	got := h.call(http.MethodPost, "/draft/a", func(c *gateway.CallerRequest) { c.Timeout = 10 * time.Second })
	<-done
	assert.Check(h.test, is.Equal(got.Status, 200))
	assert.Check(h.test, got.complete)
	assert.Check(h.test, is.Equal(got.body, expectedStream(got.id, 1, 5)))
	assert.Check(h.test, is.Len(h.runs(got.id), runs))
}

// Guards against streams that wait in the queue of an engine and are cut for their silence, because this gateway did not know
// of the requests before them when it sent them. After all gateways had restarted, hundreds lost their place within some
// milliseconds, went to the same engines again and used up the retry limit.
func TestQueuedStreamNotCut(t *testing.T) {
	const pause = 1800 * time.Millisecond
	cases := map[string]struct {
		load dispatch.Load
		runs int
	}{
		"others have filled the engine":  {dispatch.Load{Short: testEngine.Slots + 12}, 1},
		"others have prompts there":      {dispatch.Load{Long: 2, PendingPrefill: 1200 * time.Millisecond}, 1},
		"others have few requests there": {dispatch.Load{Short: 3}, 2},
		"others avoid the engine":        {dispatch.Load{Short: testEngine.Slots + 2, AvoidFor: time.Second}, 2},
		// No engine would begin before the caller gives up, so a move would only lose the answer.
		"others avoid full engines":        {dispatch.Load{Short: testEngine.Slots + 12, AvoidFor: time.Second}, 1},
		"others use all slots and no more": {dispatch.Load{Short: testEngine.Slots, PendingPrefill: 40 * time.Millisecond}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPeer(t, func(h *harness, other net.PacketConn) {
				h.checkPausedStream(other, direct.Pauses{After: 0, For: pause}, tc.load, tc.runs)
			})
		})
	}
}

// Guards against a status from which an engineer on call cannot see how old the reports of other gateways are, and how many
// long prompts wait for their turn.
func TestStatusOfGroup(t *testing.T) {
	withPeer(t, func(h *harness, other net.PacketConn) {
		assert.Equal(t, len(h.gateway.Status().ReportAges), 0)
		held := dispatch.HeldPrompt{Service: dispatch.ServiceKey("pool"), Waited: time.Second, Prefill: 7 * time.Second}
		h.sendReport(other, peering.State{Incarnation: 1, Sequence: 1, Zone: "banos", Held: []dispatch.HeldPrompt{held, held}})
		time.Sleep(1500 * time.Millisecond)
		status := h.gateway.Status()
		assert.Equal(t, status.ReportAges["banos"], int64(1498))
		assert.Equal(t, status.HeldLong, 2)
		assert.Equal(t, status.HeldPrefill, int64(14000))
		time.Sleep(time.Second)
		assert.Equal(t, h.gateway.Status().HeldLong, 0) // the report is too old
	})
}
