// Package site defines the declarations of a site: zones, models, priorities, workspaces, plain services and limits.
// Load reads a base file and an overlay, Render encodes declarations as a generation of small shards, Decode is its
// inverse, Diff describes the effects of a change, and CurrentGeneration holds the current generation of one process.
// Only a CurrentGeneration has mutable state, and it is safe for concurrent use.
package site

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"path"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Declarations holds everything that operators declare about one site. Maps are keyed by name, and the Name field of an
// entry repeats its key. Loaded or decoded declarations are shared and must not be changed.
//
// The yaml tags are the field names in declaration files, the default tags hold the defaults of absent fields, and the
// validate tags hold the limits that concern a single field.
type Declarations struct {
	Site       Identity            `yaml:"site"`
	Zones      map[string]Zone     `yaml:"zones" validate:"min=1,dive"`
	Models     map[string]Model    `yaml:"models" validate:"dive"`
	Priorities map[string]Priority `yaml:"priorities" validate:"min=1,dive"`
	Classes    Classes             `yaml:"classes"`
	// Workspaces holds pointers, so that generations share the workspaces that did not change.
	Workspaces  map[string]*Workspace `yaml:"workspaces" validate:"dive,required"`
	Services    map[string]Service    `yaml:"services" validate:"dive"`
	WarmUp      WarmUp                `yaml:"warm-up"`
	Deadlines   Deadlines             `yaml:"deadlines"`
	Suspects    Suspects              `yaml:"suspects"`
	WeightStore WeightStore           `yaml:"weight-store"`
	// Workers is the number of model workers of the site. Sidecars derive their weight load rate from it.
	Workers int `yaml:"workers" validate:"min=1,max=100000"`
}

// Identity names the site and its region.
type Identity struct {
	Name   string `yaml:"name" validate:"name"`
	Region string `yaml:"region" validate:"name"`
}

// Zone is one availability zone.
type Zone struct {
	Name string `yaml:"-"`
	// Out means that operators have taken the zone out of service: its instances drain and get no new work.
	Out bool `yaml:"out"`
}

// Model is one language model with the capacity of a warm backend server that runs it.
type Model struct {
	Name string `yaml:"-"`
	// Version is the version that backend servers should run. It must be one of Versions.
	Version  string   `yaml:"version" validate:"required,max=128"`
	Versions []string `yaml:"versions" validate:"min=1,max=64,unique,dive,required,max=128"`
	Adapters []string `yaml:"adapters" validate:"max=1024,unique,dive,name"`
	// Role is the phase of the work that backend servers of this model do.
	Role Role `yaml:"role" default:"mixed" validate:"oneof=mixed prefill decode"`
	// Workers is the number of the site's model workers that should run the model. 0 means all of them.
	Workers int `yaml:"workers" validate:"min=0,max=100000"`
	// MemoryTokens is the size of the KV cache of one backend server in tokens.
	MemoryTokens int64 `yaml:"memory-tokens" validate:"min=1,max=1000000000"`
	// HeadroomPercent is the percentage of MemoryTokens that is never reserved, to absorb estimation errors.
	HeadroomPercent int `yaml:"headroom-percent" default:"5" validate:"min=0,max=50"`
	// PrefillTokensPerSecond is the prefill speed of one warm backend server.
	PrefillTokensPerSecond int64 `yaml:"prefill-tokens-per-second" validate:"min=1,max=1000000000"`
	// DecodeTokensPerSecond is the decode speed of one warm backend server over all its streams.
	DecodeTokensPerSecond int64 `yaml:"decode-tokens-per-second" validate:"min=1,max=1000000000"`
	// BytesPerToken is the initial ratio for token estimates. Entry processes then learn the ratio of each model.
	BytesPerToken float64 `yaml:"bytes-per-token" default:"4" validate:"min=0.25,max=64"`
	// MaxPromptTokens is the longest accepted prompt. It may exceed MemoryTokens, because such prompts run on a group
	// of backend servers.
	MaxPromptTokens int64 `yaml:"max-prompt-tokens" default:"1000000" validate:"min=1,max=1000000000"`
}

// Role is the phase of the work that a backend server does.
type Role string

// The roles of backend servers.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Priority is a service level that workspaces refer to by name.
type Priority struct {
	Name string `yaml:"-"`
	// Engine is the priority number that is passed to the engine, which prefers higher numbers.
	Engine int `yaml:"engine" validate:"min=0,max=1000"`
	// Weight is the scheduling weight of a workspace of this priority against others in the same class.
	Weight int `yaml:"weight" default:"1" validate:"min=1,max=1000"`
}

// Classes holds the limits of the length classes in uncached prompt tokens. Shares are integer percentages, because
// integers have a single encoding and the rendered bytes must be deterministic.
type Classes struct {
	ShortTokens  int64 `yaml:"short-tokens" default:"8000" validate:"min=1,max=1000000000"`
	MediumTokens int64 `yaml:"medium-tokens" default:"100000" validate:"min=1,max=1000000000"`
	// ShortReservePercent is the percentage of memory and prefill capacity that long requests cannot use.
	ShortReservePercent int `yaml:"short-reserve-percent" default:"25" validate:"min=0,max=90"`
}

// Workspace is one customer of the site.
type Workspace struct {
	Name string `yaml:"-"`
	// Key is the SHA-256 digest of the workspace's key. The key itself is never declared.
	Key      KeyDigest `yaml:"key-sha256" validate:"required"`
	Priority string    `yaml:"priority" validate:"name"`
	// TokensPerSecond is the rate limit over the whole site.
	TokensPerSecond int64 `yaml:"tokens-per-second" validate:"min=1,max=1000000000"`
	// Burst is the number of tokens that can be used at once.
	Burst    int64    `yaml:"burst" validate:"min=1,max=1000000000"`
	Models   []string `yaml:"models" validate:"max=64,unique,dive,name"`
	Services []string `yaml:"services" validate:"max=64,unique,dive,name"`
}

