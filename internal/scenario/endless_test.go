package scenario

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
)

// bookings returns n bookings, for the entries in turn.
func bookings(n int, name string, key func(int) string) []request {
	var list []request
	for i := range n {
		list = append(list, request{entry: i, booking: fmt.Sprintf(`{"room":%d,"name":%q}`, i, name), key: key(i), timeout: time.Minute})
	}
	return list
}

// Guards against a sidecar that runs out of memory because its backend server answers without end: it kept each answer for two
// minutes after its end. Guards, too, against a caller that is told that its own request was too large.
func TestEndlessAnswersAtSidecars(t *testing.T) {
	const memoryLimit = 100 << 20
	cases := map[string]func(int) string{
		"without keys": func(int) string { return "" },
		"with keys":    func(int) string { return newKey() },
	}
	for name, key := range cases {
		t.Run(name, func(t *testing.T) {
			opts := []demo.Option{demo.WithEngines(1, 1), demo.WithSidecarOptions(sidecar.WithMemoryLimit(memoryLimit))}
			withHarness(t, opts, func(t *testing.T, h *harness) {
				inject := func(on bool) {
					for _, s := range h.Services {
						assert.NilError(t, s.Inject(standin.EndlessAnswers{On: on}))
					}
				}
				inject(true)
				for _, res := range h.sendAll(bookings(40, "endless", key), 0, nil) {
					assert.Check(t, res.status == 502 && res.outcome == "unknown" && res.kind == "broken-answer", "%s", res)
				}
				for name, s := range h.Sidecars {
					answers := s.Status().AnswerBodies
					assert.Check(t, answers.Peak <= answers.Limit && answers.Limit < memoryLimit/2, "%s: %+v", name, answers)
					assert.Check(t, answers.Used < 1<<20, "%s: %+v", name, answers)
				}
				inject(false)
				sound := bookings(20, "sound", func(int) string { return "" })
				for i, res := range h.sendAll(sound, 0, nil) {
					h.checkWholeAnswer(sound[i], res)
				}
			})
		})
	}
}
