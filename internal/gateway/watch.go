package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// The gateways of a zone share the work of proving that their routing table is the latest version, because the store answers
// a limited number of reads a second over all readers, and a gateway that is turned away serves no keyed requests. The one with the
// lowest rank watches the store with a short wait and tells the others at what time which revision was the latest. The
// others watch with a long wait. A watch with a long wait is cut short when the proofs of others do not arrive or show
// that this gateway has missed a change.
const (
	// provingWait is the wait of the gateway that proves the table for its zone. A watch proves that the table was the
	// latest version when the watch was sent, so the age of the proof reaches twice this time.
	provingWait = 750 * time.Millisecond
	// longWait is the wait of the other gateways.
	longWait = 15 * time.Second
	// smallGroupWait is the wait in groups of at most smallGroupSize gateways, which make few calls in total.
	smallGroupWait = 900 * time.Millisecond
	smallGroupSize = 4
	// recoveryWait is the wait of the first watch after a failure, and after a watch was cut short. It is short so that
	// the table is proven soon.
	recoveryWait = 50 * time.Millisecond
	// A watch is cut short when the age of the proof reaches proofLimit, and proofStagger later for each rank up to
	// maxStaggered, so that one gateway can prove the table for the others. The limit is well below the time for which
	// revoked keys may be used, which leaves time for a retry.
	proofLimit   = 2200 * time.Millisecond
	proofStagger = 150 * time.Millisecond
	maxStaggered = 4
	// behindLimit is how long another gateway may have seen a later revision before a watch is cut short, and laterEraLimit
	// how long it may have seen a later era. Most gateways notice a restored store by themselves, since it closes their
	// connections, and a gateway whose path leads to the earlier era must not ask all the time.
	behindLimit   = 300 * time.Millisecond
	laterEraLimit = 500 * time.Millisecond
	// After a watch that returned changes, there is a pause, because changes come in groups: all gateways call at the
	// same time after each of them, and the store turns away calls beyond its rate over all readers. The pause grows with
	// the group by batchPausePerGateway, up to maxBatchPause and to batchPauseShare of the time in which changes must be in
	// force.
	minBatchPause        = 250 * time.Millisecond
	batchPausePerGateway = 6 * time.Millisecond
	maxBatchPause        = time.Second
	batchPauseShare      = 0.25
)

// errWatchCut means that a watch was cut short.
var errWatchCut = errors.New("watch cut short")

// pendingWatch is the state of the watch that waits at the store. It is guarded by the gateway's lock.
type pendingWatch struct {
	// cancel ends a watch with a long wait; nil while there is none.
	cancel context.CancelFunc
	// cut is set once the watch was cut short, until the next watch.
	cut bool
	// newest is the latest revision that another gateway has proven, behindSince when it was first later than the
	// revision of this gateway.
	newest      int64
	behindSince time.Time
	// laterEra is an era of the store that another gateway has seen and this one has not, zero when there is none, and
	// laterEraSince when that was first known.
	laterEra      int64
	laterEraSince time.Time
}

// sawRevision records the revision in the proof of another gateway. own is the revision of this gateway. Both are of the
// same era.
func (w *pendingWatch) sawRevision(now time.Time, revision, own int64) {
	if revision > own && w.newest <= own {
		w.behindSince = now
	}
	w.newest = max(w.newest, revision)
}

// applied records that the store answered a call of this gateway with a revision. The store's answers are never older
// than earlier ones, so a later revision reported before cannot have been right.
func (w *pendingWatch) applied(revision int64) {
	w.newest = min(w.newest, revision)
	w.laterEra = 0
}

// sawEra records the era of the store that another gateway has reported. own is the era of this gateway.
func (w *pendingWatch) sawEra(now time.Time, era, own int64) {
	if era > own && w.laterEra == 0 {
		w.laterEra, w.laterEraSince = era, now
	}
}

// enterEra drops what was known of revisions, which are of an earlier era.
func (w *pendingWatch) enterEra() { w.newest, w.laterEra = 0, 0 }

// reasonToCut returns why a watch with a long wait must be cut short, or an empty string.
func (w *pendingWatch) reasonToCut(now time.Time, own int64, proofAge time.Duration, rank int) string {
	switch {
	case w.cancel == nil || w.cut:
		return ""
	case w.newest > own && now.Sub(w.behindSince) >= behindLimit:
		return "behind"
	case w.laterEra > 0 && now.Sub(w.laterEraSince) >= laterEraLimit:
		return "era"
	case proofAge >= proofLimit+time.Duration(min(rank, maxStaggered))*proofStagger:
		return "unproven"
	}
	return ""
}

// watchStore watches the store for changes after a revision. It returns errWatchCut when checkWatch cut the watch short.
func (g *Gateway) watchStore(ctx context.Context, revision int64, recovering bool) ([]Update, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.mu.Lock()
	wait := g.watchWait(recovering || g.watch.cut)
	g.watch.cut = false
	if wait == longWait {
		g.watch.cancel = cancel
	}
	g.mu.Unlock()
	g.metrics.count("store-watches")
	updates, next, err := g.store.Watch(ctx, revision, wait)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watch.cancel = nil
	if err != nil && g.watch.cut {
		return nil, 0, errWatchCut
	}
	g.watch.cut = false
	return updates, next, err
}

// watchWait returns how long the next watch waits for a change. It must be called with the gateway's lock held.
func (g *Gateway) watchWait(recovering bool) time.Duration {
	switch {
	case recovering:
		return recoveryWait
	case g.group.Size() <= smallGroupSize:
		return smallGroupWait
	case g.group.ZoneRank() == 0:
		return provingWait
	}
	return longWait
}

// checkWatch cuts the pending watch short if this gateway must query the store now.
func (g *Gateway) checkWatch() {
	now := g.boot.Now()
	g.mu.Lock()
	age := g.currentTable.ProofAge(now)
	if !g.currentTable.Provable() {
		// The store cannot prove the table before it is published again, and the pending watch will tell that.
		age = 0
	}
	reason := g.watch.reasonToCut(now, g.currentTable.Revision(), age, g.group.ZoneRank())
	if reason != "" {
		g.watch.cut = true
		g.watch.cancel()
	}
	g.mu.Unlock()
	if reason != "" {
		g.metrics.count("store-watches-cut-" + reason)
	}
}

// batchPause returns the pause after a watch that returned changes.
func (g *Gateway) batchPause() time.Duration {
	g.mu.Lock()
	size := g.group.Size()
	g.mu.Unlock()
	return batchPauseFor(size, g.ChangeTimeout)
}

func batchPauseFor(gateways int, changeTimeout time.Duration) time.Duration {
	pause := min(minBatchPause+time.Duration(gateways)*batchPausePerGateway, maxBatchPause)
	if changeTimeout > 0 {
		pause = min(pause, time.Duration(batchPauseShare*float64(changeTimeout)))
	}
	return pause
}
