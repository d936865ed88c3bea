// Package gateway implements the process that serves callers where backend servers are reached directly, without
// sidecars. Each caller request runs in the goroutine of its connection. One task follows the store, and one removes
// backend servers whose entries stay missing. With peering enabled, two more tasks receive datagrams from other
// gateways and send datagrams to them. Decisions are made by the packages that the gateway combines. A Gateway owns
// their state, which need not survive the process.
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
	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/bootclock"
	"berylward.example/berylward/internal/callers"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/peering"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/internal/telemetry"
)

const (
	// headerTimeout is how long a connection may take to send the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout closes a connection without requests. Operators announce shorter limits to callers, and callers keep
	// to those.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the header of a request in bytes.
	maxHeader = 64 << 10
	// proofMargin is subtracted from the limit for revoked keys. It leaves time for a request to reach the backend
	// server.
	proofMargin = 500 * time.Millisecond
	// requestBodyShare and responseBodyShare are the shares of the memory limit that bodies may take. The rest is for the
	// process itself, and for memory that the garbage collector has not reclaimed yet. Each direction has its own share, so that
	// the answers of requests that have run find room.
	requestBodyShare  = 0.2
	responseBodyShare = 0.15
)

// Gateway is one gateway process.
type Gateway struct {
	Settings
	protocol Protocol
	store    Store
	clock    clock.WithTicker
	// boot is a clock that also counts time in which the instance was suspended. The age of the routing table is
	// measured with it.
	boot    clock.PassiveClock
	log     klog.Logger
	metrics *metrics
	tracer  trace.Tracer
	pool    *backend.Pool
	// requestBodies and responseBodies hold the bodies of all requests, and what is kept of all responses.
	requestBodies, responseBodies *body.Budget

	callers, readiness net.Listener
	peerConn           net.PacketConn
	servers            []*http.Server
	tomb               tomb.Tomb
	incarnation        uint64
	active             atomic.Int64
	reserving          atomic.Int64 // prompts with memory reserved at several engines
	shutdown           *shutdown
	conns              *callers.Conns

	// mu guards the fields from currentTable to firstReadClosed.
	mu           sync.Mutex
	currentTable *route.CurrentTable
	roster       *roster.Roster
	planner      *dispatch.Planner
	group        *peering.Group
	proofs       *peering.ProofTracker
	retries      *dispatch.SharedRetryBudget
	requests     *suspect.RequestRegistry
	unanswered   *suspect.UnansweredSends
	parts        *suspect.PartRegistry
	random       *rand.Rand
	watch        pendingWatch
	// awaitUntil is until when this gateway, which has started, waits for reports of others; zero when it does not wait.
	awaitUntil time.Time
	// firstRead is set when the first read of the store has succeeded or failed.
	firstRead, firstReadClosed bool
	// firstReadDone is closed, and firstReadClosed set, when the first read has ended and reports of others are not awaited.
	firstReadDone chan struct{}
}

// Option configures a gateway.
type Option func(*Gateway)

// WithClock sets the clock; the default is the system's.
func WithClock(c clock.WithTicker) Option { return func(g *Gateway) { g.clock = c } }

// WithBootClock sets the clock that includes suspended time; the default is bootclock.Clock.
func WithBootClock(c clock.PassiveClock) Option { return func(g *Gateway) { g.boot = c } }

