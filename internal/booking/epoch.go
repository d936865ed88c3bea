package booking

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// maxPastEpochs is the maximum number of past epochs that a table keeps. Above it, the two oldest are merged into a
// record in which every other worker of either one counts as a possible owner of every key. The merge can only cause
// more calls to be rejected, never fewer.
const maxPastEpochs = 32

// epochRecord describes one epoch, or a span of epochs for which only the possible owners are known.
type epochRecord struct {
	ownership Ownership
	// possibleOwners lists the possible owners in a span of unknown epochs. It is unused in a record of a single epoch.
	possibleOwners []string
	known          bool
	// sealFloors holds the workers that sealed for this worker while the epoch was current. The value is the seal
	// floor: the sender has no record of keys created before it.
	sealFloors map[string]time.Time
	// leftAt holds the time at which each possible owner was first known to have left this epoch for a later one.
	leftAt map[string]time.Time
}

// any reports whether the epochs of the record are unknown, so that any of the possible owners may have owned a key. It
// is also true before the first Adopt.
func (r *epochRecord) any() bool { return !r.known }

// candidates returns the workers that may have owned the key in this record.
func (r *epochRecord) candidates(name string) []string {
	if r.any() {
		return r.possibleOwners
	}
	if o := r.ownership.ownerName(name); o != "" {
		return []string{o}
	}
	return nil
}

// members returns the workers that may have owned any key in this record.
func (r *epochRecord) members() []string {
	if r.any() {
		return r.possibleOwners
	}
	var names []string
	for _, w := range r.ownership.Workers {
		if w.InService && !w.Lost {
			names = append(names, w.Name)
		}
	}
	return names
}

// peer is the state of the transfer of entries from another worker.
type peer struct {
	worker Worker
	// nextRequest is the earliest time of the next request.
	nextRequest time.Time
	// lastName is the last entry name received from incarnation in the current epoch.
	lastName    string
	incarnation uuid.UUID
	sealed      bool
}

// Adopt makes the ownership of a new epoch current. It reports whether that epoch is newer than the current one; if
// not, nothing changes. Keys that this worker gains are rejected until their possible former owners have sealed.
func (t *Table) Adopt(now time.Time, o Ownership) bool {
	first := t.current.any()
	if !first && o.Epoch <= t.current.ownership.Epoch {
		return false
	}
	var otherWorkers []string
	for _, w := range slices.Concat(t.current.ownership.Workers, o.Workers) {
		if w.Name != t.cfg.Worker && !slices.Contains(otherWorkers, w.Name) {
			otherWorkers = append(otherWorkers, w.Name)
		}
	}
	if !first {
		t.pastEpochs = append(t.pastEpochs, t.current)
	}
	self, _ := o.worker(t.cfg.Worker)
	if first || o.Previous != t.current.ownership.Epoch || self.Lost {
		t.pastEpochs = append(t.pastEpochs, epochRecord{possibleOwners: otherWorkers, leftAt: make(map[string]time.Time)})
	}
	o.Workers = slices.Clone(o.Workers)
	t.current = epochRecord{
		ownership: o, known: true, sealFloors: make(map[string]time.Time), leftAt: make(map[string]time.Time),
	}
	t.prunePastEpochs(now)
	for _, p := range t.peers {
		p.nextRequest, p.lastName, p.sealed = now, "", false
	}
	for _, w := range o.Workers {
		if w.Name == t.cfg.Worker {
			continue
		}
		p, ok := t.peers[w.Name]
		if !ok {
			p = &peer{nextRequest: now}
			t.peers[w.Name] = p
		}
		p.worker = w
		if w.Lost {
			t.recordSeal(now, w.Name, now)
			t.failRemoteRuns(now, w.Name, uuid.Nil)
		}
	}
	for n, e := range t.entries {
		if o.ownerName(n) == t.cfg.Worker {
			e.acknowledged = false
		}
	}
	return true
}

// recordSeal records that the worker has left every earlier epoch, and that it has no record of keys created before
// floor.
func (t *Table) recordSeal(now time.Time, worker string, floor time.Time) {
	t.peers[worker].sealed = true
	t.current.sealFloors[worker] = floor
	for i := range t.pastEpochs {
		if _, ok := t.pastEpochs[i].leftAt[worker]; !ok {
			t.pastEpochs[i].leftAt[worker] = now
		}
	}
}

