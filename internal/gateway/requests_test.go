package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// Guards against retries of requests that must not be retried, incomplete or unsigned responses passed to callers, and
// refusals of requests that ran.
func TestPlainRequests(t *testing.T) {
	cases := map[string]struct {
		path   string
		faults [2]direct.ServerFault
		// status is the expected status at the caller; minRuns and maxRuns bound the number of runs.
		status           int
		minRuns, maxRuns int
		signed           bool
	}{
		"booking works":                    {"/book/a", [2]direct.ServerFault{direct.NoFault{}, direct.NoFault{}}, 200, 1, 1, true},
		"booking refused":                  {"/book/a", [2]direct.ServerFault{direct.Refuses{}, direct.Refuses{}}, 503, 0, 0, false},
		"booking hangs":                    {"/book/a", [2]direct.ServerFault{direct.NeverAnswers{}, direct.NeverAnswers{}}, 504, 1, 1, false},
		"booking breaks":                   {"/book/a", [2]direct.ServerFault{direct.ClosesEarly{}, direct.ClosesEarly{}}, 502, 1, 1, false},
		"booking mismatched response":      {"/book/a", [2]direct.ServerFault{direct.WrongID{}, direct.WrongID{}}, 502, 1, 1, false},
		"booking drips":                    {"/book/a", [2]direct.ServerFault{direct.Drips{}, direct.Drips{}}, 504, 1, 1, false},
		"look-up drips once":               {"/look/a", [2]direct.ServerFault{direct.Drips{}, direct.NoFault{}}, 200, 1, 2, true},
		"booking unsigned":                 {"/book/a", [2]direct.ServerFault{direct.Unsigned{}, direct.Unsigned{}}, 502, 1, 1, false},
		"booking fails":                    {"/book/a", [2]direct.ServerFault{direct.Errors{}, direct.Errors{}}, 500, 1, 1, true},
		"look-up works":                    {"/look/a", [2]direct.ServerFault{direct.NoFault{}, direct.NoFault{}}, 200, 1, 1, true},
		"look-up hangs once":               {"/look/a", [2]direct.ServerFault{direct.NeverAnswers{}, direct.NoFault{}}, 200, 1, 2, true},
		"look-up breaks once":              {"/look/a", [2]direct.ServerFault{direct.ClosesEarly{}, direct.NoFault{}}, 200, 1, 2, true},
		"look-up fails once":               {"/look/a", [2]direct.ServerFault{direct.Errors{}, direct.NoFault{}}, 200, 1, 2, true},
		"look-up mismatched response once": {"/look/a", [2]direct.ServerFault{direct.WrongID{}, direct.NoFault{}}, 200, 1, 2, true},
		"look-up fails twice":              {"/look/a", [2]direct.ServerFault{direct.Errors{}, direct.Errors{}}, 500, 2, 2, true},
		"booking, head cut":                {"/book/a", [2]direct.ServerFault{direct.CutsHead{Lines: 2}, direct.CutsHead{Lines: 2}}, 502, 1, 1, false},
		"look-up, head cut once":           {"/look/a", [2]direct.ServerFault{direct.CutsHead{Lines: 2}, direct.NoFault{}}, 200, 1, 2, true},
		"look-up, head cut after a line":   {"/look/a", [2]direct.ServerFault{direct.CutsHead{Lines: 1}, direct.NoFault{}}, 200, 1, 2, true},
		"look-up, only the end missing":    {"/look/a", [2]direct.ServerFault{direct.CutsHead{Lines: 9}, direct.NoFault{}}, 200, 1, 2, true},
		"booking without a length":         {"/book/a", [2]direct.ServerFault{direct.Unframed{}, direct.Unframed{}}, 200, 1, 1, true},
		"look-up refused":                  {"/look/a", [2]direct.ServerFault{direct.Refuses{}, direct.Refuses{}}, 503, 0, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults("desk", tc.faults[:]...)
				got := h.call(http.MethodPost, tc.path, nil)
				assert.Equal(t, got.Status, tc.status)
				assert.Equal(t, got.Signed, tc.signed)
				if tc.status == 200 {
					assert.Assert(t, got.complete)
					assert.Equal(t, got.body, direct.Body(got.id))
				}
				runs := h.runs(got.id)
				assert.Assert(t, len(runs) >= tc.minRuns && len(runs) <= tc.maxRuns, "%d runs", len(runs))
				for _, r := range runs {
					assert.Equal(t, r.Workspace, workspace)
					assert.Equal(t, r.Key, "")
					assert.Equal(t, r.Body, "body of "+got.id)
					assert.Assert(t, r.Remaining <= 2*time.Second)
				}
			})
		})
	}
}

