package command

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against generated pages that are out of date with the command tree or the declarations.
// To regenerate them: rm -r docs/cli && go run ./cmd/berylward docs docs
func TestGeneratedPagesAreCurrent(t *testing.T) {
	fresh := t.TempDir()
	_, err := run(t.Context(), t, "docs", fresh)
	assert.NilError(t, err)
	for name, pattern := range map[string]string{"commands": "cli/*.md", "schema": "schema.json"} {
		t.Run(name, func(t *testing.T) {
			want, err := filepath.Glob(filepath.Join(fresh, pattern))
			assert.NilError(t, err)
			got, err := filepath.Glob(filepath.Join("../../docs", pattern))
			assert.NilError(t, err)
			assert.Equal(t, len(got), len(want))
			for i := range want {
				w, err := os.ReadFile(want[i])
				assert.NilError(t, err)
				g, err := os.ReadFile(got[i])
				assert.NilError(t, err)
				assert.Equal(t, string(g), string(w), got[i])
			}
		})
	}
}

// sourceMatches returns the matches of the pattern's first group in all Go files except tests, with one file for each.
func sourceMatches(t *testing.T, pattern string) map[string]string {
	t.Helper()
	found := map[string]string{}
	expression := regexp.MustCompile(pattern)
	for _, root := range []string{"../../internal", "../../pkg"} {
		assert.NilError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, match := range expression.FindAllStringSubmatch(string(text), -1) {
				found[match[1]] = path
			}
			return err
		}))
	}
	return found
}

// Guards against metrics, reasons, log messages, declaration fields and settings that are visible to operators or
// callers but missing from the documentation.
func TestPagesListNamesInSource(t *testing.T) {
	for name, c := range map[string]struct{ pattern, page string }{
		"metrics":      {`metrics\.(?:Add|AddFloat|Set|count)\("([^"]+)"`, "metrics.md"},
		"log messages": {`\blog(?:\.V\(\d\))?\.(?:Info|Error)\((?:(?:\w+\.Err|err|nil), )?"([^"]+)"`, "logs.md"},
		"reasons":      {`Reason[A-Z]\w* +Reason = "([a-z-]+)"`, "api.md"},
		"fields":       {`yaml:"([a-z0-9-]{2,})"`, "configuration.md"},
		"settings":     {`\bs\.\w+\(&[\w.]+, (?:\[\]string\{[^}]*\}, )?"([a-z-]+)"`, "configuration.md"},
	} {
		t.Run(name, func(t *testing.T) {
			page, err := os.ReadFile(filepath.Join("../../docs", c.page))
			assert.NilError(t, err)
			found := sourceMatches(t, c.pattern)
			assert.Assert(t, len(found) > 5, "the pattern has too few matches: %v", found)
			for word, path := range found {
				if !regexp.MustCompile("`[^`\n]*\\b" + regexp.QuoteMeta(word)).Match(page) {
					t.Errorf("docs/%s does not name `%s` of %s", c.page, word, path)
				}
			}
		})
	}
}
