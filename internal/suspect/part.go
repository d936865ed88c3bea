package suspect

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of prompts that several requests share.
type Part uint64

// NewPart returns the identifier of a part. Its name is not case-sensitive.
func NewPart(name string) Part { return Part(xxhash.Sum64String(strings.ToLower(name))) }

// String returns the identifier in hexadecimal.
func (p Part) String() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(p)))
}

// ServerKey identifies one incarnation of a backend server. It is the same in all processes.
type ServerKey uint32

// RequestTag tells requests apart in the evidence against a part. Repeats of a request have the same tag.
type RequestTag uint16

// Tag returns the tag of a request with this fingerprint.
func (f Fingerprint) Tag() RequestTag { return RequestTag(binary.LittleEndian.Uint16(f[:])) }

// Implication means that a request with a part had been sent to a backend server that ended, and that its answer had not
// begun or had only just begun.
type Implication struct {
	Part    Part
	Request RequestTag
}

// PartState is the state of the parts of a prompt. It is a sealed interface: PartsUsable, PartProbe and PartQuarantined are
// its only implementations.
//
//sumtype:decl
type PartState interface{ partState() }

// PartsUsable means that a request with these parts may be sent.
type PartsUsable struct{}

// PartProbe means that the request may be sent as the one that shows whether a quarantined part still ends backend servers.
type PartProbe struct{ Part Part }

// PartQuarantined means that a request with these parts must not be sent before Until.
type PartQuarantined struct {
	Part  Part
	Until time.Time
}

func (PartsUsable) partState()     {}
func (PartProbe) partState()       {}
func (PartQuarantined) partState() {}

const (
	// crashesToQuarantine is the number of crashes by different requests, without an answer after them, for which a part is
	// quarantined.
	crashesToQuarantine = 3
	// sameCauseWindow is the time within which crashes count as one. Backend servers that end together have a cause of
	// their own, such as a rack that loses power.
	sameCauseWindow = 250 * time.Millisecond
	// crashMemory is how long a crash counts.
	crashMemory = 30 * time.Second
	// A part is first quarantined for tentativeTime: a popular part may be implicated in a few crashes by chance. One request
	// then shows whether it is the cause. If it is, the part is quarantined for firmTime, and each further time for twice as
	// long, up to maxQuarantine.
	tentativeTime = 600 * time.Millisecond
	firmTime      = 2 * time.Minute
	maxQuarantine = 30 * time.Minute
	// tentativeStagger and firmStagger are the times between the probes of two processes after a quarantine has ended,
	// probeTimeout the time in which a probe has an outcome.
	tentativeStagger = time.Second
	firmStagger      = 5 * time.Second
	probeTimeout     = 15 * time.Second
	// jointProbeDelay is the further time for which a request with several quarantined parts is not tried.
	jointProbeDelay = 5 * time.Second
	// clearanceMemory is how long the last answer on a part that was implicated is remembered.
	clearanceMemory = maxQuarantine

	maxCrashes      = 64
	maxImplications = 32
	maxClearances   = 512
	maxQuarantines  = 64
)

// crash is the end of one incarnation of a backend server, as far as it is known from all gateways.
type crash struct {
	server ServerKey
	at     time.Time
	all    []Implication
	// own are the implications that this process has recorded itself. reports counts how often the crash was reported to others.
	own     []*ownImplication
	reports int
}

// partQuarantine is the decision that a part ends backend servers.
type partQuarantine struct {
	until     time.Time
	lastCrash time.Time
	// times counts the quarantines in a row. The first is tentative.
	times int
	// probeEnds is until when a request of this or another process probes the part. ownProbe is set if it is one of this
	// process, which alone reports it.
	probeEnds time.Time
	ownProbe  bool
	// reports counts how often the quarantine was reported to others since the last decision or the begin of the last own probe.
	reports int
}

func (c *partQuarantine) tentative() bool { return c.times <= 1 }

// probeFrom returns when a process of a rank may try the part again.
func (c *partQuarantine) probeFrom(rank int) time.Time {
	stagger := firmStagger
	if c.tentative() {
		stagger = tentativeStagger
	}
	from := c.until.Add(time.Duration(rank) * stagger)
	if c.probeEnds.After(from) {
		return c.probeEnds
	}
	return from
}

// extend quarantines the part once more, after a probe has ended a backend server.
func (c *partQuarantine) extend(now, lastCrash time.Time) {
	c.times++
	c.until, c.lastCrash, c.probeEnds = now.Add(min(firmTime<<min(c.times-2, 8), maxQuarantine)), lastCrash, time.Time{}
	c.ownProbe, c.reports = false, 0
}

