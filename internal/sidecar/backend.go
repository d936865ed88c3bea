package sidecar

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"berylward.example/berylward/internal/booking"
	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/internal/prompt"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/internal/worker"
	"berylward.example/berylward/pkg/answer"
	"berylward.example/berylward/pkg/site"
)

const (
	// orphanTimeout is how long a request continues after its link was lost. Its entry resumes it on a new connection
	// within the silence limit of 3 s, unless the entry has ended.
	orphanTimeout = 10 * time.Second
	// endedRetention is how long the record of an ended request is kept, so that a late cancel gets a correct answer
	// and a lost final message can be sent again. It equals the retention period of the scheduler's tombstones.
	endedRetention = 2 * time.Minute
	// housekeepingInterval is the interval of periodic work that has no deadline of its own.
	housekeepingInterval = time.Second
	// stateChangeThreshold is the least change of the fullness that is reported to entries, and the least relative
	// change of the window.
	stateChangeThreshold = 0.1
)

// backend makes all decisions about one backend server. Only the backend goroutine calls its methods.
type backend struct {
	*Sidecar
	log klog.Logger

	lifecycle    worker.Lifecycle
	window       *worker.Window
	reservations *memory.ReservationTable
	scheduler    *prompt.Scheduler
	keyTable     *booking.Table
	suspects     *suspect.Registry
	snapshot     *site.Snapshot
	load         engine.Load
	control      engineControl
	// admissionLimits holds the limits that the scheduler, the window and the reservation table currently use.
	admissionLimits admissionLimits

	links   map[*link.Conn]bool
	streams map[answer.ID]*stream
	// members holds the group members that run here. cacheTokens maps each unused cache token to the member whose
	// cache it gives access to.
	members     map[answer.ID]*member
	cacheTokens map[string]*member
	// freeingMembers counts the ended members whose cancel the engine has not answered yet.
	freeingMembers  int
	pendingReserves []pendingReserve
	prefixes        *memory.PrefixEstimator
	tokenEstimator  memory.TokenEstimator
	// keyRuns holds the stream that runs each keyed call, so that repeats of the key can wait for it.
	keyRuns          map[string]*stream
	lastState        link.State
	lastStateAt      time.Time
	lastHousekeeping time.Time
	stopping         bool
	// closingLinks is set while the links are being closed after a stop.
	closingLinks bool
	ownerLinks   ownerLinks
	warmth       warmthEstimator
	// leavingReports holds the links whose entries report that this instance is leaving.
	leavingReports map[*link.Conn]bool
	// ownStreamsOnly means that the engine runs only streams of this sidecar. While it is false, streams of an
	// earlier sidecar, or streams that this sidecar lost in a failure, may still use the engine's memory and, while
	// the engine is cold, its slots.
	ownStreamsOnly    bool
	foreignPossibleAt time.Time
	// healthUnknown means that a call has failed and no probe has yet shown whether the backend server has failed
	// too. No request is started then, because a server that has restarted cold must not get as much work as the
	// window of the warm server allows.
	healthUnknown bool
	// purged holds, by entry incarnation, the highest sequence number among the purged records of requests. After
	// purgeRecordsLost is set, every unknown request counts as one that may have run.
	purged           map[uuid.UUID]uint64
	purgeRecordsLost bool
}

func newBackend(s *Sidecar) *backend {
	return &backend{
		Sidecar: s, log: s.log, control: newEngineControl(s), suspects: suspect.New(s.incarnation),
		ownStreamsOnly: s.Service != "", links: map[*link.Conn]bool{}, streams: map[answer.ID]*stream{}, keyRuns: map[string]*stream{},
		members: map[answer.ID]*member{}, cacheTokens: map[string]*member{}, prefixes: memory.NewPrefixEstimator(),
		leavingReports: map[*link.Conn]bool{}, ownerLinks: ownerLinks{}, purged: map[uuid.UUID]uint64{},
	}
}

