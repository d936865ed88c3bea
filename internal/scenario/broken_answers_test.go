package scenario

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/standin"
)

// Guards against a plain service's answer with a status that does not exist. Below 100, the entry panicked when it wrote it, and 600
// was passed on as a complete answer, which a booking worker also kept for its key.
func TestInvalidStatuses(t *testing.T) {
	cases := map[string]struct {
		request request
		sends   int
		// sound means that the request succeeds if only one of the services is faulty.
		sound bool
	}{
		"idempotent":           {request{slots: true, timeout: 5 * time.Second}, 2, true},
		"booking":              {request{booking: `{"room":1}`, timeout: 5 * time.Second}, 1, false},
		"booking with its key": {request{booking: `{"room":2}`, key: "new", timeout: 5 * time.Second}, 2, false},
	}
	for name, tc := range cases {
		for _, text := range []string{"000 X", "099 X", "101 X", "600 X"} {
			t.Run(name+", "+text[:3], func(t *testing.T) {
				withHarness(t, []demo.Option{demo.WithEngines(1, 1)}, func(t *testing.T, h *harness) {
					inject := func(s *standin.Service, text string) {
						assert.NilError(t, s.Inject(standin.AnswerStatus{Text: text}))
					}
					if tc.request.key != "" {
						tc.request.key = newKey()
					}
					for _, s := range h.Services {
						inject(s, text)
					}
					for range tc.sends { // the second time, the owner of a key answers from its table
						res := h.send(t.Context(), tc.request)
						assert.Check(t, (res.status == 502 || res.status == 409) && res.outcome == "unknown", "%s", res)
					}
					if !tc.sound {
						return
					}
					for _, faulty := range h.Services {
						for _, s := range h.Services {
							inject(s, "")
						}
						inject(faulty, text)
						for entry := range 4 {
							tc.request.entry = entry
							res := h.send(t.Context(), tc.request)
							assert.Check(t, res.status == 200 && res.outcome == "done", "%s", res)
						}
					}
				})
			})
		}
	}
}

// Guards against a part of an answer that a caller takes for a complete one, because the service answered a long call before it had
// read it, and closed the connection.
func TestAnswersBeforeUploads(t *testing.T) {
	for framing, response := range standin.EarlyResponses(nil) {
		t.Run(framing, func(t *testing.T) {
			withHarness(t, []demo.Option{demo.WithEngines(1, 1)}, func(t *testing.T, h *harness) {
				for _, s := range h.Services {
					assert.NilError(t, s.Inject(standin.AnswerEarly{Response: response}))
				}
				for i, key := range []string{"", newKey()} {
					r := request{entry: i, booking: strings.Repeat("b", 200<<10), key: key, timeout: 5 * time.Second}
					res := h.send(t.Context(), r)
					assert.Check(t, res.status == 502 && res.outcome == "unknown", "%s", res)
				}
			})
		})
	}
}
