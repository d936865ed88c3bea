package standin

import (
	"net"
	"net/netip"
	"time"

	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/platformclient"
)

// settings holds the options of all stand-ins. Each stand-in uses only those that apply to it.
type settings struct {
	clock       clock.Clock
	listener    net.Listener
	address     netip.AddrPort
	restartTime time.Duration

	capacity       int64
	cacheCapacity  int64
	costs          Costs
	cold           bool
	coldMaxStreams int
	coldFactor     float64
	warmTokens     int64
	retention      time.Duration
	loadLag        time.Duration
	eventLag       time.Duration
	dropEvery      uint64
	models         []engine.LoadedModel
	role           string
	orderTime      time.Duration
	ignoreFences   bool

	rate        int
	instanceLag time.Duration
	instances   []platformclient.Instance
}

// Costs is the cost model of an engine: a step of the batch takes Step plus the cost of each token in it.
type Costs struct {
	Step         time.Duration
	PrefillToken time.Duration
	DecodeToken  time.Duration
	// Chunk is the largest number of tokens that one step prefills. Zero means the default of 1024.
	Chunk int64
}

// defaultSettings returns the default settings with the options applied. The default costs give 40,000 prefilled
// tokens/s, not counting Step. The tokens of a stream are about 10 ms apart when it runs alone, and 36 ms apart beside
// a full prefill chunk, which is close to the declared target of 34 ms.
func defaultSettings(options []Option) settings {
	s := settings{
		clock:         clock.RealClock{},
		address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		restartTime:   2 * time.Second,
		capacity:      400_000,
		cacheCapacity: 200_000,
		costs: Costs{
			Step: 10 * time.Millisecond, PrefillToken: 25 * time.Microsecond,
			DecodeToken: 200 * time.Microsecond, Chunk: 1024,
		},
		coldMaxStreams: 3,
		coldFactor:     4,
		warmTokens:     20_000,
		retention:      30 * time.Second,
		loadLag:        time.Second,
		eventLag:       2 * time.Second,
		dropEvery:      10,
		models:         []engine.LoadedModel{{Model: "model", Version: "1"}},
		role:           "any",
		rate:           2000,
		instanceLag:    2 * time.Second,
	}
	chunk := s.costs.Chunk
	for _, option := range options {
		option(&s)
	}
	if s.costs.Chunk <= 0 {
		s.costs.Chunk = chunk
	}
	return s
}

// Option configures a stand-in. Options that apply to another kind of stand-in have no effect.
type Option func(*settings)

// WithClock sets the clock. The default is the system clock, which is virtual inside testing/synctest.
func WithClock(source clock.Clock) Option { return func(s *settings) { s.clock = source } }

// WithListener makes the stand-in serve on the given listener, for example a MemoryListener. Stop closes it. While the
// stand-in is down, a listener without a Reopen method stays open, and its connections are closed as soon as they are
// accepted.
func WithListener(listener net.Listener) Option { return func(s *settings) { s.listener = listener } }

// WithAddress sets the address to listen on, which must be a loopback address. The default is 127.0.0.1:0.
func WithAddress(address netip.AddrPort) Option { return func(s *settings) { s.address = address } }

// WithRestartTime sets how long the stand-in refuses connections after a crash that specifies no time.
func WithRestartTime(d time.Duration) Option { return func(s *settings) { s.restartTime = d } }

// WithCapacity sets the engine's memory for streams and imported caches, in tokens.
func WithCapacity(tokens int64) Option { return func(s *settings) { s.capacity = tokens } }

// WithCacheCapacity sets the engine's memory for the prefix cache, in tokens.
func WithCacheCapacity(tokens int64) Option { return func(s *settings) { s.cacheCapacity = tokens } }

// WithCosts sets the engine's cost model.
func WithCosts(costs Costs) Option { return func(s *settings) { s.costs = costs } }

// WithColdStart starts the engine cold. By default it starts warm, so that only tests of the warm-up need this option.
// After a crash an engine is always cold.
func WithColdStart() Option { return func(s *settings) { s.cold = true } }

// WithWarmUp sets the limits of a cold engine: it crashes when more than maxStreams streams are live, it is slower by
// factor, and it becomes warm after it has processed the given number of tokens.
func WithWarmUp(maxStreams int, factor float64, tokens int64) Option {
	return func(s *settings) { s.coldMaxStreams, s.coldFactor, s.warmTokens = maxStreams, factor, tokens }
}

// WithRetention sets how long the engine remembers ended streams and unused imports.
func WithRetention(d time.Duration) Option { return func(s *settings) { s.retention = d } }

// WithLoadLag sets the age of load reports.
func WithLoadLag(d time.Duration) Option { return func(s *settings) { s.loadLag = d } }

// WithCacheEvents sets the delay of cache events and drops every n-th event. Zero drops none.
func WithCacheEvents(lag time.Duration, n uint64) Option {
	return func(s *settings) { s.eventLag, s.dropEvery = lag, n }
}

// WithModels sets the models that are loaded when the engine starts.
func WithModels(models ...engine.LoadedModel) Option { return func(s *settings) { s.models = models } }

// WithRole sets the role of the engine when it starts.
func WithRole(role string) Option { return func(s *settings) { s.role = role } }

// WithOrderTime sets how long the engine takes to execute an order.
func WithOrderTime(d time.Duration) Option { return func(s *settings) { s.orderTime = d } }

// WithIgnoredFences makes the engine ignore fencing numbers.
func WithIgnoredFences() Option { return func(s *settings) { s.ignoreFences = true } }

// WithRate sets the platform's limit of calls per second. Calls above the limit are refused with status 429.
func WithRate(calls int) Option { return func(s *settings) { s.rate = calls } }

// WithInstances sets the platform's first instance list, which is visible immediately, and the lag of later lists.
func WithInstances(lag time.Duration, instances ...platformclient.Instance) Option {
	return func(s *settings) { s.instanceLag, s.instances = lag, instances }
}
