package gateway

import "time"

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
