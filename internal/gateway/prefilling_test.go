package gateway_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/internal/telemetry"
)

// Guards against running streams that are taken from an engine because it sends no event while it prefills long prompts. All of its
// streams moved at once, their prompts were prefilled again elsewhere, and that silenced the next engine.
func TestStreamStaysDuringPrefill(t *testing.T) {
	const pause = 1400 * time.Millisecond
	cases := map[string]struct {
		load dispatch.Load
		runs int
	}{
		"others have long prompts there":    {dispatch.Load{Long: 1, PendingPrefill: 1200 * time.Millisecond}, 1},
		"others have a short prompt there":  {dispatch.Load{Short: 12, PendingPrefill: 30 * time.Millisecond}, 2},
		"longer than the prompts explain":   {dispatch.Load{Long: 1, PendingPrefill: 500 * time.Millisecond}, 2},
		"others avoid the engine":           {dispatch.Load{Long: 1, PendingPrefill: 1200 * time.Millisecond, AvoidFor: time.Second}, 2},
		"others generate, without a prompt": {dispatch.Load{Short: testEngine.Slots}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			metrics := telemetry.NewMetrics(t.Name())
			withPeer(t, func(h *harness, other net.PacketConn) {
				h.checkPausedStream(other, direct.Pauses{After: 1, For: pause}, tc.load, tc.runs)
				assert.Check(t, is.Equal(metrics.Slice("gateway").Get("streams-paused-by-prefill") != nil, tc.runs == 1))
			}, gateway.WithMetrics(metrics))
		})
	}
}
