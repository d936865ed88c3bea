package scenario

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a graceful stop of an entry that cuts or refuses a request that the entry has admitted.
func TestEntryStops(t *testing.T) {
	withHarness(t, threeZones, func(t *testing.T, h *harness) {
		requests := promptRequests(6, 300, time.Minute)
		results := h.sendAll(requests, time.Second, func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			assert.NilError(t, h.Entries[0].Stop(ctx))
			h.restartEntry(0)
		})
		for i, res := range results {
			h.checkWholeAnswer(requests[i], res)
		}
	})
}

// Guards against a stop of an entry whose time ends before its requests, which then lose their connections without an answer.
func TestEntryStopAnswersCallers(t *testing.T) {
	cases := map[string]struct {
		requests func() []request
		outcomes []string
	}{
		"streams":        {func() []request { return promptRequests(6, 1500, time.Minute) }, []string{"unknown"}},
		"whole answers":  {func() []request { return withoutStream(promptRequests(6, 1500, time.Minute)) }, []string{"unknown"}},
		"queued prompts": {func() []request { return withoutStream(promptRequests(60, 1500, time.Minute)) }, []string{"unknown", "not-run", "done"}},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, threeZones, func(t *testing.T, h *harness) {
				requests := tt.requests()
				for i := range requests {
					requests[i].entry = 0
				}
				var stopped time.Duration
				results := h.sendAll(requests, time.Second, func() {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					began := time.Now()
					assert.Check(t, h.Entries[0].Stop(ctx))
					stopped = time.Since(began)
					h.restartEntry(0)
				})
				assert.Check(t, stopped <= 5*time.Second, "the stop took %v", stopped)
				for i, res := range results {
					assert.Check(t, res.err == nil && slices.Contains(tt.outcomes, res.outcome), "%s: %s", requests[i].name(), res)
				}
			})
		})
	}
}

// withoutStream makes requests ask for whole answers.
func withoutStream(requests []request) []request {
	for i := range requests {
		requests[i].stream = false
	}
	return requests
}
