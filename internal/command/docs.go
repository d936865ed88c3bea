package command

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"berylward.example/berylward/pkg/site"
)

// newDocs returns the command that generates reference pages. It is hidden because only developers need it.
func newDocs() *cobra.Command {
	return &cobra.Command{
		Use:    "docs FOLDER",
		Short:  "Write the generated pages: cli/ and schema.json",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			root := cmd.Root()
			root.DisableAutoGenTag = true
			root.InitDefaultCompletionCmd()
			pages := filepath.Join(args[0], "cli")
			if err := os.MkdirAll(pages, 0o755); err != nil {
				return err
			}
			if err := doc.GenMarkdownTree(root, pages); err != nil {
				return err
			}
			schema, err := site.Schema()
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(args[0], "schema.json"), schema, 0o644)
		},
	}
}
