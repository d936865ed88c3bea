package prompt

import (
	"time"

	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/internal/worker"
	"berylward.example/berylward/pkg/answer"
)

// Scheduler is the scheduler of one backend server: it admits requests, queues them and decides when each one runs. The
// owner calls NextActions after every other call that may free or use capacity, and no later than the time that
// NextWakeup returns.
type Scheduler struct {
	reservations *memory.ReservationTable
	window       *worker.Window

	bounds       ClassBounds
	shortShare   float64
	prefillAhead time.Duration
	resumeSlack  time.Duration
	queueLimit   int
	canSuspend   bool
	singleQueue  bool
	compare      func(a, b *liveRequest) int

	prefillRate, decodeRate rateEstimate
	prefillObservedAt       time.Time
	origin                  time.Time // time of the first offer

	requests          map[answer.ID]*liveRequest
	queues            [numClasses][]*liveRequest
	active            []*liveRequest
	expiries          expiryHeap
	queuedCount       int
	queuedByWorkspace map[string]int
	flows             map[flowKey]*flow
	// virtualTime is, by class, the largest service that a workspace had before a grant (start-time fair queueing).
	virtualTime [numClasses]float64
	// pendingPrefill is, by class, the number of tokens that active requests still have to prefill.
	pendingPrefill  [numClasses]int64
	runningPrefills int
	// bulkCount and bulkTokens are the number and the window charge of active bulk requests: medium and long ones.
	bulkCount  int
	bulkTokens int64
	// blocked is the medium or long request with the earliest prefill due time among those that wait for memory or
	// for the window.
	blocked     *liveRequest
	draining    bool
	lastArrival uint64
	ended       endedRequests
	scratch     []allocation
}

const (
	// predictionMargin is the fraction by which predicted durations are raised before they are compared with a
	// deadline.
	predictionMargin = 0.1
	// grantLifetime is the time within which the owner must begin a granted request.
	grantLifetime = 3 * time.Second
)

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithClassBounds sets the bounds of the length classes. The default is DefaultClassBounds.
func WithClassBounds(b ClassBounds) Option { return func(s *Scheduler) { s.bounds = b } }

// WithShortShare sets the fraction of the window and of the prefill rate that is reserved for short requests. The
// default is 0.25. The memory share is an option of memory.ReservationTable.
func WithShortShare(fraction float64) Option {
	return func(s *Scheduler) { s.shortShare = min(max(fraction, 0), 0.9) }
}

// WithRates sets the initial rate estimates: prefill tokens per second of the whole engine and generated tokens per
// second of one stream. The defaults are 10,000 and 30.
func WithRates(prefill, decode float64) Option {
	return func(s *Scheduler) {
		s.prefillRate, s.decodeRate = newRateEstimate(max(prefill, 1)), newRateEstimate(max(decode, 1))
	}
}

// WithPrefillAhead sets how much prefill work of one class is sent to the engine ahead of time. The default of 500 ms
// covers the lag of the engine's reports; all further requests stay in the scheduler's queue and order.
func WithPrefillAhead(t time.Duration) Option { return func(s *Scheduler) { s.prefillAhead = t } }

// WithQueueLimit bounds the number of queued requests. The default is 1,024.
func WithQueueLimit(n int) Option { return func(s *Scheduler) { s.queueLimit = max(n, 0) } }

// WithSuspend declares that the engine can suspend and resume streams. A suspended long prefill is resumed at the
// latest when its slack has fallen to resumeSlack.
func WithSuspend(resumeSlack time.Duration) Option {
	return func(s *Scheduler) { s.canSuspend, s.resumeSlack = true, resumeSlack }
}

// WithTombstones bounds the number of records of ended requests and sets their retention. The defaults are 16,384
// records and 2 min, which is longer than a frame can be in transit on a live link.
func WithTombstones(n int, retention time.Duration) Option {
	return func(s *Scheduler) { s.ended.limit, s.ended.retention = n, retention }
}

// WithSingleQueue replaces the classes by one first-come, first-served queue without reserved shares, fair
// queueing, priorities or suspension. It is the baseline in comparisons.
func WithSingleQueue() Option { return func(s *Scheduler) { s.singleQueue = true } }

