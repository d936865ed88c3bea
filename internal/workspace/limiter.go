// Package workspace limits the token rate of each workspace at one entry. Rates and bursts are declared for the whole
// site. Each entry grants its share without communicating with the others. Each entry owns one Limiter, which holds its
// token buckets, and serializes the calls to it. A Limiter takes no locks and does not read the clock.
package workspace

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"berylward.example/berylward/pkg/answer"
)

// Limit is the declared limit of one workspace over the whole site.
type Limit struct {
	// Rate is in tokens per second. Nothing is admitted when it is zero.
	Rate float64
	// Burst is in tokens. A request for more tokens than Burst is never admitted.
	Burst int64
}

// LimitSource looks up the limits that operators declared. It is called for each request, so lookups must be cheap.
type LimitSource interface {
	// WorkspaceLimit returns the declared limit of a workspace.
	WorkspaceLimit(workspace string) (Limit, bool)
}

// Admission is the limiter's decision on a request. It is a sealed interface: Admit, Delay and Deny are its only
// implementations.
//
//sumtype:decl
type Admission interface{ admission() }

// Admit means that the tokens were taken and the request may start.
type Admit struct{}

// Delay means that the tokens were taken and the request may start after For. A caller that gives up during the wait
// returns the tokens with Limiter.Refund.
type Delay struct{ For time.Duration }

// Deny means that no tokens were taken.
type Deny struct {
	Reason answer.Reason
	// RetryAfter is the time until the tokens would be available at this entry. Zero means that waiting does not
	// help.
	RetryAfter time.Duration
}

func (Admit) admission() {}
func (Delay) admission() {}
func (Deny) admission()  {}

const (
	// defaultCapacity exceeds the 44,000 declared workspaces of the target size. The LRU therefore evicts active
	// workspaces only above that size.
	defaultCapacity = 65536
	// maxDelay is the longest Delay; a request that would wait longer is denied. The limit keeps queued callers below
	// the first-token goal of about one second, and a denied caller may come back through another entry.
	maxDelay = time.Second
	// maxSweptPerTake limits how many idle workspaces one call of Take drops.
	maxSweptPerTake = 2
)

// bucket holds the tokens of one workspace at this entry.
//
// The package does not use golang.org/x/time/rate, because its Limiter starts with the full burst (an entry's share
// must start with burst/entries), cannot be charged below zero for reported usage, cannot be rescaled when the number
// of entries changes, and takes a lock that a single owner does not need.
type bucket struct {
	limit   Limit
	tokens  float64
	updated time.Time
}

// Limiter holds the token buckets of the active workspaces of one entry. It must be used by one goroutine at a time.
//
// A bucket starts with burst/entries tokens, gains rate/entries tokens per second and holds at most the whole burst:
// an entry borrows from its own unused share only. With a constant number of entries, the tokens granted by all
// entries since their start therefore never exceed rate x time + burst. The limit of a whole burst lets a long prompt
// pass at an entry that rarely gets requests of the workspace. A limit of burst/entries would refuse any prompt over
// 1/400 of the burst at the target size.
type Limiter struct {
	source  LimitSource
	entries int
	buckets *simplelru.LRU[string, *bucket]
	// evictedRefillTime is the latest time at which a bucket that was evicted before it had refilled would have done
	// so. A bucket that is created before then may be the evicted one, so it starts low enough to refill at that time
	// too. Otherwise an eviction would grant a second burst or cancel a debt.
	evictedRefillTime time.Time
}

// Option configures a Limiter.
type Option func(*settings)

type settings struct {
	capacity int
}

// WithCapacity sets how many active workspaces the limiter holds at most.
func WithCapacity(workspaces int) Option { return func(s *settings) { s.capacity = workspaces } }

// NewLimiter returns the Limiter of one entry. entries is the number of live entries, including this one.
func NewLimiter(source LimitSource, entries int, options ...Option) *Limiter {
	s := settings{capacity: defaultCapacity}
	for _, o := range options {
		o(&s)
	}
	buckets, err := simplelru.NewLRU[string, *bucket](max(s.capacity, 1), nil)
	if err != nil {
		panic(err) // Only a size below one is an error.
	}
	return &Limiter{source: source, entries: max(entries, 1), buckets: buckets}
}

// Active returns the number of workspaces that have a bucket.
func (l *Limiter) Active() int { return l.buckets.Len() }

// SetEntries sets the number of live entries. When entries join, the tokens held here shrink in proportion, because
// each new entry starts with its own share of the burst. When entries leave, only the refill rate grows.
func (l *Limiter) SetEntries(now time.Time, entries int) {
	entries = max(entries, 1)
	if entries == l.entries {
		return
	}
	scale := math.Min(1, float64(l.entries)/float64(entries))
	for _, b := range l.buckets.Values() {
		l.refill(now, b)
		if b.tokens > 0 {
			b.tokens *= scale
		}
	}
	l.entries = entries
}