// MayUseModel reports whether the workspace may use the model.
func (w Workspace) MayUseModel(model string) bool { return slices.Contains(w.Models, model) }

// MayUseService reports whether the workspace may call the plain service.
func (w Workspace) MayUseService(service string) bool { return slices.Contains(w.Services, service) }

// Service is one plain service: an HTTP service behind the entry processes that is not a model engine.
type Service struct {
	Name string `yaml:"-"`
	// Calls lists method and path patterns. The first match decides whether a call is idempotent. A call without a
	// match is not idempotent, because a wrong guess in that direction costs a retry and not a double booking.
	Calls []Call `yaml:"calls" validate:"max=256,dive"`
	// KeyLifetime is how long the at-most-once table keeps an idempotency key.
	KeyLifetime time.Duration `yaml:"key-life" default:"24h" validate:"min=1s,max=720h"`
	// ClockSkew is the maximum difference between the clocks of callers and of the service's workers.
	ClockSkew time.Duration `yaml:"clock-skew" default:"5s" validate:"min=0s,max=1h"`
	// TableSize is the number of keys that the at-most-once table of one worker can hold.
	TableSize int                      `yaml:"table-size" validate:"min=1,max=10000000"`
	Workers   map[string]ServiceWorker `yaml:"workers" validate:"min=1,max=1200,dive"`
}

// Call declares whether calls with a method and a path pattern are idempotent.
type Call struct {
	// Method is an HTTP method, or * for all.
	Method string `yaml:"method" validate:"oneof=* GET HEAD POST PUT PATCH DELETE OPTIONS"`
	// Path is a pattern of path.Match, in which * matches one segment or a part of it.
	Path       string `yaml:"path" validate:"required,max=256,startswith=/,pattern"`
	Idempotent bool   `yaml:"idempotent"`
}

// ServiceWorker is one declared worker of a plain service.
type ServiceWorker struct {
	Name string `yaml:"-"`
	// Address is where the sidecar of the worker accepts links.
	Address netip.AddrPort `yaml:"address" validate:"address"`
	Zone    string         `yaml:"zone" validate:"name"`
	// Lost means that the worker and its at-most-once table were destroyed, so that it cannot hand over its keys.
	Lost bool `yaml:"lost"`
}

// Idempotent reports whether a call may be repeated. urlPath is the decoded URL path below the service. A path with dot
// segments or repeated slashes is never idempotent, because the service may resolve it to another path than the one
// that was matched.
func (s Service) Idempotent(method, urlPath string) bool {
	if path.Clean(urlPath) != urlPath {
		return false
	}
	for _, c := range s.Calls {
		if c.Method != "*" && c.Method != method {
			continue
		}
		if ok, err := path.Match(c.Path, urlPath); err == nil && ok {
			return c.Idempotent
		}
	}
	return false
}

// WarmUp holds the parameters of the warm-up window of one backend server.
type WarmUp struct {
	// InitialTokens and InitialRequests limit the work in flight on a cold backend server.
	InitialTokens   int64 `yaml:"initial-tokens" validate:"min=1,max=1000000000"`
	InitialRequests int   `yaml:"initial-requests" validate:"min=1,max=100000"`
	// MaxRequests limits the requests in flight on a warm backend server.
	MaxRequests int `yaml:"max-requests" validate:"min=1,max=100000"`
	// GrowthPercent is the growth of the window after each window of completed work.
	GrowthPercent int `yaml:"growth-percent" default:"50" validate:"min=1,max=100"`
	// ColdPercent is the percentage of the declared speed below which a backend server counts as cold.
	ColdPercent int `yaml:"cold-percent" default:"40" validate:"min=1,max=99"`
}

// Deadlines holds the default and the maximum time limit of a request.
type Deadlines struct {
	Default time.Duration `yaml:"default" validate:"min=1ms,max=24h"`
	Max     time.Duration `yaml:"max" validate:"min=1ms,max=24h"`
}

// Suspects holds the parameters for requests that crash backend servers.
type Suspects struct {
	// Quarantine is the duration of a quarantine. It is at most one hour, the time for which a crash is remembered.
	Quarantine time.Duration `yaml:"quarantine" default:"10m" validate:"min=1s,max=1h"`
}

// WeightStore holds the rate limit of the store from which engines load model weights.
type WeightStore struct {
	// LoadsPerSecond is the limit over all workers of the site.
	LoadsPerSecond float64 `yaml:"loads-per-second" validate:"gt=0,max=100000"`
}

// KeyDigest is the SHA-256 digest of a workspace key.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest under which a workspace key is declared.
func NewKeyDigest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the digest as 64 hexadecimal digits.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// UnmarshalText parses 64 hexadecimal digits.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.Errorf("%d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// ZoneInService reports whether the zone is declared and not taken out of service.
func (d *Declarations) ZoneInService(zone string) bool {
	z, ok := d.Zones[zone]
	return ok && !z.Out
}

// Owners returns the sorted names of the workers that own the idempotency keys of a plain service: the declared workers
// that are not lost and whose zone is in service.
func (d *Declarations) Owners(service string) []string {
	var names []string
	for name, w := range d.Services[service].Workers {
		if !w.Lost && d.ZoneInService(w.Zone) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
