package command

import (
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildFacts describes this build. A field is empty if the build did not record it.
type buildFacts struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Time     string `json:"time,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func newBuildFacts(info *debug.BuildInfo) buildFacts {
	f := buildFacts{Version: info.Main.Version, Go: info.GoVersion, Platform: runtime.GOOS + "/" + runtime.GOARCH}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			f.Revision = s.Value
		case "vcs.time":
			f.Time = s.Value
		case "vcs.modified":
			f.Modified = s.Value == "true"
		}
	}
	return f
}

func newVersion() *cobra.Command {
	output := "text"
	cmd := &cobra.Command{Use: "version", Short: "Print the version and how this program was built", Args: cobra.NoArgs}
	s := newSettings(cmd)
	s.enumVar(&output, []string{"text", "json"}, "output", "output format")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		info, ok := debug.ReadBuildInfo()
		if !ok {
			info = &debug.BuildInfo{GoVersion: runtime.Version()}
		}
		f := newBuildFacts(info)
		if output == "json" {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(f)
		}
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "berylward %s, %s, %s\n", f.Version, f.Go, f.Platform)
		if err == nil && f.Revision != "" {
			modified := ""
			if f.Modified {
				modified = ", with uncommitted changes"
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %s of %s%s\n", f.Revision, f.Time, modified)
		}
		return err
	}
	return cmd
}
