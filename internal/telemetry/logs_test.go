package telemetry_test

import (
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/telemetry"
)

// Guards against log levels that are accepted and have no effect, because no logger has the name.
func TestLogLevels(t *testing.T) {
	tests := map[string]struct {
		levels string
		ok     bool
	}{
		"none":                      {"", true},
		"every slice":               {"command=1,default=0,entry=2,gateway=1,klog=0,sidecar=3", true},
		"spaces":                    {"sidecar=2, default=1", true},
		"a package without loggers": {"link=2", false},
		"misspelled":                {"sidcar=2", false},
		"no verbosity":              {"sidecar", false},
		"negative":                  {"sidecar=-1", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := telemetry.NewLogs(io.Discard, tt.levels)
			assert.Equal(t, err == nil, tt.ok, "%v", err)
			var failure *telemetry.Error
			assert.Equal(t, errors.As(err, &failure) && failure.Kind == telemetry.KindSetting, !tt.ok)
		})
	}
}