// Guards against resumed streams with a missing or repeated event, retries of streams that must not be retried, and
// broken streams that look complete.
func TestStreams(t *testing.T) {
	cases := map[string]struct {
		path     string
		faults   [2]direct.ServerFault
		resume   uint64
		status   int
		body     func(id string) string
		complete bool
		maxRuns  int
	}{
		"works": {path: "/draft/a", faults: [2]direct.ServerFault{direct.NoFault{}, direct.NoFault{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 1},
		"resumed by the caller": {path: "/draft/a", faults: [2]direct.ServerFault{direct.NoFault{}, direct.NoFault{}}, resume: 3, status: 200,
			body: func(id string) string { return expectedStream(id, 4, 5) }, complete: true, maxRuns: 1},
		"breaks within an event": {path: "/draft/a", faults: [2]direct.ServerFault{direct.ClosesEarly{After: 2}, direct.NoFault{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 2},
		"breaks before the first event": {path: "/draft/a", faults: [2]direct.ServerFault{direct.ClosesEarly{After: 0}, direct.NoFault{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 2},
		"hangs": {path: "/draft/a", faults: [2]direct.ServerFault{direct.NeverAnswers{}, direct.NoFault{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 2},
		"bytes without an event": {path: "/draft/a", faults: [2]direct.ServerFault{direct.NoEvents{}, direct.NoFault{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 2},
		"breaks on every backend server": {path: "/draft/a", faults: [2]direct.ServerFault{direct.ClosesEarly{After: 1}, direct.ClosesEarly{After: 2}}, status: 200,
			complete: false, maxRuns: 2},
		"head cut": {path: "/draft/a", faults: [2]direct.ServerFault{direct.CutsHead{Lines: 2}, direct.NoFault{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 2},
		"head cut, not resumable": {path: "/once/a", faults: [2]direct.ServerFault{direct.CutsHead{Lines: 2}, direct.CutsHead{Lines: 9}}, status: 502,
			complete: true, maxRuns: 1},
		"without a length": {path: "/draft/a", faults: [2]direct.ServerFault{direct.Unframed{}, direct.Unframed{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 1},
		"without a length, broken off within an event": {path: "/draft/a", faults: [2]direct.ServerFault{direct.Unframed{Cut: true}, direct.NoFault{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 2},
		"not resumable": {path: "/once/a", faults: [2]direct.ServerFault{direct.ClosesEarly{After: 0}, direct.ClosesEarly{After: 0}}, status: 502,
			complete: true, maxRuns: 1},
		"refused": {path: "/once/a", faults: [2]direct.ServerFault{direct.Refuses{}, direct.NoFault{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 1},
		"response to another request": {path: "/draft/a", faults: [2]direct.ServerFault{direct.WrongID{}, direct.NoFault{}}, status: 200,
			body: func(id string) string { return expectedStream(id, 1, 5) }, complete: true, maxRuns: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults("pool", tc.faults[:]...)
				// With several requests, each backend server gets the first attempt at least once.
				for range 4 {
					got := h.call(http.MethodPost, tc.path, func(c *gateway.CallerRequest) {
						c.ResumeAfter, c.Resumes = tc.resume, tc.resume > 0
					})
					assert.Equal(t, got.Status, tc.status)
					assert.Equal(t, got.complete, tc.complete)
					if tc.body != nil {
						assert.Equal(t, got.body, tc.body(got.id))
					}
					runs := h.runs(got.id)
					assert.Assert(t, len(runs) >= 1 && len(runs) <= tc.maxRuns, "%d runs", len(runs))
				}
			})
		})
	}
}

// Guards against requests admitted or denied wrongly, and denials with the wrong status.
func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		path   string
		modify func(*gateway.CallerRequest)
		status int
	}{
		"unknown key":        {"/look/a", func(c *gateway.CallerRequest) { c.Key = "other" }, 401},
		"no key":             {"/look/a", func(c *gateway.CallerRequest) { c.Key = "" }, 401},
		"public":             {"/open/a", func(c *gateway.CallerRequest) { c.Key = "" }, 200},
		"unknown path":       {"/nowhere/a", nil, 404},
		"unknown host":       {"/look/a", func(c *gateway.CallerRequest) { c.Host = "other.example" }, 404},
		"host in upper case": {"/look/a", func(c *gateway.CallerRequest) { c.Host = "Desk.Example" }, 200},
		"no identifier":      {"/look/a", func(c *gateway.CallerRequest) { c.ID = "" }, 400},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				got := h.call(http.MethodGet, tc.path, tc.modify)
				assert.Equal(t, got.Status, tc.status)
			})
		})
	}
}

// Guards against refusing all requests where the table names no workspaces, so that requests carry no keys, and against serving
// without a key where it names workspaces that have none.
func TestTableWithoutWorkspaces(t *testing.T) {
	cases := map[string]struct {
		keys, later map[string]string
		modify      func(*gateway.CallerRequest)
		status      int
	}{
		"none":                         {nil, nil, func(c *gateway.CallerRequest) { c.Key = "" }, 200},
		"none, caller has a key":       {nil, nil, nil, 200},
		"none, keys later":             {nil, map[string]string{callerKey: workspace}, func(c *gateway.CallerRequest) { c.Key = "" }, 401},
		"all workspaces removed later": {map[string]string{callerKey: workspace}, nil, func(c *gateway.CallerRequest) { c.Key = "" }, 200},
		"workspaces without keys":      {map[string]string{}, map[string]string{}, func(c *gateway.CallerRequest) { c.Key = "" }, 401},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) { h.publish(tc.keys, testRoutes) }, func(h *harness) {
				h.publish(tc.later, testRoutes)
				time.Sleep(time.Second)
				got := h.call(http.MethodPost, "/look/a", tc.modify)
				assert.Equal(t, got.Status, tc.status)
				for _, r := range h.runs(got.id) {
					assert.Equal(t, r.Workspace, "")
				}
			})
		})
	}
}

// Guards against a revoked key that is still accepted, whether the gateway sees the change, has lost the store, or was
// suspended.
func TestRevokedKeys(t *testing.T) {
	cases := map[string]struct {
		outage    direct.Outage
		suspended time.Duration
		wait      time.Duration
	}{
		"store reachable":       {direct.NoOutage{}, 0, 2 * time.Second},
		"store silent":          {direct.NoAnswer{}, 0, 5 * time.Second},
		"store busy":            {direct.Unavailable{}, 0, 5 * time.Second},
		"store connections cut": {direct.ConnClosed{}, 0, 5 * time.Second},
		"suspended":             {direct.NoAnswer{}, 5 * time.Second, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				assert.Equal(t, h.call(http.MethodGet, "/look/a", nil).Status, 200)
				h.store.SetOutage(tc.outage)
				h.publish(map[string]string{"new-key": workspace}, testRoutes)
				time.Sleep(tc.wait)
				h.boot.suspended.Add(int64(tc.suspended))
				got := h.call(http.MethodGet, "/look/a", nil)
				assert.Assert(t, got.Status == 401 || got.Status == 503, "status %d", got.Status)
				assert.Equal(t, len(h.runs(got.id)), 0)
				h.store.SetOutage(direct.NoOutage{})
				time.Sleep(3 * time.Second)
				assert.Equal(t, h.call(http.MethodGet, "/look/a", nil).Status, 401)
				assert.Equal(t, h.call(http.MethodGet, "/look/a", func(c *gateway.CallerRequest) { c.Key = "new-key" }).Status, 200)
			})
		})
	}
}

// Guards against a return to an older table, and against a malformed table that replaces a valid one.
func TestTableUpdates(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.publish(map[string]string{callerKey: workspace}, testRoutes[1:2])
		time.Sleep(time.Second)
		assert.Equal(t, h.call(http.MethodPost, "/book/a", nil).Status, 404)
		h.version -= 2
		h.publish(map[string]string{callerKey: workspace}, testRoutes)
		time.Sleep(time.Second)
		assert.Equal(t, h.call(http.MethodPost, "/book/a", nil).Status, 404)
		h.store.Put(platform.ConfigKey, []byte("{"))
		h.store.Put(platform.ServerKey("broken"), []byte(`{"service": 4}`))
		time.Sleep(time.Second)
		assert.Equal(t, h.call(http.MethodGet, "/look/a", nil).Status, 200)
		h.version += 9
		h.publish(map[string]string{callerKey: workspace}, testRoutes)
		time.Sleep(2 * time.Second)
		assert.Equal(t, h.call(http.MethodPost, "/book/a", nil).Status, 200)
	})
}

