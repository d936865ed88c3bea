package suspect

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"
)

// treeDegree is the degree of the trees below. Wider nodes are slower to change and hardly faster to search.
const treeDegree = 16

// end is the end of a backend server, as far as it concerns one request.
type end struct {
	crash *crashRecord
	at    time.Time
	probe bool
	// own is set if this process has recorded the end itself. reports counts how often it was reported to others.
	own     bool
	reports int
	// dropped is set when the end does not count any more.
	dropped bool
}

// crashRecord is the end of a backend server, or the break of one of its connections, whatever requests ran there.
type crashRecord struct {
	id CrashID
	// at is the earliest time that was reported for it, which delays in transit affect least.
	at time.Time
	// ends counts the ends that refer to it, causes those of requests that are taken for the cause.
	ends, causes int
	// probes holds the suspect requests that were on probe there.
	probes []*lostRequest
}

// lostRequest is a request that ran on backend servers that ended.
type lostRequest struct {
	fingerprint Fingerprint
	// ends is ordered by crash. first and last are the times of the earliest and the latest one.
	ends        []*end
	first, last time.Time
	// cause is set if the request is taken for the cause: it was on probe as the only one when a server ended.
	cause bool
}

// suspect reports whether the request has ends enough to be quarantined.
func (r *lostRequest) suspect() bool { return len(r.ends) >= crashesToQuarantine }

// add adds an end.
func (r *lostRequest) add(e *end) {
	i, _ := slices.BinarySearchFunc(r.ends, e, func(a, b *end) int { return compareCrash(a.crash.id, b.crash.id) })
	r.ends = slices.Insert(r.ends, i, e)
}

// evidence holds the ends of backend servers by request and by crash. Indexes are kept with each change, so that the work of a
// change, a verdict and the choice of a relayed end hardly grows with the number of requests.
type evidence struct {
	requests map[Fingerprint]*lostRequest
	crashes  map[CrashID]*crashRecord
	// all and suspects are ordered by fingerprint, byLast by the time of the last end.
	all, suspects, byLast *btree.BTreeG[*lostRequest]
	// servers holds the crashes that are known to be ends of servers, the last one first.
	servers *btree.BTreeG[*crashRecord]
}

func newEvidence() *evidence {
	byFingerprint := func(a, b *lostRequest) bool { return bytes.Compare(a.fingerprint[:], b.fingerprint[:]) < 0 }
	byLast := func(a, b *lostRequest) bool {
		return cmp.Or(a.last.Compare(b.last), bytes.Compare(a.fingerprint[:], b.fingerprint[:])) < 0
	}
	lastFirst := func(a, b *crashRecord) bool { return cmp.Or(b.at.Compare(a.at), compareCrash(a.id, b.id)) < 0 }
	return &evidence{
		requests: map[Fingerprint]*lostRequest{}, crashes: map[CrashID]*crashRecord{}, all: btree.NewG(treeDegree, byFingerprint),
		suspects: btree.NewG(treeDegree, byFingerprint), byLast: btree.NewG(treeDegree, byLast), servers: btree.NewG(treeDegree, lastFirst),
	}
}

// find returns the end of a request by its crash, or nil.
func (v *evidence) find(f Fingerprint, crash CrashID) *end {
	r := v.requests[f]
	if r == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(r.ends, crash, func(e *end, id CrashID) int { return compareCrash(e.crash.id, id) })
	if !ok {
		return nil
	}
	return r.ends[i]
}

// add adds an end of a crash to those of a request.
func (v *evidence) add(f Fingerprint, crash CrashID, e *end) {
	r := v.requests[f]
	if r == nil {
		r = &lostRequest{fingerprint: f}
		v.requests[f] = r
		v.all.ReplaceOrInsert(r)
	}
	e.crash = v.crashes[crash]
	if e.crash == nil {
		e.crash = &crashRecord{id: crash, at: e.at}
		v.crashes[crash] = e.crash
		if _, known := crash.ServerOf(); known {
			v.servers.ReplaceOrInsert(e.crash)
		}
	}
	e.crash.ends++
	v.advance(e.crash, e.at)
	v.change(r, func() { r.add(e) })
}

// advance moves the time of a crash to an earlier one.
func (v *evidence) advance(c *crashRecord, at time.Time) {
	if !at.Before(c.at) {
		return
	}
	_, isServer := v.servers.Delete(c)
	if c.at = at; isServer {
		v.servers.ReplaceOrInsert(c)
	}
}

// correct records that an end of a request was earlier than known, or that the request was on probe.
func (v *evidence) correct(f Fingerprint, e *end, at time.Time, probe bool) {
	if !at.Before(e.at) && (e.probe || !probe) {
		return
	}
	v.advance(e.crash, at)
	v.change(v.requests[f], func() {
		e.probe = e.probe || probe
		if at.Before(e.at) {
			e.at = at
		}
	})
}

