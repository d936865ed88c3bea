package body

import "fmt"

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindNoMemory means that the budget has no room for the body now.
	KindNoMemory ErrorKind = "no-memory"
	// KindTooLarge means that the body is larger than its own limit.
	KindTooLarge ErrorKind = "too-large"
)

// Error reports a body that cannot be held.
type Error struct {
	Op   string
	Kind ErrorKind
	// Size is the size in bytes that the body would have taken, Limit the limit that it exceeds.
	Size, Limit int64
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("body: %s: %s: %d bytes, limit %d", e.Op, e.Kind, e.Size, e.Limit)
}
