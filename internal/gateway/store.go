package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/roster"
)

const (
	// retryMin is the pause after a failed call to the store. It doubles with each failure, up to retryMax.
	retryMin = 60 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// outageMin is the shortest store outage in which the entries of backend servers may expire.
	outageMin = time.Second
	// outageProofAge is the age of the last proof, by this gateway or another, from which the store counts as having been
	// unavailable, also if no call of this gateway failed. Entries of live backend servers expire in outages that are
	// longer than this.
	outageProofAge = 2200 * time.Millisecond
	// expireInterval is the pause between checks for expired backend servers.
	expireInterval = 100 * time.Millisecond
)

// followStore is the task that reads the store and then watches it until the gateway stops.
func (g *Gateway) followStore() error {
	ctx := g.tomb.Context(context.Background())
	g.tomb.Go(g.expire)
	var revision int64
	var failedSince time.Time
	pause := retryMin
	allowStale := true
	for ctx.Err() == nil {
		g.mu.Lock()
		sent := g.boot.Now()
		g.proofs.QueryStarted(sent)
		g.mu.Unlock()
		full := revision == 0
		var updates []Update
		var next int64
		var err error
		if full {
			updates, next, err = g.store.Read(ctx, allowStale, func(part []Update) {
				// The part does not cover all changes up to any revision.
				if g.apply(sent, part, 0, false) {
					g.markFirstRead()
				}
			})
		} else {
			updates, next, err = g.watchStore(ctx, revision, !failedSince.IsZero())
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errWatchCut) {
			continue
		}
		if err != nil {
			g.markFirstRead()
			g.metrics.count("store-errors")
			if g.store.Compacted(err) {
				g.log.Info("store history compacted; reading all entries", "revision", revision)
				revision, allowStale = 0, false
				continue
			}
			if failedSince.IsZero() {
				failedSince = sent
				g.log.Info("store unavailable", "error", err.Error(), "revision", revision)
			}
			if !g.sleep(g.jitter(pause)) {
				return nil
			}
			pause = min(2*pause, retryMax)
			continue
		}
		if !failedSince.IsZero() {
			outage := g.boot.Since(failedSince)
			g.log.Info("store available again", "away-ms", outage.Milliseconds())
			if outage >= outageMin {
				g.mu.Lock()
				g.roster.StoreRecovered(g.clock.Now())
				g.mu.Unlock()
			}
			failedSince = time.Time{}
		}
		pause = retryMin
		applied := g.apply(sent, updates, next, full)
		g.markFirstRead()
		if !applied {
			// The newest table could not be decoded, so the one in force cannot be proven. Read everything again.
			revision, allowStale = 0, false
			if !g.sleep(retryMax) {
				return nil
			}
			continue
		}
		revision = next
		if len(updates) > 0 && !full && !g.sleep(g.batchPause()) {
			return nil
		}
	}
	return nil
}

// jitter returns a random duration between 0.5 and 1.5 times d, so that gateways do not call the store at the same
// time.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + time.Duration(g.random.Int64N(int64(d)))
}

// sleep waits for d. It reports whether the whole time passed before the gateway stopped.
func (g *Gateway) sleep(d time.Duration) bool {
	select {
	case <-g.tomb.Dying():
		return false
	case <-g.clock.After(d):
		return true
	}
}

// expire is the task that removes backend servers whose entries stay missing after a store outage, and that ends watches
// which wait too long.
func (g *Gateway) expire() error {
	for g.sleep(expireInterval) {
		now := g.clock.Now()
		g.mu.Lock()
		g.endAwait(now)
		changes := g.roster.Expire(now)
		g.planner.Expire(now)
		paces := g.planner.TakePaceChanges(now)
		g.mu.Unlock()
		g.logPace(paces)
		g.checkWatch()
		for _, c := range changes {
			g.handleChange(c)
		}
	}
	return nil
}

