package booking

import (
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/pkg/answer"
)

// SealRequest asks another worker for its seal. Seals are pulled rather than pushed. Each seal answers a request that
// the receiver made after it adopted the epoch, so a delayed seal from an incarnation that has ended is not counted,
// and the sender keeps no state per receiver.
type SealRequest struct {
	Service string
	// From and Incarnation identify the requesting worker.
	From        string
	Incarnation uuid.UUID
	// To is the worker asked for its seal.
	To Worker
	// Epoch is the requesting worker's epoch. Only a worker in the same epoch seals.
	Epoch uint64
	// After is the name of the last entry already received from the incarnation Sender. It acknowledges all entries up
	// to that name.
	After  string
	Sender uuid.UUID
	// Keys are the entry names whose runs were in progress at the other worker when it sealed. The requesting worker
	// needs their outcome.
	Keys []string
}

// Seal is a worker's confirmation that it is in the requested epoch and no longer starts runs for keys that it does not
// own in that epoch. It carries the entries that the requesting worker now owns, split into chunks of one message each.
type Seal struct {
	Service string
	// From and Incarnation identify the sealing worker, To and Receiver the requesting one.
	From        string
	Incarnation uuid.UUID
	To          string
	Receiver    uuid.UUID
	Epoch       uint64
	// Age is the time since the sealing incarnation started. It has no record of keys created before that.
	Age time.Duration
	// Answers are the outcomes of the request's Keys. They are sent regardless of the epoch.
	Answers []SealEntry
	// SameEpoch reports whether the sealing worker is in the epoch of the request. If not, the fields below are empty.
	SameEpoch bool
	// After is the position from the request, or empty if that position refers to another incarnation of the sealing
	// worker. Entries continue from it in the order of their names.
	After   string
	Entries []SealEntry
	// Last reports that no more entries follow.
	Last bool
}

// SealEntry is a table entry transferred in a seal.
type SealEntry struct {
	Name        string
	Fingerprint Fingerprint
	Outcome     SealOutcome
	// Remaining is the remaining lifetime of the key.
	Remaining time.Duration
}

// SealOutcome is the state of a transferred entry. It is a sealed interface, implemented only by SealDone,
// SealUnknown, SealRunning and SealNone.
//
//sumtype:decl
type SealOutcome interface{ sealOutcome() }

// SealDone is a completed run with its answer.
type SealDone struct{ Answer Answer }

// SealUnknown is a run that happened or may have happened and has no stored answer.
type SealUnknown struct{ Reason answer.Reason }

// SealRunning is a run still in progress. The receiver rejects the key until it learns the outcome.
type SealRunning struct{}

// SealNone answers a request for a key that the sender no longer holds, because the key never ran or has expired.
type SealNone struct{}

func (SealDone) sealOutcome()    {}
func (SealUnknown) sealOutcome() {}
func (SealRunning) sealOutcome() {}
func (SealNone) sealOutcome()    {}

// maxRequestKeys is the maximum number of keys in a request. Together with MaxKeyLength it bounds the size of the
// message.
const maxRequestKeys = 1000

// DueSealRequests returns the seal requests that are due, at most one for each other worker.
func (t *Table) DueSealRequests(now time.Time) []SealRequest {
	remoteRuns := make(map[string][]string)
	for n, e := range t.entries {
		if e.state == stateRemote && len(remoteRuns[e.origin]) < maxRequestKeys {
			remoteRuns[e.origin] = append(remoteRuns[e.origin], n)
		}
	}
	self, _ := t.current.ownership.worker(t.cfg.Worker)
	var due []SealRequest
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		// A worker that owns no keys needs no seals.
		if now.Before(p.nextRequest) || p.worker.Lost || len(remoteRuns[name]) == 0 && (p.sealed || !self.InService) {
			continue
		}
		p.nextRequest = now.Add(retryInterval)
		slices.Sort(remoteRuns[name])
		due = append(due, SealRequest{
			Service: t.cfg.Service, From: t.cfg.Worker, Incarnation: t.cfg.Incarnation, To: p.worker,
			Epoch: t.current.ownership.Epoch, After: p.lastName, Sender: p.incarnation, Keys: remoteRuns[name],
		})
	}
	return due
}

