package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// Guards against a caller that closes its side of the connection and reads an empty success, or a stream that ends as if it
// were complete.
func TestCallerHalfCloses(t *testing.T) {
	cases := map[string]struct {
		path  string
		fault direct.ServerFault
		// events is the number of events that the caller has got when it closes its side.
		events int
	}{
		"booking unanswered":  {"/book/a", direct.NeverAnswers{}, 0},
		"look-up unanswered":  {"/look/a", direct.NeverAnswers{}, 0},
		"held":                {"/look/a", direct.RefusesFor{For: 900 * time.Millisecond}, 0},
		"stream unanswered":   {"/draft/a", direct.NeverAnswers{}, 0},
		"stream in the midst": {"/draft/a", direct.Pauses{After: 2, For: time.Minute}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults(serviceOf(tc.path), tc.fault, tc.fault)
				conn := h.callers.DialHalf()
				defer func() { _ = conn.Close() }()
				c := gateway.CallerRequest{ID: "leaving", Method: http.MethodGet, Target: tc.path, Host: callerHost, Key: callerKey, Timeout: 2 * time.Second}
				assert.NilError(t, platform.EncodeCallerRequest(callerAddress, c, nil).Write(conn))
				time.AfterFunc(300*time.Millisecond, func() { assert.Check(t, conn.CloseWrite()) })
				data, _ := io.ReadAll(conn)
				answer := string(data)
				if tc.events == 0 {
					assert.Equal(t, answer, "")
					return
				}
				assert.Equal(t, strings.Count(answer, "data:"), tc.events)
				assert.Assert(t, !strings.HasSuffix(answer, "0\r\n\r\n"), "%q", answer)
			})
		})
	}
}
