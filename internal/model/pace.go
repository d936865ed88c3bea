package model

import (
	"math/rand/v2"
	"time"
)

// loadPacer spreads the loads of all sidecars over time without a coordinator. Each sidecar draws a phase once and
// starts loads only at that phase of a period of Workers/LoadsPerSecond. Whatever triggers the loads, and however
// many a sidecar needs, it starts at most one in each period, so all workers together never start more than Workers
// loads per period. Within a period, the starts are uniform and independent. The excess over the even rate is
// Kuiper's statistic, which stays under 3*sqrt(Workers) except with a probability of one in a million. The weight
// store's declared burst must allow for that excess.
//
// Alternatives: with a new random delay for each load, second and third loads overlap with the first loads of other
// sidecars. A slot by rank among the declared workers causes no burst, but the lists of workers differ while a new
// generation spreads.
type loadPacer struct {
	phase float64
	// lastSlot is the slot of the latest load. nextSlot is the slot that the next load waits for.
	lastSlot, nextSlot time.Time
}

// minLateTolerance is the lower limit of the delay after which a missed slot is skipped.
const minLateTolerance = 10 * time.Second

func newLoadPacer(source rand.Source) loadPacer { return loadPacer{phase: rand.New(source).Float64()} }

// pacingPeriod returns the period, or zero when pacing is off.
func pacingPeriod(workers int, loadsPerSecond float64) time.Duration {
	if workers <= 0 || loadsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(workers) / loadsPerSecond * float64(time.Second))
}

// tryStart reports whether a load may start now; otherwise nextSlot says when. A slot that was missed by more than an
// eighth of the period and more than minLateTolerance is skipped, because processes that resume together after a pause
// would otherwise all use their slots at once.
func (p *loadPacer) tryStart(now time.Time, period time.Duration) bool {
	if period <= 0 {
		p.lastSlot, p.nextSlot = now, time.Time{}
		return true
	}
	if p.nextSlot.IsZero() || now.Sub(p.nextSlot) > max(minLateTolerance, period/8) {
		p.nextSlot = p.slotAfter(now, period)
	}
	if now.Before(p.nextSlot) {
		return false
	}
	p.lastSlot, p.nextSlot = p.nextSlot, time.Time{}
	return true
}

// slotAfter returns the first time at the phase that is not before now and at least a period after the latest load.
func (p *loadPacer) slotAfter(now time.Time, period time.Duration) time.Time {
	earliest := now
	if next := p.lastSlot.Add(period); !p.lastSlot.IsZero() && next.After(now) {
		earliest = next
	}
	elapsed := time.Duration(earliest.UnixNano())
	slot := earliest.Add(time.Duration(p.phase*float64(period)) - elapsed%period)
	if slot.Before(earliest) {
		slot = slot.Add(period)
	}
	return slot
}