// drop drops the ends of a request that a function selects, and the request with its last one.
func (v *evidence) drop(r *lostRequest, selects func(*end) bool) {
	if !slices.ContainsFunc(r.ends, selects) {
		return
	}
	var dropped []*end
	v.change(r, func() {
		kept := make([]*end, 0, len(r.ends))
		for _, e := range r.ends {
			if selects(e) {
				dropped = append(dropped, e)
			} else {
				kept = append(kept, e)
			}
		}
		r.ends = kept
	})
	for _, e := range dropped {
		e.dropped = true
		if e.crash.ends--; e.crash.ends == 0 {
			delete(v.crashes, e.crash.id)
			v.servers.Delete(e.crash)
		}
	}
	if len(r.ends) == 0 {
		delete(v.requests, r.fingerprint)
		v.all.Delete(r)
	}
}

// change changes the ends of a request and keeps the indexes in step.
func (v *evidence) change(r *lostRequest, fn func()) {
	v.byLast.Delete(r)
	v.setCause(r, false)
	if r.suspect() {
		v.suspects.Delete(r)
		v.eachProbe(r, func(c *crashRecord) {
			c.probes = slices.DeleteFunc(c.probes, func(other *lostRequest) bool { return other == r })
		})
	}
	fn()
	if len(r.ends) == 0 {
		return
	}
	r.first, r.last = r.ends[0].at, r.ends[0].at
	for _, e := range r.ends[1:] {
		if e.at.Before(r.first) {
			r.first = e.at
		}
		if e.at.After(r.last) {
			r.last = e.at
		}
	}
	v.byLast.ReplaceOrInsert(r)
	if r.suspect() {
		v.suspects.ReplaceOrInsert(r)
		v.eachProbe(r, func(c *crashRecord) { c.probes = append(c.probes, r) })
	}
}

// eachProbe calls a function for each crash of a request that was on probe there, and then decides anew which of the requests on
// probe there are taken for the cause.
func (v *evidence) eachProbe(r *lostRequest, fn func(*crashRecord)) {
	for _, e := range r.ends {
		if !e.probe {
			continue
		}
		fn(e.crash)
		for _, other := range e.crash.probes {
			v.setCause(other, slices.ContainsFunc(other.ends, func(e *end) bool { return e.probe && len(e.crash.probes) == 1 }))
		}
	}
}

func (v *evidence) setCause(r *lostRequest, cause bool) {
	if r.cause == cause {
		return
	}
	r.cause = cause
	for _, e := range r.ends {
		if cause {
			e.crash.causes++
		} else {
			e.crash.causes--
		}
	}
}

// verdict returns the decision on a request, and reports whether it is quarantined. A request that was on probe as the only one
// when a server ended is taken for the cause, and what it has caused counts against no other request.
func (v *evidence) verdict(f Fingerprint) (verdict, bool) {
	r := v.requests[f]
	if r == nil || !r.suspect() {
		return verdict{}, false
	}
	result, unexplained := verdict{last: r.last}, 0
	for _, e := range r.ends {
		switch {
		case !e.probe:
		case len(e.crash.probes) == 1:
			result.probes++
		default:
			result.sharedProbes++
		}
		if e.crash.causes == 0 {
			unexplained++
		}
	}
	if result.probes == 0 && unexplained < crashesToQuarantine {
		return verdict{}, false
	}
	v.servers.Ascend(func(c *crashRecord) bool {
		if v.find(f, c.id) != nil {
			return true
		}
		result.lastOther = c.at
		return false
	})
	return result, true
}

// oldest returns the request whose last end is the oldest, or nil.
func (v *evidence) oldest() *lostRequest {
	r, _ := v.byLast.Min()
	return r
}

// cursor is a position in the order of all ends, by fingerprint and crash.
type cursor struct {
	fingerprint Fingerprint
	crash       CrashID
}

// next returns the end that follows a position among those of the selected requests in a tree, and moves the position there. After
// the last end it begins anew. It looks at most at limit requests and returns nil if it has found none.
func (c *cursor) next(tree *btree.BTreeG[*lostRequest], limit int, selects func(*lostRequest) bool) *end {
	var found *end
	visit := func(r *lostRequest) bool {
		if limit--; limit < 0 {
			return false
		}
		first := 0
		if r.fingerprint == c.fingerprint {
			first, _ = slices.BinarySearchFunc(r.ends, c.crash, func(e *end, id CrashID) int {
				if compareCrash(e.crash.id, id) <= 0 {
					return -1
				}
				return 1
			})
		}
		if first == len(r.ends) {
			return true
		}
		if selects(r) {
			found = r.ends[first]
			c.fingerprint, c.crash = r.fingerprint, found.crash.id
			return false
		}
		c.fingerprint, c.crash = r.fingerprint, r.ends[len(r.ends)-1].crash.id
		return true
	}
	tree.AscendGreaterOrEqual(&lostRequest{fingerprint: c.fingerprint}, visit)
	if found == nil && limit > 0 {
		*c = cursor{}
		tree.Ascend(visit)
	}
	return found
}
