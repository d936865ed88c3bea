package gateway_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/internal/telemetry"
)

// logBuffer collects log lines in memory.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// linesFor returns the log lines of a request, in order.
func (b *logBuffer) linesFor(t *testing.T, id string) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for line := range strings.Lines(b.text.String()) {
		fields := map[string]any{}
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		if fields["request"] == id {
			found = append(found, fields)
		}
	}
	return found
}

// fillMemory makes all engines use their memory for seconds.
func fillMemory(h *harness) {
	h.backends[2].StepTime, h.backends[3].StepTime = 5*time.Second, 5*time.Second
	for range 20 {
		go h.call(http.MethodPost, "/draft/busy", func(c *gateway.CallerRequest) {
			c.Prompt = &gateway.Prompt{Tokens: 19000, MaxOutputTokens: 500}
		})
	}
	time.Sleep(100 * time.Millisecond)
}

// Guards against a failed request whose cause cannot be found in the logs by its identifier. docs/OPERATIONS.md shows
// these cases.
func TestFailedRequestLogs(t *testing.T) {
	cases := map[string]struct {
		prepare func(*harness)
		path    string
		modify  func(*gateway.CallerRequest)
		// messages are the expected log messages of the request. The last line must have field with value.
		messages []string
		field    string
		value    any
	}{
		"booking with a lost response": {
			prepare: func(h *harness) { h.setFaults("desk", direct.ClosesEarly{}, direct.ClosesEarly{}) },
			path:    "/book/a", messages: []string{"sent", "attempt lost", "request ended"},
			field: "outcome", value: "failed-backend-broken",
		},
		"request refused because the table is not proven": {
			prepare: func(h *harness) { h.store.SetOutage(direct.NoAnswer{}); time.Sleep(6 * time.Second) },
			path:    "/draft/a", messages: []string{"request refused: table not proven"},
			field: "age-ms", value: nil,
		},
		"request refused because engines will not have memory in time": {
			prepare: fillMemory,
			path:    "/review/a", modify: func(c *gateway.CallerRequest) {
				c.Timeout, c.Prompt = 1200*time.Millisecond, &gateway.Prompt{Tokens: 400000, MaxOutputTokens: 500}
			},
			messages: []string{"no placement", "request ended"}, field: "outcome", value: "refused-no-memory",
		},
		"request refused because engines had no memory in time": {
			prepare: fillMemory,
			path:    "/review/a", modify: func(c *gateway.CallerRequest) {
				c.Timeout, c.Prompt = 4*time.Second, &gateway.Prompt{Tokens: 300000, MaxOutputTokens: 500}
			},
			messages: []string{"held", "no placement", "request ended"}, field: "outcome", value: "refused-no-memory",
		},
		"request refused because it cannot be done in time": {
			prepare: func(h *harness) { h.saturate() },
			path:    "/draft/a", modify: func(c *gateway.CallerRequest) {
				c.Timeout, c.Prompt = 1200*time.Millisecond, &gateway.Prompt{Tokens: 300000, MaxOutputTokens: 500}
			},
			messages: []string{"no placement", "request ended"}, field: "outcome", value: "refused-overloaded",
		},
		"stream broken on every backend server": {
			prepare: func(h *harness) { h.setFaults("pool", direct.ClosesEarly{After: 1}, direct.ClosesEarly{After: 2}) },
			path:    "/draft/a", messages: []string{"sent", "attempt lost", "sent", "attempt lost", "request ended"},
			field: "outcome", value: "failed-backend-broken",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			out := &logBuffer{}
			logs, err := telemetry.NewLogs(out, "")
			assert.NilError(t, err)
			withHarness(t, func(h *harness) {
				tc.prepare(h)
				got := h.call(http.MethodPost, tc.path, tc.modify)
				var messages []string
				lines := out.linesFor(t, got.id)
				for _, line := range lines {
					messages = append(messages, line["msg"].(string))
				}
				assert.DeepEqual(t, messages, tc.messages)
				last := lines[len(lines)-1]
				if tc.value != nil {
					assert.Equal(t, last[tc.field], tc.value)
				} else {
					assert.Assert(t, last[tc.field].(float64) > 4000)
				}
				for _, line := range lines {
					if line["msg"] == "held" {
						assert.Equal(t, line["reason"], "memory")
					}
					if line["msg"] == "sent" {
						for _, field := range []string{"backend", "table", "backend-revision", "remaining-ms", "peer-age-ms", "unread-ms"} {
							assert.Assert(t, line[field] != nil, "no %s", field)
						}
					}
				}
			}, gateway.WithLogger(logs.Logger("gateway")))
		})
	}
}

// Guards against a request whose predicted time to the first event cannot be compared with the measured one, and against times of an
// earlier attempt that had no event.
func TestForecastsCompared(t *testing.T) {
	cases := map[string]struct {
		path string
		// fault is that of the backend server which is tried first.
		fault direct.ServerFault
		// sends is the number of attempts, events the number of those with a first event.
		sends  float64
		events int64
	}{
		"stream":                        {"/draft/a", direct.NoFault{}, 1, 1},
		"stream resumed elsewhere":      {"/draft/a", direct.ClosesEarly{After: 1}, 2, 2},
		"first attempt without events":  {"/draft/a", direct.Errors{}, 2, 1},
		"plain service, no predictions": {"/look/a", direct.NoFault{}, 1, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			out := &logBuffer{}
			logs, err := telemetry.NewLogs(out, "")
			assert.NilError(t, err)
			withHarness(t, func(h *harness) {
				// An idle fleet is filled in the same order again.
				before := h.call(http.MethodPost, tc.path, nil)
				first := out.linesFor(t, before.id)[0]["backend"]
				for _, b := range h.backends {
					if b.Server.ID == first {
						b.SetFault(tc.fault)
					}
				}
				got := h.call(http.MethodPost, tc.path, nil)
				assert.Equal(t, got.Status, http.StatusOK)
				lines := out.linesFor(t, got.id)
				last := lines[len(lines)-1]
				assert.Equal(t, last["sends"], tc.sends)
				expected, measured := 0.0, 0.0
				if tc.events > 0 {
					expected, measured = lines[len(lines)-2]["expected-ms"].(float64), last["measured-first-ms"].(float64)
					assert.Check(t, measured > 0 && measured <= last["took-ms"].(float64), "%v", last)
				}
				assert.Equal(t, last["predicted-first-ms"], expected)
				assert.Equal(t, last["measured-first-ms"], measured)
				assert.Equal(t, h.gateway.Status().Forecasts[last["route"].(string)+"/8k"].Count, tc.events+min(tc.events, 1))
			}, gateway.WithLogger(logs.Logger("gateway")))
		})
	}
}
