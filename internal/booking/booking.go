// Package booking implements at-most-once execution of calls that carry an idempotency key or a ticket. A Table decides
// whether a call may run at its worker now. It belongs to the backend goroutine of one sidecar: its methods take events
// and the time and return decisions, and it has no goroutine, clock, lock or socket of its own. When the set of owners
// changes, entries move between sidecars in Seal messages.
package booking

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/pkg/answer"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindService means that the table belongs to another service.
	KindService ErrorKind = "service"
	// KindNotServing means that the worker is out of service, is stopping or has not adopted an epoch yet.
	KindNotServing ErrorKind = "not-serving"
	// KindMalformed means that a message or a ticket is malformed.
	KindMalformed ErrorKind = "message"
	// KindConfig means that an option or a limit is out of range.
	KindConfig ErrorKind = "config"
)

// Error reports a rejected operation on a Table or a malformed message.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("booking: %s: %s: %v", e.Op, e.Kind, e.Err)
	}
	return fmt.Sprintf("booking: %s: %s", e.Op, e.Kind)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Worker is one declared worker of a service.
type Worker struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	// InService reports whether the worker may own keys.
	InService bool
	// Lost reports that operators have declared the worker destroyed. A lost worker owns no keys, and the outcome of
	// keys that it may have run is unknown.
	Lost bool
}

// Fingerprint identifies the body of a call. It has the size of suspect.Fingerprint.
type Fingerprint [16]byte

// Answer is the stored answer of a completed run.
type Answer struct {
	// Status is the HTTP status that the plain service answered with.
	Status int
	// ContentType is the media type of Body.
	ContentType string
	Body        []byte
}

func (a Answer) equal(b Answer) bool {
	return a.Status == b.Status && a.ContentType == b.ContentType && bytes.Equal(a.Body, b.Body)
}

// Call is one attempt to run a call at most once. It carries either a key or a ticket.
type Call struct {
	// Workspace scopes the key, so that two workspaces may use the same key.
	Workspace string
	// Key is the caller's Idempotency-Key, at most MaxKeyLength bytes of printable text.
	Key string
	// Fingerprint identifies the body; a repeat of the key with another body is rejected.
	Fingerprint Fingerprint
	// Ticket is the encoded ticket of a two-call booking, empty otherwise.
	Ticket string
	// Epoch is the sender's epoch. It lets the sidecar detect that it is behind the sender. Whether a call runs depends
	// on seals only, never on this field.
	Epoch uint64
}

// MaxKeyLength is the maximum length in bytes of a caller's key and of a workspace name. It bounds the table's memory.
const MaxKeyLength = 256

// EntryName returns the entry name for a key of a workspace. The table and the owner hash identify the key by this
// name.
func EntryName(workspace, key string) string { return workspace + "\x00" + key }

// callerKey returns the caller's key from an entry name.
func callerKey(name string) string { return name[strings.IndexByte(name, 0)+1:] }

// Decision is the table's answer to Offer. It is a sealed interface, implemented only by Run, Wait, Replay, Unknown and
// Reject.
//
//sumtype:decl
type Decision interface{ decision() }

// Run means that the caller runs the call now and then reports the result with Complete, Failed or NeverRan under this
// name.
type Run struct{ Name string }

// Wait means that the call is already running at this worker and the caller should wait for that run.
type Wait struct{ Name string }

// Replay carries the stored answer of the run.
type Replay struct{ Answer Answer }

// Unknown means that the outcome is unknown: the call may have run before and will not run now.
type Unknown struct{ Reason answer.Reason }

// Reject means that this attempt did not run and will not run.
type Reject struct {
	Reason answer.Reason
	// RetryAfter is how long the caller should wait before the next attempt; zero means unknown.
	RetryAfter time.Duration
	// Epoch is the table's epoch, which tells a sender with an older epoch that it is behind.
	Epoch uint64
}

func (Run) decision()     {}
func (Wait) decision()    {}
func (Replay) decision()  {}
func (Unknown) decision() {}
func (Reject) decision()  {}

// keyTime returns the creation time contained in a UUID version 7 key, or false for an opaque key, which is any other
// key.
func keyTime(name string) (time.Time, bool) {
	id, err := uuid.Parse(callerKey(name))
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms), true
}

func validKey(s string) bool {
	if len(s) > MaxKeyLength {
		return false
	}
	for i := range len(s) {
		if s[i] < 0x20 || s[i] == 0x7f {
			return false
		}
	}
	return true
}
