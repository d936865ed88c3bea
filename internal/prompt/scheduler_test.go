package prompt

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/internal/worker"
	"berylward.example/berylward/pkg/answer"
)

var epoch = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

func testID(n int) answer.ID { return answer.ID{Sequence: uint64(n), Attempt: 1} }

func request(n int, uncached, generate int64, deadline time.Duration) Request {
	return Request{
		ID: testID(n), Workspace: "cuenca", PromptTokens: uncached, MaxTokens: generate, Deadline: epoch.Add(deadline),
	}
}

func newTestScheduler(opts ...Option) *Scheduler {
	reservations := memory.NewReservationTable(1_000_000, memory.WithHeadroom(0))
	limits := worker.Limits{Tokens: 1_000_000, Requests: 64}
	return NewScheduler(reservations, worker.NewWindow(limits, limits), opts...)
}

// Guards against a caller who is told to come back at a time that has nothing to do with when there is room for its request: the
// table of ended requests has room again when its oldest record is dropped.
func TestRetryAfterFullTable(t *testing.T) {
	s := newTestScheduler(WithTombstones(2, 30*time.Second))
	s.Cancel(epoch, testID(8))
	s.Offer(epoch.Add(10*time.Second), request(9, 1000, 30, time.Minute))
	got := s.Offer(epoch.Add(12*time.Second), request(1, 1000, 30, time.Minute))
	assert.Equal(t, got, AdmissionDecision(Refuse{Reason: answer.ReasonOverloaded, RetryAfter: 18 * time.Second}))
}

// TestOffer guards against queueing a request that cannot finish in time, and against a decision that claims more or
// less than the scheduler knows.
func TestOffer(t *testing.T) {
	tests := map[string]struct {
		before  func(s *Scheduler)
		request Request
		want    AdmissionDecision
	}{
		"idle scheduler grants": {
			request: request(1, 1000, 30, time.Minute),
			want:    Grant{Lease{ID: testID(1), Until: epoch.Add(3 * time.Second), Class: Short, Priority: 2002}},
		},
		"long has the lowest engine priority": {
			request: request(1, 200_000, 30, time.Minute),
			want:    Grant{Lease{ID: testID(1), Until: epoch.Add(3 * time.Second), Class: Long, Priority: 0}},
		},
		"larger than the memory": {
			request: request(1, 760_000, 30, time.Hour),
			want:    Refuse{Reason: answer.ReasonTooLarge},
		},
		"cannot finish by its deadline on an idle engine": {
			request: request(1, 200_000, 30, 20*time.Second),
			want:    Refuse{Reason: answer.ReasonDeadline},
		},
		"cannot finish after the running requests": {
			before:  func(s *Scheduler) { s.Offer(epoch, request(2, 90_000, 0, time.Minute)) },
			request: request(1, 75_000, 0, 15*time.Second),
			want:    Refuse{Reason: answer.ReasonDeadline, RetryAfter: 9_200 * time.Millisecond},
		},
		"queued behind its class": {
			before:  func(s *Scheduler) { s.Offer(epoch, request(2, 8_000, 0, time.Minute)) },
			request: request(1, 8_000, 0, time.Minute),
			// The first prefill takes 800 ms, and the next one is sent to the engine 500 ms before its end.
			want: Queued{Position: 0, Start: epoch.Add(300 * time.Millisecond)},
		},
		"short request does not wait for a long one": {
			before:  func(s *Scheduler) { s.Offer(epoch, request(2, 200_000, 0, time.Minute)) },
			request: request(1, 8_000, 0, time.Second),
			want:    Grant{Lease{ID: testID(1), Until: epoch.Add(time.Second), Class: Short, Priority: 2002}},
		},
		"short request would make an admitted long one late": {
			before: func(s *Scheduler) {
				s.Offer(epoch, request(2, 200_000, 0, 30*time.Second))
				// (20 s + 11 × 0.8 s) × 1.05 exceeds the 30 s of the long request by 240 ms.
				for n := range 20 {
					s.Offer(epoch, request(3+n, 8_000, 0, time.Minute))
				}
			},
			request: request(1, 8_000, 0, time.Minute),
			want:    Refuse{Reason: answer.ReasonOverloaded, RetryAfter: 240 * time.Millisecond},
		},
		// Each request needs more than half of the 750,000 tokens for long requests, so the second one starts at 72
		// s and ends at 144 s × 1.1. A sum of the prefill times would predict (104 + 20) s × 1.1 and admit it.
		"two long requests that do not fit together": {
			before:  func(s *Scheduler) { s.Offer(epoch, request(2, 390_000, 600, 5*time.Minute)) },
			request: request(1, 390_000, 600, 140*time.Second),
			want:    Refuse{Reason: answer.ReasonDeadline, RetryAfter: 18_400 * time.Millisecond},
		},
		"draining": {
			before:  func(s *Scheduler) { s.Drain(epoch) },
			request: request(1, 1000, 30, time.Minute),
			want:    Refuse{Reason: answer.ReasonDraining},
		},
		"cancelled before its offer": {
			before:  func(s *Scheduler) { s.Cancel(epoch, testID(1)) },
			request: request(1, 1000, 30, time.Minute),
			want:    Refuse{Reason: answer.ReasonCancelled},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler()
			if test.before != nil {
				test.before(s)
			}
			assert.DeepEqual(t, s.Offer(epoch, test.request), test.want)
		})
	}
}

