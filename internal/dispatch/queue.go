package dispatch

import (
	"math"
	"time"
)

// offeredMemory is the time constant with which the prefill that has arrived is forgotten.
const offeredMemory = 10 * time.Second

// HoldID identifies a held request until it is sent or ends.
type HoldID uint64

// HeldPrompt is a heavy prompt that a gateway holds.
type HeldPrompt struct {
	Service, Route Key
	// Waited is the time since the request arrived, Prefill the prefill time of the prompt on one engine.
	Waited, Prefill time.Duration
	// Due means that the prompt may be sent at any time, and is held because it would be late.
	Due bool
}

// OfferedPrefill is the prefill time of the long prompts for a service that have arrived at a gateway; the older an
// arrival, the less it counts. Heavy is the part of heavy prompts.
type OfferedPrefill struct {
	Service      Key
	Heavy, Total time.Duration
}

// longQueue holds the heavy prompts that all gateways hold, and the prefill of the long prompts that have arrived at
// them.
type longQueue struct {
	lastID  HoldID
	held    map[HoldID]heldPrompt
	offered map[Key]*offeredPrefill
	peers   map[string]peerQueue
	changed bool
}

type heldPrompt struct {
	service, route Key
	arrivedAt      time.Time
	prefill        time.Duration
	due            bool
}

// offeredPrefill is prefill time in seconds, as of countedAt.
type offeredPrefill struct {
	heavy, total float64
	countedAt    time.Time
}

// peerQueue is the last report of another gateway.
type peerQueue struct {
	held    []heldPrompt
	offered []OfferedPrefill
}

func newLongQueue() longQueue {
	return longQueue{held: map[HoldID]heldPrompt{}, offered: map[Key]*offeredPrefill{}, peers: map[string]peerQueue{}}
}

// forget reduces the counts by the time that has passed.
func (o *offeredPrefill) forget(now time.Time) {
	if elapsed := now.Sub(o.countedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / offeredMemory.Seconds())
		o.heavy, o.total, o.countedAt = o.heavy*keep, o.total*keep, now
	}
}

// RecordArrival counts a request that has arrived at this gateway.
func (p *Planner) RecordArrival(now time.Time, profile RequestProfile) {
	if profile.Engine == nil || profile.Short() {
		return
	}
	o := p.queue.offered[profile.Service]
	if o == nil {
		o = &offeredPrefill{}
		p.queue.offered[profile.Service] = o
	}
	o.forget(now)
	o.total += profile.PrefillTime().Seconds()
	if profile.heavy() {
		o.heavy += profile.PrefillTime().Seconds()
	}
}

// RecordHold records that a request is held, and returns the HoldID under which it is known until EndHold. A request
// that is held again keeps the HoldID of its profile. The HoldID is zero if the request is not in the queue of heavy
// prompts.
func (p *Planner) RecordHold(profile RequestProfile, h Hold) HoldID {
	if !profile.heavy() || h.Reason != HoldHeavy && h.Reason != HoldLate {
		p.EndHold(profile.HoldID)
		return 0
	}
	id := profile.HoldID
	if id == 0 {
		p.queue.lastID++
		id = p.queue.lastID
	}
	held := heldPrompt{
		service: profile.Service, route: profile.Route, arrivedAt: profile.arrivedAt(), prefill: profile.PrefillTime(),
		due: h.Reason == HoldLate,
	}
	p.queue.changed = p.queue.changed || p.queue.held[id] != held
	p.queue.held[id] = held
	return id
}

// EndHold records that a held request has been sent or has ended.
func (p *Planner) EndHold(id HoldID) {
	if _, ok := p.queue.held[id]; ok {
		delete(p.queue.held, id)
		p.queue.changed = true
	}
}

// QueueReport is a gateway's part of the queue of heavy prompts, and what it knows of the long prompts that have arrived.
type QueueReport struct {
	Held    []HeldPrompt
	Offered []OfferedPrefill
}

// Queue returns this gateway's report to other gateways.
func (p *Planner) Queue(now time.Time) QueueReport {
	report := QueueReport{Held: make([]HeldPrompt, 0, len(p.queue.held)), Offered: make([]OfferedPrefill, 0, len(p.queue.offered))}
	for _, h := range p.queue.held {
		report.Held = append(report.Held, HeldPrompt{Service: h.service, Route: h.route, Waited: now.Sub(h.arrivedAt), Prefill: h.prefill, Due: h.due})
	}
	for service, o := range p.queue.offered {
		o.forget(now)
		report.Offered = append(report.Offered, OfferedPrefill{Service: service, Heavy: seconds(o.heavy), Total: seconds(o.total)})
	}
	return report
}

// SetPeerQueue replaces the report of another gateway. It counts as long as the loads that the gateway has reported.
func (p *Planner) SetPeerQueue(now time.Time, gateway string, report QueueReport) {
	q := peerQueue{offered: report.Offered}
	for _, h := range report.Held {
		q.held = append(q.held, heldPrompt{service: h.Service, route: h.Route, arrivedAt: now.Add(-h.Waited), prefill: h.Prefill, due: h.Due})
	}
	p.queue.peers[gateway] = q
}

// HeldHeavy returns how many heavy prompts all gateways hold, as far as they have reported it, and their prefill time on one
// engine in total.
func (p *Planner) HeldHeavy(now time.Time) (prompts int, prefill time.Duration) {
	p.expirePeers(now)
	for _, h := range p.queue.held {
		prompts, prefill = prompts+1, prefill+h.prefill
	}
	for _, peer := range p.queue.peers {
		for _, h := range peer.held {
			prompts, prefill = prompts+1, prefill+h.prefill
		}
	}
	return prompts, prefill
}

// heavyShare returns the part of heavy prompts in the prefill that has arrived at all gateways for a service.
func (q *longQueue) heavyShare(now time.Time, service Key) float64 {
	var heavy, total float64
	if o := q.offered[service]; o != nil {
		o.forget(now)
		heavy, total = o.heavy, o.total
	}
	for _, peer := range q.peers {
		for _, o := range peer.offered {
			if o.Service == service {
				heavy, total = heavy+o.Heavy.Seconds(), total+o.Total.Seconds()
			}
		}
	}
	return heavy / max(total, 1)
}

// queuedPrefill is the prefill of the heavy prompts that are held, as seen by one request.
type queuedPrefill struct {
	// older is that of prompts which arrived earlier, younger that of later ones, due that of prompts which may be sent.
	older, younger, due time.Duration
	// sameRoute is set if one of them has the request's route.
	sameRoute bool
}

func (q *queuedPrefill) add(profile RequestProfile, h heldPrompt) {
	if h.service != profile.Service {
		return
	}
	q.sameRoute = q.sameRoute || h.route == profile.Route
	switch {
	case h.due:
		q.due += h.prefill
	case h.arrivedAt.Before(profile.arrivedAt()):
		q.older += h.prefill
	default:
		q.younger += h.prefill
	}
}

// seenBy returns the prefill of the heavy prompts that all gateways hold, except for the request itself.
func (q *longQueue) seenBy(profile RequestProfile) queuedPrefill {
	var queued queuedPrefill
	for id, h := range q.held {
		if id != profile.HoldID {
			queued.add(profile, h)
		}
	}
	for _, peer := range q.peers {
		for _, h := range peer.held {
			queued.add(profile, h)
		}
	}
	return queued
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