// PartRegistry finds parts of prompts that end the backend servers which begin an answer on them. Every crash implicates the
// parts of all requests there whose answers had not begun. An answer that begins and goes on clears its parts of all earlier
// crashes, so only a part without such answers collects them. What a part that was quarantined for good has caused counts against
// no other part. Evidence and quarantines are exchanged by PartReport, and a merge is idempotent. A
// PartRegistry must be used by one goroutine at a time.
type PartRegistry struct {
	crashes []*crash // in the order of time
	cleared map[Part]time.Time
	// ownCleared holds the answers that this process has recorded itself. Only these are reported: passed on by others,
	// they would become younger by the time of each transmission.
	ownCleared  map[Part]*ownClearance
	quarantined map[Part]*partQuarantine
	// unjudged is set while there is evidence that judge has not seen.
	unjudged bool
}

// NewPartRegistry returns an empty registry.
func NewPartRegistry() *PartRegistry {
	return &PartRegistry{cleared: map[Part]time.Time{}, ownCleared: map[Part]*ownClearance{}, quarantined: map[Part]*partQuarantine{}}
}

// Holds reports whether one of these parts is quarantined. If not, Check returns PartsUsable.
func (r *PartRegistry) Holds(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return r.quarantined[p] != nil })
}

// Check returns the state of a prompt with these parts. rank is the position of this process among those that may try a part
// again; a probe that is allowed counts as begun.
func (r *PartRegistry) Check(now time.Time, rank int, parts []Part) PartState {
	var found []*partQuarantine
	var part Part
	var from time.Time
	for _, p := range parts {
		c := r.quarantined[p]
		if c == nil {
			continue
		}
		if found = append(found, c); !c.probeFrom(rank).Before(from) {
			part, from = p, c.probeFrom(rank)
		}
	}
	if len(found) == 0 {
		return PartsUsable{}
	}
	if len(found) > 1 {
		// The outcome would not tell which of them is the cause. Other requests may have only one.
		from = from.Add(jointProbeDelay)
	}
	if now.Before(from) {
		return PartQuarantined{Part: part, Until: from}
	}
	for _, c := range found {
		c.probeEnds, c.ownProbe, c.reports = now.Add(probeTimeout), true, 0
	}
	return PartProbe{Part: part}
}

// CancelProbe ends the probe of a request with these parts that was not sent, so that another request may take its place.
func (r *PartRegistry) CancelProbe(parts []Part) {
	for _, p := range parts {
		if c := r.quarantined[p]; c != nil {
			c.probeEnds, c.ownProbe = time.Time{}, false
		}
	}
}

// Quarantined returns the quarantined parts and until when each is not sent, for the status of the process.
func (r *PartRegistry) Quarantined(now time.Time) map[Part]time.Time {
	list := map[Part]time.Time{}
	for p, c := range r.quarantined {
		if now.Before(c.until) {
			list[p] = c.until
		}
	}
	return list
}

// RecordAnswer records that an answer on these parts, which began at a time, has gone on. It returns the parts that are no
// longer quarantined.
func (r *PartRegistry) RecordAnswer(began time.Time, parts []Part) []Part {
	var released []Part
	for _, p := range parts {
		if !r.implicated(p) || r.cleared[p].After(began) {
			continue
		}
		r.recordClearance(p, began)
		if r.clear(p, began) {
			released = append(released, p)
		}
	}
	return released
}

// clear records the time of an answer on a part and reports whether that ends its quarantine.
func (r *PartRegistry) clear(p Part, at time.Time) bool {
	if len(r.cleared) >= maxClearances {
		r.dropOldestClearance()
	}
	r.cleared[p] = at
	c := r.quarantined[p]
	if c == nil || !at.After(c.lastCrash) {
		return false
	}
	delete(r.quarantined, p)
	return true
}

func (r *PartRegistry) dropOldestClearance() {
	var oldest Part
	var at time.Time
	for p, t := range r.cleared {
		if at.IsZero() || t.Before(at) {
			oldest, at = p, t
		}
	}
	delete(r.cleared, oldest)
}

// implicated reports whether a crash that still counts implicates a part, or whether the part is quarantined.
func (r *PartRegistry) implicated(p Part) bool {
	if r.quarantined[p] != nil {
		return true
	}
	return slices.ContainsFunc(r.crashes, func(c *crash) bool { return c.implicates(p) })
}

func (c *crash) implicates(p Part) bool {
	return slices.ContainsFunc(c.all, func(i Implication) bool { return i.Part == p })
}

// RecordCrash records that a backend server has ended, and what that implicates as far as this process knows. It returns the
// parts that are quarantined now and were not before.
func (r *PartRegistry) RecordCrash(now time.Time, server ServerKey, implications []Implication) []Part {
	c := r.addCrash(server, now, implications)
	for _, i := range implications {
		known := slices.ContainsFunc(c.own, func(o *ownImplication) bool { return o.Implication == i })
		if len(c.own) < maxImplications && !known {
			c.own, c.reports = append(c.own, &ownImplication{Implication: i}), 0
		}
	}
	return r.judge(now)
}

