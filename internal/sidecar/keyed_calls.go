package sidecar

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylward.example/berylward/internal/booking"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/pkg/answer"
)

// ticketLifetime is how long a ticket is valid. A shorter key lifetime takes precedence.
const ticketLifetime = 10 * time.Minute

// offerKeyedCall offers a call with a key or a ticket to the at-most-once table.
func (b *backend) offerKeyedCall(now time.Time, s *stream) {
	if b.keyTable == nil {
		b.refuse(s.conn, s.wireID, answer.ReasonNotServed, 0)
		return
	}
	c := s.offer.Call
	call := booking.Call{
		Workspace: s.offer.Workspace, Key: c.Key, Ticket: c.Ticket, Epoch: c.Epoch,
		Fingerprint: booking.Fingerprint(s.fingerprint),
	}
	switch d := b.keyTable.Offer(now, call).(type) {
	case booking.Run:
		if b.keyRuns[d.Name] != nil {
			b.reportViolation("two-runs-of-a-key", s.id)
			b.refuse(s.conn, s.wireID, answer.ReasonInternal, 0)
			return
		}
		s.tableKey = d.Name
		b.keyRuns[d.Name] = s
		if !b.admit(now, s) && b.keyRuns[d.Name] == s {
			delete(b.keyRuns, d.Name)
			b.keyTable.NeverRan(d.Name)
		}
	case booking.Wait:
		b.waitForRun(now, s, d.Name)
	case booking.Replay:
		b.metrics.Add("replayed", 1)
		b.replayAnswer(now, s, d.Answer)
	case booking.Unknown:
		b.streams[s.id] = s
		b.endStream(now, s, &link.Failed{ID: s.wireID, Reason: d.Reason})
	case booking.Reject:
		b.refuse(s.conn, s.wireID, d.Reason, d.RetryAfter)
	}
}

// waitForRun makes a repeat of a key wait for the running call.
func (b *backend) waitForRun(now time.Time, s *stream, name string) {
	run := b.keyRuns[name]
	if run == nil {
		b.reportViolation("wait-without-run", s.id)
		b.endStream(now, s, &link.Failed{ID: s.wireID, Reason: answer.ReasonOwnerUnsure})
		return
	}
	s.waitsForRun = true
	b.streams[s.id] = s
	run.waiters = append(run.waiters, waiter{conn: s.conn, id: s.wireID})
	s.send(&link.Queued{ID: s.wireID})
}

// replayAnswer sends a stored answer.
func (b *backend) replayAnswer(now time.Time, s *stream, a booking.Answer) {
	s.status, s.buffer = a.Status, a.Body
	s.header = map[string][]string{"Content-Type": {a.ContentType}}
	b.streams[s.id] = s
	s.send(&link.Head{ID: s.wireID, Status: s.status, Header: s.header})
	s.sendFrom(0)
	b.endStream(now, s, &link.End{ID: s.wireID, Length: int64(len(a.Body)), Digest: xxhash.Sum64(a.Body)})
}

// completeKeyedCall stores the answer of a completed call and sends it to the repeats that wait for it.
func (b *backend) completeKeyedCall(now time.Time, s *stream) {
	contentType := ""
	if values := s.header["Content-Type"]; len(values) > 0 {
		contentType = values[0]
	}
	a := booking.Answer{Status: s.status, ContentType: contentType, Body: s.buffer}
	if !b.keyTable.Complete(now, s.tableKey, a) {
		b.reportViolation("answer-without-run", s.id)
	}
	b.endKeyRun(now, s, func(w waiter) {
		if r := b.streams[w.id.AnswerID()]; r != nil && !r.ended {
			r.waitsForRun = false
			b.replayAnswer(now, r, a)
		}
	})
}

// failKeyedCall records the outcome of the call as unknown for the lifetime of its key.
func (b *backend) failKeyedCall(now time.Time, s *stream, reason answer.Reason) {
	b.keyTable.Failed(now, s.tableKey, reason)
	b.endKeyRun(now, s, func(w waiter) {
		if r := b.streams[w.id.AnswerID()]; r != nil && !r.ended {
			r.waitsForRun = false
			b.endStream(now, r, &link.Failed{ID: w.id, Reason: reason})
		}
	})
}

// endKeyRun ends the run of a key and calls notify for each repeat that waits for it.
func (b *backend) endKeyRun(_ time.Time, s *stream, notify func(waiter)) {
	delete(b.keyRuns, s.tableKey)
	for _, w := range s.waiters {
		notify(w)
	}
	s.waiters = nil
}

// handleTicketRequest issues a ticket or refuses to.
func (b *backend) handleTicketRequest(now time.Time, conn *link.Conn, m *link.TicketRequest) {
	if b.keyTable == nil || !b.lifecycle.MayGrant() {
		b.refuse(conn, m.ID, b.notServingReason(), housekeepingInterval)
		return
	}
	t, err := b.keyTable.Issue(now, m.Service)
	if err != nil {
		b.log.Info("cannot issue ticket", "service", m.Service, "error", err.Error())
		b.refuse(conn, m.ID, answer.ReasonNotServed, 0)
		return
	}
	b.metrics.Add("tickets", 1)
	_ = conn.Send(&link.Ticket{ID: m.ID, Ticket: t.Token, Expires: t.Expires.Sub(now)})
}

