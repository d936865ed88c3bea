package demo_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/standin"
)

// Guards against cached prefixes that are never estimated, against an estimate that outlives the engine's cache, and
// against requests that fail because of a wrong estimate: the engine then rejects requests that the reservation table
// has admitted.
func TestCachedPrefixes(t *testing.T) {
	const longLag = time.Hour
	tests := map[string]struct {
		lag     time.Duration
		fault   standin.Fault
		cached  bool
		removed bool
	}{
		"cached":              {lag: longLag, cached: true},
		"cleared":             {fault: standin.TurnCold{}, removed: true},
		"restarted":           {lag: longLag, fault: standin.Crash{Downtime: 50 * time.Millisecond}, removed: true},
		"cleared, events lag": {lag: longLag, fault: standin.TurnCold{}},
		"slow, events known":  {fault: standin.Slow{Factor: 2}, cached: true},
	}
	text := strings.Repeat("A year of ledgers. ", 2400)
	body := fmt.Sprintf(`{"model":"ledger-32b","prompt":%q,"max_tokens":20}`, text)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			opts := []demo.Option{demo.WithEngines(1, 1), demo.WithEntries(1), demo.WithEngineOptions(
				standin.WithCapacity(24_000), standin.WithCacheEvents(tt.lag, 0))}
			withFleet(t, opts, func(f *demo.Fleet) {
				engine := ""
				for engine = range f.Engines {
				}
				status := f.Sidecars[engine].Status
				_, outcome, first := post(t, f, "/v1/completions", ledgersKey, body, nil)
				assert.Equal(t, outcome, "done", first)
				assert.Assert(t, status().CachedPrefixes > 0)
				if tt.fault != nil {
					assert.NilError(t, f.Engines[engine].Inject(tt.fault))
				}
				if tt.removed {
					waitFor(t, func() bool { return status().CachedPrefixes == 0 && status().Phase == "serving" })
				}
				var wg sync.WaitGroup
				for range 2 {
					wg.Go(func() {
						_, outcome, again := post(t, f, "/v1/completions", ledgersKey, body, nil)
						assert.Check(t, outcome == "done", again)
						assert.Check(t, answerText(t, again) == standin.ExpectedAnswer(text, 20))
						var usage struct {
							Usage struct {
								Details struct {
									Cached int64 `json:"cached_tokens"`
								} `json:"prompt_tokens_details"`
							}
						}
						assert.Check(t, json.Unmarshal([]byte(again), &usage))
						assert.Check(t, !tt.cached || usage.Usage.Details.Cached > 0, again)
					})
				}
				wg.Wait()
			})
		})
	}
}
