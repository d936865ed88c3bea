package gateway_test

import (
	"bytes"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// checkBudgets checks that bodies never took more memory than their budgets, and take none now.
func (h *harness) checkBudgets() {
	h.test.Helper()
	status := h.gateway.Status()
	assert.Check(h.test, status.RequestBodies.Peak <= status.RequestBodies.Limit, "%+v", status.RequestBodies)
	assert.Check(h.test, status.ResponseBodies.Peak <= status.ResponseBodies.Limit, "%+v", status.ResponseBodies)
	assert.Check(h.test, status.RequestBodies.Limit > 0 && status.RequestBodies.Limit+status.ResponseBodies.Limit < memoryLimit/2)
	assert.Check(h.test, is.Equal(status.RequestBodies.Used, int64(0)))
	assert.Check(h.test, is.Equal(status.ResponseBodies.Used, int64(0)))
}

// Guards against a backend server that sends a body without end and takes the memory of the gateway, with which the requests
// of all others end; against such a body that looks complete; and against sound requests that fail beside it.
func TestEndlessBodies(t *testing.T) {
	faults := map[string]direct.Endless{
		"success in chunks":  {Status: http.StatusOK},
		"success, unframed":  {Status: http.StatusOK, Unframed: true},
		"error in chunks":    {Status: http.StatusInternalServerError},
		"error, unframed":    {Status: http.StatusInternalServerError, Unframed: true},
		"refusal in chunks":  {Status: http.StatusServiceUnavailable, Refusal: true},
		"refusal, unframed":  {Status: http.StatusServiceUnavailable, Refusal: true, Unframed: true},
		"other failed lines": {Status: http.StatusNotFound},
	}
	// All backend servers of the path's service are faulty, those of the other service are sound.
	sound := map[string]string{"/look/a": "/draft/a", "/book/a": "/draft/a", "/draft/a": "/book/a", "/once/a": "/book/a"}
	for name, fault := range faults {
		for path, soundPath := range sound {
			t.Run(name+path, func(t *testing.T) {
				withHarness(t, func(h *harness) {
					h.setFaults(serviceOf(path), fault, fault)
					var calls sync.WaitGroup
					for range 120 {
						calls.Go(func() {
							got := h.call(http.MethodPost, path, nil)
							assert.Check(t, got.Status == http.StatusBadGateway || got.Status == http.StatusServiceUnavailable || got.Status == http.StatusGatewayTimeout,
								"status %d", got.Status)
							runs := len(h.runs(got.id))
							assert.Check(t, !got.NotRun || runs == 0 || fault.Refusal, "refused as not run after %d runs", runs)
							assert.Check(t, path != "/book/a" && path != "/once/a" || runs <= 1, "%d runs", runs)
						})
					}
					for range 10 {
						calls.Go(func() {
							assert.Check(t, is.Equal(h.call(http.MethodPost, soundPath, nil).Status, http.StatusOK))
						})
					}
					calls.Wait()
					h.checkBudgets()
				})
			})
		}
	}
}

// Guards against a request that fails because one of the backend servers sends bodies without end, although another one is
// sound, and against a faulty one that goes on getting the same share of requests.
func TestEndlessBodyOfOneServer(t *testing.T) {
	for name, fault := range map[string]direct.Endless{
		"success": {Status: http.StatusOK}, "error": {Status: http.StatusInternalServerError, Unframed: true},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults("desk", fault)
				for range 60 {
					assert.Equal(t, h.call(http.MethodPost, "/look/a", nil).Status, http.StatusOK)
				}
				assert.Assert(t, h.backends[0].Arrivals() < 15, "%d requests reached the faulty server", h.backends[0].Arrivals())
				h.checkBudgets()
			})
		})
	}
}

// Guards against bodies of requests that take the memory of the gateway, requests that are dropped instead of refused when
// there is none, and short requests that are refused because of long ones.
func TestBodiesOfRequests(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.setFaults("desk", direct.Pauses{For: time.Second}, direct.Pauses{For: time.Second})
		var mu sync.Mutex
		statuses := map[int]int{}
		var calls sync.WaitGroup
		for range 150 {
			calls.Go(func() {
				got := h.callWithBody(http.MethodPost, "/book/a", make([]byte, 1<<20), nil)
				assert.Check(t, is.Equal(got.NotRun, got.Status == http.StatusServiceUnavailable))
				assert.Check(t, !got.NotRun || len(h.runs(got.id)) == 0)
				mu.Lock()
				statuses[got.Status]++
				mu.Unlock()
			})
		}
		time.Sleep(500 * time.Millisecond)
		h.setFaults("pool", direct.NoFault{}, direct.NoFault{})
		for range 20 {
			assert.Check(t, is.Equal(h.call(http.MethodPost, "/draft/a", nil).Status, http.StatusOK))
		}
		calls.Wait()
		assert.Assert(t, statuses[http.StatusOK] >= 20 && statuses[http.StatusServiceUnavailable] > 0 && len(statuses) == 2, "%v", statuses)
		h.checkBudgets()
	})
}

// Guards against a caller that reads nothing and keeps its request, and the memory of its answer, forever.
func TestCallerReadsNothing(t *testing.T) {
	for name, path := range map[string]string{"plain": "/look/a", "stream": "/draft/a"} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults("desk", direct.Errors{Size: 100_000}, direct.Errors{Size: 100_000})
				conn, err := h.callers.DialContext(h.test.Context(), "tcp", "")
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				c := gateway.CallerRequest{ID: "silent", Method: http.MethodPost, Target: path, Host: callerHost, Key: callerKey, Timeout: 2 * time.Second}
				request := bytes.Buffer{}
				assert.NilError(t, platform.EncodeCallerRequest(callerAddress, c, []byte("body")).Write(&request))
				_, err = conn.Write(request.Bytes())
				assert.NilError(t, err)
				time.Sleep(time.Second)
				assert.Equal(t, h.gateway.Status().Running, int64(1))
				time.Sleep(3 * time.Second)
				assert.Equal(t, h.gateway.Status().Running, int64(0))
				h.checkBudgets()
			})
		})
	}
}
