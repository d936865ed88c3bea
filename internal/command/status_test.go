package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/callers"
	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/suspect"
)

// Guards against a status page that does not show why an instance gets no new work.
func TestStatusPageShowsCauses(t *testing.T) {
	suspects := []suspect.Summary{{Fingerprint: "0123456789abcdef", State: "quarantined", Remaining: "9m0s"}}
	for name, c := range map[string]struct {
		write func(io.Writer) error
		want  []string
	}{
		"entry": {
			write: func(w io.Writer) error {
				return writeEntry(w, entry.Status{
					Instance: "entry-1", NotReady: "no configuration", RefusedGeneration: "workers: found 0", ZonesOut: []string{"banos"}, SuspectList: suspects,
					Workers: []entry.WorkerStatus{{Name: "w", State: "draining", DrainCauses: []string{"zone-out", "said-by-worker"}, Fullness: 0.5}},
				})
			},
			want: []string{
				"ready no: no configuration", "generation none yet", "refused a newer generation, because of workers: found 0", "zones out banos",
				"suspects 01234567 (quarantined for 9m0s)", "w lost draining zone-out,said-by-worker 50 % none - 0 0",
			},
		},
		"engine's sidecar": {
			write: func(w io.Writer) error {
				return writeSidecar(w, sidecar.Status{
					Phase: "draining", Causes: []string{"zone"}, Generation: 7, Queued: 3, QueuedByClass: map[string]int{"long": 3},
					Window: sidecar.WindowSize{Tokens: 16000, Requests: 2}, MemoryLimit: 9, MemoryUsed: 4, Reservations: 1, SuspectList: suspects,
				})
			},
			want: []string{
				"state draining because of zone", "generation 7", "zones out none", "queued 3 (short 0, medium 0, long 3)",
				"window 0 of 16000 tokens, 0 of 2 requests", "memory 4 of 9 tokens in 1 reservations",
			},
		},
		"service's sidecar": {
			write: func(w io.Writer) error {
				return writeSidecar(w, sidecar.Status{Service: "booking-desk", Phase: "serving", Keys: 5, Epoch: 3, UnsealedEpochs: []uint64{2}, AnswerBodies: body.Usage{Limit: 1000, Used: 300, Peak: 400, Refused: 2}})
			},
			want: []string{
				"backend plain service booking-desk", "keys 5 held, owners of generation 3", "answers 300 bytes of 1000, 400 at most so far, 2 refused",
				"hand-over not complete for generations 2; keys that may have moved are refused",
			},
		},
		"gateway": {
			write: func(w io.Writer) error {
				return writeGateway(w, gateway.Status{
					Instance: "front-1", Zone: "banos", Stopping: true, Running: 2, TableVersion: 7, TableAge: 1200, BackendServers: 24, Gateways: 6,
					ReportAges: map[string]int64{"el-centro": 90, "banos": 40}, CallerConnections: callers.Usage{Limit: 1009, Open: 12, Peak: 240},
					Forecasts: map[string]gateway.ForecastAccuracy{"review/8k": {Count: 40, Late: 9, Predicted: gateway.TimeQuantiles{P50: 70, P90: 90},
						Measured: gateway.TimeQuantiles{P50: 80, P90: 120}, Distance: gateway.TimeQuantiles{P50: 12, P90: 33}}},
					RequestBodies: body.Usage{Limit: 9000, Used: 100, Peak: 800, Refused: 1}, QuarantinedRequests: map[string]int64{"ab12": 600},
					Unavailable: []gateway.UnavailableServer{{ID: "i-1", Service: "desk", Reason: "busy", ForMS: 300}, {ID: "i-2", Service: "desk", Reason: "leaving"}},
				})
			},
			want: []string{
				"gateway front-1 in banos", "ready no: stopping, 2 requests are running", "table version 7, proven 1200 ms ago",
				"backend servers 24, 2 of them get no requests", "i-1 of desk: busy for 300 ms", "i-2 of desk: leaving",
				"reports from banos: 40 ms old at most", "callers 12 connections of 1009, 240 at most so far",
				"request bodies 100 bytes of 9000, 800 at most so far, 1 refused", "response bodies 0 bytes of any number, 0 at most so far, 0 refused",
				"quarantined request ab12 for 600 ms",
				"first events review/8k: 40, half within 80 ms and 9 of 10 within 120 ms, 70 and 90 predicted, 9 later than predicted; off by 12 and 33 ms",
			},
		},
		"gateway without a table": {
			write: func(w io.Writer) error { return writeGateway(w, gateway.Status{}) },
			want:  []string{"ready no: the routing table is missing or was not proven in time", "table none yet"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			assert.NilError(t, c.write(&b))
			lines := map[string]bool{}
			for line := range strings.Lines(b.String()) {
				lines[strings.Join(strings.Fields(line), " ")] = true
			}
			for _, want := range c.want {
				assert.Assert(t, lines[want], "no line %q in\n%s", want, b.String())
			}
		})
	}
}

