package dispatch

import (
	"math"
	"time"

	"berylward.example/berylward/internal/route"
)

// workMemory is the time constant with which the prefill that was admitted or sent is forgotten.
const workMemory = 10 * time.Second

// HoldID identifies a held request until it is sent or ends.
type HoldID uint64

// HeldPrompt is a long prompt that a gateway holds until its turn.
type HeldPrompt struct {
	Service Key
	// Rank is the urgency of the prompt. It is 0 if the requests for the service are not ranked.
	Rank route.Rank
	// Workspace is the key of the workspace; 0 if the requests for the service are not ranked.
	Workspace Key
	// Waited is the time since the request arrived, Prefill the prefill time of the prompt on one engine.
	Waited, Prefill time.Duration
}

// LongWork is the prefill of the long prompts of one rank for a service at a gateway, as time on one engine.
type LongWork struct {
	Service Key
	Rank    route.Rank
	// Admitted is what was held or sent, Sent what was sent; the older, the less it counts.
	Admitted, Sent PrefillByLength
	// Pending is what was sent and is probably not done yet.
	Pending time.Duration
}

// add adds the work of another gateway.
func (w *LongWork) add(other LongWork) {
	w.Admitted.addAll(&other.Admitted)
	w.Sent.addAll(&other.Sent)
	w.Pending += other.Pending
}

// longQueue holds the long prompts that all gateways hold until their turn, and the prefill of those that they have admitted.
type longQueue struct {
	lastID HoldID
	held   map[HoldID]heldPrompt
	work   map[workKey]*ownWork
	// running counts the short prompts that this gateway has sent and that have not ended, if others for their service are less
	// urgent.
	running map[workKey]int
	// workspaces is the engine time that workspaces have got, for services whose requests are ranked.
	workspaces map[workspaceKey]*ownWorkspace
	peers      map[string]peerQueue
	changed    bool
}

// workKey identifies the requests of one rank for a service.
type workKey struct {
	service Key
	rank    route.Rank
}

// rank returns the rank of the request, or 0 if the requests for its service are not ranked.
func (p RequestProfile) rank() route.Rank {
	if !p.Ranks.Ranked() {
		return 0
	}
	return p.Rank
}

func (p RequestProfile) workKey() workKey { return workKey{p.Service, p.rank()} }

type heldPrompt struct {
	service   Key
	rank      route.Rank
	workspace Key
	arrivedAt time.Time
	prefill   time.Duration
}

// ownWork is the prefill of the long prompts that this gateway has admitted and sent, as of countedAt.
type ownWork struct {
	admitted, sent PrefillByLength
	countedAt      time.Time
}

// peerQueue is the last report of another gateway.
type peerQueue struct {
	held       []heldPrompt
	work       []LongWork
	running    []RunningShort
	workspaces []WorkspaceTime
}

func newLongQueue() longQueue {
	return longQueue{
		held: map[HoldID]heldPrompt{}, work: map[workKey]*ownWork{}, running: map[workKey]int{},
		workspaces: map[workspaceKey]*ownWorkspace{}, peers: map[string]peerQueue{},
	}
}

// forget reduces the work by the time that has passed.
func (w *ownWork) forget(now time.Time) {
	if elapsed := now.Sub(w.countedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / workMemory.Seconds())
		w.admitted.scale(keep)
		w.sent.scale(keep)
		w.countedAt = now
	}
}

// ownWorkOf returns the work of this gateway of one rank for a service.
func (q *longQueue) ownWorkOf(now time.Time, key workKey) *ownWork {
	w := q.work[key]
	if w == nil {
		w = &ownWork{countedAt: now}
		q.work[key] = w
	}
	w.forget(now)
	return w
}

// RecordHold records that a request is held, and returns the HoldID under which it is known until EndHold. A request
// that is held again keeps the HoldID of its profile. The HoldID is zero if the request does not wait for its turn.
func (p *Planner) RecordHold(now time.Time, profile RequestProfile, h Hold) HoldID {
	if h.Reason != HoldTurn && h.Reason != HoldLate {
		p.EndHold(profile.HoldID)
		return 0
	}
	id := profile.HoldID
	if id == 0 {
		p.queue.lastID++
		id = p.queue.lastID
		p.queue.recordAdmission(now, profile)
	}
	held := heldPrompt{
		service: profile.Service, rank: profile.rank(), workspace: profile.workspace(), arrivedAt: profile.arrivedAt(),
		prefill: profile.PrefillTime(),
	}
	p.queue.changed = p.queue.changed || p.queue.held[id] != held
	p.queue.held[id] = held
	return id
}

// recordAdmission counts a long prompt that is held or sent for the first time. Refused prompts do not count, so that they change
// nothing for others.
func (q *longQueue) recordAdmission(now time.Time, profile RequestProfile) {
	q.ownWorkOf(now, profile.workKey()).admitted.Add(profile.PrefillTime(), profile.PrefillTime())
	q.recordReturn(now, profile)
}