// TestCancel guards against reporting "not run" for a request that ran, and against running a request that was
// reported as not run.
func TestCancel(t *testing.T) {
	begin := func(s *Scheduler) { s.Offer(epoch, request(1, 1000, 30, time.Minute)); s.Begin(epoch, testID(1)) }
	finish := func(s *Scheduler) { begin(s); s.Finished(epoch, testID(1), FinishReport{Complete: true}) }
	tests := map[string]struct {
		before func(s *Scheduler)
		after  time.Duration
		want   Cancellation
	}{
		"never offered":         {func(*Scheduler) {}, 0, CancelledNotRun{}},
		"granted and not begun": {func(s *Scheduler) { s.Offer(epoch, request(1, 1000, 30, time.Minute)) }, 0, CancelledNotRun{}},
		"begun":                 {begin, 0, CancelledRunning{}},
		"finished":              {finish, 0, CancelledUnknown{}},
		"finished long ago":     {finish, time.Hour, CancelledUnknown{}},
		"lost with the engine":  {func(s *Scheduler) { begin(s); s.EngineFailed(epoch) }, 0, CancelledUnknown{}},
		"expired lease": {func(s *Scheduler) {
			s.Offer(epoch, request(1, 1000, 30, time.Minute))
			s.NextActions(epoch.Add(3 * time.Second))
		}, 0, CancelledNotRun{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler()
			test.before(s)
			now := epoch.Add(test.after)
			got := s.Cancel(now, testID(1))
			assert.DeepEqual(t, got, test.want)
			s.Offer(now, request(1, 1000, 30, 2*time.Hour))
			_, notRun := got.(CancelledNotRun)
			assert.Assert(t, !notRun || !s.Begin(now, testID(1)))
		})
	}
}

// TestShares guards against long requests that take the whole window, and against one workspace that takes the
// whole queue or all starts.
func TestShares(t *testing.T) {
	starts := func(s *Scheduler, now time.Time) (order []string) {
		for _, a := range s.NextActions(now) {
			if start, ok := a.(Start); ok {
				order = append(order, s.requests[start.Lease.ID].Workspace)
			}
		}
		return order
	}
	s := newTestScheduler(WithQueueLimit(8), WithPrefillAhead(time.Hour))
	limits := worker.Limits{Tokens: 1_000_000, Requests: 4}
	s.window = worker.NewWindow(limits, limits)
	granted := 0
	for n := range 4 {
		if _, ok := s.Offer(epoch, request(100+n, 9_000, 0, time.Hour)).(Grant); ok {
			granted++
		}
	}
	assert.Equal(t, granted, 3, "requests that are not short may take three of four slots")
	_, ok := s.Offer(epoch, request(1, 8_000, 0, time.Hour)).(Grant)
	assert.Assert(t, ok, "the slot of the short share is free")
	queued := map[string]int{}
	for n := range 12 {
		q := request(2+n, 8_000, 0, time.Hour)
		if q.Workspace = "crowd"; n%6 == 5 {
			q.Workspace = "quiet"
		}
		if _, ok := s.Offer(epoch, q).(Queued); ok {
			queued[q.Workspace]++
		}
	}
	assert.DeepEqual(t, queued, map[string]int{"crowd": 4, "quiet": 2})
	var order []string
	for len(s.active) > 0 && s.QueuedCount() > 1 {
		id := s.active[len(s.active)-1].ID
		s.Begin(epoch, id)
		s.Finished(epoch, id, FinishReport{Complete: true})
		order = append(order, starts(s, epoch)...)
	}
	// Workspaces within 10,000 tokens of each other count as equal, and the earlier arrival goes first.
	assert.DeepEqual(t, order, []string{"crowd", "crowd", "quiet", "crowd", "quiet", "crowd"})
}

