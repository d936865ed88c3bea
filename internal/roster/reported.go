package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A store that came back from an older copy does not tell a gateway that starts then what other gateways have seen: which servers
// drain or have left, and which zones are out. Gateways report that to each other. A report only takes servers out of use, counts
// for a short time, and is bounded, so that a faulty gateway cannot empty a service for long.
const (
	// reportedHold is how long a report counts. Gateways report at least twice in this time.
	reportedHold = 2 * time.Second
	// maxReportedServers and maxReportedZones bound a report to about 90 bytes, so that a datagram stays below 1,400.
	maxReportedServers = 6
	maxReportedZones   = 3
)

// ServerOut says that an incarnation of a server must get no requests by the entries up to a sequence number.
type ServerOut struct {
	// Key is a hash of the incarnation.
	Key      uint32
	Sequence int64
}

// OutReport is what a gateway reports of servers and zones out of service.
type OutReport struct {
	Servers []ServerOut
	Zones   []string
}

// reportedServer is a server that other gateways have reported.
type reportedServer struct {
	sequence int64
	until    time.Time
}

// reports holds what other gateways have reported.
type reports struct {
	servers map[uint32]reportedServer
	zones   map[string]time.Time
	// next is the position of the first server in the next own report, so that all are reported in turn.
	next int
}

func (i incarnation) key() uint32 {
	return uint32(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(i.id), uint64(i.startedAt))))
}

// Report returns what other gateways must know of servers and zones out of service. It is empty while the store was never restored.
func (r *Roster) Report() OutReport {
	if r.era == 0 {
		return OutReport{}
	}
	var report OutReport
	for zone := range r.zonesOut {
		report.Zones = append(report.Zones, zone)
	}
	slices.Sort(report.Zones)
	report.Zones = report.Zones[:min(len(report.Zones), maxReportedZones)]
	for _, s := range r.servers {
		if s.Draining {
			report.Servers = append(report.Servers, ServerOut{s.incarnation().key(), s.Sequence})
		}
	}
	for i, f := range r.former {
		if f.copied {
			report.Servers = append(report.Servers, ServerOut{i.key(), f.sequence})
		}
	}
	slices.SortFunc(report.Servers, func(a, b ServerOut) int { return cmp.Compare(a.Key, b.Key) })
	if n := len(report.Servers); n > maxReportedServers {
		first := r.reports.next % n
		r.reports.next += maxReportedServers
		report.Servers = append(report.Servers[first:], report.Servers[:first]...)[:maxReportedServers]
	}
	return report
}

// Reported applies the report of another gateway. It has no effect while the store was never restored.
func (r *Roster) Reported(now time.Time, report OutReport) {
	if r.era == 0 {
		return
	}
	until := now.Add(reportedHold)
	for _, s := range report.Servers[:min(len(report.Servers), maxReportedServers)] {
		known, ok := r.reports.servers[s.Key]
		if !ok || s.Sequence > known.sequence {
			r.byService = nil
		}
		r.reports.servers[s.Key] = reportedServer{max(s.Sequence, known.sequence), until}
	}
	for _, zone := range report.Zones[:min(len(report.Zones), maxReportedZones)] {
		if _, ok := r.reports.zones[zone]; !ok {
			r.byService = nil
		}
		r.reports.zones[zone] = until
	}
}

// isReportedOut reports whether other gateways have reported a server or its zone to be out of service. What this gateway has read
// of the zone in this era of the store takes precedence.
func (r *Roster) isReportedOut(s *Server) bool {
	if len(r.reports.servers) == 0 && len(r.reports.zones) == 0 {
		return false
	}
	if _, out := r.reports.zones[s.Zone]; out && !r.zonesRead[s.Zone] {
		return true
	}
	reported, ok := r.reports.servers[s.incarnation().key()]
	return ok && s.Sequence <= reported.sequence
}

// expireReports drops the reports that no longer count.
func (r *Roster) expireReports(now time.Time) {
	for key, s := range r.reports.servers {
		if !now.Before(s.until) {
			delete(r.reports.servers, key)
			r.byService = nil
		}
	}
	for zone, until := range r.reports.zones {
		if !now.Before(until) {
			delete(r.reports.zones, zone)
			r.byService = nil
		}
	}
}
