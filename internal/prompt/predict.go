package prompt

import (
	"slices"
	"time"
)

// allocation is the memory and the request slot that one request holds until its predicted end.
type allocation struct{ end, tokens float64 }

// forecastQueue is the queue of one class in a forecast. A new request may be inserted into it.
type forecastQueue struct {
	requests   []*liveRequest
	inserted   *liveRequest
	insertAt   int // position of inserted in requests
	next       int
	prefillEnd float64 // end of the last prefill of this class
	nextStart  float64 // earliest start of the next request
}

// head returns the next request, or nil if the queue is empty.
func (q *forecastQueue) head() *liveRequest {
	if q.inserted != nil && q.next == q.insertAt {
		return q.inserted
	}
	if q.next < len(q.requests) {
		return q.requests[q.next]
	}
	return nil
}

func (q *forecastQueue) advance(req *liveRequest) {
	if req == q.inserted {
		q.inserted = nil
		return
	}
	q.next++
}

// forecast simulates the scheduler's own rules; its times are in seconds from now. Dividing the total demand by the
// capacity is not enough: two requests that each need more than half of the memory run one after the other, even if
// much of the memory stays free.
type forecast struct {
	scheduler                 *Scheduler
	prefillRate, decodeRate   float64
	startOffset, prefillAhead float64 // now in seconds since the scheduler's origin; seconds of prefill
	freeTokens, freeSlots     float64
	clock                     float64
	newStarted                bool         // the new request has started
	allocations               []allocation // latest end first
	blocked                   *liveRequest
}

// prediction is the predicted effect of admitting one request.
type prediction struct {
	position      int
	start, finish time.Duration
	// lateness is the largest delay beyond its deadline that the new request causes for an admitted one, or zero.
	lateness time.Duration
}

// serviceSeconds returns the time in seconds that a request needs on an idle engine with this prefill rate.
func (s *Scheduler) serviceSeconds(req *liveRequest, prefillRate float64) float64 {
	return float64(req.remainingPrefill)/prefillRate + float64(req.remainingDecode)/s.decodeRate.perSecond()
}

// bulkPrefillRate returns the prefill rate that is assumed for medium and long requests. It excludes the short
// share, so that short requests that arrive later do not make them late.
func (s *Scheduler) bulkPrefillRate() float64 { return s.prefillRate.perSecond() * (1 - s.shortShare) }

func (s *Scheduler) classPrefillRate(c Class) float64 {
	if c == Short {
		return s.prefillRate.perSecond()
	}
	return s.bulkPrefillRate()
}

// predict returns the request's queue position, its predicted start and finish, and by how much it makes an admitted
// request late. The cost is linear in the queue length. Running sums would not avoid it, because they would have to be
// recomputed with every change of the learned rates.
func (s *Scheduler) predict(now time.Time, req *liveRequest) prediction {
	p := prediction{position: s.queuePosition(req)}
	for c := Short; c < req.class; c++ {
		p.position += len(s.queues[c])
	}
	if req.class == Short {
		s.forecastShort(now, req, &p)
		if len(s.queues[Medium]) > 0 || len(s.queues[Long]) > 0 || s.pendingPrefill[Medium] > 0 || s.pendingPrefill[Long] > 0 {
			// The short share is reserved for requests such as this one, so the full prefill rate applies.
			s.forecastBulk(now, req, s.prefillRate.perSecond(), &p)
		}
		return p
	}
	s.forecastBulk(now, req, s.bulkPrefillRate(), &p)
	return p
}

func (s *Scheduler) newForecast(now time.Time, prefillRate float64) forecast {
	return forecast{
		scheduler: s, prefillRate: prefillRate, decodeRate: s.decodeRate.perSecond(), allocations: s.scratch[:0],
		startOffset: now.Sub(s.origin).Seconds(), prefillAhead: s.prefillAhead.Seconds(),
	}
}

func (s *Scheduler) forecastShort(now time.Time, req *liveRequest, p *prediction) {
	f := s.newForecast(now, s.prefillRate.perSecond())
	requests := s.window.Limits().Requests
	f.freeTokens, f.freeSlots = float64(s.reservations.Limit()-s.reservations.Used()), float64(requests-len(s.active))
	if s.blocked != nil {
		// Requests with a later prefill due time than the blocked one are limited to the short share.
		shortUsed, shortCount := s.reservations.Used()-s.reservations.BulkUsed(), len(s.active)-s.bulkCount
		f.freeTokens = min(f.freeTokens, float64(s.reservations.Limit()-s.reservations.BulkLimit()-shortUsed))
		f.freeSlots = min(f.freeSlots, float64(max(requests-s.bulkSlots(requests), 1)-shortCount))
	}
	queues := [1]forecastQueue{{requests: s.queues[Short], inserted: req, insertAt: s.queuePosition(req)}}
	for _, other := range s.active {
		if other.class == Short {
			f.addRunning(&queues[0], other)
		}
	}
	f.run(queues[:], req, p)
}

