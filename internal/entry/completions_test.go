package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/pkg/answer"
)

// Guards against failures that tell callers the names of this program's types instead of those of JSON.
func TestTypeErrorMessages(t *testing.T) {
	tests := map[string]struct{ body, field, want string }{
		"text for an integer":    {`{"max_tokens":"many"}`, "max_tokens", `field "max_tokens": want integer, got string`},
		"number for text":        {`{"model":7}`, "model", `field "model": want string, got number`},
		"text for a boolean":     {`{"stream":"yes"}`, "stream", `field "stream": want boolean, got string`},
		"object for an array":    {`{"messages":{}}`, "messages", `field "messages": want array, got object`},
		"text for an object":     {`{"stream_options":"all"}`, "stream_options", `field "stream_options": want object, got string`},
		"text for a number":      {`{"temperature":"hot"}`, "temperature", `field "temperature": want number, got string`},
		"array for whole a body": {`[]`, "", `field "": want object, got array`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var target completion
			rejection := readJSON(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(tt.body)), body.NewBudget(0).NewBuffer(), &target)
			assert.Assert(t, rejection != nil)
			assert.Equal(t, rejection.field, tt.field)
			assert.Equal(t, rejection.message, tt.want)
		})
	}
}

// Guards against bodies of requests that together take more memory than the entry may use, and against a failure that does not
// tell the caller that the request was not run.
func TestReadBody(t *testing.T) {
	tests := map[string]struct {
		held   int64
		size   int
		status int
	}{
		"fits":                    {0, 100_000, 0},
		"too large":               {0, maxBody + 1, http.StatusRequestEntityTooLarge},
		"no memory":               {1_000_000, 100_000, http.StatusServiceUnavailable},
		"small, no room for more": {900_000, 100, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			budget := body.NewBudget(1 << 20)
			assert.NilError(t, budget.Reserve().Resize(min(tt.held, 60_000)))
			for held := int64(60_000); held < tt.held; held += 60_000 {
				assert.NilError(t, budget.Reserve().Resize(60_000))
			}
			r := httptest.NewRequest(http.MethodPost, "/v1/services/desk/book", strings.NewReader(strings.Repeat("a", tt.size)))
			buffer := budget.NewBuffer()
			rejection := readBody(httptest.NewRecorder(), r, buffer)
			assert.Equal(t, rejection != nil, tt.status != 0)
			if rejection == nil {
				assert.Equal(t, len(buffer.Bytes()), tt.size)
				return
			}
			assert.Equal(t, rejection.status(), tt.status)
			_, notRun := rejection.outcome.(answer.NotRun)
			assert.Assert(t, notRun)
		})
	}
}
