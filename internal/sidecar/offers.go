package sidecar

import (
	"context"
	"time"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/prompt"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/pkg/answer"
)

// probeRetryDelay is the suggested retry delay for a request that arrives while a probe is under way, which takes
// milliseconds.
const probeRetryDelay = 50 * time.Millisecond

// handleOffer decides whether to admit a request. A request that is refused here has not run, and the scheduler's
// tombstone ensures that it never will.
func (b *backend) handleOffer(now time.Time, conn *link.Conn, m *link.Offer) {
	id := m.ID.AnswerID()
	if b.streams[id] != nil {
		b.metrics.Add("repeated-offers", 1)
		return
	}
	refuse := func(reason answer.Reason, retryAfter time.Duration) { b.refuse(conn, m.ID, reason, retryAfter) }
	if !validOffer(m) {
		refuse(answer.ReasonBadRequest, 0)
		return
	}
	if reason, retryAfter, ok := b.checkAdmission(); !ok {
		refuse(reason, retryAfter)
		return
	}
	if (m.Prompt == nil) == (m.Call == nil) || (m.Call != nil) != (b.Service != "") {
		refuse(answer.ReasonNotServed, 0)
		return
	}
	if m.Call != nil && m.Call.Service != b.Service {
		refuse(answer.ReasonNotServed, 0)
		return
	}
	if p := m.Prompt; p != nil {
		if !b.serves(p.Model, p.Adapter) {
			refuse(answer.ReasonNotServed, 0)
			return
		}
		if b.control.planner.RefusesWork(p.Model, p.Adapter) {
			refuse(answer.ReasonNotReady, housekeepingInterval)
			return
		}
	}
	s := newStream(m, conn, now)
	if q, ok := b.suspects.Check(now, s.fingerprint).(suspect.Quarantined); ok {
		refuse(answer.ReasonQuarantined, q.Until.Sub(now))
		return
	}
	if !b.holdRequest(s) {
		refuse(answer.ReasonOverloaded, housekeepingInterval)
		return
	}
	if m.Call != nil && (m.Call.Key != "" || m.Call.Ticket != "") {
		b.offerKeyedCall(now, s)
	} else {
		b.admit(now, s)
	}
	if b.streams[id] != s {
		s.releaseRequest()
	}
}

// checkAdmission reports whether new work may be admitted at all and, if not, why and when to retry.
func (b *backend) checkAdmission() (reason answer.Reason, retryAfter time.Duration, ok bool) {
	switch {
	case !b.lifecycle.MayGrant() || b.scheduler == nil:
		return b.notServingReason(), housekeepingInterval, false
	case !b.ownStreamsOnly || b.healthUnknown || b.exchange.Behind():
		return answer.ReasonNotReady, probeRetryDelay, false
	}
	return "", 0, true
}

func (b *backend) notServingReason() answer.Reason {
	if b.stopping {
		return answer.ReasonStopping
	}
	switch phaseName(b.lifecycle.State()) {
	case "draining", "stopped":
		return answer.ReasonDraining
	case "down":
		return answer.ReasonBackendFailed
	}
	return answer.ReasonNotReady
}

func (b *backend) refuse(conn *link.Conn, id link.ID, reason answer.Reason, retryAfter time.Duration) {
	b.metrics.Add("refused-"+string(reason), 1)
	m := &link.Refused{ID: id, Reason: reason, RetryAfter: retryAfter}
	if b.window != nil {
		m.Fullness = b.fullness(b.window.Limits(), b.window.InFlight())
	}
	if conn != nil {
		_ = conn.Send(m)
	}
}

// admit offers a request to the scheduler and keeps it when the scheduler accepts it. It reports whether the request
// was started or queued.
func (b *backend) admit(now time.Time, s *stream) bool {
	r := s.request(b.deliveredTokens(s), b.cachedTokens(s))
	s.generateLimit = r.MaxTokens
	switch v := b.scheduler.Offer(now, r).(type) {
	case prompt.Grant:
		b.streams[s.id] = s
		return b.startStream(now, s, v.Lease)
	case prompt.Queued:
		b.streams[s.id] = s
		b.metrics.Add("queued", 1)
		s.send(&link.Queued{ID: s.wireID, Position: v.Position, ExpectedWait: max(v.Start.Sub(now), 0)})
		return true
	case prompt.Refuse:
		b.refuse(s.conn, s.wireID, v.Reason, v.RetryAfter)
	}
	return false
}

// runScheduler carries out the scheduler's decisions that are due.
func (b *backend) runScheduler(now time.Time) {
	if b.scheduler != nil && !b.healthUnknown {
		b.applyActions(now, b.scheduler.NextActions(now))
	}
}

func (b *backend) applyActions(now time.Time, actions []prompt.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case prompt.Start:
			if s := b.streams[a.Lease.ID]; s != nil {
				b.startStream(now, s, a.Lease)
			}
		case prompt.Suspend:
			b.callEngine("suspend", func(ctx context.Context, c *engine.Client) error { return c.SuspendStream(ctx, a.ID.String()) })
		case prompt.Resume:
			b.callEngine("resume", func(ctx context.Context, c *engine.Client) error { return c.ResumeStream(ctx, a.ID.String()) })
		case prompt.Expire:
			b.expireStream(now, a)
		}
	}
}

