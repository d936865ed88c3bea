package site

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a parser that exhausts its stack, and against a long flat file that is refused as too deep.
func TestNestingLimit(t *testing.T) {
	indented := func(depth int) string {
		var b strings.Builder
		for i := range depth {
			b.WriteString(strings.Repeat(" ", i) + "a:\n")
		}
		return b.String()
	}
	for name, tt := range map[string]struct {
		text    string
		tooDeep bool
	}{
		"blank lines between entries": {text: "w:\n" + strings.Repeat("  a:\n    k: [v]\n\n", 1000)},
		"comments between entries":    {text: "w:\n" + strings.Repeat("  # c\n  a:\n    k: v\n", 1000)},
		"indented at the limit":       {text: indented(maxFileDepth)},
		"indented over the limit":     {text: indented(maxFileDepth + 1), tooDeep: true},
		"indented with blank lines":   {text: strings.ReplaceAll(indented(maxFileDepth+1), "\n", "\n\n"), tooDeep: true},
		"brackets over the limit":     {text: "a: " + strings.Repeat("[", maxFileDepth+1), tooDeep: true},
		"dashes over the limit":       {text: strings.Repeat("- ", maxFileDepth+1) + "a", tooDeep: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := treeReader{file: "f"}
			r.read([]byte(tt.text))
			deep := false
			for _, p := range r.problems {
				deep = deep || p.Found == "deeper nesting"
			}
			assert.Equal(t, deep, tt.tooDeep, "%v", r.problems[:min(3, len(r.problems))])
		})
	}
}
