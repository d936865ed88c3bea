package command

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/platform"
)

func newGateway() *cobra.Command {
	var file, logLevels, traces string
	var admin netip.AddrPort
	var offset time.Duration
	var pace bool
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway: the process that forwards requests of callers directly to backend servers, without sidecars",
		Args:  cobra.NoArgs,
	}
	s := newSettings(cmd)
	s.stringVar(&file, "settings", "a file", "settings file that the platform writes for this process, in TOML")
	s.textVar(&admin, "admin-listen", addressFormat, "listen address for metrics and status; disabled when empty")
	s.stringVar(&logLevels, "log-levels", "slice=verbosity pairs, such as gateway=1,default=0", "log verbosity by slice, as named in the slice field of log lines")
	s.stringVar(&traces, "traces", "stdout, file:PATH or an OTLP/HTTP URL", "export target of trace spans; no export when empty")
	s.durationVar(&offset, "clock-offset", "offset added to the time of day that the process sees, to test clock skew")
	s.boolVar(&pace, "pace", "learn how fast backend servers are, and limit the requests in flight at those that have just started or stopped answering")
	s.require("settings")
	checkTelemetry(s, &logLevels, &traces)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		settings, err := platform.LoadSettings(file)
		if err != nil {
			return err
		}
		limitMemory(settings.MemoryLimit)
		settings.DescriptorLimit, settings.Pace = descriptorLimit(), pace
		p := processFlags{instance: settings.Instance, admin: admin, logLevels: logLevels, traces: traces, logOutput: os.Stdout}
		instr, err := p.startInstrumentation(cmd.Context())
		if err != nil {
			return err
		}
		defer instr.stop()
		store := platform.NewStore(settings.Store, nil)
		defer store.Close()
		g, err := gateway.Start(settings.Settings, platform.Protocol{}, store, gateway.WithClock(shiftedClock{offset: offset}),
			gateway.WithLogger(instr.logs.Logger("gateway")), gateway.WithMetrics(instr.metrics), gateway.WithTracer(instr.traces.Provider()))
		if err != nil {
			return err
		}
		instr.serveAdmin(func() any { return g.Status() })
		reloadCtx, stopReload := context.WithCancel(cmd.Context())
		defer stopReload()
		go reloadSettings(reloadCtx, clock.RealClock{}, file, g, instr.logs.Logger("command"))
		return supervise(g, max(settings.ShutdownTimeout, p.stopTimeout))
	}
	return cmd
}

// shiftedClock is the system clock with an offset added to the time of day. Durations are not affected.
type shiftedClock struct {
	clock.RealClock
	offset time.Duration
}

// Now returns the time of day with the offset.
func (c shiftedClock) Now() time.Time { return c.RealClock.Now().Add(c.offset) }

// Since returns the time elapsed since t, where t is a time of this clock.
func (c shiftedClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
