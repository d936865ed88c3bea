package command

import (
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildInfo describes this build. A field is empty if the build did not record it.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Time     string `json:"time,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func newBuildInfo(info *debug.BuildInfo) buildInfo {
	b := buildInfo{Version: info.Main.Version, Go: info.GoVersion, Platform: runtime.GOOS + "/" + runtime.GOARCH}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.time":
			b.Time = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
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
		b := newBuildInfo(info)
		if output == "json" {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(b)
		}
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "berylward %s, %s, %s\n", b.Version, b.Go, b.Platform)
		if err == nil && b.Revision != "" {
			modified := ""
			if b.Modified {
				modified = ", with uncommitted changes"
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %s of %s%s\n", b.Revision, b.Time, modified)
		}
		return err
	}
	return cmd
}
