package command

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"berylward.example/berylward/examples"
	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/pkg/site"
)

const (
	demoReadyTimeout = 30 * time.Second
	demoStopTimeout  = 30 * time.Second
)

func newDemo() *cobra.Command {
	listen := netip.MustParseAddrPort("127.0.0.1:8080")
	entries, engines := 2, 2
	var admin netip.AddrPort
	var base, overlay, logLevels, traces string
	anyPorts := false
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete fleet on loopback in one process, with stand-ins",
		Long: "Run a complete fleet on loopback in one process: stand-ins of the platform, of engines in two availability zones\n" +
			"and of booking workers, a sidecar beside each engine and booking worker, and entries on consecutive ports. One JSON\n" +
			"line with the addresses is printed when callers can be served. SIGINT or SIGTERM stops the demo gracefully.",
		Args: cobra.NoArgs,
	}
	s := newSettings(cmd)
	s.textVar(&listen, "listen", addressFormat, "listen address of the first entry, on loopback")
	s.textVar(&admin, "admin-listen", addressFormat, "admin listen address of the first entry, on loopback; the following ports serve the other entries and then the sidecars, sorted by name; disabled when empty")
	s.intVar(&entries, "entries", "number of entries")
	s.intVar(&engines, "engines", "number of engines in each of two zones")
	s.stringVar(&base, "base", "a file", "base file of the declarations; the example when empty")
	s.stringVar(&overlay, "overlay", "a file", "overlay of the declarations; the Cuenca example when empty")
	s.boolVar(&anyPorts, "any-ports", "let booking workers use free ports instead of their declared addresses")
	s.stringVar(&logLevels, "log-levels", "slice=verbosity pairs, such as sidecar=2,default=0", "log verbosity by slice, as named in the slice field of log lines")
	s.stringVar(&traces, "traces", "stdout, file:PATH or an OTLP/HTTP URL", "export target of trace spans; no export when empty")
	s.checks = append(s.checks, func() *InvalidSetting {
		if !listen.Addr().IsLoopback() {
			return &InvalidSetting{Setting: "listen", Value: listen.String(), Expected: "a loopback address and a port"}
		}
		return nil
	}, func() *InvalidSetting {
		if admin.IsValid() && !admin.Addr().IsLoopback() {
			return &InvalidSetting{Setting: "admin-listen", Value: admin.String(), Expected: "a loopback address and a port"}
		}
		return nil
	}, func() *InvalidSetting { return checkPositive("entries", entries) }, func() *InvalidSetting { return checkPositive("engines", engines) })
	checkTelemetry(s, &logLevels, &traces)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		logs, err := telemetry.NewLogs(os.Stderr, logLevels)
		if err != nil {
			return err
		}
		d, err := loadDeclarations(base, overlay)
		if err != nil {
			return err
		}
		opts := []demo.Option{
			demo.WithListen(listen), demo.WithEntries(entries), demo.WithEngines(engines, 2),
			demo.WithLogs(logs), demo.WithTraces(traces),
		}
		if anyPorts {
			opts = append(opts, demo.WithFreePorts())
		}
		return runDemo(cmd, d, admin, opts)
	}
	return cmd
}

func checkPositive(setting string, n int) *InvalidSetting {
	if n < 1 {
		return &InvalidSetting{Setting: setting, Value: fmt.Sprint(n), Expected: "a whole number from 1"}
	}
	return nil
}

// loadDeclarations reads the given files. An empty file name stands for the file of the Cuenca example.
func loadDeclarations(base, overlay string) (*site.Declarations, error) {
	b, err := examples.Source(base, "base.yaml")
	if err != nil {
		return nil, err
	}
	o, err := examples.Source(overlay, "cuenca/site.yaml")
	if err != nil {
		return nil, err
	}
	loaded, err := site.LoadSources(b, o)
	if err != nil {
		return nil, err
	}
	return loaded.Declarations, nil
}

func runDemo(cmd *cobra.Command, d *site.Declarations, admin netip.AddrPort, opts []demo.Option) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	f, err := demo.Start(d, opts...)
	if err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	err = f.Ready(readyCtx)
	cancel()
	var admins adminServers
	defer func() { admins.close() }()
	if err == nil {
		admins, err = serveDemoAdmin(admin, f)
	}
	if err == nil {
		err = printDemo(cmd, f, admins.addresses)
	}
	if err == nil {
		<-ctx.Done()
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	if stopErr := f.Stop(stopCtx); err == nil {
		err = stopErr
	}
	return err
}

// adminServers holds the admin servers of a demo and their addresses by instance.
type adminServers struct {
	servers   []*http.Server
	addresses map[string]netip.AddrPort
}

func (a adminServers) close() {
	for _, s := range a.servers {
		_ = s.Close()
	}
}

// serveDemoAdmin serves the admin pages of each entry and then of each sidecar on consecutive ports. With port 0, each
// instance gets a free port. Without a valid address, no admin pages are served.
func serveDemoAdmin(first netip.AddrPort, f *demo.Fleet) (adminServers, error) {
	a := adminServers{addresses: map[string]netip.AddrPort{}}
	if !first.IsValid() {
		return a, nil
	}
	serve := func(name string, status func() any) error {
		address := first
		if first.Port() != 0 {
			address = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(len(a.servers)))
		}
		listener, err := listen(address, nil)
		if err != nil {
			return err
		}
		a.servers = append(a.servers, newAdmin(listener, status))
		a.addresses[name] = listener.Addr().(*net.TCPAddr).AddrPort()
		return nil
	}
	for _, e := range f.Entries {
		if err := serve(e.Instance, func() any { return e.Status() }); err != nil {
			return a, err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Sidecars)) {
		if err := serve(name, func() any { return f.Sidecars[name].Status() }); err != nil {
			return a, err
		}
	}
	return a, nil
}

func printDemo(cmd *cobra.Command, f *demo.Fleet, admin map[string]netip.AddrPort) error {
	backends := map[string]netip.AddrPort{}
	for name, e := range f.Engines {
		backends[name] = e.Addr()
	}
	for name, s := range f.Services {
		backends[name] = s.Addr()
	}
	line, err := json.Marshal(struct {
		Entries  []netip.AddrPort          `json:"entries"`
		Platform netip.AddrPort            `json:"platform"`
		Backends map[string]netip.AddrPort `json:"backends"`
		Admin    map[string]netip.AddrPort `json:"admin,omitempty"`
	}{f.EntryAddresses, f.Platform.Addr(), backends, admin})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), string(line))
	return err
}
