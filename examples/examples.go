// Package examples embeds the example declarations of two sites, for the demo, measurements and tests.
package examples

import (
	"embed"
	"os"

	"berylward.example/berylward/pkg/site"
)

//go:embed base.yaml cuenca/site.yaml szczelnik/site.yaml
var files embed.FS

// Source reads a declaration file. If file is empty, it returns the embedded file named by example.
func Source(file, example string) (site.Source, error) {
	if file == "" {
		data, err := files.ReadFile(example)
		return site.Source{Name: "examples/" + example, Data: data}, err
	}
	data, err := os.ReadFile(file)
	return site.Source{Name: file, Data: data}, err
}
