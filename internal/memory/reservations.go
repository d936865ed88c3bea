// Package memory manages the memory of inference engines, counted in tokens. It keeps the reservations of each stream,
// reconciles them with the engine's list of streams, estimates prompt sizes and cached prefixes, and forms groups of
// engines for prompts that do not fit into one engine. Each value has one owner, which serializes the calls to it; the
// package reads no clock and takes no locks.
package memory

import (
	"cmp"
	"slices"
	"time"

	"berylward.example/berylward/pkg/answer"
)

// ReservationRequest describes the reservation that a stream asks for.
type ReservationRequest struct {
	ID answer.ID
	// Prompt is the estimated number of uncached prompt tokens.
	Prompt int64
	// Generate is the largest number of tokens that may be generated.
	Generate int64
	// Short permits the use of the share that is reserved for short requests.
	Short bool
	// Until is the end of the lease. Reconcile does not release the reservation before it, because a granted
	// request or a group member may not have a stream yet.
	Until time.Time
}

// Tokens returns the size of the reservation in tokens.
func (r ReservationRequest) Tokens() int64 { return max(r.Prompt, 0) + max(r.Generate, 0) }

// ReserveResult is the result of making or changing a reservation. It is a sealed interface: Reserved and Insufficient
// are its only implementations.
//
//sumtype:decl
type ReserveResult interface{ result() }

// Reserved means that the stream has a reservation of this many tokens.
type Reserved struct{ Tokens int64 }

// Insufficient means that the stream would need this many more tokens than are available to it.
type Insufficient struct{ Missing int64 }

func (Reserved) result()     {}
func (Insufficient) result() {}

// Stream is one entry of the engine's list of streams.
type Stream struct{ ID answer.ID }

// Repair resolves a difference between the reservations and the engine's streams. It is a sealed interface:
// CancelStream and ReleaseReservation are its only implementations.
//
//sumtype:decl
type Repair interface{ repair() }

// CancelStream tells the owner to cancel a stream that has no reservation.
type CancelStream struct{ ID answer.ID }

// ReleaseReservation reports that a reservation without a stream has been released.
type ReleaseReservation struct {
	ID     answer.ID
	Tokens int64
}

func (CancelStream) repair()       {}
func (ReleaseReservation) repair() {}

type reservation struct {
	request ReservationRequest
	tokens  int64
	// lastJustified is the latest time at which the reservation is known to be needed: when it was made, when its
	// stream was last listed, or when its lease ends.
	lastJustified time.Time
}

// ReservationTable is the table of memory reservations of one engine, in tokens. A reservation is never made or
// increased beyond Limit in total, or beyond BulkLimit for bulk requests, which are those that are not short.
type ReservationTable struct {
	limit, bulkLimit int64
	used, bulkUsed   int64
	incarnation      string
	reservations     map[answer.ID]*reservation
	orphanStreams    map[answer.ID]time.Time
}

type settings struct {
	headroom, shortShare float64
}

// Option configures a ReservationTable.
type Option func(*settings)

// WithHeadroom sets the fraction of the capacity that is never reserved. It absorbs estimation errors. The default
// is 0.05.
func WithHeadroom(fraction float64) Option {
	return func(s *settings) { s.headroom = min(max(fraction, 0), 1) }
}

// WithShortShare sets the fraction of the limit that is reserved for short requests. The default is 0.25.
func WithShortShare(fraction float64) Option {
	return func(s *settings) { s.shortShare = min(max(fraction, 0), 1) }
}

// repairGrace is how long a difference from the engine's list must persist before it is repaired, because the list
// lags behind.
const repairGrace = 5 * time.Second

// NewReservationTable returns an empty reservation table for an engine with memory for capacity tokens.
func NewReservationTable(capacity int64, opts ...Option) *ReservationTable {
	s := settings{headroom: 0.05, shortShare: 0.25}
	for _, o := range opts {
		o(&s)
	}
	t := &ReservationTable{reservations: make(map[answer.ID]*reservation), orphanStreams: make(map[answer.ID]time.Time)}
	t.SetLimits(capacity, s.headroom, s.shortShare)
	return t
}

// SetLimits changes the capacity, the headroom and the share of short requests. Existing reservations are never
// reduced: if they exceed a lower limit, nothing is reserved until enough of them have ended.
func (t *ReservationTable) SetLimits(capacity int64, headroom, shortShare float64) {
	t.limit = int64(float64(max(capacity, 0)) * (1 - min(max(headroom, 0), 1)))
	t.bulkLimit = int64(float64(t.limit) * (1 - min(max(shortShare, 0), 1)))
}

// Limit returns the upper limit of the sum of all reservations.
func (t *ReservationTable) Limit() int64 { return t.limit }

// BulkLimit returns the upper limit of the sum of all bulk reservations.
func (t *ReservationTable) BulkLimit() int64 { return t.bulkLimit }

// Used returns the sum of all reservations.
func (t *ReservationTable) Used() int64 { return t.used }

// BulkUsed returns the sum of all bulk reservations.
func (t *ReservationTable) BulkUsed() int64 { return t.bulkUsed }

// Len returns the number of reservations.
func (t *ReservationTable) Len() int { return len(t.reservations) }

