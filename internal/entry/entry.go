// Package entry implements the entry process, which accepts the requests of callers. Each request runs in the goroutine
// of its HTTP connection, and each link to a sidecar has a goroutine. The entry keeps its own view of the workers and
// chooses the worker for a request; the sidecar of that worker decides whether the request runs. The state that all
// requests share belongs to the Entry, whose mutex guards it. The entry holds no state that a caller would lose when
// the process ends.
package entry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/callers"
	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/generation"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/internal/workspace"
	"berylward.example/berylward/pkg/site"
)

const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 10 * time.Second
	// maxHeader is the maximum size of a request header in bytes.
	maxHeader = 32 << 10
	// idleTimeout closes a connection that has no requests.
	idleTimeout = 2 * time.Minute
	// excessRetry is the delay suggested to a caller whose connection is one too many. Other entries may have room.
	excessRetry = 100 * time.Millisecond
)

// Options are the options of an entry that have no default.
type Options struct {
	// Instance is the name of this instance in the instance list.
	Instance string
	Zone     string
	Region   string
	// Listener accepts the connections of callers.
	Listener net.Listener
	// Platform is the address of the configuration service and the instance list.
	Platform netip.AddrPort
}

// Entry is one entry process.
type Entry struct {
	Options
	incarnation      uuid.UUID
	clock            clock.WithTicker
	log              klog.Logger
	metrics          *expvar.Map
	tracer           trace.Tracer
	linkOptions      []link.Option
	seeds            []netip.AddrPort
	policy           fleet.Policy
	stopDelay        time.Duration
	dialer           link.Dialer
	strictInvariants bool
	memoryLimit      int64
	descriptorLimit  int

	// bodies holds the bodies of all requests.
	bodies *body.Budget
	// answers holds what is kept of the answers to all requests.
	answers *body.Budget
	// waiting holds what callers that read slowly have not taken yet.
	waiting  *body.Budget
	config   *site.CurrentGeneration
	exchange *generation.Exchange
	platform *platformclient.Client
	server   *http.Server
	conns    *callers.Conns
	tomb     tomb.Tomb
	stopping atomic.Bool
	// requestsEnded is canceled when running requests must end because the entry stops.
	requestsEnded context.Context
	endRequests   context.CancelFunc
	sequence      atomic.Uint64

	mu              sync.Mutex
	view            *fleet.View
	limiter         *workspace.Limiter
	retryBudget     fleet.RetryBudget
	suspects        *suspect.Registry
	tokenEstimator  memory.TokenEstimator
	peers           map[string]*peer
	instances       []fleet.Instance
	zoneEntries     []string
	hasInstanceList bool
	viewChanged     chan struct{}
}

// Option configures an entry.
type Option func(*Entry)

// WithClock sets the clock; the default is the system clock.
func WithClock(c clock.WithTicker) Option { return func(e *Entry) { e.clock = c } }

// WithLogger sets the logger; the default discards all messages.
func WithLogger(l klog.Logger) Option { return func(e *Entry) { e.log = l } }

// WithMetrics sets the map that holds the metrics.
func WithMetrics(m *expvar.Map) Option { return func(e *Entry) { e.metrics = m } }

// WithTracer sets the tracer provider; the default discards all spans.
func WithTracer(p trace.TracerProvider) Option {
	return func(e *Entry) { e.tracer = p.Tracer(telemetry.TracerName) }
}

// WithLinkOptions adds options for the links, such as TLS.
func WithLinkOptions(opts ...link.Option) Option {
	return func(e *Entry) { e.linkOptions = append(e.linkOptions, opts...) }
}

// WithDialer sets how connections to sidecars and to the platform are opened; the default is that of net/http.
func WithDialer(dial link.Dialer) Option { return func(e *Entry) { e.dialer = dial } }

// WithStrictInvariants makes a violated invariant panic in addition to being counted. It is used in tests.
func WithStrictInvariants() Option { return func(e *Entry) { e.strictInvariants = true } }

// WithSeeds sets the addresses of sidecars that are asked for the declarations if the platform does not answer at
// startup.
func WithSeeds(seeds []netip.AddrPort) Option { return func(e *Entry) { e.seeds = seeds } }

// WithPolicy sets the routing policy; the default is fleet.Affinity.
func WithPolicy(p fleet.Policy) Option { return func(e *Entry) { e.policy = p } }

