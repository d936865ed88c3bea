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

// Guards against plain requests that are repeated when they must not be, answers that are not the backend server's own
// whole signed answer, and refusals of requests that ran.
func TestPlainRequests(t *testing.T) {
	cases := map[string]struct {
		path      string
		behaviors [2]direct.Behavior
		// status that the caller gets, and the least and most runs of the request.
		status      int
		least, most int
		signed      bool
	}{
		"booking works":        {"/book/a", [2]direct.Behavior{direct.Works{}, direct.Works{}}, 200, 1, 1, true},
		"booking refused":      {"/book/a", [2]direct.Behavior{direct.Refuses{}, direct.Refuses{}}, 503, 0, 0, false},
		"booking hangs":        {"/book/a", [2]direct.Behavior{direct.Hangs{}, direct.Hangs{}}, 504, 1, 1, false},
		"booking breaks":       {"/book/a", [2]direct.Behavior{direct.Breaks{}, direct.Breaks{}}, 502, 1, 1, false},
		"booking foreign":      {"/book/a", [2]direct.Behavior{direct.Foreign{}, direct.Foreign{}}, 502, 1, 1, false},
		"booking unsigned":     {"/book/a", [2]direct.Behavior{direct.Unsigned{}, direct.Unsigned{}}, 502, 1, 1, false},
		"booking fails":        {"/book/a", [2]direct.Behavior{direct.Errors{}, direct.Errors{}}, 500, 1, 1, true},
		"look-up works":        {"/look/a", [2]direct.Behavior{direct.Works{}, direct.Works{}}, 200, 1, 1, true},
		"look-up hangs once":   {"/look/a", [2]direct.Behavior{direct.Hangs{}, direct.Works{}}, 200, 1, 2, true},
		"look-up breaks once":  {"/look/a", [2]direct.Behavior{direct.Breaks{}, direct.Works{}}, 200, 1, 2, true},
		"look-up fails once":   {"/look/a", [2]direct.Behavior{direct.Errors{}, direct.Works{}}, 200, 1, 2, true},
		"look-up foreign once": {"/look/a", [2]direct.Behavior{direct.Foreign{}, direct.Works{}}, 200, 1, 2, true},
		"look-up fails twice":  {"/look/a", [2]direct.Behavior{direct.Errors{}, direct.Errors{}}, 500, 2, 2, true},
		"look-up refused":      {"/look/a", [2]direct.Behavior{direct.Refuses{}, direct.Refuses{}}, 503, 0, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(s *site) {
				s.behave("desk", tc.behaviors[:]...)
				got := s.call(http.MethodPost, tc.path, nil)
				assert.Equal(t, got.Status, tc.status)
				assert.Equal(t, got.Signed, tc.signed)
				if tc.status == 200 {
					assert.Assert(t, got.whole)
					assert.Equal(t, got.body, direct.Body(got.id))
				}
				runs := s.runs(got.id)
				assert.Assert(t, len(runs) >= tc.least && len(runs) <= tc.most, "%d runs", len(runs))
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

// Guards against streams with a gap or a repeated event after a break, streams that are repeated though they must not be,
// and broken streams that look whole.
func TestStreams(t *testing.T) {
	cases := map[string]struct {
		path      string
		behaviors [2]direct.Behavior
		resume    uint64
		status    int
		body      func(id string) string
		whole     bool
		most      int
	}{
		"works": {path: "/draft/a", behaviors: [2]direct.Behavior{direct.Works{}, direct.Works{}}, status: 200,
			body: func(id string) string { return stream(id, 1, 5) }, whole: true, most: 1},
		"resumed by the caller": {path: "/draft/a", behaviors: [2]direct.Behavior{direct.Works{}, direct.Works{}}, resume: 3, status: 200,
			body: func(id string) string { return stream(id, 4, 5) }, whole: true, most: 1},
		"breaks in an event": {path: "/draft/a", behaviors: [2]direct.Behavior{direct.Breaks{After: 2}, direct.Works{}}, status: 200,
			body: func(id string) string { return stream(id, 1, 5) }, whole: true, most: 2},
		"breaks before the first event": {path: "/draft/a", behaviors: [2]direct.Behavior{direct.Breaks{After: 0}, direct.Works{}}, status: 200,
			body: func(id string) string { return stream(id, 1, 5) }, whole: true, most: 2},
		"hangs": {path: "/draft/a", behaviors: [2]direct.Behavior{direct.Hangs{}, direct.Works{}}, status: 200,
			body: func(id string) string { return stream(id, 1, 5) }, whole: true, most: 2},
		"breaks everywhere": {path: "/draft/a", behaviors: [2]direct.Behavior{direct.Breaks{After: 1}, direct.Breaks{After: 2}}, status: 200,
			whole: false, most: 2},
		"not resumable": {path: "/once/a", behaviors: [2]direct.Behavior{direct.Breaks{After: 0}, direct.Breaks{After: 0}}, status: 502,
			whole: true, most: 1},
		"refused": {path: "/once/a", behaviors: [2]direct.Behavior{direct.Refuses{}, direct.Works{}}, status: 200,
			body: func(id string) string { return stream(id, 1, 5) }, whole: true, most: 1},
		"foreign": {path: "/draft/a", behaviors: [2]direct.Behavior{direct.Foreign{}, direct.Works{}}, status: 200,
			body: func(id string) string { return stream(id, 1, 5) }, whole: true, most: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(s *site) {
				s.behave("pool", tc.behaviors[:]...)
				// Both backend servers are asked first in some of several calls.
				for range 4 {
					got := s.call(http.MethodPost, tc.path, func(c *gateway.Call) {
						c.ResumeAfter, c.Resumes = tc.resume, tc.resume > 0
					})
					assert.Equal(t, got.Status, tc.status)
					assert.Equal(t, got.whole, tc.whole)
					if tc.body != nil {
						assert.Equal(t, got.body, tc.body(got.id))
					}
					runs := s.runs(got.id)
					assert.Assert(t, len(runs) >= 1 && len(runs) <= tc.most, "%d runs", len(runs))
				}
			})
		})
	}
}

// Guards against requests that are denied by a table without proof, and against denials without a status of their own.
func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		path   string
		change func(*gateway.Call)
		status int
	}{
		"unknown key":     {"/look/a", func(c *gateway.Call) { c.Key = "other" }, 401},
		"no key":          {"/look/a", func(c *gateway.Call) { c.Key = "" }, 401},
		"public":          {"/open/a", func(c *gateway.Call) { c.Key = "" }, 200},
		"unknown path":    {"/nowhere/a", nil, 404},
		"unknown host":    {"/look/a", func(c *gateway.Call) { c.Host = "other.example" }, 404},
		"host in capital": {"/look/a", func(c *gateway.Call) { c.Host = "Desk.Example" }, 200},
		"no identifier":   {"/look/a", func(c *gateway.Call) { c.ID = "" }, 400},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(s *site) {
				got := s.call(http.MethodGet, tc.path, tc.change)
				assert.Equal(t, got.Status, tc.status)
			})
		})
	}
}

