package sidecar

import (
	"context"
	"crypto/rand"
	"time"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/pkg/answer"
)

const (
	// memberLease is how long a group member keeps its memory without a renewal while its link is up. A link that is silent ends
	// after 3 s.
	memberLease = orphanTimeout
	// detachedLease is how long a member keeps its memory without a link. An entry that is alive connects again at once. With
	// housekeepingInterval, which passes at most until the end of a lease is seen, and the call to cancel the member's stream, it
	// stays below 4 s, within which memory must be free after the end of its request.
	detachedLease = 2500 * time.Millisecond
	// segmentGenerateTokens is the number of tokens generated after a segment whose cache others fetch. The first shows
	// that the prefill is complete. Then the stream is suspended, so that the engine keeps the cache and lists its
	// memory as used. The others cover the time until the suspension takes effect: 600 ms at 10 ms per token.
	segmentGenerateTokens = 64
	// maxGroupPriority bounds the engine priority of a member. It is the priority of the scheduler's long requests,
	// so that a group never precedes a shorter request.
	maxGroupPriority = 9
)

// member is one part of a group. An entry runs a group on several backend servers. The backend goroutine owns it.
type member struct {
	id       answer.ID
	reserve  *link.Reserve
	conn     *link.Conn
	leaseEnd time.Time
	// deadline is the latest end of the lease; no renewal extends it further.
	deadline time.Time
	// readers is the number of members that fetch the cache of this segment. It is zero for the last member.
	readers   int
	prefilled bool
	// messagesReceived counts the Segment and FetchCaches messages received for this member.
	messagesReceived int
	// lastReply is the latest reply. It is sent again after a lost link.
	lastReply     link.Message
	cancelFetch   context.CancelFunc
	importHandles []string
	// importedTokens is the number of prompt tokens that the imported caches cover.
	importedTokens int64
	cacheTokens    []string
}

func (m *member) send(message link.Message) {
	if m.conn != nil {
		_ = m.conn.Send(message)
	}
}

func (m *member) reply(message link.Message) {
	m.lastReply = message
	m.send(message)
}

// reportState sends the state of the member's lease, and the latest reply.
func (m *member) reportState(now time.Time) {
	m.send(&link.Reserved{ID: m.reserve.ID, Lease: m.leaseEnd.Sub(now), Received: m.messagesReceived})
	if m.lastReply != nil {
		m.send(m.lastReply)
	}
}

// isCacheSource reports whether the stream only keeps the cache of a segment for other members.
func (s *stream) isCacheSource() bool { return s.member != nil && s.member.readers > 0 }

// pendingReserve is a reservation that has arrived and may wait for memory that is being freed.
type pendingReserve struct {
	conn    *link.Conn
	message *link.Reserve
	// deadline is counted from the arrival of the message, also if the reservation waits.
	deadline time.Time
}

// newMember returns the member whose lease is granted at a time.
func (p pendingReserve) newMember(now time.Time) *member {
	return &member{
		id: p.message.ID.AnswerID(), reserve: p.message, conn: p.conn, deadline: p.deadline, leaseEnd: earlier(now.Add(memberLease), p.deadline),
	}
}

// memberFreed means that the memory of an ended member can be released: the engine does not run its stream, or the call
// to cancel the stream has returned.
type memberFreed struct {
	id        answer.ID
	prefilled bool
}

// cachesImported is the result of fetching and importing the caches of earlier segments.
type cachesImported struct {
	id      answer.ID
	handles []string
	// coveredTokens is the number of prompt tokens in the imported caches. heldTokens is the engine memory they use.
	coveredTokens, heldTokens int64
	// failedSource is the number, from 1, of the source not fetched. It is zero if an import failed or nothing did.
	failedSource int
	err          error
}

// cacheTokenUsed asks the backend goroutine to redeem a cache token. The reply is the identifier of the stream on the
// engine, or empty when the token is not valid.
type cacheTokenUsed struct {
	token string
	reply chan string
}

func (memberFreed) event()    {}
func (cachesImported) event() {}
func (cacheTokenUsed) event() {}

// handleReserve grants a lease on memory and window or refuses it. Reservations are not queued, because the members
// that are already reserved would have to wait too. The only exception is one that waits for memory being freed.
func (b *backend) handleReserve(now time.Time, conn *link.Conn, r *link.Reserve) {
	b.reserve(now, pendingReserve{conn: conn, message: r, deadline: now.Add(r.Remaining)})
}

