package soak

import (
	"context"
	"sync"
	"time"

	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// A store is restored from a copy of at most maxCopyAge, and what was lost is written again rewriteDelay later. Together they are
// well below revocationDelay: when all gateways start anew meanwhile, nobody knows of a key whose withdrawal was lost.
const (
	maxCopyAge   = 1500 * time.Millisecond
	rewriteDelay = time.Second
)

// storeCopy is a copy of the store and when it was taken.
type storeCopy struct {
	direct.Copy
	at time.Time
}

// copyStore takes a copy of the store and drops copies that are too old.
func (h *harness) copyStore(now time.Time) {
	h.copies = append(h.copies, storeCopy{h.store.Copy(), now})
	for now.Sub(h.copies[0].at) > maxCopyAge {
		h.copies = h.copies[1:]
	}
}

// restoreStore brings the store back from a copy. Operators and backend servers write again what they have written last.
func (h *harness) restoreStore() (end func()) {
	h.store.Restore(h.copies[h.random.IntN(len(h.copies))].Copy)
	// The copies of the era before would bring back what was written again.
	h.copies = nil
	h.copyStore(h.clock.Now())
	ctx, cancel := context.WithCancel(context.Background())
	var rewrite sync.WaitGroup
	rewrite.Go(func() {
		select {
		case <-ctx.Done():
		case <-h.clock.After(rewriteDelay):
		}
		h.writeAgain()
	})
	return func() {
		cancel()
		rewrite.Wait()
	}
}

// writeAgain writes the table, the zones taken out and the entries of the backend servers as they are now.
func (h *harness) writeAgain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.Put(platform.ConfigKey, h.tableValue)
	for z, out := range h.zonesOut {
		h.writeZone(z, out)
	}
	for _, b := range h.backends {
		_ = h.writeEntry(b) // The same encoding succeeded in setUp.
	}
}

// setZoneOut takes a zone out of service or puts it back.
func (h *harness) setZoneOut(zone string, out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zonesOut[zone] = out
	h.writeZone(zone, out)
}

// writeZone writes or removes the key of a zone.
func (h *harness) writeZone(zone string, out bool) {
	if out {
		h.store.Put(platform.ZoneKey(zone), []byte("{}"))
	} else {
		h.store.Delete(platform.ZoneKey(zone))
	}
}