// WithStopDelay sets how long a stopping entry reports that it is not ready before it closes its listener, so that
// the load balancer notices first.
func WithStopDelay(d time.Duration) Option { return func(e *Entry) { e.stopDelay = d } }

// bodyShare is the share of the memory limit that bodies of requests may take. What is decoded from a body takes about as much
// again, and so does the message to a sidecar.
const bodyShare = 0.15

const (
	// answerShare is the share of the memory limit that the answers of running requests may take.
	answerShare = 0.1
	// waitingShare is the share that pieces of answers may take while their callers read slowly.
	waitingShare = 0.1
)

// WithMemoryLimit sets the memory in bytes that the process may use. Requests for whose bodies there is no memory are refused.
// By default there is no limit.
func WithMemoryLimit(bytes int64) Option { return func(e *Entry) { e.memoryLimit = bytes } }

// WithDescriptorLimit sets the number of file descriptors that the process may open. It bounds the connections of callers; by default
// only the memory limit does.
func WithDescriptorLimit(n int) Option { return func(e *Entry) { e.descriptorLimit = n } }

// Start starts an entry. It returns at once; Ready reports when callers can be served.
func Start(o Options, opts ...Option) (*Entry, error) {
	if o.Instance == "" || o.Zone == "" || o.Listener == nil {
		return nil, &Error{Op: "start", Kind: KindOption, Err: errors.New("instance, zone and listener are required")}
	}
	e := &Entry{
		Options: o, incarnation: uuid.New(), clock: clock.RealClock{}, log: klog.Logger{},
		metrics: new(expvar.Map), tracer: telemetry.DiscardTraces().Tracer(telemetry.TracerName),
		policy: fleet.Affinity{}, config: site.NewCurrentGeneration(), peers: map[string]*peer{}, viewChanged: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.bodies = body.NewBudget(int64(bodyShare * float64(e.memoryLimit)))
	e.answers = body.NewBudget(int64(answerShare * float64(e.memoryLimit)))
	e.waiting = body.NewBudget(int64(waitingShare * float64(e.memoryLimit)))
	seed := xxhash.Sum64(e.incarnation[:])
	self := fleet.Instance{Name: o.Instance, Zone: o.Zone, Region: o.Region, Role: fleet.RoleEntry}
	e.view = fleet.NewView(self, rand.NewPCG(seed, 1), fleet.WithPolicy(e.policy))
	e.limiter = workspace.NewLimiter(limitSource{e.config}, 1)
	e.suspects = suspect.New(e.incarnation)
	e.exchange = generation.NewExchange(e.config, e.log, e.metrics, e.clock)
	var platformOptions []platformclient.Option
	if e.dialer != nil {
		e.linkOptions = append([]link.Option{link.WithDialer(e.dialer)}, e.linkOptions...)
		platformOptions = append(platformOptions, platformclient.WithDialer(e.dialer))
	}
	e.linkOptions = append(e.linkOptions, link.WithClock(e.clock), link.WithHeartbeatContent(e.heartbeatContent))
	e.platform = platformclient.New(o.Platform, platformOptions...)
	e.server = &http.Server{
		Handler: e.Handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, IdleTimeout: idleTimeout,
	}
	e.conns = callers.NewConns(callers.Limit(e.descriptorLimit, e.memoryLimit, maxHeader), e.metrics)
	e.conns.Observe(e.server)
	watcher := generation.NewWatcher(e.exchange, e.platform, e.clock, seed, e.isWatcher)
	ctx := e.tomb.Context(context.Background())
	e.requestsEnded, e.endRequests = context.WithCancel(ctx)
	e.tomb.Go(func() error {
		e.tomb.Go(func() error { return watcher.Run(ctx) })
		e.tomb.Go(func() error { return e.watchInstances(ctx) })
		e.tomb.Go(func() error { return e.watchGenerations(ctx) })
		e.tomb.Go(func() error { return e.querySeeds(ctx) })
		e.tomb.Go(e.stopOnDying)
		if err := e.server.Serve(o.Listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return &Error{Op: "serve", Kind: KindListen, Err: err}
		}
		return nil
	})
	return e, nil
}

// stopAnswerMargin is the time before the end of a stop in which callers of requests that are still running are answered. It
// allows for the cancellation of their attempts.
const stopAnswerMargin = cancelTimeout + 250*time.Millisecond

// Stop stops the entry gracefully: it reports not ready, closes the listener, waits for the requests to end, and then
// closes the links. ctx bounds the wait. Requests that are still running stopAnswerMargin before the deadline of ctx end
// with a failure that says whether they may have run. When ctx is canceled, they are cut.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	e.waitStopDelay(ctx)
	err := e.awaitRequests(ctx)
	e.tomb.Kill(nil)
	return errors.Join(err, e.tomb.Wait())
}

