package memory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"berylward.example/berylward/pkg/answer"
)

var epoch = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

func testID(n int) answer.ID { return answer.ID{Sequence: uint64(n), Attempt: 1} }

// TestReconcile guards against memory that stays reserved after a stream was lost, and against repairs of
// differences that come only from the lag of the engine's list.
func TestReconcile(t *testing.T) {
	type reading struct {
		after   time.Duration
		streams []Stream
		want    []Repair
	}
	tests := map[string]struct {
		reserved []ReservationRequest
		readings []reading
	}{
		"reservation without stream": {
			reserved: []ReservationRequest{{ID: testID(1), Prompt: 100}},
			readings: []reading{
				{4 * time.Second, nil, nil},
				{5 * time.Second, nil, []Repair{ReleaseReservation{ID: testID(1), Tokens: 100}}},
			},
		},
		"a listed stream restarts the grace period": {
			reserved: []ReservationRequest{{ID: testID(1), Prompt: 100}},
			readings: []reading{
				{4 * time.Second, []Stream{{testID(1)}}, nil},
				{8 * time.Second, nil, nil},
				{9 * time.Second, nil, []Repair{ReleaseReservation{ID: testID(1), Tokens: 100}}},
			},
		},
		"a lease without stream is kept until it ends": {
			reserved: []ReservationRequest{{ID: testID(1), Prompt: 100, Until: epoch.Add(20 * time.Second)}},
			readings: []reading{
				{24 * time.Second, nil, nil},
				{25 * time.Second, nil, []Repair{ReleaseReservation{ID: testID(1), Tokens: 100}}},
			},
		},
		"stream without a reservation is cancelled until it is gone": {
			readings: []reading{
				{time.Second, []Stream{{testID(2)}}, nil},
				{5 * time.Second, []Stream{{testID(2)}}, nil},
				{6 * time.Second, []Stream{{testID(2)}}, []Repair{CancelStream{testID(2)}}},
				{7 * time.Second, []Stream{{testID(2)}}, []Repair{CancelStream{testID(2)}}},
				{8 * time.Second, nil, nil},
				{9 * time.Second, []Stream{{testID(2)}}, nil},
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewReservationTable(1000)
			for _, req := range test.reserved {
				table.Reserve(epoch, req)
			}
			for _, r := range test.readings {
				assert.DeepEqual(t, table.Reconcile(epoch.Add(r.after), r.streams), r.want)
			}
		})
	}
}

// TestReservationTableInvariants guards against a sum above the limit, a bulk reservation in the short share, and a
// sum that differs from the reservations.
func TestReservationTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewReservationTable(rapid.Int64Range(0, 2000).Draw(t, "capacity"))
		now := epoch
		id := rapid.Custom(func(t *rapid.T) answer.ID { return testID(rapid.IntRange(1, 12).Draw(t, "id")) })
		size := rapid.Int64Range(0, 900)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				req := ReservationRequest{ID: id.Draw(t, "id"), Prompt: size.Draw(t, "prompt"), Short: rapid.Bool().Draw(t, "short")}
				table.Reserve(now, req)
			},
			"correct": func(t *rapid.T) {
				table.Correct(id.Draw(t, "id"), answer.Usage{PromptTokens: size.Draw(t, "p"), CachedTokens: size.Draw(t, "c")})
			},
			"release": func(t *rapid.T) { table.Release(id.Draw(t, "id")) },
			"reconcile": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
				var streams []Stream
				for _, id := range rapid.SliceOfN(id, 0, 12).Draw(t, "streams") {
					streams = append(streams, Stream{id})
				}
				table.Reconcile(now, streams)
			},
			"set incarnation": func(t *rapid.T) {
				if table.SetIncarnation(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "incarnation")) != nil {
					assert.Assert(t, table.Used() == 0 && table.Len() == 0)
				}
			},
			"": func(t *rapid.T) {
				sum, bulk := int64(0), int64(0)
				for _, r := range table.reservations {
					sum += r.tokens
					if !r.request.Short {
						bulk += r.tokens
					}
				}
				assert.Assert(t, sum == table.Used() && bulk == table.BulkUsed())
				assert.Assert(t, table.Used() <= table.Limit() && table.BulkUsed() <= table.BulkLimit())
			},
		})
	})
}