// ReservedTokens returns the number of tokens reserved for a stream.
func (t *ReservationTable) ReservedTokens(id answer.ID) (tokens int64, ok bool) {
	r, ok := t.reservations[id]
	if !ok {
		return 0, false
	}
	return r.tokens, true
}

// Reserve makes a reservation for a stream, or renews its lease if it already has one.
func (t *ReservationTable) Reserve(now time.Time, req ReservationRequest) ReserveResult {
	if r, ok := t.reservations[req.ID]; ok {
		r.lastJustified = maxTime(r.lastJustified, maxTime(now, req.Until))
		return Reserved{Tokens: r.tokens}
	}
	tokens := req.Tokens()
	if missing := tokens - t.available(req.Short); missing > 0 {
		return Insufficient{Missing: missing}
	}
	t.reservations[req.ID] = &reservation{request: req, tokens: tokens, lastJustified: maxTime(now, req.Until)}
	t.addUsed(req.Short, tokens)
	delete(t.orphanStreams, req.ID)
	return Reserved{Tokens: tokens}
}

// Correct adjusts a reservation to the usage that the engine reported: the uncached prompt tokens plus the larger of
// the requested and the actual number of generated tokens. A reservation that cannot grow far enough takes all
// available tokens, so that no new request gets them, and the result is Insufficient. The owner then suspends or
// cancels the stream.
func (t *ReservationTable) Correct(id answer.ID, u answer.Usage) ReserveResult {
	r, ok := t.reservations[id]
	if !ok {
		return Insufficient{Missing: u.PromptTokens - u.CachedTokens + u.GeneratedTokens}
	}
	want := max(u.PromptTokens-u.CachedTokens, 0) + max(r.request.Generate, u.GeneratedTokens)
	grow := min(want-r.tokens, max(t.available(r.request.Short), 0))
	r.tokens += grow
	t.addUsed(r.request.Short, grow)
	if r.tokens < want {
		return Insufficient{Missing: want - r.tokens}
	}
	return Reserved{Tokens: r.tokens}
}

// Release ends the reservation of a stream and returns its tokens, or zero if there is none.
func (t *ReservationTable) Release(id answer.ID) int64 {
	r, ok := t.reservations[id]
	if !ok {
		return 0
	}
	delete(t.reservations, id)
	t.addUsed(r.request.Short, -r.tokens)
	return r.tokens
}

// SetIncarnation sets the engine's incarnation. If it has changed, the engine has restarted with empty memory: all
// reservations are removed, and the identifiers of the lost streams are returned in order.
func (t *ReservationTable) SetIncarnation(incarnation string) []answer.ID {
	previous := t.incarnation
	t.incarnation = incarnation
	if previous == "" || previous == incarnation {
		return nil
	}
	lost := make([]answer.ID, 0, len(t.reservations))
	for id := range t.reservations {
		lost = append(lost, id)
	}
	slices.SortFunc(lost, compareID)
	clear(t.reservations)
	clear(t.orphanStreams)
	t.used, t.bulkUsed = 0, 0
	return lost
}

// Reconcile compares the reservations with the engine's list of streams as of now. Differences that have persisted
// for repairGrace are repaired: a reservation without a stream is released, and the owner must cancel a stream
// without a reservation. Repairs are ordered by identifier.
func (t *ReservationTable) Reconcile(now time.Time, streams []Stream) []Repair {
	var repairs []Repair
	listed := make(map[answer.ID]bool, len(streams))
	for _, s := range streams {
		if listed[s.ID] {
			continue
		}
		listed[s.ID] = true
		if r, ok := t.reservations[s.ID]; ok {
			r.lastJustified = maxTime(r.lastJustified, now)
			continue
		}
		firstSeen, seen := t.orphanStreams[s.ID]
		if !seen {
			t.orphanStreams[s.ID] = now
		} else if now.Sub(firstSeen) >= repairGrace {
			// The entry stays, so that the cancellation is repeated until the stream has ended.
			repairs = append(repairs, CancelStream(s))
		}
	}
	for id := range t.orphanStreams {
		if !listed[id] {
			delete(t.orphanStreams, id)
		}
	}
	for id, r := range t.reservations {
		if !listed[id] && now.Sub(r.lastJustified) >= repairGrace {
			repairs = append(repairs, ReleaseReservation{ID: id, Tokens: t.Release(id)})
		}
	}
	slices.SortFunc(repairs, func(a, b Repair) int { return compareID(repairID(a), repairID(b)) })
	return repairs
}

func (t *ReservationTable) available(short bool) int64 {
	tokens := t.limit - t.used
	if !short {
		tokens = min(tokens, t.bulkLimit-t.bulkUsed)
	}
	return tokens
}

func (t *ReservationTable) addUsed(short bool, tokens int64) {
	t.used += tokens
	if !short {
		t.bulkUsed += tokens
	}
}

func repairID(r Repair) answer.ID {
	switch r := r.(type) {
	case CancelStream:
		return r.ID
	case ReleaseReservation:
		return r.ID
	}
	return answer.ID{}
}

func compareID(a, b answer.ID) int {
	return cmp.Or(
		slices.Compare(a.Incarnation[:], b.Incarnation[:]),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
