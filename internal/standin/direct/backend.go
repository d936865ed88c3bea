package direct

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/platform"
)

// Run is one request that a backend server has run.
type Run struct {
	platform.BackendRequest
	Path, Body string
	At         time.Time
	// Incomplete reports that the response ended before it was complete.
	Incomplete bool
}

// Backend is a stand-in for a backend server. A stream consists of Events events, one per StepTime. When Events is
// zero, the server is a plain service, whose responses take one StepTime. Server, Events and StepTime must not change
// while requests are handled.
type Backend struct {
	Server   roster.Server
	Events   int
	StepTime time.Duration
	// End ends the server: its connections are closed, and new ones are refused. EndsOnPart and EndsOnPath
	// need it.
	End   func()
	clock clock.Clock

	mu       sync.Mutex
	fault    ServerFault
	runs     []Run
	arrivals int
	orders   int
	reports  int
	leases   map[string]lease
}

type lease struct {
	tokens    int64
	expiresAt time.Time
	used      bool
}

// NewBackend returns a backend server without a fault.
func NewBackend(s roster.Server, c clock.Clock) *Backend {
	return &Backend{Server: s, Events: 5, StepTime: 20 * time.Millisecond, clock: c, fault: NoFault{}, leases: map[string]lease{}}
}

// SetFault sets the fault for later requests. Requests that are being handled keep theirs.
func (b *Backend) SetFault(fault ServerFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = fault
}

// Fault returns the fault for later requests.
func (b *Backend) Fault() ServerFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault
}

// Runs returns the requests that have run.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Arrivals returns the number of requests received, including those that did not run. Lease orders are not counted.
func (b *Backend) Arrivals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals
}

// Orders returns the number of lease orders received.
func (b *Backend) Orders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.orders
}

// Reports returns the number of questions for the server's reservations received.
func (b *Backend) Reports() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reports
}

// Reserved returns the number of tokens that are reserved by leases that have not expired.
func (b *Backend) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum int64
	now := b.clock.Now()
	for _, l := range b.leases {
		if now.Before(l.expiresAt) {
			sum += l.tokens
		}
	}
	return sum
}

// ReservedUntil returns the latest time at which a lease that was not released expires, or the zero time.
func (b *Backend) ReservedUntil() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var latest time.Time
	for _, l := range b.leases {
		if l.expiresAt.After(latest) {
			latest = l.expiresAt
		}
	}
	return latest
}

// Event returns the text of one event in the response stream of a request.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, id, number)
}

// Body returns the response body for a request to a plain service.
func Body(id string) string { return "answer to " + id }

