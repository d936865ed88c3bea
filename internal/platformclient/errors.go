package platformclient

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
	// KindNotFound means that the service has no value with this name.
	KindNotFound ErrorKind = "absent"
	// KindRateLimited means that the service refused the call because of its rate limit.
	KindRateLimited ErrorKind = "limited"
	// KindUnavailable means that the service could not be reached or failed.
	KindUnavailable ErrorKind = "unavailable"
	// KindTimeout means that the service did not answer in time.
	KindTimeout ErrorKind = "timeout"
	// KindMalformed means that the response does not follow the protocol.
	KindMalformed ErrorKind = "malformed"
)

// Error reports a failed read.
type Error struct {
	Op   string
	Kind ErrorKind
	// Status is the HTTP status when one arrived, otherwise zero.
	Status int
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("platform: %s: %s: status %d: %v", e.Op, e.Kind, e.Status, e.Err)
	}
	return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

func transportError(op string, err error) *Error {
	kind := KindUnavailable
	var timeout interface{ Timeout() bool }
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		kind = KindTimeout
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

func statusKind(status int) ErrorKind {
	switch status {
	case http.StatusNotFound:
		return KindNotFound
	case http.StatusTooManyRequests:
		return KindRateLimited
	}
	return KindUnavailable
}
