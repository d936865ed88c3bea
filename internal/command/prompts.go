package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/report"
)

func newPrompts() *cobra.Command {
	return &cobra.Command{
		Use:   "prompts LOG...",
		Short: "Report how many prompts of different lengths were answered, from the logs of gateways",
		Long: "Report by route how many prompts were answered: of all, and by length in bands of doubled length. A request\n" +
			"that its caller repeated counts once, if the logs of all gateways are given.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			l := report.NewLengths()
			for _, name := range files {
				if err := readLog(l, name); err != nil {
					return err
				}
			}
			for _, r := range l.Routes() {
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", r.Route, report.Text(r.Shares)); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func readLog(l *report.Lengths, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return l.ReadLog(file)
}
