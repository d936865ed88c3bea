package command

import (
	"context"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/internal/uptime"
	"berylward.example/berylward/platform"
)

// memoryShare is the part of an instance's memory that the garbage collector is told to stay within.
const memoryShare = 0.7

func newGateway() *cobra.Command {
	var file, logLevels, traces string
	var admin netip.AddrPort
	var offset time.Duration
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway: the process that serves callers on the users' platform, without sidecars",
		Args:  cobra.NoArgs,
	}
	s := newSettings(cmd)
	s.word(&file, "settings", "a file", "settings that the platform writes for this process, TOML")
	s.text(&admin, "admin-listen", takesAddress, "address for metrics and status; none when empty")
	s.word(&logLevels, "log-levels", "slice=verbosity pairs, such as gateway=1,default=0", "verbosity of the logs by slice")
	s.word(&traces, "traces", "stdout, file:PATH or an OTLP/HTTP URL", "where spans are exported to; nowhere when empty")
	s.duration(&offset, "clock-offset", "shift of the time of day that the process sees, to rehearse clocks that are wrong")
	s.require("settings")
	checkTelemetry(s, &logLevels, &traces)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		settings, err := platform.LoadSettings(file)
		if err != nil {
			return err
		}
		if settings.MemoryLimit > 0 {
			debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
		}
		lines := telemetry.NewQueue(os.Stdout, clock.RealClock{})
		defer lines.Close()
		p := process{instance: settings.Instance, admin: admin, logLevels: logLevels, traces: traces, logTo: lines}
		run, err := p.start(cmd.Context())
		if err != nil {
			return err
		}
		defer run.stop()
		store := platform.NewStore(settings.Store, uptime.Clock{}, nil)
		defer store.Close()
		g, err := gateway.Start(settings.Settings, platform.Protocol{}, store, gateway.WithClock(shiftedClock{by: offset}),
			gateway.WithLogger(run.logs.Logger("gateway")), gateway.WithMetrics(run.metrics), gateway.WithTracer(run.tracer))
		if err != nil {
			return err
		}
		run.serveAdmin(func() any { return g.Status() })
		reload, stopReload := context.WithCancel(cmd.Context())
		defer stopReload()
		go reloadSettings(reload, clock.RealClock{}, file, g, run.logs.Logger("command"))
		return supervise(g, max(settings.StopWithin, p.stopTimeout))
	}
	return cmd
}

// shiftedClock is the system's clock with its time of day shifted. Spans of time are not affected.
type shiftedClock struct {
	clock.RealClock
	by time.Duration
}

// Now returns the shifted time.
func (c shiftedClock) Now() time.Time { return c.RealClock.Now().Add(c.by) }

// Since returns the time that has passed since t, which is a time of this clock.
func (c shiftedClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
