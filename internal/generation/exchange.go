// Package generation distributes published generations of the declarations to a process. It watches the configuration
// service, exchanges generations with peers over links, and offers each complete one to the process's
// site.CurrentGeneration, which decides whether to accept it. It never makes a generation current itself and never
// writes to the platform.
package generation

import (
	"expvar"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/site"
)

// Sender sends messages to one peer. Send must not block. It returns an error if the message will not be sent, which
// the Exchange ignores, because the next heartbeat starts the exchange again. link.Conn implements it.
type Sender interface{ Send(link.Message) error }

// Exchange passes generations between the process's CurrentGeneration and its peers. It is safe for concurrent use.
type Exchange struct {
	current *site.CurrentGeneration
	log     klog.Logger
	metrics *expvar.Map
	clock   clock.PassiveClock

	mu sync.Mutex
	// highestHeard is the highest generation that a peer has announced, and heardAt the time of its first announcement.
	highestHeard uint64
	heardAt      time.Time
	// partial is the newest generation with missing shards.
	partial *site.Generation
}

// NewExchange returns an exchange for the given CurrentGeneration. Its metrics form a separate group under those of the
// process, because the process also counts requests and refusals under these names.
func NewExchange(current *site.CurrentGeneration, log klog.Logger, metrics *expvar.Map, clk clock.PassiveClock) *Exchange {
	group := new(expvar.Map).Init()
	metrics.Set("generation", group)
	return &Exchange{current: current, log: log, metrics: group, clock: clk}
}

// CurrentNumber returns the current generation, or 0 when there is none.
func (x *Exchange) CurrentNumber() uint64 {
	if s := x.current.Snapshot(); s != nil {
		return s.Number()
	}
	return 0
}

// HandleAnnouncement compares a generation number announced by a peer with the current one, and requests the generation
// from the peer when the peer is ahead.
func (x *Exchange) HandleAnnouncement(peer Sender, number uint64) {
	x.mu.Lock()
	if number > x.highestHeard {
		x.highestHeard, x.heardAt = number, x.clock.Now()
	}
	x.mu.Unlock()
	if own := x.CurrentNumber(); number > own {
		x.metrics.Add("requests", 1)
		_ = peer.Send(&link.ConfigRequest{After: own})
	}
}

// catchUpTimeout is the maximum time for which a process stays out of service because it is behind. A peer answers in
// milliseconds. If the peers that have the newer generation have gone and the configuration service is stale, the
// process must go on serving with the current generation.
const catchUpTimeout = 5 * time.Second

// Behind reports whether a peer has announced a generation newer than the current one that this process has not refused
// and may still receive. A process that has just started with a stale read of the configuration service, or that was
// paused, must not serve from the outdated generation.
func (x *Exchange) Behind() bool {
	x.mu.Lock()
	heard, since := x.highestHeard, x.clock.Now().Sub(x.heardAt)
	x.mu.Unlock()
	if heard <= x.CurrentNumber() || since > catchUpTimeout {
		return false
	}
	refused, ok := x.current.LastRefusal()
	return !ok || refused.Generation < heard
}

// Handle processes the messages of the exchange and ignores all others.
func (x *Exchange) Handle(peer Sender, m link.Message) {
	switch m := m.(type) {
	case *link.ConfigRequest:
		x.handleRequest(peer, m)
	case *link.ConfigManifest:
		manifest, err := site.DecodeManifest(m.Manifest)
		if err != nil {
			x.metrics.Add("malformed", 1)
			return
		}
		x.Offer(peer, site.Generation{Manifest: manifest})
	case *link.ConfigShard:
		x.handleShard(m)
	}
}

func (x *Exchange) handleRequest(peer Sender, m *link.ConfigRequest) {
	s := x.current.Snapshot()
	if s == nil {
		return
	}
	g := s.Generation
	if len(m.Shards) == 0 {
		if s.Number() > m.After {
			manifest, err := g.Manifest.Encode()
			if err != nil {
				x.log.Error(err, "cannot encode manifest", "generation", s.Number())
				return
			}
			_ = peer.Send(&link.ConfigManifest{Manifest: manifest})
		}
		return
	}
	if m.Generation != s.Number() {
		// The generation has changed since the peer saw it. The peer asks again when a heartbeat announces the new
		// number.
		return
	}
	if len(m.Shards) > len(g.Shards) {
		// Limit the answer: a small request must not make this process send more than the whole generation.
		x.metrics.Add("malformed", 1)
		return
	}
	for _, i := range m.Shards {
		if i >= 0 && i < len(g.Shards) {
			x.metrics.Add("shards-served", 1)
			_ = peer.Send(&link.ConfigShard{Generation: s.Number(), Shard: i, Data: g.Shards[i]})
		}
	}
}

// handleShard stores a shard and offers the generation once it is complete. It never requests a shard again: after a
// corrupt shard, the next heartbeat starts a new request, which bounds the exchange with a peer that keeps sending
// corrupt data.
func (x *Exchange) handleShard(m *link.ConfigShard) {
	x.mu.Lock()
	g := x.partial
	if g == nil || g.Manifest.Generation != m.Generation || m.Shard < 0 || m.Shard >= len(g.Shards) {
		x.mu.Unlock()
		return
	}
	g.Shards[m.Shard] = m.Data
	for _, s := range g.Shards {
		if s == nil {
			x.mu.Unlock()
			return
		}
	}
	x.partial = nil
	complete := *g
	x.mu.Unlock()
	x.Offer(nil, complete)
}

// Offer offers a generation to the CurrentGeneration and, when shards are missing, requests them from the peer. With a
// nil peer it requests nothing and returns the missing shards for the caller to fetch.
func (x *Exchange) Offer(peer Sender, g site.Generation) (missing []int) {
	number := g.Manifest.Generation
	switch result := x.current.Install(g).(type) {
	case site.Accepted:
		x.metrics.Add("accepted", 1)
		x.log.Info("generation in force", "generation", number)
	case site.Stale:
		x.metrics.Add("stale", 1)
	case site.Invalid:
		x.metrics.Add("refused", 1)
		x.log.Info("generation refused", "generation", number, "in-force", x.CurrentNumber(), "problem", result.Problems[0].String())
	case site.Incomplete:
		if peer == nil {
			return result.Missing
		}
		x.storePartial(g, result.Missing)
		_ = peer.Send(&link.ConfigRequest{Generation: number, Shards: result.Missing})
	}
	return nil
}

// storePartial stores a generation whose missing shards were requested. Shards that CurrentGeneration.Install can copy
// from the current generation are marked as present with an empty value, which Install replaces.
func (x *Exchange) storePartial(g site.Generation, missing []int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.partial != nil && x.partial.Manifest.Generation > g.Manifest.Generation {
		return
	}
	shards := make([][]byte, len(g.Manifest.Shards))
	for i := range shards {
		shards[i] = []byte{}
		if i < len(g.Shards) && g.Shards[i] != nil {
			shards[i] = g.Shards[i]
		}
	}
	for _, i := range missing {
		shards[i] = nil
	}
	x.partial = &site.Generation{Manifest: g.Manifest, Shards: shards}
}
