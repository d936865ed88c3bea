package booking

import (
	"github.com/cespare/xxhash/v2"
)

// Ownership is the declared set of a service's workers from an epoch on.
type Ownership struct {
	// Epoch is the generation in which the set of owners changed. A caller that does not know that generation may use
	// every generation as an epoch. An epoch in which the set is unchanged costs one empty seal for each pair of
	// workers.
	Epoch uint64
	// Previous is the epoch directly before this one, or zero when unknown. A table whose current epoch is not Previous
	// has skipped an epoch.
	Previous uint64
	// Workers are all declared workers. A worker must be declared before the epoch that puts it in service, and must
	// stay declared for a key lifetime after that epoch, because only declared workers are asked for seals.
	Workers []Worker
}

// Owner returns the worker that owns the named key. It is the worker with the highest rendezvous hash among those that
// are in service and not lost. Owner returns false when there is none.
func (o Ownership) Owner(name string) (Worker, bool) {
	if i := o.ownerIndex(xxhash.Sum64String(name)); i >= 0 {
		return o.Workers[i], true
	}
	return Worker{}, false
}

func (o Ownership) ownerIndex(keyHash uint64) int {
	best, score := -1, uint64(0)
	for i, w := range o.Workers {
		if !w.InService || w.Lost {
			continue
		}
		s := mix(keyHash ^ xxhash.Sum64String(w.Name))
		if best < 0 || s > score || s == score && w.Name < o.Workers[best].Name {
			best, score = i, s
		}
	}
	return best
}

func (o Ownership) ownerName(name string) string {
	w, _ := o.Owner(name)
	return w.Name
}

func (o Ownership) worker(name string) (Worker, bool) {
	for _, w := range o.Workers {
		if w.Name == name {
			return w, true
		}
	}
	return Worker{}, false
}

// mix is the splitmix64 finalizer. Without it, the scores for a key differ only by the XOR of fixed worker hashes,
// which distributes keys unevenly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
