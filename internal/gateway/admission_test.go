package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
)

// Guards against a request that was admitted on arrival and is refused when it is sent later, after a hold or a failed
// attempt, because the store has not answered meanwhile. Long prompts are held most often, so they were refused most often.
func TestAdmittedRequestOutlastsProof(t *testing.T) {
	cases := map[string]struct {
		before, during func(*harness)
		complete       bool
	}{
		"store silent": {
			before: func(h *harness) { h.store.SetOutage(direct.NoAnswer{}); time.Sleep(3 * time.Second) },
			during: func(*harness) {}, complete: true,
		},
		"key withdrawn": {
			before: func(*harness) {}, during: func(h *harness) { h.publish(map[string]string{}, testRoutes) }, complete: false,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.backends[2].StepTime, h.backends[3].StepTime = 500*time.Millisecond, 500*time.Millisecond
				h.setFaults("pool", direct.ClosesEarly{After: 3}, direct.ClosesEarly{After: 3})
				tc.before(h)
				go func() {
					time.Sleep(time.Second)
					h.setFaults("pool", direct.NoFault{}, direct.NoFault{})
					tc.during(h)
				}()
				got := h.call(http.MethodPost, "/review/a", func(c *gateway.CallerRequest) { c.Timeout = 10 * time.Second })
				assert.Check(t, got.Status == http.StatusOK)
				assert.Check(t, got.complete == tc.complete)
				if tc.complete {
					assert.Check(t, got.body == expectedStream(got.id, 1, 5))
				}
			})
		})
	}
}
