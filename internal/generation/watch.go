package generation

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/pkg/site"
)

const (
	// watchWait is the time for which a watch waits at the configuration service. Each watch costs one of the 2,000
	// calls a second that the service answers.
	watchWait = 30 * time.Second
	// pollInterval is the time between reads of the manifest by a process that does not watch. 1,600 processes make 27
	// calls a second.
	pollInterval = 60 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after failed reads.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Source reads published values. Value returns the current value of a name. WatchValue waits until the version of the
// value differs from after, for at most wait, and returns false if it did not change. Both may return an older version
// than before, because the configuration service may serve stale data. platformclient.Client implements it.
type Source interface {
	Value(ctx context.Context, name string) (platformclient.Value, error)
	WatchValue(ctx context.Context, name string, after uint64, wait time.Duration) (platformclient.Value, bool, error)
}

// Watcher reads the generations of one process from the configuration service.
type Watcher struct {
	exchange *Exchange
	source   Source
	clock    clock.WithTicker
	random   *rand.Rand
	// watches reports whether this process waits for changes rather than polling at an interval.
	watches func() bool
}

// NewWatcher returns a watcher. It calls watches before each read, because the set of watching processes changes with
// the instance list. seed makes the jitter reproducible.
func NewWatcher(x *Exchange, source Source, clk clock.WithTicker, seed uint64, watches func() bool) *Watcher {
	return &Watcher{exchange: x, source: source, clock: clk, random: rand.New(rand.NewPCG(seed, seed)), watches: watches}
}

// IsWatcher reports whether self is among the n processes of the list that watch the configuration service. The n
// processes with the highest hashes of their names are chosen.
func IsWatcher(self string, processes []string, n int) bool {
	ownHash := xxhash.Sum64String(self)
	higher := 0
	for _, p := range processes {
		if p != self && xxhash.Sum64String(p) > ownHash {
			higher++
		}
	}
	return higher < n
}

// Run reads generations until ctx ends. A failed read leaves the current generation unchanged.
func (w *Watcher) Run(ctx context.Context) error {
	var version uint64
	delay := minRetryDelay
	for ctx.Err() == nil {
		value, changed, err := w.read(ctx, version)
		if err == nil && changed {
			err = w.fetchAndOffer(ctx, value)
		}
		if err != nil {
			w.exchange.metrics.Add("read-errors", 1)
			w.exchange.log.V(1).Info("cannot read configuration service", "error", err.Error())
			if !w.sleep(ctx, delay) {
				return nil
			}
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		if changed {
			version = value.Version
		}
		if !w.watches() && w.exchange.CurrentNumber() > 0 && !w.sleep(ctx, pollInterval) {
			return nil
		}
	}
	return nil
}

func (w *Watcher) read(ctx context.Context, version uint64) (platformclient.Value, bool, error) {
	if version > 0 && w.watches() {
		return w.source.WatchValue(ctx, site.ManifestName, version, watchWait)
	}
	value, err := w.source.Value(ctx, site.ManifestName)
	return value, err == nil && value.Version != version, err
}

// fetchAndOffer fetches the shards that the CurrentGeneration lacks and offers the complete generation.
func (w *Watcher) fetchAndOffer(ctx context.Context, value platformclient.Value) error {
	manifest, err := site.DecodeManifest(value.Data)
	if err != nil {
		return err
	}
	g := site.Generation{Manifest: manifest, Shards: make([][]byte, len(manifest.Shards))}
	missing := w.exchange.Offer(nil, g)
	if len(missing) == 0 {
		return nil
	}
	for _, i := range missing {
		shard, err := w.source.Value(ctx, site.ShardName(manifest.Shards[i].Digest))
		if err != nil {
			return err
		}
		g.Shards[i] = shard.Data
	}
	w.exchange.Offer(nil, g)
	return nil
}

// sleep waits for d with a jitter of ±25 %, so that processes that started together spread their calls. It reports
// whether the whole time passed before ctx ended.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) bool {
	jitter := time.Duration((w.random.Float64() - 0.5) / 2 * float64(d))
	timer := w.clock.NewTimer(d + jitter)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}
