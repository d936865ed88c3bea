package dispatch

import (
	"cmp"
	"slices"
	"time"

	"berylward.example/berylward/internal/worker"
)

const (
	// MaxPaceReports limits the backend servers whose pace a gateway reports.
	MaxPaceReports = 12
	// maxWindowReports limits those of them that are reported for their window. If there are more, they take turns; growth is
	// reported as a sum, so nothing is lost.
	maxWindowReports = 8
	// minReportedSuspicion and minReportedWeight are the evidence with which the speed of a server is reported. It is lower than
	// what makes a server slow, because the evidence of several gateways adds up.
	minReportedSuspicion = 1.5
	minReportedWeight    = 0.3
	// suspectedPeriod is how long the speed of a server is still reported, so that gateways which found it fast are heard as well as
	// those that found it slow. Otherwise chance alone makes servers slow when there are many gateways.
	suspectedPeriod = 2 * time.Second
)

// PaceReport is what one gateway has learned of the pace of a backend server.
type PaceReport struct {
	Key Key
	// Speed is the gateway's own evidence.
	Speed worker.SpeedEvidence
	// Window is set if HasWindow is.
	Window    worker.WindowReport
	HasWindow bool
}

// PaceChangeKind says what has changed of the pace of a backend server.
type PaceChangeKind string

// The changes of the pace of a backend server.
const (
	// PaceSlow means that a server has turned out to be slower than published, PaceRecovered that it is not any more.
	PaceSlow      PaceChangeKind = "slow"
	PaceRecovered PaceChangeKind = "recovered"
	// PaceWindowReset means that answers have stopped, PaceWindowOpen that the requests in flight are not limited any more.
	PaceWindowReset PaceChangeKind = "window-reset"
	PaceWindowOpen  PaceChangeKind = "window-open"
)

// PaceChange is a change of the pace of a backend server, for logs and metrics.
type PaceChange struct {
	Kind     PaceChangeKind
	Server   string
	Slowness float64
}

// ServerPace is the pace of a backend server that is slow or has a closed window.
type ServerPace struct {
	Server   string
	Slowness float64
	// Evidence is the weight of the evidence, in answers.
	Evidence float64
	// Window is the number of requests in flight of all gateways that the server gets; zero if it is not limited.
	Window int
}

// noticePace adds a PaceChange if a server has become slow or as fast as published, or if its window has opened.
func (p *Planner) noticePace(now time.Time, st *serverState) {
	sp, slowness := st.pace, p.slowness(now, st)
	if slow := slowness > 1; slow != sp.slow {
		sp.slow = slow
		kind := PaceRecovered
		if slow {
			kind = PaceSlow
		}
		p.pace.changes = append(p.pace.changes, PaceChange{Kind: kind, Server: sp.id, Slowness: slowness})
	}
	if open := sp.window.Open(); open != sp.open {
		sp.open = open
		if open {
			st.errorRate = 0
			p.pace.changes = append(p.pace.changes, PaceChange{Kind: PaceWindowOpen, Server: sp.id, Slowness: slowness})
		}
	}
}

// TakePaceChanges returns the changes of the pace of backend servers since the last call.
func (p *Planner) TakePaceChanges(now time.Time) []PaceChange {
	if p.pace == nil {
		return nil
	}
	for _, st := range p.states {
		if st.pace != nil {
			p.noticePace(now, st)
		}
	}
	changes := p.pace.changes
	p.pace.changes = nil
	return changes
}

// Pace returns this gateway's report to other gateways.
func (p *Planner) Pace(now time.Time) []PaceReport {
	if p.pace == nil {
		return nil
	}
	type suspect struct {
		report    PaceReport
		suspicion float64
	}
	var windows []PaceReport
	var suspects []suspect
	for _, st := range p.states {
		if st.pace == nil {
			continue
		}
		r := PaceReport{Key: st.key, Speed: st.pace.speed.Evidence(now)}
		r.Window, r.HasWindow = st.pace.window.Report(now)
		suspicion := p.speedEvidence(now, st).Suspicion()
		if suspicion >= minReportedSuspicion {
			st.pace.suspectedAt = now
		}
		switch {
		case r.HasWindow:
			windows = append(windows, r)
		case now.Sub(st.pace.suspectedAt) < suspectedPeriod && r.Speed.Weight >= minReportedWeight:
			suspects = append(suspects, suspect{r, suspicion})
		}
	}
	if len(windows) > maxWindowReports {
		slices.SortFunc(windows, func(a, b PaceReport) int { return cmp.Compare(a.Key, b.Key) })
		first := p.pace.nextWindow % len(windows)
		p.pace.nextWindow += maxWindowReports
		windows = slices.Concat(windows[first:], windows[:first])[:maxWindowReports]
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(b.suspicion, a.suspicion) })
	reports := windows
	for _, s := range suspects[:min(len(suspects), MaxPaceReports-len(windows))] {
		reports = append(reports, s.report)
	}
	return reports
}

// SetPeerPace replaces the report of another gateway. Its evidence of speed counts as long as the loads that the gateway has
// reported; the growth of windows that it has reported stays.
func (p *Planner) SetPeerPace(now time.Time, gateway string, reports []PaceReport) {
	if p.pace == nil {
		return
	}
	p.pace.removePeer(gateway)
	p.pace.peers[gateway] = reports
	for _, r := range reports {
		p.pace.addPeerSpeed(r, 1)
		if st := p.states[r.Key]; st != nil && st.pace != nil && r.HasWindow && st.pace.window.Merge(now, gateway, r.Window) {
			st.errorRate = 0
		}
	}
}

// removePeer drops the evidence of speed of another gateway.
func (k *pacing) removePeer(gateway string) {
	if k == nil {
		return
	}
	for _, r := range k.peers[gateway] {
		k.addPeerSpeed(r, -1)
	}
	delete(k.peers, gateway)
}

func (k *pacing) addPeerSpeed(r PaceReport, sign float64) {
	e := k.peerSpeed[r.Key]
	e.Add(r.Speed, sign)
	if e.Weight < minReportedWeight/2 {
		delete(k.peerSpeed, r.Key) // what is left is an error of rounding
		return
	}
	k.peerSpeed[r.Key] = e
}

// SlowServers returns the backend servers that are slow or have a closed window, by their IDs.
func (p *Planner) SlowServers(now time.Time) []ServerPace {
	var list []ServerPace
	for _, st := range p.states {
		if st.pace == nil || st.left {
			continue
		}
		e, window := p.speedEvidence(now, st), st.pace.window
		s := ServerPace{Server: st.pace.id, Slowness: e.Slowness(), Evidence: e.Weight}
		if !window.Open() {
			s.Window = window.Requests()
		}
		if s.Slowness > 1 || s.Window > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b ServerPace) int { return cmp.Compare(a.Server, b.Server) })
	return list
}