// run is the backend goroutine.
func (b *backend) run() error {
	defer b.ownerLinks.stopAll()
	timer := b.clock.NewTimer(housekeepingInterval)
	defer timer.Stop()
	changed := b.config.Changed()
	b.applyDeclarations()
	for {
		select {
		case <-b.events.Ready():
			for _, e := range b.events.Take() {
				b.handleEvent(e)
			}
		case <-changed:
			changed = b.config.Changed()
			b.applyDeclarations()
		case <-timer.C():
		case <-b.tomb.Dying():
			return nil
		}
		now := b.clock.Now()
		b.runScheduler(now)
		b.planOrders(now)
		b.doHousekeeping(now)
		b.publishState(now)
		b.checkStopped(now)
		timer.Reset(b.wakeDelay(now))
	}
}

func (b *backend) wakeDelay(now time.Time) time.Duration {
	d := housekeepingInterval
	if b.scheduler != nil {
		if wake := b.scheduler.NextWakeup(); !wake.IsZero() {
			d = min(d, wake.Sub(now))
		}
	}
	if wake := b.control.planner.NextPlanTime(); !wake.IsZero() && b.mayPlan() {
		d = min(d, wake.Sub(now))
	}
	return max(d, time.Millisecond)
}

func (b *backend) handleEvent(e event) {
	now := b.clock.Now()
	switch e := e.(type) {
	case linkUp:
		b.links[e.conn] = true
		_ = e.conn.Send(b.state())
		b.sendSuspects(now, e.conn)
	case linkDown:
		b.detachLink(now, e.conn)
	case messageReceived:
		b.handleMessage(now, e.conn, e.message)
	case suspectsDiffer:
		b.sendSuspects(now, e.conn)
	case streamHead:
		b.handleHead(e)
	case streamData:
		b.handleData(now, e)
	case streamEnd:
		b.handleStreamEnd(now, e)
	case probeResult:
		b.handleProbe(now, e)
	case streamsListed:
		b.handleStreamList(now, e)
	case statusRequested:
		e.reply <- b.status(now)
	case orderResult:
		b.handleOrderResult(now, e)
	case workersListed:
		b.control.placement.workers, b.control.placement.workersKnown, b.control.planDue = e.workers, true, true
	case stopRequested:
		b.stop(now)
	case memberFreed:
		b.freeingMembers--
		b.handleMemberFreed(now, e)
	case cachesImported:
		b.handleCachesImported(now, e)
	case cacheEvents:
		b.applyCacheEvents(e)
	case cacheTokenUsed:
		e.reply <- b.redeemCacheToken(e.token)
	}
}

func (b *backend) handleMessage(now time.Time, conn *link.Conn, m link.Message) {
	switch m := m.(type) {
	case *link.Offer:
		b.handleOffer(now, conn, m)
	case *link.Cancel:
		b.cancelRequest(now, conn, m.ID.AnswerID())
	case *link.Resume:
		b.handleResume(now, conn, m)
	case *link.Reserve:
		b.handleReserve(now, conn, m)
	case *link.Renew:
		b.handleRenew(now, conn, m.ID)
	case *link.Segment:
		b.handleSegment(now, conn, m)
	case *link.FetchCaches:
		b.handleFetchCaches(now, conn, m)
	case *link.Leaving:
		b.handleLeaving(now, conn, m.Leaving)
	case *link.TicketRequest:
		b.handleTicketRequest(now, conn, m)
	case *link.Suspects:
		b.handleSuspects(now, conn, m)
	case *link.SealRequest:
		b.handleSealRequest(now, conn, m)
	case *link.Seal:
		b.handleSeal(now, m)
	default:
		b.metrics.Add("unexpected-messages", 1)
	}
}

