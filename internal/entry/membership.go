package entry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/generation"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/internal/suspect"
)

const (
	// listWatchWait is how long the platform holds one watch of the instance list open.
	listWatchWait = 30 * time.Second
	// seedTimeout bounds the exchange with one seed.
	seedTimeout = 2 * time.Second
	// listRetryDelay is the delay after a failed read of the instance list.
	listRetryDelay = time.Second
	// minListInterval is the minimum time between two reads of the instance list that returned a change. It limits
	// 400 entries to 200 of the platform's 2,000 calls a second while a zone fails and the list changes constantly.
	minListInterval = 2 * time.Second
	// watchersPerZone is the number of entries in a zone that watch the configuration service. The others learn of a
	// change through their links. With three, two may fail.
	watchersPerZone = 3
)

// watchInstances keeps the membership up to date. While the platform does not answer, the last list stays in use.
func (e *Entry) watchInstances(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		list, changed, err := e.readInstances(ctx, version)
		if err != nil {
			e.metrics.Add("instance-list-errors", 1)
			if !e.sleep(ctx, listRetryDelay) {
				return nil
			}
			continue
		}
		if changed {
			first := version == 0
			version = list.Version
			e.updateInstances(list.Instances)
			if !first && !e.sleep(ctx, minListInterval) {
				return nil
			}
		}
	}
	return nil
}

func (e *Entry) readInstances(ctx context.Context, version uint64) (platformclient.InstanceList, bool, error) {
	if version == 0 {
		list, err := e.platform.Instances(ctx)
		return list, true, err
	}
	return e.platform.WatchInstances(ctx, version, listWatchWait)
}

