package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/internal/suspect"
)

// Settings holds the settings that the platform gives to a gateway.
type Settings struct {
	Instance string
	Zone     string
	// CallerAddress and ReadinessAddress are the addresses to listen on.
	CallerAddress, ReadinessAddress netip.AddrPort
	// PeeringAddress is the address for datagrams from other gateways; invalid when peering is off.
	PeeringAddress netip.AddrPort
	// Seeds are addresses of other gateways, some of which may no longer exist.
	Seeds []netip.AddrPort
	// ShutdownTimeout is the time from the stop signal until the platform kills the process.
	ShutdownTimeout time.Duration
	// RevocationTimeout is how long a caller key may still be used after it was revoked; zero means no limit.
	RevocationTimeout time.Duration
	// ChangeTimeout is the time within which a change in the store must be in force; zero means that it is not known.
	ChangeTimeout time.Duration
	// RetryShare and RetryReserve limit the retries of all gateways together in each RetryWindow: a share of the
	// window's requests, plus RetryReserve.
	RetryShare, RetryReserve float64
	RetryWindow              time.Duration
	// HelperTimeout is how long a backend server waits for a helper that does not answer before it treats the helper as
	// failed.
	HelperTimeout time.Duration
	// MaxLease is the longest lease of reserved memory; zero means no limit.
	MaxLease time.Duration
	// MemoryLimit is the memory in bytes beyond which the platform kills the process; zero means that there is no limit.
	MemoryLimit int64
	// DescriptorLimit is the number of file descriptors that the process may open; zero means that it is not known.
	DescriptorLimit int
	// Pace makes the gateway learn how fast backend servers are, and limit the requests in flight at those that have just started or
	// whose answers have stopped.
	Pace bool
}

// Update is one update from the store. It is a sealed interface: TableUpdate, ZoneUpdate, ServerUpdate, ServerRemoved
// and InvalidItem are its only implementations.
//
//sumtype:decl
type Update interface{ update() }

// TableUpdate is a published routing table.
type TableUpdate struct{ Table *route.Table }

// ZoneUpdate reports whether operators have taken a zone out of service.
type ZoneUpdate struct {
	Name     string
	TakenOut bool
}

// ServerUpdate is the current entry of a backend server, which stays cold for ColdFor.
type ServerUpdate struct {
	Server  roster.Server
	ColdFor time.Duration
}

// ServerRemoved means that the entry of a backend server was removed.
type ServerRemoved struct{ ID string }

// InvalidItem is a store item that could not be decoded. Such an item changes nothing.
type InvalidItem struct {
	Key string
	Err error
	// IsTable is set when the item holds the routing table.
	IsTable bool
}

func (TableUpdate) update()   {}
func (ZoneUpdate) update()    {}
func (ServerUpdate) update()  {}
func (ServerRemoved) update() {}
func (InvalidItem) update()   {}

// Store is the source of a gateway's updates. Its methods block until the store answers or the call fails.
type Store interface {
	// Read returns the complete state and the revision from which to watch. With allowStale set, entries of backend
	// servers may be seconds old; the first watch then delivers what is missing. Gateways that start use it, because
	// many of them starting at the same time would otherwise exceed the rate limit of the store. While more is to come,
	// partial is called with the entries read so far, which include the current routing table and some backend servers. A
	// call after a failed one may go on where that one failed. Read is not called concurrently.
	Read(ctx context.Context, allowStale bool, partial func([]Update)) ([]Update, int64, error)
	// Watch waits at most wait for changes after a revision. It returns them and the revision for the next call.
	Watch(ctx context.Context, after int64, wait time.Duration) ([]Update, int64, error)
	// Era returns the era of what Read, its partial function or Watch have returned last. The era rises each time the store
	// comes back from an older copy; revisions are comparable within one era only. Neither method returns anything of an
	// earlier era than before.
	Era() int64
	// Compacted reports whether an error means that the store no longer has the requested history, or has come back from an
	// older copy, so that Read is needed.
	Compacted(err error) bool
}

// CallerRequest is a caller's request without its body.
type CallerRequest struct {
	// ID is the caller's identifier of this request. Backend servers echo it.
	ID string
	// Target is the path and query as sent by the caller; Path is the path, which selects the route.
	Target, Path string
	Host, Method string
	// Key is the caller's key; empty when it sent none.
	Key string
	// Timeout is how long the caller waits; zero when the caller set no deadline.
	Timeout time.Duration
	// Prompt is nil when the request is for a plain service.
	Prompt *Prompt
	// Parts are the parts of the prompt that other requests share.
	Parts []suspect.Part
	// ResumeAfter is the number of the last event that the caller has, when Resumes is set.
	ResumeAfter uint64
	Resumes     bool
	// Header holds the request headers. Those that concern neither the connection nor the gateway are passed on.
	Header http.Header
}

