package dispatch

import (
	"math"
	"slices"
	"time"

	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/worker"
)

const (
	// newPeriod is how long after its start a backend server that is not known yet counts as a new incarnation. The start time is by
	// the server's clock, so up to maxClockSkew in the future counts too.
	newPeriod    = 10 * time.Second
	maxClockSkew = 2 * time.Second
	// lateRatio is how many times longer than predicted an answer takes to be late.
	lateRatio = 2
	// maxPauseWeight bounds what one pause counts for, compared with an answer. A pause otherwise counts for its length in seconds,
	// so that a request that runs counts for 1 each second, whatever its pauses are.
	maxPauseWeight = 0.5
	// minTurn is the shortest time for which a gateway keeps to the number of requests that it has drawn.
	minTurn = 60 * time.Millisecond
	// silentPeerPeriod is how long a window counts that others seem to ignore: they send more than it allows and do not report it,
	// because theirs has opened long ago.
	silentPeerPeriod = time.Second
)

// pacing is what the planner learns of the speed of backend servers. It is nil when the pace of servers is not followed.
type pacing struct {
	services map[Key]*serviceCalibration
	peers    map[string][]PaceReport
	// peerSpeed is the sum of the evidence that other gateways have reported, by backend server.
	peerSpeed map[Key]worker.SpeedEvidence
	changes   []PaceChange
	// nextWindow is the position of the first window in the next report.
	nextWindow int
}

// serviceCalibration holds the medians by what is measured.
type serviceCalibration struct{ first, pause, answer worker.Calibration }

// serverPace is what is known of the pace of one incarnation of a backend server.
type serverPace struct {
	id     string
	slots  int
	window *worker.SharedWindow
	speed  worker.Speed
	// permits is how many requests this gateway may still send before turnEnds while the window is closed.
	permits  int
	turnEnds time.Time
	// suspectedAt is when the server last seemed to be slow.
	suspectedAt time.Time
	// slow and open are the last values that a PaceChange told.
	slow, open bool
}

// placedPace is what the evidence of a placed request is compared with.
type placedPace struct {
	engine *route.Engine
	// predicted is the time to the first event that was predicted for a server that is as fast as published; zero if it says
	// nothing about one server.
	predicted time.Duration
	// queue is the load of a plain server per slot with this request, at least 1.
	queue       float64
	lastEventAt time.Time
}

// WithPace makes the planner learn how slow backend servers are compared with what is published, and limit the requests in
// flight at those that have just started or whose answers have stopped.
func WithPace() Option {
	return func(p *Planner) {
		p.pace = &pacing{
			services: map[Key]*serviceCalibration{}, peers: map[string][]PaceReport{}, peerSpeed: map[Key]worker.SpeedEvidence{},
		}
	}
}

func (k *pacing) calibration(service Key) *serviceCalibration {
	c := k.services[service]
	if c == nil {
		c = &serviceCalibration{}
		k.services[service] = c
	}
	return c
}

// newServerPace returns the pace of an incarnation that is seen for the first time.
func newServerPace(now time.Time, profile RequestProfile, s *roster.Server) *serverPace {
	slots := s.Slots
	if profile.Engine != nil {
		slots = profile.Engine.Slots
	}
	sp := &serverPace{id: s.ID, slots: slots, window: worker.NewSharedWindow(slots), open: true}
	age := now.Sub(s.StartedAt)
	if now.Before(s.ColdUntil) || !s.StartedAt.IsZero() && age < newPeriod && age > -maxClockSkew {
		sp.window.Start(now)
		sp.open = sp.window.Open()
	}
	return sp
}

// applyPace sets what a candidate's pace means for a request.
func (p *Planner) applyPace(now time.Time, profile RequestProfile, c *candidate) {
	if p.pace == nil {
		return
	}
	sp := c.state.pace
	if sp == nil {
		sp = newServerPace(now, profile, c.server)
		c.state.pace = sp
	}
	if slowness := p.slowness(now, c.state); slowness > 1 {
		c.slowness = slowness
		c.total.PendingPrefill = scale(c.total.PendingPrefill, slowness)
		c.slowPrefill = scale(min(profile.PrefillTime(), maxPart)+iterationTime, slowness-1)
	}
	if sp.window.Open() != sp.open {
		p.noticePace(now, c.state)
	}
	if sp.window.Open() {
		return
	}
	inFlight := c.requests()
	othersInFlight := inFlight - c.state.own.Short - c.state.own.Long
	if othersInFlight > sp.window.Requests() && now.Sub(sp.window.ChangedAt()) > silentPeerPeriod && !sp.window.ReportedSince(now.Add(-silentPeerPeriod)) {
		sp.window.Release(now)
		return
	}
	c.due = p.takesTurn(now, profile, sp, sp.window.Room(inFlight))
	c.full = !c.due
}

