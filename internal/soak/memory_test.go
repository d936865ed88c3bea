package soak

import (
	"context"
	"flag"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/standin/direct"
)

var measureMemory = flag.Bool("soak-memory", false, "measure the memory of gateways beside servers that send without end")

// Guards against a gateway process that exceeds its memory limit because backend servers send bodies without end, or callers
// send many large ones. It measures real memory, so it runs by hand, without the race detector.
func TestMemoryOfBodies(t *testing.T) {
	if !*measureMemory {
		t.Skip("runs with -soak-memory")
	}
	const callers, rounds = 120, 3
	cases := map[string]struct {
		fault direct.ServerFault
		route string
		// body is the size of the requests' bodies in bytes.
		body int
	}{
		"look, success in chunks":    {direct.Endless{Status: http.StatusOK}, "look", 100},
		"look, success unframed":     {direct.Endless{Status: http.StatusOK, Unframed: true}, "look", 100},
		"look, error":                {direct.Endless{Status: http.StatusInternalServerError}, "look", 100},
		"look, refusal":              {direct.Endless{Status: http.StatusServiceUnavailable, Refusal: true}, "look", 100},
		"book, success in chunks":    {direct.Endless{Status: http.StatusOK}, "book", 100},
		"book, success unframed":     {direct.Endless{Status: http.StatusOK, Unframed: true}, "book", 100},
		"book, error":                {direct.Endless{Status: http.StatusInternalServerError}, "book", 100},
		"book, refusal":              {direct.Endless{Status: http.StatusServiceUnavailable, Refusal: true}, "book", 100},
		"draft, success in chunks":   {direct.Endless{Status: http.StatusOK}, "draft", 100},
		"draft, error":               {direct.Endless{Status: http.StatusInternalServerError}, "draft", 100},
		"draft, refusal":             {direct.Endless{Status: http.StatusServiceUnavailable, Refusal: true}, "draft", 100},
		"book, large request bodies": {direct.Pauses{For: time.Second}, "book", 1 << 20},
		"no fault":                   {direct.NoFault{}, "look", 100},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newMemoryHarness(t)
			defer h.close()
			sound := "draft"
			if tc.route == "draft" {
				sound = "look"
			}
			for _, b := range h.backends {
				if (b.Server.Service == "pool") == (tc.route == "draft") {
					b.SetFault(tc.fault)
				}
			}
			var calls sync.WaitGroup
			for range callers {
				calls.Go(func() { h.sendMany(t.Context(), tc.route, rounds, tc.body) })
			}
			var latencies []time.Duration
			for range 20 {
				request := h.sendMany(t.Context(), sound, 1, 100)
				assert.Check(t, request.response.Status == http.StatusOK && request.complete, "sound request: status %d", request.response.Status)
				latencies = append(latencies, request.endedAt.Sub(request.sentAt).Round(time.Millisecond))
			}
			calls.Wait()
			statuses := map[int]int{}
			for _, request := range h.requests {
				if request.routeName == tc.route {
					statuses[request.response.Status]++
				}
			}
			var report Report
			h.checkMemory(&report)
			t.Logf("%d MiB of %d MiB; statuses %v; sound requests %v", report.PeakMemory>>20, memoryLimit>>20, statuses, latencies)
			assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
		})
	}
}

// newMemoryHarness returns a harness with one gateway that serves.
func newMemoryHarness(t *testing.T) *harness {
	program, err := os.Executable()
	assert.NilError(t, err)
	h := &harness{
		Options: Options{Program: program, Folder: t.TempDir(), Gateways: 1, EngineBackends: 3, ServiceBackends: 3, CheckMemory: true},
		random:  rand.New(rand.NewPCG(1, 7)), clock: clock.RealClock{}, store: direct.NewStore(clock.RealClock{}),
		revokedAt: map[string]time.Time{}, faultCounts: map[string]int{}, startedAt: map[*direct.Backend]time.Time{},
	}
	assert.NilError(t, h.setUp())
	assert.NilError(t, h.waitReady(t.Context()))
	return h
}

// Guards against a gateway process that exceeds its memory limit because callers send heads without end, alone or beside large
// bodies. It measures real memory, so it runs by hand, without the race detector.
func TestMemoryOfHeads(t *testing.T) {
	if !*measureMemory {
		t.Skip("runs with -soak-memory")
	}
	cases := map[string]struct{ bodies int }{"alone": {0}, "beside large bodies": {120}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newMemoryHarness(t)
			defer h.close()
			for _, b := range h.backends[3:] {
				b.SetFault(direct.Pauses{For: time.Second})
			}
			var calls sync.WaitGroup
			for range tc.bodies {
				calls.Go(func() { h.sendMany(t.Context(), "book", 5, 1<<20) })
			}
			var ends []func()
			for range 3 {
				ends = append(ends, h.flood(0, endlessHead))
			}
			time.Sleep(7 * time.Second) // longer than a head may take
			for _, end := range ends {
				end()
			}
			calls.Wait()
			after := h.sendMany(t.Context(), "look", 1, 100)
			var report Report
			h.checkMemory(&report)
			t.Logf("%d MiB of %d MiB", report.PeakMemory>>20, memoryLimit>>20)
			assert.Check(t, after.response.Status == http.StatusOK, "status %d afterwards", after.response.Status)
			assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
		})
	}
}

// sendMany sends requests with bodies of a size one after another, and returns the last one.
func (h *harness) sendMany(ctx context.Context, route string, times, size int) *sentRequest {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	var request *sentRequest
	for range times {
		request = h.newRequest(0, route, "key-1", rand.New(rand.NewPCG(rand.Uint64(), 1)))
		request.requestBody = strings.Repeat("b", size)
		if request.Prompt != nil {
			request.Prompt.Tokens = 3000
		}
		h.send(ctx, transport, request)
	}
	return request
}
