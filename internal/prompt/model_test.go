package prompt

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/internal/worker"
	"berylward.example/berylward/pkg/answer"
)

// Parameters of the engine model that simulate uses.
const (
	// modelPrefillRate is the prefill rate of the whole engine in tokens per second.
	modelPrefillRate = 10_000.0
	// modelDecodeRate is the decode rate of one stream in tokens per second. Prefills do not slow it down.
	modelDecodeRate = 30.0
	// modelChunkTokens is the number of tokens of one prefill step. A step is not interrupted.
	modelChunkTokens = 512
	// modelMemoryTokens is the memory in tokens. Two of the longest prompts of mixedArrivals do not fit together.
	modelMemoryTokens = 1_000_000
	// modelMaxRequests bounds the requests in flight.
	modelMaxRequests = 64
)

// arrival is one request of an open-loop simulation. Generate is the number of tokens that it generates, which may be
// less than its MaxTokens.
type arrival struct {
	At       time.Time
	Request  Request
	Generate int64
}

// record is the result of one arrival. First and Finish are measured from its arrival.
type record struct {
	Class         Class
	Done          bool
	Refused       answer.Reason
	Expired       bool
	First, Finish time.Duration
}

// mixedArrivals returns random open-loop arrivals whose prompts need the fraction load of the model's prefill rate.
// Of 50 requests, 40 are short, 9 are medium and 1 is long; docs/design.md states one prompt in 50 over 100,000
// tokens. Within each class, lengths are log-uniform; overall they range from 1,000 to 500,000 tokens. The sequence
// number of a request is its index plus one.
func mixedArrivals(seed uint64, load float64, start time.Time, length time.Duration) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	sizes := [numClasses]struct {
		low, high, weight float64
		generate          int64
		deadline          time.Duration
	}{
		{1_000, 8_000, 0.80, 128, 15 * time.Second},
		{8_001, 100_000, 0.18, 256, 90 * time.Second},
		{100_001, 500_000, 0.02, 512, 10 * time.Minute},
	}
	mean := 0.0
	for _, s := range sizes {
		mean += s.weight * (s.high - s.low) / math.Log(s.high/s.low)
	}
	var all []arrival
	for at := time.Duration(0); ; {
		at += seconds(r.ExpFloat64() * mean / (load * modelPrefillRate))
		if at > length {
			return all
		}
		c, x := Short, r.Float64()
		for c < Long && x >= sizes[c].weight {
			x -= sizes[c].weight
			c++
		}
		s := sizes[c]
		length := int64(s.low * math.Pow(s.high/s.low, r.Float64()))
		all = append(all, arrival{
			At: start.Add(at),
			Request: Request{
				ID:           answer.ID{Sequence: uint64(len(all) + 1), Attempt: 1},
				Workspace:    []string{"bookings", "ledgers", "reports"}[r.IntN(3)],
				PromptTokens: length,
				MaxTokens:    s.generate,
				Deadline:     start.Add(at + s.deadline),
			},
			Generate: s.generate/4 + r.Int64N(s.generate*3/4),
		})
	}
}

// modelStream is one stream in the engine model.
type modelStream struct {
	index     int
	lease     Lease
	remaining int64
	suspended bool
	end       time.Time
}

type simulation struct {
	arrivals  []arrival
	records   []record
	scheduler *Scheduler
	streams   []*modelStream
	next      int
	// step is the stream of the current prefill step, which ends at stepEnd.
	step       *modelStream
	stepEnd    time.Time
	stepTokens int64
}

// simulate runs a scheduler in virtual time against an engine model. The model runs one prefill step at a time, for the
// stream with the highest priority and, among equals, the one that began first. Decoding runs in parallel. It returns
// one record for each arrival, and an error when the scheduler breaks one of its own rules.
func simulate(arrivals []arrival, opts ...Option) ([]record, error) {
	reservations := memory.NewReservationTable(modelMemoryTokens)
	limits := worker.Limits{Tokens: modelMemoryTokens, Requests: modelMaxRequests}
	opts = append([]Option{WithRates(modelPrefillRate, modelDecodeRate), WithSuspend(5 * time.Second)}, opts...)
	s := &simulation{
		arrivals: arrivals, records: make([]record, len(arrivals)),
		scheduler: NewScheduler(reservations, worker.NewWindow(limits, limits), opts...),
	}
	for now := s.nextEventTime(); !now.IsZero(); now = s.nextEventTime() {
		s.endStep(now)
		s.endStreams(now)
		if err := s.offer(now); err != nil {
			return nil, err
		}
		for _, a := range s.scheduler.NextActions(now) {
			if err := s.apply(now, a); err != nil {
				return nil, err
			}
		}
		if reservations.Used() > reservations.Limit() {
			return nil, fmt.Errorf("prompt: simulate: %d tokens reserved of %d", reservations.Used(), reservations.Limit())
		}
		s.beginStep(now)
	}
	return s.records, nil
}

// nextEventTime returns the time of the next event, or the zero time if there is none.
func (s *simulation) nextEventTime() time.Time {
	var now time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (now.IsZero() || at.Before(now)) {
			now = at
		}
	}
	if s.next < len(s.arrivals) {
		consider(s.arrivals[s.next].At)
	}
	consider(s.stepEnd)
	consider(s.scheduler.NextWakeup())
	for _, m := range s.streams {
		consider(m.end)
	}
	return now
}

func (s *simulation) beginStep(now time.Time) {
	if s.step != nil {
		return
	}
	for _, m := range s.streams {
		if m.remaining > 0 && !m.suspended && (s.step == nil || m.lease.Priority > s.step.lease.Priority) {
			s.step = m
		}
	}
	if s.step != nil {
		s.stepTokens = min(modelChunkTokens, s.step.remaining)
		s.stepEnd = now.Add(seconds(float64(s.stepTokens) / modelPrefillRate))
	}
}

