package suspect

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

type options struct {
	quarantine time.Duration
	limit      int
	crashes    int
}

// Option changes a setting of a Register.
type Option func(*options)

// WithLimit sets how many fingerprints are remembered (4096 by default, under 1 MB).
func WithLimit(n int) Option { return func(o *options) { o.limit = n } }

// WithCrashes sets how many crashes quarantine a request (2 by default).
func WithCrashes(n int) Option { return func(o *options) { o.crashes = n } }

// markLife is how long a crash is remembered. All processes must use the same value, because the time of a crash
// is derived from its remaining life.
const markLife = time.Hour

// defaultQuarantine is how long a request is quarantined after its last crash, until SetQuarantine is called.
const defaultQuarantine = 10 * time.Minute

// maxMarks bounds the crashes remembered for one fingerprint. Quarantine lets through about six in a mark's
// life by default, so the bound is met only when marks spread late.
const maxMarks = 16

// grace is how long an expired mark is kept without effect. A copy that comes back late from another process
// is recognised during it, and so cannot live on by going round between processes.
const grace = 2 * time.Minute

type mark struct {
	crash   CrashID
	role    Role
	expires time.Time
}

// Register remembers which requests were running when servers failed. It must not be used by more than one
// goroutine at a time.
type Register struct {
	incarnation uuid.UUID
	opt         options
	crashes     uint64
	// told is the place of the mark that was told last in turn.
	told    int
	marks   map[Fingerprint][]mark
	servers map[string]*server
}

// server is what runs on one backend server.
type server struct {
	running    map[Fingerprint]int
	isolated   bool
	isolatedBy Fingerprint
}

// New returns an empty register. The incarnation is drawn at random at each start of the process.
func New(incarnation uuid.UUID, opts ...Option) *Register {
	o := options{quarantine: defaultQuarantine, limit: 4096, crashes: 2}
	for _, opt := range opts {
		opt(&o)
	}
	return &Register{
		incarnation: incarnation, opt: o, marks: make(map[Fingerprint][]mark), servers: make(map[string]*server),
	}
}

// SetQuarantine puts another time of quarantine into force, which also holds for crashes that are known already. It
// must not exceed the life of a mark.
func (r *Register) SetQuarantine(d time.Duration) { r.opt.quarantine = min(d, markLife) }

// Quarantine returns the time of quarantine in force.
func (r *Register) Quarantine() time.Duration { return r.opt.quarantine }

// Check returns the standing of a request.
func (r *Register) Check(now time.Time, f Fingerprint) Standing {
	marks, ok := r.marks[f]
	if !ok {
		return Clear{}
	}
	// A request that shared crashes with isolated suspects counts one for all of them, and none beside a
	// crash of its own kind, so an innocent request is not quarantined by its neighbours' crashes.
	plain, shared, isolated := 0, 0, 0
	var last time.Time
	for _, m := range marks {
		if !now.Before(m.expires) {
			continue
		}
		switch m.role {
		case RoleShared:
			shared = 1
		case RoleIsolated:
			isolated++
		default:
			plain++
		}
		if m.expires.After(last) {
			last = m.expires
		}
	}
	count := isolated + max(plain, shared)
	if count == 0 {
		return Clear{}
	}
	if until := last.Add(r.opt.quarantine - markLife); count >= r.opt.crashes && now.Before(until) {
		return Quarantined{Until: until}
	}
	return Isolate{}
}

// Starting notes that a request starts on a server and returns whether it may. A quarantined request may
// not; a suspect may only while no other suspect and no copy of itself runs there.
func (r *Register) Starting(now time.Time, name string, f Fingerprint) bool {
	s := r.servers[name]
	if s == nil {
		s = &server{running: make(map[Fingerprint]int)}
		r.servers[name] = s
	}
	switch r.Check(now, f).(type) {
	case Quarantined:
		return false
	case Isolate:
		for other := range s.running {
			if _, clear := r.Check(now, other).(Clear); !clear {
				return false
			}
		}
		if s.isolated {
			return false
		}
		s.isolated, s.isolatedBy = true, f
	case Clear:
	}
	s.running[f]++
	return true
}

// Ended notes that a started request no longer runs on the server.
func (r *Register) Ended(name string, f Fingerprint) {
	s := r.servers[name]
	if s == nil {
		return
	}
	if s.running[f]--; s.running[f] > 0 {
		return
	}
	delete(s.running, f)
	if s.isolated && s.isolatedBy == f {
		s.isolated = false
	}
	if len(s.running) == 0 {
		delete(r.servers, name)
	}
}

// Crashed marks the requests that were running on a server when it failed, forgets what ran there, and
// returns the marks to send over all links.
func (r *Register) Crashed(now time.Time, name string, running []Fingerprint) []Mark {
	r.crashes++
	id := CrashID{Incarnation: r.incarnation, Sequence: r.crashes}
	s := r.servers[name]
	delete(r.servers, name)
	alone := s != nil && s.isolated && slices.Contains(running, s.isolatedBy)
	var marks []Mark
	for _, f := range running {
		m := Mark{Fingerprint: f, Crash: id, Role: RolePlain, Remaining: markLife}
		if alone {
			m.Role = RoleShared
			if f == s.isolatedBy {
				m.Role = RoleIsolated
			}
		}
		if r.add(now, m) {
			marks = append(marks, m)
		}
	}
	return marks
}