// NewScheduler returns a scheduler without requests for the backend server that reservations and window describe.
func NewScheduler(reservations *memory.ReservationTable, window *worker.Window, opts ...Option) *Scheduler {
	s := &Scheduler{
		reservations: reservations, window: window,
		bounds: DefaultClassBounds, shortShare: 0.25,
		prefillAhead: 500 * time.Millisecond, queueLimit: 1024,
		prefillRate: newRateEstimate(10_000), decodeRate: newRateEstimate(30),
		requests: make(map[answer.ID]*liveRequest), queuedByWorkspace: make(map[string]int),
		flows: make(map[flowKey]*flow), compare: byPrefillDue,
		ended: newEndedRequests(16_384, 2*time.Minute),
	}
	for _, o := range opts {
		o(s)
	}
	if s.singleQueue {
		s.shortShare, s.canSuspend, s.compare = 0, false, byArrival
	}
	return s
}

// SetClassBounds changes the class bounds and the share that is reserved for short requests. Requests that were offered
// before keep their class.
func (s *Scheduler) SetClassBounds(b ClassBounds, shortShare float64) {
	if s.singleQueue {
		return
	}
	s.bounds = b
	WithShortShare(shortShare)(s)
}

// SetRates replaces the learned rates by declared ones. The owner calls it only when the declared rates have
// changed or the engine runs another model.
func (s *Scheduler) SetRates(prefill, decode float64) { WithRates(prefill, decode)(s) }

// Offer decides whether a new request runs now, is queued or is refused. A repeated offer of a live request returns
// its current queue position or lease and changes nothing.
func (s *Scheduler) Offer(now time.Time, r Request) AdmissionDecision {
	s.ended.expire(now)
	switch s.ended.find(r.ID) {
	case endNotRun:
		return Refuse{Reason: answer.ReasonCancelled}
	case endRan:
		// A refusal would claim that the request did not run. Begin rejects this lease.
		return Grant{Lease: Lease{ID: r.ID, Until: now}}
	case endNone, endDropped:
	}
	if req, ok := s.requests[r.ID]; ok {
		return s.repeatedOffer(now, req)
	}
	if s.draining {
		return Refuse{Reason: answer.ReasonDraining}
	}
	req := s.newRequest(now, r)
	if s.tooLarge(req) {
		return Refuse{Reason: answer.ReasonTooLarge}
	}
	if required := s.serviceSeconds(req, s.classPrefillRate(req.class)); now.Add(seconds(required * (1 + predictionMargin))).After(r.Deadline) {
		return Refuse{Reason: answer.ReasonDeadline}
	}
	p := s.predict(now, req)
	if finish := now.Add(p.finish + time.Duration(float64(p.finish)*predictionMargin)); finish.After(r.Deadline) {
		return Refuse{Reason: answer.ReasonDeadline, RetryAfter: finish.Sub(r.Deadline)}
	}
	if p.lateness > 0 {
		return Refuse{Reason: answer.ReasonOverloaded, RetryAfter: p.lateness}
	}
	// Each live request leaves a record when it ends, so space for the record is set aside at admission.
	if len(s.requests)+len(s.ended.records) >= s.ended.limit {
		return Refuse{Reason: answer.ReasonOverloaded, RetryAfter: s.ended.roomAfter(now)}
	}
	if len(s.queues[req.class]) == 0 && s.hasPrefillRoom(req.class) && s.fits(req) {
		s.admit(req)
		return Grant{Lease: s.grant(now, req)}
	}
	if s.queueFull(r.Workspace) {
		return Refuse{Reason: answer.ReasonOverloaded, RetryAfter: p.start}
	}
	s.admit(req)
	s.enqueue(req)
	return Queued{Position: p.position, Start: now.Add(p.start)}
}

// Begin must be called right before the request is sent to the engine. It reports whether the request may be sent,
// which it may not if the lease has expired or the request has ended.
func (s *Scheduler) Begin(now time.Time, id answer.ID) bool {
	req, ok := s.requests[id]
	if !ok || req.stage != stageGranted || !now.Before(req.expiry) {
		return false
	}
	s.observePrefill(now, 0)
	req.stage, req.reportedAt = stageBegun, now
	if req.remainingPrefill > 0 {
		s.runningPrefills++
	}
	s.setExpiry(req, req.Deadline)
	return true
}

