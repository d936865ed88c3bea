package site

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Generation is a manifest with the shards that the process has. A nil shard is missing.
type Generation struct {
	Manifest Manifest
	Shards   [][]byte
}

// InstallResult is the result of CurrentGeneration.Install. It is a sealed interface: Accepted, Stale, Incomplete and
// Invalid are its only implementations.
//
//sumtype:decl
type InstallResult interface{ installResult() }

// Accepted means that the generation is now the current one.
type Accepted struct{ Snapshot *Snapshot }

// Stale means that the current generation has the same or a higher number.
type Stale struct{ CurrentNumber uint64 }

// Incomplete means that shards are missing; Missing holds their indices in the manifest.
type Incomplete struct{ Missing []int }

// Invalid means that the generation was refused. The current generation stays.
type Invalid struct{ Problems []Problem }

func (Accepted) installResult()   {}
func (Stale) installResult()      {}
func (Incomplete) installResult() {}
func (Invalid) installResult()    {}

// Refusal is a generation that was refused as invalid.
type Refusal struct {
	Generation uint64
	Digest     Digest
	Problems   []Problem
}

// Snapshot is one accepted generation. It is immutable, so every goroutine may read it.
type Snapshot struct {
	Generation Generation
	// Declarations holds everything except the workspaces, which WorkspaceByKey and WorkspaceByName look up.
	Declarations *Declarations
	workspaces   index
}

func newSnapshot(g Generation, d *Declarations, locations []rowLocation) *Snapshot {
	d.Workspaces = nil
	return &Snapshot{Generation: g, Declarations: d, workspaces: newIndex(g.Shards, locations)}
}

// Number returns the generation number.
func (s *Snapshot) Number() uint64 { return s.Generation.Manifest.Generation }

// WorkspaceByKey returns the workspace whose key has the given digest. It decodes one row, which takes about 3 µs.
func (s *Snapshot) WorkspaceByKey(key KeyDigest) (Workspace, bool) {
	return s.workspaces.findByKey(key)
}

// WorkspaceByName returns the workspace with the given name. It decodes one row.
func (s *Snapshot) WorkspaceByName(name string) (Workspace, bool) {
	return s.workspaces.findByName(name)
}

// Model returns the model with the given name.
func (s *Snapshot) Model(name string) (Model, bool) {
	m, ok := s.Declarations.Models[name]
	return m, ok
}

// Service returns the plain service with the given name.
func (s *Snapshot) Service(name string) (Service, bool) {
	v, ok := s.Declarations.Services[name]
	return v, ok
}

// ZoneOut reports whether the zone must get no new work. An undeclared zone counts as out of service, so that removing
// a zone from the declarations never puts it back into service.
func (s *Snapshot) ZoneOut(zone string) bool { return !s.Declarations.ZoneInService(zone) }

// CurrentGeneration holds the current generation of one process. It is safe for concurrent use.
type CurrentGeneration struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	refused *Refusal
	changed chan struct{}
}

// NewCurrentGeneration returns a CurrentGeneration that holds no generation yet.
func NewCurrentGeneration() *CurrentGeneration {
	return &CurrentGeneration{changed: make(chan struct{})}
}

// Snapshot returns the current generation, or nil before the first one was accepted.
func (c *CurrentGeneration) Snapshot() *Snapshot { return c.current.Load() }

// Changed returns a channel that is closed when another generation becomes current. Get the channel before calling
// Snapshot, so that no change is missed.
func (c *CurrentGeneration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// LastRefusal returns the last generation that was refused as invalid since the current one was accepted. It does not
// record stale generations, because a lagging configuration service yields them all the time.
func (c *CurrentGeneration) LastRefusal() (Refusal, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		return Refusal{}, false
	}
	return *c.refused, true
}

// Install makes a generation current if its number is higher than the current one's and it is complete and valid.
// Missing shards are copied from the current generation where the digests are equal, so that a small change costs a
// small transfer. An incomplete generation is not kept; offer it again with all shards. CurrentGeneration keeps the
// shards, so the caller must not change them afterwards.
func (c *CurrentGeneration) Install(g Generation) InstallResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current.Load()
	if current != nil {
		currentManifest := current.Generation.Manifest
		if g.Manifest.Generation < currentManifest.Generation {
			return Stale{CurrentNumber: currentManifest.Generation}
		}
		if g.Manifest.Generation == currentManifest.Generation {
			if g.Manifest.Digest == currentManifest.Digest {
				return Stale{CurrentNumber: currentManifest.Generation}
			}
			return c.refuse(g.Manifest, []Problem{{
				Path:    "manifest.total",
				Found:   "digest " + g.Manifest.Digest.String() + " under the generation number in force",
				Allowed: "digest " + currentManifest.Digest.String() + ", or a higher generation number",
			}})
		}
	}
	if problems := g.Manifest.check(); len(problems) > 0 {
		return c.refuse(g.Manifest, problems)
	}
	if len(g.Shards) > len(g.Manifest.Shards) {
		g.Shards = g.Shards[:len(g.Manifest.Shards)]
	}
	g.Shards = append(slices.Clone(g.Shards), make([][]byte, len(g.Manifest.Shards)-len(g.Shards))...)
	if missing := reuseShards(g, current); len(missing) > 0 {
		return Incomplete{Missing: missing}
	}
	d, locations, err := decode(g.Manifest, g.Shards)
	if err != nil {
		return c.refuse(g.Manifest, problemsOf(err))
	}
	s := newSnapshot(g, d, locations)
	c.current.Store(s)
	c.refused = nil
	close(c.changed)
	c.changed = make(chan struct{})
	return Accepted{Snapshot: s}
}

// reuseShards replaces missing and corrupt shards by equal ones of the current generation and returns the indices of
// those that are still missing. A shard whose digest differs from the manifest's counts as missing and does not make
// the generation invalid: it was damaged or replaced in transit, and the same generation may arrive intact from
// elsewhere.
func reuseShards(g Generation, current *Snapshot) []int {
	currentShards := map[Digest][]byte{}
	if current != nil {
		for i, s := range current.Generation.Manifest.Shards {
			currentShards[s.Digest] = current.Generation.Shards[i]
		}
	}
	var missing []int
	for i, s := range g.Manifest.Shards {
		if shard, ok := currentShards[s.Digest]; ok {
			g.Shards[i] = shard
			continue
		}
		if g.Shards[i] == nil || digestOf(g.Shards[i]) != s.Digest {
			g.Shards[i] = nil
			missing = append(missing, i)
		}
	}
	return missing
}

func (c *CurrentGeneration) refuse(m Manifest, problems []Problem) Invalid {
	c.refused = &Refusal{Generation: m.Generation, Digest: m.Digest, Problems: problems}
	return Invalid{Problems: problems}
}
