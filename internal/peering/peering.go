// Package peering keeps the group of gateways: who is there, and what each last told of itself. Every gateway sends its
// whole state in one datagram, so a lost datagram is replaced by the next one and a gateway that ends leaves nothing to
// clean up. A datagram ends with a proof for its recipient, which shows since when a routing table is the newest. A Group is
// owned by one gateway, reads no clock and does no input or output.
package peering

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylward.example/berylward/internal/dispatch"
)

const (
	// memberLife is how long a gateway that sends nothing counts as a member, lifeGaps the datagrams of a large group that
	// may be missed in that time.
	memberLife = 3 * time.Second
	lifeGaps   = 6
	// reportGap is the longest pause between two datagrams to a member when nothing changes.
	reportGap = 500 * time.Millisecond
	// changeGap is the shortest pause between two datagrams to a member when something changes; memberGap is added to it
	// for each member of the zone, or of the group when the zone has more than largeZone, which bounds what a large group
	// costs an instance. Members in other zones get farGapFactor times the pause for the group when it is large, because
	// bytes between zones are dear and requests mostly stay in their zone. No change waits longer than a report that tells
	// of none.
	changeGap    = 15 * time.Millisecond
	memberGap    = 2 * time.Millisecond
	farGapFactor = 5
	largeZone    = 16
	// smallGroup is the number of members up to which all are told at the same pace.
	smallGroup = 4
	// reorderLimit is how late a datagram of an earlier incarnation may come. After such a silence, a lower incarnation is that of a gateway
	// that was started with its clock set back.
	reorderLimit = 600 * time.Millisecond
	// seedGap is the pause between two datagrams to a seed, or to a gateway that others name, that is not a member.
	seedGap = time.Second
	// The members are probably complete when none has joined for completeQuiet, and at the latest completeMost after the
	// start.
	completeQuiet = time.Second
	completeMost  = 6 * time.Second
	// maxMembers bounds the group; memory and datagrams grow with it.
	maxMembers = 512
	// introductions is how many members are named in one datagram; all are named in turn. Datagrams name more of them until
	// settleTime after a gateway joined, otherwise one of introduceEvery datagrams names any.
	introductions     = 6
	introductionsMost = 12
	introduceEvery    = 10
	settleTime        = 1 * time.Second
)

// State is what a gateway tells of itself.
type State struct {
	// Incarnation rises with each start of the gateway unless its clock is set back, Sequence with each datagram.
	Incarnation, Sequence uint64
	// Zone is the zone of the gateway.
	Zone string
	// Stopping gateways take no part in shares.
	Stopping bool
	// Members are some of the other gateways that the sender knows.
	Members []netip.AddrPort
	Loads   []dispatch.Load
	// Usages are the requests and repeats by service in the window of the retry limits.
	Usages []dispatch.Usage
	// Marks are requests that ran when backend servers failed, in the encoding of package suspect.
	Marks []byte
	// Stamp is when the state was sent, in milliseconds of a clock of the sender that counts time of suspension.
	Stamp uint64
}

type member struct {
	received              time.Time
	incarnation, sequence uint64
	stopping              bool
	zone                  string
	// sent is when the state was sent to it last, and whether it changed since.
	sent    time.Time
	pending bool
}

// Group holds the members. It must be used by one goroutine at a time.
type Group struct {
	self    netip.AddrPort
	seeds   []netip.AddrPort
	members map[netip.AddrPort]*member
	zone    string
	seeded  time.Time
	// began is when the first datagram was due, joined when a gateway became a member last.
	began, joined time.Time
	sequence      uint64
	// rotation is the place among the members from which on they are introduced next.
	rotation uint64
}

// NewGroup returns a group of this gateway alone. Seeds are told of it until they answer.
func NewGroup(self netip.AddrPort, zone string, seeds []netip.AddrPort) *Group {
	// Gateways begin at different members, so that they do not name the same ones at a time.
	return &Group{
		self: self, zone: zone, seeds: seeds, members: map[netip.AddrPort]*member{},
		rotation: xxhash.Sum64String(self.String()) >> 1,
	}
}

// SetSeeds replaces the seeds.
func (g *Group) SetSeeds(seeds []netip.AddrPort) { g.seeds = seeds }

// News says what a datagram is worth. It is a sealed interface: Fresh and Stale are its only implementations.
//
//sumtype:decl
type News interface{ news() }

// Fresh means that the state is newer than what was known; Joined says that its gateway is new.
type Fresh struct{ Joined bool }

// Stale means that the state is older than what is known, or of this gateway itself.
type Stale struct{}

func (Fresh) news() {}
func (Stale) news() {}

