// Package demo runs a complete fleet on loopback in one process: stand-ins of the platform, of engines and of a plain
// service, a sidecar beside each backend server, and entries. The demo command, end-to-end tests and measurements use
// it. A Fleet owns all components that it starts, and Fleet.Stop stops them. The package has no logic of its own.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/pkg/site"
)

// Fleet is a running demo: its stand-ins, sidecars and entries. Methods that change the fleet must not be called
// concurrently.
type Fleet struct {
	Platform *standin.Platform
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	Sidecars map[string]*sidecar.Sidecar
	Entries  []*entry.Entry
	// EntryAddresses are the addresses at which Entries serve callers.
	EntryAddresses []netip.AddrPort

	settings     settings
	declarations *site.Declarations
	instances    []platformclient.Instance
	// manifest and publishedDeclarations describe the generation published last.
	manifest              site.Manifest
	publishedDeclarations *site.Declarations
	// traces holds the spans of each instance.
	traces []*telemetry.Traces
}

// instanceListLag is the delay until a change of the instance list is visible in a demo.
const instanceListLag = 200 * time.Millisecond

const loopback = "127.0.0.1"

func freePort() netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(loopback), 0) }

// ticketKey authenticates tickets in a demo. It may be public because a demo runs in one process on loopback.
var ticketKey = []byte("berylward demo: not a secret")

// Start starts a fleet for the declarations. It sets the clock skew of services to 0 in them and, with WithFreePorts,
// replaces the addresses of booking workers.
func Start(d *site.Declarations, opts ...Option) (*Fleet, error) {
	s := settings{
		listen: freePort(), entries: 2, enginesPerZone: 2, zones: 2, logs: telemetry.DiscardLogs(), metrics: telemetry.NewMetrics, clocks: func(string) clock.WithTicker { return clock.RealClock{} },
	}
	for _, opt := range opts {
		opt(&s)
	}
	f := &Fleet{
		Engines: map[string]*standin.Engine{}, Services: map[string]*standin.Service{},
		Sidecars: map[string]*sidecar.Sidecar{}, settings: s, declarations: d,
	}
	if err := f.start(); err != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return nil, errors.Join(err, f.Stop(ctx))
	}
	return f, nil
}

func (f *Fleet) start() error {
	opts, err := f.settings.standInOptions("platform")
	if err != nil {
		return err
	}
	if f.Platform, err = standin.StartPlatform(append(opts, standin.WithInstances(instanceListLag))...); err != nil {
		return err
	}
	zones := f.zoneNames()
	for _, service := range sortedNames(f.declarations.Services) {
		f.clearClockSkew(service)
		if err := f.startService(service); err != nil {
			return err
		}
	}
	models := sortedNames(f.declarations.Models)
	for _, zone := range zones[:min(f.settings.zones, len(zones))] {
		for i := range f.settings.enginesPerZone {
			if err := f.startEngine(zone, i, models[i%len(models)]); err != nil {
				return err
			}
		}
	}
	for i := range f.settings.entries {
		address := f.settings.listen
		if address.Port() != 0 {
			address = netip.AddrPortFrom(address.Addr(), address.Port()+uint16(i))
		}
		if err := f.startEntry(i, zones[i%min(f.settings.zones, len(zones))], address); err != nil {
			return err
		}
	}
	f.Platform.PublishInstances(f.instances...)
	return f.Publish(f.declarations)
}

func (f *Fleet) zoneNames() []string { return sortedNames(f.declarations.Zones) }

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// clearClockSkew sets the clock skew of a service to 0, because callers and workers on one machine share a clock. With a
// larger skew, bookings in the first seconds of the demo would get the outcome unknown.
func (f *Fleet) clearClockSkew(service string) {
	declared := f.declarations.Services[service]
	declared.ClockSkew = 0
	f.declarations.Services[service] = declared
}

func (f *Fleet) startEngine(zone string, i int, model string) error {
	m := f.declarations.Models[model]
	name := fmt.Sprintf("%s-engine-%d", zone, i+1)
	opts, err := f.settings.standInOptions(name + "-backend")
	if err != nil {
		return err
	}
	opts = append(append(opts,
		standin.WithModels(engine.LoadedModel{Model: model, Version: m.Version, Adapters: m.Adapters}),
		standin.WithCapacity(m.MemoryTokens), standin.WithRole(string(m.Role)),
	), f.settings.engineOptions...)
	backend, err := standin.StartEngine(opts...)
	if err != nil {
		return err
	}
	f.Engines[name] = backend
	return f.startSidecar(sidecar.Options{Instance: name, Zone: zone, Backend: backend.Addr()}, freePort(), []string{model})
}

