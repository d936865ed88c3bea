package gateway

import (
	"context"
	"sync"
	"time"

	"berylward.example/berylward/internal/roster"
)

const (
	// watchWait is how long a watch waits for a change. A watch proves the table at the time when it was sent, so the age
	// of the proof reaches twice this, and with one watch that hangs still stays below the bound of withdrawn keys.
	watchWait = 1500 * time.Millisecond
	// watchWaitSmall is the wait in groups of at most smallGroup gateways, whose calls cost little together. The sooner a
	// table was proven before an outage of the store, the longer keyed requests are served in it.
	watchWaitSmall = 900 * time.Millisecond
	smallGroup     = 4
	// recoveryWait is the wait of the first watch after a failure, so that it proves the table soon.
	recoveryWait = 50 * time.Millisecond
	// gatherPause is the pause after a watch that told of changes. Changes come in groups, each call is priced for each
	// gateway, and what they tell may take seconds to be in force.
	gatherPause = 250 * time.Millisecond
	// retryFirst is the pause after a failed call to the store; it doubles up to retryMost.
	retryFirst = 60 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// awayAfter is how long the store must fail for entries to be able to lapse meanwhile.
	awayAfter = time.Second
	// expireEvery is how often lapses are looked at while the store is quiet.
	expireEvery = 100 * time.Millisecond
)

// follow is the task that reads the store and then watches it, for as long as the gateway lives.
func (g *Gateway) follow() error {
	ctx := g.tomb.Context(context.Background())
	g.tomb.Go(g.expire)
	var revision int64
	var failedSince time.Time
	pause := retryFirst
	cheap := true
	endFirst := sync.OnceFunc(func() { close(g.begun) })
	for ctx.Err() == nil {
		g.mu.Lock()
		sent := g.boot.Now()
		g.proofs.Ask(sent)
		g.mu.Unlock()
		whole := revision == 0
		var facts []Fact
		var next int64
		var err error
		if whole {
			facts, next, err = g.store.Read(ctx, cheap)
		} else {
			facts, next, err = g.store.Watch(ctx, revision, g.watchWait(!failedSince.IsZero()))
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			endFirst()
			g.metrics.count("store-errors")
			if g.store.Compacted(err) {
				g.log.Info("history of the store is gone; reading everything", "revision", revision)
				revision, cheap = 0, false
				continue
			}
			if failedSince.IsZero() {
				failedSince = sent
				g.log.Info("store lost", "error", err.Error(), "revision", revision)
			}
			if !g.sleep(g.jitter(pause)) {
				return nil
			}
			pause = min(2*pause, retryMost)
			continue
		}
		if !failedSince.IsZero() {
			away := g.boot.Since(failedSince)
			g.log.Info("store back", "away-ms", away.Milliseconds())
			if away >= awayAfter {
				g.mu.Lock()
				g.roster.StoreBack(g.clock.Now())
				g.mu.Unlock()
			}
			failedSince = time.Time{}
		}
		pause = retryFirst
		applied := g.apply(sent, facts, whole)
		endFirst()
		if !applied {
			// The newest table could not be read, so nothing proves the present one; everything is read again.
			revision, cheap = 0, false
			if !g.sleep(retryMost) {
				return nil
			}
			continue
		}
		revision = next
		if len(facts) > 0 && !whole && !g.sleep(gatherPause) {
			return nil
		}
	}
	return nil
}

// jitter spreads pauses over half to one and a half of their length, so that gateways do not call together.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + time.Duration(g.random.Int64N(int64(d)))
}

// watchWait returns how long the next watch waits.
func (g *Gateway) watchWait(recovering bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if recovering {
		return recoveryWait
	}
	if g.group.Size() <= smallGroup {
		return watchWaitSmall
	}
	return watchWait
}

// sleep pauses the task and returns false when the gateway ends.
func (g *Gateway) sleep(d time.Duration) bool {
	select {
	case <-g.tomb.Dying():
		return false
	case <-g.clock.After(d):
		return true
	}
}

// expire is the task that gives up backend servers whose entries stay missing.
func (g *Gateway) expire() error {
	for g.sleep(expireEvery) {
		now := g.clock.Now()
		g.mu.Lock()
		changes := g.roster.Expire(now)
		g.mu.Unlock()
		for _, c := range changes {
			g.changed(c)
		}
	}
	return nil
}

// apply puts facts into force. It returns false when the table among them could not be read.
func (g *Gateway) apply(sent time.Time, facts []Fact, whole bool) bool {
	now := g.clock.Now()
	readable := true
	var servers []roster.Server
	var zonesOut []string
	var changes []roster.Change
	var lines []func()
	g.mu.Lock()
	for _, fact := range facts {
		switch f := fact.(type) {
		case NewTable:
			if g.book.Take(f.Table) {
				lines = append(lines, func() {
					g.log.Info("table in force", "version", f.Table.Version, "routes", f.Table.Routes())
				})
			}
		case Zone:
			if whole {
				zonesOut = append(zonesOut, f.Name)
			} else {
				changes = append(changes, g.roster.SetZoneOut(f.Name, f.Out))
			}
		case ServerSeen:
			if whole {
				servers = append(servers, f.Server)
			} else {
				changes = append(changes, g.roster.Put(f.Server))
			}
		case ServerGone:
			changes = append(changes, g.roster.Remove(now, f.ID))
		case Unreadable:
			lines = append(lines, func() { g.log.Error(f.Err, "item ignored", "key", f.Key) })
			readable = readable && !f.Table
		}
	}
	if whole {
		changes = append(changes, g.roster.Replace(now, servers)...)
		changes = append(changes, g.roster.ReplaceZonesOut(zonesOut)...)
	}
	if readable && g.book.Table() != nil {
		g.book.Prove(sent)
		g.proofs.Proved(g.book.Table().Version)
	}
	g.mu.Unlock()
	for _, line := range lines {
		line()
	}
	for _, c := range changes {
		g.changed(c)
	}
	return readable
}

// changed logs a change of the roster and drops what belonged to a backend server that is gone.
func (g *Gateway) changed(c roster.Change) {
	switch c := c.(type) {
	case roster.Joined:
		g.log.Info("backend server joined", "backend", c.Server.ID, "service", c.Server.Service, "zone", c.Server.Zone,
			"revision", c.Server.Revision, "draining", c.Server.Draining)
	case roster.Updated:
		if c.Draining {
			g.log.Info("backend server draining", "backend", c.Server.ID, "revision", c.Server.Revision)
		}
	case roster.Lapsed:
		g.log.Info("entry of a backend server lapsed while the store was away", "backend", c.Server.ID)
	case roster.Left:
		g.log.Info("backend server left", "backend", c.Server.ID, "revision", c.Server.Revision)
		g.pool.Drop(c.Server.Address)
		g.mu.Lock()
		g.planner.Forget(c.Server)
		g.mu.Unlock()
	case roster.ZoneOut:
		g.log.Info("zone taken out", "zone", c.Zone)
	case roster.ZoneIn:
		g.log.Info("zone back in service", "zone", c.Zone)
	case roster.None:
	}
}