// EndHold records that a held request has been sent or has ended.
func (p *Planner) EndHold(id HoldID) {
	if _, ok := p.queue.held[id]; ok {
		delete(p.queue.held, id)
		p.queue.changed = true
	}
}

// QueueReport is what a gateway holds and what it knows of the long prompts that it has admitted.
type QueueReport struct {
	Held []HeldPrompt
	Work []LongWork
	// Running are the short prompts for services whose requests are ranked.
	Running []RunningShort
	// Workspaces are those that have got the most engine time, for services whose requests are ranked.
	Workspaces []WorkspaceTime
}

// minReportedWork is the work below which a service is dropped.
const minReportedWork = time.Millisecond

// Queue returns this gateway's report to other gateways.
func (p *Planner) Queue(now time.Time) QueueReport {
	report := QueueReport{Held: make([]HeldPrompt, 0, len(p.queue.held)), Work: make([]LongWork, 0, len(p.queue.work))}
	for _, h := range p.queue.held {
		report.Held = append(report.Held, HeldPrompt{
			Service: h.service, Rank: h.rank, Workspace: h.workspace, Waited: now.Sub(h.arrivedAt), Prefill: h.prefill,
		})
	}
	for key, w := range p.queue.work {
		w.forget(now)
		pending := p.pendingLong(now, key)
		if w.admitted.Total()+w.sent.Total()+pending < minReportedWork {
			delete(p.queue.work, key)
			continue
		}
		report.Work = append(report.Work, LongWork{Service: key.service, Rank: key.rank, Admitted: w.admitted, Sent: w.sent, Pending: pending})
	}
	report.Running, report.Workspaces = p.queue.runningShort(), p.queue.workspaceReport(now)
	return report
}

// SetPeerQueue replaces the report of another gateway. It counts as long as the loads that the gateway has reported.
func (p *Planner) SetPeerQueue(now time.Time, gateway string, report QueueReport) {
	q := peerQueue{work: report.Work, running: report.Running, workspaces: report.Workspaces}
	for _, h := range report.Held {
		q.held = append(q.held, heldPrompt{
			service: h.Service, rank: h.Rank, workspace: h.Workspace, arrivedAt: now.Add(-h.Waited), prefill: h.Prefill,
		})
	}
	p.queue.peers[gateway] = q
}

// HeldLong returns how many long prompts all gateways hold until their turn, as far as they have reported it, and their prefill
// time on one engine in total.
func (p *Planner) HeldLong(now time.Time) (prompts int, prefill time.Duration) {
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

// workOf returns the work of all gateways of one rank for a service, without what is pending at this gateway.
func (q *longQueue) workOf(now time.Time, key workKey) LongWork {
	sum := LongWork{Service: key.service, Rank: key.rank}
	if w := q.work[key]; w != nil {
		w.forget(now)
		sum.Admitted, sum.Sent = w.admitted, w.sent
	}
	for _, peer := range q.peers {
		for _, w := range peer.work {
			if w.Service == key.service && w.Rank == key.rank {
				sum.add(w)
			}
		}
	}
	return sum
}

// heldFor returns a prompt and the others for its service that all gateways hold.
func (q *longQueue) heldFor(profile RequestProfile) []queuedPrompt {
	queued := []queuedPrompt{{
		arrivedAt: profile.arrivedAt(), prefill: profile.PrefillTime(), rank: profile.rank(), workspace: profile.workspace(), own: true,
	}}
	add := func(h heldPrompt) {
		if h.service == profile.Service {
			queued = append(queued, queuedPrompt{arrivedAt: h.arrivedAt, prefill: h.prefill, rank: h.rank, workspace: h.workspace})
		}
	}
	for id, h := range q.held {
		if id != profile.HoldID {
			add(h)
		}
	}
	for _, peer := range q.peers {
		for _, h := range peer.held {
			add(h)
		}
	}
	return queued
}

// pendingLong returns the prefill of the long prompts of one rank for a service that this gateway has sent and that is
// probably not done.
func (p *Planner) pendingLong(now time.Time, key workKey) time.Duration {
	var pending time.Duration
	for _, r := range p.requests {
		if !r.short && r.service == key.service && r.rank == key.rank && !r.prefillDone {
			pending += r.prefillLeft(now)
		}
	}
	return pending
}

// minPrefillLeft is the share of a prompt's prefill that counts as pending until its first event, however long that takes.
const minPrefillLeft = 0.1

// prefillLeft returns the prefill of a prompt that is probably not done, on the assumption that it goes on evenly until the first
// event is expected.
func (r *placedRequest) prefillLeft(now time.Time) time.Duration {
	left := 1.0
	if r.expected > 0 {
		left -= now.Sub(r.placedAt).Seconds() / r.expected.Seconds()
	}
	return scale(r.prefill*time.Duration(r.parts()), max(left, minPrefillLeft))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