func (f *Fleet) startService(name string) error {
	declared := f.declarations.Services[name]
	for _, worker := range sortedNames(declared.Workers) {
		w := declared.Workers[worker]
		opts, err := f.settings.standInOptions(worker + "-backend")
		if err != nil {
			return err
		}
		backend, err := standin.StartService(opts...)
		if err != nil {
			return err
		}
		f.Services[worker] = backend
		address := w.Address
		if f.settings.freePorts {
			address = freePort()
		}
		o := sidecar.Options{Instance: worker, Zone: w.Zone, Backend: backend.Addr(), Service: name}
		if err := f.startSidecar(o, address, nil); err != nil {
			return err
		}
		w.Address = f.instances[len(f.instances)-1].Address
		declared.Workers[worker] = w
	}
	return nil
}

func (f *Fleet) startSidecar(o sidecar.Options, address netip.AddrPort, models []string) error {
	listener, err := f.settings.listenOn(o.Instance, address)
	if err != nil {
		return err
	}
	o.Listener, o.Platform, o.Models = listener, f.Platform.Addr(), models
	tracer, err := f.tracer(o.Instance)
	if err != nil {
		return err
	}
	opts := append([]sidecar.Option{
		sidecar.WithLogger(f.settings.logs.Logger("sidecar").WithValues("instance", o.Instance)),
		sidecar.WithMetrics(f.settings.metrics(o.Instance).Slice("sidecar")),
		sidecar.WithDialer(f.settings.dialer(o.Instance)), sidecar.WithClock(f.settings.clocks(o.Instance)),
		sidecar.WithTracer(tracer), sidecar.WithTicketKey(ticketKey),
	}, f.settings.sidecarOptions...)
	s, err := sidecar.Start(o, opts...)
	if err != nil {
		return err
	}
	f.Sidecars[o.Instance] = s
	f.setInstance(platformclient.Instance{
		Name: o.Instance, Address: addrPort(listener), Zone: o.Zone, Region: f.declarations.Site.Region,
		Role: platformclient.RoleSidecar, Service: o.Service, Models: models,
	})
	return nil
}

// setInstance adds an instance to the instance list, or replaces the one of the same name.
func (f *Fleet) setInstance(instance platformclient.Instance) {
	if at := slices.IndexFunc(f.instances, func(existing platformclient.Instance) bool { return existing.Name == instance.Name }); at >= 0 {
		f.instances[at] = instance
		return
	}
	f.instances = append(f.instances, instance)
}

func (f *Fleet) findInstance(name string) (platformclient.Instance, error) {
	for _, i := range f.instances {
		if i.Name == name {
			return i, nil
		}
	}
	return platformclient.Instance{}, errors.Errorf("no instance %q", name)
}

// RestartSidecar starts a new incarnation of an ended sidecar on the same address.
func (f *Fleet) RestartSidecar(name string) error {
	i, err := f.findInstance(name)
	if err != nil {
		return err
	}
	o := sidecar.Options{Instance: name, Zone: i.Zone, Service: i.Service}
	if i.Service != "" {
		o.Backend = f.Services[name].Addr()
	} else {
		o.Backend = f.Engines[name].Addr()
	}
	return f.startSidecar(o, i.Address, i.Models)
}

// RestartEntry starts a new incarnation of an ended entry on the same address.
func (f *Fleet) RestartEntry(i int, opts ...entry.Option) error {
	old, err := f.findInstance(fmt.Sprintf("entry-%d", i+1))
	if err != nil {
		return err
	}
	return f.startEntry(i, old.Zone, old.Address, opts...)
}

// tracer returns the tracer provider of an instance. Stop flushes it.
func (f *Fleet) tracer(instance string) (trace.TracerProvider, error) {
	traces, err := telemetry.NewTraces(context.Background(), f.settings.traces, instance)
	if err != nil {
		return nil, err
	}
	f.traces = append(f.traces, traces)
	return traces.Provider(), nil
}

