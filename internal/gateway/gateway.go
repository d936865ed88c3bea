// Package gateway is the process that serves callers where backend servers are reached directly, without sidecars. It
// owns its callers' requests, each in the goroutine of its connection, one task that follows the store and one that
// exchanges datagrams with other gateways. Decisions are made by the slices it composes; it keeps nothing that could
// be lost when it ends.
package gateway

import (
	"context"
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
	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel/trace"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/peering"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/internal/uptime"
)

const (
	// headerTimeout ends a connection whose header does not arrive.
	headerTimeout = 5 * time.Second
	// idleTimeout ends a connection without requests. Operators declare shorter limits; callers keep to those.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the header of a request in bytes.
	maxHeader = 64 << 10
	// proofMargin is left before the bound of withdrawn keys, for the way to the backend server.
	proofMargin = 500 * time.Millisecond
	// crashes is how many backend servers a request may crash before it is refused.
	crashes = 3
)

// Gateway is one gateway process.
type Gateway struct {
	Settings
	protocol Protocol
	store    Store
	clock    clock.WithTicker
	// boot counts time in which the instance was suspended; the age of what is believed is measured with it.
	boot    clock.PassiveClock
	log     klog.Logger
	metrics *metrics
	tracer  trace.Tracer
	pool    *backend.Pool

	callers, readiness net.Listener
	peers              net.PacketConn
	servers            []*http.Server
	tomb               tomb.Tomb
	incarnation        uint64
	active             atomic.Int64
	stopping           atomic.Int64 // when a stop began, in nanoseconds of the clock; zero before

	mu       sync.Mutex
	book     *route.Book
	roster   *roster.Roster
	planner  *dispatch.Planner
	group    *peering.Group
	proofs   *peering.Proofs
	repeats  *dispatch.Allowance
	suspects *suspect.Register
	random   *rand.Rand
	// begun is closed when the first read of the store has ended.
	begun chan struct{}
}

// Option configures a gateway.
type Option func(*Gateway)

// WithClock sets the clock; the default is the system's.
func WithClock(c clock.WithTicker) Option { return func(g *Gateway) { g.clock = c } }

// WithBootClock sets the clock that counts time of suspension; the default is uptime.Clock.
func WithBootClock(c clock.PassiveClock) Option { return func(g *Gateway) { g.boot = c } }

// WithLogger sets the logger; the default drops all lines.
func WithLogger(l klog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithMetrics sets where metrics are counted.
func WithMetrics(m *telemetry.Metrics) Option { return func(g *Gateway) { g.metrics = newMetrics(m) } }

// WithTracer sets the provider of spans; the default drops them.
func WithTracer(p trace.TracerProvider) Option {
	return func(g *Gateway) { g.tracer = p.Tracer(telemetry.TracerName) }
}

// WithDialer sets how connections to backend servers are opened.
func WithDialer(dial backend.Dialer) Option {
	return func(g *Gateway) { g.pool = backend.NewPool(g.clock, dial) }
}

// WithListeners sets the listeners for callers and readiness instead of opening the addresses of the settings.
func WithListeners(callers, readiness net.Listener) Option {
	return func(g *Gateway) { g.callers, g.readiness = callers, readiness }
}

// Start starts a gateway. It returns at once; its readiness listener tells when callers can be served.
func Start(s Settings, p Protocol, store Store, options ...Option) (*Gateway, error) {
	incarnation := uuid.New()
	seed := xxhash.Sum64(incarnation[:])
	g := &Gateway{
		Settings: s, protocol: p, store: store, clock: clock.RealClock{}, boot: uptime.Clock{}, log: klog.Logger{},
		metrics: newMetrics(nil), tracer: telemetry.NoTraces().Tracer(telemetry.TracerName),
		begun: make(chan struct{}), roster: roster.New(), suspects: suspect.New(incarnation, suspect.WithCrashes(crashes)),
	}
	for _, o := range options {
		o(g)
	}
	if g.pool == nil {
		g.pool = backend.NewPool(g.clock, nil)
	}
	keyAge := max(s.RevokeWithin-proofMargin, 0)
	g.book = route.NewBook(keyAge)
	g.random = rand.New(rand.NewPCG(seed, 2))
	g.planner = dispatch.NewPlanner(s.Zone, dispatch.WithSource(rand.NewPCG(seed, 3)))
	repeats := dispatch.AllowanceLimits{Share: s.RetryShare, Reserve: s.RetryReserve, Window: s.RetryWindow}
	g.repeats = dispatch.NewAllowance(repeats, g.clock.Now(), rand.NewPCG(seed, 4))
	g.group = peering.NewGroup(s.Peering, s.Zone, s.Seeds)
	g.proofs = peering.NewProofs()
	g.incarnation = uint64(g.clock.Now().UnixNano())
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.log.Info("started", "instance", s.Instance, "zone", s.Zone, "callers", g.callers.Addr().String(), "seeds", len(s.Seeds))
	g.serveCallers()
	g.tomb.Go(g.follow)
	if g.peers != nil {
		g.tomb.Go(g.receivePeers)
		g.tomb.Go(g.sendState)
	}
	return g, nil
}

func (g *Gateway) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{{&g.callers, g.Callers}, {&g.readiness, g.Readiness}} {
		if *l.listener != nil {
			continue
		}
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return &Error{Op: "start", Kind: KindListen, Err: err}
		}
		*l.listener = listener
	}
	if g.Peering.IsValid() {
		conn, err := net.ListenPacket("udp", g.Peering.String())
		if err != nil {
			return &Error{Op: "start", Kind: KindListen, Err: err}
		}
		g.peers = conn
	}
	return nil
}