// Receive takes the state that a gateway sent.
func (g *Group) Receive(now time.Time, from netip.AddrPort, s State) News {
	if from == g.self {
		return Stale{}
	}
	m := g.members[from]
	if m != nil && !m.older(now, s) {
		return Stale{}
	}
	for _, other := range s.Members {
		g.introduce(other)
	}
	joined := m == nil || m.received.IsZero()
	if m == nil {
		if len(g.members) >= maxMembers {
			return Stale{}
		}
		m = &member{}
		g.members[from] = m
	}
	if joined {
		g.joined = now
	}
	m.received, m.incarnation, m.sequence, m.stopping, m.zone = now, s.Incarnation, s.Sequence, s.Stopping, s.Zone
	return Fresh{Joined: joined}
}

// older says whether what is known of a member is older than a state.
func (m *member) older(now time.Time, s State) bool {
	if s.Incarnation < m.incarnation {
		return now.Sub(m.received) > reorderLimit
	}
	return s.Incarnation > m.incarnation || s.Sequence > m.sequence
}

// introduce remembers a gateway that another one knows. It is a member once it is heard itself.
func (g *Group) introduce(other netip.AddrPort) {
	if other == g.self || !other.IsValid() || g.members[other] != nil || slices.Contains(g.seeds, other) {
		return
	}
	if len(g.members) < maxMembers {
		g.members[other] = &member{}
	}
}

// Expire forgets the gateways that were silent for too long and returns them.
func (g *Group) Expire(now time.Time) []netip.AddrPort {
	var gone []netip.AddrPort
	life := max(memberLife, lifeGaps*g.groupGap())
	for address, m := range g.members {
		if !m.received.IsZero() && now.Sub(m.received) > life {
			delete(g.members, address)
			gone = append(gone, address)
		}
	}
	return gone
}

// Size returns the number of gateways that take requests, this one included.
func (g *Group) Size() int {
	n := 1
	for _, m := range g.members {
		if !m.received.IsZero() && !m.stopping {
			n++
		}
	}
	return n
}

// Complete says whether the gateways that take requests have probably all been heard.
func (g *Group) Complete(now time.Time) bool {
	if g.began.IsZero() {
		return false
	}
	return now.Sub(g.began) >= completeMost || now.Sub(g.began) >= completeQuiet && now.Sub(g.joined) >= completeQuiet
}

// Due returns to whom the state is to be sent now. changed says whether the state differs from the last call's.
func (g *Group) Due(now time.Time, changed bool) []netip.AddrPort {
	var to []netip.AddrPort
	if g.began.IsZero() {
		g.began = now
	}
	near, far, idle := g.gaps()
	for address, m := range g.members {
		m.pending = m.pending || changed
		switch known := !m.received.IsZero(); {
		case known && now.Sub(m.sent) >= g.gap(m, near, far, idle), !known && m.sent.IsZero():
			m.sent, m.pending = now, false
			to = append(to, address)
		case !known && now.Sub(m.sent) >= seedGap:
			// It was told of this gateway and has not answered. If it lives, others go on naming it.
			delete(g.members, address)
		}
	}
	if now.Sub(g.seeded) >= seedGap {
		g.seeded = now
		for _, seed := range g.seeds {
			if g.members[seed] == nil && seed != g.self {
				to = append(to, seed)
			}
		}
	}
	return to
}

// gap returns the pause between two datagrams to a member, given those of gaps.
func (g *Group) gap(m *member, near, far, idle time.Duration) time.Duration {
	switch {
	case !m.pending:
		return idle
	case m.zone != g.zone:
		return far
	}
	return near
}

// gaps returns the pauses between two datagrams to a member of the zone and to another one when something changes, and to
// any member when nothing does.
func (g *Group) gaps() (near, far, idle time.Duration) {
	near = g.Interval()
	idle = max(reportGap, g.groupGap())
	if len(g.members) <= smallGroup {
		return near, near, idle
	}
	return near, min(farGapFactor*g.groupGap(), idle), idle
}

// groupGap returns the pause by the size of the whole group.
func (g *Group) groupGap() time.Duration { return changeGap + time.Duration(len(g.members))*memberGap }

// Interval returns the shortest pause between two datagrams to the same member, which is that for members of its zone.
func (g *Group) Interval() time.Duration {
	near := 0
	for _, m := range g.members {
		if m.zone == g.zone {
			near++
		}
	}
	if near > largeZone || len(g.members) <= smallGroup {
		near = len(g.members)
	}
	return changeGap + time.Duration(near)*memberGap
}

// Next returns the sequence number for the next datagram and some members to introduce in it.
func (g *Group) Next(now time.Time) (uint64, []netip.AddrPort) {
	g.sequence++
	count := introductions
	switch {
	case now.Sub(g.joined) < settleTime:
		count = introductionsMost
	case g.sequence%introduceEvery != 1:
		return g.sequence, nil
	}
	var known []netip.AddrPort
	for address, m := range g.members {
		if !m.received.IsZero() {
			known = append(known, address)
		}
	}
	slices.SortFunc(known, netip.AddrPort.Compare)
	if len(known) > count {
		first := int(g.rotation % uint64(len(known)))
		g.rotation += uint64(count)
		known = append(known[first:], known[:first]...)[:count]
	}
	return g.sequence, known
}