// reserve is handleReserve for a reservation that may have waited.
func (b *backend) reserve(now time.Time, p pendingReserve) {
	conn, r, id := p.conn, p.message, p.message.ID.AnswerID()
	if m := b.members[id]; m != nil {
		m.conn = conn
		m.reportState(now)
		return
	}
	if reason, retryAfter, ok := b.checkAdmission(); !ok {
		b.refuse(conn, r.ID, reason, retryAfter)
		return
	}
	if b.control.planner.RefusesAnyWork() {
		// A reservation names no model, so it is refused while the planner refuses work for any model or adapter.
		b.refuse(conn, r.ID, answer.ReasonNotReady, housekeepingInterval)
		return
	}
	if b.Service != "" {
		b.refuse(conn, r.ID, answer.ReasonNotServed, 0)
		return
	}
	if !validReserve(r) {
		b.refuse(conn, r.ID, answer.ReasonBadRequest, 0)
		return
	}
	if !now.Before(p.deadline) {
		b.refuse(conn, r.ID, answer.ReasonDeadline, 0)
		return
	}
	if b.scheduler.NotRun(id) {
		b.refuse(conn, r.ID, answer.ReasonCancelled, 0)
		return
	}
	var fingerprint suspect.Fingerprint
	copy(fingerprint[:], r.Fingerprint)
	if q, ok := b.suspects.Check(now, fingerprint).(suspect.Quarantined); ok {
		b.refuse(conn, r.ID, answer.ReasonQuarantined, q.Until.Sub(now))
		return
	}
	m := p.newMember(now)
	windowTokens := b.memberWindowTokens(r.Tokens)
	if !b.window.Allow(windowTokens) || !b.reserveMemory(now, m) {
		if b.freeingMembers > 0 {
			b.pendingReserves = append(b.pendingReserves, p)
			return
		}
		b.refuse(conn, r.ID, answer.ReasonOverloaded, housekeepingInterval)
		return
	}
	b.window.Started(id, windowTokens)
	b.members[id] = m
	b.metrics.Add("group-members", 1)
	m.reportState(now)
}

// memberWindowTokens returns the window tokens that a member counts for. As for the scheduler's requests, this is at
// most the share of the window for requests that are not short, because the engine prefills in chunks.
func (b *backend) memberWindowTokens(tokens int64) int64 {
	return min(tokens, int64(float64(b.window.Limits().Tokens)*(1-b.admissionLimits.shortShare)))
}

// reserveMemory reserves memory for a member until its lease ends, or renews that. It reports whether there was enough.
func (b *backend) reserveMemory(now time.Time, m *member) bool {
	req := memory.ReservationRequest{ID: m.id, Prompt: m.reserve.Tokens, Generate: segmentGenerateTokens, Until: m.leaseEnd}
	_, ok := b.reservations.Reserve(now, req).(memory.Reserved)
	return ok
}

// groupTokens returns the free memory that one member can reserve, and how much that is on an idle engine.
func (b *backend) groupTokens() (free, limit int64) {
	l := b.reservations
	free = min(l.Limit()-l.Used(), l.BulkLimit()-l.BulkUsed()) - segmentGenerateTokens
	return max(free, 0), max(l.BulkLimit()-segmentGenerateTokens, 0)
}

// handleRenew extends a lease. A lease that has ended is not revived: its memory may already be granted again.
func (b *backend) handleRenew(now time.Time, conn *link.Conn, id link.ID) {
	m := b.liveMember(now, conn, id)
	if m == nil {
		return
	}
	b.extendLease(now, m)
	m.send(&link.Reserved{ID: id, Lease: m.leaseEnd.Sub(now), Received: m.messagesReceived})
}

// extendLease extends the lease of a member whose entry is alive.
func (b *backend) extendLease(now time.Time, m *member) {
	m.leaseEnd = earlier(now.Add(memberLease), m.deadline)
	b.reserveMemory(now, m)
}

// liveMember returns a member with a valid lease. If there is none, it reports this to the entry and returns nil.
func (b *backend) liveMember(now time.Time, conn *link.Conn, id link.ID) *member {
	m := b.members[id.AnswerID()]
	if m == nil {
		_ = conn.Send(&link.Failed{ID: id, Reason: answer.ReasonCancelled})
		return nil
	}
	m.conn = conn
	if !now.Before(m.leaseEnd) {
		b.dropMember(now, m, answer.ReasonDeadline)
		return nil
	}
	return m
}

