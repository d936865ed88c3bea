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

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// of returns the lines about a request, in their order.
func (b *logBuffer) of(t *testing.T, id string) []map[string]any {
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

// Guards against a failed request whose cause cannot be found from its id: docs/OPERATIONS.md shows these three ways.
func TestFailedRequestIsExplained(t *testing.T) {
	cases := map[string]struct {
		prepare func(*site)
		path    string
		change  func(*gateway.Call)
		// lines are the messages about the request, each with a field and its value.
		lines []string
		field string
		value any
	}{
		"booking whose answer was lost": {
			prepare: func(s *site) { s.behave("desk", direct.Breaks{}, direct.Breaks{}) },
			path:    "/book/a", lines: []string{"sent", "attempt lost", "request ended"},
			field: "outcome", value: "failed-backend-broken",
		},
		"review refused because the table is not proven": {
			prepare: func(s *site) { s.store.Fail(direct.Silent{}); time.Sleep(6 * time.Second) },
			path:    "/draft/a", lines: []string{"request refused: table not proven"},
			field: "age-ms", value: nil,
		},
		"review refused for want of free engines": {
			prepare: func(s *site) { s.backends[2].Step, s.backends[3].Step = 5*time.Second, 5*time.Second; s.occupy() },
			path:    "/draft/a", change: func(c *gateway.Call) { c.Prompt = &gateway.Prompt{Tokens: 400000, MaxAnswer: 500} },
			lines: []string{"held", "no placement", "request ended"}, field: "outcome", value: "refused-overloaded",
		},
		"stream that broke everywhere": {
			prepare: func(s *site) { s.behave("pool", direct.Breaks{After: 1}, direct.Breaks{After: 2}) },
			path:    "/draft/a", lines: []string{"sent", "attempt lost", "sent", "attempt lost", "request ended"},
			field: "outcome", value: "failed-backend-broken",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			out := &logBuffer{}
			logs, err := telemetry.NewLogs(out, "")
			assert.NilError(t, err)
			withSite(t, func(s *site) {
				tc.prepare(s)
				got := s.call(http.MethodPost, tc.path, tc.change)
				var messages []string
				lines := out.of(t, got.id)
				for _, line := range lines {
					messages = append(messages, line["msg"].(string))
				}
				assert.DeepEqual(t, messages, tc.lines)
				last := lines[len(lines)-1]
				if tc.value != nil {
					assert.Equal(t, last[tc.field], tc.value)
				} else {
					assert.Assert(t, last[tc.field].(float64) > 4000)
				}
				for _, line := range lines {
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
