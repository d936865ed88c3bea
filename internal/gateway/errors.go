package gateway

import "fmt"

// ErrorKind classifies an Error of this package.
type ErrorKind string

// KindListen means that an address could not be listened on.
const KindListen ErrorKind = "listen"

// Error reports a gateway that cannot start.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("gateway: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
