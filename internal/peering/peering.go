// Package peering maintains the group of gateways: its members and the last state that each of them reported. Every
// gateway sends its complete state in one datagram, so a lost datagram is made up for by the next one, and a gateway
// that ends leaves nothing to clean up. A datagram ends with a proof for its recipient, which states at what time a
// routing table was the latest version. A Group and a ProofTracker are owned by one gateway, read no clock and do no
// input or output.
package peering

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
)

const (
	// memberTimeout is how long a gateway that sends nothing counts as a member. In a large group it is at least
	// memberTimeoutIntervals times the interval between datagrams, so that this many may be lost.
	memberTimeout          = 3 * time.Second
	memberTimeoutIntervals = 6
	// idleInterval is the longest interval between two datagrams to a member when nothing changes.
	idleInterval = 500 * time.Millisecond
	// baseInterval is the shortest interval between two datagrams to a member when something changes. perMember is
	// added to it for each member in the gateway's zone, or for each member of a group of at most smallGroupSize. In a
	// group of more than smallGroupSize, the interval for members in other zones is crossZoneFactor times the interval
	// for the whole group, because traffic between zones is expensive and requests mostly stay in their zone. A change
	// never waits longer than the interval that applies without changes.
	baseInterval    = 15 * time.Millisecond
	perMember       = 2 * time.Millisecond
	crossZoneFactor = 5
	// maxCrossZoneInterval limits the interval for members in other zones in groups whose pacing allows it, so that one
	// datagram may be lost before a report expires.
	maxCrossZoneInterval = 800 * time.Millisecond
	// maxDatagramRate is the largest number of datagrams per second that a gateway sends. What datagrams to other zones
	// leave of it is the largest rate within the zone, so the interval there grows smoothly with zone and group.
	maxDatagramRate = 490
	// smallGroupSize is the number of members up to which the interval is the same for all of them.
	smallGroupSize = 4
	// maxReorderDelay is how late a datagram of an earlier incarnation may arrive. After a longer silence, a lower
	// incarnation belongs to a gateway that was restarted with its clock set back.
	maxReorderDelay = 600 * time.Millisecond
	// seedInterval is the interval between two datagrams to a gateway that is not a member: a seed, or one that
	// another gateway lists.
	seedInterval = time.Second
	// The members are probably complete when none has joined for completeQuietTime, and at the latest completeTimeout
	// after the start.
	completeQuietTime = time.Second
	completeTimeout   = 6 * time.Second
	// maxMembers limits the size of the group, since memory and the number of datagrams grow with it.
	maxMembers = 512
	// A datagram lists membersPerDatagram of the sender's members; all are listed in turn. Until settleTime after a
	// gateway joined, every datagram lists membersWhileSettling. After that, only one of datagramsPerMemberList
	// datagrams lists any.
	membersPerDatagram     = 6
	membersWhileSettling   = 12
	datagramsPerMemberList = 10
	settleTime             = 1 * time.Second
)

// State is what a gateway reports about itself.
type State struct {
	// Incarnation rises with each start of the gateway unless its clock is set back; Sequence rises with each
	// datagram.
	Incarnation, Sequence uint64
	// Zone is the zone of the gateway.
	Zone string
	// Stopping gateways are not counted when limits are divided among gateways.
	Stopping bool
	// Members lists some of the other gateways that the sender knows.
	Members []netip.AddrPort
	Loads   []dispatch.Load
	// Held are the long prompts that the gateway holds until their turn, Work the prefill of those that it has admitted
	// and sent, by service.
	Held []dispatch.HeldPrompt
	Work []dispatch.LongWork
	// Running are the short prompts that the gateway has sent, for services whose requests are ranked.
	Running []dispatch.RunningShort
	// Workspaces are those that have got the most engine time, for services whose requests are ranked.
	Workspaces []dispatch.WorkspaceTime
	// Paces is what the gateway has learned of the pace of backend servers.
	Paces []dispatch.PaceReport
	// RetryUsage are the requests and retries by service in the window of the retry limits.
	RetryUsage []dispatch.RetryUsage
	// Requests is what the gateway knows of requests that were running when backend servers ended, in the encoding of package
	// suspect.
	Requests []byte
	// Parts is what the gateway knows of parts of prompts that end backend servers, in the encoding of package suspect.
	Parts []byte
	// Stamp is when the state was sent, in milliseconds of a clock of the sender that keeps running during
	// suspension.
	Stamp uint64
	// Version is the version of the routing table in force, and Era the era of the store from which the gateway has read
	// last; zero when there is none.
	Version, Era int64
	// Out is what the gateway knows of servers and zones out of service.
	Out roster.OutReport
}

type member struct {
	receivedAt            time.Time
	incarnation, sequence uint64
	stopping              bool
	zone                  string
	// sentAt is when the state was last sent to the member.
	sentAt time.Time
	// pending is set while a change of the state since then has not been sent.
	pending bool
}

