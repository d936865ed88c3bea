// Package command builds the command tree of the berylward program. Each subcommand fills an options value from
// flags and environment variables and passes it to the package that does the work; a subcommand has no logic of its
// own. All state belongs to one run of a subcommand, which stops whatever it started. Progress lines and status --watch
// read the wall clock, because they are shown to a person.
package command

import (
	"encoding/json"

	"github.com/spf13/cobra"
)

// New returns the root command with every subcommand.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "berylward",
		Short:         "Serving layer for language model prompts of widely varying length",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.AddCommand(
		newEntry(), newSidecar(), newGateway(), newDemo(), newStandIn(),
		newDeclare(), newStatus(), newPrompts(), newSoak(), newLoad(), newCapacity(), newTableCommand(), newVersion(), newDocs(),
	)
	return root
}

func encodeJSON(v any) []byte {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return []byte(`{"error":"the status could not be encoded"}`)
	}
	return append(text, '\n')
}
