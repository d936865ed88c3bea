package command

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/platform"
)

// The tables of the tests: one without findings, and the same with a later version, with an error and with a warning.
const (
	soundTable = `{"version": 4, "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "safe", "service": "s"}], "services": [{"name": "s"}]}`
	newerTable = `{"version": 5, "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "safe", "service": "s"}], "services": [{"name": "s"}]}`
	wrongTable = `{"version": 5, "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "odd", "service": "s"}], "services": [{"name": "s"}]}`
	oddTable   = `{"version": 5, "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "safe", "service": "s"}], "services": [{"name": "s"}, {"name": "t"}]}`
)

// Guards against exit statuses and output that scripts cannot rely on, against a file that hides the findings of the next one,
// and against an unreadable file that looks like a sound one.
func TestTableCheck(t *testing.T) {
	t.Chdir(t.TempDir())
	for name, text := range map[string]string{
		"sound": soundTable, "newer": newerTable, "wrong": wrongTable, "odd": oddTable, "empty": "", "large": strings.Repeat(" ", platform.MaxTableBytes+1),
	} {
		assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	}
	const (
		wrongLine   = "wrong:1:77: error: routes[0].kind: found the text \"odd\"; allowed: one of safe, stream, unsafe [invalid]\n"
		oddLine     = "odd:1:140: warning: services[1].name: found service \"t\", which no route uses; allowed: a service of a route [never-used]\n"
		versionLine = "newer:1:13: difference: version: the version changes from 4 to 5 [changed]\n"
	)
	for name, c := range map[string]struct {
		args   []string
		stdin  string
		status int
		output string
	}{
		"sound":                {args: []string{"sound"}},
		"errors":               {args: []string{"wrong"}, status: 1, output: wrongLine},
		"warnings":             {args: []string{"odd"}, status: 2, output: oddLine},
		"differences":          {args: []string{"newer", "--against", "sound"}, output: versionLine},
		"removed":              {args: []string{"newer", "--against", "odd"}, status: 1, output: "newer:1:13: error: version: found version 5; allowed: a version above 5, which is in force [not-newer]\nodd:1:131: difference: services[1]: service \"t\" is removed [removed]\n"},
		"same version":         {args: []string{"sound", "--against", "sound"}, status: 1, output: "sound:1:13: error: version: found version 4; allowed: a version above 4, which is in force [not-newer]\n"},
		"errors and warnings":  {args: []string{"odd", "wrong", "sound"}, status: 1, output: oddLine + wrongLine},
		"missing file":         {args: []string{"odd", "missing"}, status: 3, output: oddLine},
		"missing before wrong": {args: []string{"missing", "wrong"}, status: 3, output: wrongLine},
		"folder":               {args: []string{"."}, status: 3},
		"missing in force":     {args: []string{"sound", "--against", "missing"}, status: 3},
		"in force is empty":    {args: []string{"sound", "--against", "empty"}, status: 1, output: "empty:1:1: error: $: found an empty file; allowed: one JSON object in UTF-8 [unreadable]\n"},
		"empty file":           {args: []string{"empty"}, status: 1, output: "empty:1:1: error: $: found an empty file; allowed: one JSON object in UTF-8 [unreadable]\n"},
		"large file":           {args: []string{"large"}, status: 1, output: "large:1:1: error: $: found a larger file; allowed: at most 1048576 bytes, the largest value of the store [unreadable]\n"},
		"standard input":       {args: []string{"-"}, stdin: wrongTable, status: 1, output: strings.Replace(wrongLine, "wrong", "<stdin>", 1)},
		"in force from input":  {args: []string{"newer", "--against", "-"}, stdin: soundTable, output: versionLine},
		"input twice":          {args: []string{"-", "--against", "-"}, stdin: soundTable, status: 3},
		"no file":              {status: 3},
		"unknown flag":         {args: []string{"sound", "--strict"}, status: 3},
		"unknown output":       {args: []string{"sound", "--output", "xml"}, status: 3},
	} {
		t.Run(name, func(t *testing.T) {
			var out, diagnostics bytes.Buffer
			root := New()
			root.SetArgs(append([]string{"table", "check"}, c.args...))
			root.SetIn(strings.NewReader(c.stdin))
			root.SetOut(&out)
			root.SetErr(&diagnostics)
			assert.Equal(t, ExitStatus(root.ExecuteContext(t.Context())), c.status, diagnostics.String())
			assert.Equal(t, out.String(), c.output)
			assert.Assert(t, diagnostics.Len() > 0)
		})
	}
}

// Guards against JSON output that differs from the text, or that is no JSON when a file cannot be read.
func TestTableCheckJSON(t *testing.T) {
	dir := t.TempDir()
	odd, missing := filepath.Join(dir, "odd"), filepath.Join(dir, "missing")
	assert.NilError(t, os.WriteFile(odd, []byte(oddTable), 0o600))
	text, err := run(t.Context(), t, "table", "check", "--output", "json", odd, missing)
	assert.Equal(t, ExitStatus(err), 3)
	var got struct {
		Files []struct {
			File, Unreadable string
			Warnings         int
			Findings         []struct {
				File, Path, Severity, Kind, Found, Allowed string
				Line, Column                               int
			}
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(text), &got))
	assert.Equal(t, len(got.Files), 2)
	assert.Equal(t, got.Files[0].Warnings, 1)
	f := got.Files[0].Findings[0]
	assert.DeepEqual(t, []string{f.File, f.Path, f.Severity, f.Kind, f.Found}, []string{odd, "services[1].name", "warning", "never-used", `service "t", which no route uses`})
	assert.Assert(t, f.Line == 1 && f.Column == 140)
	assert.Assert(t, strings.Contains(got.Files[1].Unreadable, "no such file"), text)
	assert.Equal(t, len(got.Files[1].Findings), 0)
}
