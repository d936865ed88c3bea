package gateway

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/dispatch"
)

// errPanic means that the goroutine of a request panicked because of a fault of the gateway itself.
var errPanic = errors.New("panic in the goroutine of a request")

// recoverPanic ends a request whose goroutine panics, and must be deferred. net/http would close the connection and log the panic
// without the request, whose load would stay with the planner. The request may have run. Its caller is told so unless a part of the
// response was sent; then its connection is closed.
func (q *request) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler { //nolint:errorlint // The handler panics with this very value.
		panic(v)
	}
	g := q.gateway
	g.metrics.count("request-panics")
	g.log.Error(errPanic, "request panicked", "request", q.req.ID, "panic", fmt.Sprint(v), "delivered", q.delivered, "stack", string(debug.Stack()))
	if a := q.attempt; a != nil {
		q.recordGivenUp(a)
		q.recordOutcome(a, dispatch.Abandoned{})
		q.endProbe(a)
	}
	q.cancelProbes()
	q.endHold()
	// The headers of a backend server's response do not belong to the failure.
	clear(q.response.Header())
	q.fail("panic")
	q.finish()
	if q.cut {
		panic(http.ErrAbortHandler)
	}
}

// locked runs fn with the gateway's lock held, which it releases also if fn panics. The other requests would wait for it for ever.
func (g *Gateway) locked(fn func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn()
}
