package sidecar

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/pkg/answer"
)

// cacheEvents holds events of the engine's prefix cache.
type cacheEvents struct{ engine.CacheEvents }

func (cacheEvents) event() {}

// cacheEventPosition is the monitor's position in the sequence of cache events.
type cacheEventPosition struct {
	incarnation  uuid.UUID
	lastSequence uint64
}

// readCacheEvents reads the events since the last call. Lost events leave a gap in the sequence, which lowers the
// confidence in the estimate.
func (s *Sidecar) readCacheEvents(ctx context.Context, position *cacheEventPosition) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	events, err := s.client.CacheEvents(ctx, position.lastSequence)
	if err != nil {
		return
	}
	if events.Incarnation != position.incarnation {
		// The sequence numbers have restarted, so the old position does not apply to these events.
		restarted := position.incarnation != uuid.Nil
		*position = cacheEventPosition{incarnation: events.Incarnation}
		if restarted {
			events.Events = nil
		}
	}
	for _, e := range events.Events {
		position.lastSequence = max(position.lastSequence, e.Sequence)
	}
	s.events.Put(cacheEvents{events})
}

// applyCacheEvents updates the estimate of the cached prefixes.
func (b *backend) applyCacheEvents(e cacheEvents) {
	var changes []memory.CacheChange
	for _, c := range e.Events {
		blocks := int64(len(c.Hashes))
		switch c.Kind {
		case engine.CacheStored:
			changes = append(changes, memory.BlocksStored{Sequence: c.Sequence, Blocks: blocks})
		case engine.CacheEvicted:
			changes = append(changes, memory.BlocksEvicted{Sequence: c.Sequence, Blocks: blocks})
		case engine.CacheCleared:
			changes = append(changes, memory.CacheCleared{Sequence: c.Sequence})
		}
	}
	b.prefixes.ApplyChanges(e.Incarnation.String(), changes)
}

// prefixes returns the prefixes of the prompt with their estimated lengths. Models and adapters do not share cached
// prefixes, so their names are part of the hashes.
func (s *stream) prefixes() []memory.Prefix {
	p := s.offer.Prompt
	if p == nil || s.member != nil || len(p.Text) == 0 {
		return nil
	}
	seed := xxhash.Sum64String(p.Model + "\x00" + p.Adapter)
	prefixes := make([]memory.Prefix, 0, min(len(p.Prefixes), fleet.MaxPrefixHashes))
	for i, hash := range p.Prefixes[:cap(prefixes)] {
		covered := min(fleet.PrefixBytes(i), len(p.Text))
		tokens := int64(float64(covered) / float64(len(p.Text)) * float64(p.Tokens))
		prefixes = append(prefixes, memory.Prefix{Hash: hash ^ seed, Tokens: tokens})
	}
	return prefixes
}

// cachedTokens estimates how many prompt tokens the engine holds in its prefix cache.
func (b *backend) cachedTokens(s *stream) int64 {
	s.cachedEstimate = b.prefixes.Cached(s.prefixes())
	return s.cachedEstimate
}

// recordPrefill records that the engine has prefilled the prompt of a stream. Only the call for the first part of the
// answer has an effect.
func (b *backend) recordPrefill(s *stream) {
	if len(s.buffer) == 0 && s.offer.Prompt != nil {
		b.warmth.addPrefill(max(s.offer.Prompt.Tokens-s.cachedEstimate, 0))
		b.prefixes.AddPrefilled(s.prefixes())
	}
}

// learnUsage corrects the estimates by the usage that the engine reported.
func (b *backend) learnUsage(s *stream, usage answer.Usage) {
	p := s.offer.Prompt
	if p == nil || s.member != nil {
		return
	}
	b.prefixes.Learn(s.prefixes(), s.cachedEstimate, usage.CachedTokens)
	b.tokenEstimator.Learn(p.Model, int64(len(p.Text)), usage.PromptTokens)
}

// correctReservations raises reservations to the memory that the engine holds for each stream. This corrects a wrong
// estimate while the stream still runs; its usage arrives only at its end. A stream that the engine has accepted is
// not ended when the reservation table lacks room. The table is then full and admits no further request.
func (b *backend) correctReservations(list engine.StreamList) {
	for _, info := range list.Streams {
		id, ok := answer.ParseID(info.ID)
		s := b.streams[id]
		held, reserved := b.reservations.ReservedTokens(id)
		if !ok || !reserved || s == nil || s.member != nil || s.offer.Prompt == nil || info.Tokens <= held {
			continue
		}
		b.metrics.Add("reservations-corrected", 1)
		if _, short := b.reservations.Correct(id, answer.Usage{PromptTokens: info.Tokens - s.generateLimit}).(memory.Insufficient); short {
			b.metrics.Add("reservations-short", 1)
		}
	}
}

// deliveredTokens estimates the length in tokens of the answer's part that an earlier attempt has delivered.
func (b *backend) deliveredTokens(s *stream) int64 {
	if s.offer.Prompt == nil {
		return 0
	}
	return b.tokenEstimator.Tokens(s.offer.Prompt.Model, int64(len(s.offer.Prompt.Delivered)))
}
