package entry

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/pkg/answer"
)

// groupRun is one prompt that runs on several backend servers. memory.Group makes the decisions and groupRun executes
// them. It is owned by the request's goroutine, and all members share one event queue.
type groupRun struct {
	entry   *Entry
	request *request
	work    *promptWork
	out     answerSink
	plan    *memory.Group
	events  *eventQueue
	// members are the members of the current round, in the order in which they were reserved.
	members []*groupMember
	// current is the member that prefills its segment or fetches the caches of the earlier segments.
	current   *groupMember
	round     int
	assembler answer.Assembler
	// deliveredBefore is the number of bytes that were delivered before this round.
	deliveredBefore int
	usage           answer.Usage
	outcome         answer.Outcome
	// knownReason, if set, is the cause of a failure that the plan does not know. It replaces the plan's reason.
	knownReason answer.Reason
}

// groupMember is one worker of a round.
type groupMember struct {
	*attempt
	worker string
	// leaseRequestedAt is when the lease was requested. The lease is counted from then, so that it ends here before it
	// ends on the sidecar.
	leaseRequestedAt time.Time
	reserved         bool
	// pending is the latest Segment or FetchCaches message if it has not been answered. sentMessages counts these
	// messages.
	pending      link.Message
	sentMessages int
	fetchTokens  []string
}

// run executes the plan until it ends.
func (g *groupRun) run(ctx context.Context, steps []memory.Step) (answer.Outcome, answer.Usage) {
	g.entry.metrics.Add("groups", 1)
	defer g.events.Close()
	timer := g.entry.clock.NewTimer(0)
	defer timer.Stop()
	defer func() {
		if !g.plan.Ended() { // after a panic
			g.releaseMembers()
		}
	}()
	g.execute(ctx, steps)
	for !g.plan.Ended() {
		timer.Reset(max(g.plan.NextWakeup().Sub(g.entry.clock.Now()), time.Millisecond))
		select {
		case <-g.events.Ready():
			for _, e := range g.events.Take() {
				g.handleEvent(ctx, e)
				g.events.Handled(e)
			}
			if slices.ContainsFunc(g.members, func(m *groupMember) bool { return m.overflow.Load() }) {
				g.apply(ctx, memory.Cancelled{})
			}
		case <-timer.C():
			g.apply(ctx, memory.Tick{})
		case <-ctx.Done():
			g.knownReason = contextReason(ctx)
			g.apply(ctx, memory.Cancelled{})
		}
	}
	if g.knownReason != "" {
		switch o := g.outcome.(type) {
		case answer.NotRun:
			o.Reason = g.knownReason
			g.outcome = o
		case answer.Unknown:
			g.outcome = answer.Unknown{Reason: g.knownReason}
		case answer.Done:
		}
	}
	return g.outcome, g.usage
}

func (g *groupRun) apply(ctx context.Context, e memory.Event) {
	g.execute(ctx, g.plan.Apply(g.entry.clock.Now(), e))
}

func (g *groupRun) execute(ctx context.Context, steps []memory.Step) {
	for _, step := range steps {
		switch s := step.(type) {
		case memory.ReserveMember:
			g.reserve(ctx, s)
		case memory.RenewMember:
			if m := g.memberByWorker(s.Worker); m != nil {
				m.leaseRequestedAt = g.entry.clock.Now()
				m.peer.send(&link.Renew{ID: link.WireID(m.id)})
			}
		case memory.PrefillSegment:
			g.prefill(ctx, s.Segment)
		case memory.HandOver:
			g.fetchCaches(ctx, s)
		case memory.Decode:
			// The stream of the last segment continues with the generation.
		case memory.ReleaseAll:
			g.releaseMembers()
		case memory.Fail:
			g.outcome = s.Outcome
		}
	}
}

func (g *groupRun) memberByWorker(worker string) *groupMember {
	for _, m := range g.members {
		if m.worker == worker {
			return m
		}
	}
	return nil
}

func (g *groupRun) reserve(ctx context.Context, s memory.ReserveMember) {
	e := g.entry
	if s.Round != g.round {
		g.round, g.deliveredBefore = s.Round, len(g.work.delivered)
	}
	e.mu.Lock()
	p, now := e.peers[s.Worker], e.clock.Now()
	id := g.request.nextID()
	e.view.Sent(now, id, s.Worker, fleet.Request{Model: g.work.model, Tokens: s.Tokens, SuspectState: e.suspectState(now, g.request)})
	e.mu.Unlock()
	if p == nil {
		g.apply(ctx, memory.MemberRefused{Round: g.round, Worker: s.Worker})
		return
	}
	m := &groupMember{attempt: newAttempt(p, id), worker: s.Worker, leaseRequestedAt: now}
	m.events = g.events
	first := &link.Reserve{
		ID: link.WireID(id), Remaining: g.request.deadline.Sub(now), Workspace: g.request.workspace,
		Fingerprint: g.request.fingerprint[:], Tokens: s.Tokens,
	}
	g.members = append(g.members, m)
	e.metrics.Add("attempts", 1)
	if err := p.startAttempt(m.attempt, first); err != nil {
		g.apply(ctx, memory.MemberRefused{Round: g.round, Worker: s.Worker})
	}
}

