// Package route holds the routing table that operators publish: which service a request goes to, by host and path, which
// workspace a caller key belongs to, and what each service bears. A Book holds the table in force and how long ago it
// was proven to be the newest one. It is owned by one gateway, reads no clock and does no input or output.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests answer with a series of events. They are idempotent only on a resumable route.
	Stream
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route tells how requests to a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a stream, has its full value.
	Target time.Duration
	// MaxGap is the longest pause between two events of a stream that is still on time.
	MaxGap time.Duration
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int
	// Public routes need no caller key.
	Public bool
	// Resumable streams may go on at another backend server after the last event delivered.
	Resumable bool
	Shares    []Share
}

// Idempotent says whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Engine describes how the model engines of a service work.
type Engine struct {
	// Slots is how many requests write at once.
	Slots int
	// MemoryTokens is an engine's memory.
	MemoryTokens int64
	// Stride is the number of token steps in a pass with writers.
	Stride int
	// Step is the duration of a token step, to which each writer adds StepPerWriter and each 1,000 tokens of its
	// context StepPerContext.
	Step, StepPerWriter, StepPerContext time.Duration
	// ReadPerSecond is the prefill rate in tokens; each million pairs of a token and an earlier one adds PairsPerMillion.
	ReadPerSecond   float64
	PairsPerMillion time.Duration
}

// ReadTime returns how long one engine needs to read a prompt alone.
func (e *Engine) ReadTime(tokens int64) time.Duration {
	if e == nil || e.ReadPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.ReadPerSecond * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.PairsPerMillion)
	return time.Duration(linear + pairs)
}

// Service describes the backend servers that carry its name.
type Service struct {
	Name string
	// MaxConnections is how many connections one backend server accepts from all callers.
	MaxConnections int
	// ColdPerSecond is how many requests a second a cold backend server bears from all gateways; zero means no limit.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one published version. It is immutable after NewTable.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	hosts    map[string][]*Route
	// workspaces by caller key.
	workspaces map[string]string
	routes     int
}

// NewTable returns a table. workspaces maps each caller key to its workspace.
func NewTable(version int64, routes []Route, services []Service, workspaces map[string]string, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, services: make(map[string]*Service, len(services)),
		hosts: map[string][]*Route{}, workspaces: workspaces, routes: len(routes),
	}
	for _, s := range services {
		t.services[s.Name] = &s
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], &r)
	}
	for _, list := range t.hosts {
		// The longest prefix comes first, so that the first match is the route.
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route with the longest prefix of path among those of host, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds a caller key.
func (t *Table) Workspace(key string) (string, bool) {
	w, ok := t.workspaces[key]
	return w, ok && key != ""
}