// addCrash adds implications to a crash. Its time is the earliest at which a process has learned of it.
func (r *PartRegistry) addCrash(server ServerKey, at time.Time, implications []Implication) *crash {
	i := slices.IndexFunc(r.crashes, func(c *crash) bool { return c.server == server })
	if i < 0 {
		r.crashes = append(r.crashes, &crash{server: server, at: at})
		i = len(r.crashes) - 1
	}
	c := r.crashes[i]
	if at.Before(c.at) {
		c.at = at
	}
	for _, i := range implications {
		if len(c.all) < maxImplications && !slices.Contains(c.all, i) {
			c.all = append(c.all, i)
			r.unjudged = true
		}
	}
	slices.SortStableFunc(r.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	if len(r.crashes) > maxCrashes {
		r.crashes = r.crashes[1:]
	}
	return c
}

// judge quarantines the parts against which there is enough evidence, and returns them. It ends tentative quarantines whose
// crashes another part has turned out to have caused.
func (r *PartRegistry) judge(now time.Time) []Part {
	if !r.unjudged {
		return nil
	}
	r.unjudged = false
	r.expire(now)
	var added []Part
	counts := r.counts()
	for p, c := range r.quarantined {
		if c.tentative() && counts[p] < crashesToQuarantine {
			delete(r.quarantined, p)
		}
	}
	for p, count := range counts {
		if count >= crashesToQuarantine && r.quarantine(now, p) {
			added = append(added, p)
		}
	}
	slices.Sort(added)
	return added
}

// counts returns for each part the number of unexplained crashes that implicate it by different requests, and that its last
// answer does not precede.
func (r *PartRegistry) counts() map[Part]int {
	type evidence struct {
		count    int
		last     time.Time
		requests []RequestTag
	}
	found := map[Part]*evidence{}
	for _, c := range r.crashes {
		if r.explained(c) {
			continue
		}
		for _, i := range c.all {
			if !r.cleared[i.Part].Before(c.at) {
				continue
			}
			e := found[i.Part]
			if e == nil {
				e = &evidence{}
				found[i.Part] = e
			}
			if slices.Contains(e.requests, i.Request) || e.count > 0 && c.at.Sub(e.last) < sameCauseWindow {
				continue
			}
			e.count, e.last, e.requests = e.count+1, c.at, append(e.requests, i.Request)
		}
	}
	counts := make(map[Part]int, len(found))
	for p, e := range found {
		counts[p] = e.count
	}
	return counts
}

// explained reports whether a part that was quarantined for good is the cause of a crash.
func (r *PartRegistry) explained(c *crash) bool {
	return slices.ContainsFunc(c.all, func(i Implication) bool {
		known := r.quarantined[i.Part]
		return known != nil && !known.tentative()
	})
}

// quarantine quarantines a part, and reports whether it was not quarantined before. If there are too many, the part whose last
// crash is the oldest makes room.
func (r *PartRegistry) quarantine(now time.Time, p Part) bool {
	if r.quarantined[p] != nil {
		return false
	}
	added := &partQuarantine{until: now.Add(tentativeTime), lastCrash: r.lastCrash(p), times: 1}
	if len(r.quarantined) >= maxQuarantines && !r.dropQuarantineBefore(added.lastCrash) {
		return false
	}
	r.quarantined[p] = added
	return true
}

// dropQuarantineBefore drops the quarantine of the part whose last crash is the oldest, if that is before a time, and reports
// whether it dropped one.
func (r *PartRegistry) dropQuarantineBefore(before time.Time) bool {
	var oldest Part
	found := false
	for p, c := range r.quarantined {
		if c.lastCrash.Before(before) {
			oldest, before, found = p, c.lastCrash, true
		}
	}
	if found {
		delete(r.quarantined, oldest)
	}
	return found
}

// lastCrash returns the time of the last crash that implicates a part.
func (r *PartRegistry) lastCrash(p Part) time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if c.implicates(p) {
			last = c.at
		}
	}
	return last
}

// expire drops what does not count any more, and quarantines parts again that have ended a backend server on probe.
func (r *PartRegistry) expire(now time.Time) {
	for p, c := range r.quarantined {
		last := r.lastCrash(p)
		switch {
		case last.After(c.until):
			c.extend(now, last)
			r.unjudged = true
		case last.After(c.lastCrash):
			c.lastCrash = last
		case now.Sub(c.until) > maxQuarantine:
			delete(r.quarantined, p)
		}
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c *crash) bool { return now.Sub(c.at) > crashMemory })
	for p, at := range r.cleared {
		if now.Sub(at) > clearanceMemory {
			delete(r.cleared, p)
		}
	}
	for p, c := range r.ownCleared {
		if now.Sub(c.at) > reportPeriod {
			delete(r.ownCleared, p)
		}
	}
}