// applyDeclarations applies the current declarations.
func (b *backend) applyDeclarations() {
	s := b.config.Snapshot()
	if s == nil || s == b.snapshot {
		return
	}
	now := b.clock.Now()
	b.snapshot = s
	for conn := range b.links {
		conn.SendHeartbeat()
	}
	if s.ZoneOut(b.Zone) {
		b.drain(now, worker.DrainZone)
	} else {
		b.handleTransition(now, b.lifecycle.WithdrawCause(now, worker.DrainZone))
	}
	b.applyOwnership(now)
	b.control.planDue = true
	b.applyLimits(now)
}

// handleProbe applies the result of a probe of the backend server.
func (b *backend) handleProbe(now time.Time, e probeResult) {
	if e.err != nil {
		if b.lifecycle.MayGrant() || b.hasRunning() {
			b.handleCrash(now, "probe failed: "+e.err.Error())
		}
		b.handleTransition(now, b.lifecycle.Failed(now, answer.ReasonBackendFailed))
		return
	}
	b.healthUnknown = false
	incarnation := e.load.Incarnation
	restarted := b.load.MemoryTotal > 0 && b.load.Incarnation != incarnation
	b.load = e.load
	if restarted {
		b.handleCrash(now, "the engine has a new incarnation")
	}
	b.handleTransition(now, b.lifecycle.Ready(now))
	b.applyLoadReport(e.load, e.sentAt)
	b.applyLimits(now)
	if b.scheduler != nil && b.Service == "" {
		b.reservations.SetIncarnation(incarnation.String())
		b.prefixes.ApplyChanges(incarnation.String(), nil)
		if reset, ok := b.observeLoad(now, e.load); ok {
			b.observeSlow(now)
			b.metrics.Add("window-falls", 1)
			b.log.Info("warm-up window fell back", "reason", string(reset.Reason), "tokens", reset.Limits.Tokens)
		}
	}
	b.reattachStreams(now)
}

// handleTransition reacts to a state change of the lifecycle.
func (b *backend) handleTransition(now time.Time, t worker.Transition) {
	transitioned, ok := t.(worker.Transitioned)
	if !ok {
		return
	}
	b.log.Info("backend server state changed", "phase", phaseName(transitioned.To))
	if transitioned.ResetWindow && b.scheduler != nil {
		b.window.Reset(worker.ResetOnReturn)
		b.observeSlow(now)
		b.scheduler.EndDrain()
	}
	b.broadcastState(now)
}

// handleLeaving drains as long as the instance list of any linked entry says that this instance is leaving.
func (b *backend) handleLeaving(now time.Time, conn *link.Conn, leaving bool) {
	if leaving {
		b.leavingReports[conn] = true
		b.drain(now, worker.DrainLeaving)
		return
	}
	delete(b.leavingReports, conn)
	if len(b.leavingReports) == 0 {
		b.handleTransition(now, b.lifecycle.WithdrawCause(now, worker.DrainLeaving))
	}
}

func (b *backend) drain(now time.Time, cause worker.DrainCause) {
	b.handleTransition(now, b.lifecycle.Drain(now, cause))
	if b.scheduler != nil && !b.runsQueueInDrain(cause) {
		b.applyActions(now, b.scheduler.Drain(now))
	}
}

// runsQueueInDrain reports whether queued calls still run during a drain. A queued keyed call cannot move to another
// worker, and the next incarnation of its owner could not tell that it never ran. A stop therefore waits for queued
// calls as well as for running ones.
func (b *backend) runsQueueInDrain(cause worker.DrainCause) bool {
	return cause == worker.DrainStop && b.Service != ""
}

func (b *backend) stop(now time.Time) {
	b.stopping = true
	if b.keyTable != nil {
		b.keyTable.Stop()
	}
	b.drain(now, worker.DrainStop)
}

// checkStopped completes a graceful stop once no request is left.
func (b *backend) checkStopped(now time.Time) {
	if !b.stopping || b.closingLinks || b.liveRequests() > 0 {
		return
	}
	b.closingLinks = true
	b.handleTransition(now, b.lifecycle.Idle(now))
	var links sync.WaitGroup
	for conn := range b.links {
		// The last answers may still be queued in the link.
		links.Go(conn.Shutdown)
	}
	b.tomb.Go(func() error {
		links.Wait()
		close(b.stopped)
		return nil
	})
}

