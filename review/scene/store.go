//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeHistory is how long the store keeps its history, historyS of the settings.
	storeHistory = 20 * time.Second
	// pageItems is the largest number of items in a page of a range.
	pageItems = 500
)

// storeItem is an item of the store, or the removal of one.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu        sync.Mutex
	items     map[string]storeItem
	history   []storeItem
	revision  int64
	discarded int64 // the latest revision that is not in the history any more
	era       int64
	away      bool
	changed   chan struct{}
}

func newStore() *store {
	return &store{items: map[string]storeItem{}, revision: 1, changed: make(chan struct{})}
}

// put writes an item and returns the time of the confirmation.
func (s *store) put(key string, value []byte) time.Time {
	return s.apply(storeItem{Key: key, Value: value})
}

func (s *store) remove(key string) time.Time { return s.apply(storeItem{Key: key, Deleted: true}) }

func (s *store) apply(it storeItem) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Rev, it.Created, it.at = s.revision, s.revision, time.Now()
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	s.wake()
	return time.Now()
}

// wake wakes the watches that wait. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeCopy is a copy of the store.
type storeCopy struct {
	items    map[string]storeItem
	revision int64
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{items: map[string]storeItem{}, revision: s.revision}
	for k, v := range s.items {
		c.items[k] = v
	}
	return c
}

// leave makes the store unreachable until restore.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision, s.discarded = c.items, c.revision, c.revision
	s.history, s.away = nil, false
	s.era++
	s.wake()
}

// trim discards the history that is too old. The caller holds the lock.
func (s *store) trim() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.discarded = s.history[0].Rev
		s.history = s.history[1:]
	}
}

// door is the address at which one machine reaches the store. The store may reject single machines.
type door struct {
	store  *store
	mu     sync.Mutex
	reject bool
	// watchBytes is the size of the largest answer to a watch.
	watchBytes int
}

func (d *door) setReject(reject bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reject = reject
}

func (d *door) rejects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reject
}

func (d *door) largestWatch() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watchBytes
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := d.store
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	if d.rejects() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		d.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, it)
		}
	}
	revision, era := s.revision, s.era
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	writeStoreAnswer(w, era, map[string]any{"items": items, "hasMore": more, "currentRev": revision})
}

func (d *door) serveWatch(w http.ResponseWriter, r *http.Request) {
	s := d.store
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.trim()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		gone, away := after < s.discarded || after > s.revision, s.away
		revision, era, changed := s.revision, s.era, s.changed
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case d.rejects():
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			setEra(w, era)
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			n := writeStoreAnswer(w, era, map[string]any{"events": events, "currentRev": revision})
			d.mu.Lock()
			d.watchBytes = max(d.watchBytes, n)
			d.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeStoreAnswer(w, era, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func setEra(w http.ResponseWriter, era int64) {
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
}

func writeStoreAnswer(w http.ResponseWriter, era int64, answer any) int {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	setEra(w, era)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	n, _ := w.Write(data)
	return n
}