// ServeHTTP handles a request or a lease order.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := platform.DecodeBackendRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	fault := b.fault
	switch {
	case request.Report:
		b.reports++
	case request.Order != nil:
		b.orders++
	default:
		b.arrivals++
	}
	b.mu.Unlock()
	if _, vanished := fault.(Vanished); vanished {
		<-r.Context().Done()
		return
	}
	head := gateway.ResponseHead{ID: request.ID, Signed: true}
	if request.ExpectedServer != b.Server.ID {
		platform.SetResponseHead(w.Header(), gateway.ResponseHead{ID: request.ID})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.Report {
		b.handleReport(w, r, fault)
		return
	}
	if request.Order != nil {
		if _, refuses := fault.(RefusesLeases); refuses && !request.Order.Release {
			w.WriteHeader(http.StatusConflict)
			return
		}
		b.handleOrder(w, *request.Order)
		return
	}
	switch fault := fault.(type) {
	case Refuses:
		platform.SetResponseHead(w.Header(), gateway.ResponseHead{ID: request.ID, NotRun: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RefusesFor:
		platform.SetResponseHead(w.Header(), gateway.ResponseHead{ID: request.ID, NotRun: true, RetryAfter: fault.For})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RepeatsRefusal:
		b.repeatRefusal(w, r)
		return
	case Leaves:
		head.Leaving = true
	case Endless:
		head.NotRun = fault.Refusal
	case StatusText:
		head.NotRun = fault.Refusal
	case Unsigned:
		head.Signed = false
	case WrongID:
		head.ID = "another-request"
	default:
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch fault := fault.(type) {
	case NeverBegins:
		<-r.Context().Done()
		return
	case BeginsAfter:
		if !b.wait(r, fault.Delay) {
			return
		}
	default:
	}
	runIndex := b.recordRun(request, r, body)
	platform.SetResponseHead(w.Header(), head)
	complete := b.answer(w, r, request, fault)
	b.endRun(runIndex, complete)
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// repeatRefusal takes over a connection whose first request has been received.
func (b *Backend) repeatRefusal(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	header := http.Header{}
	platform.SetResponseHead(header, gateway.ResponseHead{NotRun: true})
	refusal := &http.Response{StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: header}
	if refusal.Write(conn) != nil {
		return
	}
	next, err := http.ReadRequest(buffer.Reader)
	if err != nil {
		return
	}
	body, _ := io.ReadAll(next.Body)
	request, err := platform.DecodeBackendRequest(next)
	if err != nil {
		return
	}
	runIndex := b.recordRun(request, next, body)
	_ = refusal.Write(conn)
	b.clock.Sleep(b.StepTime)
	header = http.Header{}
	platform.SetResponseHead(header, gateway.ResponseHead{ID: request.ID, Signed: true})
	text := Event(request.ID, 1)
	answer := &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(len(text)),
		Body: io.NopCloser(strings.NewReader(text)),
	}
	b.endRun(runIndex, answer.Write(conn) == nil)
}

func (b *Backend) handleOrder(w http.ResponseWriter, order platform.Order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if order.Release {
		delete(b.leases, order.Lease)
		return
	}
	b.leases[order.Lease] = lease{tokens: order.Tokens, expiresAt: b.clock.Now().Add(order.Hold), used: b.leases[order.Lease].used}
	_, _ = io.WriteString(w, "{}")
}

// handleReport answers the question for the reservations, or leaves it without an answer.
func (b *Backend) handleReport(w http.ResponseWriter, r *http.Request, fault ServerFault) {
	if never, ok := fault.(NeverBegins); ok && never.NoReport {
		<-r.Context().Done()
		return
	}
	var reservations []gateway.Reservation
	b.mu.Lock()
	now := b.clock.Now()
	for id, l := range b.leases {
		if now.Before(l.expiresAt) {
			reservations = append(reservations, gateway.Reservation{Lease: id, Used: l.used})
		}
	}
	b.mu.Unlock()
	_ = platform.WriteReport(w, reservations)
}

func (b *Backend) recordRun(request platform.BackendRequest, r *http.Request, body []byte) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, ok := b.leases[request.Lease]; ok {
		l.used = true
		b.leases[request.Lease] = l
	}
	b.runs = append(b.runs, Run{BackendRequest: request, Path: r.URL.Path, Body: string(body), At: b.clock.Now()})
	return len(b.runs) - 1
}

func (b *Backend) endRun(runIndex int, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[runIndex].Incomplete = !complete
}

// answer writes the response body and reports whether it was written completely.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, request platform.BackendRequest, fault ServerFault) bool {
	switch fault := fault.(type) {
	case CutsHead, Unframed, StatusText:
		return b.answerRaw(w, r, request, fault)
	case Endless:
		return writeEndless(w, fault)
	case NeverAnswers:
		<-r.Context().Done()
		return false
	case EndsOnPath:
		if r.URL.Path == fault.Path {
			b.clock.Sleep(fault.After)
			b.End()
			return false
		}
	case Errors:
		w.WriteHeader(http.StatusInternalServerError)
		_, err := w.Write(make([]byte, fault.Size))
		return err == nil
	default:
	}
	if b.Events == 0 {
		return b.answerPlain(w, r, request, fault)
	}
	return b.answerStream(w, r, request, fault)
}

func (b *Backend) answerPlain(w http.ResponseWriter, r *http.Request, request platform.BackendRequest, fault ServerFault) bool {
	if !b.waitStep(r) {
		return false
	}
	if pauses, ok := fault.(Pauses); ok && !b.wait(r, pauses.For) {
		return false
	}
	if _, ok := fault.(Drips); ok {
		return b.drip(w, r)
	}
	body := Body(request.ID)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if _, ok := fault.(ClosesEarly); ok {
		body = body[:len(body)/2]
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		return false
	}
	_, err := io.WriteString(w, body)
	return err == nil
}

func (b *Backend) answerStream(w http.ResponseWriter, r *http.Request, request platform.BackendRequest, fault ServerFault) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	if _, ok := fault.(NoEvents); ok {
		return b.writeNoEvents(w, r)
	}
	for n := int(request.ResumeAfter) + 1; n <= b.Events; n++ {
		if pauses, ok := fault.(Pauses); ok && n == pauses.After+1 && !b.wait(r, pauses.For) {
			return false
		}
		if !b.waitStep(r) {
			return false
		}
		if ends, ok := fault.(EndsOnPart); ok && slices.Contains(request.Parts, ends.Part) {
			b.End()
			return false
		}
		event := Event(request.ID, n)
		closesEarly, ok := fault.(ClosesEarly)
		if ok && n > closesEarly.After {
			event = event[:len(event)/2]
		}
		if _, err := io.WriteString(w, event); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
		if ok && n > closesEarly.After {
			return false
		}
	}
	return true
}

// maxDripped is the length of a dripping body in bytes.
const maxDripped = 10_000

// drip writes a body of maxDripped bytes, one per step.
func (b *Backend) drip(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("Content-Length", fmt.Sprint(maxDripped))
	for range maxDripped {
		if !b.waitStep(r) {
			return false
		}
		if _, err := io.WriteString(w, "."); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
	}
	return true
}

// writeNoEvents writes comments in steps until the connection is closed.
func (b *Backend) writeNoEvents(w http.ResponseWriter, r *http.Request) bool {
	for b.waitStep(r) {
		if _, err := io.WriteString(w, ": no event\n"); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
	}
	return false
}

// waitStep waits for one step. It reports whether the connection stayed open for the whole step.
func (b *Backend) waitStep(r *http.Request) bool { return b.wait(r, b.StepTime) }

// wait waits for a time. It reports whether the connection stayed open for all of it.
func (b *Backend) wait(r *http.Request, d time.Duration) bool {
	select {
	case <-b.clock.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
