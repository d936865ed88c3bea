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
}

// Option changes a setting of a Registry.
type Option func(*options)

// WithMaxFingerprints sets how many fingerprints the registry holds. The default is 4096, which takes less than 1 MB.
func WithMaxFingerprints(n int) Option { return func(o *options) { o.limit = n } }

// markLifetime is how long a crash is remembered. All processes must use the same value, because the time of a crash
// is derived from the remaining lifetime of its marks.
const markLifetime = time.Hour

// defaultQuarantine is how long a request is quarantined after its last crash, unless SetQuarantine is called.
const defaultQuarantine = 10 * time.Minute

// crashesToIsolatedQuarantine is the number of crashes after which a request is quarantined. After the first it runs isolated.
const crashesToIsolatedQuarantine = 2

// maxMarksPerFingerprint limits the crashes remembered for one fingerprint. By default, quarantine allows about six
// crashes in a mark's lifetime, so the limit is reached only when marks spread late.
const maxMarksPerFingerprint = 16

// expiredRetention is how long an expired mark is kept without effect. Within this time, a late copy from another
// process is recognized, so that a mark cannot be renewed by circulating between processes.
const expiredRetention = 2 * time.Minute

type mark struct {
	crash   CrashID
	role    CrashRole
	expires time.Time
}

// Registry remembers which requests were running when servers failed. It must be used by one goroutine at a time.
type Registry struct {
	incarnation  uuid.UUID
	opt          options
	lastSequence uint64
	marks        map[Fingerprint][]mark
	servers      map[string]*server
}

// server holds the requests that run on one backend server.
type server struct {
	running             map[Fingerprint]int
	isolated            bool
	isolatedFingerprint Fingerprint
}

// New returns an empty registry. The incarnation must be a random identifier of this start of the process.
func New(incarnation uuid.UUID, opts ...Option) *Registry {
	o := options{quarantine: defaultQuarantine, limit: 4096}
	for _, opt := range opts {
		opt(&o)
	}
	return &Registry{
		incarnation: incarnation, opt: o, marks: make(map[Fingerprint][]mark), servers: make(map[string]*server),
	}
}

// SetQuarantine sets the quarantine time. It also applies to crashes that are already known and is limited to the
// lifetime of a mark.
func (r *Registry) SetQuarantine(d time.Duration) { r.opt.quarantine = min(d, markLifetime) }

// Quarantine returns the quarantine time.
func (r *Registry) Quarantine() time.Duration { return r.opt.quarantine }

// Check returns the state of a request.
func (r *Registry) Check(now time.Time, f Fingerprint) State {
	marks, ok := r.marks[f]
	if !ok {
		return NotSuspect{}
	}
	// All crashes that a request shared with isolated suspects count as one, and as none if there is also a plain
	// crash. An innocent request is therefore not quarantined for crashes of other requests on the same server.
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
		return NotSuspect{}
	}
	if until := last.Add(r.opt.quarantine - markLifetime); count >= crashesToIsolatedQuarantine && now.Before(until) {
		return Quarantined{Until: until}
	}
	return Isolated{}
}

// TryStart records that a request starts on a server and reports whether it may. A quarantined request must not start.
// A suspect may start only while neither another suspect nor a copy of itself runs there.
func (r *Registry) TryStart(now time.Time, name string, f Fingerprint) bool {
	s := r.servers[name]
	if s == nil {
		s = &server{running: make(map[Fingerprint]int)}
		r.servers[name] = s
	}
	switch r.Check(now, f).(type) {
	case Quarantined:
		return false
	case Isolated:
		for other := range s.running {
			if _, clear := r.Check(now, other).(NotSuspect); !clear {
				return false
			}
		}
		if s.isolated {
			return false
		}
		s.isolated, s.isolatedFingerprint = true, f
	case NotSuspect:
	}
	s.running[f]++
	return true
}

// End records that a started request no longer runs on the server.
func (r *Registry) End(name string, f Fingerprint) {
	s := r.servers[name]
	if s == nil {
		return
	}
	if s.running[f]--; s.running[f] > 0 {
		return
	}
	delete(s.running, f)
	if s.isolated && s.isolatedFingerprint == f {
		s.isolated = false
	}
	if len(s.running) == 0 {
		delete(r.servers, name)
	}
}

