package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// restore brings the store back from a copy after an outage of a length, which may be none.
func (h *harness) restore(c direct.Copy, away time.Duration) {
	if away > 0 {
		h.store.SetOutage(direct.ConnClosed{})
		time.Sleep(away)
	}
	h.store.Restore(c)
	h.store.SetOutage(direct.NoOutage{})
}

// spread sends calls on a path and returns how many arrived at each backend server meanwhile.
func (h *harness) spread(path string) map[string]int {
	before, arrived := map[string]int{}, map[string]int{}
	for _, b := range h.backends {
		before[b.Server.ID] = b.Arrivals()
	}
	for range 20 {
		h.call(http.MethodPost, path, nil)
	}
	for _, b := range h.backends {
		if n := b.Arrivals() - before[b.Server.ID]; n > 0 {
			arrived[b.Server.ID] = n
		}
	}
	return arrived
}

// Guards against what was published, withdrawn, drained or taken out before the store came back from an older copy, and comes
// back with it.
func TestRestoredStore(t *testing.T) {
	// The backend servers of service desk are i-1 in zone-1 and i-2 in zone-0.
	cases := map[string]struct {
		// lost is what is written after the copy was taken, again what is written after the restore. check runs 0.7 s after
		// that, when status is the answer to a keyed request; zero means that it must be refused.
		lost, again func(*harness)
		status      int
		check       func(*testing.T, *harness)
	}{
		"nothing lost":  {status: 200},
		"table reverts": {lost: func(h *harness) { h.publish(map[string]string{"new-key": workspace}, testRoutes) }},
		"table is published again": {
			lost:   func(h *harness) { h.publish(map[string]string{callerKey: workspace}, testRoutes) },
			again:  func(h *harness) { h.version--; h.publish(map[string]string{callerKey: workspace}, testRoutes) },
			status: 200,
			check: func(t *testing.T, h *harness) {
				time.Sleep(10 * time.Second)
				assert.Check(t, h.gateway.Ready(), "the table is not proven")
			}},
		"table is not published again": {
			lost:   func(h *harness) { h.publish(map[string]string{callerKey: workspace}, testRoutes) },
			status: 200,
			check: func(t *testing.T, h *harness) {
				time.Sleep(5 * time.Second)
				assert.Check(t, !h.gateway.Ready(), "the table counts as proven")
				calls := h.store.CallCount()
				time.Sleep(10 * time.Second)
				assert.Check(t, h.store.CallCount()-calls < 20, "%d calls", h.store.CallCount()-calls)
				h.version--
				h.publish(map[string]string{callerKey: workspace}, testRoutes)
				time.Sleep(time.Second)
				assert.Check(t, h.gateway.Ready())
			}},
		"server was drained": {lost: func(h *harness) { h.writeEntry(0, 7, true) }, status: 200, check: onlySecond},
		"server was drained, writes it again": {
			lost: func(h *harness) { h.writeEntry(0, 7, true) }, again: func(h *harness) { h.writeEntry(0, 8, true) }, status: 200, check: onlySecond},
		"server had left":    {lost: func(h *harness) { h.deleteServer(h.backends[0]) }, status: 200, check: onlySecond},
		"zone was taken out": {lost: func(h *harness) { h.store.Put(platform.ZoneKey("zone-1"), []byte("{}")) }, status: 200, check: onlySecond},
		"zone was taken out, and is out for a minute": {
			lost: func(h *harness) { h.store.Put(platform.ZoneKey("zone-1"), []byte("{}")) }, status: 200,
			check: func(t *testing.T, h *harness) {
				time.Sleep(50 * time.Second)
				onlySecond(t, h)
				time.Sleep(12 * time.Second)
				assert.Check(t, h.spread("/look/a")["i-1"] > 0)
			}},
		"zone was taken out, operator writes again": {
			lost: func(h *harness) { h.store.Put(platform.ZoneKey("zone-1"), []byte("{}")) },
			again: func(h *harness) {
				h.store.Put(platform.ZoneKey("zone-1"), []byte("{}"))
				time.Sleep(time.Second)
				h.store.Delete(platform.ZoneKey("zone-1"))
			},
			status: 200, check: both},
		"zone was taken out, newer table": {
			lost:   func(h *harness) { h.store.Put(platform.ZoneKey("zone-1"), []byte("{}")) },
			again:  func(h *harness) { h.publish(map[string]string{callerKey: workspace}, testRoutes) },
			status: 200, check: both},
		"server had joined": {lost: func(h *harness) { h.addBackend("desk", 9) }, status: 200,
			check: func(t *testing.T, h *harness) {
				assert.Check(t, h.spread("/look/a")["i-9"] > 0, "missing in the copy")
				h.writeEntry(4, 1, false)
				time.Sleep(3 * time.Second)
				assert.Check(t, h.spread("/look/a")["i-9"] > 0, "written again")
			}},
		"revisions assigned twice": {
			lost: func(h *harness) {
				h.writeEntry(2, 7, false)
				h.writeEntry(2, 8, false)
			},
			// The revisions of the lost entries go to the drain and to the entry after it.
			again: func(h *harness) {
				h.writeEntry(0, 7, true)
				h.writeEntry(2, 9, false)
			},
			status: 200, check: onlySecond},
	}
	for name, tc := range cases {
		for kind, away := range map[string]time.Duration{"at once": 0, "after an outage": 1500 * time.Millisecond} {
			t.Run(name+", "+kind, func(t *testing.T) {
				withHarness(t, func(h *harness) {
					h.writeEntry(0, 6, false)
					time.Sleep(time.Second)
					kept := h.store.Copy()
					if tc.lost != nil {
						tc.lost(h)
					}
					time.Sleep(time.Second)
					h.restore(kept, away)
					if tc.again != nil {
						tc.again(h)
					}
					time.Sleep(700 * time.Millisecond)
					status := h.call(http.MethodGet, "/look/a", nil).Status
					assert.Check(t, status == tc.status || tc.status == 0 && (status == 401 || status == 503), "%d", status)
					if tc.check != nil {
						tc.check(t, h)
					}
				})
			})
		}
	}
}

