package demo_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/pkg/site"
)

// Guards against declared fields whose changes an entry ignores after its start, and against changes that cut a running
// request. The test changes the fields one after another in one fleet while a long answer is streamed.
func TestEntryAppliesDeclarationChanges(t *testing.T) {
	model := func(change func(*site.Model)) func(*site.Declarations) {
		return func(d *site.Declarations) {
			m := d.Models["office-8b"]
			change(&m)
			d.Models["office-8b"] = m
		}
	}
	workspace := func(change func(*site.Workspace)) func(*site.Declarations) {
		return func(d *site.Declarations) {
			w := *d.Workspaces["schedules"]
			change(&w)
			d.Workspaces["schedules"] = &w
		}
	}
	const shortRequest = `{"model":"office-8b","prompt":"a question","max_tokens":1}`
	tests := map[string]struct {
		change, undo func(*site.Declarations)
		body         string
		header       map[string]string
		status       int
	}{
		"deadlines.max": {
			func(d *site.Declarations) { d.Deadlines.Max = 2 * time.Minute },
			func(d *site.Declarations) { d.Deadlines.Max = 30 * time.Minute },
			shortRequest, map[string]string{"Berylward-Timeout": "10m"}, 400},
		"models.max-prompt-tokens": {
			model(func(m *site.Model) { m.MaxPromptTokens = 2 }),
			model(func(m *site.Model) { m.MaxPromptTokens = 1_000_000 }), shortRequest, nil, 413},
		"models.bytes-per-token": {
			model(func(m *site.Model) { m.BytesPerToken, m.MaxPromptTokens = 0.25, 20 }),
			model(func(m *site.Model) { m.BytesPerToken, m.MaxPromptTokens = 4, 1_000_000 }), shortRequest, nil, 413},
		"workspaces.models": {
			workspace(func(w *site.Workspace) { w.Models = []string{"ledger-32b"} }),
			workspace(func(w *site.Workspace) { w.Models = []string{"ledger-32b", "office-8b"} }), shortRequest, nil, 404},
		"workspaces.key-sha256": {
			workspace(func(w *site.Workspace) { w.Key = site.NewKeyDigest("another") }),
			workspace(func(w *site.Workspace) { w.Key = site.NewKeyDigest(schedulesKey) }), shortRequest, nil, 401},
		"workspaces.burst": {
			workspace(func(w *site.Workspace) { w.Burst = 3 }),
			workspace(func(w *site.Workspace) { w.Burst = 400_000 }), shortRequest, nil, 413},
		"added model": {
			func(d *site.Declarations) {
				w := *d.Workspaces["schedules"]
				w.Models = append(w.Models, "tiny")
				tiny := d.Models["office-8b"]
				tiny.Name = "tiny"
				d.Workspaces["schedules"], d.Models["tiny"] = &w, tiny
			},
			workspace(func(w *site.Workspace) { w.Models = w.Models[:2] }),
			`{"model":"tiny","prompt":"a question","max_tokens":0}`, nil, 400},
	}
	withFleet(t, []demo.Option{demo.WithEntries(1), demo.WithEngines(2, 1)}, func(f *demo.Fleet) {
		longOutcome := make(chan string, 1)
		go func() {
			_, outcome, text := post(t, f, "/v1/completions", "cuenca-counter-centro-key", `{"model":"office-8b","prompt":"a long one","max_tokens":1000,"stream":true}`, nil)
			_ = text
			longOutcome <- outcome
		}()
		publish := func(change func(*site.Declarations)) {
			d := f.Declarations()
			clone := *d
			clone.Models, clone.Workspaces = map[string]site.Model{}, map[string]*site.Workspace{}
			for name, m := range d.Models {
				clone.Models[name] = m
			}
			for name, w := range d.Workspaces {
				clone.Workspaces[name] = w
			}
			change(&clone)
			assert.NilError(t, f.Publish(&clone))
		}
		expectStatus := func(t *testing.T, body string, header map[string]string, status int) {
			// Each iteration waits for a request, so the loop does not spin. Its limit only ends a test that fails.
			got, text := 0, ""
			for range 400 {
				if got, _, text = post(t, f, "/v1/completions", schedulesKey, body, header); got == status {
					return
				}
			}
			t.Fatalf("status %d, want %d: %s", got, status, text)
		}
		for name, tt := range tests {
			t.Run(name, func(t *testing.T) {
				publish(tt.change)
				expectStatus(t, tt.body, tt.header, tt.status)
				publish(tt.undo)
				expectStatus(t, shortRequest, map[string]string{"Berylward-Timeout": "2s"}, 200)
			})
		}
		assert.Equal(t, <-longOutcome, "done")
	})
}
