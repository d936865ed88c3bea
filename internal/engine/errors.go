package engine

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindNotSent means that the request was not sent, for example because no connection was established.
	KindNotSent ErrorKind = "refused"
	// KindRejected means that the engine answered with a status that it returns only before it runs a request.
	KindRejected ErrorKind = "rejected"
	// KindFenced means that the engine refused an order because it has seen a higher fencing number.
	KindFenced ErrorKind = "fenced"
	// KindMayHaveRun means that the request failed after it may have run.
	KindMayHaveRun ErrorKind = "broken"
	// KindMalformed means that the response does not follow the protocol; the request may have run.
	KindMalformed ErrorKind = "malformed"
	// KindTimeout means that the context's deadline passed after the request may have run.
	KindTimeout ErrorKind = "timeout"
)

// Error reports a failed call of an engine or a plain service.
type Error struct {
	// Op is the method and path of the call.
	Op   string
	Kind ErrorKind
	// Status is the HTTP status when one arrived, otherwise zero.
	Status int
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("engine: %s: %s: status %d: %v", e.Op, e.Kind, e.Status, e.Err)
	}
	return fmt.Sprintf("engine: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the error proves that the request did not run.
func (e *Error) NotRun() bool {
	switch e.Kind {
	case KindNotSent, KindRejected, KindFenced:
		return true
	case KindMayHaveRun, KindMalformed, KindTimeout:
		return false
	}
	return false
}

// NotRun reports whether err proves that the request did not run. Errors of other packages prove nothing.
func NotRun(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.NotRun()
}

// transportError classifies a failure of the HTTP round trip. connected reports whether the transport had a
// connection for the request. Without one, nothing was sent. With one, the request counts as sent, because the
// transport does not report how much of it was written.
func transportError(op string, connected bool, err error) *Error {
	kind := KindMayHaveRun
	var timeout interface{ Timeout() bool }
	switch {
	case !connected:
		kind = KindNotSent
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		kind = KindTimeout
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// statusKind classifies a status of the engine other than 2xx. The engine checks a request before running it and
// answers 4xx, 503 or 507 if the check fails. After it has started, it may answer with any other status. A conflict
// means that the stream's ID is already known, so an earlier request with this ID may have run.
func statusKind(status int) ErrorKind {
	switch {
	case status == http.StatusConflict:
		return KindMayHaveRun
	case status >= 400 && status < 500, status == http.StatusServiceUnavailable,
		status == http.StatusInsufficientStorage:
		return KindRejected
	}
	return KindMayHaveRun
}
