// Package roster holds the backend servers that exist and may get new requests, as read from the platform's store:
// entries that appear, change, drain and disappear, and zones that operators take out of service. A Roster is owned
// by one gateway, reads no clock and does no input or output. The Server values that it returns are never changed, so
// other goroutines may read them.
package roster

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// missingGrace is how long a backend server stays in use after the store has recovered from an outage during which its
// entry disappeared. Entries of live servers are back within about two seconds of the recovery. The grace period is
// shorter because it starts when the gateway learns of the recovery.
const missingGrace = 1700 * time.Millisecond

// leavingMemory is how long the announcement of a server that leaves, and the number of its last entry, are kept after its entry
// was removed. Entries that expire during an outage of the store return afterwards, also for servers that are about to stop.
const leavingMemory = 10 * time.Minute

// Server is one incarnation of a backend server. It is immutable.
type Server struct {
	// ID identifies the server together with StartedAt; its address may be reused by another server.
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that the server processes at the same time.
	Slots    int
	Draining bool
	// ColdUntil is when the server becomes warm, by the clock of the gateway that holds the entry; zero when it is warm
	// already.
	ColdUntil time.Time
	// StartedAt is when this incarnation started, by the server's clock. It distinguishes incarnations with the same
	// ID.
	StartedAt time.Time
	// Sequence grows with the entries that this incarnation has written.
	Sequence int64
	// Revision is the store's revision of the entry, and Era the era of the store in which it was read. Revisions are
	// comparable within one era only.
	Revision, Era int64
}

// incarnation identifies one start of a server.
type incarnation struct {
	id        string
	startedAt int64 // Unix milliseconds, as in the store
}

func (s *Server) incarnation() incarnation { return incarnation{s.ID, s.StartedAt.UnixMilli()} }

// Change says what an update changed. It is a sealed interface: Joined, Updated, Left, Missing, Outdated, AnnouncedLeaving,
// ZoneTakenOut, ZoneReturned and None are its only implementations.
//
//sumtype:decl
type Change interface{ change() }

// Joined means that a backend server is new or has restarted. Previous is the incarnation that it replaces, nil if there
// is none.
type Joined struct{ Server, Previous *Server }

// Updated means that the entry of a backend server changed; Draining means that it started to drain.
type Updated struct {
	Server   *Server
	Draining bool
}

// Left means that a backend server has left.
type Left struct{ Server *Server }

// Missing means that the entry of a backend server has been missing since a store outage. The server is dropped at
// Until unless the entry returns.
type Missing struct {
	Server *Server
	Until  time.Time
}

// Outdated means that an entry was ignored: the server has written a later one, or has been replaced since.
type Outdated struct{ Server *Server }

// AnnouncedLeaving means that a backend server has announced in a response that it is about to stop.
type AnnouncedLeaving struct{ Server *Server }

// ZoneTakenOut means that operators took a zone out of service.
type ZoneTakenOut struct{ Zone string }

// ZoneReturned means that a zone is back in service.
type ZoneReturned struct{ Zone string }

// None means that nothing changed.
type None struct{}

func (Joined) change()           {}
func (Updated) change()          {}
func (Left) change()             {}
func (Missing) change()          {}
func (Outdated) change()         {}
func (AnnouncedLeaving) change() {}
func (ZoneTakenOut) change()     {}
func (ZoneReturned) change()     {}
func (None) change()             {}

// Roster holds the backend servers and the zones taken out of service. It must be used by one goroutine at a time.
type Roster struct {
	servers map[string]*Server
	// missing holds the servers whose entries are missing, by ID.
	missing map[string]missingEntry
	// era is the era of the store. unlisted is set until its complete list of entries is read.
	era      int64
	unlisted bool
	// Until recoveryUntil, a removed entry may be that of a live server that has not written its entry again since an
	// outage of the store.
	recoveryUntil time.Time
	// leaving holds the incarnations that have announced that they are about to stop, and when each last had an entry.
	// They get no new requests, whatever their entry says.
	leaving map[incarnation]time.Time
	// former holds the incarnations that have left lately. The store may carry out their writes late.
	former map[incarnation]formerServer
	// zonesOut holds the zones taken out of service, and until when each stays out without an entry of the operators; zero if
	// it has one.
	zonesOut map[string]time.Time
	// zonesRead holds the zones of which this era of the store has shown an entry or its removal.
	zonesRead map[string]bool
	reports   reports
	byService map[string][]*Server
}

// missingEntry says when a server without an entry is dropped. It has been lost if the older copy lacks it from which the store
// came back; then the server is used meanwhile.
type missingEntry struct {
	until time.Time
	lost  bool
}

