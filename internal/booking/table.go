package booking

import (
	"math"
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/pkg/answer"
)

// Config identifies a table and its worker's incarnation.
type Config struct {
	Service string
	// Worker is the declared name of this worker.
	Worker string
	// Incarnation is chosen at random at each start of the process.
	Incarnation uuid.UUID
	// Start is the time at which this incarnation started to listen on its declared address. Earlier incarnations had
	// ended by then, because two processes cannot listen on one address.
	Start time.Time
}

// entryOverhead is the approximate memory of an entry's map slot and struct in bytes, including allocator rounding.
const entryOverhead = 256

const (
	// bytesPerKey is the memory reserved for each declared key: the entry overhead, a key of 128 bytes and an answer of
	// 128 bytes. Longer answers fill the table before the declared number of keys is reached.
	bytesPerKey = 512
	// defaultMemoryLimit has room for 256 concurrent runs, each with the largest answer.
	defaultMemoryLimit = 16 << 20
)

type options struct {
	keyLifetime, clockSkew, ticketLife            time.Duration
	memoryLimit, maxAnswer, chunkSize, maxEntries int
	ticketKey                                     []byte
}

// Option changes a setting of a Table.
type Option func(*options)

// WithKeyLifetime sets how long a key and its answer are retained (24 h by default).
func WithKeyLifetime(d time.Duration) Option { return func(o *options) { o.keyLifetime = d } }

// WithClockSkew sets the largest difference between any two clocks of callers and workers (5 s by default).
func WithClockSkew(d time.Duration) Option { return func(o *options) { o.clockSkew = d } }

// WithMemoryLimit sets the table's memory limit in bytes (16 MiB by default).
func WithMemoryLimit(bytes int) Option { return func(o *options) { o.memoryLimit = bytes } }

// WithMaxEntries sets the maximum number of entries. It also sets the memory limit to bytesPerKey for each entry, but
// not below the default. The table is full when either limit is reached.
func WithMaxEntries(n int) Option {
	return func(o *options) { o.maxEntries, o.memoryLimit = n, max(n*bytesPerKey, defaultMemoryLimit) }
}

// WithMaxAnswerSize sets the maximum size of a stored answer in bytes (64 KiB by default). If the answer is larger,
// repeats of the call get outcome unknown.
func WithMaxAnswerSize(bytes int) Option { return func(o *options) { o.maxAnswer = bytes } }

// WithChunkSize sets the maximum size of a seal message in bytes (1 MiB by default, below the 8 MiB limit of a frame).
func WithChunkSize(bytes int) Option { return func(o *options) { o.chunkSize = bytes } }

// WithTickets enables tickets, authenticated with the fleet's shared key and valid for life (10 min if life is zero).
func WithTickets(key []byte, life time.Duration) Option {
	return func(o *options) {
		o.ticketKey = key
		if life > 0 {
			o.ticketLife = life
		}
	}
}

// retryInterval is the time between unanswered seal requests. It is also the retry delay in rejections of calls that
// wait for an epoch or a seal.
const retryInterval = 500 * time.Millisecond

// sweepInterval is the maximum time for which an expired entry keeps its memory while the table has room.
const sweepInterval = time.Minute

// minCopyRetention is the minimum time for which an acknowledged copy of a run that ended here is kept. Without it, a
// delayed repeat of the attempt that ran would be rejected as not run.
const minCopyRetention = 10 * time.Minute

type state uint8

const (
	stateRunning state = iota + 1 // running at this worker
	stateDone                     // completed, answer stored
	stateUnknown                  // ran or may have run, no stored answer
	stateRemote                   // running at a former owner, as reported in its seal
)

type entry struct {
	state       state
	fingerprint Fingerprint
	answer      Answer
	reason      answer.Reason
	expiresAt   time.Time
	// acknowledged reports that the owner has confirmed receipt of this copy, so it may be dropped to free memory.
	acknowledged bool
	// reportedRunning reports that a successor was told that the key runs here and may still ask for the outcome.
	reportedRunning bool
	// endedAt is the time at which the run ended here. It is zero for an entry transferred to this worker.
	endedAt time.Time
	// ticket marks an entry for a ticket. It belongs to this incarnation and is never transferred.
	ticket bool
	// origin and incarnation identify the former owner that runs a stateRemote entry.
	origin      string
	incarnation uuid.UUID
}

// Table is the at-most-once table of a worker for a service. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	opt       options
	entries   map[string]*entry
	usedBytes int
	lastSweep time.Time

	stopping   bool
	lastTicket uint64
	// previous holds the limits before the last change.
	previous previousLimits

	current    epochRecord
	pastEpochs []epochRecord
	peers      map[string]*peer
}