// Guards against a withdrawn key that still runs, on a gateway that sees the change, is cut off from the store, or was
// suspended.
func TestWithdrawnKeys(t *testing.T) {
	cases := map[string]struct {
		outage    direct.Outage
		suspended time.Duration
		wait      time.Duration
	}{
		"seen":         {direct.Up{}, 0, 2 * time.Second},
		"store silent": {direct.Silent{}, 0, 5 * time.Second},
		"store busy":   {direct.Busy{}, 0, 5 * time.Second},
		"store cut":    {direct.Cut{}, 0, 5 * time.Second},
		"suspended":    {direct.Silent{}, 5 * time.Second, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(s *site) {
				assert.Equal(t, s.call(http.MethodGet, "/look/a", nil).Status, 200)
				s.store.Fail(tc.outage)
				s.publish(map[string]string{"new-key": workspace}, testRoutes)
				time.Sleep(tc.wait)
				s.boot.suspended.Add(int64(tc.suspended))
				got := s.call(http.MethodGet, "/look/a", nil)
				assert.Assert(t, got.Status == 401 || got.Status == 503, "status %d", got.Status)
				assert.Equal(t, len(s.runs(got.id)), 0)
				s.store.Fail(direct.Up{})
				time.Sleep(3 * time.Second)
				assert.Equal(t, s.call(http.MethodGet, "/look/a", nil).Status, 401)
				assert.Equal(t, s.call(http.MethodGet, "/look/a", func(c *gateway.Call) { c.Key = "new-key" }).Status, 200)
			})
		})
	}
}

