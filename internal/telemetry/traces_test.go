package telemetry_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/telemetry"
)

// Guards against a reader of spans that stops reading and keeps the process from ending, or slows its requests.
func TestBlockedReaderOfSpans(t *testing.T) {
	cases := map[string]func(t *testing.T, path string) string{
		"standard output": func(t *testing.T, path string) string {
			w, err := os.OpenFile(path, os.O_WRONLY, 0)
			assert.NilError(t, err)
			stdout := os.Stdout
			os.Stdout = w
			t.Cleanup(func() { os.Stdout = stdout })
			return "stdout"
		},
		"file": func(_ *testing.T, path string) string { return "file:" + path },
	}
	for name, target := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "spans")
			assert.NilError(t, syscall.Mkfifo(path, 0o600))
			reader, err := os.OpenFile(path, os.O_RDWR, 0)
			assert.NilError(t, err)
			defer func() { _ = reader.Close() }()
			traces, err := telemetry.NewTraces(t.Context(), target(t, path), "front-1")
			assert.NilError(t, err)
			began := time.Now()
			// A pipe holds 64 KiB, a span takes more than 500 bytes.
			for range 1000 {
				_, span := traces.Provider().Tracer("test").Start(t.Context(), "request")
				span.End()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_ = traces.Close(ctx)
			assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
		})
	}
}
