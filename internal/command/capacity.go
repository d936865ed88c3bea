package command

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/capacity"
)

func newCapacity() *cobra.Command {
	span := 10 * time.Second
	var only string
	output := "table"
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the control-plane cost of a process and its slope over size",
		Args:  cobra.NoArgs,
	}
	s := newSettings(cmd)
	s.durationVar(&span, "span", "how long idle links are observed")
	s.stringVar(&only, "only", "names separated by commas", "measurements to run: links, workspaces, instances, spread, keys, tokens; all when empty")
	s.enumVar(&output, []string{"table", "json"}, "output", "output format")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		names := strings.FieldsFunc(only, func(r rune) bool { return r == ',' })
		all, err := capacity.Run(cmd.Context(), span, names, cmd.ErrOrStderr())
		if err != nil {
			return err
		}
		if output == "json" {
			_, err = cmd.OutOrStdout().Write(encodeJSON(all))
			return err
		}
		capacity.Table(cmd.OutOrStdout(), all)
		return nil
	}
	return cmd
}
