package command

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/internal/standin"
)

// standInServer is a running stand-in.
type standInServer interface {
	// Addr returns the listen address.
	Addr() netip.AddrPort
	// Stop stops the stand-in and closes its connections abruptly.
	Stop() error
}

func newStandIn() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "stand-in",
		Short: "Run a stand-in for an external system on loopback, for trials and tests",
		Long: "Run a small stand-in for an external system on loopback. Faults are injected with POST /stand-in/faults,\n" +
			"for example {\"kind\": \"crash\", \"for\": \"2s\"}.",
	}
	cmd.AddCommand(newStandInEngine(), newStandInService(), newStandInPlatform())
	return cmd
}

func newStandInEngine() *cobra.Command {
	var listen netip.AddrPort
	model, version := "office-8b", "2026-05"
	capacity := 400_000
	cold, ignoreFences := false, false
	var loadLag time.Duration
	cmd := &cobra.Command{Use: "engine", Short: "Run a stand-in model engine", Args: cobra.NoArgs}
	s := newSettings(cmd)
	s.textVar(&listen, "listen", addressFormat, "listen address on loopback; a free port when empty")
	s.stringVar(&model, "model", "a name", "model that is loaded at the start")
	s.stringVar(&version, "version", "a version", "version of the model")
	s.intVar(&capacity, "capacity", "KV cache memory in tokens")
	s.boolVar(&cold, "cold", "start as a cold engine, before its warm-up")
	s.boolVar(&ignoreFences, "ignore-fences", "accept orders with outdated fencing numbers")
	s.durationVar(&loadLag, "load-lag", "age of load reports")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		opts := []standin.Option{
			standin.WithModels(engine.LoadedModel{Model: model, Version: version}), standin.WithCapacity(int64(capacity)),
		}
		if listen.IsValid() {
			opts = append(opts, standin.WithAddress(listen))
		}
		if cold {
			opts = append(opts, standin.WithColdStart())
		}
		if ignoreFences {
			opts = append(opts, standin.WithIgnoredFences())
		}
		if loadLag > 0 {
			opts = append(opts, standin.WithLoadLag(loadLag))
		}
		e, err := standin.StartEngine(opts...)
		return runStandIn(cmd, e, err)
	}
	return cmd
}

func newStandInService() *cobra.Command {
	var listen netip.AddrPort
	cmd := &cobra.Command{Use: "service", Short: "Run a stand-in plain service that takes bookings", Args: cobra.NoArgs}
	s := newSettings(cmd)
	s.textVar(&listen, "listen", addressFormat, "listen address on loopback; a free port when empty")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var opts []standin.Option
		if listen.IsValid() {
			opts = append(opts, standin.WithAddress(listen))
		}
		service, err := standin.StartService(opts...)
		return runStandIn(cmd, service, err)
	}
	return cmd
}

func newStandInPlatform() *cobra.Command {
	var listen netip.AddrPort
	var instancesFile string
	rate := 2000
	cmd := &cobra.Command{Use: "platform", Short: "Run a stand-in configuration service and instance list", Args: cobra.NoArgs}
	s := newSettings(cmd)
	s.textVar(&listen, "listen", addressFormat, "listen address on loopback; a free port when empty")
	s.stringVar(&instancesFile, "instances", "a JSON file", "instance list at the start")
	s.intVar(&rate, "rate", "maximum number of calls answered per second")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		opts := []standin.Option{standin.WithRate(rate)}
		if listen.IsValid() {
			opts = append(opts, standin.WithAddress(listen))
		}
		if instancesFile != "" {
			instances, err := readInstances(instancesFile)
			if err != nil {
				return err
			}
			opts = append(opts, standin.WithInstances(2*time.Second, instances...))
		}
		platform, err := standin.StartPlatform(opts...)
		return runStandIn(cmd, platform, err)
	}
	return cmd
}

func readInstances(file string) ([]platformclient.Instance, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var instances []platformclient.Instance
	if err := json.Unmarshal(text, &instances); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return instances, nil
}

// runStandIn prints the address of a stand-in, waits for a signal and stops the stand-in.
func runStandIn(cmd *cobra.Command, s standInServer, err error) error {
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	line, err := json.Marshal(struct {
		Address netip.AddrPort `json:"address"`
	}{s.Addr()})
	if err == nil {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), string(line))
		<-signals
	}
	return s.Stop()
}
