package suspect

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
)

// RequestState is the state of a whole request at a process that shares its backend servers with others. It is a sealed
// interface: RequestUsable, RequestProbe and RequestQuarantined are its only implementations.
//
//sumtype:decl
type RequestState interface{ requestState() }

// RequestUsable means that the request may be sent.
type RequestUsable struct{}

// RequestProbe means that the request may be sent as the one that shows whether it still ends backend servers.
type RequestProbe struct{}

// RequestQuarantined means that the request must not be sent before Until.
type RequestQuarantined struct{ Until time.Time }

func (RequestUsable) requestState()      {}
func (RequestProbe) requestState()       {}
func (RequestQuarantined) requestState() {}

const (
	// endMemory is how long the end of a backend server counts against the requests that ran there. Ends that others report
	// count a little less long, so that none is renewed by being passed on.
	endMemory         = time.Hour
	endMemoryReported = endMemory - 2*time.Minute
	// requestTentativeTime is how long a request is quarantined while the ends of backend servers may have another cause. It
	// doubles with each inconclusive probe: another request was on probe at the same server. Other ends don't
	// lengthen it: the request was sent before they were known, or while another one was taken for the cause. A request that has
	// ended a server on probe is quarantined for requestProbedTime, and requestProbedFactor times as long after each further such
	// end: probes may be lost to other causes too. No time exceeds maxRequestTime.
	requestTentativeTime = 600 * time.Millisecond
	requestProbedTime    = 3 * time.Second
	requestProbedFactor  = 40
	maxRequestTime       = 10 * time.Minute
	// requestProbeStagger is the time between the first probes of two processes, longer than a report takes to arrive. It does
	// not grow beyond the rank maxStaggeredRank: a rare request may arrive at a process of any rank.
	requestProbeStagger = 300 * time.Millisecond
	maxStaggeredRank    = 10
	// requestProbeTimeout is the time in which a probe has an outcome; its backend server may end after its caller has left.
	requestProbeTimeout = 5 * time.Second
	// requestProbeWait is how long the next request waits for the probe of another one. A process has one probe at a time, so
	// that a sound request is not on probe beside the cause.
	requestProbeWait = 250 * time.Millisecond

	maxSuspectRequests = 4096
	maxEndsPerRequest  = 16
)

// LostRequest is a request that had been sent to a backend server that ended. Probe is set if it was on probe.
type LostRequest struct {
	Fingerprint Fingerprint
	Probe       bool
}

// requestAnswer is the last complete answer to a request.
type requestAnswer struct {
	at time.Time
	// own is set if this process has recorded the answer itself. reports counts how often it was reported to others.
	own     bool
	reports int
}

type requestProbe struct {
	ends time.Time
	own  bool
}

// verdict is the decision that a request is not sent.
type verdict struct {
	last time.Time // of the ends of backend servers
	// lastOther is the last end of a backend server that the request had not been sent to.
	lastOther time.Time
	// probes counts the ends with this request as the only one on probe, sharedProbes those with others on probe too.
	probes, sharedProbes int
}

// until returns when the request may be tried again. While other servers end, a probe that is lost would say nothing.
func (v verdict) until() time.Time {
	until, afterOthers := v.last.Add(v.wait()), v.lastOther.Add(requestTentativeTime)
	if afterOthers.After(until) {
		return afterOthers
	}
	return until
}

func (v verdict) wait() time.Duration {
	if v.probes == 0 {
		return min(requestTentativeTime<<min(v.sharedProbes, maxEndsPerRequest), maxRequestTime)
	}
	wait := requestProbedTime
	for n := 1; n < v.probes && wait < maxRequestTime; n++ {
		wait *= requestProbedFactor
	}
	return min(wait, maxRequestTime)
}

