// Package fleet holds an entry's view of the workers: which workers the entry keeps links to, the estimates of their
// load and cache contents, and which worker to ask next. The view lags behind the workers; the only cost of a wrong
// choice is a refusal by the sidecar. Each entry owns one View and serializes the calls to it. A View takes no locks
// and does not read the clock.
package fleet

import (
	"net/netip"
	"time"

	"berylward.example/berylward/pkg/answer"
)

// Role is the kind of an instance.
type Role string

// The roles of instances. The instance list includes the entries because an even subset depends on all of them.
const (
	RoleEngine  Role = "engine"
	RoleService Role = "service"
	RoleEntry   Role = "entry"
)

// Instance is one item of the instance list.
type Instance struct {
	Name         string
	Address      netip.AddrPort
	Zone, Region string
	Role         Role
	// Service is the plain service behind a worker of RoleService.
	Service string
	// Models are the models that a worker of RoleEngine serves.
	Models  []string
	Leaving bool
}

// SuspectState is the state of a request's fingerprint in the registry of suspects.
type SuspectState int

// The states of a fingerprint.
const (
	NotSuspect SuspectState = iota
	// Isolated requests run only on a worker that runs no other isolated request.
	Isolated
	// Quarantined requests do not run.
	Quarantined
)

// Request describes a request that needs a worker.
type Request struct {
	// Model or Service names the model or service to use. Service takes precedence.
	Model, Service string
	// Tokens is the estimated number of prompt and generated tokens.
	Tokens int64
	// Short is set when the prompt belongs to the class of short prompts.
	Short bool
	// Prefix holds the PrefixHashes of the prompt.
	Prefix   []uint64
	Deadline time.Time
	// TriedWorkers holds the workers that were already asked for this request. They are not chosen again.
	TriedWorkers []string
	SuspectState SuspectState
}

// Choice is the result of View.Choose. It is a sealed interface: SendOffer, Wait and Reject are its only
// implementations.
//
//sumtype:decl
type Choice interface{ choice() }

// SendOffer names the worker to send the offer to.
type SendOffer struct{ Worker string }

// Wait means that no worker should be asked before Until. The caller may choose again earlier after an attempt has
// ended, a link has been established or a `state` message has arrived.
type Wait struct{ Until time.Time }

// Reject means that no worker can serve the request before its deadline. The request did not run.
type Reject struct{ Reason answer.Reason }

func (SendOffer) choice() {}
func (Wait) choice()      {}
func (Reject) choice()    {}

// Policy selects how Choose picks one of the candidate workers. It is a sealed interface: Affinity, Random,
// RoundRobin, LeastRequests and SingleQueue are its only implementations.
//
//sumtype:decl
type Policy interface{ policy() }

// Affinity is the default policy: a pool of workers for short requests, then prefix affinity with bounded load, then
// power of two choices.
type Affinity struct{}

// Random is a baseline that picks a worker uniformly at random.
type Random struct{}

// RoundRobin is a baseline that picks workers in rotation.
type RoundRobin struct{}

// LeastRequests is a baseline that picks the worker with the fewest attempts of this entry in flight.
type LeastRequests struct{}

// SingleQueue is a baseline that works like one queue in the entry: a request waits until a worker has fewer than
// Depth attempts of this entry in flight. A Depth of zero means one.
type SingleQueue struct{ Depth int }

func (Affinity) policy()      {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastRequests) policy() {}
func (SingleQueue) policy()   {}

// Option configures a View.
type Option func(*View)

// WithPolicy selects the policy. The default is Affinity.
func WithPolicy(p Policy) Option { return func(v *View) { v.policy = p } }

const (
	// subsetSize is the number of engines, and of workers of one service, that an entry links to. It gives each of
	// 1,200 workers links from 8 of 400 entries, and each entry links to 9 workers in its own zone and 3 in each of 5
	// other zones. Heartbeats on 24 links fit the budget of 4 KB/s.
	subsetSize = 24
	// localZoneWeight is the weight of a worker in the entry's own zone relative to one in another zone.
	localZoneWeight = 3
	// minWorkersPerModel is the least number of workers linked for each model, if that many exist, so that another
	// one remains when one is lost.
	minWorkersPerModel = 2
)