func (g *groupRun) prefill(ctx context.Context, s memory.Segment) {
	g.current = g.memberByWorker(s.Worker)
	segments := g.plan.Segments()
	readers := len(segments) - 1 - slices.Index(segments, s)
	g.assembler = answer.Assembler{}
	segment := &link.Segment{
		ID: link.WireID(g.current.id), Remaining: g.request.deadline.Sub(g.entry.clock.Now()), Priority: g.request.priority,
		Readers: readers, Trace: telemetry.Inject(ctx), Prompt: link.PromptBody{
			Model: g.work.model, Adapter: g.work.adapter, Text: g.work.text[g.textOffset(s.From):g.textOffset(s.To)],
			Tokens: s.To - s.From, MaxTokens: g.work.maxTokens,
		},
	}
	if readers == 0 {
		segment.Prompt.Text = g.work.text[g.textOffset(s.From):]
		segment.Prompt.Delivered, segment.Prompt.Parameters = string(g.work.delivered), g.work.parameters
	}
	g.sendToCurrent(segment)
}

// textOffset returns where a token begins in the text, in bytes. The plan may count delivered tokens after the
// prompt, which are not part of the text. The offset is moved to the start of a character, because JSON cannot carry
// a part of one.
func (g *groupRun) textOffset(token int64) int {
	text := g.work.text
	if token >= g.work.tokens {
		return len(text)
	}
	offset := int(float64(token) / float64(g.work.tokens) * float64(len(text)))
	for offset > 0 && offset < len(text) && !utf8.RuneStart(text[offset]) {
		offset--
	}
	return offset
}

func (g *groupRun) fetchCaches(ctx context.Context, s memory.HandOver) {
	g.current = g.memberByWorker(s.To)
	fetch := &link.FetchCaches{ID: link.WireID(g.current.id)}
	for _, m := range g.members {
		if m == g.current {
			break
		}
		if len(m.fetchTokens) == 0 {
			g.memberFailed(ctx, m, answer.ReasonBackendFailed)
			return
		}
		fetch.Sources = append(fetch.Sources, link.CacheSource{Address: m.peer.address, Token: m.fetchTokens[0]})
		m.fetchTokens = m.fetchTokens[1:]
	}
	g.sendToCurrent(fetch)
}

func (g *groupRun) sendToCurrent(m link.Message) {
	g.current.pending = m
	g.current.sentMessages++
	g.current.peer.send(m)
}

// releaseMembers cancels all members of the round. Messages that they still send are dropped and counted like any
// late message.
func (g *groupRun) releaseMembers() {
	for _, m := range g.members {
		m.peer.send(&link.Cancel{ID: link.WireID(m.id)})
		m.peer.removeAttempt(m.id)
		g.entry.recordResult(m.id, attemptFailed{reason: answer.ReasonCancelled}, answer.Usage{})
	}
	g.members, g.current = nil, nil
}

// memberFailed ends the round. The next round runs the prompt again, so it counts against the retry budget.
func (g *groupRun) memberFailed(ctx context.Context, m *groupMember, reason answer.Reason) {
	e := g.entry
	e.metrics.Add("group-members-lost", 1)
	e.log.Info("group member failed", "worker", m.worker, "id", m.id.String(), "reason", string(reason))
	e.recordResult(m.id, attemptFailed{reason: reason}, answer.Usage{})
	if m.reserved && !e.tryRetry() {
		e.metrics.Add("retry-budget-exhausted", 1)
		g.knownReason = reason
		g.apply(ctx, memory.Cancelled{})
		return
	}
	e.mu.Lock()
	delivered := e.tokenEstimator.Tokens(g.work.model, int64(len(g.work.delivered)-g.deliveredBefore))
	e.mu.Unlock()
	g.apply(ctx, memory.MemberFailed{Round: g.round, Worker: m.worker, Delivered: delivered})
}

// handleEvent handles one event of a member. Events of released members are ignored.
func (g *groupRun) handleEvent(ctx context.Context, e event) {
	switch e := e.(type) {
	case attemptLost:
		if m := g.memberByID(e.id); m != nil {
			g.memberFailed(ctx, m, answer.ReasonLinkLost)
		}
	case messageReceived:
		g.handleMessage(ctx, e.message)
	case messageDropped:
		// run looks at overflow.
	}
}