// RequestRegistry finds requests that end the backend servers which run them, from what all processes that send to these
// servers report. A request is quarantined when crashesToQuarantine servers have ended under it and it has not been answered
// since: one that ends each server is never answered. Others that ran on the same servers may be quarantined with it, so each is
// tried again soon, one at a time. A merge is idempotent. A RequestRegistry must be used by one goroutine at a time.
type RequestRegistry struct {
	incarnation  uuid.UUID
	lastSequence uint64
	evidence     *evidence
	answers      map[Fingerprint]*requestAnswer
	probes       map[Fingerprint]requestProbe
	// recent holds the ends that this process has recorded lately. relayed is the position of the end of all that was passed on
	// last, and relayedQuarantined that of the end of quarantined requests.
	recent                      []suspectEnd
	relayed, relayedQuarantined cursor
	lastExpiry                  time.Time
}

// NewRequestRegistry returns an empty registry. The incarnation must be a random identifier of this start of the process.
func NewRequestRegistry(incarnation uuid.UUID) *RequestRegistry {
	return &RequestRegistry{
		incarnation: incarnation, evidence: newEvidence(), answers: map[Fingerprint]*requestAnswer{}, probes: map[Fingerprint]requestProbe{},
	}
}

// crashOf returns the identifier of the end of one incarnation of a backend server, which is the same in all processes.
func crashOf(server ServerKey) CrashID {
	var id CrashID
	binary.BigEndian.PutUint32(id.Incarnation[:], uint32(server))
	return id
}

// ServerOf returns the backend server of a crash, and reports whether the crash is known to be its end.
func (c CrashID) ServerOf() (ServerKey, bool) {
	server := ServerKey(binary.BigEndian.Uint32(c.Incarnation[:]))
	return server, c == crashOf(server)
}

// RecordEnd records that a backend server has ended under requests. Several processes may record the same end.
func (r *RequestRegistry) RecordEnd(now time.Time, server ServerKey, lost ...LostRequest) {
	for _, l := range lost {
		r.recordOwn(now, crashOf(server), l)
	}
}

// RecordBreak records that the connection of a request broke at a backend server that still takes new ones. It may have ended
// and started again meanwhile.
func (r *RequestRegistry) RecordBreak(now time.Time, lost LostRequest) {
	r.lastSequence++
	r.recordOwn(now, CrashID{Incarnation: r.incarnation, Sequence: r.lastSequence}, lost)
}

func (r *RequestRegistry) recordOwn(now time.Time, crash CrashID, l LostRequest) {
	if l.Probe {
		delete(r.probes, l.Fingerprint)
	}
	if e := r.add(l.Fingerprint, crash, now, l.Probe); e != nil && !e.own {
		e.own = true
		r.recent = append(r.recent, suspectEnd{l.Fingerprint, e})
	}
}

// add adds an end to those of a request, unless it is known or a later answer contradicts it. It returns the end that is kept,
// and nil if there is none.
func (r *RequestRegistry) add(f Fingerprint, crash CrashID, at time.Time, probe bool) *end {
	if answer, ok := r.answers[f]; ok && !at.After(answer.at) {
		return nil
	}
	if e := r.evidence.find(f, crash); e != nil {
		r.evidence.correct(f, e, at, probe)
		return e
	}
	known := r.evidence.requests[f]
	if known == nil && len(r.evidence.requests) >= maxSuspectRequests && !r.evictBefore(at) {
		return nil
	}
	in := &end{at: at, probe: probe}
	if known != nil && len(known.ends) >= maxEndsPerRequest {
		weakest := weakestEvidence(append(slices.Clone(known.ends), in))
		if weakest == in {
			return nil
		}
		r.evidence.drop(known, func(e *end) bool { return e == weakest })
	}
	r.evidence.add(f, crash, in)
	return in
}

// weakestEvidence returns the end of a server that is the weakest evidence about a request: the earliest one that it was not on probe for, or the
// earliest of all.
func weakestEvidence(list []*end) *end {
	return slices.MinFunc(list, func(a, b *end) int {
		if a.probe != b.probe {
			if b.probe {
				return -1
			}
			return 1
		}
		return a.at.Compare(b.at)
	})
}

// evictBefore drops the request whose last end is the oldest, if that is before a time, and reports whether it dropped one.
func (r *RequestRegistry) evictBefore(before time.Time) bool {
	oldest := r.evidence.oldest()
	if oldest == nil || !oldest.last.Before(before) {
		return false
	}
	r.evidence.drop(oldest, func(*end) bool { return true })
	return true
}

