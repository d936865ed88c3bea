package standin

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"berylward.example/berylward/internal/platformclient"
)

const (
	// maxValueBytes is the largest size of a value.
	maxValueBytes = 1 << 20
	// maxWatchTime is the longest time for which the platform holds a watch open.
	maxWatchTime = time.Minute
)

// Platform is a stand-in for the configuration service and the instance list. All readers share one rate limit. It
// implements http.Handler.
type Platform struct {
	settings settings
	server   *server
	handler  http.Handler

	mu      sync.Mutex
	values  map[string]platformclient.Value
	lists   []scheduledList
	stale   *staleView
	delay   time.Duration
	limiter *rate.Limiter
	calls   Calls
	changed chan struct{}
}

// Calls counts the calls of readers: Answered those within the rate limit, Refused those above it.
type Calls struct {
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
}

type scheduledList struct {
	visibleAt time.Time
	platformclient.InstanceList
}

// staleView is the state that the platform serves while the Stale fault is on.
type staleView struct {
	values map[string]platformclient.Value
	list   platformclient.InstanceList
}

// NewPlatform returns a platform that does not listen on an address, for use as an http.Handler. Call Stop to stop it.
func NewPlatform(options ...Option) *Platform {
	p := &Platform{settings: defaultSettings(options), values: map[string]platformclient.Value{}, changed: make(chan struct{})}
	// A burst of a tenth of a second keeps the calls within any second close to the limit.
	p.limiter = rate.NewLimiter(rate.Limit(p.settings.rate), max(p.settings.rate/10, 1))
	first := platformclient.InstanceList{Version: 1, Instances: append([]platformclient.Instance{}, p.settings.instances...)}
	p.lists = []scheduledList{{p.settings.clock.Now(), first}}
	p.server = newServer(p.settings, p)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", p.handleValue)
	mux.HandleFunc("GET /v1/instances", p.handleInstances)
	mux.HandleFunc("PUT /stand-in/values/{name}", p.handlePublish)
	mux.HandleFunc("PUT /stand-in/instances", p.handlePublishInstances)
	mux.HandleFunc("GET /stand-in/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	mux.HandleFunc("POST /stand-in/faults", handleFaults(p.Inject, true))
	p.handler = p.server.withFaults(mux)
	return p
}

// StartPlatform returns a platform that serves on a loopback address.
func StartPlatform(options ...Option) (*Platform, error) {
	p := NewPlatform(options...)
	if err := p.server.listen(p.settings); err != nil {
		_ = p.Stop()
		return nil, err
	}
	return p, nil
}

// Addr returns the address that the platform listens on.
func (p *Platform) Addr() netip.AddrPort { return p.server.addr }

// Stop stops the platform and closes its connections abruptly.
func (p *Platform) Stop() error { return p.server.stop() }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.handler.ServeHTTP(w, r) }

