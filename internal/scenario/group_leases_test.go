package scenario

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/standin"
)

// reservedTokens returns the memory that the sidecars have reserved.
func (h *harness) reservedTokens() int64 {
	sum := int64(0)
	for _, s := range h.Sidecars {
		sum += s.Status().MemoryUsed
	}
	return sum
}

// Guards against memory that stays reserved for a prompt on several engines for more than 4 s after its entry has ended.
func TestReservationsOfEntriesThatEnd(t *testing.T) {
	opts := []demo.Option{demo.WithEngines(1, 3), demo.WithEntries(1), demo.WithEngineOptions(
		standin.WithCapacity(20_000), standin.WithCacheCapacity(0), standin.WithRetention(time.Second))}
	for pause := 500 * time.Millisecond; pause < 2500*time.Millisecond; pause += 400 * time.Millisecond {
		t.Run("killed after "+pause.String(), func(t *testing.T) {
			withHarness(t, opts, func(t *testing.T, h *harness) {
				for name := range h.Engines {
					h.inject(name, standin.Slow{Factor: 20})
				}
				prompt := strings.Repeat("Sala doce, a las nueve. ", 76_000/24)
				go h.send(t.Context(), request{prompt: prompt, tokens: 100, stream: true, timeout: 5 * time.Minute})
				time.Sleep(pause)
				assert.Check(t, h.reservedTokens() > 10_000, "%d tokens reserved", h.reservedTokens())
				h.Entries[0].Kill()
				killed := time.Now()
				for h.reservedTokens() > 0 && time.Since(killed) < 30*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				assert.Check(t, time.Since(killed) <= 4*time.Second, "free after %v", time.Since(killed))
				h.restartEntry(0)
			})
		})
	}
}
