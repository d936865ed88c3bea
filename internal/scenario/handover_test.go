package scenario

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/standin"
)

const (
	bookingZone   = "banos"
	bookingWorker = "booking-desk-" + bookingZone
	// bookingTimeout is the timeout of each booking in these tests.
	bookingTimeout = 30 * time.Second
)

func newBooking(entry, room int) request {
	return request{entry: entry, booking: fmt.Sprintf(`{"room":%d}`, room), key: newKey(), timeout: bookingTimeout}
}

// withEntry returns the same request, to be sent to the entry with the given index.
func (r request) withEntry(entry int) request {
	r.entry = entry
	return r
}

// bookOnEachWorker sends bookings until every worker has run at least two, and returns them with their results.
func (h *harness) bookOnEachWorker() ([]request, []result) {
	h.test.Helper()
	var (
		requests []request
		results  []result
	)
	needMore := func() bool {
		for _, s := range h.Services {
			if len(s.Runs()) < 2 {
				return true
			}
		}
		return false
	}
	for n := 0; needMore(); n++ {
		r := newBooking(n, n)
		res := h.send(h.test.Context(), r)
		h.checkWholeAnswer(r, res)
		requests, results = append(requests, r), append(results, res)
	}
	return requests, results
}

// checkSameAnswers repeats the bookings through each entry and checks that they get their first answers again.
func (h *harness) checkSameAnswers(requests []request, results []result) {
	h.test.Helper()
	for i, r := range requests {
		for entry := range h.addresses {
			repeat := h.send(h.test.Context(), r.withEntry(entry))
			if repeat.outcome != "done" || repeat.text != results[i].text {
				h.test.Errorf("%s through entry %d: first got %s, then %s", r.name(), entry+1, results[i], repeat)
			}
		}
	}
}

// bookDuring sends a new booking through both entries every 50 ms while during runs. It checks that each is answered
// before its timeout, with the same answer for both callers, and runs once.
func (h *harness) bookDuring(during func()) {
	h.test.Helper()
	done := make(chan struct{})
	var sender, requests sync.WaitGroup
	sender.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			r := newBooking(n, n)
			requests.Go(func() {
				results := h.sendAll([]request{r, r.withEntry(n + 1)}, 0, nil)
				for _, res := range results {
					h.checkWholeAnswer(r, res)
					if res.elapsed > bookingTimeout || res.text != results[0].text {
						h.test.Errorf("%s: late or different results: %s and %s", r.name(), results[0], res)
					}
				}
				if runs := h.runs()[r.key]; runs != 1 {
					h.test.Errorf("%s: ran %d times, want 1", r.name(), runs)
				}
			})
		}
	})
	during()
	close(done)
	sender.Wait()
	requests.Wait()
}

// Guards against a booking that is lost, refused, run twice or answered differently when its owner changes because a
// zone is taken out of service and returned.
func TestBookingHandOver(t *testing.T) {
	setZoneAndWait := func(h *harness, out bool, delay time.Duration) {
		h.setZoneOut(bookingZone, out)
		time.Sleep(delay)
	}
	tests := map[string]struct {
		// delay is how long the service takes for each booking.
		delay  time.Duration
		change func(h *harness)
		// endsOut says that the zone is out of service at the end.
		endsOut bool
	}{
		"zone out":                {change: func(h *harness) { setZoneAndWait(h, true, 8*time.Second) }, endsOut: true},
		"zone out and returned":   {change: func(h *harness) { setZoneAndWait(h, true, 8*time.Second); setZoneAndWait(h, false, 8*time.Second) }},
		"zone out, slow bookings": {delay: 2 * time.Second, change: func(h *harness) { setZoneAndWait(h, true, 8*time.Second) }, endsOut: true},
		"zone out and returned, slow bookings": {delay: 2 * time.Second, change: func(h *harness) {
			setZoneAndWait(h, true, 8*time.Second)
			setZoneAndWait(h, false, 8*time.Second)
		}},
		"zone out and returned twice": {change: func(h *harness) {
			for range 2 {
				setZoneAndWait(h, true, 8*time.Second)
				setZoneAndWait(h, false, 8*time.Second)
			}
		}},
		"zone out and returned twice in 1.2 s, slow bookings": {delay: time.Second, change: func(h *harness) {
			for range 2 {
				setZoneAndWait(h, true, 300*time.Millisecond)
				setZoneAndWait(h, false, 300*time.Millisecond)
			}
			time.Sleep(8 * time.Second)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withHarness(t, threeZones, func(t *testing.T, h *harness) {
				requests, results := h.bookOnEachWorker()
				for _, s := range h.Services {
					assert.NilError(t, s.Inject(standin.Delay{Duration: tt.delay}))
				}
				h.bookDuring(func() {
					time.Sleep(time.Second)
					tt.change(h)
				})
				before := len(h.Services[bookingWorker].Runs())
				h.checkSameAnswers(requests, results)
				for n := range 12 {
					r := newBooking(n, n)
					h.checkWholeAnswer(r, h.send(t.Context(), r))
					assert.Equal(t, h.runs()[r.key], 1, r.name())
				}
				for _, r := range requests {
					assert.Equal(t, h.runs()[r.key], 1, r.name())
				}
				if tt.endsOut {
					assert.Equal(t, len(h.Services[bookingWorker].Runs()), before, "bookings ran in a zone that is out of service")
				}
			})
		})
	}
}