func (g *Gateway) serveCallers() {
	callers := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ErrorLog: quietLog(g.log),
	}
	router := bunrouter.New()
	router.GET("/*path", func(w http.ResponseWriter, _ bunrouter.Request) error {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	})
	readiness := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: quietLog(g.log)}
	g.servers = []*http.Server{callers, readiness}
	for i, listener := range []net.Listener{g.callers, g.readiness} {
		server := g.servers[i]
		g.tomb.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
}

// Ready says whether callers should be sent here.
func (g *Gateway) Ready() bool {
	if g.stopping.Load() != 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Fresh(g.boot.Now())
}

// Dying is closed when the gateway ends by itself.
func (g *Gateway) Dying() <-chan struct{} { return g.tomb.Dying() }

const (
	// stopPoll is how often a stop looks for running requests.
	stopPoll = 50 * time.Millisecond
	// stopNotice is how long a stopping gateway serves on, so that whoever sends callers here sees that it is not ready.
	stopNotice = 4 * time.Second
	// stopMargin is left before the time at which the platform ends the process.
	stopMargin = 300 * time.Millisecond
	// longUntil is for how long after the start of a stop streams are taken. Later ones might not end in time.
	longUntil = 2500 * time.Millisecond
	// plainMargin is the time before the end of a stop from which plain requests are refused.
	plainMargin = 1500 * time.Millisecond
)

// Stop stops the gateway without cutting requests: it is not ready from the start, serves open connections, and ends
// when nothing runs, or when its time is over.
func (g *Gateway) Stop(ctx context.Context) error {
	began := g.clock.Now()
	g.stopping.Store(began.UnixNano())
	g.log.Info("stopping", "running", g.active.Load())
	end := began.Add(max(g.StopWithin-stopMargin, 0))
	for now := began; now.Before(end) && ctx.Err() == nil; now = g.clock.Now() {
		if now.Sub(began) >= stopNotice && g.active.Load() == 0 {
			break
		}
		select {
		case <-g.clock.After(stopPoll):
		case <-g.tomb.Dying():
			end = now
		}
	}
	cut := g.active.Load()
	g.tomb.Kill(nil)
	for _, s := range g.servers {
		_ = s.Close()
	}
	if g.peers != nil {
		_ = g.peers.Close()
	}
	err := g.tomb.Wait()
	g.pool.Close()
	g.log.Info("stopped", "after-ms", g.clock.Since(began).Milliseconds(), "cut", cut)
	return err
}

// refuses says whether a stopping gateway takes no more requests of a kind.
func (g *Gateway) refuses(kind route.Kind) bool {
	began := g.stopping.Load()
	if began == 0 {
		return false
	}
	elapsed := time.Duration(g.clock.Now().UnixNano() - began)
	if kind == route.Stream {
		return elapsed > longUntil
	}
	return elapsed > g.StopWithin-plainMargin
}