// Seal answers a request. It returns false when there is nothing to send: the request is for another service or worker,
// this table has not adopted an epoch yet, or the two workers are in different epochs and the request asked for no
// outcomes.
func (t *Table) Seal(now time.Time, r SealRequest) (Seal, bool) {
	if r.Service != t.cfg.Service || r.To.Name != t.cfg.Worker || t.current.any() {
		return Seal{}, false
	}
	if p, ok := t.peers[r.From]; ok && r.Epoch >= t.current.ownership.Epoch && !p.sealed {
		// The request shows that the peer has reached this epoch, so it can be asked for its own seal at once.
		p.nextRequest = now
	}
	s := Seal{
		Service: t.cfg.Service, From: t.cfg.Worker, Incarnation: t.cfg.Incarnation, To: r.From,
		Receiver: r.Incarnation, Epoch: t.current.ownership.Epoch, Age: now.Sub(t.cfg.Start),
	}
	size := 0
	for _, name := range r.Keys {
		if size < t.opt.chunkSize {
			s.Answers = append(s.Answers, t.sealEntry(now, name))
			size += t.sealEntrySize(name)
		}
	}
	if r.Epoch != t.current.ownership.Epoch {
		return s, len(s.Answers) > 0
	}
	s.SameEpoch, s.Last = true, true
	if r.Sender == t.cfg.Incarnation {
		s.After = r.After
	}
	var names []string
	for n, e := range t.entries {
		// Do not transfer an expired entry: it could collide with a later run of the same opaque key at the receiver.
		if e.ticket || e.state == stateRemote || e.expired(now) || t.current.ownership.ownerName(n) != r.From {
			continue
		}
		if n > s.After {
			names = append(names, n)
		} else if e.state != stateRunning && !e.reportedRunning {
			e.acknowledged = true
		}
	}
	slices.Sort(names)
	for _, n := range names {
		if size > 0 && size+t.sealEntrySize(n) > t.opt.chunkSize {
			s.Last = false
			break
		}
		size += t.sealEntrySize(n)
		s.Entries = append(s.Entries, t.sealEntry(now, n))
	}
	return s, true
}

func (t *Table) sealEntrySize(name string) int {
	n := entryOverhead + len(name)
	if e, ok := t.entries[name]; ok {
		n += len(e.answer.Body) + len(e.answer.ContentType)
	}
	return n
}

func (t *Table) sealEntry(now time.Time, name string) SealEntry {
	e, ok := t.entries[name]
	if !ok {
		return SealEntry{Name: name, Outcome: SealNone{}}
	}
	se := SealEntry{Name: name, Fingerprint: e.fingerprint, Remaining: max(0, e.expiresAt.Sub(now))}
	switch e.state {
	case stateDone:
		se.Outcome = SealDone{e.answer}
	case stateUnknown:
		se.Outcome = SealUnknown{e.reason}
	case stateRunning, stateRemote:
		e.reportedRunning = true
		se.Outcome = SealRunning{}
	}
	return se
}

// ReceiveResult describes the effect of a received seal.
type ReceiveResult struct {
	// Sealed reports that the sender has now sealed in the current epoch.
	Sealed bool
	// TableFull reports that entries did not fit. They will be requested again.
	TableFull bool
	// Conflicts counts keys with two runs. It is nonzero only if an invariant is violated.
	Conflicts int
}

