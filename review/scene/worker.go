//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a worker has run.
type run struct {
	id, tenant, key string
	method, target  string
	at              time.Time
	body            string
}

// worker is a stand-in for an application worker, which sends its entry to the store.
type worker struct {
	stage             *stage
	id, service, zone string
	address           string
	slots             int
	state             string
	coldLeft          time.Duration
	born              time.Time
	work              time.Duration
	events            int // of a stream; zero for a plain service
	mu                sync.Mutex
	seq               int64
	runs              []run
	refused           int
	server            *http.Server
	// crashRate is the number of requests within a second that a cold worker does not survive; zero if it survives any.
	crashRate int
	crashed   bool
	answer    func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

// addWorker starts a worker and writes its entry.
func (s *stage) addWorker(number int, service, zone string) (*worker, error) {
	w := &worker{stage: s, id: fmt.Sprintf("i-%08d", number), service: service, zone: zone, address: fmt.Sprintf("%s:%d", s.ip(2, number), 8120), slots: 16, state: "ready", born: time.Now(), work: 10 * time.Millisecond}
	if err := w.listen(); err != nil {
		return nil, err
	}
	w.writeEntry()
	return w, nil
}

func (w *worker) listen() error {
	server, err := w.stage.listen(w.address, w)
	w.server = server
	return err
}

// writeEntry writes the entry of the worker to the store.
func (w *worker) writeEntry() time.Time {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"coldLeftMs": w.coldLeft.Milliseconds(), "seq": w.seq, "born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	w.stage.logf("worker %s (%s, %s) writes its entry: %s", w.id, w.service, w.zone, data)
	return w.stage.store.put("servers/"+w.id, data)
}

func (w *worker) runsCopy() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// ServeHTTP handles a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/healthz":
		rw.Header().Set("Instance-Id", w.id)
		return
	case "/-/report":
		_, _ = io.WriteString(rw, `{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":315000,"handles":0,"tickets":[]}`)
		return
	case "/-/order":
		_, _ = io.WriteString(rw, `{"free":315000}`)
		return
	}
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Lock()
		w.refused++
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id: id, tenant: r.Header.Get("Tenant"), key: r.Header.Get("Api-Key"), method: r.Method, target: r.URL.RequestURI(), at: time.Now(), body: string(body)})
	crashes := w.overloaded()
	w.mu.Unlock()
	w.stage.logf("worker %s (%s, %s) runs %s %s", w.id, w.service, w.zone, id, r.URL.RequestURI())
	if crashes {
		w.stage.logf("worker %s crashes", w.id)
		_ = w.server.Close()
		return
	}
	rw.Header().Set("Response-Seal", "seal-"+w.id+"-"+id)
	if w.answer != nil && w.answer(rw, r, body) {
		return
	}
	if w.events > 0 {
		w.stream(rw, r, id)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	text := answerText(id)
	rw.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(rw, text)
}

// overloaded reports whether a cold worker has got more requests within the last second than it survives, and crashes now. The
// caller holds the lock.
func (w *worker) overloaded() bool {
	now := time.Now()
	if w.crashRate == 0 || w.crashed || now.Sub(w.born) >= w.coldLeft {
		return false
	}
	recent := 0
	for _, x := range w.runs {
		if now.Sub(x.at) < time.Second {
			recent++
		}
	}
	w.crashed = recent >= w.crashRate
	return w.crashed
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &first)
		first++
	}
	for n := first; n <= w.events; n++ {
		select {
		case <-time.After(w.work):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(rw, eventText(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
}

func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
}

func answerText(id string) string { return strings.Repeat("answer to "+id+".", 8) }