// accepts reports whether the member is known and accepts requests.
func (m *member) accepts() bool { return !m.receivedAt.IsZero() && !m.stopping }

// Group holds the members and decides when to send to them. It must be used by one goroutine at a time.
type Group struct {
	self    netip.AddrPort
	seeds   []netip.AddrPort
	members map[netip.AddrPort]*member
	zone    string
	// accepting counts the members that accept requests, inZone those of the group's zone. Counting them for each datagram
	// took over a quarter of the processor time of gateways that start in a group of 300.
	accepting, inZone int
	seedsSentAt       time.Time
	// startedAt is when Recipients was first called, lastJoinAt when a gateway last became a member.
	startedAt, lastJoinAt time.Time
	sequence              uint64
	// nextMember is the position of the first member to list in the next datagram.
	nextMember uint64
}

// NewGroup returns a group without other members. The state is sent to seeds until they answer.
func NewGroup(self netip.AddrPort, zone string, seeds []netip.AddrPort) *Group {
	// Gateways start at different members, so that they do not list the same ones at the same time.
	return &Group{
		self: self, zone: zone, seeds: seeds, members: map[netip.AddrPort]*member{},
		nextMember: xxhash.Sum64String(self.String()) >> 1,
	}
}

// SetSeeds replaces the seeds.
func (g *Group) SetSeeds(seeds []netip.AddrPort) { g.seeds = seeds }

// ReceiveResult is the result of receiving a state. It is a sealed interface: Fresh and Stale are its only
// implementations.
//
//sumtype:decl
type ReceiveResult interface{ receiveResult() }

// Fresh means that the state is newer than the one known. Joined is set if its gateway is a new member.
type Fresh struct{ Joined bool }

// Stale means that the state is not newer than the one known, or was sent by this gateway itself, or that the group
// is full.
type Stale struct{}

func (Fresh) receiveResult() {}
func (Stale) receiveResult() {}

// Receive applies a state received from a gateway.
func (g *Group) Receive(now time.Time, from netip.AddrPort, s State) ReceiveResult {
	if from == g.self {
		return Stale{}
	}
	m := g.members[from]
	if m != nil && !m.olderThan(now, s) {
		return Stale{}
	}
	for _, other := range s.Members {
		g.addListed(other)
	}
	joined := m == nil || m.receivedAt.IsZero()
	if m == nil {
		if len(g.members) >= maxMembers {
			return Stale{}
		}
		m = g.add(from)
	}
	if joined {
		g.lastJoinAt = now
	}
	g.count(m, -1)
	m.receivedAt, m.incarnation, m.sequence, m.stopping, m.zone = now, s.Incarnation, s.Sequence, s.Stopping, s.Zone
	g.count(m, 1)
	return Fresh{Joined: joined}
}

// olderThan reports whether the known state of a member is older than s.
func (m *member) olderThan(now time.Time, s State) bool {
	if s.Incarnation < m.incarnation {
		return now.Sub(m.receivedAt) > maxReorderDelay
	}
	return s.Incarnation > m.incarnation || s.Sequence > m.sequence
}

// addListed adds a gateway that another one lists. It becomes a member once it sends a datagram itself.
func (g *Group) addListed(other netip.AddrPort) {
	if other == g.self || !other.IsValid() || g.members[other] != nil || slices.Contains(g.seeds, other) {
		return
	}
	if len(g.members) < maxMembers {
		g.add(other)
	}
}

// add adds a member that is not known yet.
func (g *Group) add(address netip.AddrPort) *member {
	m := &member{}
	g.members[address] = m
	g.count(m, 1)
	return m
}

func (g *Group) remove(address netip.AddrPort) {
	g.count(g.members[address], -1)
	delete(g.members, address)
}

// count adds a member to the counts of members, or takes it off with a sign of -1.
func (g *Group) count(m *member, sign int) {
	if m.accepts() {
		g.accepting += sign
	}
	if m.zone == g.zone {
		g.inZone += sign
	}
}

// Expire removes the members that have been silent for too long and returns their addresses.
func (g *Group) Expire(now time.Time) []netip.AddrPort {
	var gone []netip.AddrPort
	timeout := max(memberTimeout, memberTimeoutIntervals*g.pacing())
	for address, m := range g.members {
		if !m.receivedAt.IsZero() && now.Sub(m.receivedAt) > timeout {
			g.remove(address)
			gone = append(gone, address)
		}
	}
	return gone
}

// Size returns the number of gateways that accept requests, this one included.
func (g *Group) Size() int { return g.accepting + 1 }

// ZoneRank returns the position of this gateway among those of its zone that accept requests, in the order of their
// addresses, from zero. Gateways that know each other have different ranks.
func (g *Group) ZoneRank() int {
	rank := 0
	for address, m := range g.members {
		if m.accepts() && m.zone == g.zone && address.Compare(g.self) < 0 {
			rank++
		}
	}
	return rank
}