func (s *Scheduler) forecastBulk(now time.Time, req *liveRequest, prefillRate float64, p *prediction) {
	f := s.newForecast(now, prefillRate)
	f.freeTokens = float64(s.reservations.BulkLimit() - s.reservations.BulkUsed())
	f.freeSlots = float64(s.bulkSlots(s.window.Limits().Requests) - s.bulkCount)
	queues := [2]forecastQueue{{requests: s.queues[Medium]}, {requests: s.queues[Long]}}
	shortTokens := s.pendingPrefill[Short]
	for _, other := range s.queues[Short] {
		shortTokens += other.remainingPrefill
	}
	if req.class == Short {
		shortTokens += req.remainingPrefill
	} else {
		q := &queues[req.class-Medium]
		q.inserted, q.insertAt = req, s.queuePosition(req)
	}
	queues[0].prefillEnd = float64(shortTokens) / prefillRate
	// The engine prefers medium prefills, including those that start after a long one.
	mediumTokens := shortTokens + s.pendingPrefill[Medium]
	for _, other := range s.queues[Medium] {
		mediumTokens += other.remainingPrefill
	}
	if req.class == Medium {
		mediumTokens += req.remainingPrefill
	}
	queues[1].prefillEnd = float64(mediumTokens) / prefillRate
	for _, other := range s.active {
		if other.class != Short {
			finish := f.addRunning(&queues[other.class-Medium], other)
			if other.class > req.class {
				p.lateness = max(p.lateness, f.lateness(finish, other))
			}
		}
	}
	f.run(queues[:], req, p)
}

// addRunning adds a request that starts or runs at the forecast's current time, and returns its finish. The caller
// has already subtracted its memory and its slot from the free capacity.
func (f *forecast) addRunning(q *forecastQueue, req *liveRequest) float64 {
	q.prefillEnd = max(q.prefillEnd, f.clock) + float64(req.remainingPrefill)/f.prefillRate
	if req.remainingPrefill > 0 {
		q.nextStart = q.prefillEnd - f.prefillAhead
	}
	finish := q.prefillEnd + float64(req.remainingDecode)/f.decodeRate
	if req.remainingPrefill == 0 && req.stage != stageQueued {
		finish = f.clock + float64(req.remainingDecode)/f.decodeRate
	}
	a := allocation{end: finish, tokens: req.tokenDemand}
	i := len(f.allocations)
	for i > 0 && f.allocations[i-1].end < a.end {
		i--
	}
	f.allocations = slices.Insert(f.allocations, i, a) // latest end first
	return finish
}

func (f *forecast) fits(req *liveRequest) bool {
	if f.blocked != nil && f.blocked != req && req.prefillDue.After(f.blocked.prefillDue) {
		return false
	}
	return f.freeSlots >= 1 && f.freeTokens >= req.tokenDemand
}

// run starts the requests of all queues by the scheduler's rules until each one has a predicted finish.
func (f *forecast) run(queues []forecastQueue, newReq *liveRequest, p *prediction) {
	for {
		started, waiting, wake := false, false, float64(-1)
		for n := range queues {
			q := &queues[n]
			for req := q.head(); req != nil; req = q.head() {
				waiting = true
				if q.nextStart > f.clock {
					if wake < 0 || q.nextStart < wake {
						wake = q.nextStart
					}
					break
				}
				if !f.fits(req) && len(f.allocations) > 0 {
					if len(queues) > 1 && (f.blocked == nil || req.prefillDue.Before(f.blocked.prefillDue)) {
						f.blocked = req
					}
					break
				}
				f.start(q, req, newReq, p)
				started = true
			}
		}
		if !waiting {
			f.scheduler.scratch = f.allocations
			return
		}
		if started {
			continue
		}
		last := len(f.allocations) - 1
		if last < 0 {
			f.clock = max(f.clock, wake)
			continue
		}
		if earliest := f.allocations[last]; wake < 0 || earliest.end <= wake {
			f.clock = max(f.clock, earliest.end)
			f.freeTokens += earliest.tokens
			f.freeSlots++
			f.allocations = f.allocations[:last]
		} else {
			f.clock = wake
		}
	}
}

func (f *forecast) start(q *forecastQueue, req, newReq *liveRequest, p *prediction) {
	if f.blocked == req {
		f.blocked = nil
	}
	f.freeTokens -= req.tokenDemand
	f.freeSlots--
	q.advance(req)
	finish := f.addRunning(q, req)
	if req == newReq {
		f.newStarted = true
		p.start, p.finish = seconds(f.clock), seconds(finish)
		return
	}
	// The new request does not delay requests that start before it, unless their class is longer.
	if f.newStarted || req.class > newReq.class {
		p.lateness = max(p.lateness, f.lateness(finish, req))
	}
}

// lateness returns by how much other misses its deadline if it finishes at finish, in seconds from now, or zero if
// it is on time. A request that would be late even on an idle engine is ignored, because it would otherwise block
// all others for as long as it waits. This check uses the full prefill rate: without the short share, a long
// request whose slack is used up would be ignored although it can still finish in time.
func (f *forecast) lateness(finish float64, other *liveRequest) time.Duration {
	if other.stage == stageCancelling || (other.remainingPrefill == 0 && other.stage != stageQueued) {
		return 0
	}
	budget := other.deadlineOffset - f.startOffset
	late := finish*(1+predictionMargin/2) - budget
	if late <= 0 || f.scheduler.serviceSeconds(other, f.scheduler.prefillRate.perSecond()) > budget {
		return 0
	}
	return seconds(late)
}

func seconds(s float64) time.Duration {
	const maxDuration = float64(1 << 62)
	return time.Duration(min(s*float64(time.Second), maxDuration))
}
