package prompt

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/internal/worker"
	"berylward.example/berylward/pkg/answer"
)

// TestSchedulerInvariants checks under random calls that memory and window stay within their limits, that nothing
// is granted after a drain, that no request is live after its deadline, and that "not run" is only reported for
// requests that did not run.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reservations := memory.NewReservationTable(400_000)
		window := worker.NewWindow(worker.Limits{Tokens: 20_000, Requests: 2}, worker.Limits{Tokens: 400_000, Requests: 8})
		opts := []Option{WithQueueLimit(20), WithSuspend(time.Second), WithTombstones(64, 30*time.Second)}
		if rapid.Bool().Draw(t, "single") {
			opts = append(opts, WithSingleQueue())
		}
		s := NewScheduler(reservations, window, opts...)
		now, draining, count := epoch, false, 0
		live, granted, begun := map[answer.ID]time.Time{}, map[answer.ID]bool{}, map[answer.ID]bool{}
		grant := func(l Lease) {
			assert.Assert(t, !draining && !granted[l.ID] && !s.NotRun(l.ID))
			in, limits := window.InFlight(), window.Limits()
			assert.Assert(t, in.Tokens <= limits.Tokens && in.Requests <= limits.Requests)
			granted[l.ID] = true
			if rapid.IntRange(0, 9).Draw(t, "begin") > 0 {
				assert.Assert(t, s.Begin(now, l.ID))
				begun[l.ID] = true
			}
		}
		handle := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Start:
					grant(a.Lease)
				case Expire:
					_, ran := a.Outcome.(answer.Unknown)
					assert.Assert(t, ran == begun[a.ID] && ran != s.NotRun(a.ID))
					delete(live, a.ID)
				case Suspend, Resume:
				}
			}
		}
		id := func() answer.ID { return testID(rapid.IntRange(1, max(count, 1)).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				count++
				size := rapid.SampledFrom([]int64{500, 8_000, 9_000, 90_000, 150_000}).Draw(t, "size")
				q := request(count, size, rapid.Int64Range(0, 200).Draw(t, "generate"), 0)
				q.Workspace = fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "workspace"))
				q.Deadline = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "deadline")) * time.Second)
				switch v := s.Offer(now, q).(type) {
				case Grant:
					live[q.ID] = q.Deadline
					grant(v.Lease)
				case Queued:
					live[q.ID] = q.Deadline
				case Refuse:
				}
			},
			"progress": func(*rapid.T) { s.Progress(now, id(), ProgressReport{Prefilled: 5_000}) },
			"generate": func(*rapid.T) { s.Progress(now, id(), ProgressReport{Generated: 20}) },
			"finish": func(t *rapid.T) {
				if id := id(); begun[id] {
					s.Finished(now, id, FinishReport{Complete: rapid.Bool().Draw(t, "complete")})
					delete(live, id)
				}
			},
			"cancel": func(*rapid.T) {
				id := id()
				_, notRun := s.Cancel(now, id).(CancelledNotRun)
				assert.Assert(t, !notRun || (!begun[id] && s.NotRun(id)))
				delete(live, id)
			},
			"drain":     func(*rapid.T) { draining = true; handle(s.Drain(now)) },
			"end drain": func(*rapid.T) { draining = false; s.EndDrain() },
			"engine failed": func(*rapid.T) {
				handle(s.EngineFailed(now))
				assert.Assert(t, s.ActiveCount() == 0 && s.QueuedCount() == 0)
			},
			"wait": func(t *rapid.T) {
				end := now.Add(time.Duration(rapid.IntRange(0, 5_000).Draw(t, "ms")) * time.Millisecond)
				for wake := s.NextWakeup(); !wake.IsZero() && wake.Before(end); wake = s.NextWakeup() {
					now = maxTime(now, wake)
					handle(s.NextActions(now))
					assert.Assert(t, s.NextWakeup().IsZero() || s.NextWakeup().After(now), "NextActions at NextWakeup changed nothing")
				}
				now = end
				handle(s.NextActions(now))
				assert.Assert(t, draining || s.ActiveCount() > 0 || s.QueuedCount() == 0, "idle although requests are queued")
			},
			"": func(t *rapid.T) {
				for id, deadline := range live {
					assert.Assert(t, !now.After(deadline), "%s live after its deadline", id)
				}
				assert.Assert(t, reservations.Used() <= reservations.Limit())
				assert.Assert(t, s.singleQueue || reservations.BulkUsed() <= reservations.BulkLimit())
				assert.Assert(t, len(s.ended.records) <= s.ended.limit && s.QueuedCount() <= s.queueLimit)
				assert.Equal(t, reservations.Len(), s.ActiveCount())
				pendingPrefill, queued := [numClasses]int64{}, 0
				for _, req := range s.active {
					pendingPrefill[req.class] += req.remainingPrefill
				}
				for _, q := range s.queues {
					queued += len(q)
				}
				assert.Assert(t, pendingPrefill == s.pendingPrefill && queued == s.queuedCount && s.runningPrefills >= 0)
			},
		})
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func checkNoStarvation(t assert.TestingT, seed uint64, load float64) {
	all := mixedArrivals(seed, load, epoch, 10*time.Minute)
	records, err := simulate(all)
	assert.NilError(t, err)
	for n, r := range records {
		inTime := r.Done && r.Finish <= all[n].Request.Deadline.Sub(all[n].At)
		assert.Assert(t, (r.Refused != "") != inTime && !r.Expired, "request %d: %+v", n, r)
	}
}

