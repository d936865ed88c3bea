package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/platform"
)

// Guards against a part of an answer that a caller takes for a complete one, because its backend server answered a long request
// before it had read it, and reset the connection.
func TestResetDuringUpload(t *testing.T) {
	paths := map[string]struct{ path, body string }{
		"booking":          {"/book/a", ""},
		"look-up":          {"/look/a", ""},
		"resumable stream": {"/draft/a", "id: 1\ndata: one\n\n"},
		"other stream":     {"/once/a", "id: 1\ndata: one\n\n"},
	}
	signed := http.Header{}
	platform.SetResponseHead(signed, gateway.ResponseHead{Signed: true})
	for name, tc := range paths {
		for framing, response := range standin.EarlyResponses(signed) {
			for when, accepted := range map[string]int{"within the upload": 64 << 10, "after the upload": -1} {
				t.Run(name+", "+framing+", "+when, func(t *testing.T) {
					dial := func(context.Context, netip.AddrPort) (net.Conn, error) {
						return standin.NewResetConn(response, accepted, 0), nil
					}
					withHarness(t, func(h *harness) {
						got := h.callWithBody(http.MethodPost, tc.path, make([]byte, 200<<10), nil)
						if tc.body == "" {
							assert.Check(t, got.Status == http.StatusBadGateway && got.body == "", "status %d, body %q", got.Status, got.body)
							return
						}
						// The event was whole, so it is passed on, and the stream breaks off after it.
						assert.Check(t, got.Status == http.StatusOK && !got.complete, "status %d, complete: %t", got.Status, got.complete)
						assert.Check(t, got.body == tc.body, "body %q", got.body)
					}, gateway.WithDialer(dial))
				})
			}
		}
	}
}
