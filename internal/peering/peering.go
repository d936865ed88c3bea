// Package peering keeps the group of gateways: who is there, and what each last told of itself. Every gateway sends its
// whole state in one datagram, so a lost datagram is replaced by the next one and a gateway that ends leaves nothing to
// clean up. A Group is owned by one gateway, reads no clock and does no input or output.
package peering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"berylward.example/berylward/internal/dispatch"
)

const (
	// memberLife is how long a gateway that sends nothing counts as a member.
	memberLife = 3 * time.Second
	// reportGap is the longest pause between two datagrams to a member when nothing changes.
	reportGap = 500 * time.Millisecond
	// changeGap is the shortest pause between two datagrams to a member when something changes; memberGap is added to it
	// for each member, which bounds what a large group costs an instance. Members in other zones get farGapFactor times
	// that pause when the group is large, because bytes between zones are dear and requests mostly stay in their zone.
	changeGap    = 15 * time.Millisecond
	memberGap    = 2 * time.Millisecond
	farGapFactor = 5
	// smallGroup is the number of members up to which all are told at the same pace.
	smallGroup = 4
	// seedGap is the pause between two datagrams to a seed that is not a member.
	seedGap = time.Second
	// maxMembers bounds the group; memory and datagrams grow with it.
	maxMembers = 512
)

// State is what a gateway tells of itself.
type State struct {
	// Incarnation rises with each start of the gateway, Sequence with each datagram.
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
	self     netip.AddrPort
	seeds    []netip.AddrPort
	members  map[netip.AddrPort]*member
	zone     string
	seeded   time.Time
	sequence uint64
	rotation int
}

// NewGroup returns a group of this gateway alone. Seeds are told of it until they answer.
func NewGroup(self netip.AddrPort, zone string, seeds []netip.AddrPort) *Group {
	return &Group{self: self, zone: zone, seeds: seeds, members: map[netip.AddrPort]*member{}}
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
	if m != nil && cmp.Or(cmp.Compare(s.Incarnation, m.incarnation), cmp.Compare(s.Sequence, m.sequence)) <= 0 {
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
	m.received, m.incarnation, m.sequence, m.stopping, m.zone = now, s.Incarnation, s.Sequence, s.Stopping, s.Zone
	return Fresh{Joined: joined}
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
	for address, m := range g.members {
		if !m.received.IsZero() && now.Sub(m.received) > memberLife {
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

// Due returns to whom the state is to be sent now. changed says whether the state differs from the last call's.
func (g *Group) Due(now time.Time, changed bool) []netip.AddrPort {
	var to []netip.AddrPort
	strangers := now.Sub(g.seeded) >= seedGap
	if strangers {
		g.seeded = now
	}
	for address, m := range g.members {
		m.pending = m.pending || changed
		switch known := !m.received.IsZero(); {
		case known && now.Sub(m.sent) >= g.gap(m):
			m.sent, m.pending = now, false
			to = append(to, address)
		case !known && strangers:
			// It is told once of this gateway; if it lives, it answers.
			delete(g.members, address)
			to = append(to, address)
		}
	}
	if strangers {
		for _, seed := range g.seeds {
			if g.members[seed] == nil && seed != g.self {
				to = append(to, seed)
			}
		}
	}
	return to
}

// gap returns the pause between two datagrams to a member.
func (g *Group) gap(m *member) time.Duration {
	switch {
	case !m.pending:
		return reportGap
	case m.zone != g.zone && len(g.members) > smallGroup:
		return farGapFactor * g.Interval()
	}
	return g.Interval()
}

// Interval returns the shortest pause between two datagrams to the same member.
func (g *Group) Interval() time.Duration { return changeGap + time.Duration(len(g.members))*memberGap }

// Next returns the sequence number for the next datagram and some members to introduce in it.
func (g *Group) Next() (uint64, []netip.AddrPort) {
	g.sequence++
	if g.sequence%introduceEvery != 1 {
		return g.sequence, nil
	}
	var known []netip.AddrPort
	for address, m := range g.members {
		if !m.received.IsZero() {
			known = append(known, address)
		}
	}
	slices.SortFunc(known, netip.AddrPort.Compare)
	if len(known) > introductions {
		g.rotation = (g.rotation + introductions) % len(known)
		known = append(known[g.rotation:], known[:g.rotation]...)[:introductions]
	}
	return g.sequence, known
}

const (
	// introductions is how many members are named in one datagram; all are named in turn.
	introductions = 6
	// introduceEvery is which share of the datagrams names members.
	introduceEvery = 10
)
