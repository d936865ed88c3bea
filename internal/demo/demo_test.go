package demo_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/examples"
	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/standin"
	"berylward.example/berylward/pkg/site"
)

// withFleet starts a fleet with the Cuenca example, calls fn with it and stops it.
func withFleet(t *testing.T, opts []demo.Option, fn func(*demo.Fleet)) {
	t.Helper()
	base, err := examples.Source("", "base.yaml")
	assert.NilError(t, err)
	overlay, err := examples.Source("", "cuenca/site.yaml")
	assert.NilError(t, err)
	loaded, err := site.LoadSources(base, overlay)
	assert.NilError(t, err)
	opts = append(opts, demo.WithFreePorts(), demo.WithSidecarOptions(sidecar.WithStrictInvariants()))
	f, err := demo.Start(loaded.Declarations, opts...)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	assert.NilError(t, f.Ready(ctx))
	fn(f)
	assert.NilError(t, f.Stop(ctx))
}

// post sends a request to the first entry and returns the status, the outcome and the body.
func post(t *testing.T, f *demo.Fleet, path, key, body string, header map[string]string) (int, string, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.EntryAddresses[0].String()+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	outcome := w.Header.Get("Berylward-Outcome")
	if outcome == "" {
		outcome = w.Trailer.Get("Berylward-Outcome")
	}
	return w.StatusCode, outcome, string(text)
}

const (
	schedulesKey = "cuenca-schedules-key"
	counterKey   = "cuenca-counter-centro-key"
)

// Guards against invalid input that is accepted, or refused without naming the invalid part.
func TestBadInput(t *testing.T) {
	tests := map[string]struct {
		path, key, body string
		header          map[string]string
		status          int
		contains        string
	}{
		"invalid JSON":     {"/v1/completions", schedulesKey, "{", nil, 400, "not valid JSON"},
		"wrong type":       {"/v1/completions", schedulesKey, `{"model": 1}`, nil, 400, `field \"model\"`},
		"unknown model":    {"/v1/completions", schedulesKey, `{"model":"x","prompt":"a"}`, nil, 404, `no model \"x\"`},
		"empty prompt":     {"/v1/completions", schedulesKey, `{"model":"office-8b","prompt":""}`, nil, 400, `field \"prompt\"`},
		"unknown role":     {"/v1/chat/completions", schedulesKey, `{"model":"office-8b","messages":[{"role":"x","content":"a"}]}`, nil, 400, "messages[0].role"},
		"zero max_tokens":  {"/v1/completions", schedulesKey, `{"model":"office-8b","prompt":"a","max_tokens":0}`, nil, 400, `field \"max_tokens\"`},
		"temperature":      {"/v1/completions", schedulesKey, `{"model":"office-8b","prompt":"a","temperature":3}`, nil, 400, `field \"temperature\"`},
		"stop sequence":    {"/v1/completions", schedulesKey, `{"model":"office-8b","prompt":"a","stop":[1]}`, nil, 400, `field \"stop\"`},
		"tools":            {"/v1/completions", schedulesKey, `{"model":"office-8b","prompt":"a","tools":[]}`, nil, 400, `field \"tools\"`},
		"unknown key":      {"/v1/completions", "x", `{}`, nil, 401, "not known"},
		"invalid timeout":  {"/v1/completions", schedulesKey, `{"model":"office-8b","prompt":"a"}`, map[string]string{"Berylward-Timeout": "soon"}, 400, "Berylward-Timeout"},
		"unknown service":  {"/v1/services/x/y", schedulesKey, `{}`, nil, 404, `no service \"x\"`},
		"unknown path":     {"/v1/x", schedulesKey, `{}`, nil, 404, "nothing at /v1/x"},
		"wrong method":     {"/v1/models", schedulesKey, `{}`, nil, 405, "method POST"},
		"body too large":   {"/v1/completions", schedulesKey, `{"model":"` + strings.Repeat("a", 17<<20) + `"}`, nil, 413, "larger than"},
		"prompt too large": {"/v1/completions", schedulesKey, `{"model":"office-8b","prompt":"` + strings.Repeat("a", 8<<20) + `"}`, nil, 413, "the prompt has"},
	}
	withFleet(t, nil, func(f *demo.Fleet) {
		for name, tt := range tests {
			t.Run(name, func(t *testing.T) {
				status, outcome, body := post(t, f, tt.path, tt.key, tt.body, tt.header)
				assert.Equal(t, status, tt.status, body)
				assert.Equal(t, outcome, "not-run")
				assert.Assert(t, strings.Contains(body, tt.contains), body)
			})
		}
	})
}

