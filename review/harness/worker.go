//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker: a model engine, or a server of a plain service.
type worker struct {
	fleet             *fleet
	id, service, zone string
	address           netip.AddrPort
	born              time.Time
	slots             int
	engine            bool
	work              time.Duration // of a plain request
	events            int
	eventGap          time.Duration
	// reading is held by the request whose prompt is read. The others wait in the order of arrival.
	reading chan struct{}

	mu        sync.Mutex
	state     string // of its entry; empty when it has none
	seq       int
	runs      []run
	stopBeats chan struct{}
}

// run is what a worker saw of one request.
type run struct {
	id, path       string
	arrived, began time.Time
	ended          time.Time
	outcome        string
}

func (f *fleet) addWorker(id, service, zone string, engine bool) (*worker, error) {
	l, err := net.Listen("tcp", f.host().String()+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		fleet: f, id: id, service: service, zone: zone, address: netip.MustParseAddrPort(l.Addr().String()), born: time.Now(), slots: 6,
		engine: engine, work: 15 * time.Millisecond, events: 16, eventGap: 55 * time.Millisecond, reading: make(chan struct{}, 1),
		state: "ready", stopBeats: make(chan struct{}),
	}
	if engine {
		w.slots = 16
	}
	f.serve(l, w)
	f.workers = append(f.workers, w)
	w.beat()
	go w.beats()
	f.closers = append(f.closers, func() { close(w.stopBeats) })
	return w, nil
}

// entry returns the worker's entry in the store.
func (w *worker) entry() map[string]any {
	w.seq++
	return map[string]any{
		"service": w.service, "address": w.address.String(), "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"coldLeftMs": 0, "seq": w.seq, "born": w.born.UnixMilli(),
	}
}

// beat writes the entry.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != "" {
		w.fleet.put("servers/"+w.id, w.entry())
	}
}

// beats writes the entry each heartbeat. The store's entry changes when more than seq changes, so that only a beat that
// finds another entry there is written again.
func (w *worker) beats() {
	for {
		select {
		case <-w.stopBeats:
			return
		case <-time.After(heartbeat):
		}
		if w.fleet.overwritten(w.id) {
			w.beat()
		}
	}
}

// overwrittenBy holds the keys that another writer has written since the last beat.
var overwrittenBy sync.Map

func (f *fleet) overwritten(id string) bool {
	_, found := overwrittenBy.LoadAndDelete(id)
	return found
}

// putForeign writes an entry as another writer.
func (f *fleet) putForeign(id string, value any) {
	overwrittenBy.Store(id, true)
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.store.Put("servers/"+id, data)
	f.rec.add("store: servers/%s = %s (by another writer)", id, data)
}

func (w *worker) runsNow() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.fleet.rec.add("worker %s: %s %s expects %s: 421", w.id, id, r.URL.Path, expected)
		rw.Header().Set("Instance-Id", w.id)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/order" {
		_, _ = io.WriteString(rw, `{"free":100000}`)
		return
	}
	n := w.arrive(id, r)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.end(n, "request broke off")
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if strings.HasPrefix(r.Header.Get("Accept"), "text/event-stream") || r.Header.Get("Token-Counts") != "" {
		w.stream(ctx, rw, r, n)
		return
	}
	w.begin(n)
	if !sleep(ctx, w.work) {
		w.end(n, "channel closed")
		return
	}
	body := fmt.Sprintf("answer of %s to %s", w.id, id)
	rw.Header().Set("Response-Seal", "seal-"+w.id+"-"+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
	w.end(n, "answered")
}

func (w *worker) arrive(id string, r *http.Request) int {
	w.fleet.rec.add("worker %s (%s): %s %s %s arrives, Tenant %q Deadline-Ms %s Helpers %q", w.id, w.service, id, r.Method, r.URL.Path,
		r.Header.Get("Tenant"), r.Header.Get("Deadline-Ms"), r.Header.Get("Helpers"))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run{id: id, path: r.URL.Path, arrived: time.Now()})
	return len(w.runs) - 1
}

func (w *worker) begin(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[n].began = time.Now()
	w.fleet.rec.add("worker %s (%s): %s runs", w.id, w.service, w.runs[n].id)
}

func (w *worker) end(n int, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[n].ended, w.runs[n].outcome = time.Now(), outcome
	w.fleet.rec.add("worker %s (%s): %s ends: %s", w.id, w.service, w.runs[n].id, outcome)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// readTime is how long one engine reads a prompt, by the figures of the service's engine on the pages.
func readTime(tokens float64) time.Duration {
	ms := tokens/177 + tokens*tokens/2/1e6*0.184
	return time.Duration(ms * float64(time.Millisecond))
}

// stream reads the prompt, in even parts at this worker and at the helpers, and sends the events.
func (w *worker) stream(ctx context.Context, rw http.ResponseWriter, r *http.Request, n int) {
	counts, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.ParseFloat(counts, 64)
	readers := []*worker{w}
	if list := r.Header.Get("Helpers"); list != "" {
		for _, entry := range strings.Split(list, ",") {
			address, _, _ := strings.Cut(strings.TrimSpace(entry), "/")
			for _, other := range w.fleet.workers {
				if other.address.String() == address && other != w {
					readers = append(readers, other)
				}
			}
		}
	}
	part := readTime(tokens) / time.Duration(len(readers))
	done := make(chan bool, len(readers))
	for _, reader := range readers {
		go func() {
			select {
			case reader.reading <- struct{}{}:
			case <-ctx.Done():
				done <- false
				return
			}
			ok := sleep(ctx, part)
			<-reader.reading
			done <- ok
		}()
	}
	ok := true
	for range readers {
		ok = <-done && ok
	}
	if !ok {
		w.end(n, "channel closed before the first event")
		return
	}
	w.begin(n)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Response-Seal", "seal-"+w.id+"-"+r.Header.Get("Attempt-Id"))
	for event := after + 1; event <= w.events; event++ {
		_, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", event, r.Header.Get("Attempt-Id"), event)
		if err != nil || http.NewResponseController(rw).Flush() != nil || !sleep(ctx, w.eventGap) {
			w.end(n, fmt.Sprintf("channel closed after event %d", event))
			return
		}
	}
	w.end(n, "answered")
}