// Merge takes marks from another process and returns those that are new here, which are to be sent on.
// Merging is a union by crash id, so it is idempotent and doesn't depend on the order.
func (r *Register) Merge(now time.Time, marks []Mark) []Mark {
	var fresh []Mark
	for _, m := range marks {
		if m.Remaining > 0 && r.add(now, m) {
			fresh = append(fresh, m)
		}
	}
	return fresh
}

// add returns whether the mark was new and is kept.
func (r *Register) add(now time.Time, in Mark) bool {
	m := mark{crash: in.Crash, role: in.Role, expires: now.Add(min(in.Remaining, markLife))}
	marks := r.marks[in.Fingerprint]
	if i := slices.IndexFunc(marks, func(o mark) bool { return o.crash == m.crash }); i >= 0 {
		// The earliest expiry is nearest to the reporter's: transit only adds. Taking the latest would let a
		// mark gain the transit time on every hop and never expire.
		if m.expires.Before(marks[i].expires) {
			marks[i].expires = m.expires
		}
		marks[i].role = max(marks[i].role, m.role)
		return false
	}
	if len(marks) == 0 && len(r.marks) >= r.opt.limit {
		r.prune(now)
		if len(r.marks) >= r.opt.limit && !r.evict(m.expires) {
			return false
		}
	}
	marks = append(marks, m)
	if len(marks) > maxMarks {
		// The order must not depend on the expiry, which later copies may lower: the result of a merge would
		// depend on the order of its marks.
		slices.SortFunc(marks, func(a, b mark) int { return compareCrash(a.crash, b.crash) })
		marks = marks[:maxMarks]
	}
	r.marks[in.Fingerprint] = marks
	return slices.ContainsFunc(marks, func(o mark) bool { return o.crash == m.crash })
}

func compareCrash(a, b CrashID) int {
	return cmp.Or(bytes.Compare(a.Incarnation[:], b.Incarnation[:]), cmp.Compare(a.Sequence, b.Sequence))
}

// evict drops the fingerprint whose last mark expires first, if that is before the given time.
func (r *Register) evict(before time.Time) bool {
	var victim Fingerprint
	found := false
	for f, marks := range r.marks {
		last := time.Time{}
		for _, m := range marks {
			if m.expires.After(last) {
				last = m.expires
			}
		}
		if last.Before(before) {
			victim, before, found = f, last, true
		}
	}
	delete(r.marks, victim)
	return found
}

func (r *Register) prune(now time.Time) {
	for f, marks := range r.marks {
		marks = slices.DeleteFunc(marks, func(m mark) bool { return now.After(m.expires.Add(grace)) })
		if len(marks) == 0 {
			delete(r.marks, f)
		} else {
			r.marks[f] = marks
		}
	}
}

// Marks returns all live marks with their remaining life, for a peer whose digest differs.
func (r *Register) Marks(now time.Time) []Mark {
	r.prune(now)
	var out []Mark
	for f, marks := range r.marks {
		for _, m := range marks {
			if now.Before(m.expires) {
				out = append(out, Mark{Fingerprint: f, Crash: m.crash, Role: m.role, Remaining: m.expires.Sub(now)})
			}
		}
	}
	slices.SortFunc(out, func(a, b Mark) int {
		return cmp.Or(bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]), compareCrash(a.Crash, b.Crash))
	})
	return out
}

// Sample returns at most limit marks for a peer that gets such samples all the time: the newest crashes that this register
// recorded within recent, and one of all marks in turn. Marks of others are only told in turn, because every register tells
// its own.
func (r *Register) Sample(now time.Time, recent time.Duration, limit int) []Mark {
	all := r.Marks(now)
	if len(all) == 0 {
		return nil
	}
	r.told = (r.told + 1) % len(all)
	turn := all[r.told]
	sample := slices.DeleteFunc(all, func(m Mark) bool {
		return m.Crash == turn.Crash && m.Fingerprint == turn.Fingerprint ||
			m.Crash.Incarnation != r.incarnation || m.Remaining < markLife-recent
	})
	slices.SortStableFunc(sample, func(a, b Mark) int { return cmp.Compare(b.Remaining, a.Remaining) })
	return append(sample[:min(len(sample), limit-1)], turn)
}

// Digest returns a digest of the live marks for heartbeats. Two registers with the same marks have the same
// digest, except for the short time in which a mark has expired on only one side.
func (r *Register) Digest(now time.Time) uint64 {
	var sum uint64
	var buf [41]byte
	for f, marks := range r.marks {
		copy(buf[:16], f[:])
		for _, m := range marks {
			if now.Before(m.expires) {
				copy(buf[16:32], m.crash.Incarnation[:])
				binary.LittleEndian.PutUint64(buf[32:40], m.crash.Sequence)
				buf[40] = byte(m.role)
				// XOR makes the digest independent of the map's order.
				sum ^= xxhash.Sum64(buf[:])
			}
		}
	}
	return sum
}
