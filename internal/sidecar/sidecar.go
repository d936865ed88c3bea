// Package sidecar implements the process that runs beside one backend server. It is the only path to that server and
// the only process that sends it orders. One goroutine, the backend goroutine, makes all decisions about the backend
// server: admission, memory, the warm-up window, the at-most-once table and the suspects. Each link and each running
// stream has its own goroutine, which sends events to the backend goroutine through a queue. The sidecar stores
// nothing persistently.
package sidecar

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/generation"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/internal/prompt"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/pkg/site"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindOption means that a required option is missing or invalid.
	KindOption ErrorKind = "option"
	// KindListen means that the listener for links failed.
	KindListen ErrorKind = "listen"
)

// Error reports a failure of the sidecar process.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("sidecar: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// headerTimeout is the time limit for the request header of a new connection.
const headerTimeout = 5 * time.Second

// Options holds the settings of a sidecar that have no default.
type Options struct {
	// Instance is the name of this instance in the instance list. For a plain service it is also the worker's
	// declared name.
	Instance string
	Zone     string
	// Listener accepts the connections of links.
	Listener net.Listener
	// Backend is the address of the backend server.
	Backend netip.AddrPort
	// Service is the name of the plain service that the backend server provides. It is empty for a model engine.
	Service string
	// Platform is the address of the configuration service.
	Platform netip.AddrPort
	// Models lists the models that this instance serves. When it is empty, placement follows the number of workers
	// that is declared for each model.
	Models []string
}

// Sidecar is one running sidecar.
type Sidecar struct {
	Options
	incarnation      uuid.UUID
	startedAt        time.Time
	clock            clock.WithTicker
	log              klog.Logger
	metrics          *expvar.Map
	tracer           trace.Tracer
	linkOptions      []link.Option
	ticketKey        []byte
	strictInvariants bool
	memoryLimit      int64
	budgets          budgets
	schedulerOptions []prompt.Option
	// suppressFailureReports keeps failures of the backend server from being reported over the links.
	suppressFailureReports bool
	dial                   link.Dialer

	config   *site.CurrentGeneration
	exchange *generation.Exchange
	platform *platformclient.Client
	client   *engine.Client
	server   *http.Server
	tomb     tomb.Tomb
	events   *link.Queue[event]
	// suspects is the digest of the marks in the registry of suspects. The backend goroutine updates it for heartbeats.
	suspects atomic.Uint64
	// openLinks counts the links that are open or in their handshake.
	openLinks atomic.Int64
	stopped   chan struct{}
	probeNow  chan struct{}
	listNow   atomic.Bool
}

// Option changes a setting of a Sidecar.
type Option func(*Sidecar)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.WithTicker) Option { return func(s *Sidecar) { s.clock = c } }

// WithLogger sets the logger. The default discards all messages.
func WithLogger(l klog.Logger) Option { return func(s *Sidecar) { s.log = l } }

// WithMetrics sets the map that holds the metrics.
func WithMetrics(m *expvar.Map) Option { return func(s *Sidecar) { s.metrics = m } }

// WithTracer sets the tracer provider. The default discards all spans.
func WithTracer(p trace.TracerProvider) Option {
	return func(s *Sidecar) { s.tracer = p.Tracer(telemetry.TracerName) }
}

// WithLinkOptions adds options of the links, such as TLS.
func WithLinkOptions(opts ...link.Option) Option {
	return func(s *Sidecar) { s.linkOptions = append(s.linkOptions, opts...) }
}

// WithDialer sets the dialer for links and for connections to the backend server and the platform. The default is
// that of net/http.
func WithDialer(dial link.Dialer) Option { return func(s *Sidecar) { s.dial = dial } }

// WithTicketKey sets the key that authenticates tickets. All sidecars of a service share it. Without a key the
// sidecar issues no tickets.
func WithTicketKey(key []byte) Option { return func(s *Sidecar) { s.ticketKey = key } }

// WithMemoryLimit sets the memory in bytes that the process may use. Requests for which there is no memory are refused, and
// requests whose answers find none fail. By default there is no limit.
func WithMemoryLimit(bytes int64) Option { return func(s *Sidecar) { s.memoryLimit = bytes } }

// WithStrictInvariants makes a violated invariant panic in addition to being counted. It is meant for tests.
func WithStrictInvariants() Option { return func(s *Sidecar) { s.strictInvariants = true } }

// WithSchedulerOptions adds options of the scheduler. They take precedence over those from the declarations. They are
// meant for measurements, for example with a single queue instead of the classes.
func WithSchedulerOptions(opts ...prompt.Option) Option {
	return func(s *Sidecar) { s.schedulerOptions = append(s.schedulerOptions, opts...) }
}

// WithoutFailureReports stops the sidecar from reporting a failure of its backend server, so that peers notice it
// only by their timeouts. It is meant for measuring the effect of these reports.
func WithoutFailureReports() Option { return func(s *Sidecar) { s.suppressFailureReports = true } }

// maxQueuedEvents bounds the events that are queued for the backend goroutine. It is far above what live streams
// produce.
const maxQueuedEvents = 1 << 18