func (e *Entry) sleep(ctx context.Context, d time.Duration) bool {
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// updateInstances applies a new instance list.
func (e *Entry) updateInstances(list []platformclient.Instance) {
	instances := make([]fleet.Instance, 0, len(list))
	var zoneEntries []string
	liveEntries := 0
	for _, i := range list {
		instances = append(instances, fleetInstance(i))
		if i.Role == platformclient.RoleEntry && !i.Leaving {
			liveEntries++
			if i.Zone == e.Zone {
				zoneEntries = append(zoneEntries, i.Name)
			}
		}
	}
	e.mu.Lock()
	e.updateView(instances)
	e.limiter.SetEntries(e.clock.Now(), max(liveEntries, 1))
	for _, i := range instances {
		if p := e.peers[i.Name]; p != nil {
			p.setLeaving(i.Leaving)
		}
	}
	e.zoneEntries, e.instances = zoneEntries, instances
	e.hasInstanceList = e.hasInstanceList || len(instances) > 0
	e.notifyViewChanged()
	e.mu.Unlock()
	e.updatePeers(instances)
}

// updateView replaces the membership of the view. The caller holds the lock.
func (e *Entry) updateView(instances []fleet.Instance) {
	now := e.clock.Now()
	e.view.Update(now, instances)
	for name, p := range e.peers {
		// A declared booking worker can be linked before the instance list names it.
		if p.connected() {
			e.view.LinkUp(now, name)
		}
	}
}

func fleetInstance(i platformclient.Instance) fleet.Instance {
	role := fleet.RoleEngine
	switch {
	case i.Role == platformclient.RoleEntry:
		role = fleet.RoleEntry
	case i.Service != "":
		role = fleet.RoleService
	}
	return fleet.Instance{
		Name: i.Name, Address: i.Address, Zone: i.Zone, Region: i.Region, Role: role,
		Service: i.Service, Models: i.Models, Leaving: i.Leaving,
	}
}

// updatePeers starts and stops peers so that there is one for each worker of the subset and one for each declared
// booking worker. A booking worker needs a link because only it can serve its keys.
func (e *Entry) updatePeers(instances []fleet.Instance) {
	e.mu.Lock()
	if !e.tomb.Alive() {
		e.mu.Unlock()
		return
	}
	byName := map[string]fleet.Instance{}
	for _, i := range instances {
		byName[i.Name] = i
	}
	wanted := map[string]fleet.Instance{}
	for _, name := range e.view.Subset() {
		wanted[name] = byName[name]
	}
	for name, i := range e.declaredWorkers() {
		wanted[name] = i
	}
	var obsolete []*peer
	for name, p := range e.peers {
		if w, ok := wanted[name]; !ok || w.Address != p.address {
			// A worker that was only removed from the list may still run attempts; its peer stays until they have
			// ended.
			if ok || p.idle() {
				delete(e.peers, name)
				e.view.LinkDown(e.clock.Now(), name)
				obsolete = append(obsolete, p)
			}
		}
	}
	for name, i := range wanted {
		if e.peers[name] == nil {
			e.peers[name] = newPeer(e, name, i.Address)
		}
	}
	e.mu.Unlock()
	for _, p := range obsolete {
		p.stop()
	}
}

// declaredWorkers returns the workers of plain services whose addresses are declared. The caller holds the lock.
func (e *Entry) declaredWorkers() map[string]fleet.Instance {
	workers := map[string]fleet.Instance{}
	s := e.config.Snapshot()
	if s == nil {
		return workers
	}
	for _, service := range s.Declarations.Services {
		for name, w := range service.Workers {
			if !w.Lost {
				workers[name] = fleet.Instance{Name: name, Address: w.Address, Zone: w.Zone, Role: fleet.RoleService, Service: service.Name}
			}
		}
	}
	return workers
}

// watchGenerations applies each new generation to the view.
func (e *Entry) watchGenerations(ctx context.Context) error {
	for {
		changed := e.config.Changed()
		if s := e.config.Snapshot(); s != nil {
			var outOfService []string
			for name, z := range s.Declarations.Zones {
				if z.Out {
					outOfService = append(outOfService, name)
				}
			}
			e.mu.Lock()
			e.view.SetZonesOut(outOfService)
			e.suspects.SetQuarantine(s.Declarations.Suspects.Quarantine)
			instances := e.instances
			e.notifyViewChanged()
			for _, p := range e.peers {
				p.sendHeartbeat()
			}
			e.mu.Unlock()
			e.updatePeers(instances)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// isWatcher reports whether this entry watches the configuration service. Every entry does until it has the instance
// list.
func (e *Entry) isWatcher() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.hasInstanceList || generation.IsWatcher(e.Instance, e.zoneEntries, watchersPerZone)
}

// querySeeds asks the seeds for the declarations until the platform answers, and uses the seeds as the instance list.
// This lets an entry start and serve while the platform is down.
func (e *Entry) querySeeds(ctx context.Context) error {
	for len(e.seeds) > 0 && e.lacksInstanceList() {
		for _, address := range e.seeds {
			e.querySeed(ctx, address)
		}
		if !e.sleep(ctx, listRetryDelay) {
			return nil
		}
	}
	return nil
}

// lacksInstanceList reports whether the platform has not yet returned an instance list with entries in it.
func (e *Entry) lacksInstanceList() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.hasInstanceList
}

// querySeed fetches the declarations from a seed and adds the seed to the membership once its backend server serves.
func (e *Entry) querySeed(ctx context.Context, address netip.AddrPort) {
	conn, err := link.Dial(ctx, address, e.hello(), e.linkOptions...)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	e.exchange.HandleAnnouncement(conn, conn.Peer().Generation)
	timer := e.clock.NewTimer(seedTimeout)
	defer timer.Stop()
	for stateReceived := false; !stateReceived || e.config.Snapshot() == nil; {
		select {
		case m, ok := <-conn.Receive():
			if !ok {
				return
			}
			if state, ok := m.(*link.State); ok && state.Phase == "serving" {
				stateReceived = true
				e.addSeed(conn.Peer(), address, state.Models)
				continue
			}
			e.exchange.Handle(conn, m)
		case <-timer.C():
			return
		case <-ctx.Done():
			return
		}
	}
}

// addSeed adds a seed to the membership until the platform provides the instance list.
func (e *Entry) addSeed(peer link.Hello, address netip.AddrPort, models []string) {
	role := fleet.RoleEngine
	if peer.Service != "" {
		role = fleet.RoleService
	}
	seed := fleet.Instance{
		Name: peer.Instance, Address: address, Zone: peer.Zone, Region: e.Region, Role: role, Service: peer.Service, Models: models,
	}
	e.mu.Lock()
	if e.hasInstanceList {
		e.mu.Unlock()
		return
	}
	e.instances = append(slices.DeleteFunc(slices.Clone(e.instances), func(i fleet.Instance) bool { return i.Name == seed.Name }), seed)
	instances := e.instances
	e.updateView(instances)
	e.notifyViewChanged()
	e.mu.Unlock()
	e.updatePeers(instances)
}

// linkUp records a new connection.
func (e *Entry) linkUp(p *peer, conn *link.Conn) {
	e.sendSuspects(conn)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.metrics.Add("links-up", 1)
	if e.peers[p.name] == p {
		e.view.LinkUp(e.clock.Now(), p.name)
		e.notifyViewChanged()
	}
}

// linkDown records the end of a connection.
func (e *Entry) linkDown(p *peer, err error) {
	if err != nil {
		e.log.Info("link lost", "worker", p.name, "error", err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.metrics.Add("links-down", 1)
	var linkErr *link.Error
	if errors.As(err, &linkErr) && linkErr.Kind == link.KindPaused {
		// This process was paused, so its load estimates are out of date.
		e.view.ResetLoads(e.clock.Now())
	}
	// The peer may have been replaced because its worker moved to another address. Its end then does not affect the
	// new peer.
	if e.peers[p.name] == p {
		e.view.LinkDown(e.clock.Now(), p.name)
		e.notifyViewChanged()
	}
}

// handleState records the state of a backend server that its sidecar reports.
func (e *Entry) handleState(p *peer, m *link.State) {
	status := fleet.StatusServing
	switch m.Phase {
	case "draining", "stopped":
		status = fleet.StatusDraining
	case "down", "starting":
		status = fleet.StatusDown
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	p.lastState = m
	e.view.Report(now, p.name, fleet.Report{
		Status: status, Window: m.WindowTokens, Fullness: m.Fullness, WarmModels: m.Models,
	})
	for _, hash := range m.Cached {
		e.view.PrefixCached(now, p.name, hash)
	}
	e.notifyViewChanged()
}

func (e *Entry) handleHeartbeat(conn *link.Conn, m *link.Heartbeat) {
	e.exchange.HandleAnnouncement(conn, m.Generation)
	e.mu.Lock()
	same := m.Suspects == e.suspects.MarksDigest(e.clock.Now())
	e.mu.Unlock()
	if !same {
		e.sendSuspects(conn)
	}
}

// sendSuspects sends all marks of suspect requests on a connection.
func (e *Entry) sendSuspects(conn *link.Conn) {
	e.mu.Lock()
	marks := e.suspects.Marks(e.clock.Now())
	e.mu.Unlock()
	if len(marks) > 0 {
		e.sendMarks(marks, conn)
	}
}

func (e *Entry) sendMarks(marks []suspect.Mark, conn *link.Conn) {
	body, err := suspect.EncodeMarks(marks)
	if err != nil {
		e.log.Error(err, "cannot encode suspects")
		return
	}
	_ = conn.Send(&link.Suspects{Body: body})
}

// handleSuspects merges the marks of a peer and forwards the new ones.
func (e *Entry) handleSuspects(from *link.Conn, m *link.Suspects) {
	marks, err := suspect.DecodeMarks(m.Body)
	if err != nil {
		e.metrics.Add("malformed-suspects", 1)
		return
	}
	e.mu.Lock()
	added := e.suspects.Merge(e.clock.Now(), marks)
	peers := make([]*peer, 0, len(e.peers))
	for _, p := range e.peers {
		peers = append(peers, p)
	}
	e.mu.Unlock()
	if len(added) == 0 {
		return
	}
	e.metrics.Add("suspects", int64(len(added)))
	body, err := suspect.EncodeMarks(added)
	if err != nil {
		e.log.Error(err, "cannot encode suspects")
		return
	}
	for _, p := range peers {
		p.sendUnlessFrom(from, &link.Suspects{Body: body})
	}
}
