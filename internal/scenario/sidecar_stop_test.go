package scenario

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/standin"
)

// Guards against a graceful stop of a booking sidecar that cuts a running booking, and against a restart after which an
// old key runs again or new keys are refused. Guards also against the loss of the answers of a worker whose zone was
// taken out of service before its stop.
func TestBookingSidecarStops(t *testing.T) {
	stop := func(h *harness, worker string) {
		ctx, cancel := context.WithTimeout(h.test.Context(), time.Minute)
		defer cancel()
		assert.NilError(h.test, h.removeSidecar(worker).Stop(ctx))
		h.restartSidecar(worker)
		time.Sleep(5 * time.Second)
	}
	tests := map[string]struct {
		during func(h *harness)
		// stopped lists the workers whose booking tables are lost.
		stopped []string
	}{
		"one worker": {stopped: []string{bookingWorker}, during: func(h *harness) { stop(h, bookingWorker) }},
		"one worker twice": {stopped: []string{bookingWorker}, during: func(h *harness) {
			stop(h, bookingWorker)
			stop(h, bookingWorker)
		}},
		"each worker in turn": {
			stopped: []string{bookingWorker, "booking-desk-el-centro", "booking-desk-totoracocha"},
			during: func(h *harness) {
				for _, zone := range zoneNames {
					stop(h, "booking-desk-"+zone)
				}
			},
		},
		"zone out of service first": {during: func(h *harness) {
			h.setZoneOut(bookingZone, true)
			time.Sleep(8 * time.Second)
			stop(h, bookingWorker)
			h.setZoneOut(bookingZone, false)
			time.Sleep(8 * time.Second)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withHarness(t, threeZones, func(t *testing.T, h *harness) {
				earlier, answers := h.bookOnEachWorker()
				var running []request
				for n := range 12 {
					running = append(running, newBooking(n, n))
				}
				for _, s := range h.Services {
					assert.NilError(t, s.Inject(standin.Delay{Duration: 2 * time.Second}))
				}
				results := h.sendAll(running, 500*time.Millisecond, func() { tt.during(h) })
				for i, res := range results {
					h.checkWholeAnswer(running[i], res)
				}
				earlier, answers = append(earlier, running...), append(answers, results...)
				// ranOn maps each key to the worker that ran it.
				ranOn := map[string]string{}
				for worker, s := range h.Services {
					for key := range s.Runs() {
						ranOn[key] = worker
					}
				}
				lostTables := map[string]bool{}
				for _, worker := range tt.stopped {
					lostTables[worker] = true
				}
				for i, r := range earlier {
					if !lostTables[ranOn[r.key]] {
						h.checkSameAnswers(earlier[i:i+1], answers[i:i+1])
						continue
					}
					for entry := range h.addresses {
						res := h.send(t.Context(), r.withEntry(entry))
						assert.Equal(t, res.outcome, "unknown", "%s: %s", r.name(), res)
						assert.Assert(t, res.elapsed <= bookingTimeout, "%s", res)
					}
				}
				for n := range 12 {
					r := newBooking(n, n)
					h.checkWholeAnswer(r, h.send(t.Context(), r))
					assert.Equal(t, h.runs()[r.key], 1, r.name())
				}
				for _, r := range earlier {
					assert.Equal(t, h.runs()[r.key], 1, r.name())
				}
			})
		})
	}
}
