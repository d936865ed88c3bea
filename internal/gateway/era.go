package gateway

import (
	"net/netip"
	"slices"
	"time"

	"berylward.example/berylward/internal/peering"
)

// A gateway that starts waits this long for reports of other gateways before its table counts as proven, if the store was ever
// restored: startAwait if none arrives, and reportAwait after the first one. Gateways report every 15 to 100 ms under load, and
// every 500 ms while nothing changes.
const (
	startAwait  = 700 * time.Millisecond
	reportAwait = 300 * time.Millisecond
)

// awaitReports begins to wait for the reports of other gateways, if there are any.
func (g *Gateway) awaitReports() {
	isOther := func(seed netip.AddrPort) bool { return seed != g.PeeringAddress }
	if g.peerConn != nil && slices.ContainsFunc(g.Seeds, isOther) {
		g.currentTable.AwaitReports()
		g.awaitUntil = g.clock.Now().Add(startAwait)
	}
}

// endAwait ends the wait for reports when its time is up. It must be called with the gateway's lock held.
func (g *Gateway) endAwait(now time.Time) {
	if !g.awaitUntil.IsZero() && !now.Before(g.awaitUntil) {
		g.awaitUntil = time.Time{}
		g.currentTable.EndAwait()
		g.endFirstRead()
	}
}

// markFirstRead records that the first read of the store has succeeded or failed.
func (g *Gateway) markFirstRead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.firstRead = true
	g.endFirstRead()
}

// endFirstRead lets the requests go on that wait for the first read, once it has ended and reports need not be awaited. It must
// be called with the gateway's lock held.
func (g *Gateway) endFirstRead() {
	if g.firstRead && !g.currentTable.Awaiting() && !g.firstReadClosed {
		g.firstReadClosed = true
		close(g.firstReadDone)
	}
}

// recordReport records what another gateway knows of the store and may have been lost there: its era, the version of the
// routing table, and servers and zones out of service. It must be called with the gateway's lock held.
func (g *Gateway) recordReport(now time.Time, s peering.State) {
	g.watch.sawEra(g.boot.Now(), s.Era, g.currentTable.Era())
	g.currentTable.RecordReported(s.Version)
	g.roster.Reported(now, s.Out)
	if until := now.Add(reportAwait); until.Before(g.awaitUntil) {
		g.awaitUntil = until
	}
}

// enterEra prepares the state of the gateway for entries of the store's era. If that is not the era of the entries before, the
// store has come back from an older copy: what was written since the copy is gone, and revisions are assigned again. It returns
// a function that logs the change, nil if there is none. It must be called with the gateway's lock held.
func (g *Gateway) enterEra(now time.Time) (logCall func()) {
	era, previous := g.store.Era(), g.currentTable.Era()
	if era == previous {
		return nil
	}
	started := g.currentTable.Table() == nil
	g.currentTable.EnterEra(era)
	g.roster.EnterEra(now, era)
	g.proofs.EnterEra(era)
	g.watch.enterEra()
	if started {
		return nil
	}
	g.metrics.count("store-eras")
	zones := g.roster.HeldZones()
	return func() {
		g.log.Info("store came back from an older copy", "era", era, "previous-era", previous, "zones-out", zones)
	}
}
