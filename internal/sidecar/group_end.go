package sidecar

import (
	"context"
	"slices"
	"time"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

// cancelMember ends a member on a cancel from its entry. It reports whether that completes the cancel; if not, the
// cancel must be handled and answered as for any other request.
func (b *backend) cancelMember(now time.Time, conn *link.Conn, id answer.ID) bool {
	for n, p := range b.pendingReserves {
		if p.message.ID.AnswerID() == id {
			b.pendingReserves = append(b.pendingReserves[:n], b.pendingReserves[n+1:]...)
			return false
		}
	}
	m := b.members[id]
	if m == nil {
		return false
	}
	s := b.streams[id]
	if s == nil {
		b.endMember(now, id, false)
		return false
	}
	if conn != nil {
		_ = conn.Send(&link.Cancelled{ID: s.wireID, Ran: true})
	}
	s.conn = nil
	b.metrics.Add("cancelled", 1)
	b.failStream(now, s, answer.ReasonCancelled, false)
	return true
}

// dropMember ends a member that its entry has not cancelled, and reports the reason to the entry.
func (b *backend) dropMember(now time.Time, m *member, reason answer.Reason) {
	if s := b.streams[m.id]; s != nil && !s.ended {
		b.failStream(now, s, reason, false)
		return
	}
	m.send(&link.Failed{ID: m.reserve.ID, Reason: reason})
	b.endMember(now, m.id, false)
}

// endMember releases the resources of a member. While the engine may still run its stream, the memory stays reserved
// until the call to cancel the stream has returned. Otherwise the next reservation could be granted on a full engine.
func (b *backend) endMember(now time.Time, id answer.ID, complete bool) {
	m := b.members[id]
	if m == nil {
		return
	}
	delete(b.members, id)
	for _, token := range m.cacheTokens {
		delete(b.cacheTokens, token)
	}
	if m.cancelFetch != nil {
		m.cancelFetch()
	}
	freed := memberFreed{id: id, prefilled: complete || m.prefilled}
	if complete || b.streams[id] == nil {
		b.handleMemberFreed(now, freed)
		return
	}
	b.freeingMembers++
	b.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), probeTimeout)
		defer cancel()
		if err := b.client.CancelStream(ctx, id.String()); err != nil {
			b.metrics.Add("order-errors", 1)
		}
		b.events.Put(freed)
		return nil
	})
}

// handleMemberFreed releases the memory of an ended member and retries the reservations that wait for memory.
func (b *backend) handleMemberFreed(now time.Time, e memberFreed) {
	b.reservations.Release(e.id)
	if e.prefilled {
		b.window.Completed(e.id)
	} else {
		b.window.Abandoned(e.id)
	}
	waiting := b.pendingReserves
	b.pendingReserves = nil
	for _, p := range waiting {
		b.reserve(now, p)
	}
}

// expireMembers ends the members whose leases were not renewed.
func (b *backend) expireMembers(now time.Time) {
	for _, m := range b.members {
		if !now.Before(m.leaseEnd) {
			b.metrics.Add("group-leases-ended", 1)
			b.dropMember(now, m, answer.ReasonDeadline)
		}
	}
}

// failMembers ends all members after a failure of the backend server.
func (b *backend) failMembers(now time.Time) {
	for _, m := range b.members {
		b.dropMember(now, m, answer.ReasonBackendFailed)
	}
}

// detachMembers detaches the members of a lost link. They are kept until their leases end, which is soon, since their entry may have
// ended. Reservations of the link that wait are dropped: if they were granted, nobody would know of it until the end of a whole lease.
// An entry that asks for one on its next link is told that it was not granted.
func (b *backend) detachMembers(now time.Time, conn *link.Conn) {
	b.pendingReserves = slices.DeleteFunc(b.pendingReserves, func(p pendingReserve) bool { return p.conn == conn })
	for _, m := range b.members {
		if m.conn == conn {
			m.conn = nil
			m.leaseEnd = earlier(m.leaseEnd, now.Add(detachedLease))
		}
	}
}

// liveMembers counts the members without a stream that a graceful stop must wait for.
func (b *backend) liveMembers() int {
	n := b.freeingMembers
	for id := range b.members {
		if b.streams[id] == nil {
			n++
		}
	}
	return n
}
