package gateway

import (
	"net"
	"net/netip"
	"time"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/peering"
	"berylward.example/berylward/internal/suspect"
)

// maxDatagram bounds a received datagram in bytes.
const maxDatagram = 5 << 10

// receivePeers is the task that receives datagrams from other gateways.
func (g *Gateway) receivePeers() error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.peerConn.ReadFrom(buf)
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
			g.log.Error(err, "invalid peer datagram ignored", "from", from.String())
			continue
		}
		g.handleState(udp.AddrPort(), state, proof)
	}
}

func (g *Gateway) handleState(from netip.AddrPort, s peering.State, proof peering.Proof) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	now := g.clock.Now()
	g.mu.Lock()
	result := g.group.Receive(now, from, s)
	if _, ok := result.(peering.Fresh); ok {
		bootNow := g.boot.Now()
		g.proofs.RecordStamp(from, s, bootNow)
		g.recordReport(now, s)
		// Revisions of different eras of the store cannot be compared.
		if proof.Incarnation == g.incarnation && proof.Era == g.currentTable.Era() {
			g.watch.sawRevision(bootNow, proof.Revision, g.currentTable.Revision())
			if g.currentTable.ProveByPeer(proof.Version, proof.Revision, proof.ProvenAt(), bootNow) {
				g.metrics.count("peer-proofs")
			}
		}
		g.planner.SetPeerLoads(now, from.String(), s.Loads)
		g.planner.SetPeerPace(now, from.String(), s.Paces)
		g.planner.SetPeerQueue(now, from.String(), dispatch.QueueReport{Held: s.Held, Work: s.Work, Running: s.Running, Workspaces: s.Workspaces})
		g.retries.SetPeerUsage(now, from.String(), s.RetryUsage)
		g.updateGroupSize(now)
		g.mergePartReport(now, s.Parts)
		g.mergeRequestReport(now, s.Requests)
	}
	g.mu.Unlock()
	if fresh, ok := result.(peering.Fresh); ok && fresh.Joined {
		g.log.Info("gateway joined", "address", from.String(), "incarnation", s.Incarnation)
	}
}

// updateGroupSize passes the number of gateways to the parts that divide limits among the gateways.
func (g *Gateway) updateGroupSize(now time.Time) {
	n, complete := g.group.Size(), g.group.Complete(now)
	g.planner.SetGatewayCount(n)
	g.planner.SetJoining(!complete)
	g.planner.SetReportIntervals(g.group.Intervals())
	g.retries.SetGatewayCount(n, complete)
}

// sendState is the task that sends this gateway's state to the others.
func (g *Gateway) sendState() error {
	// The interval may only be read with the lock held, so the first round starts without a pause.
	var interval time.Duration
	for g.sleep(interval) {
		now := g.clock.Now()
		g.mu.Lock()
		expired := g.group.Expire(now)
		g.updateGroupSize(now)
		loads, changed := g.planner.Loads(now)
		recipients := g.group.Recipients(now, changed)
		interval, _ = g.group.Intervals()
		var data []byte
		proofs := make([]peering.Proof, 0, len(recipients))
		if len(recipients) > 0 {
			data = g.encodeState(now, loads)
		}
		for _, address := range recipients {
			proofs = append(proofs, g.proofs.ProofFor(address))
		}
		for _, address := range expired {
			g.proofs.Forget(address)
		}
		g.mu.Unlock()
		for _, address := range expired {
			g.log.Info("gateway lost", "address", address.String())
		}
		for i, address := range recipients {
			if data == nil {
				break
			}
			proof, err := peering.EncodeProof(proofs[i])
			if err == nil {
				_, err = g.peerConn.WriteTo(append(data[:len(data):len(data)], proof...), net.UDPAddrFromAddrPort(address))
			}
			// A failed datagram is not sent again, because the next one replaces it. The failure is counted.
			if err != nil {
				g.metrics.count("peer-errors")
			}
		}
	}
	return nil
}

func (g *Gateway) encodeState(now time.Time, loads []dispatch.Load) []byte {
	sequence, members := g.group.NextDatagram(now)
	s := peering.State{
		Incarnation: g.incarnation, Sequence: sequence, Zone: g.Zone, Stopping: g.shutdown.hasBegun(), Members: members, Loads: loads,
		RetryUsage: g.retries.LocalUsage(now), Stamp: uint64(g.boot.Now().UnixMilli()),
		Era: g.currentTable.Era(), Out: g.roster.Report(), Paces: g.planner.Pace(now),
	}
	if t := g.currentTable.Table(); t != nil {
		s.Version = t.Version
	}
	queue := g.planner.Queue(now)
	s.Held, s.Work, s.Running, s.Workspaces = queue.Held, queue.Work, queue.Running, queue.Workspaces
	requests, err := suspect.EncodeRequestReport(g.requests.Report(now))
	if err != nil {
		g.log.Error(err, "report about requests not sent")
	}
	s.Requests = requests
	parts, err := suspect.EncodePartReport(g.parts.Report(now))
	if err != nil {
		g.log.Error(err, "report about prompt parts not sent")
	}
	s.Parts = parts
	data, err := peering.Encode(s)
	if err != nil {
		g.log.Error(err, "peer state not sent")
		return nil
	}
	return data
}