// RecordCrash marks the requests that were running on a server when it failed and drops the server's state. It returns
// the marks to send over all links.
func (r *Registry) RecordCrash(now time.Time, name string, running []Fingerprint) []Mark {
	r.lastSequence++
	id := CrashID{Incarnation: r.incarnation, Sequence: r.lastSequence}
	s := r.servers[name]
	delete(r.servers, name)
	isolated := s != nil && s.isolated && slices.Contains(running, s.isolatedFingerprint)
	var marks []Mark
	for _, f := range running {
		m := Mark{Fingerprint: f, Crash: id, Role: RolePlain, Remaining: markLifetime}
		if isolated {
			m.Role = RoleShared
			if f == s.isolatedFingerprint {
				m.Role = RoleIsolated
			}
		}
		if r.add(now, m) {
			marks = append(marks, m)
		}
	}
	return marks
}

// Merge adds marks from another process and returns those that are new to this registry, which the caller forwards. The
// merge is a set union by crash id, so it is idempotent and does not depend on the order.
func (r *Registry) Merge(now time.Time, marks []Mark) []Mark {
	var added []Mark
	for _, m := range marks {
		if m.Remaining > 0 && r.add(now, m) {
			added = append(added, m)
		}
	}
	return added
}

// add reports whether the mark is new and was kept.
func (r *Registry) add(now time.Time, in Mark) bool {
	m := mark{crash: in.Crash, role: in.Role, expires: now.Add(min(in.Remaining, markLifetime))}
	marks := r.marks[in.Fingerprint]
	if i := slices.IndexFunc(marks, func(o mark) bool { return o.crash == m.crash }); i >= 0 {
		// The earliest expiry is closest to the reporter's, because transit can only delay it. With the latest
		// expiry, a mark would gain the transit time on every hop and never expire.
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
	if len(marks) > maxMarksPerFingerprint {
		// The sort key must not include the expiry, which later copies may lower. Otherwise the result of a merge
		// would depend on the order of its marks.
		slices.SortFunc(marks, func(a, b mark) int { return compareCrash(a.crash, b.crash) })
		marks = marks[:maxMarksPerFingerprint]
	}
	r.marks[in.Fingerprint] = marks
	return slices.ContainsFunc(marks, func(o mark) bool { return o.crash == m.crash })
}

func compareCrash(a, b CrashID) int {
	return cmp.Or(bytes.Compare(a.Incarnation[:], b.Incarnation[:]), cmp.Compare(a.Sequence, b.Sequence))
}

// evict drops the fingerprint whose last mark expires first, if that is before the given time. It reports whether it
// dropped one.
func (r *Registry) evict(before time.Time) bool {
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
	if found {
		delete(r.marks, victim)
	}
	return found
}

func (r *Registry) prune(now time.Time) {
	for f, marks := range r.marks {
		marks = slices.DeleteFunc(marks, func(m mark) bool { return now.After(m.expires.Add(expiredRetention)) })
		if len(marks) == 0 {
			delete(r.marks, f)
		} else {
			r.marks[f] = marks
		}
	}
}

// Marks returns all live marks with their remaining lifetime, for a peer with a different digest.
func (r *Registry) Marks(now time.Time) []Mark {
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

// MarksDigest returns a digest of the live marks for heartbeats. Two registries with the same marks have the same
// digest, except for the short time in which a mark has expired on only one side.
func (r *Registry) MarksDigest(now time.Time) uint64 {
	var sum uint64
	var buf [41]byte
	for f, marks := range r.marks {
		copy(buf[:16], f[:])
		for _, m := range marks {
			if now.Before(m.expires) {
				copy(buf[16:32], m.crash.Incarnation[:])
				binary.LittleEndian.PutUint64(buf[32:40], m.crash.Sequence)
				buf[40] = byte(m.role)
				// XOR makes the digest independent of the iteration order of the map.
				sum ^= xxhash.Sum64(buf[:])
			}
		}
	}
	return sum
}
