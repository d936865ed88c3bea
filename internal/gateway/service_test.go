package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// withShares returns testRoutes with other shares for the routes of the service desk.
func withShares(shares ...route.Share) []route.Route {
	var routes []route.Route
	for _, r := range testRoutes {
		if r.Shares[0].Service == "desk" {
			r.Shares = shares
		}
		routes = append(routes, r)
	}
	return routes
}

// Guards against requests that run at a service with a share of none when the other service of the route has no usable
// backend servers.
func TestShareOfNone(t *testing.T) {
	next, desk := route.Share{Service: "next"}, route.Share{Service: "desk", Weight: 100}
	cases := map[string]struct {
		shares []route.Share
		change func(*harness)
		status int
	}{
		"zones taken out":           {[]route.Share{next, desk}, (*harness).takeDeskOut, 503},
		"zones taken out, desk one": {[]route.Share{desk, next}, (*harness).takeDeskOut, 503},
		"all draining": {[]route.Share{next, desk}, func(h *harness) {
			h.putServer(h.backends[0], true)
			h.putServer(h.backends[1], true)
		}, 503},
		"all servers removed": {[]route.Share{next, desk}, func(h *harness) {
			h.deleteServer(h.backends[0])
			h.deleteServer(h.backends[1])
		}, 503},
		"all shares of none":              {[]route.Share{next, {Service: "desk"}}, func(*harness) {}, 503},
		"only service, share of none":     {[]route.Share{next}, func(*harness) {}, 503},
		"another service takes over":      {[]route.Share{next, desk, {Service: "spare", Weight: 1}}, (*harness).takeDeskOut, 200},
		"nothing changed, desk is usable": {[]route.Share{next, desk}, func(*harness) {}, 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) {
				h.addBackend("next", 6)
				h.addBackend("spare", 8)
				h.backends[4].Events, h.backends[5].Events = 0, 0
				h.publish(map[string]string{callerKey: workspace}, withShares(tc.shares...))
			}, func(h *harness) {
				tc.change(h)
				time.Sleep(time.Second)
				for range 10 {
					got := h.call(http.MethodPost, "/book/a", nil)
					assert.Equal(t, got.Status, tc.status)
					assert.Equal(t, got.NotRun, tc.status == 503)
				}
				assert.Equal(t, h.backends[4].Arrivals(), 0)
			})
		})
	}
}

// takeDeskOut puts both backend servers of the service desk into a zone that is taken out of service.
func (h *harness) takeDeskOut() {
	for _, b := range h.backends[:2] {
		server := b.Server
		server.Zone = "zone-out"
		h.putEntry(server, 0)
	}
	h.store.Put(platform.ZoneKey("zone-out"), []byte("{}"))
}

// Guards against a held or repeated request that goes to a service which a later version of the table has taken off the route.
func TestSharesChangeMeanwhile(t *testing.T) {
	cases := map[string]struct {
		path  string
		fault direct.ServerFault
	}{
		"held":                        {"/look/a", direct.RefusesFor{For: 1200 * time.Millisecond}},
		"repeated":                    {"/look/a", direct.Pauses{For: 800 * time.Millisecond}},
		"must not run twice, refused": {"/book/a", direct.RefusesFor{For: 1200 * time.Millisecond}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) {
				h.addBackend("next", 6)
				h.backends[4].Events = 0
			}, func(h *harness) {
				h.setFaults("desk", tc.fault, tc.fault)
				time.AfterFunc(100*time.Millisecond, func() {
					h.publish(map[string]string{callerKey: workspace}, withShares(route.Share{Service: "desk"}, route.Share{Service: "next", Weight: 1}))
				})
				got := h.call(http.MethodPost, tc.path, func(c *gateway.CallerRequest) { c.Timeout = 2 * time.Second })
				assert.Check(t, is.Equal(got.Status, http.StatusOK))
				assert.Check(t, is.Equal(h.backends[4].Arrivals(), 1))
			})
		})
	}
}
