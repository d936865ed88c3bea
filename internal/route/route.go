// Package route holds the routing table that operators publish: the services that a request may go to by its host and
// path, the workspace that a caller key belongs to, and the limits of each service. A CurrentTable holds the table in
// force and the time when it was last proven to be the latest version. It is owned by one gateway, reads no clock and
// does no input or output.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with a stream of events. They are idempotent only on a resumable route.
	Stream
)

// Route describes how requests to a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a stream, has its full value.
	Target time.Duration
	// MaxGap is the longest pause between two events of a stream that still counts as on time.
	MaxGap time.Duration
	// MaxAttempts is the largest number of backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no caller key.
	Public bool
	// Priority is 0 for the most urgent requests, and at most MaxPriority.
	Priority int
	// Resumable streams may continue at another backend server after the last event delivered.
	Resumable bool
	Shares    []Share
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Engine describes the performance of the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine generates answers for at the same time.
	Slots int
	// KVCacheTokens is the KV cache capacity of an engine in tokens.
	KVCacheTokens int64
	// StepsPerIteration is the number of token steps in a scheduler iteration while answers are generated.
	StepsPerIteration int
	// StepTime is the base duration of a token step. Each sequence being generated adds StepTimePerSequence, and each
	// 1,000 tokens of its context StepTimePer1000Context.
	StepTime, StepTimePerSequence, StepTimePer1000Context time.Duration
	// PrefillRate is the prefill rate in tokens per second. Attention adds PrefillTimePerMillionPairs for each million
	// pairs of a token and an earlier one.
	PrefillRate                float64
	PrefillTimePerMillionPairs time.Duration
	// PrefillChunk is the largest number of prompt tokens that are prefilled for each token step of an iteration; zero means that
	// the engine states no limit.
	PrefillChunk int64
	// HelperStepTime is added to each token step of an answer whose prompt was prefilled by several engines.
	HelperStepTime time.Duration
	// UsualPrompt and UsualAnswer are the mean numbers of tokens of a prompt and of an answer as operators expect them; zero if
	// they are not stated.
	UsualPrompt, UsualAnswer int64
}

// PrefillTime returns the time that one engine needs to prefill a prompt alone.
func (e *Engine) PrefillTime(tokens int64) time.Duration {
	if e == nil || e.PrefillRate <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.PrefillTimePerMillionPairs)
	return time.Duration(linear + pairs)
}

// Service describes the backend servers of a service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server accepts from all callers together.
	MaxConnections int
	// ColdRate limits the requests per second that all gateways together send to one cold backend server; zero
	// means no limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one published version of the routing table. It is immutable after NewTable.
type Table struct {
	Version      int64
	Limits       Limits
	services     map[string]*Service
	routesByHost map[string][]*Route
	// workspaces maps caller keys to workspaces. It is nil if the table names no workspaces.
	workspaces map[string]string
	routeCount int
	// priorities holds the workspaces with a priority of their own, ranks the ranks by service.
	priorities map[string]int
	ranks      map[string]RankRange
}

// Option configures a Table.
type Option func(*Table)

// WithPriorities sets the priorities of workspaces, 0 to MaxPriority, which take precedence over those of routes.
func WithPriorities(byWorkspace map[string]int) Option {
	return func(t *Table) { t.priorities = byWorkspace }
}

// NewTable returns a table. workspaces maps each caller key to its workspace; nil means that the table names no workspaces, so that
// no request needs a key. An empty map means that no key is known.
func NewTable(version int64, routes []Route, services []Service, workspaces map[string]string, limits Limits, options ...Option) *Table {
	t := &Table{
		Version: version, Limits: limits, services: make(map[string]*Service, len(services)),
		routesByHost: map[string][]*Route{}, workspaces: workspaces, routeCount: len(routes),
	}
	for _, s := range services {
		t.services[s.Name] = &s
	}
	for _, r := range routes {
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], &r)
	}
	for _, o := range options {
		o(t)
	}
	t.ranks = t.findRanks(routes)
	for _, list := range t.routesByHost {
		// The longest prefix comes first, so that the first match is the most specific one.
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routeCount }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of a host with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests on a route need a caller key.
func (t *Table) NeedsKey(r *Route) bool { return !r.Public && t.workspaces != nil }

// Workspace returns the workspace that a caller key belongs to.
func (t *Table) Workspace(key string) (string, bool) {
	w, ok := t.workspaces[key]
	return w, ok && key != ""
}
