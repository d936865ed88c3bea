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
	gateways, engines, desks, callers := 3, 6, 3, 24
	folder := ""
	timed := true
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run gateways as processes on this machine under random faults and check their promises",
		Args:  cobra.NoArgs,
	}
	s := newSettings(cmd)
	s.integer(&first, "seed", "first seed")
	s.integer(&seeds, "seeds", "how many seeds to run, one after the other")
	s.duration(&length, "length", "how long the faults of one seed last")
	s.integer(&gateways, "gateways", "number of gateway processes")
	s.integer(&engines, "engines", "number of stand-ins of engines")
	s.integer(&desks, "desks", "number of stand-ins of a plain service's backend servers")
	s.integer(&callers, "callers", "number of callers")
	s.word(&folder, "folder", "a folder", "where the logs of seeds that failed are kept; a temporary one when empty")
	s.boolean(&timed, "timed", "check what depends on how soon this machine runs the processes")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		program, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find this program")
		}
		if folder == "" {
			if folder, err = os.MkdirTemp("", "berylward-soak-"); err != nil {
				return errors.Wrap(err, "make a folder")
			}
		}
		failed := 0
		for seed := first; seed < first+seeds; seed++ {
			logs := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
			if err := os.MkdirAll(logs, 0o755); err != nil {
				return errors.Wrap(err, "make a folder")
			}
			report, err := soak.Run(cmd.Context(), soak.Options{
				Program: program, Folder: logs, Seed: uint64(seed), Length: length, Gateways: gateways, Engines: engines,
				Desks: desks, Callers: callers, Timed: timed,
			})
			if err != nil {
				return err
			}
			injected := 0
			for _, n := range report.Faults {
				injected += n
			}
			fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d faults, %d requests (%d answered, %d refused, %d failed), %d violations\n",
				seed, injected, report.Requests, report.Answered, report.Refused, report.Failed, len(report.Violations))
			for _, v := range report.Violations {
				fmt.Fprintf(cmd.OutOrStdout(), "  %s\n", v)
			}
			if len(report.Violations) > 0 {
				failed++
				fmt.Fprintf(cmd.OutOrStdout(), "  logs: %s\n", logs)
			} else if err := os.RemoveAll(logs); err != nil {
				return errors.Wrap(err, "remove the logs of a seed that passed")
			}
		}
		if failed > 0 {
			return errors.Errorf("%d of %d seeds failed", failed, seeds)
		}
		return nil
	}
	return cmd
}
