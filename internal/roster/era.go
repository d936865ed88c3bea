package roster

import (
	"slices"
	"time"
)

// zoneHold is how long a zone that was taken out in an earlier era of the store stays out without an entry. Operators and their
// tools write again what a restored store has lost within seconds, up to half a minute; the rest is margin. A longer time would
// keep a zone out that operators see in service in the store, without a key whose removal could end it.
const zoneHold = time.Minute

// EnterEra records that the store has come back from an older copy and is in another era since. Entries that have been lost are
// written again: servers without an entry are kept until they had time for that, and zones stay out of service until their
// entry has returned and been removed, or ReleaseZones is called, or zoneHold has passed.
func (r *Roster) EnterEra(now time.Time, era int64) {
	r.era = era
	clear(r.zonesRead)
	if len(r.servers) > 0 {
		r.unlisted = true
		r.StoreRecovered(now)
	}
	for zone := range r.zonesOut {
		r.zonesOut[zone] = now.Add(zoneHold)
	}
}

// ReleaseZones puts the zones back into service that are out only because of an earlier era of the store. The operators have
// published since.
func (r *Roster) ReleaseZones() []Change {
	var changes []Change
	for _, zone := range r.HeldZones() {
		changes = append(changes, r.SetZoneOut(zone, false))
	}
	return changes
}

// HeldZones returns the zones that are out of service only because of an earlier era of the store, sorted.
func (r *Roster) HeldZones() []string {
	var zones []string
	for zone, until := range r.zonesOut {
		if !until.IsZero() {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// precedes reports whether an entry is that of an incarnation before the known one, from the older copy of a restored store. A
// start time may be wrong, since clocks are set back, so this decides only until the incarnation writes again.
func (r *Roster) precedes(s, known *Server) bool {
	if known == nil || s.Era <= known.Era || !s.StartedAt.Before(known.StartedAt) {
		return false
	}
	if _, ok := r.former[s.incarnation()]; ok {
		return false
	}
	r.former[s.incarnation()] = formerServer{sequence: s.Sequence, era: r.era, copied: true, replaced: true}
	return true
}

// isLost reports whether a listed entry is that of another incarnation than the known one, whose own entry is therefore missing.
func (r *Roster) isLost(s *Server) bool {
	known := r.servers[s.ID]
	return known != nil && known.Era < s.Era && known.incarnation() != s.incarnation()
}
