package demo

import (
	"net"
	"net/netip"

	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/internal/telemetry"
)

type settings struct {
	listen         netip.AddrPort
	entries        int
	enginesPerZone int
	zones          int
	freePorts      bool
	logs           *telemetry.Logs
	metrics        func(instance string) *telemetry.Metrics
	traces         string
	engineOptions  []standin.Option
	sidecarOptions []sidecar.Option
	entryOptions   []entry.Option
	network        Network
	clocks         func(instance string) clock.WithTicker
}

// Network opens the listeners and connections of a demo. Tests use an in-memory implementation.
type Network interface {
	// Listen opens a listener for an instance; port 0 selects a free port.
	Listen(instance string, address netip.AddrPort) (net.Listener, error)
	// Dialer returns the function with which an instance opens connections. The function must be safe for concurrent
	// use.
	Dialer(instance string) link.Dialer
}

func (s *settings) listenOn(instance string, address netip.AddrPort) (net.Listener, error) {
	if s.network == nil {
		return net.Listen("tcp", address.String())
	}
	return s.network.Listen(instance, address)
}

func (s *settings) dialer(instance string) link.Dialer {
	if s.network == nil {
		return new(net.Dialer).DialContext
	}
	return s.network.Dialer(instance)
}

// standInOptions returns the option that makes a stand-in listen on the network. Without a network it returns none, and
// the stand-in opens its own listener.
func (s *settings) standInOptions(instance string) ([]standin.Option, error) {
	if s.network == nil {
		return nil, nil
	}
	listener, err := s.network.Listen(instance, freePort())
	return []standin.Option{standin.WithListener(listener)}, err
}

// WithNetwork sets the network; the default is the network of the operating system.
func WithNetwork(n Network) Option { return func(s *settings) { s.network = n } }

// WithClocks sets the clock of each entry and sidecar, so that a test can pause one of them.
func WithClocks(clocks func(instance string) clock.WithTicker) Option {
	return func(s *settings) { s.clocks = clocks }
}

// Option configures a demo.
type Option func(*settings)

// WithListen sets the address of the first entry; the others listen on the following ports. With port 0, each entry
// gets a free port.
func WithListen(a netip.AddrPort) Option { return func(s *settings) { s.listen = a } }

// WithEntries sets the number of entries.
func WithEntries(n int) Option { return func(s *settings) { s.entries = n } }

// WithEngines sets the number of engines in each zone and the number of zones that have engines and entries.
func WithEngines(perZone, zones int) Option {
	return func(s *settings) { s.enginesPerZone, s.zones = perZone, zones }
}

// WithFreePorts lets the booking workers listen on free ports instead of their declared addresses, so that several
// fleets can run on one machine.
func WithFreePorts() Option { return func(s *settings) { s.freePorts = true } }

// WithLogs sets the destination of the logs, which are discarded by default.
func WithLogs(l *telemetry.Logs) Option { return func(s *settings) { s.logs = l } }

// WithTraces sets the export target of spans, as accepted by telemetry.NewTracerProvider.
func WithTraces(target string) Option { return func(s *settings) { s.traces = target } }

// WithEngineOptions adds options of the stand-in engines.
func WithEngineOptions(opts ...standin.Option) Option {
	return func(s *settings) { s.engineOptions = append(s.engineOptions, opts...) }
}

// WithSidecarOptions adds options of the sidecars.
func WithSidecarOptions(opts ...sidecar.Option) Option {
	return func(s *settings) { s.sidecarOptions = append(s.sidecarOptions, opts...) }
}

// WithEntryOptions adds options of the entries.
func WithEntryOptions(opts ...entry.Option) Option {
	return func(s *settings) { s.entryOptions = append(s.entryOptions, opts...) }
}
