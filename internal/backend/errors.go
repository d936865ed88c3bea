// Package backend keeps connections to backend servers and makes exactly one exchange for each call of Pool.Exchange: it
// never sends a request twice by itself. A Pool owns its idle connections and may be shared.
package backend

import "fmt"

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindDial means that no connection came about, so nothing was sent.
	KindDial ErrorKind = "dial"
	// KindUnsent means that the connection failed before a byte of the request was written.
	KindUnsent ErrorKind = "unsent"
	// KindBroken means that the connection ended after the request was written at least in part.
	KindBroken ErrorKind = "broken"
	// KindSilent means that nothing came in time.
	KindSilent ErrorKind = "silent"
	// KindMalformed means that the backend server sent something that is no answer, or the answer to another request.
	KindMalformed ErrorKind = "malformed"
	// KindCanceled means that the caller of Exchange gave up.
	KindCanceled ErrorKind = "canceled"
)

// Error reports a failed exchange with a backend server.
type Error struct {
	Op   string
	Kind ErrorKind
	// Reused says that the connection had carried an earlier exchange.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("backend: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Sent says whether the backend server may have received the request.
func (e *Error) Sent() bool { return e.Kind != KindDial && e.Kind != KindUnsent }
