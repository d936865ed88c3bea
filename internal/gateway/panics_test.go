package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/platform"
)

// panickingProtocol panics for paths that name one of its methods.
type panickingProtocol struct{ platform.Protocol }

func (p panickingProtocol) EncodeAttempt(c *gateway.CallerRequest, body []byte, a gateway.Attempt) *http.Request {
	if strings.HasSuffix(c.Path, "/encode") {
		panic("encode")
	}
	return p.Protocol.EncodeAttempt(c, body, a)
}

func (p panickingProtocol) CopyHeaders(to http.Header, resp *http.Response) {
	p.Protocol.CopyHeaders(to, resp)
	if strings.HasSuffix(resp.Request.URL.Opaque, "/copy") {
		panic("copy")
	}
}

// Guards against a panic in the goroutine of a request that leaves its load, its place or its memory counted, that nobody can find by
// the request's identifier, and that closes the caller's connection without an answer.
func TestPanics(t *testing.T) {
	prompt := func(c *gateway.CallerRequest) {
		c.Timeout, c.Prompt = 15*time.Second, &gateway.Prompt{Tokens: 400000, MaxOutputTokens: 500}
	}
	cases := map[string]struct {
		path   string
		modify func(*gateway.CallerRequest)
	}{
		"booking":         {"/book", nil},
		"look-up":         {"/look", nil},
		"stream":          {"/draft", nil},
		"reserved memory": {"/review", prompt},
	}
	for name, tc := range cases {
		for _, where := range []string{"encode", "copy"} {
			t.Run(name+", "+where, func(t *testing.T) {
				out := &logBuffer{}
				logs, err := telemetry.NewLogs(out, "")
				assert.NilError(t, err)
				prepare := func(h *harness) { h.protocol = panickingProtocol{} }
				withPreparedHarness(t, prepare, func(h *harness) {
					for range 6 {
						got := h.call(http.MethodPost, tc.path+"/"+where, tc.modify)
						assert.Check(t, got.Status == http.StatusBadGateway && !got.Signed, "status %d", got.Status)
						messages := map[string]int{}
						for _, line := range out.linesFor(t, got.id) {
							messages[line["msg"].(string)]++
						}
						assert.Check(t, messages["request panicked"] == 1 && messages["request ended"] == 1, "%v", messages)
					}
					time.Sleep(time.Second)
					assert.Check(t, h.gateway.Status().Panics == 6 && h.gateway.Status().Reserving == 0, "%+v", h.gateway.Status())
					for _, b := range h.backends {
						assert.Check(t, b.Reserved() == 0, "%s has %d tokens reserved", b.Server.ID, b.Reserved())
					}
					got := h.call(http.MethodPost, tc.path+"/a", tc.modify)
					out.checkNoLoad(t, got)
				}, gateway.WithLogger(logs.Logger("gateway")))
			})
		}
	}
}

// checkNoLoad checks that a request succeeded and that no load was counted at its backend server when it was sent.
func (b *logBuffer) checkNoLoad(t *testing.T, got result) {
	assert.Check(t, got.Status == http.StatusOK, "status %d", got.Status)
	for _, line := range b.linesFor(t, got.id) {
		if line["msg"] == "sent" {
			assert.Check(t, line["short"] == 0.0 && line["long"] == 0.0, "%v", line)
		}
	}
}
