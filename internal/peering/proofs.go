package peering

import (
	"net/netip"
	"time"
)

// Proof states that a routing table was the latest version at a point in time, and that the store had no changes after a
// revision then, by the clock of the gateway that receives the proof. A datagram may wait for seconds in a suspended process, so the time of arrival does not count.
// Instead, the time is relative to a stamp that the sender had received from the recipient before it queried the
// store.
type Proof struct {
	// Version is the version of the table; zero means that there is no proof.
	Version int64
	// Revision is the revision of the store, and Era the era of the store in which it counts.
	Revision, Era int64
	// Incarnation and Stamp are taken from the last state that the recipient had sent.
	Incarnation, Stamp uint64
	// Delay is the time between the arrival of the stamp and the query.
	Delay time.Duration
}

// ProvenAt returns the time at which the table is proven to have been the latest version, by the clock that made the
// stamp.
func (p Proof) ProvenAt() time.Time { return time.UnixMilli(int64(p.Stamp)).Add(p.Delay) }

// maxStampAge is the age of the oldest stamp that a proof may refer to.
const maxStampAge = 5 * time.Second

// receivedStamp is the last stamp of a gateway and the time of its arrival.
type receivedStamp struct {
	incarnation, stamp uint64
	receivedAt         time.Time
}

// ProofTracker tracks stamps and queries, and holds the proofs for the other gateways. Its times must come from a clock
// that keeps running while the instance is suspended. It must be used by one goroutine at a time.
type ProofTracker struct {
	stamps  map[netip.AddrPort]receivedStamp
	queried map[netip.AddrPort]Proof
	proven  map[netip.AddrPort]Proof
	// era is the era of the store.
	era int64
}

// NewProofTracker returns a tracker without stamps and proofs.
func NewProofTracker() *ProofTracker {
	return &ProofTracker{stamps: map[netip.AddrPort]receivedStamp{}}
}

// RecordStamp records the stamp in a gateway's state.
func (p *ProofTracker) RecordStamp(from netip.AddrPort, s State, at time.Time) {
	p.stamps[from] = receivedStamp{incarnation: s.Incarnation, stamp: s.Stamp, receivedAt: at}
}

// Forget drops a gateway that has left the group.
func (p *ProofTracker) Forget(gateway netip.AddrPort) { delete(p.stamps, gateway) }

// QueryStarted records that the store is queried. Its answer proves nothing for stamps that arrive later.
func (p *ProofTracker) QueryStarted(at time.Time) {
	p.queried = make(map[netip.AddrPort]Proof, len(p.stamps))
	for gateway, received := range p.stamps {
		if delay := at.Sub(received.receivedAt); delay >= 0 && delay <= maxStampAge {
			p.queried[gateway] = Proof{Incarnation: received.incarnation, Stamp: received.stamp, Delay: delay.Truncate(time.Millisecond)}
		}
	}
}

// QuerySucceeded records that the store answered the last query with a version of the table and a revision.
func (p *ProofTracker) QuerySucceeded(version, revision int64) {
	p.proven = p.queried
	for gateway, proof := range p.proven {
		proof.Version, proof.Revision, proof.Era = version, revision, p.era
		p.proven[gateway] = proof
	}
}

// EnterEra records that the store is in another era since. Earlier proofs mean nothing there.
func (p *ProofTracker) EnterEra(era int64) { p.era, p.proven = era, nil }

// ProofFor returns the proof for a gateway.
func (p *ProofTracker) ProofFor(to netip.AddrPort) Proof { return p.proven[to] }
