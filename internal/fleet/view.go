package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"berylward.example/berylward/pkg/answer"
)

// worker is the entry's state for one worker.
type worker struct {
	Instance
	nameHash uint64
	// The entry observes linked itself; the worker reports draining and down.
	linked         bool
	draining, down bool
	load           load
	inflight       inflight
	warmModels     []string
	// cacheEpoch increases when the engine's cache is presumed lost. Prefix records of an earlier epoch no longer
	// count.
	cacheEpoch uint32
	// cacheAccuracy is the learned share of expected cache hits that were actual hits.
	cacheAccuracy float64
	// candidateIndex is the worker's place in View.candidates during the Choose call numbered candidateSeq.
	candidateSeq   uint64
	candidateIndex int
}

// target identifies a model or a service.
type target struct {
	service bool
	name    string
}

// View is one entry's view of the fleet. It must be used by one goroutine at a time.
type View struct {
	self     Instance
	policy   Policy
	random   *rand.Rand
	workers  map[string]*worker
	zonesOut map[string]bool
	// instances is the latest instance list. The subset is computed from it on first use.
	instances   []Instance
	subset      []string
	subsetValid bool
	// linked and served index the workers in service by what they serve: linked holds those with a link, served
	// counts all.
	linked     map[target][]*worker
	served     map[target]int
	indexValid bool

	attempts       map[answer.ID]*attempt
	fleetMean      fleetMean
	shortShare     shortTokenShare
	prefixHolders  *simplelru.LRU[uint64, *holders]
	roundRobinNext uint64
	chooseSeq      uint64
	// candidates and candidateLoads belong to the current Choose call. They are kept to avoid allocations.
	candidates     []*worker
	candidateLoads []float64
	// shortPool holds the workers of the short pool of the current Choose call.
	shortPool []*worker
	// lightlyLoaded holds the indices in candidates of the less loaded workers of the current Choose call.
	lightlyLoaded []int
}

// NewView returns the view of the entry self. The source makes random choices reproducible.
func NewView(self Instance, source rand.Source, options ...Option) *View {
	prefixHolders, err := simplelru.NewLRU[uint64, *holders](maxTrackedPrefixes, nil)
	if err != nil {
		panic(err) // Only a size below one is an error.
	}
	v := &View{
		self:          self,
		policy:        Affinity{},
		random:        rand.New(source),
		workers:       map[string]*worker{},
		zonesOut:      map[string]bool{},
		attempts:      map[answer.ID]*attempt{},
		prefixHolders: prefixHolders,
	}
	for _, o := range options {
		o(v)
	}
	return v
}

// Update replaces the instance list. Estimates for workers that stay in the list are kept; a worker that is no longer
// listed is not chosen any more.
func (v *View) Update(_ time.Time, instances []Instance) {
	v.instances = slices.Clone(instances)
	v.subsetValid, v.indexValid = false, false
	listed := make(map[string]bool, len(instances))
	for _, i := range instances {
		if i.Role == RoleEntry {
			continue
		}
		listed[i.Name] = true
		w := v.workers[i.Name]
		if w == nil || w.Address != i.Address {
			// A new address means a new process, so nothing learned about the old one applies.
			w = &worker{nameHash: newSubsetNode(i).hash, cacheAccuracy: 1}
			v.workers[i.Name] = w
		}
		w.Instance = i
	}
	for name := range v.workers {
		if !listed[name] {
			delete(v.workers, name)
		}
	}
}

// SetZonesOut replaces the set of zones that operators have taken out.
func (v *View) SetZonesOut(zones []string) {
	v.zonesOut = make(map[string]bool, len(zones))
	for _, z := range zones {
		v.zonesOut[z] = true
	}
	v.subsetValid, v.indexValid = false, false
}

// Subset returns the workers that the entry keeps links to, sorted by name: an even share of the engines and of each
// service's workers, at least two workers of each model if that many exist, and workers that take no new work but
// would otherwise be in the subset.
func (v *View) Subset() []string {
	if !v.subsetValid {
		v.subset = computeSubset(v.self, v.instances, subsetSize, v.inService)
		v.subsetValid = true
	}
	return slices.Clone(v.subset)
}

// LinkUp records that the link to a worker is established. Draining and down keep the values that the worker last
// reported; the link's goroutine therefore passes on the `state` message that follows `hello`.
func (v *View) LinkUp(_ time.Time, name string) { v.setLinked(name, true) }

// LinkDown records that the link to a worker is lost or silent. Its attempts stay in flight until Ended is called.
func (v *View) LinkDown(_ time.Time, name string) { v.setLinked(name, false) }

func (v *View) setLinked(name string, linked bool) {
	if w := v.workers[name]; w != nil && w.linked != linked {
		w.linked = linked
		v.indexValid = false
	}
}

// ResetLoads drops all load estimates: fullness, retry hints and windows. An entry calls it after a pause, when its
// load information is out of date. Attempts in flight and states such as draining are kept. Prefix records are kept
// too, because caches change slowly and a wrong record costs only a prefill.
func (v *View) ResetLoads(_ time.Time) {
	v.fleetMean = fleetMean{}
	for _, w := range v.workers {
		w.load = load{reports: w.load.reports, unreportedTokens: w.inflight.tokens}
	}
	for _, a := range v.attempts {
		a.reportsAtAnswer = a.worker.load.reports // No observation includes the attempt any more.
	}
}

// inService reports whether the instance list and the declarations allow new work.
func (v *View) inService(i Instance) bool { return !i.Leaving && !v.zonesOut[i.Zone] }

// available reports whether a worker may be asked at all.
func (v *View) available(w *worker) bool {
	return w.linked && !w.draining && !w.down && v.inService(w.Instance)
}

// rebuildIndex rebuilds the indexes by model and service after the instance list, the links or the zones have changed.
func (v *View) rebuildIndex() {
	if v.indexValid {
		return
	}
	v.linked, v.served = map[target][]*worker{}, map[target]int{}
	names := make([]string, 0, len(v.workers))
	for name := range v.workers {
		names = append(names, name)
	}
	slices.Sort(names) // Random choices must not depend on the order of a map.
	add := func(t target, w *worker) {
		if !v.inService(w.Instance) {
			return
		}
		v.served[t]++
		if w.linked {
			v.linked[t] = append(v.linked[t], w)
		}
	}
	for _, name := range names {
		w := v.workers[name]
		switch w.Role {
		case RoleService:
			add(target{true, w.Service}, w)
		case RoleEngine:
			for _, m := range w.Models {
				add(target{false, m}, w)
			}
		case RoleEntry:
		}
	}
	v.indexValid = true
}