// Rank returns the position of this gateway among all that accept requests, in the order of their addresses, from zero.
func (g *Group) Rank() int {
	rank := 0
	for address, m := range g.members {
		if m.accepts() && address.Compare(g.self) < 0 {
			rank++
		}
	}
	return rank
}

// ReportAges returns by zone the time since the last report of the member that has been silent for longest.
func (g *Group) ReportAges(now time.Time) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for _, m := range g.members {
		if !m.receivedAt.IsZero() {
			ages[m.zone] = max(ages[m.zone], now.Sub(m.receivedAt))
		}
	}
	return ages
}

// Complete reports whether the gateways that accept requests are probably all known.
func (g *Group) Complete(now time.Time) bool {
	if g.startedAt.IsZero() {
		return false
	}
	return now.Sub(g.startedAt) >= completeTimeout || now.Sub(g.startedAt) >= completeQuietTime && now.Sub(g.lastJoinAt) >= completeQuietTime
}

// Recipients returns the gateways that the state must be sent to now. The argument changed is true if the state has
// changed since the last call.
func (g *Group) Recipients(now time.Time, changed bool) []netip.AddrPort {
	var to []netip.AddrPort
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
	sameZone, otherZones, idle := g.intervals()
	for address, m := range g.members {
		m.pending = m.pending || changed
		switch known := !m.receivedAt.IsZero(); {
		case known && now.Sub(m.sentAt) >= g.intervalTo(m, sameZone, otherZones, idle), !known && m.sentAt.IsZero():
			m.sentAt, m.pending = now, false
			to = append(to, address)
		case !known && now.Sub(m.sentAt) >= seedInterval:
			// The state was sent to it and it has not answered. If it is alive, other gateways will list it again.
			g.remove(address)
		}
	}
	if now.Sub(g.seedsSentAt) >= seedInterval {
		g.seedsSentAt = now
		for _, seed := range g.seeds {
			if g.members[seed] == nil && seed != g.self {
				to = append(to, seed)
			}
		}
	}
	return to
}

// intervalTo returns the interval between two datagrams to a member, given the results of intervals.
func (g *Group) intervalTo(m *member, sameZone, otherZones, idle time.Duration) time.Duration {
	switch {
	case m.zone != g.zone && m.pending:
		return otherZones
	case m.zone != g.zone:
		return max(otherZones, idle)
	case m.pending:
		return sameZone
	}
	return idle
}

// intervals returns the interval between two datagrams to a member in the same zone and to one in another zone when
// something changes, and to any member when nothing does.
func (g *Group) intervals() (sameZone, otherZones, idle time.Duration) {
	pacing := g.pacing()
	idle = max(idleInterval, pacing)
	if len(g.members) <= smallGroupSize {
		return pacing, pacing, idle
	}
	otherZones = max(min(crossZoneFactor*pacing, maxCrossZoneInterval), pacing)
	rateLeft := maxDatagramRate - float64(len(g.members)-g.inZone)/otherZones.Seconds()
	sameZone = baseInterval + time.Duration(g.inZone)*perMember
	if byRate := time.Duration(float64(g.inZone) / rateLeft * float64(time.Second)); rateLeft > 0 && byRate < pacing {
		return max(sameZone, byRate), otherZones, idle
	}
	return pacing, otherZones, idle
}

// pacing returns the interval between two datagrams to a member, computed from the size of the whole group.
func (g *Group) pacing() time.Duration { return baseInterval + time.Duration(len(g.members))*perMember }

// Intervals returns the interval between two datagrams to a member in the same zone and to one in another zone when
// something changes. The first is the shortest interval between two datagrams to the same member.
func (g *Group) Intervals() (sameZone, otherZones time.Duration) {
	sameZone, otherZones, _ = g.intervals()
	return sameZone, otherZones
}

// NextDatagram returns the sequence number of the next datagram and the members to list in it.
func (g *Group) NextDatagram(now time.Time) (uint64, []netip.AddrPort) {
	g.sequence++
	limit := membersPerDatagram
	switch {
	case now.Sub(g.lastJoinAt) < settleTime:
		limit = membersWhileSettling
	case g.sequence%datagramsPerMemberList != 1:
		return g.sequence, nil
	}
	var known []netip.AddrPort
	for address, m := range g.members {
		if !m.receivedAt.IsZero() {
			known = append(known, address)
		}
	}
	slices.SortFunc(known, netip.AddrPort.Compare)
	if len(known) > limit {
		first := int(g.nextMember % uint64(len(known)))
		g.nextMember += uint64(limit)
		known = append(known[first:], known[:first]...)[:limit]
	}
	return g.sequence, known
}