// takesTurn reports whether this gateway may send one more request to a server with room for a number of them. All gateways see
// the same room until they hear of each other's requests, so for that time each draws how many of them are its own. Requests that
// end within that time make room for others.
func (p *Planner) takesTurn(now time.Time, profile RequestProfile, sp *serverPace, room int) bool {
	if p.gateways == 1 {
		return room > 0
	}
	if !now.Before(sp.turnEnds) {
		turn := max(p.otherZoneInterval, minTurn)
		ends := max(turn.Seconds()/p.answerSeconds(profile), 1)
		share := float64(room) * ends / float64(p.gateways)
		sp.turnEnds, sp.permits = now.Add(turn), int(share)
		if p.random.Float64() < share-math.Floor(share) {
			sp.permits++
		}
	}
	return room > 0 && sp.permits > 0
}

// answerSeconds returns the usual time of an answer in seconds.
func (p *Planner) answerSeconds(profile RequestProfile) float64 {
	if c := p.pace.services[profile.Service]; profile.Engine == nil && c != nil && c.answer.Known() {
		return math.Exp(c.answer.Median())
	}
	return p.shortTime.Seconds()
}

// followWindows removes the candidates whose window is full, if others have room. It leaves only those to which it is this gateway's
// turn to send, if they have fewer requests than the others: a gateway seldom has a turn, and a request that it sends elsewhere
// meanwhile would leave the server idle. Long prompts are not used to show whether a server answers.
func (p *Planner) followWindows(profile RequestProfile) {
	limited := func(c candidate) bool { return c.full || c.due }
	if p.pace == nil || !slices.ContainsFunc(p.candidateBuf, limited) {
		return
	}
	p.keep(func(c *candidate) bool { return !c.full })
	if profile.Engine != nil && !profile.Short() {
		return
	}
	requests := 0
	for i := range p.candidateBuf {
		requests += p.candidateBuf[i].requests()
	}
	mean := float64(requests) / float64(max(len(p.candidateBuf), 1))
	p.keep(func(c *candidate) bool { return c.due && float64(c.requests()) < mean })
}

// keep removes the candidates for which a condition does not hold, if it holds for any.
func (p *Planner) keep(condition func(*candidate) bool) {
	if slices.ContainsFunc(p.candidateBuf, func(c candidate) bool { return condition(&c) }) {
		p.candidateBuf = slices.DeleteFunc(p.candidateBuf, func(c candidate) bool { return !condition(&c) })
	}
}

// paced returns the time that a server needs for what takes d at one that is as fast as published.
func (c *candidate) paced(d time.Duration) time.Duration {
	if c.slowness <= 1 {
		return d
	}
	return scale(d, c.slowness)
}

// slots returns how many of the slots of an engine are filled while others have free ones: with so many requests in flight, a slow
// engine has the same work in time before it as the others.
func (c *candidate) slots(published int) int {
	if c.slowness <= 1 {
		return published
	}
	return max(int(float64(published)/c.slowness), 1)
}

// plainCost returns the cost of one more request at a plain server that has some, in requests per slot. The request itself costs
// more at a slow server.
func (c *candidate) plainCost(requests int) float64 {
	cost, slots := float64(requests), float64(max(c.server.Slots, 1))
	if c.slowness > 1 {
		cost = c.slowness*(cost+1) - 1
	}
	return cost / slots
}

// slowness returns how many times more slowly than predicted a backend server answers, by the evidence of all gateways.
func (p *Planner) slowness(now time.Time, st *serverState) float64 {
	if p.pace == nil || st.pace == nil {
		return 1
	}
	// Most servers are not slow; their evidence need not be aged for each placement.
	if _, reported := p.pace.peerSpeed[st.key]; !reported && st.pace.speed.Undecayed().Slowness() == 1 {
		return 1
	}
	return p.speedEvidence(now, st).Slowness()
}

func (p *Planner) speedEvidence(now time.Time, st *serverState) worker.SpeedEvidence {
	e := st.pace.speed.Evidence(now)
	e.Add(p.pace.peerSpeed[st.key], 1)
	return e
}

// recordPlacedPace notes what the answer of a placed request will be compared with.
func (p *Planner) recordPlacedPace(now time.Time, r *placedRequest, profile RequestProfile, place Placement) {
	st := r.servers[0]
	if p.pace == nil || st.pace == nil {
		return
	}
	st.pace.permits--
	r.pace.engine = profile.Engine
	send, ok := place.(Send)
	switch {
	case !ok:
		// Engines of a joint prefill wait for the slowest of them.
	case profile.Engine != nil:
		r.pace.predicted = scale(send.Expected, 1/p.slowness(now, st))
	default:
		r.pace.queue = max(float64(send.Seen.Short+send.Seen.Long+1)/float64(max(st.pace.slots, 1)), 1)
	}
}

