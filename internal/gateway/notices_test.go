package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
)

// serviceOf returns the service of a path of testRoutes.
func serviceOf(path string) string {
	if path == "/book/a" || path == "/look/a" {
		return "desk"
	}
	return "pool"
}

func longPrompt(tokens int64) func(*gateway.CallerRequest) {
	return func(c *gateway.CallerRequest) {
		c.Timeout, c.Prompt = 15*time.Second, &gateway.Prompt{Tokens: tokens, MaxOutputTokens: 300}
	}
}

// shortDeadline sets a deadline that ends before the wait of a busy backend server, so that the request is not held for it.
func shortDeadline(c *gateway.CallerRequest) { c.Timeout = time.Second }

// Guards against requests to a backend server after it announced in a response that it leaves: first sends, retries,
// resumptions, helpers of a joint prefill and reservations. The store goes on showing it as ready.
func TestLeavingServers(t *testing.T) {
	cases := map[string]struct {
		path   string
		modify func(*gateway.CallerRequest)
		// others is the fault of the other backend servers of the service once the first one has announced.
		others direct.ServerFault
		outage direct.Outage
	}{
		"unsafe":         {"/book/a", nil, direct.NoFault{}, direct.NoOutage{}},
		"safe":           {"/look/a", nil, direct.NoFault{}, direct.NoOutage{}},
		"stream":         {"/draft/a", nil, direct.NoFault{}, direct.NoOutage{}},
		"once":           {"/once/a", nil, direct.NoFault{}, direct.NoOutage{}},
		"store away":     {"/draft/a", nil, direct.NoFault{}, direct.Unavailable{}},
		"retry":          {"/look/a", nil, direct.Errors{}, direct.NoOutage{}},
		"retry unsafe":   {"/book/a", nil, direct.Refuses{}, direct.NoOutage{}},
		"resumption":     {"/draft/a", nil, direct.ClosesEarly{After: 2}, direct.NoOutage{}},
		"joint prefill":  {"/review/a", longPrompt(150000), direct.NoFault{}, direct.NoOutage{}},
		"reservation":    {"/review/a", longPrompt(400000), direct.NoFault{}, direct.NoOutage{}},
		"leases refused": {"/review/a", longPrompt(400000), direct.RefusesLeases{}, direct.NoOutage{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) {
				h.addBackend("pool", 5)
				h.addBackend("pool", 6)
			}, func(h *harness) {
				leaving := h.strike(tc.path, direct.Leaves{})
				for _, b := range h.backends {
					if b != leaving {
						b.SetFault(tc.others)
					}
				}
				h.store.SetOutage(tc.outage)
				before, orders := leaving.Arrivals(), leaving.Orders()
				for range 20 {
					h.call(http.MethodPost, tc.path, tc.modify)
				}
				assert.Equal(t, leaving.Arrivals(), before)
				assert.Equal(t, leaving.Orders(), orders)
				status := h.gateway.Status()
				assert.Equal(t, len(status.Unavailable), 1)
				assert.Equal(t, status.Unavailable[0].Reason, "leaving")
			})
		})
	}
}

// Guards against an announcement that outlives its incarnation, or ends before it does.
func TestLeavingEndsWithIncarnation(t *testing.T) {
	cases := map[string]struct {
		change func(*harness, *direct.Backend)
		served bool
	}{
		"entry written again": {func(h *harness, b *direct.Backend) { h.putServer(b, false) }, false},
		"entry removed and back": {func(h *harness, b *direct.Backend) {
			h.deleteServer(b)
			time.Sleep(time.Second)
			h.putServer(b, false)
		}, false},
		"restarted": {func(h *harness, b *direct.Backend) {
			b.SetFault(direct.NoFault{})
			b.Server.StartedAt = b.Server.StartedAt.Add(time.Minute)
			h.putServer(b, false)
		}, true},
		"address used by another server": {func(h *harness, b *direct.Backend) {
			h.deleteServer(b)
			b.SetFault(direct.NoFault{})
			b.Server.ID = "i-new"
			h.putServer(b, false)
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				leaving := h.strike("/look/a", direct.Leaves{})
				before := leaving.Arrivals()
				tc.change(h, leaving)
				time.Sleep(time.Second)
				for range 30 {
					assert.Equal(t, h.call(http.MethodGet, "/look/a", nil).Status, 200)
				}
				assert.Equal(t, leaving.Arrivals() > before, tc.served)
			})
		})
	}
}

