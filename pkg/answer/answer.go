// Package answer defines the types that describe the answer to one request: its identifier, its outcome, and the
// ordered pieces that it is assembled from. The types are independent of any encoding and connection. An Assembler
// belongs to the goroutine that serves the request.
package answer

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// ID identifies one attempt of one request. It is unique across entry processes and their restarts, because each start
// of an entry process generates a new incarnation.
type ID struct {
	// Incarnation is random and generated at each start of the entry process.
	Incarnation uuid.UUID
	// Sequence counts the requests of this incarnation, from 1.
	Sequence uint64
	// Attempt counts the attempts of this request, from 1.
	Attempt uint32
}

// String returns the identifier in the form incarnation/sequence/attempt.
func (id ID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Incarnation, id.Sequence, id.Attempt)
}

// Reason is the kebab-case reason for which a request was refused or failed.
type Reason string

// The reasons for refusals and failures. Callers see them as the kind of an error.
const (
	ReasonBadRequest      Reason = "bad-request"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonUnknownModel    Reason = "unknown-model"
	ReasonUnknownService  Reason = "unknown-service"
	ReasonNotServed       Reason = "not-served"
	ReasonTooLarge        Reason = "too-large"
	ReasonRateLimited     Reason = "rate-limited"
	ReasonOverloaded      Reason = "overloaded"
	ReasonDeadline        Reason = "deadline"
	ReasonDraining        Reason = "draining"
	ReasonStopping        Reason = "stopping"
	ReasonEntryStopping   Reason = "entry-stopping"
	ReasonNoWorker        Reason = "no-worker"
	ReasonNotReady        Reason = "not-ready"
	ReasonBackendFailed   Reason = "backend-failed"
	ReasonBackendRejected Reason = "backend-rejected"
	ReasonLinkLost        Reason = "link-lost"
	ReasonCancelled       Reason = "cancelled"
	ReasonQuarantined     Reason = "quarantined"
	ReasonOwnerUnsure     Reason = "owner-unsure"
	ReasonKeyTooOld       Reason = "key-too-old"
	ReasonKeyMismatch     Reason = "key-mismatch"
	ReasonTableFull       Reason = "table-full"
	ReasonBrokenAnswer    Reason = "broken-answer"
	ReasonInternal        Reason = "internal"
)

// Outcome is what is known about a request that has ended. It is a sealed interface: Done, NotRun and Unknown are its
// only implementations.
type Outcome interface{ outcome() }

// Done means that the request ran and its complete answer was delivered.
type Done struct {
	// Length is the length of the answer in bytes.
	Length int64
	// Digest is the xxhash64 digest of the answer.
	Digest uint64
}

// NotRun means that the request did not run and never will under this identifier.
type NotRun struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before it sends the request again. Zero means that the time is
	// unknown.
	RetryAfter time.Duration
}

// Unknown means that the request ran in part or may have run.
type Unknown struct{ Reason Reason }

func (Done) outcome()    {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

// OutcomeName returns the value of the Berylward-Outcome header for an outcome.
func OutcomeName(o Outcome) string {
	switch o.(type) {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "unknown"
}

// IsFinalStatus reports whether an HTTP status can be that of a complete answer: 200 to 599. Lower ones are interim or invalid, and
// higher ones invalid (RFC 9110, section 15). net/http reads all statuses of three digits, but cannot write those below 100.
func IsFinalStatus(status int) bool { return status >= 200 && status < 600 }

// Usage is the token usage that the engine reported for a request.
type Usage struct {
	PromptTokens    int64
	CachedTokens    int64
	GeneratedTokens int64
}
