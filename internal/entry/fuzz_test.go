package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/pkg/site"
)

// Guards against a request body that makes the handler panic, or that passes the checks with a prompt or a token
// count out of range.
func FuzzCompletion(f *testing.F) {
	budget := body.NewBudget(0)
	for _, seed := range []string{
		`{"model":"m","prompt":"a","max_tokens":1}`, `{"model":"m:t","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`,
		`{"model":"m","prompt":["a"],"n":2}`, `{"max_completion_tokens":-1}`, `{"model":"m","prompt":"a","max_tokens":9223372036854775807}`, `[`, `null`,
	} {
		f.Add(seed, true)
		f.Add(seed, false)
	}
	snapshot := &site.Snapshot{Declarations: &site.Declarations{Models: map[string]site.Model{
		"m": {Name: "m", Adapters: []string{"t"}, BytesPerToken: 4, MaxPromptTokens: 100},
	}}}
	c := caller{workspace: site.Workspace{Name: "w", Models: []string{"m"}}, snapshot: snapshot}
	f.Fuzz(func(t *testing.T, text string, chat bool) {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(text))
		var target completion
		if readJSON(httptest.NewRecorder(), r, budget.NewBuffer(), &target) != nil {
			return
		}
		work, rejection := newPromptWork(&target, chat, c)
		if rejection != nil {
			if len(rejection.body()) == 0 {
				t.Fatal("rejection without a body")
			}
			return
		}
		if work.text == "" || work.tokens < 1 || work.tokens > 100 || work.maxTokens < 1 || work.maxTokens > maxMaxTokens {
			t.Fatalf("invalid request accepted: %+v", work)
		}
	})
}
