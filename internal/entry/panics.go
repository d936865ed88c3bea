package entry

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/go-faster/errors"
	"github.com/uptrace/bunrouter"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

// errPanic means that the goroutine of a request panicked because of a fault of the entry itself.
var errPanic = errors.New("panic in the goroutine of a request")

// headRecorder is a response of which it is known whether its head was written.
type headRecorder struct {
	http.ResponseWriter
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (h *headRecorder) WriteHeader(status int) {
	h.written = true
	h.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (h *headRecorder) Write(p []byte) (int, error) {
	h.written = true
	return h.ResponseWriter.Write(p)
}

// Unwrap returns the response for http.ResponseController.
func (h *headRecorder) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// recoverPanics is middleware that keeps a panic in one request from ending the process. The caller gets an unknown outcome, because
// the request may have run. If a part of the response was written, the connection is closed instead, so that it does not look complete.
func (e *Entry) recoverPanics(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) (err error) {
		recorder := &headRecorder{ResponseWriter: w}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			e.reportViolation("no-panics", fmt.Sprintf("%v\n%s", v, debug.Stack()))
			if recorder.written {
				panic(http.ErrAbortHandler)
			}
			clear(w.Header())
			failureOf(answer.Unknown{Reason: answer.ReasonInternal}).write(w)
		}()
		return next(recorder, r)
	}
}

// logPanic logs a panic in the goroutine of a request with its identifier, and passes it on. It must be deferred.
func (e *Entry) logPanic(r *request) {
	v := recover()
	if v == nil {
		return
	}
	e.metrics.Add("request-panics", 1)
	e.log.Error(errPanic, "request panicked", "id", r.id(), "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	panic(v)
}

// abandon ends an attempt whose goroutine panics: its worker is told to cancel it, and its load does not stay counted.
func (a *attempt) abandon() {
	a.peer.send(&link.Cancel{ID: link.WireID(a.id)})
	a.peer.entry.recordResult(a.id, attemptFailed{reason: answer.ReasonInternal, ran: true}, answer.Usage{})
}
