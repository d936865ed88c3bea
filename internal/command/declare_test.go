package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/standin"
)

const (
	exampleBase    = "../../examples/base.yaml"
	exampleOverlay = "../../examples/cuenca/site.yaml"
)

// editedOverlay writes the example overlay with replacements and returns the file name.
func editedOverlay(t *testing.T, pairs ...string) string {
	t.Helper()
	text, err := os.ReadFile(exampleOverlay)
	assert.NilError(t, err)
	changed := strings.NewReplacer(pairs...).Replace(string(text))
	assert.Assert(t, changed != string(text) || len(pairs) == 0)
	file := filepath.Join(t.TempDir(), "site.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(changed), 0o644))
	return file
}

// Guards against a check that stops at the first problem or reports it without its position.
func TestCheckPrintsAllProblems(t *testing.T) {
	for name, c := range map[string]struct {
		overlay string
		want    []string
		err     string
	}{
		"valid": {overlay: exampleOverlay, want: []string{"cuenca: valid; 3 zones, 2 models, 1 services, 10 workspaces"}},
		"two problems": {
			overlay: editedOverlay(t, "banos: {out: false}", "banos: {out: maybe}", "clock-skew: 5s", "clock-skew: 5"),
			want: []string{
				`site.yaml:11:16: zones.banos.out: found the text "maybe"; allowed: true or false`,
				`site.yaml:24:17: services.booking-desk.clock-skew: found the number 5; allowed: a duration with a unit, such as 500ms, 10s or 24h`,
			},
			err: "2 problem(s)",
		},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := run(t.Context(), t, "declare", "check", "--base", exampleBase, "--overlay", c.overlay)
			if c.err == "" {
				assert.NilError(t, err)
			} else {
				assert.Error(t, err, c.err)
			}
			lines := strings.Split(strings.TrimSpace(out), "\n")
			assert.Equal(t, len(lines), len(c.want), out)
			for i, want := range c.want {
				assert.Assert(t, strings.HasSuffix(lines[i], want), "got %s\nwant %s", lines[i], want)
			}
		})
	}
}

// Guards against publishing a generation that processes would ignore, and against a folder that mixes files of two
// generations.
func TestRenderAndPublish(t *testing.T) {
	platform, err := standin.StartPlatform()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, platform.Stop()) }()
	dir := t.TempDir()
	first, second := filepath.Join(dir, "1"), filepath.Join(dir, "2")
	render := func(overlay, out string, more ...string) error {
		_, err := run(t.Context(), t, append([]string{"declare", "render", "--base", exampleBase, "--overlay", overlay, "--out", out}, more...)...)
		return err
	}
	publish := func(folder, address string) error {
		_, err := run(t.Context(), t, "declare", "publish", "--platform", address, folder)
		return err
	}
	address := platform.Addr().String()
	out := editedOverlay(t, "banos: {out: false}", "banos: {out: true}")
	assert.NilError(t, render(exampleOverlay, first, "--generation", "1"))
	assert.NilError(t, publish(first, address))
	assert.NilError(t, publish(first, address), "the same generation may be published again")
	assert.ErrorContains(t, render(out, first, "--generation", "2"), "is not empty")
	assert.NilError(t, render(out, second, "--previous", first))
	assert.NilError(t, publish(second, address))
	assert.ErrorContains(t, publish(first, address), "the platform holds generation 2, and processes ignore generation 1; render with --generation 3")
	assert.ErrorContains(t, publish(first, "10.0.0.1:80"), "not a loopback address")

	text, err := run(t.Context(), t, "declare", "diff", "--base", exampleBase, first, out)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "zones.banos: is taken out: it drains, gets no new work, and running work finishes\n"), text)
	text, err = run(t.Context(), t, "declare", "diff", "--base", exampleBase, second, out)
	assert.NilError(t, err)
	assert.Equal(t, text, "nothing changes\n")
	text, err = run(t.Context(), t, "declare", "explain", "--base", exampleBase, "--overlay", exampleOverlay, "zones.banos")
	assert.NilError(t, err)
	assert.Equal(t, text, "zones.banos.out: false ("+exampleOverlay+":11)\n")

	assert.NilError(t, os.WriteFile(filepath.Join(second, "manifest"), []byte("x"), 0o644))
	assert.ErrorContains(t, publish(second, address), "read: folder")
}