// New returns an empty table for a new incarnation. It rejects every key until the first Adopt.
func New(cfg Config, opts ...Option) (*Table, error) {
	o := options{
		keyLifetime: 24 * time.Hour, clockSkew: 5 * time.Second, ticketLife: 10 * time.Minute,
		memoryLimit: defaultMemoryLimit, maxEntries: math.MaxInt32, maxAnswer: 64 << 10, chunkSize: 1 << 20,
	}
	for _, opt := range opts {
		opt(&o)
	}
	// A ticket that outlived its entry could run twice.
	if o.keyLifetime <= 0 || o.clockSkew < 0 || o.ticketLife > o.keyLifetime || o.memoryLimit <= 0 || o.maxEntries <= 0 || o.chunkSize <= 0 || cfg.Worker == "" {
		return nil, &Error{Op: "new", Kind: KindConfig}
	}
	return &Table{
		cfg: cfg, opt: o, entries: make(map[string]*entry), lastSweep: cfg.Start, peers: make(map[string]*peer),
	}, nil
}

// Offer decides whether one attempt may run. A held entry answers the attempt even if another worker owns the key,
// because the outcome of an ended run never changes. A key without an entry runs only at its owner, once the owner has
// every seal it needs.
func (t *Table) Offer(now time.Time, c Call) Decision {
	t.sweep(now)
	if c.Ticket != "" {
		return t.offerTicket(now, c)
	}
	if c.Key == "" || !validKey(c.Key) || !validKey(c.Workspace) {
		return t.reject(answer.ReasonBadRequest, 0)
	}
	name := EntryName(c.Workspace, c.Key)
	if e, ok := t.lookup(now, name); ok {
		return t.decideRepeat(name, e, c)
	}
	createdAt, hasTimestamp := keyTime(name)
	switch {
	case hasTimestamp && createdAt.After(now.Add(t.opt.clockSkew)):
		// Reject keys from the future: such a key would outlive its entry, which is held for a key lifetime from the
		// first attempt.
		return t.reject(answer.ReasonBadRequest, 0)
	case t.current.any():
		return t.reject(answer.ReasonNotReady, retryInterval)
	case hasTimestamp && (createdAt.Add(t.opt.keyLifetime).Before(now) || t.mayHaveExpired(createdAt)):
		// An entry may have expired, so it cannot be proved that the call did not run.
		return Unknown{answer.ReasonKeyTooOld}
	case t.current.ownership.ownerName(name) != t.cfg.Worker:
		// The sender uses another generation while a change is being distributed. Some worker of the site does own the
		// key.
		return t.reject(answer.ReasonNotReady, 0)
	}
	switch t.priorRun(now, name) {
	case priorRunUndetermined:
		return t.reject(answer.ReasonOwnerUnsure, retryInterval)
	case priorRunPossible:
		return Unknown{answer.ReasonOwnerUnsure}
	case priorRunExcluded:
	}
	return t.startRun(now, name, &entry{state: stateRunning, fingerprint: c.Fingerprint})
}

func (t *Table) reject(r answer.Reason, retryAfter time.Duration) Decision {
	return Reject{Reason: r, RetryAfter: retryAfter, Epoch: t.current.ownership.Epoch}
}

func (t *Table) decideRepeat(name string, e *entry, c Call) Decision {
	if e.fingerprint != c.Fingerprint {
		return t.reject(answer.ReasonKeyMismatch, 0)
	}
	switch e.state {
	case stateRunning:
		return Wait{name}
	case stateDone:
		return Replay{e.answer}
	case stateRemote:
		return t.reject(answer.ReasonOwnerUnsure, retryInterval)
	case stateUnknown:
	}
	return Unknown{e.reason}
}

// startRun starts a run. The last quarter of the table is reserved for transferred entries, because refusing a transfer
// would make the moved keys unavailable.
func (t *Table) startRun(now time.Time, name string, e *entry) Decision {
	if t.stopping {
		return t.reject(answer.ReasonDraining, 0)
	}
	if !t.makeRoom(now, name, t.cost(name, e), t.opt.memoryLimit/4*3, t.opt.maxEntries-t.opt.maxEntries/4) {
		return t.reject(answer.ReasonTableFull, 0)
	}
	// Add twice the clock skew: once for the caller's clock in the key and once for the clock of a successor. Then
	// every worker considers a timestamped key too old before any entry for it expires.
	e.expiresAt = later(e.expiresAt, now.Add(t.opt.keyLifetime+2*t.opt.clockSkew))
	t.put(name, e)
	return Run{name}
}

