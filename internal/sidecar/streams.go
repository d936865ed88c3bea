package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/prompt"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/pkg/answer"
)

const (
	// maxAnswerBytes bounds the length of an answer, which is buffered until its record is purged.
	maxAnswerBytes = 8 << 20
	// maxReattachments bounds how often one stream is attached again after its connection to a live engine broke.
	maxReattachments = 3
	// maxPieceBytes bounds the part of an answer that is sent in one message.
	maxPieceBytes = 256 << 10
	// callGracePeriod is how long a call of a plain service may continue after its deadline, so that its answer is
	// kept for a repeat of its key. A service that never answers must not block the key or a stop forever.
	callGracePeriod = time.Minute
	// maxPurgedIncarnations bounds the number of entry incarnations in backend.purged.
	maxPurgedIncarnations = 4096
)

// stream is one request that the sidecar has accepted. The backend goroutine owns it.
type stream struct {
	id          answer.ID
	wireID      link.ID
	offer       *link.Offer
	fingerprint suspect.Fingerprint
	deadline    time.Time
	// tableKey is the name of a keyed call in the at-most-once table.
	tableKey string
	// waitsForRun means that the request waits for another stream that runs the same key.
	waitsForRun bool
	waiters     []waiter
	// member is set when the request is part of a group.
	member *member
	// cachedEstimate is the estimated number of cached prompt tokens. generateLimit is the number of tokens that are
	// reserved for the answer.
	cachedEstimate, generateLimit int64

	// conn is nil while the request has no link. detachedAt is the time at which it lost its link.
	conn       *link.Conn
	detachedAt time.Time

	started bool
	// released means that the resources of the request are free again. cancelPending means that the engine may still
	// run the request after the cancel at cancelledAt.
	released, cancelPending bool
	cancelledAt             time.Time
	// stalledSince is when the engine's list first showed a longer answer than the stalledLength bytes received so
	// far. It is zero when the answer is not behind.
	stalledSince   time.Time
	stalledLength  int64
	enginePriority int
	disconnected   bool
	reattachments  int
	cancel         context.CancelFunc

	status int
	header map[string][]string
	buffer []byte
	// heldRequest and heldAnswer are the memory of the request's content and of buffer. heldAnswer is nil while buffer takes none
	// of its own.
	heldRequest, heldAnswer *body.Reservation

	tokens      int64
	ended       bool
	endedAt     time.Time
	lastMessage link.Message
}

// waiter is a repeat of a key that waits for the running call.
type waiter struct {
	conn *link.Conn
	id   link.ID
}

func newStream(m *link.Offer, conn *link.Conn, now time.Time) *stream {
	s := &stream{id: m.ID.AnswerID(), wireID: m.ID, offer: m, conn: conn, deadline: now.Add(m.Remaining)}
	copy(s.fingerprint[:], m.Fingerprint)
	return s
}

// mustComplete reports whether the request must not be interrupted because it has started, may not be repeated, and
// its answer is kept for a repeat of its key.
func (s *stream) mustComplete() bool {
	return s.started && s.offer.Call != nil && !s.offer.Call.Idempotent
}

// request returns the request in the form of the scheduler. delivered is the estimated length in tokens of the
// delivered part of the answer.
func (s *stream) request(delivered, cached int64) prompt.Request {
	r := prompt.Request{ID: s.id, Workspace: s.offer.Workspace, Priority: s.offer.Priority, Weight: s.offer.Weight, Deadline: s.deadline, MaxTokens: 1}
	if p := s.offer.Prompt; p != nil {
		// The delivered part of the answer is prefilled with the prompt. Only the rest is generated.
		r.PromptTokens, r.CachedTokens = p.Tokens+delivered, cached
		r.MaxTokens = max(p.MaxTokens-delivered, 1)
	}
	return r
}

func (s *stream) send(m link.Message) {
	if s.conn != nil {
		_ = s.conn.Send(m)
	}
}

// attach moves the request to another connection and sends the answer from offset on.
func (s *stream) attach(conn *link.Conn, offset int64) {
	s.conn = conn
	if s.header != nil && offset == 0 {
		s.send(&link.Head{ID: s.wireID, Status: s.status, Header: s.header})
	}
	s.sendFrom(offset)
	if s.ended {
		s.send(s.lastMessageFrom(offset))
	}
}