// WithLogger sets the logger; the default discards all messages.
func WithLogger(l klog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithMetrics sets where metrics are published; by default they are not published.
func WithMetrics(m *telemetry.Metrics) Option { return func(g *Gateway) { g.metrics = newMetrics(m) } }

// WithTracer sets the provider of spans; the default discards them.
func WithTracer(p trace.TracerProvider) Option {
	return func(g *Gateway) { g.tracer = p.Tracer(telemetry.TracerName) }
}

// WithDialer sets how connections to backend servers are opened. It must follow WithClock.
func WithDialer(dial backend.Dialer) Option {
	return func(g *Gateway) { g.pool = backend.NewPool(g.clock, dial) }
}

// WithListeners sets the listeners for callers and readiness, which are otherwise opened at the addresses in the
// settings.
func WithListeners(callers, readiness net.Listener) Option {
	return func(g *Gateway) { g.callers, g.readiness = callers, readiness }
}

// WithPeerConn sets the connection for datagrams of other gateways, which is otherwise opened at PeeringAddress.
func WithPeerConn(conn net.PacketConn) Option { return func(g *Gateway) { g.peerConn = conn } }

// Start starts a gateway and returns without waiting for the routing table. The readiness listener reports when callers
// can be served.
func Start(s Settings, p Protocol, store Store, options ...Option) (*Gateway, error) {
	incarnation := uuid.New()
	seed := xxhash.Sum64(incarnation[:])
	g := &Gateway{
		Settings: s, protocol: p, store: store, clock: clock.RealClock{}, boot: bootclock.Clock{}, log: klog.Logger{},
		metrics: newMetrics(nil), tracer: telemetry.DiscardTraces().Tracer(telemetry.TracerName),
		firstReadDone: make(chan struct{}), roster: roster.New(), requests: suspect.NewRequestRegistry(incarnation), unanswered: suspect.NewUnansweredSends(),
		parts: suspect.NewPartRegistry(),
	}
	for _, o := range options {
		o(g)
	}
	g.requestBodies = body.NewBudget(int64(requestBodyShare * float64(s.MemoryLimit)))
	g.responseBodies = body.NewBudget(int64(responseBodyShare * float64(s.MemoryLimit)))
	g.conns = callers.NewConns(callers.Limit(s.DescriptorLimit, s.MemoryLimit, maxHeader), g.metrics.counters)
	g.shutdown = newShutdown(g.tomb.Context(context.Background()))
	if g.pool == nil {
		g.pool = backend.NewPool(g.clock, nil)
	}
	maxKeyAge := max(s.RevocationTimeout-proofMargin, 0)
	g.currentTable = route.NewCurrentTable(maxKeyAge)
	g.random = rand.New(rand.NewPCG(seed, 2))
	g.planner = dispatch.NewPlanner(s.Zone, append(s.plannerOptions(), dispatch.WithRandomSource(rand.NewPCG(seed, 3)))...)
	retryLimits := dispatch.SharedRetryLimits{Share: s.RetryShare, Reserve: s.RetryReserve, Window: s.RetryWindow}
	g.retries = dispatch.NewSharedRetryBudget(retryLimits, g.clock.Now(), rand.NewPCG(seed, 4))
	g.group = peering.NewGroup(s.PeeringAddress, s.Zone, s.Seeds)
	g.proofs = peering.NewProofTracker()
	g.incarnation = uint64(g.clock.Now().UnixNano())
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.log.Info("started", "instance", s.Instance, "zone", s.Zone, "callers", g.callers.Addr().String(), "seeds", len(s.Seeds),
		"connection-limit", g.conns.Usage().Limit)
	g.awaitReports()
	g.serveCallers()
	g.tomb.Go(g.followStore)
	if g.peerConn != nil {
		g.tomb.Go(g.receivePeers)
		g.tomb.Go(g.sendState)
	}
	return g, nil
}

func (g *Gateway) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{{&g.callers, g.CallerAddress}, {&g.readiness, g.ReadinessAddress}} {
		if *l.listener != nil {
			continue
		}
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return &Error{Op: "start", Kind: KindListen, Err: err}
		}
		*l.listener = listener
	}
	if g.PeeringAddress.IsValid() && g.peerConn == nil {
		conn, err := net.ListenPacket("udp", g.PeeringAddress.String())
		if err != nil {
			return &Error{Op: "start", Kind: KindListen, Err: err}
		}
		g.peerConn = conn
	}
	return nil
}

func (g *Gateway) serveCallers() {
	callerServer := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ErrorLog: newHTTPLog(g.log),
	}
	g.conns.Observe(callerServer)
	router := bunrouter.New()
	router.GET("/*path", func(w http.ResponseWriter, _ bunrouter.Request) error {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	})
	readiness := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: newHTTPLog(g.log)}
	g.servers = []*http.Server{callerServer, readiness}
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

// Ready reports whether callers should be sent to this gateway.
func (g *Gateway) Ready() bool {
	if g.shutdown.hasBegun() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentTable.AdmitsKeys(g.boot.Now())
}

// Dying returns a channel that is closed when the gateway stops, also when it stops because of a failure.
func (g *Gateway) Dying() <-chan struct{} { return g.tomb.Dying() }