// Receive merges a seal. Seals may be duplicated, delayed or reordered: entries are merged by name, and only the chunk
// that follows the last one received advances the position.
func (t *Table) Receive(now time.Time, s Seal) ReceiveResult {
	p, ok := t.peers[s.From]
	if !ok || s.Service != t.cfg.Service || s.To != t.cfg.Worker || s.Receiver != t.cfg.Incarnation {
		return ReceiveResult{}
	}
	var result ReceiveResult
	for _, se := range s.Answers {
		if e, ok := t.entries[se.Name]; ok && e.state == stateRemote && e.origin == s.From {
			t.mergeEntry(now, s, se, &result)
		}
	}
	t.failRemoteRuns(now, s.From, s.Incarnation)
	// Do not keep entries of another epoch: the worker that holds them transfers them to the current owner.
	if !s.SameEpoch || s.Epoch != t.current.ownership.Epoch {
		return result
	}
	if p.incarnation != s.Incarnation {
		p.incarnation, p.lastName = s.Incarnation, ""
	}
	inSequence := s.After == p.lastName
	for _, se := range s.Entries {
		if !t.mergeEntry(now, s, se, &result) {
			result.TableFull = true
			return result
		}
		if inSequence {
			p.lastName = se.Name
		}
	}
	if inSequence && s.Last && !p.sealed {
		// Transit time moves the seal floor later, which can only make the outcome of more keys unknown, never of
		// fewer.
		t.recordSeal(now, s.From, now.Add(-s.Age))
		result.Sealed = true
	}
	if inSequence && !s.Last {
		p.nextRequest = now
	}
	return result
}

// mergeEntry merges a transferred entry and reports whether it fits. Outcomes are final, so an existing outcome is
// kept, except that an unknown outcome is replaced by an answer.
func (t *Table) mergeEntry(now time.Time, s Seal, se SealEntry, result *ReceiveResult) bool {
	old, held := t.lookup(now, se.Name)
	e := &entry{fingerprint: se.Fingerprint, expiresAt: now.Add(se.Remaining)}
	if createdAt, hasTimestamp := keyTime(se.Name); hasTimestamp {
		// The sender may still use a shorter key lifetime.
		e.expiresAt = later(e.expiresAt, createdAt.Add(t.opt.keyLifetime+2*t.opt.clockSkew))
	}
	switch o := se.Outcome.(type) {
	case SealDone:
		if held && (old.state == stateRunning || old.state == stateDone && !old.answer.equal(o.Answer)) {
			result.Conflicts++
		}
		if held && (old.state == stateRunning || old.state == stateDone) {
			// Copies of one run must expire together, or the next run of an opaque key could meet an older copy.
			old.expiresAt = later(old.expiresAt, e.expiresAt)
			return true
		}
		e.state, e.answer = stateDone, o.Answer
	case SealUnknown:
		if held && old.state == stateRunning {
			result.Conflicts++
		}
		if held && old.state != stateRemote {
			old.expiresAt = later(old.expiresAt, e.expiresAt)
			return true
		}
		e.state, e.reason = stateUnknown, o.Reason
	case SealRunning:
		if held {
			return true
		}
		e.state, e.origin, e.incarnation = stateRemote, s.From, s.Incarnation
	case SealNone:
		if held && old.state == stateRemote && old.incarnation == s.Incarnation {
			t.drop(se.Name, old)
		}
		return true
	}
	if !t.makeRoom(now, se.Name, t.cost(se.Name, e), t.opt.memoryLimit, t.opt.maxEntries) {
		return false
	}
	t.put(se.Name, e)
	return true
}

// failRemoteRuns sets the outcome to unknown for keys that were running at the worker under an incarnation other than
// the given one, because that incarnation has ended without reporting their outcome.
func (t *Table) failRemoteRuns(now time.Time, worker string, incarnation uuid.UUID) {
	for n, e := range t.entries {
		if e.state == stateRemote && e.origin == worker && e.incarnation != incarnation {
			t.put(n, &entry{
				state: stateUnknown, fingerprint: e.fingerprint, reason: answer.ReasonBackendFailed,
				expiresAt: later(e.expiresAt, now.Add(t.opt.keyLifetime)),
			})
		}
	}
}
