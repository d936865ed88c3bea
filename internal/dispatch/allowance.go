package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Of its even part of what all gateways together may repeat, a gateway uses localShare whatever the others do, and up to
	// evenShare while all of them use less than pooledShare of the whole: a failed backend server often breaks the streams of
	// one gateway only. What is told of others is up to some 300 ms old; evenShare bounds the sum in any case.
	localShare  = 0.3
	evenShare   = 0.75
	pooledShare = 0.6
	// firstShare is the share of the limits that a gateway reckons with in the first window after its start. What it repeated
	// before, and others that were restarted with it, is not known but still counts.
	firstShare = 0.5
	// usageSlots divide the window in which requests and repeats are counted. One more is kept, because the present one has
	// only begun: repeats count in it for the whole window, requests do not.
	usageSlots = 10
	keptSlots  = usageSlots + 1
)

// Usage is how many requests for a service one gateway got, and how many sends beyond the first it made, in the window.
type Usage struct {
	Service  Key
	Requests int
	Repeats  int
}

// ServiceKey returns the key of a service among gateways.
func ServiceKey(name string) Key { return Key(xxhash.Sum64String(name) >> 32) }

// AllowanceLimits bound the sends beyond the first of each request that all gateways make for a service: a share of the
// requests in the window, and a reserve.
type AllowanceLimits struct {
	Share, Reserve float64
	Window         time.Duration
}

// Allowance counts the requests and repeats of one gateway by service, adds what others tell, and says whether one more
// repeat stays within the limits. It must be used by one goroutine at a time.
type Allowance struct {
	limits   AllowanceLimits
	began    time.Time
	gateways int
	complete bool
	// rounding, from 0 to 1, decides whether this gateway rounds a broken part up or down, so that the parts of many gateways
	// of less than one repeat add up to what they may make together.
	rounding float64
	own      map[Key]*usageWindow
	peers    map[string]usageReport
}

type usageReport struct {
	at    time.Time
	usage map[Key]Usage
}

// usageWindow is a ring of counts.
type usageWindow struct {
	slots [keptSlots]struct{ requests, repeats int }
	slot  int64
}

// NewAllowance returns an allowance for one gateway alone that starts now. The source of randomness decides how its parts
// are rounded.
func NewAllowance(limits AllowanceLimits, now time.Time, source rand.Source) *Allowance {
	return &Allowance{limits: limits, began: now, gateways: 1, complete: true, rounding: rand.New(source).Float64(), own: map[Key]*usageWindow{}, peers: map[string]usageReport{}}
}

// SetGateways tells how many gateways there are, this one included, and whether these are probably all. Until they are, the
// reserve is not used, because others may use it too.
func (a *Allowance) SetGateways(n int, complete bool) { a.gateways, a.complete = max(n, 1), complete }

// whole returns how many repeats all gateways together may make for a number of requests in the window.
func (a *Allowance) whole(now time.Time, requests int) float64 {
	whole := a.limits.Share * float64(requests)
	if a.complete {
		whole += a.limits.Reserve
	}
	if now.Sub(a.began) < a.limits.Window {
		whole *= firstShare
	}
	return whole
}

// SetPeer takes what another gateway told, in place of what it told before.
func (a *Allowance) SetPeer(now time.Time, gateway string, list []Usage) {
	r := usageReport{at: now, usage: make(map[Key]Usage, len(list))}
	for _, u := range list {
		r.usage[u.Service] = u
	}
	a.peers[gateway] = r
}

// window returns the counts of a service with the slots that have passed emptied.
func (a *Allowance) window(now time.Time, service Key) *usageWindow {
	w := a.own[service]
	if w == nil {
		w = &usageWindow{}
		a.own[service] = w
	}
	slot := now.UnixNano() / max(int64(a.limits.Window/usageSlots), 1)
	for passed := min(slot-w.slot, keptSlots); passed > 0; passed-- {
		w.slots[(slot-passed+1)%keptSlots] = struct{ requests, repeats int }{}
	}
	w.slot = max(w.slot, slot)
	return w
}

func (w *usageWindow) sum() (requests, repeats int) {
	oldest := int((w.slot + 1) % keptSlots)
	for i, s := range w.slots {
		if i != oldest {
			requests += s.requests
		}
		repeats += s.repeats
	}
	return requests, repeats
}

// Request counts a request for a service.
func (a *Allowance) Request(now time.Time, service Key) {
	w := a.window(now, service)
	w.slots[w.slot%keptSlots].requests++
}

// Allows says whether one more repeat stays within the limits.
func (a *Allowance) Allows(now time.Time, service Key) bool {
	requests, own := a.window(now, service).sum()
	repeats := own
	for gateway, r := range a.peers {
		if now.Sub(r.at) > peerLife {
			delete(a.peers, gateway)
			continue
		}
		requests += r.usage[service].Requests
		repeats += r.usage[service].Repeats
	}
	whole := a.whole(now, requests)
	even := whole / float64(a.gateways)
	if float64(own+1) <= localShare*even+a.rounding {
		return true
	}
	return float64(own+1) <= evenShare*even+a.rounding && float64(repeats+1) <= pooledShare*whole
}

// Repeat counts a repeat if it is allowed, and returns whether it is.
func (a *Allowance) Repeat(now time.Time, service Key) bool {
	if !a.Allows(now, service) {
		return false
	}
	w := a.window(now, service)
	w.slots[w.slot%keptSlots].repeats++
	return true
}

// Usages returns what this gateway counted in the window, to be told to others.
func (a *Allowance) Usages(now time.Time) []Usage {
	var list []Usage
	for service := range a.own {
		if requests, repeats := a.window(now, service).sum(); requests+repeats > 0 {
			list = append(list, Usage{Service: service, Requests: requests, Repeats: repeats})
		}
	}
	return list
}
