package sidecar

import (
	"context"
	"time"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/pkg/answer"
)

// handleStreamList compares the reservations and the running streams with the engine's list of streams.
func (b *backend) handleStreamList(now time.Time, e streamsListed) {
	if b.reservations == nil || e.list.Incarnation != b.load.Incarnation {
		return
	}
	live := map[answer.ID]bool{}
	var streams []memory.Stream
	foreign := 0
	for _, info := range e.list.Streams {
		id, ok := answer.ParseID(info.ID)
		if s := b.streams[id]; ok && s != nil && s.started {
			b.detectStalledConnection(now, s, info.Offset)
		}
		if info.State == engine.StreamFinished {
			continue
		}
		if s := b.streams[id]; !ok || !b.ownStreamsOnly && (s == nil || !s.started || s.ended && !s.cancelPending) {
			foreign++
			b.metrics.Add("foreign-streams", 1)
			b.cancelOnEngine(info.ID)
			continue
		}
		live[id] = true
		streams = append(streams, memory.Stream{ID: id})
	}
	if !b.ownStreamsOnly && e.probedAt.After(b.foreignPossibleAt) {
		b.ownStreamsOnly = foreign == 0
	}
	b.correctReservations(e.list)
	b.releaseCancelled(now, e.probedAt, live)
	b.correctReservations(e.list)
	for _, r := range b.reservations.Reconcile(now, streams) {
		switch r := r.(type) {
		case memory.CancelStream:
			b.metrics.Add("orphan-streams", 1)
			b.cancelOnEngine(r.ID.String())
		case memory.ReleaseReservation:
			b.metrics.Add("orphan-reservations", 1)
			b.log.Info("released reservation without stream", "id", r.ID.String(), "tokens", r.Tokens)
			if s := b.streams[r.ID]; s != nil && s.started && !s.ended {
				b.failStream(now, s, answer.ReasonBackendFailed, false)
			}
		}
	}
}

// detectStalledConnection breaks the connection of a stream that has received nothing between two reads of the list
// although the engine's answer is ahead. In that case the connection is silent and the engine is alive, so the stream
// is attached again over a new connection.
func (b *backend) detectStalledConnection(now time.Time, s *stream, offset int64) {
	have := int64(len(s.buffer))
	// The stream of a cache source delivers nothing on purpose.
	if s.ended || s.disconnected || s.offer.Prompt == nil || s.isCacheSource() || offset <= have+int64(len(s.offer.Prompt.Delivered)) {
		s.stalledSince = time.Time{}
		return
	}
	if s.stalledSince.IsZero() || s.stalledLength != have {
		s.stalledSince, s.stalledLength = now, have
		return
	}
	if now.Sub(s.stalledSince) >= probeInterval {
		b.metrics.Add("silent-engine-connections", 1)
		s.stalledSince = time.Time{}
		s.cancel()
	}
}

// awaitCancel keeps the resources of a cancelled stream until the engine's list no longer shows it. An engine may
// confirm a cancel and still continue, and memory that it still uses must not be granted again.
func (b *backend) awaitCancel(now time.Time, s *stream) {
	s.cancelPending, s.cancelledAt = true, now
	b.scheduler.Cancel(now, s.id)
	b.requestStreamList()
}

// releaseCancelled releases the cancelled streams that are missing in a list whose probe was sent after their cancel. It
// repeats the cancel of those that are still listed.
func (b *backend) releaseCancelled(now, probedAt time.Time, live map[answer.ID]bool) {
	for id, s := range b.streams {
		switch {
		case !s.cancelPending || !probedAt.After(s.cancelledAt):
		case live[id]:
			b.metrics.Add("repeated-cancels", 1)
			b.cancelOnEngine(id.String())
		default:
			b.releaseStream(now, id, false, s.tokens)
		}
	}
}

func (b *backend) cancelOnEngine(id string) {
	if b.Service != "" {
		return
	}
	b.callEngine("cancel", func(ctx context.Context, c *engine.Client) error { return c.CancelStream(ctx, id) })
}