// Guards against answers that differ from those of the engine, for text and chat completions, streamed or not.
func TestAnswersMatchEngine(t *testing.T) {
	tests := map[string]struct {
		path, body, prompt string
	}{
		"text":            {"/v1/completions", `{"model":"office-8b","prompt":"Quote","max_tokens":9}`, "Quote"},
		"text stream":     {"/v1/completions", `{"model":"office-8b","prompt":"Quote","max_tokens":9,"stream":true}`, "Quote"},
		"chat":            {"/v1/chat/completions", `{"model":"office-8b","max_tokens":9,"messages":[{"role":"user","content":"Quote"}]}`, "<|user|>\nQuote\n<|assistant|>\n"},
		"chat stream":     {"/v1/chat/completions", `{"model":"office-8b","max_tokens":9,"stream":true,"messages":[{"role":"user","content":"Quote"}]}`, "<|user|>\nQuote\n<|assistant|>\n"},
		"chat with parts": {"/v1/chat/completions", `{"model":"office-8b","max_tokens":9,"messages":[{"role":"user","content":[{"type":"text","text":"Quote"}]}]}`, "<|user|>\nQuote\n<|assistant|>\n"},
	}
	withFleet(t, nil, func(f *demo.Fleet) {
		for name, tt := range tests {
			t.Run(name, func(t *testing.T) {
				status, outcome, body := post(t, f, tt.path, schedulesKey, tt.body, nil)
				assert.Equal(t, status, 200, body)
				assert.Equal(t, outcome, "done")
				assert.Equal(t, answerText(t, body), standin.ExpectedAnswer(tt.prompt, 9))
			})
		}
	})
}

// answerText returns the text of a whole or streamed answer.
func answerText(t *testing.T, body string) string {
	t.Helper()
	type part struct {
		Choices []struct {
			Text           string
			Message, Delta struct{ Content string }
		}
	}
	var b strings.Builder
	add := func(line string) {
		var p part
		assert.NilError(t, json.Unmarshal([]byte(line), &p), line)
		for _, c := range p.Choices {
			b.WriteString(c.Text + c.Message.Content + c.Delta.Content)
		}
	}
	if !strings.HasPrefix(body, "data: ") {
		add(body)
		return b.String()
	}
	lines := bufio.NewScanner(bytes.NewBufferString(body))
	for lines.Scan() {
		if line, ok := strings.CutPrefix(lines.Text(), "data: "); ok && line != "[DONE]" {
			add(line)
		}
	}
	return b.String()
}

// Guards against a booking that runs twice, or whose retry through the other entry gets another answer.
func TestBookingRunsOnce(t *testing.T) {
	withFleet(t, nil, func(f *demo.Fleet) {
		key := uuid.Must(uuid.NewV7()).String()
		header := map[string]string{"Idempotency-Key": key}
		const path, body = "/v1/services/booking-desk/bookings", `{"room":7}`
		status, outcome, first := post(t, f, path, counterKey, body, header)
		assert.Equal(t, status, 201, first)
		assert.Equal(t, outcome, "done")
		f.EntryAddresses[0], f.EntryAddresses[1] = f.EntryAddresses[1], f.EntryAddresses[0]
		_, outcome, second := post(t, f, path, counterKey, body, header)
		assert.Equal(t, outcome, "done")
		assert.Equal(t, second, first)
		status, outcome, _ = post(t, f, path, counterKey, `{"room":8}`, header)
		assert.Equal(t, status, 422)
		assert.Equal(t, outcome, "not-run")
		runs := 0
		for _, s := range f.Services {
			for _, n := range s.Runs() {
				runs += n
			}
		}
		assert.Equal(t, runs, 1)
	})
}

