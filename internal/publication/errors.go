package publication

import "fmt"

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindFolder means that a folder could not be read or written, is not empty when it is written, or holds no valid
	// generation.
	KindFolder ErrorKind = "folder"
	// KindAddress means that the platform's address is not on loopback.
	KindAddress ErrorKind = "address"
	// KindPlatform means that the platform did not answer or refused a value.
	KindPlatform ErrorKind = "platform"
	// KindStale means that the platform holds the same generation with other content, or a newer one.
	KindStale ErrorKind = "stale"
)

// Error reports a generation that could not be read, written or published.
type Error struct {
	// Op is the operation that failed: read, write or publish.
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