// RecordAnswer records a complete answer to a request, and reports whether that ends a quarantine.
func (r *RequestRegistry) RecordAnswer(now time.Time, f Fingerprint) bool {
	if r.evidence.requests[f] == nil {
		return false
	}
	return r.clear(now, f, true)
}

// clear drops the ends before an answer, and reports whether that ends the quarantine of the request.
func (r *RequestRegistry) clear(at time.Time, f Fingerprint, own bool) bool {
	if known, ok := r.answers[f]; !ok || at.After(known.at) {
		r.answers[f] = &requestAnswer{at: at, own: own}
	}
	lost := r.evidence.requests[f]
	if lost == nil {
		return false
	}
	_, quarantined := r.evidence.verdict(f)
	r.evidence.drop(lost, func(e *end) bool { return !e.at.After(at) })
	if len(lost.ends) == 0 {
		delete(r.probes, f)
	}
	_, still := r.evidence.verdict(f)
	return quarantined && !still
}

// Check returns the state of a request. rank is the position of this process among those that may try it again; a probe that
// is allowed counts as begun.
func (r *RequestRegistry) Check(now time.Time, rank int, f Fingerprint) RequestState {
	v, ok := r.quarantined(now, f)
	if !ok {
		return RequestUsable{}
	}
	from := v.until().Add(time.Duration(min(rank, maxStaggeredRank)) * requestProbeStagger)
	if now.Before(from) {
		return RequestQuarantined{Until: from}
	}
	for other, probe := range r.probes {
		if (probe.own || other == f) && now.Before(probe.ends) {
			return RequestQuarantined{Until: now.Add(requestProbeWait)}
		}
	}
	r.probes[f] = requestProbe{now.Add(requestProbeTimeout), true}
	return RequestProbe{}
}

// Quarantined reports whether a request is quarantined. It changes nothing.
func (r *RequestRegistry) Quarantined(now time.Time, f Fingerprint) bool {
	_, ok := r.quarantined(now, f)
	return ok
}

func (r *RequestRegistry) quarantined(now time.Time, f Fingerprint) (verdict, bool) {
	r.expire(now)
	return r.evidence.verdict(f)
}

// CancelProbe ends the probe of a request that was not sent, or that told nothing.
func (r *RequestRegistry) CancelProbe(f Fingerprint) {
	if r.probes[f].own {
		delete(r.probes, f)
	}
}

// List returns until when each quarantined request is not sent, for the status of the process.
func (r *RequestRegistry) List(now time.Time) map[Fingerprint]time.Time {
	r.expire(now)
	list := map[Fingerprint]time.Time{}
	r.evidence.suspects.Ascend(func(lost *lostRequest) bool {
		if v, ok := r.evidence.verdict(lost.fingerprint); ok && now.Before(v.until()) {
			list[lost.fingerprint] = v.until()
		}
		return true
	})
	return list
}

// expire drops what does not count any more. It does so at most once a second.
func (r *RequestRegistry) expire(now time.Time) {
	if now.Sub(r.lastExpiry) < time.Second {
		return
	}
	r.lastExpiry = now
	for _, lost := range r.evidence.requests {
		if now.Sub(lost.first) > endMemory {
			r.evidence.drop(lost, func(e *end) bool { return now.Sub(e.at) > endMemory })
		}
	}
	maps.DeleteFunc(r.answers, func(_ Fingerprint, a *requestAnswer) bool { return now.Sub(a.at) > endMemory })
	maps.DeleteFunc(r.probes, func(_ Fingerprint, p requestProbe) bool { return !now.Before(p.ends) })
	r.trimAnswers()
}

// trimAnswers drops the oldest answers when there are too many.
func (r *RequestRegistry) trimAnswers() {
	excess := len(r.answers) - maxSuspectRequests
	if excess <= 0 {
		return
	}
	oldestFirst := slices.SortedFunc(maps.Keys(r.answers), func(a, b Fingerprint) int {
		return cmp.Or(r.answers[a].at.Compare(r.answers[b].at), bytes.Compare(a[:], b[:]))
	})
	for _, f := range oldestFirst[:excess] {
		delete(r.answers, f)
	}
}