// Take takes tokens from the workspace's bucket at this entry.
func (l *Limiter) Take(now time.Time, workspace string, tokens int64) Admission {
	l.sweep(now)
	limit, ok := l.source.WorkspaceLimit(workspace)
	if !ok {
		return Deny{Reason: answer.ReasonUnauthorized}
	}
	if limit.Rate <= 0 {
		return Deny{Reason: answer.ReasonRateLimited}
	}
	if tokens > limit.Burst {
		return Deny{Reason: answer.ReasonTooLarge}
	}
	b := l.bucket(now, workspace, limit)
	missing := float64(max(tokens, 0)) - b.tokens
	if missing <= 0 {
		b.tokens = -missing
		return Admit{}
	}
	wait := ceilDuration(missing / l.entryRate(limit.Rate))
	if wait > maxDelay {
		return Deny{Reason: answer.ReasonRateLimited, RetryAfter: wait}
	}
	b.tokens = -missing
	return Delay{For: wait}
}

// Refund gives back tokens that were taken but not used, because the request did not run or used fewer tokens.
func (l *Limiter) Refund(now time.Time, workspace string, tokens int64) {
	if b, ok := l.buckets.Get(workspace); ok && tokens > 0 {
		l.refill(now, b)
		b.tokens = math.Min(b.tokens+float64(tokens), float64(b.limit.Burst))
	}
}

// Charge takes tokens that were used in addition to those taken before. The burst limits the debt, so that one wrong
// report cannot block a workspace for longer than burst/entryRate.
func (l *Limiter) Charge(now time.Time, workspace string, tokens int64) {
	limit, ok := l.source.WorkspaceLimit(workspace)
	if !ok || tokens <= 0 || limit.Rate <= 0 {
		return
	}
	b := l.bucket(now, workspace, limit)
	b.tokens = math.Max(b.tokens-float64(tokens), math.Min(b.tokens, -float64(limit.Burst)))
}

func (l *Limiter) entryRate(rate float64) float64 { return rate / float64(l.entries) }

// bucket returns the refilled bucket of a workspace and applies a changed limit.
func (l *Limiter) bucket(now time.Time, workspace string, limit Limit) *bucket {
	if b, ok := l.buckets.Get(workspace); ok {
		l.refill(now, b)
		if b.limit != limit {
			b.limit = limit
			b.tokens = math.Min(b.tokens, float64(limit.Burst))
		}
		return b
	}
	b := &bucket{limit: limit, updated: now, tokens: l.initial(limit)}
	if untilRefill := l.evictedRefillTime.Sub(now); untilRefill > 0 {
		b.tokens -= untilRefill.Seconds() * l.entryRate(limit.Rate)
	}
	_, oldest, full := l.buckets.GetOldest()
	if l.buckets.Add(workspace, b) && full && oldest.limit.Rate > 0 {
		if refilled := l.refillTime(now, oldest); refilled.After(l.evictedRefillTime) {
			l.evictedRefillTime = refilled
		}
	}
	return b
}

func (l *Limiter) initial(limit Limit) float64 { return float64(limit.Burst) / float64(l.entries) }

func (l *Limiter) refill(now time.Time, b *bucket) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.tokens = math.Min(b.tokens+elapsed.Seconds()*l.entryRate(b.limit.Rate), float64(b.limit.Burst))
	b.updated = now
}

// refillTime returns the time at which a bucket will hold as many tokens as a new one. From then on, dropping it grants
// no tokens twice.
func (l *Limiter) refillTime(now time.Time, b *bucket) time.Time {
	l.refill(now, b)
	missing := l.initial(b.limit) - b.tokens
	if missing <= 0 {
		return now
	}
	return now.Add(ceilDuration(missing / l.entryRate(b.limit.Rate)))
}

// sweep drops up to maxSweptPerTake of the least recently used workspaces. A workspace is dropped once it has been idle
// for at least a minute and for as long as its whole burst takes to refill at the site's rate, and its bucket holds at
// least as many tokens as a new one.
func (l *Limiter) sweep(now time.Time) {
	for range maxSweptPerTake {
		workspace, b, ok := l.buckets.GetOldest()
		if !ok {
			return
		}
		idle := now.Sub(b.updated)
		if idle < time.Minute || idle < ceilDuration(float64(b.limit.Burst)/b.limit.Rate) {
			return
		}
		refilled := *b
		if l.refillTime(now, &refilled).After(now) {
			return
		}
		l.buckets.Remove(workspace)
	}
}

// ceilDuration converts seconds to a duration. It rounds up, so that a wait never ends before its tokens are
// available.
func ceilDuration(s float64) time.Duration {
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
