package gateway_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/internal/telemetry"
)

// unusedLimit is the platform's bound for the time that memory is reserved before a request uses it.
const unusedLimit = 9 * time.Second

// Guards against memory that stays reserved for longer than 9 s at engines that have not begun the request, against a long prefill
// that is cut or loses its memory although it is in use, and against engines that are asked more often than needed.
func TestUnusedReservations(t *testing.T) {
	const short, long = 300 * time.Millisecond, 12 * time.Second // times to the first event
	cases := map[string]struct {
		fault   direct.ServerFault // of the first server
		once    bool               // whether the request must run at most once
		engines int
		step    time.Duration
		// leaves is when the caller leaves, and vanish when all servers vanish, so that orders to release are lost.
		leaves, vanish time.Duration
		// runs is the number of servers that run the request; status is what the caller gets, zero if it leaves.
		runs, status int
		unused       bool
		maxReports   int
	}{
		"hung, another takes over":     {direct.NeverBegins{}, false, 6, short, 0, 0, 1, http.StatusOK, true, 4},
		"hung, no other":               {direct.NeverBegins{}, false, 2, short, 0, 0, 0, http.StatusBadGateway, true, 4},
		"hung, must run once":          {direct.NeverBegins{}, true, 6, short, 0, 0, 0, http.StatusBadGateway, true, 4},
		"no answer to the question":    {direct.NeverBegins{NoReport: true}, false, 2, short, 0, 0, 0, http.StatusBadGateway, true, 4},
		"orders to release are lost":   {direct.NeverBegins{}, false, 2, short, 0, 7900 * time.Millisecond, 0, http.StatusBadGateway, true, 4},
		"hung, the caller leaves":      {direct.NeverBegins{}, false, 2, short, 6500 * time.Millisecond, 0, 0, 0, false, 2},
		"long prefill":                 {direct.NoFault{}, false, 2, long, 0, 0, 1, http.StatusOK, false, 1},
		"begins late":                  {direct.BeginsAfter{Delay: 7800 * time.Millisecond}, false, 2, 4 * time.Second, 0, 0, 1, http.StatusOK, false, 4},
		"first event before the delay": {direct.NoFault{}, false, 2, 2 * time.Second, 0, 0, 1, http.StatusOK, false, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			metrics := telemetry.NewMetrics(t.Name())
			withPreparedHarness(t, func(h *harness) {
				if tc.once {
					routes := slices.Clone(testRoutes)
					for i := range routes {
						routes[i].Resumable = false
					}
					h.publish(map[string]string{callerKey: workspace}, routes)
				}
				for i := range tc.engines - 2 {
					h.addBackend("pool", 10+i)
				}
			}, func(h *harness) {
				pool := h.backends[2:]
				for _, b := range pool {
					b.Events, b.StepTime = 1, tc.step
					b.SetFault(tc.fault)
				}
				began, done := time.Now(), make(chan result, 1)
				ctx, cancel := context.WithCancel(h.test.Context())
				defer cancel()
				if tc.leaves > 0 {
					time.AfterFunc(tc.leaves, cancel)
				}
				if tc.vanish > 0 {
					time.AfterFunc(tc.vanish, func() { h.setFaults("pool", slices.Repeat([]direct.ServerFault{direct.Vanished{}}, len(pool))...) })
				}
				go func() {
					done <- h.callUntil(ctx, http.MethodPost, "/review/a", nil, func(c *gateway.CallerRequest) {
						c.Timeout, c.Prompt = 15*time.Second, &gateway.Prompt{Tokens: 400000, MaxOutputTokens: 500}
					})
				}()
				time.Sleep(500 * time.Millisecond)
				first := pool[0]
				var reserved []*direct.Backend
				for _, b := range pool {
					if b.Arrivals() > 0 {
						first = b
					}
					if b.Reserved() > 0 {
						reserved = append(reserved, b)
					}
				}
				assert.Check(t, len(reserved) > 1, "%d engines", len(reserved))
				for _, b := range pool {
					if b != first {
						b.SetFault(direct.NoFault{})
					}
				}
				for time.Since(began) < unusedLimit {
					for _, b := range reserved {
						assert.Check(t, tc.unused || len(done) > 0 || tc.leaves > 0 || b.Reserved() > 0, "not reserved at %s after %v", b.Server.ID, time.Since(began))
					}
					time.Sleep(50 * time.Millisecond)
				}
				for _, b := range reserved {
					assert.Check(t, !tc.unused || tc.runs > 0 && b != first || b.Reserved() == 0, "still reserved at %s", b.Server.ID)
				}
				got := <-done
				t.Logf("status %d after %v", got.Status, time.Since(began))
				assert.Check(t, is.Equal(got.Status, tc.status))
				assert.Check(t, is.Len(h.runs(got.id), tc.runs))
				assert.Check(t, first.Reports() <= tc.maxReports, "%d questions", first.Reports())
				assert.Check(t, is.Equal(metrics.Slice("gateway").Get("leases-not-used") != nil, tc.unused))
				time.Sleep(freeTime)
				for _, b := range pool {
					assert.Check(t, is.Equal(b.Reserved(), int64(0)))
					assert.Check(t, b == first || b.Reports() == 0, "a helper was asked")
				}
			}, gateway.WithMetrics(metrics))
		})
	}
}