// Guards against a table that goes back to an older version, and against a broken one that takes the good one away.
func TestTables(t *testing.T) {
	withSite(t, func(s *site) {
		s.publish(map[string]string{callerKey: workspace}, testRoutes[1:2])
		time.Sleep(time.Second)
		assert.Equal(t, s.call(http.MethodPost, "/book/a", nil).Status, 404)
		s.version -= 2
		s.publish(map[string]string{callerKey: workspace}, testRoutes)
		time.Sleep(time.Second)
		assert.Equal(t, s.call(http.MethodPost, "/book/a", nil).Status, 404)
		s.store.Put(platform.ConfigKey, []byte("{"))
		s.store.Put(platform.ServerKey("broken"), []byte(`{"service": 4}`))
		time.Sleep(time.Second)
		assert.Equal(t, s.call(http.MethodGet, "/look/a", nil).Status, 200)
		s.version += 9
		s.publish(map[string]string{callerKey: workspace}, testRoutes)
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.call(http.MethodPost, "/book/a", nil).Status, 200)
	})
}

// Guards against new requests at a backend server that drains, is gone, or stands in a zone that was taken out, also when
// the history of the store was lost meanwhile.
func TestMembership(t *testing.T) {
	cases := map[string]func(*site){
		"draining":  func(s *site) { s.announce(s.backends[0], true) },
		"gone":      func(s *site) { s.store.Delete(platform.ServerKey("i-1")) },
		"zone out":  func(s *site) { s.store.Put(platform.ZoneKey("zone-1"), []byte("{}")) },
		"compacted": func(s *site) { s.store.Delete(platform.ServerKey("i-1")); s.store.Compact() },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(s *site) {
				leave(s)
				time.Sleep(time.Second)
				before := s.backends[0].Arrivals()
				for range 12 {
					assert.Equal(t, s.call(http.MethodPost, "/book/a", nil).Status, 200)
				}
				assert.Equal(t, s.backends[0].Arrivals(), before)
			})
		})
	}
}

// Guards against backend servers that keep working for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	withSite(t, func(s *site) {
		s.behave("pool", direct.Hangs{}, direct.Hangs{})
		client := *s.client
		client.Timeout = 300 * time.Millisecond
		s.client = &client
		got := s.call(http.MethodPost, "/draft/a", nil)
		assert.Equal(t, got.Status, 0)
		time.Sleep(400 * time.Millisecond)
		runs := s.runs(got.id)
		assert.Equal(t, len(runs), 1)
		assert.Assert(t, runs[0].Cut)
	})
}

// Guards against a request that crashes backend servers without end.
func TestCrashingRequest(t *testing.T) {
	withSite(t, func(s *site) {
		s.behave("pool", direct.Breaks{}, direct.Breaks{})
		runs := 0
		for range 8 {
			got := s.call(http.MethodPost, "/draft/crash", func(c *gateway.Call) { c.ID = "the-same-body" })
			assert.Assert(t, got.Status != 200)
			runs = len(s.runs(got.id))
		}
		assert.Assert(t, runs <= 4, "%d runs", runs)
	})
}

// Guards against a stop that cuts requests, refuses open connections or stays ready.
func TestStop(t *testing.T) {
	withSite(t, func(s *site) {
		s.backends[2].Step, s.backends[3].Step = 500*time.Millisecond, 500*time.Millisecond
		long := make(chan result)
		go func() { long <- s.call(http.MethodPost, "/draft/a", nil) }()
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error)
		began := time.Now()
		go func() { stopped <- s.gateway.Stop(t.Context()) }()
		time.Sleep(100 * time.Millisecond)
		resp, err := s.ready.Get("http://" + readyAddress.String() + "/")
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, s.call(http.MethodPost, "/book/a", nil).Status, 200)
		got := <-long
		assert.Assert(t, got.whole)
		assert.Equal(t, got.body, stream(got.id, 1, 5))
		assert.NilError(t, <-stopped)
		assert.Assert(t, time.Since(began) < 8*time.Second)
	})
}