// awaitRequests closes the listener and waits until all callers have their answers.
func (e *Entry) awaitRequests(ctx context.Context) error {
	waitCtx := ctx
	if deadline, ok := ctx.Deadline(); ok {
		bounded, cancel := context.WithDeadline(ctx, deadline.Add(-stopAnswerMargin))
		defer cancel()
		waitCtx = bounded
	}
	callers.StopAccepting(e.server)
	if e.conns.Await(waitCtx, e.clock) == 0 {
		return e.server.Close()
	}
	e.log.Info("ending requests that are still running")
	e.endRequests()
	if e.conns.Await(ctx, e.clock) == 0 {
		return e.server.Close()
	}
	return ctx.Err()
}

func (e *Entry) waitStopDelay(ctx context.Context) {
	timer := e.clock.NewTimer(e.stopDelay)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// stopOnDying stops the peers, the HTTP server and the platform client, which do not end by themselves when the tomb is
// killed.
func (e *Entry) stopOnDying() error {
	<-e.tomb.Dying()
	e.mu.Lock()
	peers := e.peers
	e.peers = map[string]*peer{}
	e.mu.Unlock()
	for _, p := range peers {
		p.stop()
	}
	_ = e.server.Close()
	e.platform.Close()
	return nil
}

// Kill stops the entry at once, as a crash of the process would: the links close before the requests can cancel their
// attempts, and the callers' connections are dropped.
func (e *Entry) Kill() {
	e.tomb.Kill(nil)
	_ = e.tomb.Wait()
}

// reportViolation counts and logs a violated invariant. With WithStrictInvariants it also panics, in a goroutine of its
// own because net/http recovers from panics in handlers.
func (e *Entry) reportViolation(name, detail string) {
	e.metrics.Add("invariant-"+name, 1)
	e.log.Error(nil, "invariant broken", "invariant", name, "detail", detail)
	if e.strictInvariants {
		go panic("invariant broken: " + name + ": " + detail)
	}
}

// Dying returns a channel that is closed when the entry starts to stop.
func (e *Entry) Dying() <-chan struct{} { return e.tomb.Dying() }

// notReadyReason returns why callers cannot be served, or an empty string if they can.
func (e *Entry) notReadyReason() string {
	if e.stopping.Load() {
		return "stopping"
	}
	if e.config.Snapshot() == nil {
		return "no generation of the declarations has been read yet; the configuration service and the peers are asked again"
	}
	if e.exchange.Behind() {
		return "a newer generation of the declarations is being fetched from a peer"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasInstanceList && len(e.instances) == 0 {
		return "the instance list has not been read yet; the platform and the seeds are asked again"
	}
	for _, p := range e.peers {
		if p.connected() {
			return ""
		}
	}
	return "no sidecar is linked yet"
}

// Ready reports whether callers can be served.
func (e *Entry) Ready() bool { return e.notReadyReason() == "" }

func (e *Entry) hello() link.Hello {
	return link.Hello{
		Role: link.RoleEntry, Instance: e.Instance, Incarnation: e.incarnation, Zone: e.Zone,
		Generation: e.exchange.CurrentNumber(),
	}
}

func (e *Entry) heartbeatContent() link.Heartbeat {
	e.mu.Lock()
	digest := e.suspects.MarksDigest(e.clock.Now())
	e.mu.Unlock()
	return link.Heartbeat{Generation: e.exchange.CurrentNumber(), Suspects: digest}
}

// limitSource provides the limits of the current declarations to the workspace limiter.
type limitSource struct{ config *site.CurrentGeneration }

func (l limitSource) WorkspaceLimit(name string) (workspace.Limit, bool) {
	s := l.config.Snapshot()
	if s == nil {
		return workspace.Limit{}, false
	}
	w, ok := s.WorkspaceByName(name)
	return workspace.Limit{Rate: float64(w.TokensPerSecond), Burst: w.Burst}, ok
}