// onlySecond checks that of the first two backend servers only the second one gets requests.
func onlySecond(t *testing.T, h *harness) {
	arrived := h.spread("/look/a")
	assert.Check(t, arrived["i-1"] == 0 && arrived["i-2"] > 0, "%v", arrived)
}

// both checks that both of the first two backend servers get requests.
func both(t *testing.T, h *harness) {
	arrived := h.spread("/look/a")
	assert.Check(t, arrived["i-1"] > 0 && arrived["i-2"] > 0, "%v", arrived)
}

// writeEntry writes the entry of a backend server with a sequence number.
func (h *harness) writeEntry(backend int, sequence int64, draining bool) {
	server := h.backends[backend].Server
	server.Draining, server.Sequence = draining, sequence
	h.putEntry(server, 0)
}

// Guards against two restores in a row, after which the first copy or the second one undoes a change.
func TestStoreRestoredTwice(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.writeEntry(0, 6, false)
		first := h.store.Copy()
		h.publish(map[string]string{callerKey: workspace, "old-key": workspace}, testRoutes)
		second := h.store.Copy()
		h.publish(map[string]string{callerKey: workspace}, testRoutes)
		h.writeEntry(0, 7, true)
		time.Sleep(time.Second)
		h.restore(second, 0)
		h.restore(first, 100*time.Millisecond)
		time.Sleep(time.Second)
		got := h.call(http.MethodGet, "/look/a", func(c *gateway.CallerRequest) { c.Key = "old-key" })
		assert.Check(t, is.Equal(got.Status, 401))
		onlySecond(t, h)
		h.version--
		h.publish(map[string]string{callerKey: workspace}, testRoutes)
		time.Sleep(10 * time.Second)
		assert.Check(t, h.gateway.Ready())
		onlySecond(t, h)
	})
}

// Guards against an answer to a watch of the old era that arrives after the store has come back, and is taken for one of the new
// era: its revision would hide changes, and its drain be undone by the copy.
func TestLateAnswerOfOldEra(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.writeEntry(0, 6, false)
		time.Sleep(time.Second)
		kept := h.store.Copy()
		h.store.SetOutage(direct.LateAnswers{By: 600 * time.Millisecond})
		h.writeEntry(0, 7, true)
		h.writeEntry(2, 7, false)
		time.Sleep(10 * time.Millisecond)
		h.restore(kept, 0)
		h.writeEntry(1, 7, true)
		h.addBackend("desk", 9)
		time.Sleep(2 * time.Second)
		arrived := h.spread("/look/a")
		assert.Check(t, arrived["i-1"] == 0 && arrived["i-2"] == 0 && arrived["i-9"] > 0, "%v", arrived)
	})
}