// Guards against a ticket whose call runs twice.
func TestTicketRunsOnce(t *testing.T) {
	withFleet(t, nil, func(f *demo.Fleet) {
		_, _, issued := post(t, f, "/v1/services/booking-desk/tickets", counterKey, "", nil)
		var ticket struct{ Ticket string }
		assert.NilError(t, json.Unmarshal([]byte(issued), &ticket), issued)
		header := map[string]string{"Berylward-Ticket": ticket.Ticket}
		_, outcome, first := post(t, f, "/v1/services/booking-desk/bookings", counterKey, `{"room":7}`, header)
		assert.Equal(t, outcome, "done", first)
		_, _, second := post(t, f, "/v1/services/booking-desk/bookings", counterKey, `{"room":7}`, header)
		assert.Equal(t, second, first)
	})
}

// Guards against a stream that breaks when its sidecar fails: the caller must get the rest from another worker.
func TestSidecarFailsDuringStream(t *testing.T) {
	withFleet(t, []demo.Option{demo.WithEngines(2, 2)}, func(f *demo.Fleet) {
		const body = `{"model":"office-8b","prompt":"A year of ledgers","max_tokens":100,"stream":true}`
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.EntryAddresses[0].String()+"/v1/completions", strings.NewReader(body))
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+schedulesKey)
		w, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer w.Body.Close()
		lines := bufio.NewReader(w.Body)
		first, err := lines.ReadString('\n')
		assert.NilError(t, err)
		serving := runningSidecar(t, f)
		f.Sidecars[serving].Kill()
		delete(f.Sidecars, serving)
		rest, err := io.ReadAll(lines)
		assert.NilError(t, err)
		assert.Equal(t, w.Trailer.Get("Berylward-Outcome"), "done", string(rest))
		assert.Equal(t, answerText(t, first+string(rest)), standin.ExpectedAnswer("A year of ledgers", 100))
	})
}

// runningSidecar returns the name of the only sidecar that runs a request. It returns before any sidecar is killed: the
// entry resumes a stream within milliseconds, so a loop that kills while it asks for the status can also kill the
// sidecar that has taken the stream over.
func runningSidecar(t *testing.T, f *demo.Fleet) string {
	t.Helper()
	var running []string
	for name, s := range f.Sidecars {
		if s.Status().Running > 0 {
			running = append(running, name)
		}
	}
	assert.Equal(t, len(running), 1, "%v", running)
	return running[0]
}

// Guards against memory that stays reserved after a caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	withFleet(t, nil, func(f *demo.Fleet) {
		ctx, cancel := context.WithCancel(t.Context())
		const body = `{"model":"office-8b","prompt":"A year of ledgers","max_tokens":1500,"stream":true}`
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.EntryAddresses[0].String()+"/v1/completions", strings.NewReader(body))
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+schedulesKey)
		w, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_, err = bufio.NewReader(w.Body).ReadString('\n')
		assert.NilError(t, err)
		cancel()
		_ = w.Body.Close()
		waitFor(t, func() bool {
			used := int64(0)
			for _, s := range f.Sidecars {
				used += s.Status().MemoryUsed
			}
			for _, e := range f.Engines {
				used += int64(e.Load().Running)
			}
			return used == 0
		})
	})
}

// waitFor polls until the condition holds. The limit on the number of polls only ends a test that would hang.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	const polls = 6000
	for n := 0; !done(); n++ {
		if n == polls {
			t.Fatal("condition not met")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
