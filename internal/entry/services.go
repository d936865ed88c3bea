package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/pkg/answer"
	"berylward.example/berylward/pkg/site"
)

const (
	// keyHeader is the request header with the caller's key for a call that may run at most once.
	keyHeader = "Idempotency-Key"
	// ticketHeader is the request header with a ticket that was issued to the caller.
	ticketHeader = "Berylward-Ticket"
	// maxKeyLength is the maximum length of a caller's key in bytes.
	maxKeyLength = 128
	// maxServiceAnswer is the maximum size of a plain service's answer in bytes. The answer is buffered until it is
	// complete.
	maxServiceAnswer = 8 << 20
)

// forwardedHeaders are the request headers that are forwarded to a plain service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Encoding"}

// serveCall serves one call of a plain service.
func (e *Entry) serveCall(w http.ResponseWriter, r bunrouter.Request, c caller) {
	service, rejection := findService(r, c)
	if rejection != nil {
		rejection.write(w)
		return
	}
	buffer := e.bodies.NewBuffer()
	defer buffer.Release()
	work, rejection := e.newCallWork(w, r, service, buffer)
	if rejection != nil {
		rejection.write(w)
		return
	}
	ctx, cancel, deadline, rejection := e.withDeadline(w, r, c)
	if rejection != nil {
		rejection.write(w)
		return
	}
	defer cancel()
	held := e.answers.Reserve()
	defer held.Release()
	out := &serviceWriter{held: held}
	outcome, _ := e.runRequest(ctx, e.newRequest(c, work, deadline), out)
	if f := failureOf(outcome); f != nil {
		f.write(w)
		return
	}
	out.write(w)
}

func findService(r bunrouter.Request, c caller) (site.Service, *failure) {
	name := r.Param("service")
	service, ok := c.snapshot.Service(name)
	if !ok || !c.workspace.MayUseService(name) {
		return site.Service{}, newRejection(answer.ReasonUnknownService, "service", "the workspace has no service %q", name)
	}
	return service, nil
}

func (e *Entry) newCallWork(w http.ResponseWriter, r bunrouter.Request, service site.Service, buffer *body.Buffer) (*callWork, *failure) {
	if rejection := readBody(w, r.Request, buffer); rejection != nil {
		return nil, rejection
	}
	data := buffer.Bytes()
	if len(data) > maxPrompt {
		return nil, newRejection(answer.ReasonTooLarge, "", "the body has %d bytes; at most %d are accepted", len(data), maxPrompt)
	}
	path := "/" + strings.TrimPrefix(r.Param("path"), "/")
	work := &callWork{
		service: service.Name, method: r.Method, path: path, body: data, header: http.Header{},
		idempotent: service.Idempotent(r.Method, path),
	}
	if r.URL.RawQuery != "" {
		work.path += "?" + r.URL.RawQuery
	}
	for _, name := range forwardedHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			work.header[name] = values
		}
	}
	key, ticket := r.Header.Get(keyHeader), r.Header.Get(ticketHeader)
	if len(key) > maxKeyLength {
		return nil, newRejection(answer.ReasonBadRequest, keyHeader, "header %q: at most %d bytes, got %d", keyHeader, maxKeyLength, len(key))
	}
	if key != "" && ticket != "" {
		return nil, newRejection(answer.ReasonBadRequest, ticketHeader, "send either %q or %q, not both", keyHeader, ticketHeader)
	}
	work.key, work.ticket = key, ticket
	return work, nil
}

// serveTicket issues a ticket. A ticket may be lost or requested again without harm.
func (e *Entry) serveTicket(w http.ResponseWriter, r bunrouter.Request, c caller) {
	service, rejection := findService(r, c)
	if rejection != nil {
		rejection.write(w)
		return
	}
	ctx, cancel, deadline, rejection := e.withDeadline(w, r, c)
	if rejection != nil {
		rejection.write(w)
		return
	}
	defer cancel()
	issued, f := e.issueTicket(ctx, e.newRequest(c, &callWork{service: service.Name, idempotent: true}, deadline))
	if f != nil {
		f.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcomeHeader, "done")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(struct {
		Ticket    string `json:"ticket"`
		ExpiresIn string `json:"expires-in"`
	}{issued.Ticket, issued.Expires.String()})
}

// serviceWriter buffers a plain service's answer until it is complete, because a response that has started cannot
// become an error.
type serviceWriter struct {
	status int
	header map[string][]string
	body   []byte
	// held is the memory of the body.
	held *body.Reservation
}

// setHead sets the status and headers and discards the body of an earlier attempt.
func (s *serviceWriter) setHead(status int, header map[string][]string) error {
	s.status, s.header, s.body = status, header, s.body[:0]
	return nil
}

func (s *serviceWriter) deliver(data []byte) error {
	if len(s.body)+len(data) > maxServiceAnswer {
		return &Error{Op: "deliver", Kind: KindRequest, Err: http.ErrContentLength}
	}
	if err := s.held.ResizeFor(len(s.body) + len(data)); err != nil {
		return err
	}
	s.body = append(s.body, data...)
	return nil
}

// returnedHeaders are the response headers that are returned to the caller.
var returnedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Cache-Control", "Etag", "Last-Modified"}

func (s *serviceWriter) write(w http.ResponseWriter) {
	for _, name := range returnedHeaders {
		if values := s.header[name]; len(values) > 0 {
			w.Header()[name] = values
		}
	}
	w.Header().Set(outcomeHeader, "done")
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body)
}
