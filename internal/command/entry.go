package command

import (
	"time"

	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/fleet"
)

var placementPolicies = map[string]fleet.Policy{
	"affinity":       fleet.Affinity{},
	"random":         fleet.Random{},
	"round-robin":    fleet.RoundRobin{},
	"least-requests": fleet.LeastRequests{},
	"single-queue":   fleet.SingleQueue{},
}

func newEntry() *cobra.Command {
	var p processFlags
	var seeds addresses
	policy := "affinity"
	stopDelay := 2 * time.Second
	memoryMiB := 0
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry: the process that accepts requests from callers",
		Args:  cobra.NoArgs,
	}
	s := newSettings(cmd)
	p.register(s)
	s.textVar(&p.listen, "listen", addressFormat, "listen address for callers")
	s.textVar(&seeds, "seeds", "addresses separated by commas", "sidecars from which the declarations are fetched while the platform does not answer")
	s.enumVar(&policy, []string{"affinity", "random", "round-robin", "least-requests", "single-queue"}, "policy", "policy that selects a worker; all except affinity are baselines for measurements")
	s.durationVar(&stopDelay, "stop-delay", "time between reporting not ready and closing the listener during shutdown")
	s.intVar(&memoryMiB, "memory-limit", "memory in MiB that the process may use; requests for whose bodies there is no memory are refused; no limit when zero")
	s.require("listen")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		memoryLimit := int64(memoryMiB) << 20
		limitMemory(memoryLimit)
		config, err := p.peerTLS()
		if err != nil {
			return err
		}
		instr, err := p.startInstrumentation(cmd.Context())
		if err != nil {
			return err
		}
		defer instr.stop()
		listener, err := listen(p.listen, nil)
		if err != nil {
			return err
		}
		e, err := entry.Start(
			entry.Options{Instance: p.instance, Zone: p.zone, Region: p.region, Listener: listener, Platform: p.platform},
			entry.WithLogger(instr.logs.Logger("entry")), entry.WithMetrics(instr.metrics.Slice("entry")),
			entry.WithTracer(instr.traces.Provider()), entry.WithLinkOptions(p.linkOptions(config)...),
			entry.WithSeeds(seeds), entry.WithPolicy(placementPolicies[policy]), entry.WithStopDelay(stopDelay),
			entry.WithMemoryLimit(memoryLimit), entry.WithDescriptorLimit(descriptorLimit()),
		)
		if err != nil {
			return err
		}
		instr.serveAdmin(func() any { return e.Status() })
		return supervise(e, p.stopTimeout)
	}
	return cmd
}
