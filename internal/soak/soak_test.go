package soak_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/command"
	"berylward.example/berylward/internal/soak"
)

var (
	seed     = flag.Uint64("soak-seed", 1, "seed of the run")
	duration = flag.Duration("soak-length", 6*time.Second, "how long the run injects faults")
)

// TestMain makes the test binary run as the berylward command when the soak starts it as a gateway.
func TestMain(m *testing.M) {
	if os.Getenv(soak.GatewayProcessEnv) != "" {
		if err := command.New().Execute(); err != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// regressions are the seeds that once failed, by the cause of the failure.
var regressions = map[string]uint64{}

// Guards against guarantees that hold in one process on virtual time but not between real processes under faults.
// Checks that depend on how quickly the machine schedules the processes run only by hand.
func TestSoak(t *testing.T) {
	cases := map[string]uint64{"seed from flag": *seed}
	for cause, runSeed := range regressions {
		cases[cause] = runSeed
	}
	for name, s := range cases {
		t.Run(name, func(t *testing.T) {
			program, err := os.Executable()
			assert.NilError(t, err)
			report, err := soak.Run(t.Context(), soak.Options{
				Program: program, Folder: t.TempDir(), Seed: s, Duration: *duration, Gateways: 2, EngineBackends: 4, ServiceBackends: 2, Callers: 8,
			})
			assert.NilError(t, err)
			assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
			t.Logf("seed %d: %d requests, %d answered, faults %v", report.Seed, report.Requests, report.Answered, report.Faults)
		})
	}
}