// Guards against new requests to a backend server that drains, has left or is in a zone taken out of service, also
// after the history of the store was compacted.
func TestMembership(t *testing.T) {
	cases := map[string]func(*harness){
		"draining":            func(h *harness) { h.putServer(h.backends[0], true) },
		"removed":             func(h *harness) { h.store.Delete(platform.ServerKey("i-1")) },
		"zone out of service": func(h *harness) { h.store.Put(platform.ZoneKey("zone-1"), []byte("{}")) },
		"history compacted":   func(h *harness) { h.store.Delete(platform.ServerKey("i-1")); h.store.Compact() },
	}
	for name, remove := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				remove(h)
				time.Sleep(time.Second)
				before := h.backends[0].Arrivals()
				for range 12 {
					assert.Equal(t, h.call(http.MethodPost, "/book/a", nil).Status, 200)
				}
				assert.Equal(t, h.backends[0].Arrivals(), before)
			})
		})
	}
}

// Guards against backend servers that keep working for a caller that has disconnected.
func TestCallerDisconnects(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.setFaults("pool", direct.NeverAnswers{}, direct.NeverAnswers{})
		client := *h.client
		client.Timeout = 300 * time.Millisecond
		h.client = &client
		got := h.call(http.MethodPost, "/draft/a", nil)
		assert.Equal(t, got.Status, 0)
		time.Sleep(400 * time.Millisecond)
		runs := h.runs(got.id)
		assert.Equal(t, len(runs), 1)
		assert.Assert(t, runs[0].Incomplete)
	})
}