func (g *groupRun) memberByID(id answer.ID) *groupMember {
	for _, m := range g.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (g *groupRun) handleMessage(ctx context.Context, message link.Message) {
	switch msg := message.(type) {
	case *link.Reserved:
		if m := g.memberByID(msg.ID.AnswerID()); m != nil {
			g.handleReserved(ctx, m, msg)
		}
	case *link.Refused:
		m := g.memberByID(msg.ID.AnswerID())
		switch {
		case m == nil:
		case m.reserved:
			g.memberFailed(ctx, m, msg.Reason)
		default:
			res := attemptFailed{reason: msg.Reason, retryAfter: msg.RetryAfter, fullness: msg.Fullness, refused: true}
			g.entry.recordResult(m.id, res, answer.Usage{})
			g.apply(ctx, memory.MemberRefused{Round: g.round, Worker: m.worker})
		}
	case *link.Failed:
		if m := g.memberByID(msg.ID.AnswerID()); m != nil {
			g.memberFailed(ctx, m, msg.Reason)
		}
	case *link.Prefilled:
		m := g.memberByID(msg.ID.AnswerID())
		if m == nil || m != g.current {
			break
		}
		if _, ok := m.pending.(*link.Segment); ok {
			m.fetchTokens, m.pending = msg.Tokens, nil
			g.apply(ctx, memory.SegmentPrefilled{Round: g.round})
		}
	case *link.CachesFetched:
		m := g.memberByID(msg.ID.AnswerID())
		if m == nil || m != g.current {
			break
		}
		if _, ok := m.pending.(*link.FetchCaches); ok {
			g.handleCachesFetched(ctx, m, msg.Missing)
		}
	case *link.Piece:
		if m := g.memberByID(msg.ID.AnswerID()); m != nil && m == g.current {
			g.handlePiece(ctx, m, msg)
		}
	case *link.End:
		if m := g.memberByID(msg.ID.AnswerID()); m != nil && m == g.current {
			g.handleEnd(ctx, m, msg)
		}
	default:
		g.entry.metrics.Add("unexpected-messages", 1)
	}
}

// handleReserved handles a lease or its renewal. It sends the pending message again if the sidecar has not received
// it.
func (g *groupRun) handleReserved(ctx context.Context, m *groupMember, r *link.Reserved) {
	if !m.reserved {
		m.reserved = true
		g.entry.recordGrant(m.id)
	}
	if m.pending != nil && r.Received < m.sentMessages {
		m.peer.send(m.pending)
	}
	g.apply(ctx, memory.MemberReserved{Round: g.round, Worker: m.worker, Until: m.leaseRequestedAt.Add(r.Lease)})
}

func (g *groupRun) handleCachesFetched(ctx context.Context, m *groupMember, missing int) {
	if missing > 0 {
		g.memberFailed(ctx, g.members[min(missing, len(g.members))-1], answer.ReasonBackendFailed)
		return
	}
	m.pending = nil
	g.apply(ctx, memory.HandedOver{Round: g.round})
}

// completeLastPrefill reports to the plan that the last segment is prefilled. The sidecar sends no message for this;
// the first part of the answer, or its end, shows it.
func (g *groupRun) completeLastPrefill(ctx context.Context, m *groupMember) {
	if m.pending != nil {
		m.pending = nil
		g.apply(ctx, memory.SegmentPrefilled{Round: g.round})
	}
}

func (g *groupRun) handlePiece(ctx context.Context, m *groupMember, p *link.Piece) {
	g.completeLastPrefill(ctx, m)
	fresh, err := g.assembler.Accept(p.Offset, p.Data)
	if err != nil {
		g.entry.metrics.Add("gaps", 1)
		g.memberFailed(ctx, m, answer.ReasonBrokenAnswer)
		return
	}
	m.receivedBytes.Store(g.assembler.Length())
	if len(fresh) == 0 {
		return
	}
	if err := g.out.deliver(fresh); err != nil {
		g.entry.countNotHeld(err)
		g.knownReason = deliveryReason(err)
		g.apply(ctx, memory.Cancelled{})
	}
}

func (g *groupRun) handleEnd(ctx context.Context, m *groupMember, end *link.End) {
	g.completeLastPrefill(ctx, m)
	done, err := g.assembler.Finish(end.Length, end.Digest)
	if err != nil {
		g.entry.metrics.Add("broken-answers", 1)
		g.memberFailed(ctx, m, answer.ReasonBrokenAnswer)
		return
	}
	g.usage = answer.Usage{
		PromptTokens: end.PromptTokens, CachedTokens: end.CachedTokens, GeneratedTokens: end.GeneratedTokens,
	}
	g.outcome = done
	g.apply(ctx, memory.Decoded{Round: g.round})
}