// TestCorrect guards against a reservation that does not follow the usage that the engine reports.
func TestCorrect(t *testing.T) {
	tests := map[string]struct {
		usage answer.Usage
		want  ReserveResult
		held  int64
	}{
		"shrinks":                            {answer.Usage{PromptTokens: 300, CachedTokens: 200}, Reserved{150}, 150},
		"grows":                              {answer.Usage{PromptTokens: 600}, Reserved{650}, 650},
		"grows by the available tokens only": {answer.Usage{PromptTokens: 800}, Insufficient{138}, 712},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewReservationTable(1000)
			table.Reserve(epoch, ReservationRequest{ID: testID(1), Prompt: 400, Generate: 50})
			assert.DeepEqual(t, table.Correct(testID(1), test.usage), test.want)
			held, _ := table.ReservedTokens(testID(1))
			assert.Equal(t, held, test.held)
		})
	}
}

// TestEstimator guards against an estimate below the engine's count when the bytes per token vary.
func TestEstimator(t *testing.T) {
	var e TokenEstimator
	assert.Equal(t, e.Tokens("m", 3000), int64(1000))
	for n := range 200 {
		e.Learn("m", 4000+int64(n%2)*1000, 1000)
	}
	got := e.Tokens("m", 4500)
	assert.Assert(t, got >= 1000 && got <= 1200, "%d tokens", got)
}

// TestGroup guards against a group that keeps a lease after it has failed, that runs with only some of its members,
// or that claims that a request did not run after a prefill.
func TestGroup(t *testing.T) {
	far := epoch.Add(time.Hour)
	job := GroupJob{ID: testID(1), Prompt: 1500, Generate: 100, Deadline: far, Prefill: 10, Decode: 10}
	candidates := []Candidate{{"c", 800}, {"a", 900}, {"b", 1000}}
	reserved := []Event{MemberReserved{1, "a", far}, MemberReserved{1, "b", far}}
	afterReserved := func(events ...Event) []Event { return append(append([]Event{}, reserved...), events...) }
	tests := map[string]struct {
		candidates []Candidate
		deadline   time.Duration
		events     []Event
		last       []Step
	}{
		"members are reserved in order of names": {candidates: candidates, last: []Step{ReserveMember{1, "a", 900}}},
		"not enough memory":                      {candidates: candidates[:1], last: []Step{Fail{answer.NotRun{Reason: answer.ReasonNoWorker}}}},
		"not enough time": {
			candidates: candidates, deadline: time.Minute, last: []Step{Fail{answer.NotRun{Reason: answer.ReasonDeadline}}},
		},
		"last member reserves room for the generation": {
			candidates: candidates, events: reserved[:1], last: []Step{ReserveMember{1, "b", 700}},
		},
		"prefill starts after all are reserved": {
			candidates: candidates, events: reserved, last: []Step{PrefillSegment{1, Segment{"a", 0, 900}}},
		},
		"refusal starts a new round": {
			candidates: candidates, events: append(reserved[:1:1], MemberRefused{1, "b"}),
			last: []Step{ReleaseAll{1, []string{"a", "b"}}, ReserveMember{2, "a", 900}},
		},
		"refusal without a replacement": {
			candidates: candidates[1:], events: append(reserved[:1:1], MemberRefused{1, "b"}),
			last: []Step{ReleaseAll{1, []string{"a", "b"}}, Fail{answer.NotRun{Reason: answer.ReasonOverloaded}}},
		},
		"cache is handed over": {
			candidates: candidates, events: afterReserved(SegmentPrefilled{1}), last: []Step{HandOver{1, "a", "b"}},
		},
		"decode at the last member": {
			candidates: candidates, events: afterReserved(SegmentPrefilled{1}, HandedOver{1}, SegmentPrefilled{1}),
			last: []Step{Decode{1, "b"}},
		},
		"end of the answer releases the leases": {
			candidates: candidates, events: afterReserved(SegmentPrefilled{1}, HandedOver{1}, SegmentPrefilled{1}, Decoded{1}),
			last: []Step{ReleaseAll{1, []string{"a", "b"}}},
		},
		"failure while decoding continues the answer": {
			candidates: candidates,
			events: afterReserved(SegmentPrefilled{1}, HandedOver{1}, SegmentPrefilled{1}, MemberFailed{1, "a", 40},
				MemberReserved{2, "b", far}),
			last: []Step{ReserveMember{2, "c", 600}},
		},
		"failure after a prefill without a replacement": {
			candidates: candidates[1:], events: afterReserved(MemberFailed{1, "a", 0}),
			last: []Step{ReleaseAll{1, []string{"a", "b"}}, Fail{answer.Unknown{Reason: answer.ReasonBackendFailed}}},
		},
		"message of an earlier round": {
			candidates: candidates, events: append(reserved[:1:1], MemberRefused{1, "b"}, MemberReserved{1, "a", far}),
		},
		"lease is renewed": {
			candidates: candidates, events: []Event{MemberReserved{1, "a", epoch.Add(time.Second)}, Tick{}},
			last: []Step{RenewMember{1, "a"}},
		},
		"cancelled": {
			candidates: candidates, events: afterReserved(Cancelled{}),
			last: []Step{ReleaseAll{1, []string{"a", "b"}}, Fail{answer.Unknown{Reason: answer.ReasonCancelled}}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			job := job
			if test.deadline > 0 {
				job.Deadline = epoch.Add(test.deadline)
			}
			g, steps := NewGroup(epoch, job, test.candidates)
			for _, e := range test.events {
				steps = g.Apply(epoch, e)
			}
			assert.DeepEqual(t, steps, test.last)
		})
	}
}

