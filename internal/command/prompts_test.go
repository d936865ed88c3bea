package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/command"
)

// Guards against a report of a part of the logs that looks like one of all.
func TestPrompts(t *testing.T) {
	log := filepath.Join(t.TempDir(), "front-1.log")
	line := `{"msg":"request ended","route":"review","fingerprint":"a","outcome":"answered","prompt":400000}` + "\n"
	assert.NilError(t, os.WriteFile(log, []byte(line), 0o600))
	cases := map[string]struct {
		files  []string
		output string
		fails  bool
	}{
		"one log":       {[]string{log}, "review: answered 1 of 1, 512k: 1 of 1\n", false},
		"missing log":   {[]string{log, log + ".missing"}, "", true},
		"no log at all": {nil, "", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out, diagnostics strings.Builder
			root := command.New()
			root.SetArgs(append([]string{"prompts"}, tc.files...))
			root.SetOut(&out)
			root.SetErr(&diagnostics)
			assert.Equal(t, root.Execute() != nil, tc.fails)
			if !tc.fails {
				assert.Equal(t, out.String(), tc.output)
			}
		})
	}
}
