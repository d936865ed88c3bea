package prompt

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"berylward.example/berylward/pkg/answer"
)

type stage int

const (
	stageQueued stage = iota
	stageGranted
	stageBegun
	// stageCancelling means that the cancellation of a begun request was ordered and its end has not been reported
	// yet.
	stageCancelling
)

// flow is the traffic of one workspace in one class, for weighted fair queueing. service is the number of prefill
// tokens granted so far, divided by the weight.
type flow struct {
	service      float64
	liveRequests int
}

type flowKey struct {
	class     Class
	workspace string
}

type liveRequest struct {
	Request
	class   Class
	stage   stage
	arrival uint64
	// prefillDue is the latest time at which the prefill can end and still leave time for the whole generation.
	prefillDue time.Time
	// tokenDemand and deadlineOffset are the values of tokens and Deadline that the forecast uses: a float, and the
	// seconds since the scheduler's origin.
	tokenDemand, deadlineOffset float64
	remainingPrefill            int64
	remainingDecode             int64
	windowCharge                int64
	suspended                   bool
	reportedAt                  time.Time
	flow                        *flow
	expiry                      time.Time
	heapIndex                   int
}

func (r *liveRequest) tokens() int64 { return r.Uncached() + r.MaxTokens }

func (r *liveRequest) weight() float64 { return float64(max(r.Weight, 1)) }

// byPrefillDue orders requests by prefill due time, then by arrival.
func byPrefillDue(a, b *liveRequest) int {
	return cmp.Or(a.prefillDue.Compare(b.prefillDue), cmp.Compare(a.arrival, b.arrival))
}

func byArrival(a, b *liveRequest) int { return cmp.Compare(a.arrival, b.arrival) }

func (s *Scheduler) queuePosition(req *liveRequest) int {
	i, _ := slices.BinarySearchFunc(s.queues[req.class], req, s.compare)
	return i
}

func (s *Scheduler) enqueue(req *liveRequest) {
	s.queues[req.class] = slices.Insert(s.queues[req.class], s.queuePosition(req), req)
	s.queuedCount++
	s.queuedByWorkspace[req.Workspace]++
}

func (s *Scheduler) dequeue(req *liveRequest) {
	i := s.queuePosition(req)
	s.queues[req.class] = slices.Delete(s.queues[req.class], i, i+1)
	s.queuedCount--
	if s.queuedByWorkspace[req.Workspace]--; s.queuedByWorkspace[req.Workspace] == 0 {
		delete(s.queuedByWorkspace, req.Workspace)
	}
	if s.blocked == req {
		s.blocked = nil
	}
}

func (s *Scheduler) admit(req *liveRequest) {
	key := flowKey{req.class, req.Workspace}
	f, ok := s.flows[key]
	if !ok {
		// A workspace that had no requests starts at the current virtual time, so that it cannot accumulate unused
		// service.
		f = &flow{service: s.virtualTime[req.class]}
		s.flows[key] = f
	}
	f.liveRequests++
	req.flow = f
	s.requests[req.ID] = req
	heap.Push(&s.expiries, req)
}

func (s *Scheduler) remove(req *liveRequest) {
	delete(s.requests, req.ID)
	if req.heapIndex >= 0 {
		heap.Remove(&s.expiries, req.heapIndex)
	}
	if req.flow.liveRequests--; req.flow.liveRequests == 0 {
		delete(s.flows, flowKey{req.class, req.Workspace})
	}
}

func (s *Scheduler) setExpiry(req *liveRequest, expiry time.Time) {
	req.expiry = expiry
	if req.heapIndex >= 0 {
		heap.Fix(&s.expiries, req.heapIndex)
	}
}

// endNotStarted ends a request that never ran and leaves a tombstone.
func (s *Scheduler) endNotStarted(now time.Time, req *liveRequest) {
	switch req.stage {
	case stageQueued:
		s.dequeue(req)
	case stageGranted, stageBegun, stageCancelling:
		s.release(req)
	}
	s.remove(req)
	s.ended.add(now, req.ID, false)
}

// expiryHeap is a min-heap of live requests by the time at which NextActions must expire them.
type expiryHeap []*liveRequest

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	req := x.(*liveRequest)
	req.heapIndex = len(*h)
	*h = append(*h, req)
}

func (h *expiryHeap) Pop() any {
	old := *h
	req := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	req.heapIndex = -1
	return req
}

func notRun(r answer.Reason) answer.Outcome  { return answer.NotRun{Reason: r} }
func unknown(r answer.Reason) answer.Outcome { return answer.Unknown{Reason: r} }

func (h *expiryHeap) removeFirst() { heap.Pop(h) }
