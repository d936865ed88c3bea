package dispatch

import (
	"time"

	"berylward.example/berylward/internal/roster"
)

// Placement is the decision on where a request goes. It is a sealed interface: Send, JointPrefill, Hold and NoPlacement
// are its only implementations.
//
//sumtype:decl
type Placement interface{ placement() }

// Send means that the request goes to one backend server.
type Send struct {
	Server *roster.Server
	// Expected is the predicted time to the first event.
	Expected time.Duration
	// Seen is the load of the backend server from all gateways, without this request.
	Seen Load
}

// JointPrefill means that several engines prefill a prompt together. Servers[0] receives the request and generates the
// answer.
type JointPrefill struct {
	Servers []*roster.Server
	// PartTime is the prefill time of each engine.
	PartTime time.Duration
	// Reserved means that memory for the prompt must first be reserved at each engine.
	Reserved bool
	Expected time.Duration
	// Seen is the load of Servers[0] from all gateways, without this request.
	Seen Load
}

// HoldReason says why a request is held.
type HoldReason string

// The reasons why a request is held.
const (
	// HoldLate means that the turn of a long prompt has come, and that its first event would be late, so it waits until its
	// engines have little before them.
	HoldLate HoldReason = "late"
	// HoldTurn means that the turn of a long prompt has not come yet.
	HoldTurn HoldReason = "turn"
	// HoldShort means that all engines with memory for the prompt have short requests.
	HoldShort HoldReason = "short-requests"
	// HoldMemory means that no set of engines has memory for the prompt.
	HoldMemory HoldReason = "memory"
	// HoldBusy means that all backend servers that may be used want no requests for a time.
	HoldBusy HoldReason = "busy"
)

// Hold means that the request is not sent yet. It must be placed again after Delay.
type Hold struct {
	Reason HoldReason
	Delay  time.Duration
	// MeanPending is the mean pending prefill of the engines.
	MeanPending time.Duration
	// Expected is the predicted time to the first event if the request were sent now.
	Expected time.Duration
	// Queue is the place of a long prompt among those that wait for their turn.
	Queue QueueView
}

// Reason says why a request cannot be placed.
type Reason string

// The reasons why a request cannot be placed.
const (
	// NoServer means that no backend server of the service accepts new requests.
	NoServer Reason = "no-server"
	// AllTried means that every backend server has been tried or has refused the request.
	AllTried Reason = "all-tried"
	// AllCold means that all remaining backend servers are cold and have reached their rate limit.
	AllCold Reason = "all-cold"
	// AllBusy means that all remaining backend servers want no requests until it is too late for this one.
	AllBusy Reason = "all-busy"
	// Overloaded means that the request cannot be served before its deadline.
	Overloaded Reason = "overloaded"
	// NoMemory means that engines will probably not have memory for the request in time.
	NoMemory Reason = "no-memory"
	// EndsTooLate means that the answer would probably not be complete before the gateway ends.
	EndsTooLate Reason = "ends-too-late"
	// TooLarge means that the prompt needs more memory than the engines of one joint prefill have together.
	TooLarge Reason = "too-large"
)

// NoPlacement means that the request cannot be placed now.
type NoPlacement struct {
	Reason Reason
	// RetryAfter is the time after which the caller may try again.
	RetryAfter time.Duration
	// Queue is the place of a long prompt among those that wait for their turn.
	Queue QueueView
}

// QueueView is the place of a long prompt among those that wait for their turn as its gateway saw it, for logs.
type QueueView struct {
	// Ahead is the prefill that goes first, Allowed the prefill ahead up to which it is the prompt's turn.
	Ahead, Allowed time.Duration
	// Wait is the predicted time until then.
	Wait time.Duration
}

func (Send) placement()         {}
func (JointPrefill) placement() {}
func (Hold) placement()         {}
func (NoPlacement) placement()  {}
