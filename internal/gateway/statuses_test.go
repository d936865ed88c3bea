package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/internal/telemetry"
)

// Guards against a response with a status that does not exist: below 100 it ended the caller's connection without an answer and
// the request was not sent again, above 599 it was passed on, and with a refusal it passed for a promise that nothing ran. Guards, too, against
// load that stays counted.
func TestInvalidStatuses(t *testing.T) {
	routes := map[string]struct {
		path, service string
		status        int // at the caller if the other backend server is sound
		runs          int
	}{
		"booking":          {"/book/a", "desk", 502, 1},
		"look-up":          {"/look/a", "desk", 200, 2},
		"resumable stream": {"/draft/a", "pool", 200, 2},
		"other stream":     {"/once/a", "pool", 502, 1},
	}
	faults := map[string]direct.StatusText{
		"000": {Text: "000 X"}, "099": {Text: "099 X"}, "101": {Text: "101 Switching Protocols"}, "600": {Text: "600 X"}, "999": {Text: "999 X"},
		"099 and not run": {Text: "099 X", Refusal: true}, "600 and not run": {Text: "600 X", Refusal: true},
	}
	for routeName, tc := range routes {
		for faultName, fault := range faults {
			t.Run(routeName+", "+faultName, func(t *testing.T) {
				out := &logBuffer{}
				logs, err := telemetry.NewLogs(out, "")
				assert.NilError(t, err)
				withHarness(t, func(h *harness) {
					check := func(got result, status int) {
						runs := len(h.runs(got.id))
						assert.Check(t, got.Status == status && runs == tc.runs, "status %d, %d runs", got.Status, runs)
					}
					h.setFaults(tc.service, fault, fault)
					check(h.call(http.MethodPost, tc.path, nil), http.StatusBadGateway)
					struck := 0
					for _, faults := range [][]direct.ServerFault{{fault, direct.NoFault{}}, {direct.NoFault{}, fault}} {
						h.setFaults(tc.service, faults...)
						for range 5 {
							time.Sleep(5 * time.Second) // no backend server is avoided any more
							before := h.arrivalsWith(fault)
							if got := h.call(http.MethodPost, tc.path, nil); h.arrivalsWith(fault) > before {
								check(got, tc.status)
								struck++
							}
						}
					}
					assert.Check(t, struck > 0, "no request reached the faulty backend server")
					time.Sleep(5 * time.Second) // the stand-ins close the connections that they have taken over
					h.setFaults(tc.service, direct.NoFault{}, direct.NoFault{})
					for range 4 {
						out.checkNoLoad(t, h.call(http.MethodPost, tc.path, nil))
					}
				}, gateway.WithLogger(logs.Logger("gateway")))
			})
		}
	}
}

// arrivalsWith returns how many requests the backend servers with a fault have received.
func (h *harness) arrivalsWith(fault direct.ServerFault) int {
	sum := 0
	for _, b := range h.backends {
		if b.Fault() == fault {
			sum += b.Arrivals()
		}
	}
	return sum
}
