// Package workspace limits the token rate of each workspace at one entry. Rates
// and bursts are declared for the whole site; every entry grants its share without talking to the others. A Limiter
// holds the token buckets, is owned by one task and reads no clock.
package workspace

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"berylward.example/berylward/pkg/answer"
)

// Limit is the declared limit of one workspace over the whole site.
type Limit struct {
	// Rate is in tokens per second. Nothing is admitted without a rate.
	Rate float64
	// Burst is in tokens. A request for more tokens than Burst is never admitted.
	Burst int64
}

// Directory looks up what operators declared. Its method must be cheap, because it runs for each request.
type Directory interface {
	// WorkspaceLimit returns the declared limit of a workspace.
	WorkspaceLimit(workspace string) (Limit, bool)
}

// Admission says whether tokens were taken. It is a sealed interface: Admit, Delay and Deny are its only
// implementations.
//
//sumtype:decl
type Admission interface{ admission() }

// Admit means that the tokens were taken and the request may start.
type Admit struct{}

// Delay means that the tokens were taken and the request may start after For. A caller that gives up while
// it waits returns the tokens with Limiter.Return.
type Delay struct{ For time.Duration }

// Deny means that no tokens were taken.
type Deny struct {
	Reason answer.Reason
	// RetryAfter is the time until the tokens would be available here; zero means that waiting does not help.
	RetryAfter time.Duration
}

func (Admit) admission() {}
func (Delay) admission() {}
func (Deny) admission()  {}

const (
	// defaultCapacity exceeds the 44,000 declared workspaces of the target size, so that the LRU evicts an
	// active workspace only beyond that size.
	defaultCapacity = 65536
	// maxDelay is the longest Delay; a longer wait is denied. It keeps a queued caller below the first-token goal
	// of about a second, and a caller who waits longer may come back through another entry.
	maxDelay = time.Second
	// sweepPerTake bounds the work of dropping idle workspaces in one call of Take.
	sweepPerTake = 2
)

// bucket holds the tokens of one workspace at this entry.
//
// The package does not use golang.org/x/time/rate: its Limiter starts with the full burst (an entry's share
// must start with burst/entries), cannot be charged below zero for reported usage, cannot be rescaled
// when the number of entries changes, and takes a lock that a single owner does not need.
type bucket struct {
	limit   Limit
	tokens  float64
	updated time.Time
}

// Limiter holds the token buckets of the active workspaces of one entry. It must be used by one goroutine at
// a time.
//
// A bucket starts with burst/entries tokens, gains rate/entries tokens per second and holds at most the whole
// burst: an entry borrows from its own unused share only. With a constant number of entries, the tokens
// granted by all entries since their start therefore never exceed rate x time + burst. The whole burst as a
// ceiling lets a long prompt pass at an entry that sees its workspace rarely; a ceiling of burst/entries would
// refuse any prompt over 1/400 of the burst at the target size.
type Limiter struct {
	directory Directory
	entries   int
	buckets   *simplelru.LRU[string, *bucket]
	// lowUntil is when the last bucket that was evicted before it had refilled would have done so. A bucket
	// that is new before then starts so low that it refills at that time too, because it may be the evicted
	// one; otherwise eviction would grant a second burst or forgive a debt.
	lowUntil time.Time
}

// Option configures a Limiter.
type Option func(*settings)

type settings struct {
	capacity int
}

// WithCapacity sets how many active workspaces are held at most.
func WithCapacity(workspaces int) Option { return func(s *settings) { s.capacity = workspaces } }

// NewLimiter returns a Limiter for one of the given number of live entries.
func NewLimiter(directory Directory, entries int, options ...Option) *Limiter {
	s := settings{capacity: defaultCapacity}
	for _, o := range options {
		o(&s)
	}
	buckets, err := simplelru.NewLRU[string, *bucket](max(s.capacity, 1), nil)
	if err != nil {
		panic(err) // Only a size below one is an error.
	}
	return &Limiter{directory: directory, entries: max(entries, 1), buckets: buckets}
}

// Active returns the number of workspaces with state.
func (l *Limiter) Active() int { return l.buckets.Len() }

// SetEntries sets the number of live entries. When entries join, the tokens held here shrink in proportion,
// because each new entry starts with its own share of the burst. When entries leave, only the rate grows.
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

// Take takes tokens of a workspace's share.
func (l *Limiter) Take(now time.Time, workspace string, tokens int64) Admission {
	l.sweep(now)
	limit, ok := l.directory.WorkspaceLimit(workspace)
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
	short := float64(max(tokens, 0)) - b.tokens
	if short <= 0 {
		b.tokens = -short
		return Admit{}
	}
	wait := seconds(short / l.share(limit.Rate))
	if wait > maxDelay {
		return Deny{Reason: answer.ReasonRateLimited, RetryAfter: wait}
	}
	b.tokens = -short
	return Delay{For: wait}
}

// Return gives back tokens that were taken and not used: the request did not run, or used fewer.
func (l *Limiter) Return(now time.Time, workspace string, tokens int64) {
	if b, ok := l.buckets.Get(workspace); ok && tokens > 0 {
		l.refill(now, b)
		b.tokens = math.Min(b.tokens+float64(tokens), float64(b.limit.Burst))
	}
}

// Charge takes tokens that were used beyond those taken. The debt is bounded by the burst, so that one wrong
// report cannot shut a workspace out for longer than burst/share.
func (l *Limiter) Charge(now time.Time, workspace string, tokens int64) {
	limit, ok := l.directory.WorkspaceLimit(workspace)
	if !ok || tokens <= 0 || limit.Rate <= 0 {
		return
	}
	b := l.bucket(now, workspace, limit)
	b.tokens = math.Max(b.tokens-float64(tokens), math.Min(b.tokens, -float64(limit.Burst)))
}

func (l *Limiter) share(rate float64) float64 { return rate / float64(l.entries) }

// bucket returns the refilled bucket of a workspace and puts a changed declaration into force.
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
	if low := l.lowUntil.Sub(now); low > 0 {
		b.tokens -= low.Seconds() * l.share(limit.Rate)
	}
	_, oldest, full := l.buckets.GetOldest()
	if l.buckets.Add(workspace, b) && full && oldest.limit.Rate > 0 {
		if at := l.refilledAt(now, oldest); at.After(l.lowUntil) {
			l.lowUntil = at
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
	b.tokens = math.Min(b.tokens+elapsed.Seconds()*l.share(b.limit.Rate), float64(b.limit.Burst))
	b.updated = now
}

// refilledAt returns when a bucket holds as much as a new one; from then on it can be dropped without granting
// anything twice.
func (l *Limiter) refilledAt(now time.Time, b *bucket) time.Time {
	l.refill(now, b)
	short := l.initial(b.limit) - b.tokens
	if short <= 0 {
		return now
	}
	return now.Add(seconds(short / l.share(b.limit.Rate)))
}

// sweep drops workspaces from the idle end that have not been used for as long as their whole burst takes
// to refill at the site's rate, at least a minute, and that hold at least what a new bucket would.
func (l *Limiter) sweep(now time.Time) {
	for range sweepPerTake {
		workspace, b, ok := l.buckets.GetOldest()
		if !ok {
			return
		}
		idle := now.Sub(b.updated)
		if idle < time.Minute || idle < seconds(float64(b.limit.Burst)/b.limit.Rate) {
			return
		}
		probe := *b
		if l.refilledAt(now, &probe).After(now) {
			return
		}
		l.buckets.Remove(workspace)
	}
}

// seconds converts to a duration, rounded up so that a wait never ends before its tokens exist.
func seconds(s float64) time.Duration {
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