// TestSuspend guards against a long prefill that has slack but is not suspended beside short ones, and against one
// that stays suspended when its slack is used up.
func TestSuspend(t *testing.T) {
	s := newTestScheduler(WithSuspend(time.Second))
	s.Offer(epoch, request(1, 200_000, 0, 40*time.Second))
	s.Begin(epoch, testID(1))
	s.Offer(epoch, request(2, 8_000, 0, 100*time.Second))
	assert.DeepEqual(t, s.NextActions(epoch), []Action{Suspend{testID(1)}})
	s.Begin(epoch, testID(2))
	// 200,000 tokens at 7,500/s take 26.7 s. With the margin of 10 % and 1 s of slack, the prefill must resume at
	// 9.7 s.
	wake := s.NextWakeup()
	assert.Equal(t, wake.Sub(epoch).Round(time.Millisecond), 9_667*time.Millisecond)
	assert.DeepEqual(t, s.NextActions(wake), []Action{Resume{testID(1)}})
}

// TestSuspendSlack guards against a long prefill that is suspended so late that it must resume soon after: it needs twice the
// slack at which it resumes.
func TestSuspendSlack(t *testing.T) {
	// 200,000 tokens at 7,500/s take 26.7 s, and 29.3 s with the margin of 10 %.
	const need = 29_333 * time.Millisecond
	cases := map[string]struct {
		slack     time.Duration
		suspended bool
	}{
		"below the slack of a resume": {900 * time.Millisecond, false},
		"below twice that":            {1900 * time.Millisecond, false},
		"above twice that":            {2100 * time.Millisecond, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler(WithSuspend(time.Second))
			s.Offer(epoch, request(1, 200_000, 0, need+tc.slack))
			s.Begin(epoch, testID(1))
			s.Offer(epoch, request(2, 8_000, 0, 100*time.Second))
			assert.Equal(t, slices.Contains(s.NextActions(epoch), Action(Suspend{testID(1)})), tc.suspended)
		})
	}
}

// TestRefusedRequestBlocksNothing guards against a request that was refused because the queue is full but still
// counts as blocked, so that requests with a later prefill due time have to yield to it.
func TestRefusedRequestBlocksNothing(t *testing.T) {
	s := newTestScheduler(WithQueueLimit(0))
	limits := worker.Limits{Tokens: 1_000_000, Requests: 1}
	s.window = worker.NewWindow(limits, limits)
	s.Offer(epoch, request(1, 9_000, 0, time.Hour))
	assert.DeepEqual(t, s.Offer(epoch, request(2, 200_000, 0, time.Hour)), Refuse{answer.ReasonOverloaded, 1200 * time.Millisecond})
	s.Begin(epoch, testID(1))
	s.Finished(epoch, testID(1), FinishReport{Complete: true})
	_, ok := s.Offer(epoch, request(3, 9_000, 0, 2*time.Hour)).(Grant)
	assert.Assert(t, ok)
}

// TestRates guards against predictions that keep using a wrong declared rate.
func TestRates(t *testing.T) {
	s := newTestScheduler(WithRates(20_000, 60))
	now := epoch
	for n := range 120 {
		s.Offer(now, request(n+1, 10_000, 100, time.Hour))
		s.Begin(now, testID(n+1))
		now = now.Add(time.Second)
		s.Progress(now, testID(n+1), ProgressReport{Generated: 1})
		now = now.Add(time.Second)
		s.Finished(now, testID(n+1), FinishReport{Complete: true, Generated: 31})
	}
	prefill, decode := s.prefillRate.perSecond(), s.decodeRate.perSecond()
	assert.Assert(t, prefill > 9_800 && prefill < 10_200, "%.0f tokens/s", prefill)
	assert.Assert(t, decode > 29 && decode < 31, "%.1f tokens/s", decode)
}
