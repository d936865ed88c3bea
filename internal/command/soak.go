package command

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/soak"
)

func newSoak() *cobra.Command {
	length, first, seeds := 20*time.Second, 1, 1
	gateways, engines, serviceBackends, callers := 3, 6, 3, 24
	folder := ""
	timed, memory := true, true
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run gateways as processes on this machine under random faults and check their guarantees",
		Args:  cobra.NoArgs,
	}
	s := newSettings(cmd)
	s.intVar(&first, "seed", "first seed")
	s.intVar(&seeds, "seeds", "number of seeds to run, one after another")
	s.durationVar(&length, "length", "how long faults are injected for one seed")
	s.intVar(&gateways, "gateways", "number of gateway processes")
	s.intVar(&engines, "engines", "number of stand-in engines")
	s.intVar(&serviceBackends, "desks", "number of stand-in backend servers of a plain service")
	s.intVar(&callers, "callers", "number of callers")
	s.stringVar(&folder, "folder", "a folder", "where the logs of failed seeds are kept; a temporary folder when empty")
	s.boolVar(&memory, "memory", "also check that no gateway exceeds its memory limit")
	s.boolVar(&timed, "timed", "also check guarantees that depend on how soon this machine runs the processes")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		program, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find own executable")
		}
		if folder == "" {
			if folder, err = os.MkdirTemp("", "berylward-soak-"); err != nil {
				return errors.Wrap(err, "create folder for logs")
			}
		}
		failed := 0
		for seed := first; seed < first+seeds; seed++ {
			logs := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
			if err := os.MkdirAll(logs, 0o755); err != nil {
				return errors.Wrap(err, "create folder for logs")
			}
			report, err := soak.Run(cmd.Context(), soak.Options{
				Program: program, Folder: logs, Seed: uint64(seed), Duration: length, Gateways: gateways, EngineBackends: engines,
				ServiceBackends: serviceBackends, Callers: callers, CheckTiming: timed, CheckMemory: memory,
			})
			if err != nil {
				return err
			}
			injected := 0
			for _, n := range report.Faults {
				injected += n
			}
			fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d faults, %d requests (%d answered, %d refused, %d failed), %d MiB at most, %d violations\n",
				seed, injected, report.Requests, report.Answered, report.Refused, report.Failed, report.PeakMemory>>20, len(report.Violations))
			for _, v := range report.Violations {
				fmt.Fprintf(cmd.OutOrStdout(), "  %s\n", v)
			}
			if len(report.Violations) > 0 {
				failed++
				fmt.Fprintf(cmd.OutOrStdout(), "  logs: %s\n", logs)
			} else if err := os.RemoveAll(logs); err != nil {
				return errors.Wrap(err, "remove logs of a passed seed")
			}
		}
		if failed > 0 {
			return errors.Errorf("%d of %d seeds failed", failed, seeds)
		}
		return nil
	}
	return cmd
}
