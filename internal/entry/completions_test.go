package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
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
			var body completion
			rejection := readJSON(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(tt.body)), &body)
			assert.Assert(t, rejection != nil)
			assert.Equal(t, rejection.field, tt.field)
			assert.Equal(t, rejection.message, tt.want)
		})
	}
}
