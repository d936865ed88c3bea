package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/load"
	"berylward.example/berylward/pkg/site"
)

// loadFlags are the settings of the load command. Lists and decimal numbers are parsed when the command runs.
type loadFlags struct {
	measure, mix, seeds, loads, policies           string
	base, overlay, key, model, output              string
	rate, speed, scale                             string
	generate, fleetEntries, engines, zones, rounds int
	documents                                      int
	entries                                        addresses
	length, timeout                                time.Duration
}

func newLoad() *cobra.Command {
	l := loadFlags{
		measure: "policies", mix: "1k:0.70,10k:0.25,100k:0.045,250k:0.005", seeds: "1,2,3", loads: "0.85",
		rate: "1", speed: "4", scale: "0.25", generate: 32, length: 30 * time.Second, timeout: time.Minute,
		fleetEntries: 2, engines: 4, zones: 2, rounds: 5, documents: 12,
	}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Measure the policies with an open-loop load on loopback",
		Long: "Measure the policies with an open-loop load on loopback. Arrivals are generated from a seed; latency is measured\n" +
			"from the scheduled arrival of a request. Without --entries the command starts a fleet with stand-in engines for each\n" +
			"policy, one after another, and sends the same arrivals to each.",
		Args: cobra.NoArgs,
	}
	l.register(newSettings(cmd))
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var errs errorCollector
		o, target, policies := l.options(&errs, cmd.ErrOrStderr()), l.externalTarget(&errs), selectPolicies(&errs, l.policies)
		if errs.first != nil {
			return errs.first
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		report, err := runLoad(ctx, l.measure, policies, l.rounds, target, o)
		if err != nil {
			return err
		}
		return writeReport(cmd, report, l.output)
	}
	return cmd
}

func (l *loadFlags) register(s *settings) {
	s.enumVar(&l.measure, []string{"policies", "cache", "zone", "failures", "overhead"}, "measure", "what to measure on fleets that the command starts")
	s.stringVar(&l.mix, "mix", "LENGTH:SHARE pairs", "prompt lengths in tokens and their shares")
	s.stringVar(&l.seeds, "seeds", "numbers separated by commas", "random seeds of the arrivals; results are reported with the spread over the seeds")
	s.stringVar(&l.loads, "loads", "shares separated by commas", "loads as shares of the engines' processing time")
	s.stringVar(&l.policies, "policies", "names separated by commas", "policies to compare; all when empty")
	s.durationVar(&l.length, "length", "how long requests arrive in each run")
	s.stringVar(&l.speed, "speed", "a number", "speed-up factor of the stand-in engines")
	s.stringVar(&l.scale, "scale", "a number up to 1", "scale factor of prompt lengths and memory; it does not change the times of the stand-in engines")
	s.intVar(&l.generate, "generate", "number of generated tokens of each answer")
	s.intVar(&l.fleetEntries, "fleet-entries", "number of entries of a fleet")
	s.intVar(&l.engines, "engines", "number of engines in each zone")
	s.intVar(&l.zones, "zones", "number of zones with engines")
	s.intVar(&l.rounds, "rounds", "number of rounds of each failure, or of pairs of calls for the overhead")
	s.intVar(&l.documents, "documents", "number of shared documents in the cache measurement")
	s.stringVar(&l.base, "base", "a file", "base file of the declarations; the example when empty")
	s.stringVar(&l.overlay, "overlay", "a file", "overlay of the declarations; the Cuenca example when empty")
	s.textVar(&l.entries, "entries", "addresses separated by commas", "running entries on loopback that get the load; no fleets are started")
	s.stringVar(&l.key, "key", "a workspace key", "key for --entries")
	s.stringVar(&l.model, "model", "a name", "model for --entries")
	s.stringVar(&l.rate, "rate", "a number", "requests per second for --entries")
	s.durationVar(&l.timeout, "request-timeout", "deadline of each request to --entries")
	s.stringVar(&l.output, "json", "a file, or - for standard output", "where the results are written as JSON")
}

// options returns the options of a measurement. A line for each run is written to progress.
func (l *loadFlags) options(errs *errorCollector, progress io.Writer) load.Options {
	return load.Options{
		Mix: parseSetting(errs, l.mix, load.ParseMix), Seeds: parseList(errs, l.seeds, parseSeed), Loads: parseList(errs, l.loads, parseFloat),
		Duration: l.length, Documents: l.documents,
		Progress: func(line string) { _, _ = fmt.Fprintln(progress, line) },
		Fleet: load.FleetSettings{
			Declarations: func() (*site.Declarations, error) { return loadDeclarations(l.base, l.overlay) },
			Entries:      l.fleetEntries, Engines: l.engines, Zones: l.zones, OutputTokens: int64(l.generate),
			Speed: parseSetting(errs, l.speed, parseFloat), Scale: parseSetting(errs, l.scale, parseFloat),
		},
	}
}

// externalTarget returns the running entries set with --entries and the load to send to them.
func (l *loadFlags) externalTarget(errs *errorCollector) load.ExternalTarget {
	return load.ExternalTarget{
		Entries: []netip.AddrPort(l.entries), Key: l.key, Model: l.model, Rate: parseSetting(errs, l.rate, parseFloat), Timeout: l.timeout,
	}
}

func runLoad(ctx context.Context, measure string, policies []load.Policy, rounds int, target load.ExternalTarget, o load.Options) (load.Report, error) {
	if len(target.Entries) > 0 {
		return load.RunExternal(ctx, target, o)
	}
	measurements := map[string]load.Measurement{
		"policies": load.Policies{Compared: policies}, "cache": load.Cache{Compared: policies},
		"zone": load.ZoneChange{}, "failures": load.Failures{Rounds: rounds}, "overhead": load.Overhead{Pairs: rounds},
	}
	return load.Run(ctx, measurements[measure], o)
}

func writeReport(cmd *cobra.Command, report load.Report, output string) error {
	if output == "-" {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
	}
	report.Write(cmd.OutOrStdout())
	if output == "" {
		return nil
	}
	return os.WriteFile(output, encodeJSON(report), 0o644)
}

// errorCollector keeps the first error from parsing several settings.
type errorCollector struct{ first error }

func parseSetting[T any](errs *errorCollector, text string, parse func(string) (T, error)) T {
	v, err := parse(strings.TrimSpace(text))
	if errs.first == nil {
		errs.first = err
	}
	return v
}

func parseList[T any](errs *errorCollector, text string, parse func(string) (T, error)) []T {
	var all []T
	for _, field := range strings.Split(text, ",") {
		all = append(all, parseSetting(errs, field, parse))
	}
	return all
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
func parseSeed(text string) (uint64, error)   { return strconv.ParseUint(text, 10, 32) }

// selectPolicies returns the policies in a comma-separated list of names, or all policies if it is empty.
func selectPolicies(errs *errorCollector, names string) []load.Policy {
	all := append([]load.Policy{load.DefaultPolicy}, load.Baselines...)
	if names == "" {
		return all
	}
	var chosen []load.Policy
	for _, name := range strings.Split(names, ",") {
		i := slices.IndexFunc(all, func(p load.Policy) bool { return p.Name == name })
		if i < 0 {
			errs.first = fmt.Errorf("unknown policy %q", name)
			return nil
		}
		chosen = append(chosen, all[i])
	}
	return chosen
}