// Guards against a request that crashes backend servers and is run without limit, by retries of the gateway and of its
// caller.
func TestCrashingRequest(t *testing.T) {
	cases := map[string]struct {
		fault direct.ClosesEarly
		step  time.Duration // between two events
	}{
		"before the answer":                  {direct.ClosesEarly{}, 20 * time.Millisecond},
		"in an answer that has gone on":      {direct.ClosesEarly{After: 4}, 200 * time.Millisecond},
		"in an answer that has just begun":   {direct.ClosesEarly{After: 1}, 20 * time.Millisecond},
		"in the last event of a long answer": {direct.ClosesEarly{After: 4}, 400 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults("pool", tc.fault, tc.fault)
				for _, b := range h.backends {
					b.StepTime = tc.step
				}
				runs := 0
				for range 8 {
					got := h.call(http.MethodPost, "/draft/crash", func(c *gateway.CallerRequest) { c.ID = "the-same-body" })
					assert.Assert(t, !got.complete || got.Status != 200)
					runs = len(h.runs(got.id))
				}
				assert.Assert(t, runs <= 4, "%d runs", runs)
			})
		})
	}
}

// Guards against a shutdown that cuts requests, refuses open connections or stays ready.
func TestStop(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.backends[2].StepTime, h.backends[3].StepTime = 500*time.Millisecond, 500*time.Millisecond
		long := make(chan result)
		go func() { long <- h.call(http.MethodPost, "/draft/a", nil) }()
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error)
		began := time.Now()
		go func() { stopped <- h.gateway.Stop(t.Context()) }()
		time.Sleep(100 * time.Millisecond)
		resp, err := h.ready.Get("http://" + readyAddress.String() + "/")
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, h.call(http.MethodPost, "/book/a", nil).Status, 200)
		got := <-long
		assert.Assert(t, got.complete)
		assert.Equal(t, got.body, expectedStream(got.id, 1, 5))
		assert.NilError(t, <-stopped)
		assert.Assert(t, time.Since(began) < 8*time.Second)
	})
}

