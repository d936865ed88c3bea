package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
)

// Settings of a gateway that its platform gives.
type Settings struct {
	Instance string
	Zone     string
	// Callers and Readiness are the addresses to listen on.
	Callers, Readiness netip.AddrPort
	// Peering is the address for datagrams from other gateways; invalid when there are none.
	Peering netip.AddrPort
	// Seeds are addresses of other gateways, some of which may be gone.
	Seeds []netip.AddrPort
	// StopWithin is the time from a stop signal to the end of the process.
	StopWithin time.Duration
	// RevokeWithin is how long a caller key may be used after it was withdrawn; zero means no bound.
	RevokeWithin time.Duration
	// RetryShare of the requests of RetryWindow, and RetryReserve beyond, may be sent again by all gateways together.
	RetryShare, RetryReserve float64
	RetryWindow              time.Duration
	// Stall is how long a backend server waits for another one that it depends on and that does not answer.
	Stall time.Duration
	// LeaseMax bounds the lease of reserved memory.
	LeaseMax time.Duration
}

// Fact is one thing that the store says. It is a sealed interface: NewTable, Zone, ServerSeen, ServerGone and Unreadable
// are its only implementations.
//
//sumtype:decl
type Fact interface{ fact() }

// NewTable is a published routing table.
type NewTable struct{ Table *route.Table }

// Zone says whether operators have taken a zone out.
type Zone struct {
	Name string
	Out  bool
}

// ServerSeen is the entry of a backend server.
type ServerSeen struct{ Server roster.Server }

// ServerGone means that the entry of a backend server was removed.
type ServerGone struct{ ID string }

// Unreadable is an item that could not be decoded. It changes nothing.
type Unreadable struct {
	Key string
	Err error
	// Table says that the item holds the routing table.
	Table bool
}

func (NewTable) fact()   {}
func (Zone) fact()       {}
func (ServerSeen) fact() {}
func (ServerGone) fact() {}
func (Unreadable) fact() {}

// Store is what a gateway reads its facts from. Its methods block until the answer or an error.
type Store interface {
	// Read returns all facts and the revision from which to watch. With cheap set those about backend servers may be seconds
	// old, which the first watch makes up for; many gateways that start together would otherwise exceed the store's rate.
	Read(ctx context.Context, cheap bool) ([]Fact, int64, error)
	// Watch returns the facts that changed after a revision, at the latest after wait, and the revision to go on from.
	Watch(ctx context.Context, after int64, wait time.Duration) ([]Fact, int64, error)
	// Compacted says whether an error of Watch means that its history is gone and Read is needed.
	Compacted(err error) bool
}

// Call is what a caller asks, without its body.
type Call struct {
	// ID is the caller's identifier of this request. Backend servers echo it.
	ID string
	// Target is the path and query as the caller sent them; Path is the part that selects the route.
	Target, Path string
	Host, Method string
	// Key is the caller's key; empty when it sent none.
	Key string
	// Patience is how long the caller waits; zero when it does not say.
	Patience time.Duration
	// Prompt is nil when the request is for a plain service.
	Prompt *Prompt
	// ResumeAfter is the number of the last event that the caller has, when Resumes is set.
	ResumeAfter uint64
	Resumes     bool
	// Header holds what is passed on unchanged.
	Header http.Header
}

// Prompt describes the language model work of a request, in tokens.
type Prompt struct {
	Tokens int64
	// MaxAnswer is the most that may be generated; Hint is the caller's estimate, zero when there is none.
	MaxAnswer, Hint int64
}

// Helper is a backend server that reads a part of a prompt. Lease names the memory reserved there for it; it is empty
// when there is none.
type Helper struct {
	Address netip.AddrPort
	Lease   string
}

// Attempt is one send of a call to a backend server.
type Attempt struct {
	Server    *roster.Server
	Workspace string
	// Remaining is how long the answer is waited for.
	Remaining time.Duration
	Helpers   []Helper
	// Urgency orders requests at the engine, 0 first; negative leaves it to the engine.
	Urgency int
	// ResumeAfter is the number of the last event delivered, when Resumes is set.
	ResumeAfter uint64
	Resumes     bool
}

// Reply is the head of a backend server's answer.
type Reply struct {
	Status int
	// ID is the echoed identifier of the request.
	ID string
	// Signed says that the answer bears the backend server's signature.
	Signed bool
	// NotRun is the backend server's word that the request did not run.
	NotRun bool
	// Misdirected means that the address belongs to another backend server than the one that was named.
	Misdirected bool
	// Culprit is the backend server that an answer blames; empty when it blames none.
	Culprit string
	// KeepAlive is how long the connection may stay idle; zero when the answer does not say.
	KeepAlive time.Duration
}

// Failure is a failure of a request that the gateway itself reports. It is a sealed interface: Rejected, NotRun and
// MayHaveRun are its only implementations.
//
//sumtype:decl
type Failure interface{ failure() }

// Rejection says what is wrong with a request.
type Rejection string

// The rejections.
const (
	Malformed     Rejection = "malformed"
	NoRoute       Rejection = "no-route"
	UnknownKey    Rejection = "unknown-key"
	BodyTooLarge  Rejection = "body-too-large"
	HeaderTooLong Rejection = "header-too-long"
)

// Rejected means that the request is wrong and must not be sent again.
type Rejected struct{ Why Rejection }

// NotRun means that the request has not run and never will. RetryAfter is when the caller may come back.
type NotRun struct{ RetryAfter time.Duration }

// MayHaveRun means that the request ran in part or may have run. Expired says that its time is over.
type MayHaveRun struct{ Expired bool }

func (Rejected) failure()   {}
func (NotRun) failure()     {}
func (MayHaveRun) failure() {}

// Protocol translates between callers, backend servers and the gateway. It keeps no state.
type Protocol interface {
	// Call decodes a caller's request without its body.
	Call(r *http.Request) (Call, error)
	// Request encodes an attempt.
	Request(c *Call, body []byte, a Attempt) *http.Request
	// Reply decodes the head of an answer.
	Reply(resp *http.Response) Reply
	// CopyHead copies the headers of a backend server's answer that callers get.
	CopyHead(to http.Header, resp *http.Response)
	// Fail answers a caller with a failure of the gateway's own.
	Fail(w http.ResponseWriter, c *Call, f Failure)
	// Reserve encodes an order that reserves memory for tokens under a lease; the same lease renews it.
	Reserve(server *roster.Server, lease string, tokens int64, hold time.Duration) *http.Request
	// Release encodes an order that ends a lease.
	Release(server *roster.Server, lease string) *http.Request
}