// prunePastEpochs drops records whose keys have all expired, and merges the oldest records when there are too many.
func (t *Table) prunePastEpochs(now time.Time) {
	expired := func(r *epochRecord) bool {
		for _, n := range r.members() {
			left, ok := r.leftAt[n]
			if n != t.cfg.Worker && (!ok || now.Before(left.Add(t.longestKeyLifetime(now)+2*t.longestClockSkew(now)))) {
				return false
			}
		}
		return true
	}
	for len(t.pastEpochs) > 0 && expired(&t.pastEpochs[0]) {
		t.pastEpochs = t.pastEpochs[1:]
	}
	for len(t.pastEpochs) > maxPastEpochs {
		older, newer := &t.pastEpochs[0], &t.pastEpochs[1]
		merged := epochRecord{leftAt: make(map[string]time.Time)}
		for _, r := range []*epochRecord{older, newer} {
			for _, n := range r.members() {
				if n != t.cfg.Worker && !slices.Contains(merged.possibleOwners, n) {
					merged.possibleOwners = append(merged.possibleOwners, n)
				}
			}
		}
		for _, n := range merged.possibleOwners {
			// newer is the later record, so a worker that has left it has left older too.
			if at, ok := newer.leftAt[n]; ok {
				merged.leftAt[n] = at
			}
		}
		t.pastEpochs = slices.Replace(t.pastEpochs, 0, 2, merged)
	}
}

// Epoch returns the current epoch, or zero before the first Adopt.
func (t *Table) Epoch() uint64 { return t.current.ownership.Epoch }

// UnsealedEpochs returns the past epochs in which a possible former owner has not yet sealed for the current epoch.
// Zero stands for a span of unknown epochs.
func (t *Table) UnsealedEpochs() []uint64 {
	var unsealed []uint64
	for i := range t.pastEpochs {
		for _, n := range t.pastEpochs[i].members() {
			if _, ok := t.current.sealFloors[n]; !ok && n != t.cfg.Worker {
				unsealed = append(unsealed, t.pastEpochs[i].ownership.Epoch)
				break
			}
		}
	}
	return unsealed
}

// priorRun is the result of checking whether a key without an entry may have run before.
type priorRun uint8

const (
	priorRunExcluded     priorRun = iota
	priorRunPossible              // the outcome is unknown
	priorRunUndetermined          // a seal of a possible former owner is still missing
)

// priorRun reports whether a key without an entry may have run before, here or at another worker. For an epoch in which
// this worker owned the key, it searches the earlier epochs, newest first. Every worker that may have owned the key in
// them must have sealed for this worker in the later epoch. The search ends at an earlier epoch in which this worker
// owned the key and had all the seals it needed, because from then on no other worker could run the key without a seal
// from this one. A seal from an epoch in which another worker owned the key proves nothing about the key, because a
// seal carries only the receiver's keys.
func (t *Table) priorRun(now time.Time, name string) priorRun {
	createdAt, hasTimestamp := keyTime(name)
	mayPredate := func(floor time.Time) bool {
		if hasTimestamp {
			return createdAt.Before(floor.Add(t.longestClockSkew(now)))
		}
		return now.Before(floor.Add(t.longestKeyLifetime(now)))
	}
	n := len(t.pastEpochs)
	owned := make([]bool, n+1)
	results := make([]priorRun, n+1)
	candidates := make([][]string, n)
	for i := range t.pastEpochs {
		candidates[i] = t.pastEpochs[i].candidates(name)
		owned[i] = !t.pastEpochs[i].any() && slices.Contains(candidates[i], t.cfg.Worker)
	}
	owned[n] = true
	for i := range results {
		if !owned[i] {
			continue
		}
		sealed := t.current.sealFloors
		if i < n {
			sealed = t.pastEpochs[i].sealFloors
		}
		result := priorRunExcluded
		for j := i - 1; j >= 0; j-- {
			if owned[j] {
				if results[j] != priorRunUndetermined {
					result = max(result, results[j])
					break
				}
				continue
			}
			for _, w := range candidates[j] {
				if floor, ok := sealed[w]; !ok {
					result = priorRunUndetermined
				} else if mayPredate(floor) {
					result = max(result, priorRunPossible)
				}
			}
		}
		results[i] = result
	}
	if mayPredate(t.cfg.Start) {
		results[n] = max(results[n], priorRunPossible)
	}
	return results[n]
}