// Prompt describes the size of a language model request, in tokens.
type Prompt struct {
	Tokens int64
	// MaxOutputTokens is the largest number of tokens that may be generated. ExpectedOutputTokens is the caller's
	// estimate, zero when there is none.
	MaxOutputTokens, ExpectedOutputTokens int64
}

// Helper is a backend server that processes a part of a prompt. Lease identifies the memory reserved there; it is empty
// when none is reserved.
type Helper struct {
	Address netip.AddrPort
	Lease   string
}

// Reservation is memory that an engine has reserved under a lease.
type Reservation struct {
	Lease string
	// Used is set when a request that the engine runs uses the memory.
	Used bool
}

// Attempt is one send of a caller's request to a backend server.
type Attempt struct {
	Server    *roster.Server
	Workspace string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	Helpers   []Helper
	// Urgency is the priority of the request at the engine; 0 is the highest. Negative leaves the priority to the
	// engine.
	Urgency int
	// ResumeAfter is the number of the last event delivered, when Resumes is set.
	ResumeAfter uint64
	Resumes     bool
}

// ResponseHead is the head of a backend server's response.
type ResponseHead struct {
	Status int
	// ID is the echoed identifier of the request.
	ID string
	// Signed reports whether the response carries the backend server's signature.
	Signed bool
	// NotRun is set when the backend server states that the request did not run.
	NotRun bool
	// Misdirected means that the address now belongs to another backend server than the intended one.
	Misdirected bool
	// FaultyServer is the backend server that the response names as the cause of the failure; empty when it names none.
	FaultyServer string
	// KeepAlive is how long the connection may stay idle; zero when the response does not say.
	KeepAlive time.Duration
	// Leaving is set when the backend server announces that it is about to stop.
	Leaving bool
	// RetryAfter is the time for which a backend server that refused the request wants no requests from this gateway;
	// zero when it states none.
	RetryAfter time.Duration
}

// Failure is a failure that the gateway itself reports to a caller. It is a sealed interface: Rejected, NotRun and
// MayHaveRun are its only implementations.
//
//sumtype:decl
type Failure interface{ failure() }

// Rejection says why a request is invalid.
type Rejection string

// The reasons for a Rejected.
const (
	Malformed     Rejection = "malformed"
	NoRoute       Rejection = "no-route"
	UnknownKey    Rejection = "unknown-key"
	BodyTooLarge  Rejection = "body-too-large"
	HeaderTooLong Rejection = "header-too-long"
)

// Rejected means that the request is invalid and must not be sent again unchanged.
type Rejected struct{ Reason Rejection }

// NotRun guarantees that the request has not run and will not run. RetryAfter is the time after which the caller may
// send it again.
type NotRun struct{ RetryAfter time.Duration }

// MayHaveRun means that the request may have run at least in part. Expired means that its deadline has passed.
type MayHaveRun struct{ Expired bool }

func (Rejected) failure()   {}
func (NotRun) failure()     {}
func (MayHaveRun) failure() {}

// Protocol translates between the gateway and the messages of callers and backend servers. It is stateless and must be
// safe for concurrent use.
type Protocol interface {
	// DecodeRequest decodes a caller's request without its body. With an error, it returns the fields decoded so far,
	// which the log and the failure sent to the caller use.
	DecodeRequest(r *http.Request) (CallerRequest, error)
	// EncodeAttempt encodes an attempt as a request to a backend server.
	EncodeAttempt(c *CallerRequest, body []byte, a Attempt) *http.Request
	// DecodeResponseHead decodes the head of a backend server's response.
	DecodeResponseHead(resp *http.Response) ResponseHead
	// CopyHeaders copies those headers of a backend server's response that are passed on to the caller.
	CopyHeaders(to http.Header, resp *http.Response)
	// WriteFailure sends a failure of the gateway itself to a caller.
	WriteFailure(w http.ResponseWriter, c *CallerRequest, f Failure)
	// EncodeReserve encodes an order that reserves memory for a number of tokens under a lease. Repeating the order
	// renews the lease.
	EncodeReserve(server *roster.Server, lease string, tokens int64, hold time.Duration) *http.Request
	// EncodeRelease encodes an order that ends a lease.
	EncodeRelease(server *roster.Server, lease string) *http.Request
	// EncodeReservationQuery encodes the question which reservations an engine has.
	EncodeReservationQuery(server *roster.Server) *http.Request
	// DecodeReservations decodes the body of the answer to EncodeReservationQuery.
	DecodeReservations(body []byte) ([]Reservation, error)
}
