package command

import (
	"bytes"
	"context"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// run executes a command line in this process and returns its standard output.
func run(ctx context.Context, t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out, stderr bytes.Buffer
	root := New()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&stderr)
	err := root.ExecuteContext(ctx)
	return out.String(), err
}

// Guards against reports that omit some of the invalid settings, or the name or the accepted values of one.
func TestAllInvalidSettingsReported(t *testing.T) {
	process := []string{"--instance", "i", "--zone", "z", "--platform", "127.0.0.1:1", "--listen", "127.0.0.1:0"}
	for name, c := range map[string]struct {
		args []string
		env  map[string]string
		want map[string]string
	}{
		"no settings": {
			args: []string{"sidecar"},
			want: map[string]string{
				"instance": "a name (required)", "zone": "a name (required)", "platform": addressFormat + " (required)",
				"listen": addressFormat + " (required)", "backend": addressFormat + " (required)",
			},
		},
		"several invalid settings": {
			args: append([]string{"entry", "--policy", "best", "--stop-delay", "soon", "--stop-timeout=-1s", "--allow-plaintext=maybe",
				"--log-levels", "link", "--traces", "ftp://x", "--seeds", "localhost"}, process...),
			want: map[string]string{
				"policy":     "one of affinity, random, round-robin, least-requests, single-queue",
				"stop-delay": "a duration such as 500ms or 2m", "stop-timeout": "a duration such as 500ms or 2m",
				"allow-plaintext": "a boolean", "log-levels": "slice=verbosity pairs, such as sidecar=2,default=0",
				"traces": "stdout, file:PATH or an OTLP/HTTP URL", "seeds": "addresses separated by commas",
			},
		},
		"host name instead of an address": {
			args: append([]string{"sidecar", "--backend", "localhost:80", "--admin-listen", ":90"}, process...),
			want: map[string]string{"backend": addressFormat, "admin-listen": addressFormat},
		},
		"from the environment": {
			args: append([]string{"entry"}, process...),
			env:  map[string]string{"BERYLWARD_STOP_TIMEOUT": "long", "BERYLWARD_ADMIN_LISTEN": "x"},
			want: map[string]string{"stop-timeout": "a duration such as 500ms or 2m", "admin-listen": addressFormat},
		},
		"plaintext beyond loopback": {
			args: append([]string{"entry"}, append(process, "--platform", "10.0.0.1:1")...),
			want: map[string]string{"tls-certificate": "a file, unless allow-plaintext is set"},
		},
		"certificate without key": {
			args: append([]string{"entry", "--tls-certificate", "c.pem"}, process...),
			want: map[string]string{"tls-certificate": "a file, together with tls-key and tls-peer-ca"},
		},
		"demo": {
			args: []string{"demo", "--listen", "10.0.0.1:1", "--admin-listen", "10.0.0.1:2", "--entries", "0", "--engines", "-1"},
			want: map[string]string{
				"listen": "a loopback address and a port", "admin-listen": "a loopback address and a port",
				"entries": "a whole number from 1", "engines": "a whole number from 0",
			},
		},
		"demo without engines": {args: []string{"demo", "--engines", "0"}, want: map[string]string{"engines": "a whole number from 1"}},
		"generation and previous": {
			args: []string{"declare", "render", "--base", "b", "--overlay", "o", "--out", "f", "--generation", "1", "--previous", "p"},
			want: map[string]string{"generation": "a whole number from 1, or --previous instead"},
		},
		"status": {
			args: []string{"status", "--output", "yaml", "--interval", "1ms"},
			want: map[string]string{"addr": addressFormat + " (required)", "output": "one of text, json", "interval": "a duration from 100ms"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for k, v := range c.env {
				t.Setenv(k, v)
			}
			_, err := run(t.Context(), t, c.args...)
			var failure *SettingsError
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			got := map[string]string{}
			for _, p := range failure.Problems {
				got[p.Setting] = p.Expected
			}
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, len(failure.Problems), len(c.want))
		})
	}
}
