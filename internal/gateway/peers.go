package gateway

import (
	"net"
	"net/netip"
	"time"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/peering"
	"berylward.example/berylward/internal/suspect"
)

const (
	// maxDatagram bounds a received datagram in bytes.
	maxDatagram = 4 << 10
	// markLimit bounds the marks of crashes in one datagram. Every member gets a datagram more often than markRecent, in which
	// new ones are told.
	markLimit  = 12
	markRecent = 3 * time.Second
	// proofWithin is how lately a gateway must have read the store itself for the table to be proven by others. It covers a
	// watch without changes and the time in which others ask once more.
	proofWithin = 2500 * time.Millisecond
)

// receivePeers is the task that takes datagrams from other gateways.
func (g *Gateway) receivePeers() error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.peers.ReadFrom(buf)
		if err != nil {
			if !g.tomb.Alive() {
				return nil
			}
			return err
		}
		udp, ok := from.(*net.UDPAddr)
		if !ok {
			continue
		}
		state, proof, err := peering.Decode(buf[:n])
		if err != nil {
			g.metrics.count("peer-errors")
			g.log.Error(err, "datagram ignored", "from", from.String())
			continue
		}
		g.receive(udp.AddrPort(), state, proof)
	}
}

func (g *Gateway) receive(from netip.AddrPort, s peering.State, proof peering.Proof) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	now := g.clock.Now()
	g.mu.Lock()
	news := g.group.Receive(now, from, s)
	if _, ok := news.(peering.Fresh); ok {
		at := g.boot.Now()
		g.proofs.Heard(from, s, at)
		if proof.Incarnation == g.incarnation && g.book.ProveBy(proof.Version, proof.At(), at, proofWithin) {
			g.metrics.count("peer-proofs")
		}
		g.planner.SetPeer(now, from.String(), s.Loads)
		g.repeats.SetPeer(now, from.String(), s.Usages)
		g.resize(now)
		if len(s.Marks) > 0 {
			if marks, err := suspect.DecodeMarks(s.Marks); err == nil {
				g.suspects.Merge(now, marks)
			} else {
				g.metrics.count("peer-errors")
			}
		}
	}
	g.mu.Unlock()
	if fresh, ok := news.(peering.Fresh); ok && fresh.Joined {
		g.log.Info("gateway joined", "address", from.String(), "incarnation", s.Incarnation)
	}
}

// resize puts the number of gateways into force, among which limits are shared.
func (g *Gateway) resize(now time.Time) {
	n := g.group.Size()
	g.planner.SetGateways(n)
	g.repeats.SetGateways(n, g.group.Complete(now))
}

// sendState is the task that sends this gateway's state to the others.
func (g *Gateway) sendState() error {
	// The members may only be looked at with the lock held, so the first round comes at once.
	var interval time.Duration
	for g.sleep(interval) {
		now := g.clock.Now()
		g.mu.Lock()
		gone := g.group.Expire(now)
		g.resize(now)
		loads, changed := g.planner.Loads(now)
		to := g.group.Due(now, changed)
		interval = g.group.Interval()
		var data []byte
		proofs := make([]peering.Proof, 0, len(to))
		if len(to) > 0 {
			data = g.encodeState(now, loads)
		}
		for _, address := range to {
			proofs = append(proofs, g.proofs.For(address))
		}
		for _, address := range gone {
			g.proofs.Forget(address)
		}
		g.mu.Unlock()
		for _, address := range gone {
			g.log.Info("gateway lost", "address", address.String())
		}
		for i, address := range to {
			if data == nil {
				break
			}
			proof, err := peering.EncodeProof(proofs[i])
			if err == nil {
				_, err = g.peers.WriteTo(append(data[:len(data):len(data)], proof...), net.UDPAddrFromAddrPort(address))
			}
			// A datagram that cannot be sent is replaced by the next one; the count shows it.
			if err != nil {
				g.metrics.count("peer-errors")
			}
		}
	}
	return nil
}

func (g *Gateway) encodeState(now time.Time, loads []dispatch.Load) []byte {
	sequence, members := g.group.Next(now)
	s := peering.State{
		Incarnation: g.incarnation, Sequence: sequence, Zone: g.Zone, Stopping: g.stopping.Load() != 0, Members: members, Loads: loads,
		Usages: g.repeats.Usages(now), Stamp: uint64(g.boot.Now().UnixMilli()),
	}
	if marks := g.suspects.Sample(now, markRecent, markLimit); len(marks) > 0 {
		encoded, err := suspect.EncodeMarks(marks)
		if err != nil {
			g.log.Error(err, "crash marks not sent")
		}
		s.Marks = encoded
	}
	data, err := peering.Encode(s)
	if err != nil {
		g.log.Error(err, "state not sent")
		return nil
	}
	return data
}
