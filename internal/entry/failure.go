package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"berylward.example/berylward/pkg/answer"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindListen means that the listener for callers failed.
	KindListen ErrorKind = "listen"
	// KindOption means that a required option is missing.
	KindOption ErrorKind = "option"
	// KindRequest means that a call cannot be served as requested, for example because its answer is too large.
	KindRequest ErrorKind = "request"
)

// Error reports a failure of the entry process or of a request.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("entry: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// failure describes to the caller why a request has no complete answer.
type failure struct {
	reason     answer.Reason
	message    string
	field      string
	outcome    answer.Outcome
	retryAfter time.Duration
}

// newRejection returns the failure of a request that was rejected before it left the entry.
func newRejection(reason answer.Reason, field, format string, args ...any) *failure {
	return &failure{
		reason:  reason,
		message: fmt.Sprintf(format, args...),
		field:   field,
		outcome: answer.NotRun{Reason: reason},
	}
}

// failureOf returns the failure that describes an outcome, or nil for a complete answer.
func failureOf(o answer.Outcome) *failure {
	switch o := o.(type) {
	case answer.Done:
		return nil
	case answer.NotRun:
		return &failure{reason: o.Reason, message: describe(o.Reason) + "; the request was not run", outcome: o, retryAfter: o.RetryAfter}
	case answer.Unknown:
		return &failure{reason: o.Reason, message: describe(o.Reason) + "; the request may have run", outcome: o}
	}
	return &failure{reason: answer.ReasonInternal, message: "no outcome", outcome: answer.Unknown{Reason: answer.ReasonInternal}}
}

var descriptions = map[answer.Reason]string{
	answer.ReasonOverloaded:      "no backend server has room for the request in time",
	answer.ReasonDeadline:        "the request cannot end before its deadline",
	answer.ReasonDraining:        "the backend server takes no new work",
	answer.ReasonStopping:        "the booking worker that owns the key is being restarted; send the booking again with a new key",
	answer.ReasonEntryStopping:   "the entry is stopping",
	answer.ReasonNoWorker:        "no backend server in service can take the request",
	answer.ReasonNotReady:        "the entry or the worker does not have the configuration for the request yet",
	answer.ReasonBackendFailed:   "the backend server failed",
	answer.ReasonBackendRejected: "the backend server rejected the request",
	answer.ReasonLinkLost:        "the connection to the sidecar was lost",
	answer.ReasonCancelled:       "the request was cancelled",
	answer.ReasonQuarantined:     "backend servers failed while they ran this request; it is refused for a time",
	answer.ReasonOwnerUnsure:     "the outcome of an earlier call with this key is not known",
	answer.ReasonKeyTooOld:       "the key is older than the time for which keys are kept",
	answer.ReasonKeyMismatch:     "the key was used before with another request",
	answer.ReasonTableFull:       "the booking worker holds as many keys as it can",
	answer.ReasonBrokenAnswer:    "the answer did not arrive whole",
	answer.ReasonRateLimited:     "the workspace is over its rate",
	answer.ReasonTooLarge:        "the request is too large",
	answer.ReasonNotServed:       "this site does not serve the request",
}

func describe(reason answer.Reason) string {
	if text, ok := descriptions[reason]; ok {
		return text
	}
	return string(reason)
}

var statuses = map[answer.Reason]int{
	answer.ReasonBadRequest:      http.StatusBadRequest,
	answer.ReasonUnauthorized:    http.StatusUnauthorized,
	answer.ReasonUnknownModel:    http.StatusNotFound,
	answer.ReasonUnknownService:  http.StatusNotFound,
	answer.ReasonNotServed:       http.StatusForbidden,
	answer.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	answer.ReasonRateLimited:     http.StatusTooManyRequests,
	answer.ReasonDeadline:        http.StatusGatewayTimeout,
	answer.ReasonBackendFailed:   http.StatusBadGateway,
	answer.ReasonBackendRejected: http.StatusBadGateway,
	answer.ReasonLinkLost:        http.StatusBadGateway,
	answer.ReasonBrokenAnswer:    http.StatusBadGateway,
	answer.ReasonOwnerUnsure:     http.StatusConflict,
	answer.ReasonKeyTooOld:       http.StatusConflict,
	answer.ReasonKeyMismatch:     http.StatusUnprocessableEntity,
	answer.ReasonQuarantined:     http.StatusUnprocessableEntity,
	answer.ReasonInternal:        http.StatusInternalServerError,
}

func (f *failure) status() int {
	if status, ok := statuses[f.reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// body returns the failure as JSON. The fields message, type, param and code are those of the OpenAI API; kind,
// outcome and retry-after are specific to berylward.
func (f *failure) body() []byte {
	errorType := "server_error"
	if f.status() < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	text, err := json.Marshal(struct {
		Error any `json:"error"`
	}{struct {
		Kind       answer.Reason `json:"kind"`
		Message    string        `json:"message"`
		Outcome    string        `json:"outcome"`
		RetryAfter string        `json:"retry-after,omitempty"`
		Type       string        `json:"type"`
		Param      string        `json:"param,omitempty"`
		Code       answer.Reason `json:"code"`
	}{f.reason, f.message, answer.OutcomeName(f.outcome), formatRetryAfter(f.retryAfter), errorType, f.field, f.reason}})
	if err != nil {
		return []byte(`{"error":{"kind":"internal","message":"the error could not be encoded","outcome":"unknown"}}`)
	}
	return text
}

func formatRetryAfter(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return d.Round(time.Millisecond).String()
}

// write sends the failure as a complete response.
func (f *failure) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcomeHeader, answer.OutcomeName(f.outcome))
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	w.WriteHeader(f.status())
	_, _ = w.Write(append(f.body(), '\n'))
}