// Start starts a sidecar and returns at once. The sidecar refuses work until it knows the declarations and its
// backend server answers.
func Start(o Options, opts ...Option) (*Sidecar, error) {
	if o.Instance == "" || o.Zone == "" || o.Listener == nil || !o.Backend.IsValid() {
		return nil, &Error{Op: "start", Kind: KindOption, Err: errors.New("instance, zone, listener and backend are required")}
	}
	s := &Sidecar{
		Options: o, incarnation: uuid.New(), clock: clock.RealClock{}, metrics: new(expvar.Map),
		tracer: telemetry.DiscardTraces().Tracer(telemetry.TracerName), config: site.NewCurrentGeneration(),
		events: link.NewQueue[event](maxQueuedEvents), stopped: make(chan struct{}), probeNow: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.startedAt, s.budgets = s.clock.Now(), newBudgets(s.memoryLimit)
	s.exchange = generation.NewExchange(s.config, s.log, s.metrics, s.clock)
	engineOptions, platformOptions := []engine.Option{engine.WithClock(s.clock)}, []platformclient.Option(nil)
	if s.dial != nil {
		s.linkOptions = append([]link.Option{link.WithDialer(s.dial)}, s.linkOptions...)
		engineOptions = append(engineOptions, engine.WithDialer(s.dial))
		platformOptions = append(platformOptions, platformclient.WithDialer(s.dial))
	}
	if o.Service != "" {
		engineOptions = append(engineOptions, engine.WithoutKeepAlives())
	}
	s.linkOptions = append(s.linkOptions, link.WithClock(s.clock), link.WithHeartbeatContent(s.heartbeatContent))
	s.platform = platformclient.New(o.Platform, platformOptions...)
	s.client = engine.New(o.Backend, engineOptions...)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.Path, s.acceptLink)
	mux.HandleFunc("GET "+link.CachePath, s.handleCache)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxLinkHeaderBytes}
	watcher := generation.NewWatcher(s.exchange, s.platform, s.clock, xxhash.Sum64(s.incarnation[:]), func() bool { return false })
	b := newBackend(s)
	ctx := s.tomb.Context(context.Background())
	s.tomb.Go(func() error {
		s.tomb.Go(func() error { return watcher.Run(ctx) })
		s.tomb.Go(b.run)
		s.tomb.Go(func() error { return s.monitor(ctx) })
		s.tomb.Go(func() error { return s.watchWorkerList(ctx) })
		s.tomb.Go(s.closeOnDying)
		if err := s.server.Serve(o.Listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return &Error{Op: "serve", Kind: KindListen, Err: err}
		}
		return nil
	})
	return s, nil
}

// Stop ends the sidecar gracefully: it refuses new work, waits for running work and then closes the links. ctx bounds
// the wait.
func (s *Sidecar) Stop(ctx context.Context) error {
	s.events.Put(stopRequested{})
	var err error
	select {
	case <-s.stopped:
	case <-s.tomb.Dying():
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.tomb.Kill(nil)
	return errors.Join(err, s.tomb.Wait())
}

// Dying returns a channel that is closed when the sidecar begins to terminate.
func (s *Sidecar) Dying() <-chan struct{} { return s.tomb.Dying() }

func (s *Sidecar) closeOnDying() error {
	<-s.tomb.Dying()
	_ = s.server.Close()
	s.client.Close()
	s.platform.Close()
	return nil
}

func (s *Sidecar) hello() link.Hello {
	return link.Hello{
		Role: link.RoleSidecar, Instance: s.Instance, Incarnation: s.incarnation, Zone: s.Zone, Service: s.Service,
		Generation: s.exchange.CurrentNumber(),
	}
}

func (s *Sidecar) heartbeatContent() link.Heartbeat {
	return link.Heartbeat{Generation: s.exchange.CurrentNumber(), Suspects: s.suspects.Load()}
}

// acceptLink serves one link until it ends. It runs in the goroutine that net/http starts for the connection.
func (s *Sidecar) acceptLink(w http.ResponseWriter, r *http.Request) {
	defer s.openLinks.Add(-1)
	if s.openLinks.Add(1) > maxLinks {
		s.metrics.Add("links-over-limit", 1)
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	conn, err := link.Accept(w, r, s.hello(), s.linkOptions...)
	if err != nil {
		s.metrics.Add("handshakes-failed", 1)
		s.log.V(1).Info("link not accepted", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	defer func() { _ = conn.Close() }()
	s.exchange.HandleAnnouncement(conn, conn.Peer().Generation)
	s.events.Put(linkUp{conn})
	defer s.events.Put(linkDown{conn})
	s.receiveMessages(conn)
}

// receiveMessages passes the messages of a link to the backend goroutine until the link or the sidecar ends.
func (s *Sidecar) receiveMessages(conn *link.Conn) {
	for {
		select {
		case m, ok := <-conn.Receive():
			if !ok {
				if err := conn.Err(); err != nil {
					s.log.Info("link lost", "peer", conn.Peer().Instance, "error", err.Error())
				}
				return
			}
			switch m := m.(type) {
			case *link.Heartbeat:
				s.exchange.HandleAnnouncement(conn, m.Generation)
				if m.Suspects != s.suspects.Load() {
					s.events.Put(suspectsDiffer{conn})
				}
			case *link.ConfigRequest, *link.ConfigManifest, *link.ConfigShard:
				s.exchange.Handle(conn, m)
			default:
				s.events.Put(messageReceived{conn, m})
			}
		case <-s.tomb.Dying():
			return
		}
	}
}

// Kill terminates the sidecar at once, like a crash of its process: links break and running calls are dropped.
func (s *Sidecar) Kill() {
	s.tomb.Kill(nil)
	_ = s.server.Close()
	_ = s.tomb.Wait()
}
