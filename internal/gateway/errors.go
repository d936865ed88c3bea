package gateway

import "fmt"

// ErrorKind classifies an Error of this package.
type ErrorKind string

// KindListen means that listening on an address failed.
const KindListen ErrorKind = "listen"

// Error reports why a gateway could not start.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("gateway: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
