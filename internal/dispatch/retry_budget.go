package dispatch

import (
	"math/rand/v2"
	"time"
)

const (
	// The retry limit of all gateways together is divided evenly among them. A gateway may always use
	// unconditionalShare of its part, and up to maxGatewayShare of it while the retries of all gateways stay below
	// maxTotalShare of the whole limit, because a failed backend server often breaks the streams of a single gateway.
	// Peer reports are up to about 300 ms old; maxGatewayShare bounds the sum even when they are out of date.
	unconditionalShare = 0.3
	maxGatewayShare    = 0.75
	maxTotalShare      = 0.6
	// startupShare is the share of the limits that applies in the first window after a gateway starts. Retries made
	// before the restart, by this gateway and by others restarted with it, are unknown but still count.
	startupShare = 0.5
	// windowSlots is the number of slots that the counting window is divided into. One more slot is kept because the
	// current one is only partly elapsed: retries in the oldest slot still count, requests in it do not.
	windowSlots = 10
	ringSlots   = windowSlots + 1
)

// RetryUsage is the number of requests for a service that one gateway received in the window, and the number of retries
// it sent.
type RetryUsage struct {
	Service  Key
	Requests int
	Retries  int
}

// SharedRetryLimits bound the retries that all gateways together make for a service: a share of the requests in the
// window, plus a reserve. A retry is any send of a request after the first.
type SharedRetryLimits struct {
	Share, Reserve float64
	Window         time.Duration
}

// SharedRetryBudget counts the requests and retries of one gateway by service, adds those that other gateways report,
// and decides whether one more retry stays within the limits. It must be used by one goroutine at a time.
type SharedRetryBudget struct {
	limits    SharedRetryLimits
	startedAt time.Time
	gateways  int
	complete  bool
	// rounding, from 0 to 1, decides whether this gateway rounds a fractional limit up or down, so that limits below
	// one retry per gateway add up to the limit of all gateways.
	rounding float64
	local    map[Key]*usageWindow
	peers    map[string]peerUsage
}

type peerUsage struct {
	receivedAt time.Time
	usage      map[Key]RetryUsage
}

// usageWindow is a ring buffer of counts by time slot.
type usageWindow struct {
	slots [ringSlots]struct{ requests, retries int }
	slot  int64
}

// NewSharedRetryBudget returns a budget for a single gateway that starts now. The source of randomness decides how
// fractional limits are rounded.
func NewSharedRetryBudget(limits SharedRetryLimits, now time.Time, source rand.Source) *SharedRetryBudget {
	return &SharedRetryBudget{limits: limits, startedAt: now, gateways: 1, complete: true, rounding: rand.New(source).Float64(), local: map[Key]*usageWindow{}, peers: map[string]peerUsage{}}
}

// SetGatewayCount sets the number of gateways, this one included, and whether they are probably all known. Until they
// are, the reserve is not used, because gateways that are not known yet may use it too.
func (b *SharedRetryBudget) SetGatewayCount(n int, complete bool) {
	b.gateways, b.complete = max(n, 1), complete
}

// totalLimit returns how many retries all gateways together may make for a number of requests in the window.
func (b *SharedRetryBudget) totalLimit(now time.Time, requests int) float64 {
	limit := b.limits.Share * float64(requests)
	if b.complete {
		limit += b.limits.Reserve
	}
	if now.Sub(b.startedAt) < b.limits.Window {
		limit *= startupShare
	}
	return limit
}

// SetPeerUsage replaces the usage reported by another gateway.
func (b *SharedRetryBudget) SetPeerUsage(now time.Time, gateway string, list []RetryUsage) {
	report := peerUsage{receivedAt: now, usage: make(map[Key]RetryUsage, len(list))}
	for _, u := range list {
		report.usage[u.Service] = u
	}
	b.peers[gateway] = report
}

// window returns the counts of a service after clearing the slots that have expired.
func (b *SharedRetryBudget) window(now time.Time, service Key) *usageWindow {
	w := b.local[service]
	if w == nil {
		w = &usageWindow{}
		b.local[service] = w
	}
	slot := now.UnixNano() / max(int64(b.limits.Window/windowSlots), 1)
	for remaining := min(slot-w.slot, ringSlots); remaining > 0; remaining-- {
		w.slots[(slot-remaining+1)%ringSlots] = struct{ requests, retries int }{}
	}
	w.slot = max(w.slot, slot)
	return w
}

func (w *usageWindow) sum() (requests, retries int) {
	oldest := int((w.slot + 1) % ringSlots)
	for i, s := range w.slots {
		if i != oldest {
			requests += s.requests
		}
		retries += s.retries
	}
	return requests, retries
}

// Request counts a request for a service.
func (b *SharedRetryBudget) Request(now time.Time, service Key) {
	w := b.window(now, service)
	w.slots[w.slot%ringSlots].requests++
}

// Allows reports whether one more retry stays within the limits.
func (b *SharedRetryBudget) Allows(now time.Time, service Key) bool {
	requests, own := b.window(now, service).sum()
	retries := own
	for gateway, r := range b.peers {
		if now.Sub(r.receivedAt) > peerReportTTL {
			delete(b.peers, gateway)
			continue
		}
		requests += r.usage[service].Requests
		retries += r.usage[service].Retries
	}
	limit := b.totalLimit(now, requests)
	evenLimit := limit / float64(b.gateways)
	if float64(own+1) <= unconditionalShare*evenLimit+b.rounding {
		return true
	}
	return float64(own+1) <= maxGatewayShare*evenLimit+b.rounding && float64(retries+1) <= maxTotalShare*limit
}

// TryRetry counts a retry if it is allowed, and reports whether it is.
func (b *SharedRetryBudget) TryRetry(now time.Time, service Key) bool {
	if !b.Allows(now, service) {
		return false
	}
	w := b.window(now, service)
	w.slots[w.slot%ringSlots].retries++
	return true
}

// LocalUsage returns the counts of this gateway in the window, for its reports to other gateways.
func (b *SharedRetryBudget) LocalUsage(now time.Time) []RetryUsage {
	var list []RetryUsage
	for service := range b.local {
		if requests, retries := b.window(now, service).sum(); requests+retries > 0 {
			list = append(list, RetryUsage{Service: service, Requests: requests, Retries: retries})
		}
	}
	return list
}