func (s *simulation) endStep(now time.Time) {
	m := s.step
	if m == nil || now.Before(s.stepEnd) {
		return
	}
	m.remaining -= s.stepTokens
	arrival := s.arrivals[m.index]
	progress := ProgressReport{Prefilled: arrival.Request.Uncached() - m.remaining}
	if m.remaining == 0 {
		progress.Generated = 1
		s.records[m.index].First = now.Sub(arrival.At)
		m.end = now.Add(seconds(float64(arrival.Generate) / modelDecodeRate))
	}
	s.scheduler.Progress(now, m.lease.ID, progress)
	s.step, s.stepEnd = nil, time.Time{}
}

func (s *simulation) endStreams(now time.Time) {
	for _, m := range slices.Clone(s.streams) {
		if !m.end.IsZero() && !now.Before(m.end) {
			s.records[m.index].Done, s.records[m.index].Finish = true, now.Sub(s.arrivals[m.index].At)
			s.scheduler.Finished(now, m.lease.ID, FinishReport{Complete: true, Generated: s.arrivals[m.index].Generate})
			s.remove(m.lease.ID)
		}
	}
}

func (s *simulation) offer(now time.Time) error {
	for ; s.next < len(s.arrivals) && !now.Before(s.arrivals[s.next].At); s.next++ {
		q := s.arrivals[s.next].Request
		s.records[s.next].Class = DefaultClassBounds.ClassOf(q.Uncached())
		switch v := s.scheduler.Offer(now, q).(type) {
		case Grant:
			if err := s.begin(now, v.Lease); err != nil {
				return err
			}
		case Refuse:
			s.records[s.next].Refused = v.Reason
		case Queued:
		}
	}
	return nil
}

func (s *simulation) apply(now time.Time, a Action) error {
	switch a := a.(type) {
	case Start:
		return s.begin(now, a.Lease)
	case Expire:
		s.records[a.ID.Sequence-1].Expired = true
		if _, ran := a.Outcome.(answer.Unknown); ran {
			s.scheduler.Finished(now, a.ID, FinishReport{})
			s.remove(a.ID)
		}
	case Suspend:
		s.setSuspended(a.ID, true)
	case Resume:
		s.setSuspended(a.ID, false)
	}
	return nil
}

func (s *simulation) begin(now time.Time, l Lease) error {
	if !s.scheduler.Begin(now, l.ID) {
		return fmt.Errorf("prompt: simulate: Begin rejected the new lease of %s", l.ID)
	}
	n := int(l.ID.Sequence) - 1
	s.streams = append(s.streams, &modelStream{index: n, lease: l, remaining: s.arrivals[n].Request.Uncached()})
	return nil
}

func (s *simulation) setSuspended(id answer.ID, suspended bool) {
	for _, m := range s.streams {
		if m.lease.ID == id {
			m.suspended = suspended
		}
	}
}

func (s *simulation) remove(id answer.ID) {
	s.streams = slices.DeleteFunc(s.streams, func(m *modelStream) bool { return m.lease.ID == id })
}

// comparison holds the results of compareWithShortAlone. A slowdown is the 99th percentile, over all short
// requests, of the time in the mixed run divided by the time of the same request in a run of the short requests
// alone.
type comparison struct {
	// Slowdown compares the completion times, FirstSlowdown the times to first token.
	Slowdown, FirstSlowdown float64
	// FirstMedian and FirstP99 are the times to first token of short requests.
	FirstMedian, FirstP99 time.Duration
	// Offered, Refused and Late count requests by class. Late counts admitted requests that missed their deadline.
	Offered, Refused, Late [numClasses]int
	// Tokens counts the prompt tokens of the requests that ended in time, by class.
	Tokens [numClasses]int64
}

// compareWithShortAlone simulates the arrivals, and their short requests alone, with the same options.
func compareWithShortAlone(arrivals []arrival, opts ...Option) (comparison, error) {
	var result comparison
	together, err := simulate(arrivals, opts...)
	if err != nil {
		return result, err
	}
	var short []arrival
	var indexes []int
	for n, r := range together {
		result.Offered[r.Class]++
		switch {
		case r.Refused != "":
			result.Refused[r.Class]++
		case !r.Done || r.Finish > arrivals[n].Request.Deadline.Sub(arrivals[n].At):
			result.Late[r.Class]++
		default:
			result.Tokens[r.Class] += arrivals[n].Request.Uncached()
		}
		if r.Class == Short {
			a := arrivals[n]
			a.Request.ID.Sequence = uint64(len(short) + 1)
			short, indexes = append(short, a), append(indexes, n)
		}
	}
	alone, err := simulate(short, opts...)
	if err != nil {
		return result, err
	}
	var slowdowns, firstSlowdowns []float64
	var firstTokenTimes []time.Duration
	for n, a := range alone {
		if r := together[indexes[n]]; r.Done && a.Done {
			slowdowns = append(slowdowns, r.Finish.Seconds()/a.Finish.Seconds())
			firstSlowdowns = append(firstSlowdowns, r.First.Seconds()/a.First.Seconds())
			firstTokenTimes = append(firstTokenTimes, r.First)
		}
	}
	result.Slowdown, result.FirstSlowdown = percentile(slowdowns, 0.99), percentile(firstSlowdowns, 0.99)
	result.FirstMedian, result.FirstP99 = percentile(firstTokenTimes, 0.5), percentile(firstTokenTimes, 0.99)
	return result, nil
}

func percentile[T float64 | time.Duration](values []T, p float64) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(float64(len(values))*p), len(values)-1)]
}
