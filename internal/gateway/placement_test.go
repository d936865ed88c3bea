package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
)

// Guards against more requests to a cold backend server than it can take, because the time until which it is cold was
// taken from another clock than the time of the request.
func TestColdBackendServer(t *testing.T) {
	withHarness(t, func(h *harness) {
		cold := h.backends[0]
		h.putEntry(cold.Server, 5*time.Second)
		time.Sleep(200 * time.Millisecond)
		for range 40 {
			assert.Equal(t, h.call(http.MethodGet, "/look/a", nil).Status, 200)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, cold.Arrivals() <= coldRate, "%d requests in 1.2 s", cold.Arrivals())
		assert.Equal(t, h.backends[1].Arrivals(), 40-cold.Arrivals())
	})
}

// Guards against an attempt that is cut for its silence although the request could not be sent to another backend server.
func TestLastAttemptNotCut(t *testing.T) {
	const pause = 1500 * time.Millisecond
	cases := map[string]struct {
		path, service string
		// change makes further attempts impossible while the first one is silent.
		change func(*harness)
		body   func(id string) string
	}{
		"key withdrawn": {"/draft/a", "pool", func(h *harness) { h.publish(map[string]string{}, testRoutes) },
			func(id string) string { return expectedStream(id, 1, 5) }},
		"other backend servers draining": {"/draft/a", "pool", func(h *harness) { h.drainIdle("pool") },
			func(id string) string { return expectedStream(id, 1, 5) }},
		"plain, other backend servers draining": {"/look/a", "desk", func(h *harness) { h.drainIdle("desk") }, direct.Body},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults(tc.service, direct.Pauses{After: 2, For: pause}, direct.Pauses{After: 2, For: pause})
				go func() {
					time.Sleep(150 * time.Millisecond)
					tc.change(h)
				}()
				got := h.call(http.MethodPost, tc.path, func(c *gateway.CallerRequest) { c.Timeout = 10 * time.Second })
				assert.Equal(t, got.Status, 200)
				assert.Assert(t, got.complete)
				assert.Equal(t, got.body, tc.body(got.id))
				assert.Equal(t, len(h.runs(got.id)), 1)
			})
		})
	}
}

// Guards against refusing a prompt that fits only into the memory of several engines, and against memory that stays
// reserved afterwards.
func TestReservedMemory(t *testing.T) {
	withHarness(t, func(h *harness) {
		got := h.call(http.MethodPost, "/review/a", func(c *gateway.CallerRequest) {
			// On two engines the prompt is prefilled in 9 s; with less time it would be refused at once.
			c.Timeout = 15 * time.Second
			c.Prompt = &gateway.Prompt{Tokens: 400000, MaxOutputTokens: 500}
		})
		assert.Equal(t, got.Status, 200)
		runs := h.runs(got.id)
		assert.Equal(t, len(runs), 1)
		assert.Equal(t, runs[0].Helpers, 2)
		time.Sleep(time.Second)
		for _, b := range h.backends {
			assert.Equal(t, b.Reserved(), int64(0))
		}
	})
}

// Guards against refusing a prompt for the retry budget although only memory was asked for and no backend server has
// received the request.
func TestReservationIsNoRetry(t *testing.T) {
	withPreparedHarness(t, func(h *harness) {
		h.retryReserve = 0
		h.addBackend("pool", 5)
		h.setFaults("pool", direct.RefusesLeases{})
	}, func(h *harness) {
		got := h.call(http.MethodPost, "/review/a", func(c *gateway.CallerRequest) {
			c.Timeout, c.Prompt = 15*time.Second, &gateway.Prompt{Tokens: 400000, MaxOutputTokens: 500}
		})
		assert.Equal(t, got.Status, 200)
		assert.Equal(t, len(h.runs(got.id)), 1)
	})
}

// Guards against a held request that uses up the retry budget with each check for a free engine.
func TestHeldRetry(t *testing.T) {
	withPreparedHarness(t, func(h *harness) { h.retryReserve = 20 }, func(h *harness) {
		for _, b := range h.backends[2:] {
			b.StepTime = time.Second
		}
		for range 2 {
			go h.call(http.MethodPost, "/draft/busy", nil)
		}
		time.Sleep(100 * time.Millisecond)
		for _, b := range h.backends[2:] {
			if len(b.Runs()) == 0 {
				b.SetFault(direct.Refuses{})
			}
		}
		got := h.call(http.MethodPost, "/review/a", func(c *gateway.CallerRequest) {
			c.Timeout, c.Prompt = 15*time.Second, &gateway.Prompt{Tokens: 60000, MaxOutputTokens: 300}
		})
		assert.Equal(t, got.Status, 200)
		assert.Assert(t, got.complete)
	})
}

// Guards against sending requests again and again to the address of a backend server that has ended and whose entry is still
// in the store, and against refusing them for the retry limit although no backend server has received them.
func TestEndedServersWithEntries(t *testing.T) {
	cases := map[string]struct {
		// end ends a backend server.
		end func(*harness, *direct.Backend)
		// maxArrivals is the largest number of requests that may reach its address.
		maxArrivals int
		// retryReserve is the number of retries that the gateway may make beyond its share.
		retryReserve float64
	}{
		"address used by another server": {func(_ *harness, b *direct.Backend) { b.Server.ID = "i-other" }, 1, 20},
		"nothing listens":                {func(h *harness, b *direct.Backend) { assert.NilError(h.test, h.listeners[b.Server.Address].Close()) }, 0, 0},
	}
	for name, tc := range cases {
		for _, path := range []string{"/book/a", "/look/a", "/draft/a"} {
			t.Run(name+path, func(t *testing.T) {
				withPreparedHarness(t, func(h *harness) { h.retryReserve = tc.retryReserve }, func(h *harness) {
					ended := h.strike(path, direct.NoFault{})
					h.client.CloseIdleConnections()
					time.Sleep(5 * time.Second) // the gateway closes its idle connections
					before := ended.Arrivals()
					tc.end(h, ended)
					for range 20 {
						assert.Equal(t, h.call(http.MethodPost, path, nil).Status, 200)
						time.Sleep(100 * time.Millisecond)
					}
					assert.Assert(t, ended.Arrivals()-before <= tc.maxArrivals, "%d arrivals", ended.Arrivals()-before)
				})
			})
		}
	}
}
