package memory

import (
	"cmp"
	"slices"
	"time"

	"berylward.example/berylward/pkg/answer"
)

// Candidate is a worker that can become a member of a group.
type Candidate struct {
	Worker string
	// Free is the worker's free memory in tokens, as known to the owner.
	Free int64
}

// GroupJob is a prompt that does not fit into the memory of one engine.
type GroupJob struct {
	ID answer.ID
	// Prompt is the number of uncached prompt tokens, Generate the largest number of tokens that may be generated.
	Prompt, Generate int64
	Deadline         time.Time
	// Prefill and Decode are the rates of the members in tokens per second.
	Prefill, Decode float64
}

// Segment is the part of the prompt from token From up to, but not including, token To, and the member that
// prefills it.
type Segment struct {
	Worker   string
	From, To int64
}

// Step is an instruction to the owner of a group. Every step except Fail names its round, because messages of an
// earlier round may arrive late. It is a sealed interface: ReserveMember, RenewMember, PrefillSegment, HandOver,
// Decode, ReleaseAll and Fail are its only implementations.
//
//sumtype:decl
type Step interface{ step() }

// ReserveMember asks a worker for a lease on this many tokens of memory.
type ReserveMember struct {
	Round  int
	Worker string
	Tokens int64
}

// RenewMember asks a worker to extend its lease.
type RenewMember struct {
	Round  int
	Worker string
}

// PrefillSegment starts the prefill of a segment at its member.
type PrefillSegment struct {
	Round   int
	Segment Segment
}

// HandOver exports the cache of all segments so far from one member and imports it at the next one.
type HandOver struct {
	Round    int
	From, To string
}

// Decode starts the generation at the last member.
type Decode struct {
	Round  int
	Worker string
}

// ReleaseAll ends the leases of these workers, in order of their names.
type ReleaseAll struct {
	Round   int
	Workers []string
}

// Fail ends the request. It follows ReleaseAll if any leases were held.
type Fail struct{ Outcome answer.Outcome }

func (ReserveMember) step()  {}
func (RenewMember) step()    {}
func (PrefillSegment) step() {}
func (HandOver) step()       {}
func (Decode) step()         {}
func (ReleaseAll) step()     {}
func (Fail) step()           {}

// Event is an input of a group. It is a sealed interface: MemberReserved, MemberRefused, MemberFailed,
// SegmentPrefilled, HandedOver, Decoded, Cancelled and Tick are its only implementations.
//
//sumtype:decl
type Event interface{ event() }

// MemberReserved means that a worker has granted or renewed a lease. Until is its end on the owner's clock.
type MemberReserved struct {
	Round  int
	Worker string
	Until  time.Time
}

// MemberRefused means that a worker refused a lease.
type MemberRefused struct {
	Round  int
	Worker string
}

// MemberFailed means that a member, its link or its lease was lost. Delivered is the number of generated tokens
// that had been delivered to the caller.
type MemberFailed struct {
	Round     int
	Worker    string
	Delivered int64
}

// SegmentPrefilled means that the prefill of the current segment is complete.
type SegmentPrefilled struct{ Round int }

// HandedOver means that the next member has imported the cache.
type HandedOver struct{ Round int }

// Decoded means that the answer is complete.
type Decoded struct{ Round int }

// Cancelled means that the owner ends the request, for example because the caller has disconnected.
type Cancelled struct{}

// Tick means that the time returned by NextWakeup has been reached.
type Tick struct{}

func (MemberReserved) event()   {}
func (MemberRefused) event()    {}
func (MemberFailed) event()     {}
func (SegmentPrefilled) event() {}
func (HandedOver) event()       {}
func (Decoded) event()          {}
func (Cancelled) event()        {}
func (Tick) event()             {}

type groupPhase int

const (
	groupReserving groupPhase = iota
	groupPrefilling
	groupHandingOver
	groupDecoding
	groupEnded
)

// renewBefore is how long before its end a lease is renewed. It is two heartbeats, so that one lost message does
// not make the group fail.
const renewBefore = 2 * time.Second

// maxRounds bounds the attempts to form one group.
const maxRounds = 4

// Group runs one prompt on several engines. Either all members are reserved or none. They are reserved one at a
// time in order of their names, so that two groups cannot deadlock. The last member decodes.
type Group struct {
	job            GroupJob
	candidates     []Candidate
	segments       []Segment
	leaseEnds      []time.Time
	renewing       []bool
	round          int
	current        int
	phase          groupPhase
	prefillStarted bool
}

