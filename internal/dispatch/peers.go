package dispatch

import "time"

// peerReportTTL is how long a report of another gateway counts.
const peerReportTTL = 2 * time.Second

// peerReport is the last report of one gateway.
type peerReport struct {
	receivedAt time.Time
	loads      []Load
}

// peerLoad is the load of all other gateways at one backend server, and until when each of them avoids it.
type peerLoad struct {
	sum        Load
	avoidUntil map[string]time.Time
}

// avoided reports whether one of the gateways avoids the backend server.
func (l *peerLoad) avoided(now time.Time) bool {
	for _, until := range l.avoidUntil {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// SetPeerLoads replaces the loads reported by another gateway.
func (p *Planner) SetPeerLoads(now time.Time, gateway string, loads []Load) {
	p.removePeer(gateway)
	p.peers[gateway] = peerReport{receivedAt: now, loads: loads}
	for _, l := range loads {
		peer := p.peerLoads[l.Key]
		if peer == nil {
			peer = &peerLoad{}
			p.peerLoads[l.Key] = peer
		}
		peer.sum.add(l, 1)
		if l.AvoidFor > 0 {
			if peer.avoidUntil == nil {
				peer.avoidUntil = map[string]time.Time{}
			}
			peer.avoidUntil[gateway] = now.Add(l.AvoidFor)
		}
	}
}

// removePeer subtracts the last report of a gateway from the sums and drops it.
func (p *Planner) removePeer(gateway string) {
	for _, l := range p.peers[gateway].loads {
		peer := p.peerLoads[l.Key]
		if peer == nil {
			continue // an empty load; its entry was removed with the last load that was not empty
		}
		peer.sum.add(l, -1)
		delete(peer.avoidUntil, gateway)
		if peer.sum == (Load{}) && len(peer.avoidUntil) == 0 {
			delete(p.peerLoads, l.Key)
		}
	}
	delete(p.peers, gateway)
	delete(p.queue.peers, gateway)
	p.pace.removePeer(gateway)
}

// expirePeers removes the gateways whose last report is too old.
func (p *Planner) expirePeers(now time.Time) {
	for gateway, r := range p.peers {
		if now.Sub(r.receivedAt) > peerReportTTL {
			p.removePeer(gateway)
		}
	}
}

// OldestReportAge returns the age of the oldest report of another gateway that still counts.
func (p *Planner) OldestReportAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, r := range p.peers {
		if age := now.Sub(r.receivedAt); age <= peerReportTTL {
			oldest = max(oldest, age)
		}
	}
	return oldest
}