func (s *stream) sendFrom(offset int64) {
	for offset >= 0 && offset < int64(len(s.buffer)) {
		part := s.buffer[offset:min(offset+maxPieceBytes, int64(len(s.buffer)))]
		s.send(&link.Piece{ID: s.wireID, Offset: offset, Data: part})
		offset += int64(len(part))
	}
}

// startBackendCall starts the goroutine that runs the request on the backend server.
func (b *backend) startBackendCall(s *stream) {
	ctx := b.tomb.Context(context.Background())
	var cancel context.CancelFunc
	if s.offer.Call != nil {
		ctx, cancel = context.WithTimeout(ctx, s.deadline.Sub(b.clock.Now())+callGracePeriod)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	s.cancel = cancel
	call := b.backendCall(s)
	b.tomb.Go(func() error {
		defer cancel()
		b.runBackendCall(ctx, s.id, s.offer.Trace, call)
		return nil
	})
}

// backendCall returns the function that calls the backend server for a stream. The function does not access the
// stream, which the backend goroutine owns.
func (b *backend) backendCall(s *stream) func(context.Context) (answer.Usage, error) {
	id, w := s.id, newSendWindow()
	if c := s.offer.Call; c != nil {
		header := map[string][]string{}
		for name, values := range c.Header {
			header[name] = values
		}
		if c.Key != "" {
			header["Idempotency-Key"] = []string{c.Key}
		}
		content := c.Body
		return func(ctx context.Context) (answer.Usage, error) {
			return answer.Usage{}, b.client.Call(ctx, c.Method, c.Path, header, content, func(p engine.ResponsePart) error {
				return b.postPart(ctx, id, w, p)
			})
		}
	}
	p := s.offer.Prompt
	base := int64(len(p.Delivered))
	request := engine.Stream{
		ID: id.String(), Model: p.Model, Adapter: p.Adapter, Prompt: p.Text, AnswerStart: p.Delivered,
		MaxTokens: p.MaxTokens, Priority: s.enginePriority, Parameters: p.Parameters,
	}
	if s.member != nil {
		request.Imports = s.member.importHandles
	}
	emit := func(ctx context.Context) func(engine.Piece) error {
		return func(piece engine.Piece) error {
			return b.postData(ctx, streamData{id: id, offset: piece.Offset - base, data: []byte(piece.Text), tokens: piece.Tokens, window: w})
		}
	}
	if s.reattachments > 0 {
		from := base + int64(len(s.buffer))
		return func(ctx context.Context) (answer.Usage, error) {
			return b.client.AttachStream(ctx, id.String(), from, emit(ctx))
		}
	}
	return func(ctx context.Context) (answer.Usage, error) { return b.client.RunStream(ctx, request, emit(ctx)) }
}

// postPart passes a part of a plain service's response to the backend goroutine.
func (b *backend) postPart(ctx context.Context, id answer.ID, w sendWindow, p engine.ResponsePart) error {
	switch p := p.(type) {
	case engine.ResponseHead:
		return b.postEvent(streamHead{id: id, status: p.Status, header: p.Header})
	case engine.BodyChunk:
		return b.postData(ctx, streamData{id: id, offset: p.Offset, data: append([]byte(nil), p.Data...), window: w})
	}
	return nil
}

var errEventsFull = errors.New("the event queue is full")

func (b *backend) postEvent(e event) error {
	if !b.events.Put(e) {
		return errEventsFull
	}
	return nil
}

// runBackendCall runs in the goroutine of one running stream. It records the sidecar's span, with the span of the
// backend call inside it.
func (b *backend) runBackendCall(ctx context.Context, id answer.ID, carrier map[string]string, call func(context.Context) (answer.Usage, error)) {
	ctx, outer := b.tracer.Start(telemetry.Extract(ctx, carrier), "sidecar run", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("berylward.id", id.String()), attribute.String("berylward.worker", b.Instance)))
	defer outer.End()
	ctx, inner := b.tracer.Start(ctx, "backend call", trace.WithSpanKind(trace.SpanKindClient))
	usage, err := call(ctx)
	if err != nil {
		inner.SetStatus(codes.Error, err.Error())
	}
	inner.SetAttributes(attribute.Int64("berylward.generated-tokens", usage.GeneratedTokens))
	inner.End()
	b.events.Put(streamEnd{id: id, usage: usage, err: err})
}