// Guards against more requests to a backend server that stated for how long it wants none, of every kind of send.
func TestBusyServer(t *testing.T) {
	const wait = 4 * time.Second
	cases := map[string]struct {
		path   string
		modify func(*gateway.CallerRequest)
		others direct.ServerFault
	}{
		"unsafe":        {"/book/a", shortDeadline, direct.NoFault{}},
		"safe":          {"/look/a", shortDeadline, direct.NoFault{}},
		"stream":        {"/draft/a", shortDeadline, direct.NoFault{}},
		"retry":         {"/look/a", shortDeadline, direct.Errors{}},
		"resumption":    {"/draft/a", shortDeadline, direct.ClosesEarly{After: 2}},
		"joint prefill": {"/review/a", longPrompt(150000), direct.NoFault{}},
		"reservation":   {"/review/a", longPrompt(400000), direct.NoFault{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) {
				h.addBackend("pool", 5)
				h.addBackend("pool", 6)
			}, func(h *harness) {
				busy := h.strike(tc.path, direct.RefusesFor{For: wait})
				began, arrivals := time.Now(), busy.Arrivals()
				for _, b := range h.backends {
					if b != busy {
						b.SetFault(tc.others)
					}
				}
				assert.Equal(t, h.gateway.Status().Unavailable[0].Reason, "busy")
				orders := busy.Orders()
				for time.Since(began) < wait-1500*time.Millisecond {
					time.Sleep(20 * time.Millisecond)
					h.call(http.MethodPost, tc.path, tc.modify)
				}
				assert.Equal(t, busy.Arrivals(), arrivals)
				assert.Equal(t, busy.Orders(), orders)
				busy.SetFault(direct.NoFault{})
				time.Sleep(wait)
				assert.Equal(t, len(h.gateway.Status().Unavailable), 0)
				for range 30 {
					h.call(http.MethodPost, tc.path, nil)
				}
				assert.Assert(t, busy.Arrivals() > arrivals)
			})
		})
	}
}

// Guards against sends while all backend servers want none, holds that cannot succeed, and refusals that do not say
// when to come back.
func TestAllServersBusy(t *testing.T) {
	cases := map[string]struct {
		path    string
		wait    time.Duration
		timeout time.Duration
		status  int
	}{
		"plain, cannot wait":  {"/book/a", 4 * time.Second, 2 * time.Second, 503},
		"plain, can wait":     {"/look/a", 600 * time.Millisecond, 2 * time.Second, 200},
		"stream, cannot wait": {"/draft/a", 4 * time.Second, 2 * time.Second, 503},
		"stream, can wait":    {"/draft/a", 600 * time.Millisecond, 10 * time.Second, 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				busy := direct.RefusesFor{For: tc.wait}
				h.setFaults(serviceOf(tc.path), busy, busy)
				arrivals := func() int {
					n := 0
					for _, b := range h.backends {
						n += b.Arrivals()
					}
					return n
				}
				for range 2 {
					h.call(http.MethodPost, tc.path, func(c *gateway.CallerRequest) { c.Timeout = 100 * time.Millisecond })
				}
				assert.Equal(t, arrivals(), 2)
				h.setFaults(serviceOf(tc.path), direct.NoFault{}, direct.NoFault{})
				began := time.Now()
				got := h.call(http.MethodPost, tc.path, func(c *gateway.CallerRequest) { c.Timeout = tc.timeout })
				assert.Equal(t, got.Status, tc.status)
				if tc.status == 200 {
					assert.Assert(t, time.Since(began) >= tc.wait/2, "%v", time.Since(began))
					return
				}
				assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%v", time.Since(began))
				assert.Equal(t, arrivals(), 2)
				assert.Assert(t, got.RetryAfter > tc.wait-time.Second && got.RetryAfter <= tc.wait, "%v", got.RetryAfter)
			})
		})
	}
}

// Guards against sends to a busy backend server because the gateway was suspended or its time of day was changed.
func TestBusyServerAfterSuspension(t *testing.T) {
	withHarness(t, func(h *harness) {
		busy := h.strike("/look/a", direct.RefusesFor{For: 4 * time.Second})
		arrivals := busy.Arrivals()
		h.boot.suspended.Add(int64(2 * time.Second))
		for range 20 {
			assert.Equal(t, h.call(http.MethodGet, "/look/a", nil).Status, 200)
		}
		assert.Equal(t, busy.Arrivals(), arrivals)
	})
}

// Guards against a refusal that a backend server writes once more on a kept connection and that is taken for the answer
// to the next request, which then runs twice or is reported as not run although it runs.
func TestRepeatedRefusal(t *testing.T) {
	for _, path := range []string{"/book/a", "/once/a", "/draft/a", "/look/a"} {
		t.Run(path[1:5], func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults(serviceOf(path), direct.RepeatsRefusal{}, direct.RepeatsRefusal{})
				for n := range 12 {
					got := h.call(http.MethodPost, path, func(c *gateway.CallerRequest) { c.ID = fmt.Sprintf("repeated-%d", n) })
					runs := len(h.runs(got.id))
					assert.Assert(t, runs <= 1, "%d runs", runs)
					assert.Assert(t, !got.NotRun || runs == 0, "refused as not run after %d runs", runs)
				}
			})
		})
	}
}
