package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"berylward.example/berylward/internal/engine"
)

// maxLineTextBytes limits the text of one line, far below the client's limit of 1 MiB for a line.
const maxLineTextBytes = 64 << 10

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams", e.handleRun)
	mux.HandleFunc("GET /v1/streams", e.handleStreams)
	mux.HandleFunc("GET /v1/streams/{id}", e.handleAttach)
	mux.HandleFunc("PUT /v1/streams/{id}", e.handleChange)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.handleCancel)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("GET /v1/cache/events", e.handleEvents)
	mux.HandleFunc("POST /v1/cache/export", e.handleExport)
	mux.HandleFunc("POST /v1/cache/import", e.handleImport)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("POST /stand-in/faults", handleFaults(e.Inject, false))
	return mux
}

// writeResult sends body, or the refusal when there is one.
func writeResult(w http.ResponseWriter, body any, refused *refusal) {
	if refused != nil {
		writeError(w, refused.status, refused.text)
		return
	}
	writeJSON(w, body)
}

func (e *Engine) handleRun(w http.ResponseWriter, r *http.Request) {
	var request engine.Stream
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	s, refused := e.admit(request)
	e.mu.Unlock()
	switch {
	case refused != nil:
		writeError(w, refused.status, refused.text)
	case s == nil:
		panic(http.ErrAbortHandler)
	default:
		e.streamAnswer(w, r, s, int64(len(request.AnswerStart)))
	}
}

func (e *Engine) handleAttach(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	e.mu.Lock()
	e.removeExpired()
	s := e.streams[r.PathValue("id")]
	badOffset := err != nil || offset < 0 || s != nil && offset > s.answerBytes
	e.mu.Unlock()
	switch {
	case s == nil:
		writeError(w, http.StatusNotFound, "unknown stream")
	case badOffset:
		writeError(w, http.StatusBadRequest, "bad offset")
	default:
		e.streamAnswer(w, r, s, offset)
	}
}

// streamAnswer writes the answer from offset as it grows. The stream continues when the connection ends, so that
// clients can attach to it again.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, s *stream, offset int64) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder, flush := json.NewEncoder(w), http.NewResponseController(w).Flush
	_ = flush()
	for {
		e.mu.Lock()
		answerBytes, ended, crashed, changed := s.answerBytes, s.ended, s.crashed, s.changed
		lastLine := engine.StreamLine{Done: s.failure == "", Error: s.failure, Usage: s.usage()}
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		if answerBytes > offset || ended {
			e.server.holdAnswer(r.Context())
		}
		for offset < answerBytes {
			pieceEnd := min(answerBytes, offset+maxLineTextBytes)
			_ = encoder.Encode(engine.Piece{
				Offset: offset, Text: answerText(s.promptHash, offset, pieceEnd), Tokens: tokenCount(pieceEnd) - tokenCount(offset),
			})
			offset = pieceEnd
		}
		if ended {
			_ = encoder.Encode(lastLine)
			return
		}
		if flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.server.tomb.Dying():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) handleStreams(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.removeExpired()
	list := engine.StreamList{Incarnation: e.incarnation, Streams: []engine.StreamInfo{}}
	for _, s := range e.streams {
		list.Streams = append(list.Streams, engine.StreamInfo{
			ID: s.ID, State: s.status(), Priority: s.Priority, Tokens: s.reservedTokens, Offset: s.answerBytes,
		})
	}
	e.mu.Unlock()
	slices.SortFunc(list.Streams, func(a, b engine.StreamInfo) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, list)
}

func (e *Engine) handleChange(w http.ResponseWriter, r *http.Request) {
	var change engine.StreamChange
	if !readJSON(w, r, &change) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("id")]
	if s == nil || s.ended {
		writeError(w, http.StatusNotFound, "no live stream")
		return
	}
	if change.Priority != nil {
		s.Priority = *change.Priority
	}
	if change.Suspended != nil {
		s.suspended = *change.Suspended
	}
	e.recordLoad()
	e.wakeBatch()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("id")]
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown stream")
		return
	}
	if !s.ended && !e.faults.ignoreCancels {
		e.endStream(s, "cancelled")
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.laggedLoad()
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad after")
		return
	}
	e.mu.Lock()
	events := engine.CacheEvents{
		Incarnation: e.incarnation, Events: e.cache.since(e.settings.clock.Now(), after),
	}
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var export engine.ExportRequest
	if !readJSON(w, r, &export) {
		return
	}
	e.mu.Lock()
	exported, refused := e.exportCache(export.ID)
	e.mu.Unlock()
	writeResult(w, exported, refused)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var exported engine.ExportedCache
	if !readJSON(w, r, &exported) {
		return
	}
	e.mu.Lock()
	handle, refused := e.importCache(exported)
	e.mu.Unlock()
	writeResult(w, handle, refused)
}

// handleOrder checks the fencing number when an order arrives and executes the order after the order time, even when
// the connection has ended in the meantime, so that tests can observe late orders.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	incarnation := e.incarnation
	fenced := order.Fence.Compare(e.fence) < 0 && !e.settings.ignoreFences && !e.faults.ignoreFences
	if !fenced {
		e.fence = order.Fence
	}
	e.mu.Unlock()
	if fenced {
		writeError(w, http.StatusPreconditionFailed, "old fencing number")
		return
	}
	if !e.server.sleep(context.WithoutCancel(r.Context()), e.settings.orderTime) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		panic(http.ErrAbortHandler)
	}
	e.applyOrder(order)
	writeJSON(w, engine.OrderResult{Incarnation: e.incarnation, Models: e.models, Role: e.role, Fence: e.fence})
}