// formerServer is what is known of an incarnation that has left.
type formerServer struct {
	sequence int64
	// era is the era of the store in which it left. Entries read in a later era may be from a copy made before.
	era int64
	// copied is set if a later era has shown an entry of it again.
	copied bool
	// replaced is set if another incarnation has an entry under the same ID. The entry of one that has ended may be the late one, so
	// an incarnation that goes on to write returns.
	replaced bool
	// since is the time of the first Expire after it left, zero before.
	since time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		servers: map[string]*Server{}, missing: map[string]missingEntry{}, leaving: map[incarnation]time.Time{}, zonesOut: map[string]time.Time{},
		zonesRead: map[string]bool{}, reports: reports{servers: map[uint32]reportedServer{}, zones: map[string]time.Time{}},
		former: map[incarnation]formerServer{},
	}
}

// StoreRecovered records that the store answers again after an outage. The servers of entries that are removed shortly
// after it are kept for a while.
func (r *Roster) StoreRecovered(now time.Time) { r.recoveryUntil = now.Add(missingGrace) }

// Put applies a new or changed entry.
func (r *Roster) Put(s Server) Change {
	old := r.servers[s.ID]
	if r.isOutdated(old, &s) || r.precedes(&s, old) {
		return Outdated{Server: &s}
	}
	if old != nil && old.Era > s.Era {
		return None{}
	}
	if _, ok := r.missing[s.ID]; ok {
		delete(r.missing, s.ID)
		r.byService = nil
	}
	if old != nil && old.Era == s.Era && old.Revision >= s.Revision {
		return None{}
	}
	if old != nil && old.Era < s.Era && old.incarnation() == s.incarnation() && old.Sequence == s.Sequence {
		s.ColdUntil = old.ColdUntil // the same entry, whose time to become warm has passed in part
	}
	r.servers[s.ID] = &s
	r.byService = nil
	delete(r.former, s.incarnation())
	if old == nil {
		return Joined{Server: &s}
	}
	if old.incarnation() != s.incarnation() || old.Address != s.Address {
		if old.incarnation() != s.incarnation() {
			delete(r.leaving, old.incarnation())
			r.former[old.incarnation()] = formerServer{sequence: old.Sequence, era: r.era, replaced: true}
		}
		return Joined{Server: &s, Previous: old}
	}
	return Updated{Server: &s, Draining: s.Draining && !old.Draining}
}

// isOutdated reports whether an entry was written before what is known of its server.
func (r *Roster) isOutdated(known, s *Server) bool {
	if known != nil && known.incarnation() == s.incarnation() {
		return s.Sequence < known.Sequence
	}
	former, ok := r.former[s.incarnation()]
	outdated := ok && (s.Sequence < former.sequence || s.Sequence == former.sequence && (former.replaced || s.Era > former.era))
	if outdated && s.Era > former.era && !former.copied {
		former.copied = true
		r.former[s.incarnation()] = former
	}
	return outdated
}

// Remove applies the removal of an entry.
func (r *Roster) Remove(now time.Time, id string) Change { return r.remove(now, id, false) }

// remove applies the removal of an entry, which is lost if a copy of the store from an earlier era lacks it.
func (r *Roster) remove(now time.Time, id string, lost bool) Change {
	s := r.servers[id]
	if s == nil {
		return None{}
	}
	if now.Before(r.recoveryUntil) && !s.Draining {
		if _, ok := r.missing[id]; ok {
			return None{}
		}
		r.missing[id] = missingEntry{until: r.recoveryUntil, lost: lost}
		r.byService = nil
		return Missing{Server: s, Until: r.recoveryUntil}
	}
	return r.drop(s)
}

func (r *Roster) drop(s *Server) Change {
	delete(r.servers, s.ID)
	delete(r.missing, s.ID)
	r.byService = nil
	r.former[s.incarnation()] = formerServer{sequence: s.Sequence, era: r.era}
	return Left{s}
}

