package entry

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uptrace/bunrouter"
	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/pkg/answer"
)

// panickingClock panics when it is asked for the time, once.
type panickingClock struct {
	clock.RealClock
	asked atomic.Bool
}

func (c *panickingClock) Now() time.Time {
	if !c.asked.Swap(true) {
		panic("clock")
	}
	return c.RealClock.Now()
}

func newPanickingEntry(c clock.WithTicker) *Entry {
	return &Entry{
		clock: c, metrics: new(expvar.Map).Init(), waiting: body.NewBudget(0), viewChanged: make(chan struct{}),
		view: fleet.NewView(fleet.Instance{}, rand.NewPCG(1, 2)), tracer: telemetry.DiscardTraces().Tracer(telemetry.TracerName),
	}
}

// Guards against an answer that looks complete although the entry panicked in the midst of it, and against a caller that gets no
// answer, or headers of another one.
func TestPanicsInHandlers(t *testing.T) {
	cases := map[string]struct {
		before string // what was written before the panic
		status int
	}{
		"before the answer": {"", http.StatusInternalServerError},
		"within the answer": {"part", http.StatusOK},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newPanickingEntry(clock.RealClock{})
			router := bunrouter.New(bunrouter.Use(e.recoverPanics))
			router.GET("/", func(w http.ResponseWriter, _ bunrouter.Request) error {
				w.Header().Set("Location", "elsewhere")
				if tc.before != "" {
					_, _ = io.WriteString(w, tc.before)
					_ = http.NewResponseController(w).Flush()
				}
				panic("handler")
			})
			server := httptest.NewServer(router)
			defer server.Close()
			resp, err := server.Client().Get(server.URL + "/")
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			text, err := io.ReadAll(resp.Body)
			assert.Equal(t, resp.StatusCode, tc.status)
			if tc.before != "" {
				assert.Assert(t, err != nil && string(text) == tc.before, "%q, %v", text, err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, resp.Header.Get("Location"), "")
			assert.Equal(t, resp.Header.Get(outcomeHeader), "unknown")
		})
	}
}

// Guards against a panic that cannot be found by its request, and against an attempt whose load stays counted after a panic.
func TestPanicsOfRequests(t *testing.T) {
	e := newPanickingEntry(&panickingClock{})
	var out bytes.Buffer
	logs, err := telemetry.NewLogs(&out, "")
	assert.NilError(t, err)
	e.log = logs.Logger("entry")
	r, changed := &request{entry: e, sequence: 7, work: &callWork{}}, e.viewChanged
	run := func(fn func()) {
		defer func() { assert.Assert(t, recover() != nil) }()
		fn()
	}
	run(func() {
		e.runAttempt(context.Background(), r, &peer{entry: e}, answer.ID{Sequence: 7, Attempt: 1}, discardSink{})
	})
	select {
	case <-changed:
	default:
		t.Error("the attempt was not recorded as ended")
	}
	run(func() { e.runRequest(context.Background(), r, discardSink{}) }) // without a retry budget
	assert.Assert(t, strings.Contains(out.String(), r.id()) && strings.Contains(out.String(), "request panicked"), out.String())
	assert.Equal(t, e.metrics.Get("request-panics").String(), "1")
}
