package standin

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Service is a stand-in for a plain service with bookings that must not run twice. It counts the runs of each call
// across all its incarnations. It implements http.Handler.
type Service struct {
	settings settings
	server   *server
	handler  http.Handler

	mu            sync.Mutex
	incarnation   uuid.UUID
	runs          map[string]int
	bookings      int
	delay         time.Duration
	crashAfterRun CrashAfterRun
	lostAnswers   int
	// endless means that the bodies of answers never end.
	endless bool
	// status is the text in place of the status of answers, empty for the usual status.
	status string
	// early is the response that is written before the body of a call is read, empty for none.
	early string
}

// NewService returns a service that does not listen on an address, for use as an http.Handler. Call Stop to stop it.
func NewService(options ...Option) *Service {
	s := &Service{settings: defaultSettings(options), incarnation: uuid.New(), runs: map[string]int{}}
	s.server = newServer(s.settings, s)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.handleBooking)
	mux.HandleFunc("GET /slots", s.handleSlots)
	mux.HandleFunc("GET /stand-in/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	mux.HandleFunc("POST /stand-in/faults", handleFaults(s.Inject, false))
	s.handler = s.server.withFaults(mux)
	return s
}

// StartService returns a service that serves on a loopback address.
func StartService(options ...Option) (*Service, error) {
	s := NewService(options...)
	if err := s.server.listen(s.settings); err != nil {
		_ = s.Stop()
		return nil, err
	}
	return s, nil
}

// Addr returns the address that the service listens on. It stays the same across crashes.
func (s *Service) Addr() netip.AddrPort { return s.server.addr }

// Stop stops the service and closes its connections abruptly.
func (s *Service) Stop() error { return s.server.stop() }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Runs returns how often each booking has run, by its Idempotency-Key or, when it has none, by its body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Inject injects a fault.
func (s *Service) Inject(fault Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f := fault.(type) {
	case Crash:
		s.crash(f.Downtime)
	case Freeze:
		s.server.freeze(orIndefinite(f.Duration))
	case SilenceConns:
		s.server.silenceConns()
	case ClearFaults:
		s.delay, s.crashAfterRun, s.lostAnswers, s.endless, s.status, s.early = 0, CrashAfterRun{}, 0, false, "", ""
		s.server.restore()
	case Delay:
		s.delay = f.Duration
	case CrashAfterRun:
		s.crashAfterRun = f
	case LoseAnswer:
		s.lostAnswers = f.Count
	case EndlessAnswers:
		s.endless = f.On
	case AnswerStatus:
		s.status = f.Text
	case AnswerEarly:
		s.early = f.Response
	case TurnCold, CrashOnMarker, IgnoreCancels, IgnoreFences, Slow, Unreachable, Stale:
		return unsupportedFault(fault)
	}
	return nil
}

func (s *Service) crash(down time.Duration) {
	s.incarnation = uuid.New()
	s.server.interrupt(cmp.Or(down, s.settings.restartTime))
}

// delayCall applies the Delay fault and the connection faults before a call runs.
func (s *Service) delayCall(r *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if !s.server.sleep(r.Context(), delay) {
		panic(http.ErrAbortHandler)
	}
	s.server.holdAnswer(r.Context())
}

// handleBooking runs every call, even when its key was seen before. The caller is responsible for not repeating a call.
func (s *Service) handleBooking(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	early := s.early
	s.mu.Unlock()
	if early != "" {
		writeRaw(w, early)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = string(body)
	}
	s.delayCall(r)
	s.mu.Lock()
	s.bookings++
	s.runs[key]++
	run, confirmation := s.runs[key], fmt.Sprintf("%.8s-%d", s.incarnation, s.bookings)
	answered := true
	switch {
	case s.crashAfterRun.Count > 0:
		s.crashAfterRun.Count--
		s.crash(s.crashAfterRun.Downtime)
		answered = false
	case s.lostAnswers > 0:
		s.lostAnswers--
		answered = false
	}
	endless, status := s.endless, s.status
	s.mu.Unlock()
	if !answered {
		panic(http.ErrAbortHandler)
	}
	if status != "" {
		writeStatus(w, status)
		return
	}
	if endless {
		writeEndlessly(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, struct {
		Confirmation string `json:"confirmation"`
		Run          int    `json:"run"`
	}{confirmation, run})
}

func (s *Service) handleSlots(w http.ResponseWriter, r *http.Request) {
	s.delayCall(r)
	s.mu.Lock()
	endless, status := s.endless, s.status
	s.mu.Unlock()
	if status != "" {
		writeStatus(w, status)
		return
	}
	if endless {
		writeEndlessly(w)
		return
	}
	writeJSON(w, struct {
		Slots []string `json:"slots"`
	}{[]string{"18:00", "19:00", "20:00", "21:00"}})
}

// writeStatus writes a complete answer with a text in place of the status, which net/http would not write.
func writeStatus(w http.ResponseWriter, text string) {
	writeRaw(w, "HTTP/1.1 "+text+"\r\nContent-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
}

// writeRaw writes the text of a response and closes the connection.
func writeRaw(w http.ResponseWriter, response string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, response)
}

// endlessPart is the size in bytes of each write of a body without end.
const endlessPart = 32 << 10

// writeEndlessly writes a body until the connection is closed.
func writeEndlessly(w http.ResponseWriter) {
	part := bytes.Repeat([]byte("x"), endlessPart)
	for {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}