// Replace applies the complete list of entries, which is read at the start and when the history of changes is lost, and
// returns the changes.
func (r *Roster) Replace(now time.Time, list []Server) []Change {
	if r.unlisted {
		// Reading the list may have taken long, and what was written meanwhile follows.
		r.unlisted = false
		r.StoreRecovered(now)
	}
	var changes []Change
	present := make(map[string]bool, len(list))
	for _, s := range list {
		changes = append(changes, r.Put(s))
		present[s.ID] = !r.isLost(&s)
	}
	var missing []string
	for id := range r.servers {
		if !present[id] {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	for _, id := range missing {
		changes = append(changes, r.remove(now, id, r.servers[id].Era < r.era))
	}
	return changes
}

// RecordLeaving records that a server has announced in a response that it is about to stop. It binds this incarnation
// only, and also if the store shows it as ready or not at all.
func (r *Roster) RecordLeaving(now time.Time, s *Server) Change {
	if _, ok := r.leaving[s.incarnation()]; ok {
		return None{}
	}
	r.leaving[s.incarnation()] = now
	r.byService = nil
	return AnnouncedLeaving{s}
}

// IsLeaving reports whether a server has announced that it is about to stop.
func (r *Roster) IsLeaving(s *Server) bool {
	_, leaving := r.leaving[s.incarnation()]
	return leaving
}

// Servers returns all backend servers, sorted by ID.
func (r *Roster) Servers() []*Server {
	return slices.SortedFunc(maps.Values(r.servers), func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
}

// AtAddress returns the backend servers with an entry for an address, sorted by ID. There are several while the entry of one that
// has ended is still there.
func (r *Roster) AtAddress(address netip.AddrPort) []*Server {
	var list []*Server
	for _, s := range r.servers {
		if s.Address == address {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Expire drops the servers whose entries have been missing for too long, and what is known of servers that have had no entry for a
// long time.
func (r *Roster) Expire(now time.Time) []Change {
	var changes []Change
	r.expireReports(now)
	for leaving, lastEntry := range r.leaving {
		if s := r.servers[leaving.id]; s != nil && s.incarnation() == leaving {
			r.leaving[leaving] = now
		} else if now.Sub(lastEntry) > leavingMemory {
			delete(r.leaving, leaving)
		}
	}
	for id, f := range r.former {
		switch {
		case f.since.IsZero():
			f.since = now
			r.former[id] = f
		case now.Sub(f.since) > leavingMemory:
			delete(r.former, id)
		}
	}
	for id, m := range r.missing {
		if !now.Before(m.until) {
			changes = append(changes, r.drop(r.servers[id]))
		}
	}
	for zone, until := range r.zonesOut {
		if !until.IsZero() && !now.Before(until) {
			changes = append(changes, r.SetZoneOut(zone, false))
		}
	}
	return changes
}

// SetZoneOut records that operators took a zone out of service or put it back.
func (r *Roster) SetZoneOut(zone string, out bool) Change {
	_, known := r.zonesOut[zone]
	r.zonesRead[zone] = true
	if out {
		r.zonesOut[zone] = time.Time{}
	}
	if known == out {
		return None{}
	}
	r.byService = nil
	if out {
		return ZoneTakenOut{zone}
	}
	delete(r.zonesOut, zone)
	return ZoneReturned{zone}
}

// ReplaceZonesOut applies the complete list of zones taken out of service. Zones that were taken out in an earlier era of the
// store stay out.
func (r *Roster) ReplaceZonesOut(zones []string) []Change {
	var changes []Change
	for zone, until := range r.zonesOut {
		if until.IsZero() && !slices.Contains(zones, zone) {
			changes = append(changes, r.SetZoneOut(zone, false))
		}
	}
	for _, zone := range zones {
		changes = append(changes, r.SetZoneOut(zone, true))
	}
	return changes
}

// InService returns the backend servers of a service that may get new requests, sorted by ID. The slice must not be
// changed. Servers with missing entries are included only while they outnumber the others. If they do not, the outage
// probably affected only this gateway, and the missing entries are those of servers that left during the outage.
func (r *Roster) InService(service string) []*Server {
	if r.byService == nil {
		r.byService = map[string][]*Server{}
		missing := map[string][]*Server{}
		for _, s := range r.servers {
			if _, out := r.zonesOut[s.Zone]; out || s.Draining || r.IsLeaving(s) || r.isReportedOut(s) {
				continue
			}
			if m, ok := r.missing[s.ID]; ok && !m.lost {
				missing[s.Service] = append(missing[s.Service], s)
			} else {
				r.byService[s.Service] = append(r.byService[s.Service], s)
			}
		}
		for service, list := range missing {
			if len(list) > len(r.byService[service]) {
				r.byService[service] = append(r.byService[service], list...)
			}
		}
		for _, list := range r.byService {
			slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
		}
	}
	return r.byService[service]
}

// Present reports whether this incarnation of a server has an entry, and so may still be running requests. It may be
// draining, leaving or in a zone that was taken out of service.
func (r *Roster) Present(s *Server) bool {
	current := r.servers[s.ID]
	return current != nil && current.Address == s.Address && current.incarnation() == s.incarnation()
}

// StillInService reports whether a server may still get new requests. It is checked at each send, because the server
// may have left since it was chosen.
func (r *Roster) StillInService(s *Server) bool {
	return r.Present(s) && slices.Contains(r.InService(s.Service), r.servers[s.ID])
}

// Len returns the number of backend servers.
func (r *Roster) Len() int { return len(r.servers) }