// NewGroup plans a group from the candidates and returns its first steps. If no group can be formed, or not in
// time, the only step is Fail with the outcome NotRun.
func NewGroup(now time.Time, job GroupJob, candidates []Candidate) (*Group, []Step) {
	g := &Group{job: job, candidates: slices.Clone(candidates)}
	return g, g.planRound(now, answer.ReasonNoWorker)
}

// Segments returns the plan of the current round in prefill order.
func (g *Group) Segments() []Segment { return slices.Clone(g.segments) }

// Ended reports whether the group has ended. It then holds no leases and ignores events.
func (g *Group) Ended() bool { return g.phase == groupEnded }

// NextWakeup returns the time at which the owner must send a Tick, or the zero time if there is none.
func (g *Group) NextWakeup() time.Time {
	if g.phase == groupEnded {
		return time.Time{}
	}
	wake := g.job.Deadline
	for n, until := range g.leaseEnds {
		if !g.renewing[n] {
			until = until.Add(-renewBefore)
		}
		if until.Before(wake) {
			wake = until
		}
	}
	return wake
}

// Apply applies an event and returns the next steps. Events of an earlier round and events that are not expected in
// the current phase are ignored.
func (g *Group) Apply(now time.Time, e Event) []Step {
	if g.phase == groupEnded {
		return nil
	}
	if !now.Before(g.job.Deadline) {
		return g.fail(answer.ReasonDeadline)
	}
	switch e := e.(type) {
	case MemberReserved:
		if e.Round == g.round {
			return g.handleReserved(now, e)
		}
	case MemberRefused:
		if e.Round == g.round && g.phase == groupReserving && g.segments[g.current].Worker == e.Worker {
			return g.retryWithout(now, e.Worker, 0, answer.ReasonOverloaded)
		}
	case MemberFailed:
		member := func(s Segment) bool { return s.Worker == e.Worker }
		if e.Round == g.round && slices.ContainsFunc(g.segments, member) {
			return g.retryWithout(now, e.Worker, e.Delivered, answer.ReasonBackendFailed)
		}
	case SegmentPrefilled:
		if e.Round != g.round || g.phase != groupPrefilling {
			return nil
		}
		last := len(g.segments) - 1
		if g.current == last {
			g.phase = groupDecoding
			return []Step{Decode{Round: g.round, Worker: g.segments[last].Worker}}
		}
		g.phase = groupHandingOver
		return []Step{HandOver{Round: g.round, From: g.segments[g.current].Worker, To: g.segments[g.current+1].Worker}}
	case HandedOver:
		if e.Round == g.round && g.phase == groupHandingOver {
			g.current++
			return g.startPrefill()
		}
	case Decoded:
		if e.Round == g.round && g.phase == groupDecoding {
			g.phase = groupEnded
			return g.releaseSteps()
		}
	case Cancelled:
		return g.fail(answer.ReasonCancelled)
	case Tick:
		return g.handleTick(now)
	}
	return nil
}

func (g *Group) handleReserved(now time.Time, e MemberReserved) []Step {
	for n := range g.leaseEnds {
		if g.segments[n].Worker == e.Worker {
			g.leaseEnds[n], g.renewing[n] = e.Until, false
			return nil
		}
	}
	if g.phase != groupReserving || g.segments[g.current].Worker != e.Worker {
		return nil
	}
	g.leaseEnds, g.renewing = append(g.leaseEnds, e.Until), append(g.renewing, false)
	if !now.Before(e.Until) {
		return g.retryWithout(now, e.Worker, 0, answer.ReasonBackendFailed)
	}
	if g.current++; g.current < len(g.segments) {
		return []Step{g.reserveStep()}
	}
	g.current = 0
	return g.startPrefill()
}

func (g *Group) reserveStep() Step {
	s := g.segments[g.current]
	tokens := s.To - s.From
	if g.current == len(g.segments)-1 {
		tokens += g.job.Generate
	}
	return ReserveMember{Round: g.round, Worker: s.Worker, Tokens: tokens}
}

func (g *Group) startPrefill() []Step {
	g.phase, g.prefillStarted = groupPrefilling, true
	return []Step{PrefillSegment{Round: g.round, Segment: g.segments[g.current]}}
}