// Complete ends a run with its answer. It reports whether such a run was in progress.
func (t *Table) Complete(now time.Time, name string, a Answer) bool {
	if len(a.Body)+len(a.ContentType) > t.opt.maxAnswer {
		return t.endRun(now, name, stateUnknown, Answer{}, answer.ReasonTooLarge)
	}
	return t.endRun(now, name, stateDone, a, "")
}

// Failed ends a run that ran or may have run. Repeats get outcome unknown for the lifetime of the key. It reports
// whether such a run was in progress.
func (t *Table) Failed(now time.Time, name string, r answer.Reason) bool {
	return t.endRun(now, name, stateUnknown, Answer{}, r)
}

func (t *Table) endRun(now time.Time, name string, s state, a Answer, r answer.Reason) bool {
	e, ok := t.entries[name]
	if !ok || e.state != stateRunning {
		return false
	}
	t.usedBytes -= t.cost(name, e)
	e.state, e.answer, e.reason, e.endedAt = s, a, r, now
	t.usedBytes += t.cost(name, e)
	// Keep a run that ends late a while longer, so that a successor can still ask for its outcome.
	e.expiresAt = later(e.expiresAt, now.Add(2*sweepInterval))
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// NeverRan ends a run for which it is proved that the backend server never received the call and never will, so a later
// attempt may run. Without such proof the caller must use Failed. It reports whether such a run was in progress.
func (t *Table) NeverRan(name string) bool {
	e, ok := t.entries[name]
	if !ok || e.state != stateRunning {
		return false
	}
	t.drop(name, e)
	return true
}

// Stop rejects all new runs from now on, for a planned stop. The table still answers repeats and gives seals until the
// process exits, which it does after its last run has ended.
//
// Entries are not copied to another worker for safekeeping. The next incarnation at the address could not tell that
// nothing ran between the copy and its own start unless every worker that holds a copy also proved that no other
// incarnation had started in between, and the protocol has no message for that. So repeats of keys older than the new
// incarnation get outcome unknown, and newer keys are served once the other workers have sealed. Operators who must
// keep the answers take the worker out of service first: its successors then pull its entries and transfer them back
// when it returns.
func (t *Table) Stop() { t.stopping = true }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// UsedBytes returns the accounted memory in bytes. It exceeds the memory limit only if SetLimits has lowered the limit.
func (t *Table) UsedBytes() int { return t.usedBytes }

// cost returns the accounted memory of an entry in bytes. A running entry reserves space for the largest answer, so
// that Complete always has room.
func (t *Table) cost(name string, e *entry) int {
	n := entryOverhead + len(name)
	if e.state == stateRunning || e.state == stateRemote {
		return n + t.opt.maxAnswer
	}
	return n + len(e.answer.Body) + len(e.answer.ContentType)
}

func (t *Table) put(name string, e *entry) {
	if old, ok := t.entries[name]; ok {
		t.usedBytes -= t.cost(name, old)
	}
	t.entries[name] = e
	t.usedBytes += t.cost(name, e)
}

func (t *Table) drop(name string, e *entry) {
	t.usedBytes -= t.cost(name, e)
	delete(t.entries, name)
}

// makeRoom reports whether cost more bytes fit under limit and one more entry under keys. To make room it drops
// acknowledged copies of entries that other workers own. It never drops any other live entry.
func (t *Table) makeRoom(now time.Time, name string, cost, limit, keys int) bool {
	if old, ok := t.entries[name]; ok {
		cost -= t.cost(name, old)
		keys++
	}
	fits := func() bool { return t.usedBytes+cost <= limit && len(t.entries) < keys }
	if fits() {
		return true
	}
	for n, e := range t.entries {
		if e.acknowledged && n != name && !now.Before(e.endedAt.Add(minCopyRetention)) {
			t.drop(n, e)
			if fits() {
				return true
			}
		}
	}
	return false
}

// lookup returns the entry with the given name. It drops the entry instead if it has expired.
func (t *Table) lookup(now time.Time, name string) (*entry, bool) {
	e, ok := t.entries[name]
	if ok && e.expired(now) {
		t.drop(name, e)
		return nil, false
	}
	return e, ok
}

// expired reports whether an ended entry's lifetime is over. A running entry has no outcome yet and never expires.
func (e *entry) expired(now time.Time) bool {
	return e.state != stateRunning && e.state != stateRemote && now.After(e.expiresAt)
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for n, e := range t.entries {
		if e.expired(now) {
			t.drop(n, e)
		}
	}
}