// doHousekeeping performs the periodic work once per housekeeping interval.
func (b *backend) doHousekeeping(now time.Time) {
	if now.Sub(b.lastHousekeeping) < housekeepingInterval {
		return
	}
	b.lastHousekeeping = now
	for id, s := range b.streams {
		switch {
		case s.ended && !s.cancelPending && now.Sub(s.endedAt) > endedRetention:
			b.recordPurge(id)
			b.forget(s)
		case !s.ended && s.conn == nil && now.Sub(s.detachedAt) > orphanTimeout && !s.mustComplete():
			b.metrics.Add("orphan-requests", 1)
			b.cancelRequest(now, nil, id)
		}
	}
	b.expireMembers(now)
	if !b.ownStreamsOnly {
		b.requestStreamList()
	}
	b.sendSealRequests(now)
	b.Sidecar.suspects.Store(b.suspects.MarksDigest(now))
}

// state returns the message that reports the state of the backend server to entries.
func (b *backend) state() *link.State {
	m := &link.State{Phase: phaseName(b.lifecycle.State()), Queued: 0}
	if d, ok := b.lifecycle.State().(worker.Draining); ok && len(d.Causes) > 0 {
		m.Cause = string(d.Causes[0])
	}
	if m.Phase == "serving" && (b.scheduler == nil || !b.ownStreamsOnly) {
		m.Phase = "starting"
	}
	if b.scheduler == nil {
		return m
	}
	limits, used := b.window.Limits(), b.window.InFlight()
	m.WindowTokens, m.WindowRequests = limits.Tokens, limits.Requests
	m.Queued, m.Running = b.scheduler.QueuedCount(), b.scheduler.ActiveCount()
	m.Fullness = b.fullness(limits, used)
	if b.Service == "" {
		m.GroupTokens, m.GroupLimit = b.groupTokens()
	}
	m.Models = b.availableModels()
	return m
}

// fullness returns the used share of the window or of the memory, whichever is higher.
func (b *backend) fullness(limits, used worker.Limits) float64 {
	share := func(n, of int64) float64 { return float64(n) / float64(max(of, 1)) }
	full := max(share(used.Tokens, limits.Tokens), share(int64(used.Requests), int64(limits.Requests)))
	if b.reservations != nil {
		full = max(full, share(b.reservations.Used(), b.reservations.Limit()))
	}
	return full
}

// publishState reports a change of the phase to entries at once. It reports other significant changes at most once
// per housekeeping interval.
func (b *backend) publishState(now time.Time) {
	m := b.state()
	last := b.lastState
	if m.Phase == last.Phase && now.Sub(b.lastStateAt) < housekeepingInterval {
		return
	}
	if m.Phase != last.Phase || math.Abs(m.Fullness-last.Fullness) >= stateChangeThreshold ||
		math.Abs(float64(m.WindowTokens-last.WindowTokens)) >= stateChangeThreshold*float64(last.WindowTokens) ||
		!slices.Equal(m.Models, last.Models) {
		b.broadcastState(now)
	}
}

// broadcastState sends the state over all links.
func (b *backend) broadcastState(now time.Time) {
	m := b.state()
	b.lastState, b.lastStateAt = *m, now
	if _, down := b.lifecycle.State().(worker.Down); down && b.suppressFailureReports {
		return
	}
	for conn := range b.links {
		_ = conn.Send(m)
	}
}

func phaseName(s worker.State) string {
	switch s.(type) {
	case worker.Starting:
		return "starting"
	case worker.Serving:
		return "serving"
	case worker.Draining:
		return "draining"
	case worker.Down:
		return "down"
	case worker.Stopped:
		return "stopped"
	}
	return "unknown"
}
