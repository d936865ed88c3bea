package prompt

import (
	"time"

	"berylward.example/berylward/pkg/answer"
)

// Request describes one request to the scheduler.
type Request struct {
	ID        answer.ID
	Workspace string
	// Priority is the declared priority from 0 to 1000. It raises the engine priority within the request's class.
	Priority int
	// Weight is the declared weight of the workspace in fair queueing within the class; values below 1 count as 1.
	Weight int
	// PromptTokens and CachedTokens are estimates. Their difference determines the class.
	PromptTokens, CachedTokens int64
	// MaxTokens is the largest number of tokens that may be generated.
	MaxTokens int64
	Deadline  time.Time
}

// Uncached returns the number of prompt tokens that the engine must prefill.
func (r Request) Uncached() int64 { return max(r.PromptTokens-r.CachedTokens, 0) }

// Lease permits its holder to send one request to the engine until a time on the sidecar's clock.
type Lease struct {
	ID    answer.ID
	Until time.Time
	Class Class
	// Priority is the engine priority; the engine prefers higher values.
	Priority int
}

// AdmissionDecision is the answer to an offer. It is a sealed interface: Grant, Queued and Refuse are its only
// implementations.
//
//sumtype:decl
type AdmissionDecision interface{ decision() }

// Grant means that the request may run now. The owner calls Begin before it sends the request to the engine.
type Grant struct{ Lease Lease }

// Queued means that the request was queued.
type Queued struct {
	// Position is the queue position: the number of requests ahead of this one.
	Position int
	// Start is the predicted time at which the request starts.
	Start time.Time
}

// Refuse means that the request did not run and never will under this identifier.
type Refuse struct {
	Reason answer.Reason
	// RetryAfter is the predicted time until the same request would be admitted. Zero means unknown.
	RetryAfter time.Duration
}

func (Grant) decision()  {}
func (Queued) decision() {}
func (Refuse) decision() {}

// Action is an instruction to the owner. It is a sealed interface: Start, Suspend, Resume and Expire are its only
// implementations.
//
//sumtype:decl
type Action interface{ action() }

// Start grants a queued request.
type Start struct{ Lease Lease }

// Suspend pauses a running prefill in the engine. Its memory stays reserved.
type Suspend struct{ ID answer.ID }

// Resume continues a suspended prefill.
type Resume struct{ ID answer.ID }

// Expire ends a request. With the outcome NotRun the request never began and has a tombstone. With Unknown the owner
// must cancel its stream and then call Finished. After EngineFailed neither is needed.
type Expire struct {
	ID      answer.ID
	Outcome answer.Outcome
}

func (Start) action()   {}
func (Suspend) action() {}
func (Resume) action()  {}
func (Expire) action()  {}

// Cancellation says what is known about a cancelled request. It is a sealed interface: CancelledNotRun,
// CancelledRunning and CancelledUnknown are its only implementations.
//
//sumtype:decl
type Cancellation interface{ cancellation() }

// CancelledNotRun means that the request did not run and has a tombstone.
type CancelledNotRun struct{}

// CancelledRunning means that the owner must cancel the stream and then call Finished.
type CancelledRunning struct{}

// CancelledUnknown means that the request may have run and that no tombstone was recorded.
type CancelledUnknown struct{}

func (CancelledNotRun) cancellation()  {}
func (CancelledRunning) cancellation() {}
func (CancelledUnknown) cancellation() {}

// ProgressReport is the engine's progress report for one running request.
type ProgressReport struct {
	// Prefilled is the number of uncached prompt tokens prefilled so far. A value of Generated above zero implies a
	// complete prefill.
	Prefilled int64
	Generated int64
}

// FinishReport describes how a begun request ended.
type FinishReport struct {
	// Complete is set when the engine completed the answer. The window grows only then.
	Complete bool
	// Generated is the number of generated tokens that the engine reported, or zero if it reported none.
	Generated int64
}
