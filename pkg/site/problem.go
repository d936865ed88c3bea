package site

import (
	"fmt"
	"strings"
)

// Position is a place in a declaration file. The zero value means that the place is unknown.
type Position struct {
	File string
	// Line and Column count from 1.
	Line, Column int
}

// String returns file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Problem is one fault in declarations.
type Problem struct {
	// Position is where the value was declared. It is zero if the declarations were decoded from shards.
	Position Position
	// Path is the dotted path of the value, such as models.office-8b.memory-tokens.
	Path string
	// Found describes the value that was found.
	Found string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Position.File != "" {
		fmt.Fprintf(&b, "%s: ", p.Position)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	fmt.Fprintf(&b, "found %s; allowed: %s", p.Found, p.Allowed)
	return b.String()
}

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindInvalid means that the declarations or the shards break a rule. Error.Problems lists the violations.
	KindInvalid ErrorKind = "invalid"
	// KindUnreadable means that a file could not be read.
	KindUnreadable ErrorKind = "unreadable"
	// KindTooLarge means that a part does not fit into one shard or into the maximum number of shards, or that an
	// encoded manifest is larger than MaxShardBytes.
	KindTooLarge ErrorKind = "too-large"
	// KindUnknownPath means that Explain was called with a path that is not declared.
	KindUnknownPath ErrorKind = "unknown-path"
	// KindEncoding means that a value could not be encoded or a manifest could not be decoded.
	KindEncoding ErrorKind = "encoding"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed: load, render, decode, explain or schema.
	Op   string
	Kind ErrorKind
	// Problems lists all faults. It is empty for kinds other than KindInvalid.
	Problems []Problem
	// Err is the cause, or nil.
	Err error
}

// Error returns the operation and the kind, followed by one line for each problem.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Op, e.Kind)
	if e.Err != nil {
		fmt.Fprintf(&b, ": %v", e.Err)
	}
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %s", p)
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
