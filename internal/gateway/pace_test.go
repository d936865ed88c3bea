package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
)

// Guards against a slow plain server that the status does not name, and against a setting that has an effect when it is off. Load:
// 100 calls in 5 s for three servers, one of which takes five times as long.
func TestPaceInStatus(t *testing.T) {
	for name, pace := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) {
				h.pace = pace
				h.addBackend("desk", 10)
				for _, b := range h.backends {
					if b.Server.Service == "desk" {
						b.Events, b.StepTime = 0, 15*time.Millisecond
					}
				}
				h.backends[0].StepTime = 75 * time.Millisecond
			}, func(h *harness) {
				var calls sync.WaitGroup
				slowness := map[string]float64{}
				for range 100 {
					calls.Go(func() { h.call(http.MethodGet, "/look/a", nil) })
					time.Sleep(50 * time.Millisecond)
					// The server is not named all the time: it gets little work, and evidence ages.
					for _, s := range h.gateway.Status().Pace {
						slowness[s.ID] = max(slowness[s.ID], s.Slowness)
					}
				}
				calls.Wait()
				if !pace {
					assert.Equal(t, len(slowness), 0)
					return
				}
				assert.Equal(t, len(slowness), 1)
				assert.Assert(t, slowness[h.backends[0].Server.ID] > 2)
			})
		})
	}
}

// Guards against a window that keeps requests from a server which only seems to have stopped, and against one that is not shown.
func TestWindowInStatus(t *testing.T) {
	withPreparedHarness(t, func(h *harness) {
		h.pace = true
		h.backends[0].SetFault(direct.NeverAnswers{})
	}, func(h *harness) {
		for range 16 {
			h.call(http.MethodGet, "/look/a", nil)
		}
		assert.DeepEqual(t, h.gateway.Status().Pace, []gateway.ServerPace{{ID: h.backends[0].Server.ID, Slowness: 1, Window: 1}})
		h.backends[0].SetFault(direct.NoFault{})
		time.Sleep(7 * time.Second)
		before := h.backends[0].Arrivals()
		for range 40 {
			h.call(http.MethodGet, "/look/a", nil)
			time.Sleep(200 * time.Millisecond)
		}
		assert.Assert(t, h.backends[0].Arrivals() > before+10)
		assert.Equal(t, len(h.gateway.Status().Pace), 0)
	})
}
