// Package roster holds which backend servers exist and may get new work, as the platform's store tells: entries that
// appear, change, drain and go, and zones that operators take out. A Roster is owned by one gateway, reads no clock and
// does no input or output. Other goroutines read the Server values that it returns, which are never changed.
package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// lapseGrace is how long an entry that went missing while the store was away keeps its backend server in use after the
// store's return. Entries of live servers are back within about two seconds; the rest of that time covers the way here.
const lapseGrace = 1700 * time.Millisecond

// Server is one life of a backend server. It is immutable.
type Server struct {
	// ID is proof of identity together with Born; the address is used again by others.
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Slots is how many requests the server works on at once.
	Slots    int
	Draining bool
	// ColdUntil is when the server is warm; zero when it is.
	ColdUntil time.Time
	// Born is when this life started, on the server's clock. It separates lives under one ID.
	Born time.Time
	// Revision is the store's revision of the entry.
	Revision int64
}

// Change says what an update did. It is a sealed interface: Joined, Updated, Left, Lapsed, ZoneOut, ZoneIn and None are
// its only implementations.
//
//sumtype:decl
type Change interface{ change() }

// Joined means that a backend server is new, or started again.
type Joined struct{ Server *Server }

// Updated means that what is known of a backend server changed; Draining says that it began to leave.
type Updated struct {
	Server   *Server
	Draining bool
}

// Left means that a backend server is gone.
type Left struct{ Server *Server }

// Lapsed means that the entry of a backend server is missing since the store was away, and is waited for until Until.
type Lapsed struct {
	Server *Server
	Until  time.Time
}

// ZoneOut means that operators took a zone out.
type ZoneOut struct{ Zone string }

// ZoneIn means that a zone is back in service.
type ZoneIn struct{ Zone string }

// None means that nothing changed.
type None struct{}

func (Joined) change()  {}
func (Updated) change() {}
func (Left) change()    {}
func (Lapsed) change()  {}
func (ZoneOut) change() {}
func (ZoneIn) change()  {}
func (None) change()    {}

// Roster holds the backend servers and the zones taken out. It must be used by one goroutine at a time.
type Roster struct {
	servers map[string]*Server
	// lapsing holds when a server whose entry went missing is given up.
	lapsing map[string]time.Time
	// suspectUntil is until when a removal may be the lapse of a live server's entry.
	suspectUntil time.Time
	out          map[string]bool
	byService    map[string][]*Server
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{servers: map[string]*Server{}, lapsing: map[string]time.Time{}, out: map[string]bool{}}
}

// StoreBack records that the store answers again after it was away. Entries that go missing shortly after are lapses.
func (r *Roster) StoreBack(now time.Time) { r.suspectUntil = now.Add(lapseGrace) }

// Put takes an entry.
func (r *Roster) Put(s Server) Change {
	old := r.servers[s.ID]
	if _, ok := r.lapsing[s.ID]; ok {
		delete(r.lapsing, s.ID)
		r.byService = nil
	}
	if old != nil && old.Revision >= s.Revision {
		return None{}
	}
	r.servers[s.ID] = &s
	r.byService = nil
	if old == nil || !old.Born.Equal(s.Born) || old.Address != s.Address {
		return Joined{&s}
	}
	return Updated{Server: &s, Draining: s.Draining && !old.Draining}
}

// Remove takes the removal of an entry.
func (r *Roster) Remove(now time.Time, id string) Change {
	s := r.servers[id]
	if s == nil {
		return None{}
	}
	if now.Before(r.suspectUntil) && !s.Draining {
		if _, ok := r.lapsing[id]; ok {
			return None{}
		}
		r.lapsing[id] = r.suspectUntil
		r.byService = nil
		return Lapsed{Server: s, Until: r.suspectUntil}
	}
	return r.drop(s)
}

func (r *Roster) drop(s *Server) Change {
	delete(r.servers, s.ID)
	delete(r.lapsing, s.ID)
	r.byService = nil
	return Left{s}
}

// Replace takes the whole list of entries, after history was lost, and returns what changed.
func (r *Roster) Replace(now time.Time, list []Server) []Change {
	var changes []Change
	present := make(map[string]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		changes = append(changes, r.Put(s))
	}
	var missing []string
	for id := range r.servers {
		if !present[id] {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	for _, id := range missing {
		changes = append(changes, r.Remove(now, id))
	}
	return changes
}

// Expire drops the servers whose lapse has ended.
func (r *Roster) Expire(now time.Time) []Change {
	var changes []Change
	for id, until := range r.lapsing {
		if !now.Before(until) {
			changes = append(changes, r.drop(r.servers[id]))
		}
	}
	return changes
}

// SetZoneOut records that operators took a zone out or brought it back.
func (r *Roster) SetZoneOut(zone string, out bool) Change {
	if r.out[zone] == out {
		return None{}
	}
	r.byService = nil
	if out {
		r.out[zone] = true
		return ZoneOut{zone}
	}
	delete(r.out, zone)
	return ZoneIn{zone}
}

// ReplaceZonesOut takes the whole list of zones taken out.
func (r *Roster) ReplaceZonesOut(zones []string) []Change {
	var changes []Change
	for zone := range r.out {
		if !slices.Contains(zones, zone) {
			changes = append(changes, r.SetZoneOut(zone, false))
		}
	}
	for _, zone := range zones {
		changes = append(changes, r.SetZoneOut(zone, true))
	}
	return changes
}

// InService returns the backend servers of a service that may get new work, sorted by ID. The slice must not be changed.
// Those whose entries lapsed are among them only while they are more than the others: a gateway that alone was cut off
// from the store misses entries of backend servers that left meanwhile, and can do without those.
func (r *Roster) InService(service string) []*Server {
	if r.byService == nil {
		r.byService = map[string][]*Server{}
		lapsing := map[string][]*Server{}
		for _, s := range r.servers {
			if s.Draining || r.out[s.Zone] {
				continue
			}
			if _, ok := r.lapsing[s.ID]; ok {
				lapsing[s.Service] = append(lapsing[s.Service], s)
			} else {
				r.byService[s.Service] = append(r.byService[s.Service], s)
			}
		}
		for service, list := range lapsing {
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

// Current says whether a server may still get new work. It is asked at each send, because the server may have left
// between the choice and the send.
func (r *Roster) Current(s *Server) bool {
	now := r.servers[s.ID]
	return now != nil && now.Address == s.Address && now.Born.Equal(s.Born) && slices.Contains(r.InService(now.Service), now)
}

// Len returns the number of backend servers.
func (r *Roster) Len() int { return len(r.servers) }