// Calls returns the numbers of the readers' calls so far. A watch counts as one call.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Publish sets a value and returns its version. Values are at most 1 MiB.
func (p *Platform) Publish(name string, data []byte) (uint64, error) {
	if len(data) > maxValueBytes {
		return 0, &Error{Op: "publish " + name, Kind: KindSize, Err: fmt.Errorf("%d bytes are over %d", len(data), maxValueBytes)}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.values[name].Version + 1
	p.values[name] = platformclient.Value{Name: name, Version: version, Data: data}
	p.notify()
	return version, nil
}

// PublishInstances replaces the instance list. Readers see the new list after the lag.
func (p *Platform) PublishInstances(instances ...platformclient.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := platformclient.InstanceList{Version: p.lists[len(p.lists)-1].Version + 1, Instances: append([]platformclient.Instance{}, instances...)}
	p.lists = append(p.lists, scheduledList{p.settings.clock.Now().Add(p.settings.instanceLag), list})
	p.notify()
}

// Inject injects a fault.
func (p *Platform) Inject(fault Fault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch f := fault.(type) {
	case Crash:
		p.server.interrupt(cmp.Or(f.Downtime, p.settings.restartTime))
	case Unreachable:
		if f.On {
			p.server.interrupt(orIndefinite(f.Duration))
		} else {
			p.server.restore()
		}
	case Freeze:
		p.server.freeze(orIndefinite(f.Duration))
	case SilenceConns:
		p.server.silenceConns()
	case Delay:
		p.delay = f.Duration
	case Stale:
		p.stale = nil
		if f.On {
			list, _ := p.visibleList()
			p.stale = &staleView{maps.Clone(p.values), list}
		}
		p.notify()
	case ClearFaults:
		p.delay, p.stale = 0, nil
		p.server.restore()
		p.notify()
	case TurnCold, CrashOnMarker, IgnoreCancels, IgnoreFences, Slow, CrashAfterRun, LoseAnswer, EndlessAnswers, AnswerStatus, AnswerEarly:
		return unsupportedFault(fault)
	}
	return nil
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visibleList returns the instance list that readers see, and the time until the next one becomes visible, or zero when
// there is none.
func (p *Platform) visibleList() (platformclient.InstanceList, time.Duration) {
	now := p.settings.clock.Now()
	for len(p.lists) > 1 && !p.lists[1].visibleAt.After(now) {
		p.lists = p.lists[1:]
	}
	if p.stale != nil {
		return p.stale.list, 0
	}
	if len(p.lists) > 1 {
		return p.lists[0].InstanceList, p.lists[1].visibleAt.Sub(now)
	}
	return p.lists[0].InstanceList, 0
}

func (p *Platform) handleValue(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	p.serveRead(w, r, func() (uint64, any, time.Duration) {
		values := p.values
		if p.stale != nil {
			values = p.stale.values
		}
		return values[name].Version, values[name], 0
	})
}

func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	p.serveRead(w, r, func() (uint64, any, time.Duration) {
		list, next := p.visibleList()
		return list.Version, list, next
	})
}

// serveRead answers a read or a watch. read is called with the lock held. It returns the version (zero when there is no
// value), the body, and the time after which it must be called again even without a change (zero when there is none).
func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, read func() (uint64, any, time.Duration)) {
	allowed, delay := p.countCall()
	if !allowed {
		writeError(w, http.StatusTooManyRequests, "over the rate limit")
		return
	}
	if !p.server.sleep(r.Context(), delay) {
		panic(http.ErrAbortHandler)
	}
	watch, after, wait, err := parseWatch(r.URL.Query())
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	deadline := p.settings.clock.Now().Add(min(wait, maxWatchTime))
	for {
		p.mu.Lock()
		version, body, next := read()
		changed := p.changed
		p.mu.Unlock()
		remaining := deadline.Sub(p.settings.clock.Now())
		switch {
		case version == 0 && (!watch || remaining <= 0):
			p.server.holdAnswer(r.Context())
			writeError(w, http.StatusNotFound, "no such value")
			return
		case version != 0 && (!watch || version != after):
			p.server.holdAnswer(r.Context())
			writeCompressed(w, r, body)
			return
		case remaining <= 0:
			p.server.holdAnswer(r.Context())
			w.WriteHeader(http.StatusNotModified)
			return
		}
		if next > 0 {
			remaining = min(remaining, next)
		}
		timer := p.settings.clock.NewTimer(remaining)
		select {
		case <-timer.C():
		case <-changed:
		case <-r.Context().Done():
			timer.Stop()
			return
		case <-p.server.tomb.Dying():
			panic(http.ErrAbortHandler)
		}
		timer.Stop()
	}
}

// countCall takes a call from the rate limit. It reports whether the call is allowed and by how long it is delayed.
func (p *Platform) countCall() (allowed bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.limiter.AllowN(p.settings.clock.Now(), 1) {
		p.calls.Refused++
		return false, p.delay
	}
	p.calls.Answered++
	return true, p.delay
}

// parseWatch parses the query of a read. A query with the parameter after is a watch, which waits for a version other
// than after.
func parseWatch(query url.Values) (watch bool, after uint64, wait time.Duration, err error) {
	if !query.Has("after") {
		return false, 0, 0, nil
	}
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err == nil && query.Has("wait") {
		wait, err = time.ParseDuration(query.Get("wait"))
	}
	return true, after, wait, err
}

func (p *Platform) handlePublish(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	version, err := p.Publish(r.PathValue("name"), data)
	var failure *Error
	if errors.As(err, &failure) {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	writeJSON(w, struct {
		Version uint64 `json:"version"`
	}{version})
}

func (p *Platform) handlePublishInstances(w http.ResponseWriter, r *http.Request) {
	var instances []platformclient.Instance
	if !readJSON(w, r, &instances) {
		return
	}
	p.PublishInstances(instances...)
	w.WriteHeader(http.StatusNoContent)
}