func (g *Group) handleTick(now time.Time) []Step {
	var steps []Step
	for n, until := range g.leaseEnds {
		switch {
		case !now.Before(until):
			return g.retryWithout(now, g.segments[n].Worker, 0, answer.ReasonBackendFailed)
		case !g.renewing[n] && !now.Before(until.Add(-renewBefore)):
			g.renewing[n] = true
			steps = append(steps, RenewMember{Round: g.round, Worker: g.segments[n].Worker})
		}
	}
	return steps
}

// retryWithout releases all leases and starts a new round without the worker. Tokens that were delivered become
// part of the prompt, so that the answer continues where it stopped.
func (g *Group) retryWithout(now time.Time, worker string, delivered int64, reason answer.Reason) []Step {
	steps := g.releaseSteps()
	g.candidates = slices.DeleteFunc(g.candidates, func(c Candidate) bool { return c.Worker == worker })
	delivered = min(max(delivered, 0), g.job.Generate)
	g.job.Prompt += delivered
	g.job.Generate -= delivered
	return append(steps, g.planRound(now, reason)...)
}

// planRound starts a new round with the fewest members that have enough memory, preferring those with the most free
// memory. It returns Fail if the memory or the time does not suffice.
func (g *Group) planRound(now time.Time, reason answer.Reason) []Step {
	g.round++
	g.current, g.phase, g.segments, g.leaseEnds, g.renewing = 0, groupReserving, nil, nil, nil
	if g.round > maxRounds {
		return g.fail(reason)
	}
	duration := seconds(float64(g.job.Prompt)/max(g.job.Prefill, 1) + float64(g.job.Generate)/max(g.job.Decode, 1))
	if now.Add(duration).After(g.job.Deadline) {
		return g.fail(answer.ReasonDeadline)
	}
	members := slices.Clone(g.candidates)
	slices.SortFunc(members, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Worker, b.Worker))
	})
	for n := 1; n <= len(members) && members[n-1].Free > 0; n++ {
		if g.segments = splitPrompt(g.job, members[:n]); g.segments != nil {
			return []Step{g.reserveStep()}
		}
	}
	return g.fail(reason)
}

// splitPrompt cuts the prompt into one segment for each member, in order of their names. Each member is filled
// before the next one is used, and the last one keeps room for the generation. Members without that room cannot be
// last and are dropped from the end of the order. It returns nil if the members have too little memory.
func splitPrompt(job GroupJob, members []Candidate) []Segment {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Candidate) int { return cmp.Compare(a.Worker, b.Worker) })
	for len(ordered) > 0 && ordered[len(ordered)-1].Free <= job.Generate {
		ordered = ordered[:len(ordered)-1]
	}
	var segments []Segment
	from := int64(0)
	for n, m := range ordered {
		free := m.Free
		if n == len(ordered)-1 {
			free -= job.Generate
		}
		// Each later member must get at least one token of the prompt, so that it takes part in the hand-over.
		to := min(from+free, job.Prompt-int64(len(ordered)-1-n))
		if to <= from {
			return nil
		}
		segments = append(segments, Segment{Worker: m.Worker, From: from, To: to})
		from = to
	}
	if from < job.Prompt {
		return nil
	}
	return segments
}

// fail ends the group. The outcome is NotRun before the first prefill, and Unknown afterwards because a part has
// run.
func (g *Group) fail(reason answer.Reason) []Step {
	steps := g.releaseSteps()
	g.phase = groupEnded
	if g.prefillStarted {
		return append(steps, Fail{Outcome: answer.Unknown{Reason: reason}})
	}
	return append(steps, Fail{Outcome: answer.NotRun{Reason: reason}})
}

// releaseSteps releases all members that hold a lease, and the one that has been asked for a lease because it may
// hold one.
func (g *Group) releaseSteps() []Step {
	var workers []string
	for n, s := range g.segments {
		if n < len(g.leaseEnds) || (g.phase == groupReserving && n == g.current) {
			workers = append(workers, s.Worker)
		}
	}
	g.leaseEnds, g.renewing = nil, nil
	if len(workers) == 0 {
		return nil
	}
	return []Step{ReleaseAll{Round: g.round, Workers: workers}}
}

func seconds(s float64) time.Duration {
	const maxDuration = float64(1 << 62)
	return time.Duration(min(s*float64(time.Second), maxDuration))
}
