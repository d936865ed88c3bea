package generation

import (
	"bytes"
	"context"
	"expvar"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
	clocktesting "k8s.io/utils/clock/testing"

	"berylward.example/berylward/examples"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/pkg/site"
)

func render(t *testing.T, number uint64) site.Generation {
	t.Helper()
	base, err := examples.Source("", "base.yaml")
	assert.NilError(t, err)
	overlay, err := examples.Source("", "cuenca/site.yaml")
	assert.NilError(t, err)
	loaded, err := site.LoadSources(base, overlay)
	assert.NilError(t, err)
	// Each generation differs from the others in one shard.
	loaded.Declarations.WarmUp.MaxRequests = 64 + int(number)
	manifest, shards, err := site.Render(loaded.Declarations, number)
	assert.NilError(t, err)
	return site.Generation{Manifest: manifest, Shards: shards}
}

func newExchange() *Exchange {
	return NewExchange(site.NewCurrentGeneration(), klog.Logger{}, new(expvar.Map), clock.RealClock{})
}

// directSender delivers messages synchronously to another exchange. If corrupt is set, it corrupts shards in transit.
type directSender struct {
	to      *Exchange
	back    *directSender
	sent    int
	corrupt bool
}

func (s *directSender) Send(m link.Message) error {
	if s.sent++; s.sent > 1000 {
		return errors.New("more than 1000 messages exchanged")
	}
	if shard, ok := m.(*link.ConfigShard); ok && s.corrupt {
		data := bytes.Clone(shard.Data)
		data[len(data)/2] ^= 1
		m = &link.ConfigShard{Generation: shard.Generation, Shard: shard.Shard, Data: data}
	}
	s.to.Handle(s.back, m)
	return nil
}

// Guards against a process that misses a generation of its peer, reverts to an older one, accepts corrupt data, or
// exchanges messages without end.
func TestExchange(t *testing.T) {
	tests := map[string]struct {
		peer, own, announced uint64
		corrupt              bool
		want                 uint64
		behind               bool
	}{
		"first generation":                    {3, 0, 3, false, 3, false},
		"newer generation":                    {3, 2, 3, false, 3, false},
		"same generation":                     {3, 3, 3, false, 3, false},
		"older generation":                    {2, 3, 2, false, 3, false},
		"corrupt shard":                       {3, 0, 3, true, 0, true},
		"announced generation the peer lacks": {2, 2, 9, false, 2, true},
		"peer without a generation":           {0, 2, 0, false, 2, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			own, peer := newExchange(), newExchange()
			for x, number := range map[*Exchange]uint64{own: tt.own, peer: tt.peer} {
				if number > 0 {
					x.Offer(nil, render(t, number))
				}
			}
			toPeer, toOwn := &directSender{to: peer}, &directSender{to: own, corrupt: tt.corrupt}
			toPeer.back, toOwn.back = toOwn, toPeer
			own.HandleAnnouncement(toPeer, tt.announced)
			assert.Equal(t, own.CurrentNumber(), tt.want)
			assert.Equal(t, own.Behind(), tt.behind)
			assert.Assert(t, toPeer.sent+toOwn.sent < 100, "%d messages", toPeer.sent+toOwn.sent)
		})
	}
}

// source is a fake configuration service that counts its calls.
type source struct {
	mu     sync.Mutex
	values map[string]platformclient.Value
	down   bool
	// changed is closed when a generation is published, which ends the waiting watches.
	changed chan struct{}
	calls   *int
}

func (s *source) Value(_ context.Context, name string) (platformclient.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.calls++
	v, ok := s.values[name]
	if s.down || !ok {
		return platformclient.Value{}, errors.New("not answered")
	}
	return v, nil
}

