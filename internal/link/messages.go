package link

import (
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/pkg/answer"
)

// ProtocolVersion is the protocol version. The handshake rejects peers with another version.
const ProtocolVersion = 1

// Message is a message between two processes. It is a sealed interface, implemented only by the types in messages.go,
// control.go and group.go and by the internal flushMarker and trackedMessage.
type Message interface{ message() }

// ID is the wire form of answer.ID.
type ID struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uuid.UUID
	Sequence    uint64
	Attempt     uint32
}

// WireID returns the wire form of id.
func WireID(id answer.ID) ID {
	return ID{Incarnation: id.Incarnation, Sequence: id.Sequence, Attempt: id.Attempt}
}

// AnswerID returns the identifier as an answer.ID.
func (id ID) AnswerID() answer.ID {
	return answer.ID{Incarnation: id.Incarnation, Sequence: id.Sequence, Attempt: id.Attempt}
}

// Offer asks a sidecar to run a request. Exactly one of Prompt and Call is set.
type Offer struct {
	ID ID `cbor:"id"`
	// Remaining is the time left until the deadline. A duration avoids comparing the clocks of two machines.
	Remaining   time.Duration     `cbor:"remaining"`
	Workspace   string            `cbor:"workspace"`
	Priority    int               `cbor:"priority"`
	Weight      int               `cbor:"weight,omitempty"`
	Fingerprint []byte            `cbor:"fingerprint"`
	Trace       map[string]string `cbor:"trace,omitempty"`
	Prompt      *PromptBody       `cbor:"prompt,omitempty"`
	Call        *CallBody         `cbor:"call,omitempty"`
}

// PromptBody is the content of a model request.
type PromptBody struct {
	Model   string `cbor:"model"`
	Adapter string `cbor:"adapter,omitempty"`
	Text    string `cbor:"text"`
	// Tokens is the estimated length of Text in tokens.
	Tokens int64 `cbor:"tokens"`
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int64 `cbor:"max-tokens"`
	// Delivered is the part of the answer that the caller has already received. Generation continues after it.
	Delivered string   `cbor:"delivered,omitempty"`
	Prefixes  []uint64 `cbor:"prefixes,omitempty"`
	// Parameters is a JSON object with the sampling parameters for the engine.
	Parameters []byte `cbor:"parameters,omitempty"`
}

// CallBody is the content of a plain service request.
type CallBody struct {
	Service    string              `cbor:"service"`
	Method     string              `cbor:"method"`
	Path       string              `cbor:"path"`
	Header     map[string][]string `cbor:"header,omitempty"`
	Body       []byte              `cbor:"body,omitempty"`
	Idempotent bool                `cbor:"idempotent"`
	Key        string              `cbor:"key,omitempty"`
	Ticket     string              `cbor:"ticket,omitempty"`
	// Epoch is the ownership epoch in which the sender determined the owner of Key.
	Epoch uint64 `cbor:"epoch,omitempty"`
}

// Granted reports that the request is admitted. The lease must be used before it expires.
type Granted struct {
	ID    ID            `cbor:"id"`
	Lease time.Duration `cbor:"lease"`
}

// Queued reports that the request waits for admission at the sidecar.
type Queued struct {
	ID           ID            `cbor:"id"`
	Position     int           `cbor:"place"`
	ExpectedWait time.Duration `cbor:"start"`
}

// Refused reports that the attempt did not run and never will.
type Refused struct {
	ID         ID            `cbor:"id"`
	Reason     answer.Reason `cbor:"reason"`
	RetryAfter time.Duration `cbor:"retry-after"`
	// Fullness is the fraction of the backend server's memory in use, 0 to 1.
	Fullness float64 `cbor:"fullness"`
}

// Head carries the status and the headers of a plain service's response.
type Head struct {
	ID     ID                  `cbor:"id"`
	Status int                 `cbor:"status"`
	Header map[string][]string `cbor:"header"`
}

// Piece carries the part of the answer that starts at byte Offset.
type Piece struct {
	ID     ID     `cbor:"id"`
	Offset int64  `cbor:"offset"`
	Data   []byte `cbor:"data"`
	Tokens int64  `cbor:"tokens,omitempty"`
}

// End completes an answer. Length is in bytes. Digest is the xxhash64 digest of the whole answer of this attempt.
type End struct {
	ID              ID     `cbor:"id"`
	Length          int64  `cbor:"length"`
	Digest          uint64 `cbor:"digest"`
	PromptTokens    int64  `cbor:"prompt-tokens"`
	CachedTokens    int64  `cbor:"cached-tokens"`
	GeneratedTokens int64  `cbor:"generated-tokens"`
}

// Failed ends an attempt that ran or may have run.
type Failed struct {
	ID     ID            `cbor:"id"`
	Reason answer.Reason `cbor:"reason"`
	// Crashed reports that the backend server failed while it ran the request.
	Crashed bool `cbor:"crashed,omitempty"`
}

// Cancel asks the sidecar to stop an attempt.
type Cancel struct {
	ID ID `cbor:"id"`
}

// Cancelled answers a Cancel. Ran is false only if the sidecar holds a tombstone for the attempt, a record that it did
// not run and never will.
type Cancelled struct {
	ID  ID   `cbor:"id"`
	Ran bool `cbor:"ran"`
}

// Resume attaches a running attempt to the connection on which it arrives, after the previous connection was lost.
// Piece messages are sent again from byte Offset.
type Resume struct {
	ID     ID    `cbor:"id"`
	Offset int64 `cbor:"offset"`
}

func (*Offer) message()     {}
func (*Granted) message()   {}
func (*Queued) message()    {}
func (*Refused) message()   {}
func (*Head) message()      {}
func (*Piece) message()     {}
func (*End) message()       {}
func (*Failed) message()    {}
func (*Cancel) message()    {}
func (*Cancelled) message() {}
func (*Resume) message()    {}