// TestNoStarvation guards against an admitted request of any class that does not finish in time, at any load. The
// named cases are faults that the random cases found: a long request without slack was ignored by later
// predictions, two long requests that do not fit together were both admitted, and fair queueing selected a request
// that had to yield to a blocked one.
func TestNoStarvation(t *testing.T) {
	tests := map[string]struct {
		seed uint64
		load float64
	}{"no slack": {1, 1.5}, "do not fit together": {1, 1.875}, "yields to a blocked request": {0xed41997a29e, 1.015625}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { checkNoStarvation(t, test.seed, test.load) })
	}
	t.Run("random", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			checkNoStarvation(t, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0.3, 2).Draw(t, "load"))
		})
	})
}

// BenchmarkScheduler measures one Offer, and one NextActions with one start, with a number of queued requests.
func BenchmarkScheduler(b *testing.B) {
	for _, queued := range []int{10, 1_000, 10_000} {
		for _, name := range []string{"Offer", "NextActions"} {
			b.Run(fmt.Sprintf("%s/%d", name, queued), func(b *testing.B) {
				s := newTestScheduler(WithQueueLimit(2*queued), WithPrefillAhead(time.Hour), WithTombstones(1<<30, 0))
				limits := worker.Limits{Tokens: 1 << 40, Requests: 8}
				s.window = worker.NewWindow(limits, limits)
				for n := range queued + 8 {
					q := request(n+1, int64(1_000+n%7_000), 10, 100*time.Hour)
					q.Workspace = fmt.Sprint(n % 20)
					s.Offer(epoch, q)
				}
				assert.Equal(b, s.QueuedCount(), queued)
				n := queued + 8
				b.ReportAllocs()
				for b.Loop() {
					n++
					q := request(n, 4_000, 10, 100*time.Hour)
					q.Workspace = "w"
					if name == "Offer" {
						if _, ok := s.Offer(epoch, q).(Queued); !ok {
							b.Fatal("not queued")
						}
						b.StopTimer()
						s.Cancel(epoch, q.ID)
						b.StartTimer()
						continue
					}
					b.StopTimer()
					first := s.active[0]
					s.Begin(epoch, first.ID)
					s.Finished(epoch, first.ID, FinishReport{Complete: true})
					b.StartTimer()
					if len(s.NextActions(epoch)) != 1 {
						b.Fatal("no start")
					}
					b.StopTimer()
					s.Offer(epoch, q)
					b.StartTimer()
				}
			})
		}
	}
}
