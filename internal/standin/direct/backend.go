package direct

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/platform"
)

// Behavior is how a backend server treats its requests. It is a sealed interface: Works, Hangs, Refuses, Errors, Breaks,
// Unsigned and Foreign are its only implementations.
//
//sumtype:decl
type Behavior interface{ behavior() }

// Works means that requests are answered after their time.
type Works struct{}

// Hangs means that requests run and are never answered.
type Hangs struct{}

// Refuses means that requests are refused as not run.
type Refuses struct{}

// Errors means that requests run and fail, with a body of Size bytes.
type Errors struct{ Size int }

// Breaks means that the connection is closed: of a stream in the middle of the event after After, of another answer in the
// middle of its body.
type Breaks struct{ After int }

// Unsigned means that answers have no signature.
type Unsigned struct{}

// Foreign means that answers have the identifier of another request.
type Foreign struct{}

func (Works) behavior()    {}
func (Hangs) behavior()    {}
func (Refuses) behavior()  {}
func (Errors) behavior()   {}
func (Breaks) behavior()   {}
func (Unsigned) behavior() {}
func (Foreign) behavior()  {}

// Run is one request that a backend server ran.
type Run struct {
	platform.Received
	Path, Body string
	At         time.Time
	// Cut says that its connection was closed before its end.
	Cut bool
}

// Backend is a stand-in of a backend server. Streams have Events events, one each Step; other answers take one Step.
type Backend struct {
	Server roster.Server
	Events int
	Step   time.Duration
	clock  clock.Clock

	mu       sync.Mutex
	behavior Behavior
	runs     []Run
	arrivals int
	leases   map[string]lease
}

type lease struct {
	tokens int64
	until  time.Time
}

// NewBackend returns a backend server that works.
func NewBackend(s roster.Server, c clock.Clock) *Backend {
	return &Backend{Server: s, Events: 5, Step: 20 * time.Millisecond, clock: c, behavior: Works{}, leases: map[string]lease{}}
}

// Behave sets how requests are treated from now on.
func (b *Backend) Behave(behavior Behavior) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior = behavior
}

// Runs returns the requests that ran.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Arrivals returns how many requests came, those included that did not run.
func (b *Backend) Arrivals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals
}

// Reserved returns the tokens that are reserved.
func (b *Backend) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum int64
	now := b.clock.Now()
	for _, l := range b.leases {
		if now.Before(l.until) {
			sum += l.tokens
		}
	}
	return sum
}

// Event returns the bytes of one event of a request's stream.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, id, number)
}

// Body returns the answer to a request for a plain service.
func Body(id string) string { return "answer to " + id }

// ServeHTTP answers a request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	got, err := platform.Receive(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	behavior := b.behavior
	if got.Order == nil {
		b.arrivals++
	}
	b.mu.Unlock()
	reply := gateway.Reply{ID: got.ID, Signed: true}
	if got.Expected != b.Server.ID {
		platform.SetReply(w.Header(), gateway.Reply{ID: got.ID})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if got.Order != nil {
		b.order(w, *got.Order)
		return
	}
	switch behavior.(type) {
	case Refuses:
		platform.SetReply(w.Header(), gateway.Reply{ID: got.ID, NotRun: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unsigned:
		reply.Signed = false
	case Foreign:
		reply.ID = "another-request"
	default:
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := b.begin(got, r, body)
	platform.SetReply(w.Header(), reply)
	whole := b.answer(w, r, got, behavior)
	b.end(run, whole)
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

func (b *Backend) order(w http.ResponseWriter, o platform.Order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.Release {
		delete(b.leases, o.Lease)
		return
	}
	b.leases[o.Lease] = lease{tokens: o.Tokens, until: b.clock.Now().Add(o.Hold)}
	_, _ = io.WriteString(w, "{}")
}

func (b *Backend) begin(got platform.Received, r *http.Request, body []byte) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, Run{Received: got, Path: r.URL.Path, Body: string(body), At: b.clock.Now()})
	return len(b.runs) - 1
}

func (b *Backend) end(run int, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run].Cut = !whole
}

// answer writes the answer and returns whether it was written whole.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, got platform.Received, behavior Behavior) bool {
	switch behavior := behavior.(type) {
	case Hangs:
		<-r.Context().Done()
		return false
	case Errors:
		w.WriteHeader(http.StatusInternalServerError)
		_, err := w.Write(make([]byte, behavior.Size))
		return err == nil
	default:
	}
	if b.Events == 0 {
		return b.plain(w, r, got, behavior)
	}
	return b.stream(w, r, got, behavior)
}

func (b *Backend) plain(w http.ResponseWriter, r *http.Request, got platform.Received, behavior Behavior) bool {
	if !b.pause(r) {
		return false
	}
	text := Body(got.ID)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if _, ok := behavior.(Breaks); ok {
		text = text[:len(text)/2]
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		return false
	}
	_, err := io.WriteString(w, text)
	return err == nil
}

func (b *Backend) stream(w http.ResponseWriter, r *http.Request, got platform.Received, behavior Behavior) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := int(got.ResumeAfter) + 1; n <= b.Events; n++ {
		if !b.pause(r) {
			return false
		}
		text := Event(got.ID, n)
		breaks, ok := behavior.(Breaks)
		if ok && n > breaks.After {
			text = text[:len(text)/2]
		}
		if _, err := io.WriteString(w, text); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
		if ok && n > breaks.After {
			return false
		}
	}
	return true
}

// pause waits for one step and returns false when the connection was closed meanwhile.
func (b *Backend) pause(r *http.Request) bool {
	select {
	case <-b.clock.After(b.Step):
		return true
	case <-r.Context().Done():
		return false
	}
}