// recordProgressPace records the evidence of an event. It must be called before the end of the prefill is recorded.
func (p *Planner) recordProgressPace(now time.Time, r *placedRequest) {
	st := r.servers[0]
	if p.pace == nil || st.pace == nil {
		return
	}
	calibration := p.pace.calibration(r.service)
	switch last := r.pace.lastEventAt; {
	case !r.prefillDone && r.pace.predicted > 0:
		logRatio := calibration.first.Adjust(logRatio(now.Sub(r.placedAt), r.pace.predicted), 1, false)
		p.recordAnswerPace(now, st, logRatio)
	case !r.prefillDone:
		p.recordWindow(now, st, worker.Timely{InFlight: p.inFlight(now, st)})
	case !last.IsZero():
		if predicted := p.predictedPause(now, r); predicted > 0 {
			pause := now.Sub(last)
			weight := min(pause.Seconds(), maxPauseWeight)
			st.pace.speed.Record(now, calibration.pause.Adjust(logRatio(pause, predicted), weight, false), weight, p.gateways)
		}
	}
	r.pace.lastEventAt = now
	p.noticePace(now, st)
}

// recordEndPace records the evidence of the end of a request. It must be called before its load is subtracted.
func (p *Planner) recordEndPace(now time.Time, r *placedRequest, o Outcome) {
	st := r.servers[0]
	if p.pace == nil || st.pace == nil {
		return
	}
	switch o.(type) {
	case Answered:
		if r.pace.engine == nil && r.pace.queue > 0 {
			measured := scale(now.Sub(r.placedAt), 1/r.pace.queue)
			p.recordAnswerPace(now, st, p.pace.calibration(r.service).answer.Adjust(logRatio(measured, time.Second), 1, true))
		} else {
			p.recordWindow(now, st, worker.Timely{InFlight: p.inFlight(now, st)})
		}
	case Unreachable, Lost:
		p.recordWindow(now, st, worker.Missing{SentAt: r.placedAt})
	case Errored, Full, Gone, Abandoned:
		// These say nothing about how fast the server is.
	}
	p.noticePace(now, st)
}

// recordAnswerPace records the time of an answer, or of its first event, as the logarithm of its ratio to the predicted time.
func (p *Planner) recordAnswerPace(now time.Time, st *serverState, logRatio float64) {
	// A server that is known to be slow is late only if it is slower than that.
	late := logRatio > math.Log(lateRatio*p.slowness(now, st))
	st.pace.speed.Record(now, logRatio, 1, p.gateways)
	if late {
		p.recordWindow(now, st, worker.Late{})
		return
	}
	p.recordWindow(now, st, worker.Timely{InFlight: p.inFlight(now, st)})
}

// recordWindow applies the evidence of one request to the window. A reset ends what the error rate limits: the rate of a server that
// gets no requests never falls, and gateways that had lost two requests would not send to it again while others have room.
func (p *Planner) recordWindow(now time.Time, st *serverState, a worker.Answer) {
	if st.pace.window.Record(now, a) {
		p.pace.changes = append(p.pace.changes, PaceChange{Kind: PaceWindowReset, Server: st.pace.id, Slowness: p.slowness(now, st)})
		st.pace.open = false
		st.errorRate = 0
	}
}

// inFlight returns the requests of all gateways at a backend server.
func (p *Planner) inFlight(now time.Time, st *serverState) int {
	total, _ := p.groupLoad(now, st)
	return total.Short + total.Long
}

// predictedPause returns the longest pause that the published figures of the engine of a request explain: an iteration of all
// requests there, with all prefill that is pending. It is zero if the figures are not published.
func (p *Planner) predictedPause(now time.Time, r *placedRequest) time.Duration {
	e := r.pace.engine
	if e == nil || e.StepsPerIteration == 0 || e.StepTime == 0 {
		return 0
	}
	total, _ := p.groupLoad(now, r.servers[0])
	step := e.StepTime + time.Duration(total.Short+total.Long)*e.StepTimePerSequence + scale(e.StepTimePer1000Context, float64(total.Memory)/1000)
	return time.Duration(e.StepsPerIteration)*step + total.PendingPrefill
}

func logRatio(measured, predicted time.Duration) float64 {
	return math.Log(max(measured, time.Millisecond).Seconds() / max(predicted, time.Millisecond).Seconds())
}

// dependsOnPace reports whether the state of a server that has left must be kept for its return: its answers have stopped lately.
func (st *serverState) dependsOnPace(now time.Time) bool {
	return st.pace != nil && !st.pace.window.Open() && now.Sub(st.pace.window.ChangedAt()) < newPeriod
}