// Progress applies the engine's progress report for a begun request and updates the rate estimates.
func (s *Scheduler) Progress(now time.Time, id answer.ID, r ProgressReport) {
	req, ok := s.requests[id]
	if !ok || req.stage != stageBegun {
		return
	}
	prefilled := min(max(r.Prefilled, 0), req.Uncached())
	if r.Generated > 0 {
		prefilled = req.Uncached()
	}
	if delta := req.remainingPrefill - (req.Uncached() - prefilled); delta > 0 {
		s.observePrefill(now, delta)
		s.recordPrefill(req, delta)
	}
	if delta := req.remainingDecode - max(req.MaxTokens-r.Generated, 0); delta > 0 {
		// The time up to the first report includes the prefill, so it says nothing about the decode rate.
		if req.remainingDecode < req.MaxTokens {
			s.decodeRate.observe(delta, now.Sub(req.reportedAt))
		}
		req.remainingDecode -= delta
		req.reportedAt = now
	}
}

// Finished ends a begun request whose answer is complete, or whose stream was cancelled or lost.
func (s *Scheduler) Finished(now time.Time, id answer.ID, r FinishReport) {
	req, ok := s.requests[id]
	if !ok || (req.stage != stageBegun && req.stage != stageCancelling) {
		return
	}
	s.observePrefill(now, 0)
	if r.Complete {
		if r.Generated > 0 {
			s.Progress(now, id, ProgressReport{Generated: r.Generated})
		}
		s.observePrefill(now, req.remainingPrefill)
		s.window.Completed(id)
	}
	s.release(req)
	s.remove(req)
	s.ended.add(now, id, true)
}

// Cancel ends a request on behalf of its caller. An unknown identifier gets a tombstone too, because its offer may
// arrive later. Such tombstones may fill only half of the table, so that they cannot stop admission.
func (s *Scheduler) Cancel(now time.Time, id answer.ID) Cancellation {
	s.ended.expire(now)
	if req, ok := s.requests[id]; ok {
		if req.stage == stageQueued || req.stage == stageGranted {
			s.endNotStarted(now, req)
			return CancelledNotRun{}
		}
		req.stage = stageCancelling
		return CancelledRunning{}
	}
	switch s.ended.find(id) {
	case endNotRun:
		return CancelledNotRun{}
	case endNone:
		if len(s.ended.records) < s.ended.limit/2 {
			s.ended.add(now, id, false)
			return CancelledNotRun{}
		}
	case endRan, endDropped:
	}
	return CancelledUnknown{}
}

// NotRun reports whether the scheduler can prove that the request did not run and never will.
func (s *Scheduler) NotRun(id answer.ID) bool { return s.ended.find(id) == endNotRun }

// Drain stops all grants. Requests that have not begun expire with a tombstone; begun requests continue.
func (s *Scheduler) Drain(now time.Time) []Action {
	s.draining = true
	return s.expireNotBegun(now, answer.ReasonDraining, nil)
}

// EndDrain ends a drain. The owner resets the worker.Window first.
func (s *Scheduler) EndDrain() { s.draining = false }

// EngineFailed ends all requests after a failure of the engine. Begun requests have an unknown outcome; the others did
// not run. The owner does not call Finished for them.
func (s *Scheduler) EngineFailed(now time.Time) []Action {
	actions := s.expireNotBegun(now, answer.ReasonBackendFailed, nil)
	for len(s.active) > 0 {
		req := s.active[len(s.active)-1]
		s.release(req)
		s.remove(req)
		s.ended.add(now, req.ID, true)
		actions = append(actions, Expire{ID: req.ID, Outcome: unknown(answer.ReasonBackendFailed)})
	}
	return actions
}

// QueuedCount returns the number of queued requests.
func (s *Scheduler) QueuedCount() int { return s.queuedCount }

// ActiveCount returns the number of requests that were granted and have not ended.
func (s *Scheduler) ActiveCount() int { return len(s.active) }