// apply brings updates from the store into force that an answer to a call sent at a time contained. They include all
// changes up to a revision; zero means that they are a part of an answer. apply reports whether every routing table in them
// could be decoded.
func (g *Gateway) apply(sent time.Time, updates []Update, revision int64, full bool) bool {
	now := g.clock.Now()
	readable := true
	var servers []roster.Server
	var zonesOut []string
	var changes []roster.Change
	var logCalls []func()
	newerTable := false
	g.mu.Lock()
	// The age of a table that the store cannot prove does not tell how long the store was unavailable.
	if g.currentTable.Provable() && g.currentTable.ProofAge(g.boot.Now()) >= outageProofAge {
		g.roster.StoreRecovered(now)
	}
	if logCall := g.enterEra(now); logCall != nil {
		logCalls = append(logCalls, logCall)
	}
	for _, update := range updates {
		switch u := update.(type) {
		case TableUpdate:
			if g.currentTable.Install(u.Table) {
				newerTable = true
				logCalls = append(logCalls, func() {
					g.log.Info("table in force", "version", u.Table.Version, "routes", u.Table.Routes(), "ranked", u.Table.RankedServices())
				})
			}
		case ZoneUpdate:
			if full {
				zonesOut = append(zonesOut, u.Name)
			} else {
				changes = append(changes, g.roster.SetZoneOut(u.Name, u.TakenOut))
			}
		case ServerUpdate:
			server := u.Server
			if u.ColdFor > 0 {
				server.ColdUntil = now.Add(u.ColdFor)
			}
			if full {
				servers = append(servers, server)
			} else {
				changes = append(changes, g.roster.Put(server))
			}
		case ServerRemoved:
			changes = append(changes, g.roster.Remove(now, u.ID))
		case InvalidItem:
			g.metrics.count("store-items-invalid")
			logCalls = append(logCalls, func() { g.log.Error(u.Err, "invalid store item ignored", "key", u.Key) })
			readable = readable && !u.IsTable
		}
	}
	if full {
		changes = append(changes, g.roster.Replace(now, servers)...)
		changes = append(changes, g.roster.ReplaceZonesOut(zonesOut)...)
	}
	if newerTable {
		changes = append(changes, g.roster.ReleaseZones()...)
	}
	if readable && g.currentTable.Table() != nil {
		proven := g.currentTable.Prove(sent, revision)
		if revision > 0 {
			if proven {
				g.proofs.QuerySucceeded(g.currentTable.Table().Version, revision)
			}
			g.watch.applied(revision)
		}
	}
	g.mu.Unlock()
	for _, logCall := range logCalls {
		logCall()
	}
	for _, c := range changes {
		g.handleChange(c)
	}
	return readable
}

// handleChange logs a change of the roster and discards the connections and load data of a backend server that has
// left.
func (g *Gateway) handleChange(c roster.Change) {
	switch c := c.(type) {
	case roster.Joined:
		g.recordReplaced(c)
		if c.Previous != nil {
			g.mu.Lock()
			g.planner.Forget(g.clock.Now(), c.Previous)
			g.mu.Unlock()
		}
		g.log.Info("backend server joined", "backend", c.Server.ID, "service", c.Server.Service, "zone", c.Server.Zone,
			"revision", c.Server.Revision, "draining", c.Server.Draining)
	case roster.Updated:
		if c.Draining {
			g.log.Info("backend server draining", "backend", c.Server.ID, "revision", c.Server.Revision)
		}
	case roster.Missing:
		g.log.Info("backend server entry missing after store outage", "backend", c.Server.ID)
	case roster.Outdated:
		g.metrics.count("server-entries-outdated")
		g.log.Info("outdated entry of a backend server ignored", "backend", c.Server.ID, "sequence", c.Server.Sequence, "revision", c.Server.Revision)
	case roster.Left:
		g.log.Info("backend server left", "backend", c.Server.ID, "revision", c.Server.Revision)
		g.recordLeft(c.Server)
		g.pool.CloseIdle(c.Server.Address)
		g.mu.Lock()
		g.planner.Forget(g.clock.Now(), c.Server)
		g.mu.Unlock()
	case roster.AnnouncedLeaving:
		g.metrics.count("servers-leaving")
		g.log.Info("backend server announced that it leaves", "backend", c.Server.ID, "service", c.Server.Service, "revision", c.Server.Revision)
		g.pool.CloseIdle(c.Server.Address)
	case roster.ZoneTakenOut:
		g.log.Info("zone taken out of service", "zone", c.Zone)
	case roster.ZoneReturned:
		g.log.Info("zone back in service", "zone", c.Zone)
	case roster.None:
	}
}
