// Package direct holds stand-ins of the metadata store and of backend servers that gateways reach directly, for tests and
// for the soak. They speak the platform's protocol through the codecs of package platform, count what they see and fail on
// request. Each stand-in owns its state and may be used by several goroutines.
package direct

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"k8s.io/utils/clock"

	"berylward.example/berylward/platform"
)

// pageItems is how many items one page of a range holds.
const pageItems = 20

// Outage is a way in which the store fails. It is a sealed interface: Up, Silent, Busy and Cut are its only
// implementations.
//
//sumtype:decl
type Outage interface{ outage() }

// Up means that the store answers.
type Up struct{}

// Silent means that calls are never answered.
type Silent struct{}

// Busy means that calls are refused.
type Busy struct{}

// Cut means that the connections of calls are closed.
type Cut struct{}

func (Up) outage()     {}
func (Silent) outage() {}
func (Busy) outage()   {}
func (Cut) outage()    {}

// Store is a stand-in of the metadata store.
type Store struct {
	clock clock.Clock

	mu        sync.Mutex
	items     map[string]platform.Item
	history   []platform.Item
	revision  int64
	compacted int64
	// lag is by how many changes cheap reads are behind.
	lag     int64
	outage  Outage
	changed chan struct{}
	calls   int
}

// NewStore returns an empty store.
func NewStore(c clock.Clock) *Store {
	return &Store{clock: c, items: map[string]platform.Item{}, revision: 1, outage: Up{}, changed: make(chan struct{})}
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) {
	s.change(platform.Item{Key: key, Value: value})
}

// Delete removes an item.
func (s *Store) Delete(key string) { s.change(platform.Item{Key: key, Deleted: true}) }

func (s *Store) change(it platform.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	s.wake()
}

// SetLag sets by how many changes cheap reads are behind, as far as the history goes back.
func (s *Store) SetLag(changes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = changes
}

// asOf returns the items at a revision. The caller holds the lock.
func (s *Store) asOf(revision int64) map[string]platform.Item {
	items := map[string]platform.Item{}
	for _, it := range s.history {
		if it.Revision > revision {
			break
		}
		if it.Deleted {
			delete(items, it.Key)
		} else {
			items[it.Key] = it
		}
	}
	return items
}

// Compact drops the history, so that watches from before end.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wake()
}

// Fail sets how the store fails from now on; calls that wait are ended in that way.
func (s *Store) Fail(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
	s.wake()
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wake must be called with the lock held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if !s.up(w, r) {
		return
	}
	call, err := platform.DecodeStoreCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch c := call.(type) {
	case platform.RangeCall:
		s.answerRange(w, c)
	case platform.WatchCall:
		s.answerWatch(w, r, c)
	}
}

// up answers a call as the outage demands and returns false, or returns true.
func (s *Store) up(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	switch outage.(type) {
	case Up:
		return true
	case Silent:
		<-r.Context().Done()
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Cut:
		panic(http.ErrAbortHandler)
	}
	return false
}

func (s *Store) answerRange(w http.ResponseWriter, c platform.RangeCall) {
	s.mu.Lock()
	var items []platform.Item
	all, revision := s.items, s.revision
	if c.Cheap && s.lag > 0 && s.compacted == 0 {
		revision -= s.lag
		all = s.asOf(revision)
	}
	for key, it := range all {
		if strings.HasPrefix(key, c.Prefix) && key > c.After {
			items = append(items, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b platform.Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	write(w, items, false, more, revision)
}

func (s *Store) answerWatch(w http.ResponseWriter, r *http.Request, c platform.WatchCall) {
	timeout := s.clock.After(c.Wait)
	for {
		s.mu.Lock()
		var events []platform.Item
		for _, it := range s.history {
			if it.Revision > c.After && strings.HasPrefix(it.Key, c.Prefix) {
				events = append(events, it)
			}
		}
		revision, gone, changed := s.revision, c.After < s.compacted, s.changed
		s.mu.Unlock()
		switch {
		case !s.up(w, r):
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			write(w, events, true, false, revision)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			write(w, nil, true, false, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func write(w http.ResponseWriter, items []platform.Item, events, more bool, revision int64) {
	data, err := platform.EncodeItems(items, events, more, revision)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
