// Package direct contains stand-ins for the metadata store and for backend servers that gateways reach directly, for
// tests and for the soak. They use the platform's protocol through the codecs of package platform, count what they
// receive and fail on request. Each stand-in guards its state with a mutex and may be used by several goroutines.
package direct

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"berylward.example/berylward/platform"
)

// itemsPerPage is the largest number of items in one page of a range unless SetPageSize sets another.
const itemsPerPage = 20

// Outage is a way in which the store fails. It is a sealed interface: NoOutage, NoAnswer, Unavailable, ConnClosed and
// LateAnswers are its only implementations.
//
//sumtype:decl
type Outage interface{ outage() }

// NoOutage means that there is no outage.
type NoOutage struct{}

// NoAnswer means that calls are never answered.
type NoAnswer struct{}

// Unavailable means that calls are refused with status 503.
type Unavailable struct{}

// ConnClosed means that the connections of calls are closed without an answer.
type ConnClosed struct{}

// LateAnswers means that answers arrive late. They say what held before.
type LateAnswers struct{ By time.Duration }

func (NoOutage) outage()    {}
func (LateAnswers) outage() {}
func (NoAnswer) outage()    {}
func (Unavailable) outage() {}
func (ConnClosed) outage()  {}

// Store is a stand-in for the metadata store.
type Store struct {
	clock clock.Clock

	mu        sync.Mutex
	items     map[string]platform.Item
	history   []platform.Item
	revision  int64
	compacted int64
	// lag is the number of changes by which stale reads are behind.
	lag int64
	// base holds the items as of the revision compacted. era counts the restores.
	base    map[string]platform.Item
	era     int64
	outage  Outage
	changed chan struct{}
	calls   int
	// pageSize is the largest number of items in one page of a range.
	pageSize int
}

// NewStore returns an empty store.
func NewStore(c clock.Clock) *Store {
	return &Store{clock: c, items: map[string]platform.Item{}, revision: 1, outage: NoOutage{}, changed: make(chan struct{}), pageSize: itemsPerPage}
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) {
	s.apply(platform.Item{Key: key, Value: value})
}

// Delete removes an item.
func (s *Store) Delete(key string) { s.apply(platform.Item{Key: key, Deleted: true}) }

func (s *Store) apply(item platform.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	s.notify()
}

// SetPageSize sets the largest number of items in one page of a range.
func (s *Store) SetPageSize(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = items
}

// SetLag sets the number of changes by which reads that allow stale data are behind. It has no effect after Compact.
func (s *Store) SetLag(changes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = changes
}

// itemsAt returns the items as of a revision, or as of the last Compact if that is later. The caller holds the lock.
func (s *Store) itemsAt(revision int64) map[string]platform.Item {
	items := map[string]platform.Item{}
	maps.Copy(items, s.base)
	for _, item := range s.history {
		if item.Revision > revision {
			break
		}
		if item.Deleted {
			delete(items, item.Key)
		} else {
			items[item.Key] = item
		}
	}
	return items
}

// Compact drops the history, so that watches from an earlier revision end.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted, s.base = nil, s.revision, maps.Clone(s.items)
	s.notify()
}

// Copy is a copy of the store, as taken by Copy.
type Copy struct {
	items    map[string]platform.Item
	revision int64
}

// Copy takes a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{items: maps.Clone(s.items), revision: s.revision}
}

// Restore replaces the items by those of an earlier copy and begins another era. Revisions after that of the copy are
// assigned again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items, s.revision = maps.Clone(c.items), c.revision
	if s.compacted > c.revision {
		s.history, s.compacted, s.base = nil, c.revision, maps.Clone(c.items)
	}
	s.history = slices.DeleteFunc(s.history, func(item platform.Item) bool { return item.Revision > c.revision })
	s.notify()
}

// Era returns the era of the store: how often it has been restored.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetOutage sets the outage of the store, also for watches that are waiting. Calls that are left unanswered under
// NoAnswer stay unanswered.
func (s *Store) SetOutage(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
	s.notify()
}

// CallCount returns the number of calls received.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// notify wakes waiting watches. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers calls to the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if !s.checkOutage(w, r) {
		return
	}
	call, err := platform.DecodeStoreRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch c := call.(type) {
	case platform.RangeRequest:
		s.answerRange(w, c)
	case platform.WatchRequest:
		s.answerWatch(w, r, c)
	}
}

// checkOutage reports whether the store is free of outages, so that the call can be answered. Otherwise it handles the
// call as the outage requires.
func (s *Store) checkOutage(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	switch outage.(type) {
	case NoOutage, LateAnswers:
		return true
	case NoAnswer:
		<-r.Context().Done()
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ConnClosed:
		panic(http.ErrAbortHandler)
	}
	return false
}

func (s *Store) answerRange(w http.ResponseWriter, c platform.RangeRequest) {
	s.mu.Lock()
	var items []platform.Item
	visible, revision := s.items, s.revision
	if c.AllowStale && s.lag > 0 && s.compacted == 0 {
		revision -= s.lag
		visible = s.itemsAt(revision)
	}
	era := s.era
	for key, item := range visible {
		if strings.HasPrefix(key, c.Prefix) && key > c.After {
			items = append(items, item)
		}
	}
	pageSize := s.pageSize
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b platform.Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	s.writeAnswer(w, era, items, false, more, revision)
}

func (s *Store) answerWatch(w http.ResponseWriter, r *http.Request, c platform.WatchRequest) {
	timeout := s.clock.After(c.Wait)
	for {
		s.mu.Lock()
		var events []platform.Item
		for _, item := range s.history {
			if item.Revision > c.After && strings.HasPrefix(item.Key, c.Prefix) {
				events = append(events, item)
			}
		}
		revision, gone, changed := s.revision, c.After < s.compacted || s.era > 0 && c.After > s.revision, s.changed
		era := s.era
		s.mu.Unlock()
		switch {
		case !s.checkOutage(w, r):
			return
		case gone:
			setEra(w, era)
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			s.writeAnswer(w, era, events, true, false, revision)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.writeAnswer(w, era, nil, true, false, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// setEra tells the era of an answer. A store that was never restored tells none, like stores that predate eras.
func setEra(w http.ResponseWriter, era int64) {
	if era > 0 {
		platform.SetStoreEra(w.Header(), era)
	}
}

// writeAnswer writes the answer to a call, late if the store is set so.
func (s *Store) writeAnswer(w http.ResponseWriter, era int64, items []platform.Item, events, more bool, revision int64) {
	data, err := platform.EncodeItems(items, events, more, revision)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	if late, ok := outage.(LateAnswers); ok {
		<-s.clock.After(late.By)
	}
	setEra(w, era)
	_, _ = w.Write(data)
}
