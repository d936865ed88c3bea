// Package backend sends requests to backend servers over pooled connections. Each call of Pool.Exchange sends the
// request at most once; the package never retries. A Pool owns its idle connections and is safe for concurrent use.
package backend

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindDial means that no connection could be opened, so nothing was sent.
	KindDial ErrorKind = "dial"
	// KindUnsent means that the connection failed before a byte of the request was written, or that the context was
	// canceled during the dial.
	KindUnsent ErrorKind = "unsent"
	// KindConnectionLost means that the connection failed after at least a part of the request was written, that the
	// response is not valid HTTP, or that a stream ended within an event.
	KindConnectionLost ErrorKind = "broken"
	// KindTimeout means that no response arrived in time.
	KindTimeout ErrorKind = "silent"
	// KindMalformed means that the backend server sent the response to another request, a response with a status that no
	// answer can have, or a stream with an invalid event.
	KindMalformed ErrorKind = "malformed"
	// KindCanceled means that the context was canceled after the connection was opened.
	KindCanceled ErrorKind = "canceled"
)

// Error reports a failed exchange with a backend server.
type Error struct {
	Op   string
	Kind ErrorKind
	// Reused reports whether the connection had carried an earlier exchange.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("backend: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refused reports whether a dial failed because nothing listens at the address.
func (e *Error) Refused() bool { return e.Kind == KindDial && errors.Is(e.Err, syscall.ECONNREFUSED) }

// LacksDescriptors reports whether a dial failed because this process or the system has no file descriptor left, which says nothing
// about the backend server.
func (e *Error) LacksDescriptors() bool { return e.Kind == KindDial && lacksDescriptors(e.Err) }

func lacksDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Sent reports whether the backend server may have received the request.
func (e *Error) Sent() bool { return e.Kind != KindDial && e.Kind != KindUnsent }