// Guards against a gateway that stays ready and serves keyed requests although its table has not been proven for too
// long.
func TestStoreOutage(t *testing.T) {
	withHarness(t, func(h *harness) {
		assert.Equal(t, h.gateway.Ready(), true)
		h.store.SetOutage(direct.NoAnswer{})
		time.Sleep(6 * time.Second)
		assert.Equal(t, h.gateway.Ready(), false)
		assert.Equal(t, h.call(http.MethodGet, "/look/a", nil).Status, 503)
		h.store.SetOutage(direct.NoOutage{})
		time.Sleep(2 * time.Second)
		assert.Equal(t, h.gateway.Ready(), true)
	})
}

// Guards against acting on entries that were already stale at the first read: a backend server that has left, a new
// one, and a revoked key.
func TestStartFromStaleEntries(t *testing.T) {
	withPreparedHarness(t, func(h *harness) {
		h.store.Delete(platform.ServerKey("i-1"))
		h.publish(map[string]string{"new-key": workspace}, testRoutes)
		h.addBackend("desk", 9)
		h.store.SetLag(4)
	}, func(h *harness) {
		assert.Equal(t, h.call(http.MethodGet, "/look/a", nil).Status, 401)
		for range 30 {
			got := h.call(http.MethodPost, "/book/a", func(c *gateway.CallerRequest) { c.Key = "new-key" })
			assert.Equal(t, got.Status, 200)
		}
		assert.Equal(t, h.backends[0].Arrivals(), 0)
		assert.Assert(t, h.backends[4].Arrivals() > 0)
	})
}

// Guards against refusing requests only because the gateway has just started, and against holding requests when it
// cannot read the store.
func TestRequestsBeforeFirstTable(t *testing.T) {
	cases := map[string]struct {
		prepare    func(*harness)
		status     int
		maxElapsed time.Duration
	}{
		"first read is slow":        {func(h *harness) { h.storeDelay = 300 * time.Millisecond }, 200, time.Second},
		"first read hangs":          {func(h *harness) { h.store.SetOutage(direct.NoAnswer{}) }, 503, 1100 * time.Millisecond},
		"store connections refused": {func(h *harness) { h.store.SetOutage(direct.ConnClosed{}) }, 503, 100 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) {
				h.startupWait = 50 * time.Millisecond
				tc.prepare(h)
			}, func(h *harness) {
				began := time.Now()
				got := h.call(http.MethodPost, "/draft/a", nil)
				assert.Equal(t, got.Status, tc.status)
				assert.Assert(t, time.Since(began) <= tc.maxElapsed, "%v", time.Since(began))
			})
		})
	}
}

// Guards against a response above the size limit that is truncated and looks complete to the caller.
func TestResponseTooLarge(t *testing.T) {
	for name, path := range map[string]string{"plain": "/look/a", "stream": "/draft/a"} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				large := direct.Errors{Size: 16<<20 + 1}
				h.setFaults("desk", large, large)
				h.setFaults("pool", large, large)
				got := h.call(http.MethodPost, path, nil)
				assert.Equal(t, got.Status, 502)
				assert.Equal(t, len(got.body), 0)
			})
		})
	}
}

// Guards against a stream that has begun, breaks off and continues with the error of the next backend server, or ends as if
// it were complete.
func TestBrokenStreamThenFailure(t *testing.T) {
	cases := map[string]direct.ServerFault{
		"error":          direct.Errors{Size: 200},
		"refusal":        direct.Refuses{},
		"busy":           direct.RefusesFor{For: time.Minute},
		"no signature":   direct.Unsigned{},
		"other response": direct.WrongID{},
		"no events":      direct.NoEvents{},
		"breaks at once": direct.ClosesEarly{},
		"status 000":     direct.StatusText{Text: "000 X"},
		"status 600":     direct.StatusText{Text: "600 X"},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.backends[2].StepTime, h.backends[3].StepTime = 200*time.Millisecond, 200*time.Millisecond
				h.setFaults("pool", direct.ClosesEarly{After: 2}, direct.ClosesEarly{After: 2})
				go func() {
					// Both backend servers fail in the new way once the first of them has sent two events.
					time.Sleep(500 * time.Millisecond)
					h.setFaults("pool", fault, fault)
				}()
				got := h.call(http.MethodPost, "/draft/a", nil)
				assert.Equal(t, got.Status, 200)
				assert.Assert(t, !got.complete)
				assert.Equal(t, got.body, expectedStream(got.id, 1, 2))
				time.Sleep(time.Second) // the stand-ins close the connections that they have taken over
			})
		})
	}
}