func (s *source) WatchValue(ctx context.Context, name string, after uint64, wait time.Duration) (platformclient.Value, bool, error) {
	s.mu.Lock()
	*s.calls++
	changed, down, now := s.changed, s.down, s.values[name]
	s.mu.Unlock()
	if down {
		return platformclient.Value{}, false, errors.New("not answered")
	}
	if now.Version != after {
		return now, true, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return platformclient.Value{}, false, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[name], s.values[name].Version != after, nil
}

func (s *source) publish(t *testing.T, g site.Generation) {
	for i, shard := range g.Shards {
		s.values[site.ShardName(g.Manifest.Shards[i].Digest)] = platformclient.Value{Version: 1, Data: shard}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	encoded, err := g.Manifest.Encode()
	assert.NilError(t, err)
	s.values[site.ManifestName] = platformclient.Value{Version: g.Manifest.Generation, Data: encoded}
}

// Guards against more calls than the 2,000 a second that the configuration service answers, and against a stale or
// absent service that reverts a generation. The calls of one process of each kind over ten minutes are multiplied to
// the target of 1,600 processes: 18 entry processes watch (3 in each of 6 zones) and 1,582 processes poll.
func TestWatcherCalls(t *testing.T) {
	const minutes = 10
	run := func(t *testing.T, watches bool, begin func(*source), change func(*source)) (calls int, number uint64) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &source{values: map[string]platformclient.Value{}, calls: &calls, changed: make(chan struct{})}
			s.publish(t, render(t, 5))
			begin(s)
			x := newExchange()
			w := NewWatcher(x, s, clock.RealClock{}, 1, func() bool { return watches })
			done := make(chan struct{})
			go func() { defer close(done); _ = w.Run(ctx) }()
			time.Sleep(time.Minute)
			synctest.Wait()
			s.mu.Lock()
			calls = 0
			change(s)
			s.mu.Unlock()
			time.Sleep(minutes * time.Minute)
			synctest.Wait()
			cancel()
			<-done
			number = x.CurrentNumber()
		})
		return calls, number
	}
	nothing := func(*source) {}
	tests := map[string]struct {
		change      func(*testing.T, *source)
		number      uint64
		callsSecond float64
	}{
		"steady state": {func(*testing.T, *source) {}, 5, 100},
		"one change":   {func(t *testing.T, s *source) { s.publish(t, render(t, 6)) }, 6, 100},
		"stale":        {func(t *testing.T, s *source) { s.publish(t, render(t, 4)) }, 5, 100},
		// During an outage every process retries at the longest backoff, every 5 s.
		"absent": {func(_ *testing.T, s *source) { s.down = true }, 5, 2000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			change := func(s *source) { tt.change(t, s) }
			watching, first := run(t, true, nothing, change)
			polling, second := run(t, false, nothing, change)
			assert.Equal(t, first, tt.number)
			assert.Equal(t, second, tt.number)
			rate := float64(18*watching+1582*polling) / (minutes * 60)
			t.Logf("%s: watching %d calls, polling %d calls in %d min, fleet %s calls/s", name, watching, polling, minutes,
				strconv.FormatFloat(rate, 'f', 1, 64))
			assert.Assert(t, rate <= tt.callsSecond, "%.1f calls/s", rate)
		})
	}
}

type discardSender struct{}

func (discardSender) Send(link.Message) error { return nil }

// Guards against a process that serves from a generation that its peers have replaced, and against one that rejects all
// requests for good because the peers with the newer generation have gone.
func TestBehind(t *testing.T) {
	tests := map[string]struct {
		heard []uint64
		after time.Duration
		want  bool
	}{
		"nothing announced":                           {},
		"newer generation just announced":             {heard: []uint64{2}, want: true},
		"newer generation announced repeatedly":       {heard: []uint64{2, 2, 2}, after: time.Second, want: true},
		"announcing peers gone":                       {heard: []uint64{2}, after: 6 * time.Second},
		"older announcement does not extend the wait": {heard: []uint64{3, 2}, after: 6 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fake := clocktesting.NewFakeClock(time.Unix(0, 0))
			x := NewExchange(site.NewCurrentGeneration(), klog.Logger{}, new(expvar.Map), fake)
			for _, number := range tt.heard {
				x.HandleAnnouncement(discardSender{}, number)
			}
			fake.Step(tt.after)
			assert.Equal(t, x.Behind(), tt.want)
		})
	}
}