func (b *backend) handleHead(e streamHead) {
	s := b.streams[e.id]
	if s == nil || s.ended {
		return
	}
	s.status, s.header = e.status, e.header
	s.send(&link.Head{ID: s.wireID, Status: s.status, Header: s.header})
}

// handleData stores the next part of an answer and forwards it. Data that was received before is dropped. A gap
// cannot occur, because the stream's goroutine reports the parts in order.
func (b *backend) handleData(now time.Time, e streamData) {
	release := func() { e.window.release(e.data) }
	piece := b.addData(now, e)
	s := b.streams[e.id]
	if piece == nil || s.conn == nil {
		release()
	} else {
		_ = s.conn.SendThen(piece, release)
	}
	if piece != nil && s.offer.Prompt != nil {
		b.scheduler.Progress(now, s.id, prompt.ProgressReport{Generated: s.tokens})
	}
}

// addData stores the next part of an answer and returns the message with what is new of it, or nil if there is none.
func (b *backend) addData(now time.Time, e streamData) *link.Piece {
	s := b.streams[e.id]
	if s == nil || s.ended || b.handleSegmentProgress(s) {
		return nil
	}
	have := int64(len(s.buffer))
	if e.offset > have {
		b.reportViolation("offset-gap", s.id)
		b.failStream(now, s, answer.ReasonBrokenAnswer, false)
		return nil
	}
	if have-e.offset >= int64(len(e.data)) {
		return nil
	}
	b.recordPrefill(s)
	fresh := e.data[have-e.offset:]
	if err := b.holdAnswer(s, len(fresh)); err != nil {
		b.failNotHeld(now, s, err)
		return nil
	}
	s.buffer = append(s.buffer, fresh...)
	s.tokens += e.tokens
	return &link.Piece{ID: s.wireID, Offset: have, Data: fresh, Tokens: e.tokens}
}

// handleStreamEnd handles the end of a backend call.
func (b *backend) handleStreamEnd(now time.Time, e streamEnd) {
	s := b.streams[e.id]
	if s == nil || s.ended {
		if s != nil && e.err == nil {
			b.releaseStream(now, e.id, false, s.tokens)
		}
		return
	}
	if e.err == nil {
		b.completeStream(now, s, e.usage)
		return
	}
	var failure *engine.Error
	if errors.As(e.err, &failure) && failure.NotRun() {
		if s.reattachments == 0 {
			b.handleRejected(now, s, failure)
			return
		}
		// Only the attachment was rejected. The stream itself has run.
		b.requestProbe()
		b.failStream(now, s, answer.ReasonBackendFailed, false)
		return
	}
	b.healthUnknown = true
	b.log.Info("backend call failed", "id", s.id.String(), "error", e.err.Error())
	if s.offer.Prompt != nil && s.reattachments < maxReattachments {
		// The engine may be alive and only the connection lost. The next probe shows which is the case.
		s.disconnected = true
		b.requestProbe()
		return
	}
	if s.offer.Call != nil {
		b.requestProbe()
	}
	b.failStream(now, s, answer.ReasonBackendFailed, false)
}

// completeStream ends a request with a complete answer.
func (b *backend) completeStream(now time.Time, s *stream, usage answer.Usage) {
	if b.handleSegmentProgress(s) {
		return
	}
	if s.member != nil {
		// Caches imported from other members do not count as previously cached prefixes.
		usage.CachedTokens = max(usage.CachedTokens-s.member.importedTokens, 0)
	}
	b.metrics.Add("completed", 1)
	end := &link.End{
		ID: s.wireID, Length: int64(len(s.buffer)), Digest: xxhash.Sum64(s.buffer),
		PromptTokens: usage.PromptTokens, CachedTokens: usage.CachedTokens, GeneratedTokens: usage.GeneratedTokens,
	}
	b.learnUsage(s, usage)
	b.releaseStream(now, s.id, true, usage.GeneratedTokens)
	b.endStream(now, s, end)
	if s.tableKey != "" {
		b.completeKeyedCall(now, s)
	}
}