// Guards against a prompt beyond one engine's memory that is refused for ever, and against memory that stays reserved.
func TestReservedMemory(t *testing.T) {
	withSite(t, func(s *site) {
		got := s.call(http.MethodPost, "/draft/a", func(c *gateway.Call) {
			c.Prompt = &gateway.Prompt{Tokens: 400000, MaxAnswer: 500}
		})
		assert.Equal(t, got.Status, 200)
		runs := s.runs(got.id)
		assert.Equal(t, len(runs), 1)
		assert.Equal(t, runs[0].Helpers, 2)
		time.Sleep(time.Second)
		for _, b := range s.backends {
			assert.Equal(t, b.Reserved(), int64(0))
		}
	})
}

// Guards against a start that answers callers before it knows a table.
func TestStartWithoutStore(t *testing.T) {
	withSite(t, func(s *site) {
		assert.Equal(t, s.gateway.Ready(), true)
		s.store.Fail(direct.Silent{})
		time.Sleep(6 * time.Second)
		assert.Equal(t, s.gateway.Ready(), false)
		assert.Equal(t, s.call(http.MethodGet, "/look/a", nil).Status, 503)
		s.store.Fail(direct.Up{})
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.gateway.Ready(), true)
	})
}

// Guards against a start that believes entries which were old when it read them: a backend server that left, one that came,
// and a key that was withdrawn.
func TestStartFromOldEntries(t *testing.T) {
	withPreparedSite(t, func(s *site) {
		s.store.Delete(platform.ServerKey("i-1"))
		s.publish(map[string]string{"new-key": workspace}, testRoutes)
		s.addBackend("desk", 9)
		s.store.SetLag(4)
	}, func(s *site) {
		assert.Equal(t, s.call(http.MethodGet, "/look/a", nil).Status, 401)
		for range 30 {
			got := s.call(http.MethodPost, "/book/a", func(c *gateway.Call) { c.Key = "new-key" })
			assert.Equal(t, got.Status, 200)
		}
		assert.Equal(t, s.backends[0].Arrivals(), 0)
		assert.Assert(t, s.backends[4].Arrivals() > 0)
	})
}

// Guards against a held request that takes a repeat from the retry limits at each look for a free engine.
func TestHeldRepeat(t *testing.T) {
	withPreparedSite(t, func(s *site) { s.reserve = 20 }, func(s *site) {
		for _, b := range s.backends[2:] {
			b.Step = time.Second
		}
		for range 2 {
			go s.call(http.MethodPost, "/draft/busy", nil)
		}
		time.Sleep(100 * time.Millisecond)
		for _, b := range s.backends[2:] {
			if len(b.Runs()) == 0 {
				b.Behave(direct.Refuses{})
			}
		}
		got := s.call(http.MethodPost, "/review/a", func(c *gateway.Call) {
			c.Patience, c.Prompt = 15*time.Second, &gateway.Prompt{Tokens: 60000, MaxAnswer: 300}
		})
		assert.Equal(t, got.Status, 200)
		assert.Assert(t, got.whole)
	})
}

// Guards against requests that are refused because their gateway started a moment ago, and against those kept although it
// cannot read the store.
func TestFirstTable(t *testing.T) {
	cases := map[string]struct {
		prepare func(*site)
		status  int
		most    time.Duration
	}{
		"first read takes a while": {func(s *site) { s.storeDelay = 300 * time.Millisecond }, 200, time.Second},
		"first read hangs":         {func(s *site) { s.store.Fail(direct.Silent{}) }, 503, 1100 * time.Millisecond},
		"store refuses":            {func(s *site) { s.store.Fail(direct.Cut{}) }, 503, 100 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedSite(t, func(s *site) {
				s.settle = 50 * time.Millisecond
				tc.prepare(s)
			}, func(s *site) {
				began := time.Now()
				got := s.call(http.MethodPost, "/draft/a", nil)
				assert.Equal(t, got.Status, tc.status)
				assert.Assert(t, time.Since(began) <= tc.most, "%v", time.Since(began))
			})
		})
	}
}

// Guards against the beginning of an answer beyond the bound that callers take for the whole.
func TestAnswerTooLarge(t *testing.T) {
	for name, path := range map[string]string{"plain": "/look/a", "stream": "/draft/a"} {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(s *site) {
				large := direct.Errors{Size: 16<<20 + 1}
				s.behave("desk", large, large)
				s.behave("pool", large, large)
				got := s.call(http.MethodPost, path, nil)
				assert.Equal(t, got.Status, 502)
				assert.Equal(t, len(got.body), 0)
			})
		})
	}
}