func addrPort(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

func (f *Fleet) startEntry(i int, zone string, address netip.AddrPort, extra ...entry.Option) error {
	name := fmt.Sprintf("entry-%d", i+1)
	listener, err := f.settings.listenOn(name, address)
	if err != nil {
		return err
	}
	tracer, err := f.tracer(name)
	if err != nil {
		return err
	}
	opts := append([]entry.Option{
		entry.WithLogger(f.settings.logs.Logger("entry").WithValues("instance", name)),
		entry.WithDialer(f.settings.dialer(name)), entry.WithClock(f.settings.clocks(name)),
		entry.WithMetrics(f.settings.metrics(name).Slice("entry")), entry.WithTracer(tracer),
	}, slices.Concat(f.settings.entryOptions, extra)...)
	e, err := entry.Start(entry.Options{
		Instance: name, Zone: zone, Region: f.declarations.Site.Region, Listener: listener, Platform: f.Platform.Addr(),
	}, opts...)
	if err != nil {
		return err
	}
	if i < len(f.Entries) {
		f.Entries[i] = e
		return nil
	}
	f.Entries = append(f.Entries, e)
	f.EntryAddresses = append(f.EntryAddresses, addrPort(listener))
	f.setInstance(platformclient.Instance{
		Name: name, Address: addrPort(listener), Zone: zone, Region: f.declarations.Site.Region, Role: platformclient.RoleEntry,
	})
	return nil
}

// Publish renders the declarations as the next generation and publishes it to the stand-in platform. The caller must
// not change the declarations afterwards.
func (f *Fleet) Publish(d *site.Declarations) error {
	var opts []site.RenderOption
	if f.publishedDeclarations != nil {
		opts = append(opts, site.WithPrevious(f.manifest, f.publishedDeclarations))
	}
	manifest, shards, err := site.Render(d, f.manifest.Generation+1, opts...)
	if err != nil {
		return err
	}
	f.manifest, f.publishedDeclarations, f.declarations = manifest, d, d
	for i, shard := range shards {
		if _, err := f.Platform.Publish(site.ShardName(manifest.Shards[i].Digest), shard); err != nil {
			return err
		}
	}
	encoded, err := manifest.Encode()
	if err != nil {
		return err
	}
	_, err = f.Platform.Publish(site.ManifestName, encoded)
	return err
}

// Declarations returns the declarations published last.
func (f *Fleet) Declarations() *site.Declarations { return f.declarations }

// Instances returns the instance list of the fleet.
func (f *Fleet) Instances() []platformclient.Instance { return slices.Clone(f.instances) }

// Ready waits until every sidecar serves without a pending hand-over of keys, and every entry is ready and has a link
// to every sidecar.
func (f *Fleet) Ready(ctx context.Context) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		reason := f.notReadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), reason)
		}
	}
}

func (f *Fleet) notReadyReason() string {
	for name, s := range f.Sidecars {
		if st := s.Status(); st.Phase != "serving" || len(st.UnsealedEpochs) > 0 {
			return name + " is " + st.Phase
		}
	}
	for i, e := range f.Entries {
		st := e.Status()
		if !st.Ready {
			return fmt.Sprintf("entry-%d: %s", i+1, st.NotReady)
		}
		linked := 0
		for _, w := range st.Workers {
			if w.Linked {
				linked++
			}
		}
		if linked < len(f.Sidecars) {
			return fmt.Sprintf("entry-%d has %d links, want %d", i+1, linked, len(f.Sidecars))
		}
	}
	return ""
}

// Stop stops the fleet gracefully: entries first, then sidecars, then the stand-ins.
func (f *Fleet) Stop(ctx context.Context) error {
	var errs []error
	for _, e := range f.Entries {
		errs = append(errs, e.Stop(ctx))
	}
	for _, name := range sortedNames(f.Sidecars) {
		errs = append(errs, f.Sidecars[name].Stop(ctx))
	}
	for _, name := range sortedNames(f.Engines) {
		errs = append(errs, f.Engines[name].Stop())
	}
	for _, name := range sortedNames(f.Services) {
		errs = append(errs, f.Services[name].Stop())
	}
	if f.Platform != nil {
		errs = append(errs, f.Platform.Stop())
	}
	for _, t := range f.traces {
		errs = append(errs, t.Close(ctx))
	}
	return errors.Join(errs...)
}