// handleRejected ends a request that the backend server provably did not run.
func (b *backend) handleRejected(now time.Time, s *stream, failure *engine.Error) {
	b.releaseStream(now, s.id, false, s.tokens)
	reason := answer.ReasonBackendRejected
	switch {
	case failure.Status == http.StatusNotFound && s.offer.Prompt != nil:
		// The engine has unloaded the model since its last report.
		reason = answer.ReasonNotServed
		b.requestProbe()
	case failure.Kind == engine.KindNotSent:
		reason = answer.ReasonBackendFailed
		b.healthUnknown = true
		b.requestProbe()
	case failure.Status == 507 || failure.Status == 503:
		b.metrics.Add("engine-overloads", 1)
		b.prefixes.Learn(s.prefixes(), s.cachedEstimate, 0)
		reason = answer.ReasonOverloaded
	}
	b.log.Info("backend server did not run the request", "id", s.id.String(), "error", failure.Error())
	b.endNotRun(now, s, reason)
}

// failStream ends a request that ran or may have run.
func (b *backend) failStream(now time.Time, s *stream, reason answer.Reason, crashed bool) {
	b.metrics.Add("failed", 1)
	if s.started && s.offer.Prompt != nil && s.member == nil && !crashed {
		b.cancelBackendCall(s)
		b.awaitCancel(now, s)
	} else {
		if s.cancel != nil {
			s.cancel()
		}
		b.releaseStream(now, s.id, false, s.tokens)
	}
	b.endStream(now, s, &link.Failed{ID: s.wireID, Reason: reason, Crashed: crashed})
	if s.tableKey != "" {
		b.failKeyedCall(now, s, reason)
	}
}

// endStream sends the final message of a request. The message is kept for endedRetention, in case it is lost with the
// link, and so is a complete answer.
func (b *backend) endStream(now time.Time, s *stream, last link.Message) {
	s.ended, s.endedAt, s.lastMessage = true, now, last
	s.releaseRequest()
	if _, failed := last.(*link.Failed); failed {
		s.releaseAnswer()
	}
	b.control.planDue = true
	s.send(last)
}

// releaseStream releases the resources of a request.
func (b *backend) releaseStream(now time.Time, id answer.ID, complete bool, generated int64) {
	b.endMember(now, id, complete)
	s := b.streams[id]
	if s == nil || s.released {
		return
	}
	s.released, s.cancelPending = true, false
	b.scheduler.Finished(now, id, prompt.FinishReport{Complete: complete, Generated: generated})
	if s.started {
		b.suspects.End(b.Instance, s.fingerprint)
	}
}

// cancelBackendCall cancels a running request on the backend server.
func (b *backend) cancelBackendCall(s *stream) {
	if s.cancel != nil {
		s.cancel()
	}
	if s.started {
		b.cancelOnEngine(s.id.String())
	}
}

// recordPurge records that requests of an entry up to this sequence number may have run although their records are
// purged. A late cancel of such a request must not be answered with a proof that it never ran.
func (b *backend) recordPurge(id answer.ID) {
	if len(b.purged) >= maxPurgedIncarnations && b.purged[id.Incarnation] == 0 {
		b.purged = map[uuid.UUID]uint64{}
		b.purgeRecordsLost = true
	}
	b.purged[id.Incarnation] = max(b.purged[id.Incarnation], id.Sequence)
}

// mayHaveRun reports whether an unknown request may have run and been purged.
func (b *backend) mayHaveRun(id answer.ID) bool {
	return b.purgeRecordsLost || id.Sequence <= b.purged[id.Incarnation]
}

// reportViolation counts and logs a violated invariant. With WithStrictInvariants it also panics.
func (b *backend) reportViolation(name string, id answer.ID) {
	b.metrics.Add("invariant-"+name, 1)
	b.log.Error(nil, "invariant broken", "invariant", name, "id", id.String())
	if b.strictInvariants {
		panic("invariant broken: " + name)
	}
}