// TestGroupReleasesLeases guards, under random events, against a lease that outlives its group and against a plan
// that does not cover the prompt.
func TestGroupReleasesLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		var candidates []Candidate
		for _, w := range []string{"d", "b", "a", "c"} {
			candidates = append(candidates, Candidate{w, rapid.Int64Range(0, 900).Draw(t, w)})
		}
		job := GroupJob{Prompt: 1500, Generate: 100, Deadline: epoch.Add(10 * time.Minute), Prefill: 10, Decode: 10}
		g, steps := NewGroup(now, job, candidates)
		held := map[string]bool{}
		for n := 0; !g.Ended() && n < 60; n++ {
			for _, s := range steps {
				switch s := s.(type) {
				case ReserveMember:
					for w := range held {
						assert.Assert(t, w < s.Worker, "%s reserved after %s", s.Worker, w)
					}
					held[s.Worker] = true
				case ReleaseAll:
					for _, w := range s.Workers {
						delete(held, w)
					}
				case PrefillSegment:
					assert.Assert(t, len(held) == len(g.Segments()))
				case RenewMember, HandOver, Decode, Fail:
				}
			}
			end := int64(0)
			for _, s := range g.Segments() {
				assert.Assert(t, s.From == end && s.To > s.From)
				end = s.To
			}
			assert.Equal(t, end, g.job.Prompt)
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			worker := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "worker")
			round := rapid.IntRange(max(g.round-1, 1), g.round).Draw(t, "round")
			steps = g.Apply(now, rapid.SampledFrom([]Event{
				MemberReserved{round, worker, now.Add(10 * time.Second)}, MemberReserved{round, worker, now.Add(time.Minute)},
				MemberRefused{round, worker}, MemberFailed{round, worker, 3}, SegmentPrefilled{round}, HandedOver{round},
				Decoded{round}, Tick{}, Cancelled{},
			}).Draw(t, "event"))
		}
		for _, s := range steps {
			if r, ok := s.(ReleaseAll); ok {
				for _, w := range r.Workers {
					delete(held, w)
				}
			}
		}
		assert.Assert(t, !g.Ended() || len(held) == 0, "%v still reserved after the end", held)
	})
}