// handleSegment starts the stream of a member on the engine.
func (b *backend) handleSegment(now time.Time, conn *link.Conn, segment *link.Segment) {
	m := b.liveMember(now, conn, segment.ID)
	if m == nil || b.streams[m.id] != nil {
		return
	}
	if !validSegment(segment) {
		b.dropMember(now, m, answer.ReasonBadRequest)
		return
	}
	m.messagesReceived++
	offer := &link.Offer{
		ID: segment.ID, Remaining: segment.Remaining, Workspace: m.reserve.Workspace, Priority: segment.Priority,
		Fingerprint: m.reserve.Fingerprint, Trace: segment.Trace, Prompt: &segment.Prompt,
	}
	if m.readers = segment.Readers; m.readers > 0 {
		offer.Prompt.MaxTokens = segmentGenerateTokens
	}
	s := newStream(offer, conn, now)
	if !b.holdRequest(s) {
		b.dropMember(now, m, answer.ReasonOverloaded)
		return
	}
	if !b.suspects.TryStart(now, b.Instance, s.fingerprint) {
		s.releaseRequest()
		b.dropMember(now, m, answer.ReasonOverloaded)
		return
	}
	s.member, s.started, s.enginePriority = m, true, min(max(segment.Priority, 0), maxGroupPriority)
	b.streams[s.id] = s
	b.metrics.Add("group-segments", 1)
	b.startBackendCall(s)
}

// handleSegmentProgress handles progress of a cache source. It reports whether the stream is one. The end of the stream
// counts as progress too, because an engine keeps the cache of an ended stream for some time.
func (b *backend) handleSegmentProgress(s *stream) bool {
	if !s.isCacheSource() {
		return false
	}
	m := s.member
	if m.prefilled {
		return true
	}
	m.prefilled = true
	id := s.id.String()
	b.callEngine("suspend", func(ctx context.Context, c *engine.Client) error { return c.SuspendStream(ctx, id) })
	for range m.readers {
		token := rand.Text()
		m.cacheTokens = append(m.cacheTokens, token)
		b.cacheTokens[token] = m
	}
	m.reply(&link.Prefilled{ID: s.wireID, Tokens: m.cacheTokens})
	return true
}

// handleFetchCaches starts a goroutine that fetches and imports the caches of the segments before the member's own.
func (b *backend) handleFetchCaches(now time.Time, conn *link.Conn, fetch *link.FetchCaches) {
	m := b.liveMember(now, conn, fetch.ID)
	if m == nil || m.cancelFetch != nil {
		return
	}
	m.messagesReceived++
	ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), m.deadline.Sub(now))
	m.cancelFetch = cancel
	id, sources := m.id, fetch.Sources
	b.tomb.Go(func() error {
		defer cancel()
		b.events.Put(b.importCaches(ctx, id, sources))
		return nil
	})
}

// handleCachesImported applies the result of fetching and importing caches.
func (b *backend) handleCachesImported(now time.Time, e cachesImported) {
	m := b.members[e.id]
	if m == nil {
		return
	}
	if e.err != nil {
		b.log.Info("cannot fetch or import cache", "id", e.id.String(), "source", e.failedSource, "error", e.err.Error())
		b.metrics.Add("hand-overs-failed", 1)
		if e.failedSource == 0 {
			b.dropMember(now, m, answer.ReasonBackendFailed)
			return
		}
	} else {
		b.metrics.Add("hand-overs", 1)
		m.importHandles, m.importedTokens = e.handles, e.coveredTokens
		b.reservations.Correct(m.id, answer.Usage{PromptTokens: m.reserve.Tokens + e.heldTokens})
	}
	m.reply(&link.CachesFetched{ID: m.reserve.ID, Missing: e.failedSource})
}

// redeemCacheToken returns the identifier of the stream that a cache token, valid once, gives access to, or "".
func (b *backend) redeemCacheToken(token string) string {
	m := b.cacheTokens[token]
	if m == nil {
		b.metrics.Add("cache-rights-unknown", 1)
		return ""
	}
	delete(b.cacheTokens, token)
	return m.id.String()
}

// resumeMember attaches a member to a new connection. It reports whether that completes the resume; if not, the stream
// must be resumed like any other, which applies to the last member.
func (b *backend) resumeMember(now time.Time, conn *link.Conn, id answer.ID) bool {
	m := b.members[id]
	if m == nil {
		return false
	}
	m.conn = conn
	b.extendLease(now, m)
	if s := b.streams[id]; s != nil {
		s.conn = conn
		if !s.isCacheSource() {
			return false
		}
	}
	m.reportState(now)
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
