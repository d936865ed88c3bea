package link

import (
	"time"

	"github.com/google/uuid"
)

// Role identifies the kind of a process.
type Role string

// The roles of processes that communicate over links.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Hello is the first message sent in each direction.
type Hello struct {
	Version     int       `cbor:"version"`
	Role        Role      `cbor:"role"`
	Instance    string    `cbor:"instance"`
	Incarnation uuid.UUID `cbor:"incarnation"`
	Zone        string    `cbor:"zone"`
	// Service is the plain service that a sidecar serves, for entry processes without an instance list.
	Service    string `cbor:"service,omitempty"`
	Generation uint64 `cbor:"generation"`
}

// Heartbeat is sent in both directions at a fixed interval. It is omitted if another frame was sent since the last
// heartbeat and its content has not changed. On the wire it is an array without field names.
type Heartbeat struct {
	_          struct{} `cbor:",toarray"`
	Sequence   uint64
	Generation uint64
	// Suspects is the digest of the sender's registry of suspects. If it differs from the receiver's digest, the
	// receiver sends the marks of its own registry.
	Suspects uint64
}

// State reports the state of a sidecar's backend server to entry processes. It is sent on connection and on every
// change.
type State struct {
	// Phase is starting, serving, draining, down or stopped.
	Phase string `cbor:"phase"`
	Cause string `cbor:"cause,omitempty"`
	// WindowTokens and WindowRequests are the current limits of the warm-up window.
	WindowTokens   int64    `cbor:"window-tokens"`
	WindowRequests int      `cbor:"window-requests"`
	Fullness       float64  `cbor:"fullness"`
	Queued         int      `cbor:"queued"`
	Running        int      `cbor:"running"`
	Models         []string `cbor:"models,omitempty"`
	Cached         []uint64 `cbor:"cached,omitempty"`
	// GroupTokens is the free memory, in tokens, that a group member can reserve. GroupLimit is its value when the
	// engine is idle, which is also the largest request that the engine can run alone.
	GroupTokens int64 `cbor:"group-tokens,omitempty"`
	GroupLimit  int64 `cbor:"group-limit,omitempty"`
}

// Leaving tells a sidecar whether the entry process's instance list marks the sidecar's instance as leaving. It is sent
// on every change, and on a new link if the instance is leaving. One informed entry process is enough, because the
// sidecar informs the others through its State.
type Leaving struct {
	Leaving bool `cbor:"leaving"`
}

// ConfigRequest requests the peer's current generation. Without Shards it requests the manifest, if that is newer than
// After. With Shards it requests these shards of Generation.
type ConfigRequest struct {
	After      uint64 `cbor:"after"`
	Generation uint64 `cbor:"generation,omitempty"`
	Shards     []int  `cbor:"shards,omitempty"`
}

// ConfigManifest answers a ConfigRequest without shards.
type ConfigManifest struct {
	Manifest []byte `cbor:"manifest"`
}

// ConfigShard answers a ConfigRequest with shards. Each shard is sent in its own message.
type ConfigShard struct {
	Generation uint64 `cbor:"generation"`
	Shard      int    `cbor:"shard"`
	Data       []byte `cbor:"data"`
}

// Suspects carries marks of a registry of suspects, encoded by package suspect.
type Suspects struct {
	Body []byte `cbor:"body"`
}

// TicketRequest asks a sidecar for a ticket for one call of a service.
type TicketRequest struct {
	ID      ID     `cbor:"id"`
	Service string `cbor:"service"`
}

// Ticket answers a TicketRequest. Expires is how long the ticket is valid.
type Ticket struct {
	ID      ID            `cbor:"id"`
	Ticket  string        `cbor:"ticket"`
	Expires time.Duration `cbor:"expires"`
}

// Seal carries a seal from one sidecar to another, encoded by package booking.
type Seal struct {
	Body []byte `cbor:"body"`
}

// SealRequest requests a seal from another sidecar, encoded by package booking.
type SealRequest struct {
	Body []byte `cbor:"body"`
}

func (*Hello) message()          {}
func (*Heartbeat) message()      {}
func (*State) message()          {}
func (*Leaving) message()        {}
func (*ConfigRequest) message()  {}
func (*ConfigManifest) message() {}
func (*ConfigShard) message()    {}
func (*Suspects) message()       {}
func (*TicketRequest) message()  {}
func (*Ticket) message()         {}
func (*Seal) message()           {}
func (*SealRequest) message()    {}