// applyOwnership passes the owners and limits under the current declarations to the at-most-once table, which it
// creates on first use, and updates the links to the other workers.
func (b *backend) applyOwnership(now time.Time) {
	if b.Service == "" {
		return
	}
	declared, ok := b.snapshot.Service(b.Service)
	if !ok {
		b.log.Info("service not declared", "service", b.Service)
		return
	}
	if b.keyTable == nil {
		opts := []booking.Option{
			booking.WithKeyLifetime(declared.KeyLifetime), booking.WithClockSkew(declared.ClockSkew), booking.WithMaxEntries(declared.TableSize),
		}
		if len(b.ticketKey) > 0 {
			opts = append(opts, booking.WithTickets(b.ticketKey, min(declared.KeyLifetime, ticketLifetime)))
		}
		table, err := booking.New(booking.Config{
			Service: b.Service, Worker: b.Instance, Incarnation: b.incarnation, Start: b.startedAt,
		}, opts...)
		if err != nil {
			b.log.Error(err, "cannot create at-most-once table")
			return
		}
		b.keyTable = table
	}
	// The limits are set before the ownership, because a seal under the new generation hands entries over with the
	// key lifetime of that generation.
	limits := booking.Limits{KeyLifetime: declared.KeyLifetime, ClockSkew: declared.ClockSkew, MaxEntries: declared.TableSize}
	if err := b.keyTable.SetLimits(now, limits); err != nil {
		b.log.Error(err, "cannot change limits of at-most-once table")
	}
	ownership := booking.DeclaredOwnership(b.snapshot, b.Service)
	b.keyTable.Adopt(now, ownership)
	b.ownerLinks.update(b, ownership)
	b.sendSealRequests(now)
}

// sendSealRequests sends the seal requests that are due.
func (b *backend) sendSealRequests(now time.Time) {
	if b.keyTable == nil {
		return
	}
	for _, r := range b.keyTable.DueSealRequests(now) {
		body, err := booking.EncodeSealRequest(r)
		if err != nil {
			b.log.Error(err, "cannot encode seal request")
			continue
		}
		b.ownerLinks.send(r.To.Name, &link.SealRequest{Body: body})
	}
}

func (b *backend) handleSealRequest(now time.Time, conn *link.Conn, m *link.SealRequest) {
	r, err := booking.DecodeSealRequest(m.Body)
	if err != nil || b.keyTable == nil {
		b.metrics.Add("malformed-seals", 1)
		return
	}
	seal, ok := b.keyTable.Seal(now, r)
	if !ok {
		return
	}
	body, err := booking.EncodeSeal(seal)
	if err != nil {
		b.log.Error(err, "cannot encode seal")
		return
	}
	_ = conn.Send(&link.Seal{Body: body})
	b.sendSealRequests(now)
}

func (b *backend) handleSeal(now time.Time, m *link.Seal) {
	seal, err := booking.DecodeSeal(m.Body)
	if err != nil || b.keyTable == nil {
		b.metrics.Add("malformed-seals", 1)
		return
	}
	receipt := b.keyTable.Receive(now, seal)
	if receipt.Conflicts > 0 {
		b.metrics.Add("invariant-one-run-for-a-key", int64(receipt.Conflicts))
		b.log.Error(nil, "invariant broken", "invariant", "one-run-for-a-key", "from", seal.From)
	}
	if receipt.Sealed {
		b.metrics.Add("seals", 1)
		b.log.Info("hand-over of keys complete", "from", seal.From, "epoch", fmt.Sprint(b.keyTable.Epoch()))
	}
	b.sendSealRequests(now)
}

// sendSuspects sends all marks of suspect requests over a link.
func (b *backend) sendSuspects(now time.Time, conn *link.Conn) {
	if marks := b.suspects.Marks(now); len(marks) > 0 {
		b.sendMarks(marks, conn)
	}
}

func (b *backend) sendMarks(marks []suspect.Mark, conn *link.Conn) {
	body, err := suspect.EncodeMarks(marks)
	if err != nil {
		b.log.Error(err, "cannot encode suspects")
		return
	}
	_ = conn.Send(&link.Suspects{Body: body})
}

// broadcastMarks sends new marks over all links except the one that they came from.
func (b *backend) broadcastMarks(marks []suspect.Mark, from *link.Conn) {
	for conn := range b.links {
		if conn != from {
			b.sendMarks(marks, conn)
		}
	}
	b.Sidecar.suspects.Store(b.suspects.MarksDigest(b.clock.Now()))
}

func (b *backend) handleSuspects(now time.Time, from *link.Conn, m *link.Suspects) {
	marks, err := suspect.DecodeMarks(m.Body)
	if err != nil {
		b.metrics.Add("malformed-suspects", 1)
		return
	}
	if fresh := b.suspects.Merge(now, marks); len(fresh) > 0 {
		b.metrics.Add("suspects", int64(len(fresh)))
		b.broadcastMarks(fresh, from)
	}
}