// expireStream ends a request that is past its deadline, or that a drain or a failure has ended.
func (b *backend) expireStream(now time.Time, a prompt.Expire) {
	s := b.streams[a.ID]
	if s == nil {
		return
	}
	switch o := a.Outcome.(type) {
	case answer.NotRun:
		b.endNotRun(now, s, o.Reason)
	case answer.Unknown:
		if s.mustComplete() {
			// A running call that must complete is not interrupted: its answer is kept for a repeat of its key.
			s.send(&link.Failed{ID: s.wireID, Reason: o.Reason})
			s.conn = nil
			return
		}
		b.failStream(now, s, o.Reason, false)
	case answer.Done:
	}
}

// startStream sends an admitted request to the backend server. It reports whether it did, which it does not if the
// lease has expired, or if the request is suspect and must not share the server with others.
func (b *backend) startStream(now time.Time, s *stream, lease prompt.Lease) bool {
	if !b.suspects.TryStart(now, b.Instance, s.fingerprint) {
		b.scheduler.Cancel(now, s.id)
		b.endNotRun(now, s, answer.ReasonOverloaded)
		return false
	}
	if !b.scheduler.Begin(now, s.id) {
		b.suspects.End(b.Instance, s.fingerprint)
		b.scheduler.Cancel(now, s.id)
		b.endNotRun(now, s, answer.ReasonNotReady)
		return false
	}
	s.started, s.enginePriority = true, lease.Priority
	b.metrics.Add("started", 1)
	s.send(&link.Granted{ID: s.wireID, Lease: max(lease.Until.Sub(now), 0)})
	b.startBackendCall(s)
	return true
}

// endNotRun ends a request that did not run.
func (b *backend) endNotRun(now time.Time, s *stream, reason answer.Reason) {
	b.refuse(s.conn, s.wireID, reason, 0)
	b.forget(s)
	b.control.planDue = true
	if s.tableKey != "" {
		b.keyTable.NeverRan(s.tableKey)
		b.endKeyRun(now, s, func(w waiter) {
			if r := b.streams[w.id.AnswerID()]; r != nil && !r.ended {
				// The tombstone proves to an entry that resumes later that this attempt did not run.
				b.scheduler.Cancel(now, r.id)
				b.forget(r)
				b.refuse(r.conn, r.wireID, reason, 0)
			}
		})
	}
}

// cancelRequest handles a cancel from an entry. With a nil conn it ends the request of an entry that is gone.
func (b *backend) cancelRequest(now time.Time, conn *link.Conn, id answer.ID) {
	reply := func(ran bool) {
		if conn != nil {
			_ = conn.Send(&link.Cancelled{ID: link.WireID(id), Ran: ran})
		}
	}
	if b.cancelMember(now, conn, id) {
		return
	}
	s := b.streams[id]
	if s == nil {
		if b.scheduler == nil || b.mayHaveRun(id) {
			reply(true)
			return
		}
		_, notRun := b.scheduler.Cancel(now, id).(prompt.CancelledNotRun)
		reply(!notRun)
		return
	}
	if s.ended || s.waitsForRun {
		reply(true)
		return
	}
	if s.mustComplete() {
		reply(true)
		s.conn, s.detachedAt = nil, now
		return
	}
	if _, notRun := b.scheduler.Cancel(now, id).(prompt.CancelledNotRun); notRun {
		s.conn = nil
		b.endNotRun(now, s, answer.ReasonCancelled)
		reply(false)
		return
	}
	b.metrics.Add("cancelled", 1)
	reply(true)
	s.conn = nil
	b.failStream(now, s, answer.ReasonCancelled, false)
}

// detachLink detaches the requests of a lost link. They are kept for a time, so that their entry can resume them on
// another connection.
func (b *backend) detachLink(now time.Time, conn *link.Conn) {
	delete(b.links, conn)
	if b.leavingReports[conn] {
		b.handleLeaving(now, conn, false)
	}
	b.detachMembers(now, conn)
	for _, s := range b.streams {
		if s.conn == conn {
			s.conn, s.detachedAt = nil, now
		}
	}
}

// handleResume attaches a request to a new connection and resends what the entry has not received.
func (b *backend) handleResume(now time.Time, conn *link.Conn, m *link.Resume) {
	id := m.ID.AnswerID()
	if b.resumeMember(now, conn, id) {
		return
	}
	s := b.streams[id]
	if s == nil {
		// An offer that was lost with its link gets a tombstone, so that it cannot run if it arrives later.
		if b.scheduler != nil && !b.mayHaveRun(id) {
			if _, notRun := b.scheduler.Cancel(now, id).(prompt.CancelledNotRun); notRun {
				b.refuse(conn, m.ID, answer.ReasonLinkLost, 0)
				return
			}
		}
		_ = conn.Send(&link.Failed{ID: m.ID, Reason: answer.ReasonLinkLost})
		return
	}
	b.metrics.Add("resumed", 1)
	s.attach(conn, m.Offset)
}
