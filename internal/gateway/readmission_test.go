package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/standin/direct"
)

// withRoute returns testRoutes with a change to the route of a name.
func withRoute(name string, change func(*route.Route)) []route.Route {
	routes := slices.Clone(testRoutes)
	change(&routes[slices.IndexFunc(routes, func(r route.Route) bool { return r.Name == name })])
	return routes
}

// Guards against a held or repeated request that is sent by what an earlier table said of its key and its route: as a request
// of the workspace that held the key before, or again although its route allows that no longer.
func TestTableChangesMeanwhile(t *testing.T) {
	const other = "loja"
	moved := func(h *harness) { h.publish(map[string]string{callerKey: other}, testRoutes) }
	held := []direct.ServerFault{direct.RefusesFor{For: 1200 * time.Millisecond}, direct.RefusesFor{For: 1200 * time.Millisecond}}
	silent := []direct.ServerFault{direct.Pauses{For: 800 * time.Millisecond}, direct.Pauses{For: 800 * time.Millisecond}}
	cases := map[string]struct {
		path, service string
		faults        []direct.ServerFault
		change        func(*harness)
		// workspaces are those that the backend servers which ran the request were given, in the order of the runs.
		workspaces []string
	}{
		"key moved, held":             {"/look/a", "desk", held, moved, []string{other}},
		"key moved, held, runs once":  {"/book/a", "desk", held, moved, []string{other}},
		"key moved, repeated":         {"/look/a", "desk", silent, moved, []string{workspace, other}},
		"key moved, stream continued": {"/draft/a", "pool", []direct.ServerFault{direct.ClosesEarly{After: 3}, direct.ClosesEarly{After: 3}}, moved, []string{workspace, other}},
		"route made public": {"/look/a", "desk", held, func(h *harness) {
			h.publish(map[string]string{callerKey: workspace}, withRoute("safe", func(r *route.Route) { r.Public = true }))
		}, []string{""}},
		"runs once since": {"/look/a", "desk", silent, func(h *harness) {
			h.publish(map[string]string{callerKey: workspace}, withRoute("safe", func(r *route.Route) { r.Kind = route.Unsafe }))
		}, []string{workspace}},
		"fewer attempts since": {"/check/a", "desk", silent, func(h *harness) {
			h.publish(map[string]string{callerKey: workspace}, withRoute("check", func(r *route.Route) { r.MaxAttempts = 1 }))
		}, []string{workspace}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults(tc.service, tc.faults...)
				if tc.service == "pool" {
					h.backends[2].StepTime, h.backends[3].StepTime = 200*time.Millisecond, 200*time.Millisecond
				}
				time.AfterFunc(100*time.Millisecond, func() {
					tc.change(h)
					time.Sleep(100 * time.Millisecond)
					h.setFaults(tc.service, direct.NoFault{}, direct.NoFault{})
				})
				got := h.call(http.MethodPost, tc.path, func(c *gateway.CallerRequest) { c.Timeout = 10 * time.Second })
				assert.Check(t, is.Equal(got.Status, http.StatusOK))
				assert.Check(t, got.complete)
				runs := h.runs(got.id)
				slices.SortFunc(runs, func(a, b direct.Run) int { return a.At.Compare(b.At) })
				var workspaces []string
				for _, r := range runs {
					workspaces = append(workspaces, r.Workspace)
				}
				assert.Check(t, is.DeepEqual(workspaces, tc.workspaces))
			})
		})
	}
}

// Guards against a request that runs on more backend servers than its route allows. A server whose entry is removed before it
// has announced that it drains goes on serving for a while, so its answer counts; one that has ended does not.
func TestRunsOnServersWithoutEntry(t *testing.T) {
	cases := map[string]struct {
		fault direct.ServerFault
		runs  int
	}{
		"answers without a signature": {direct.Unsigned{}, 2},
		"answers another request":     {direct.WrongID{}, 2},
		"cuts its answer off":         {direct.ClosesEarly{}, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) {
				for _, number := range []int{6, 7} {
					h.addBackend("desk", number)
				}
			}, func(h *harness) {
				desk := slices.DeleteFunc(slices.Clone(h.backends), func(b *direct.Backend) bool { return b.Server.Service != "desk" })
				for _, b := range desk {
					b.StepTime = 200 * time.Millisecond
				}
				h.setFaults("desk", tc.fault, tc.fault, tc.fault, tc.fault)
				done := make(chan result)
				go func() { done <- h.call(http.MethodPost, "/look/a", nil) }()
				for removed := 0; removed < 2; {
					time.Sleep(10 * time.Millisecond)
					for _, b := range desk {
						if len(b.Runs()) > 0 {
							h.deleteServer(b)
							removed++
						}
					}
					desk = slices.DeleteFunc(desk, func(b *direct.Backend) bool { return len(b.Runs()) > 0 })
				}
				got := <-done
				assert.Check(t, got.Status >= 500)
				assert.Check(t, !got.NotRun)
				assert.Check(t, is.Equal(len(h.runs(got.id)), tc.runs))
			})
		})
	}
}