// demoLine is the JSON line that the demo command prints.
type demoLine struct {
	Entries  []netip.AddrPort
	Platform netip.AddrPort
	Admin    map[string]netip.AddrPort
	Backends map[string]netip.AddrPort
}

// withDemo runs the demo command with admin listeners on free ports, calls fn and stops the demo.
func withDemo(t *testing.T, overlay string, fn func(d demoLine)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	in, out := io.Pipe()
	root := New()
	root.SetArgs([]string{"demo", "--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--any-ports", "--overlay", overlay})
	root.SetOut(out)
	ended := make(chan error, 1)
	go func() {
		err := root.ExecuteContext(ctx)
		_ = out.CloseWithError(io.ErrUnexpectedEOF)
		ended <- err
	}()
	var line demoLine
	err := json.NewDecoder(in).Decode(&line)
	go func() { _, _ = io.Copy(io.Discard, in) }()
	if err == nil {
		fn(line)
	}
	cancel()
	assert.NilError(t, <-ended)
	assert.NilError(t, err)
}

// waitForStatus waits until the status page of an instance contains all given words. The limit on the number of reads
// only ends a test that would hang; the target of 7 s for a configuration change is checked on virtual time.
func waitForStatus(t *testing.T, address netip.AddrPort, words ...string) {
	t.Helper()
	const reads = 1200
	for n := 0; ; n++ {
		text, err := run(t.Context(), t, "status", "--addr", address.String())
		missing := ""
		for _, w := range words {
			if !strings.Contains(text, w) {
				missing = w
			}
		}
		if err == nil && missing == "" {
			return
		}
		if n == reads {
			t.Fatalf("no %q: %v\n%s", missing, err, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a zone that continues to serve after an operator took it out with the commands of
// docs/operating/zones.md, and against one that does not serve again after it was put back.
func TestZoneTakenOutAndReturned(t *testing.T) {
	withDemo(t, exampleOverlay, func(d demoLine) {
		assert.Equal(t, len(d.Admin), 2+4+3, "two entries, four engines, three booking workers")
		dir := t.TempDir()
		publish := func(overlay, folder string, more ...string) {
			_, err := run(t.Context(), t, append([]string{"declare", "render", "--base", exampleBase, "--overlay", overlay, "--out", folder}, more...)...)
			assert.NilError(t, err)
			_, err = run(t.Context(), t, "declare", "publish", "--platform", d.Platform.String(), folder)
			assert.NilError(t, err)
		}
		second, third := filepath.Join(dir, "2"), filepath.Join(dir, "3")
		publish(editedOverlay(t, "banos: {out: false}", "banos: {out: true}"), second, "--generation", "2")
		waitForStatus(t, d.Admin["banos-engine-1"], "draining because of zone", "zones out   banos")
		waitForStatus(t, d.Admin["entry-1"], "generation  2", "zone-out,said-by-worker")
		publish(exampleOverlay, third, "--previous", second)
		waitForStatus(t, d.Admin["banos-engine-1"], "state       serving", "generation  3")
		waitForStatus(t, d.Admin["entry-1"], "generation  3", "zones out   none")
	})
}

// Guards against a watch that continues after its context ended, or that ends because the process does not answer.
func TestWatchStopsOnContextEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := run(ctx, t, "status", "--addr", "127.0.0.1:1", "--watch", "--interval", "100ms")
	assert.NilError(t, err)
	assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
}
