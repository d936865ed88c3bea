package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"berylward.example/berylward/internal/callers"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/pkg/answer"
	"berylward.example/berylward/pkg/site"
)

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	router := bunrouter.New(
		bunrouter.Use(e.recoverPanics, e.traceRequest),
		bunrouter.WithNotFoundHandler(func(w http.ResponseWriter, r bunrouter.Request) error {
			f := newRejection(answer.ReasonBadRequest, "", "there is nothing at %s", r.URL.Path)
			return writeWithStatus(w, http.StatusNotFound, f)
		}),
		bunrouter.WithMethodNotAllowedHandler(func(w http.ResponseWriter, r bunrouter.Request) error {
			f := newRejection(answer.ReasonBadRequest, "", "%s does not take the method %s", r.URL.Path, r.Method)
			return writeWithStatus(w, http.StatusMethodNotAllowed, f)
		}),
	)
	router.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		_, err := w.Write([]byte("ok\n"))
		return err
	})
	router.GET("/readyz", e.readyz)
	router.GET("/v1/models", e.authenticated(e.serveModels))
	router.POST("/v1/completions", e.authenticated(e.serveCompletion(false)))
	router.POST("/v1/chat/completions", e.authenticated(e.serveCompletion(true)))
	router.POST("/v1/services/:service/tickets", e.authenticated(e.serveTicket))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/v1/services/:service/*path", e.authenticated(e.serveCall))
	}
	return router
}

func writeWithStatus(w http.ResponseWriter, status int, f *failure) error {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcomeHeader, answer.OutcomeName(f.outcome))
	w.WriteHeader(status)
	_, err := w.Write(append(f.body(), '\n'))
	return err
}

// traceRequest is middleware that starts the span of a request, as a child of the caller's span if the caller sent
// one.
func (e *Entry) traceRequest(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		carrier := map[string]string{"traceparent": r.Header.Get("Traceparent"), "tracestate": r.Header.Get("Tracestate")}
		ctx, span := e.tracer.Start(telemetry.Extract(r.Context(), carrier), "entry "+r.Method+" "+r.Route(),
			trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		err := next(w, r.WithContext(ctx))
		outcome := w.Header().Get(outcomeHeader)
		span.SetAttributes(attribute.String("berylward.outcome", outcome))
		if outcome != "" && outcome != "done" {
			span.SetStatus(codes.Error, outcome)
		}
		return err
	}
}

func (e *Entry) readyz(w http.ResponseWriter, _ bunrouter.Request) error {
	if reason := e.notReadyReason(); reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, err := w.Write([]byte(reason + "\n"))
		return err
	}
	_, err := w.Write([]byte("ready\n"))
	return err
}

// caller is an authenticated caller with the declarations that were current when its request arrived.
type caller struct {
	workspace site.Workspace
	snapshot  *site.Snapshot
}

type callerHandler func(w http.ResponseWriter, r bunrouter.Request, c caller)

// authenticated is middleware that finds the workspace of the key in the Authorization header.
func (e *Entry) authenticated(next callerHandler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		switch e.conns.Check(r.Context()).(type) {
		case callers.Excess:
			w.Header().Set("Connection", "close")
			failureOf(answer.NotRun{Reason: answer.ReasonOverloaded, RetryAfter: excessRetry}).write(w)
			return nil
		case callers.Closed:
			return nil // what is written reaches nobody
		case callers.Served:
		}
		e.awaitGeneration(r.Context())
		snapshot := e.config.Snapshot()
		if snapshot == nil {
			failureOf(answer.NotRun{Reason: answer.ReasonNotReady, RetryAfter: time.Second}).write(w)
			return nil
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			newRejection(answer.ReasonUnauthorized, "Authorization", "header \"Authorization\": want Bearer and a workspace key").write(w)
			return nil
		}
		workspace, ok := snapshot.WorkspaceByKey(site.NewKeyDigest(key))
		if !ok {
			newRejection(answer.ReasonUnauthorized, "Authorization", "header \"Authorization\": the workspace key is not known").write(w)
			return nil
		}
		next(w, r, caller{workspace: workspace, snapshot: snapshot})
		return nil
	}
}

// awaitGeneration waits while a newer generation is being fetched, so that no request is checked against the previous
// one.
func (e *Entry) awaitGeneration(ctx context.Context) {
	for {
		changed := e.config.Changed()
		if !e.exchange.Behind() {
			return
		}
		timer := e.clock.NewTimer(100 * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C():
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (e *Entry) serveModels(w http.ResponseWriter, _ bunrouter.Request, c caller) {
	type modelBody struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []modelBody{}
	for name, m := range c.snapshot.Declarations.Models {
		if !c.workspace.MayUseModel(name) {
			continue
		}
		list = append(list, modelBody{ID: name, Object: "model", OwnedBy: c.snapshot.Declarations.Site.Name})
		for _, adapter := range m.Adapters {
			list = append(list, modelBody{ID: name + ":" + adapter, Object: "model", OwnedBy: c.snapshot.Declarations.Site.Name})
		}
	}
	slices.SortFunc(list, func(a, b modelBody) int { return strings.Compare(a.ID, b.ID) })
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcomeHeader, "done")
	_ = json.NewEncoder(w).Encode(struct {
		Object string      `json:"object"`
		Data   []modelBody `json:"data"`
	}{"list", list})
}

// errStopping is the cause of the cancellation of requests that must end because the entry stops.
var errStopping = errors.New("entry is stopping")

// writeGrace is the time after the deadline of a request during which its response may still be written.
const writeGrace = time.Second

// withDeadline returns a context with the request's timeout, and its deadline. It also bounds the writes, because a
// caller that does not read would otherwise block its request and a graceful stop forever.
func (e *Entry) withDeadline(w http.ResponseWriter, r bunrouter.Request, c caller) (context.Context, context.CancelFunc, time.Time, *failure) {
	limits := c.snapshot.Declarations.Deadlines
	timeout := limits.Default
	if text := r.Header.Get(timeoutHeader); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > limits.Max {
			return nil, nil, time.Time{}, newRejection(answer.ReasonBadRequest, timeoutHeader,
				"header %q: want a duration above 0 and up to %s, got %q", timeoutHeader, limits.Max, text)
		}
		timeout = d
	}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(timeout + writeGrace))
	// The outcome of a cancelled attempt must reach the caller before the deadline.
	timeout -= min(cancelTimeout+50*time.Millisecond, timeout/10)
	stoppable, end := context.WithCancelCause(r.Context())
	forget := context.AfterFunc(e.requestsEnded, func() { end(errStopping) })
	ctx, cancel := context.WithTimeout(stoppable, timeout)
	release := func() {
		forget()
		cancel()
		end(nil)
		_ = controller.SetWriteDeadline(time.Time{})
	}
	return ctx, release, e.clock.Now().Add(timeout), nil
}

func (e *Entry) serveCompletion(chat bool) callerHandler {
	return func(w http.ResponseWriter, r bunrouter.Request, c caller) {
		buffer := e.bodies.NewBuffer()
		defer buffer.Release()
		var body completion
		if rejection := readJSON(w, r.Request, buffer, &body); rejection != nil {
			rejection.write(w)
			return
		}
		work, rejection := newPromptWork(&body, chat, c)
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
		req := e.newRequest(c, work, deadline)
		out := &completionWriter{
			response: w, chat: chat, stream: body.Stream, includeUsage: body.StreamOptions.IncludeUsage,
			id: "cmpl-" + req.id(), model: body.Model, created: e.clock.Now(),
		}
		held := e.answers.Reserve()
		defer held.Release()
		outcome, usage := e.runRequest(ctx, req, &promptSink{request: req, work: work, out: out, held: held})
		if f := failureOf(outcome); f != nil {
			out.fail(f)
			return
		}
		if err := out.finish(usage, work.maxTokens); err != nil {
			e.metrics.Add("callers-gone", 1)
		}
	}
}

// newPromptWork checks a completion body against the declarations.
func newPromptWork(body *completion, chat bool, c caller) (*promptWork, *failure) {
	if body.N != nil && *body.N != 1 {
		return nil, newRejection(answer.ReasonBadRequest, "n", "field \"n\": want 1, got %d", *body.N)
	}
	name, adapter, _ := strings.Cut(body.Model, ":")
	if name == "" {
		return nil, newRejection(answer.ReasonBadRequest, "model", "field \"model\": want the name of a model")
	}
	model, ok := c.snapshot.Model(name)
	if !ok || !c.workspace.MayUseModel(name) {
		return nil, newRejection(answer.ReasonUnknownModel, "model", "field \"model\": the workspace has no model %q", body.Model)
	}
	if adapter != "" && !slices.Contains(model.Adapters, adapter) {
		return nil, newRejection(answer.ReasonUnknownModel, "model", "field \"model\": model %q has no adapter %q", name, adapter)
	}
	text, rejection := body.text(chat)
	if rejection != nil {
		return nil, rejection
	}
	if len(text) > maxPrompt {
		return nil, newRejection(answer.ReasonTooLarge, "prompt", "the prompt has %d bytes; at most %d are accepted", len(text), maxPrompt)
	}
	if rejection := body.sampling.check(); rejection != nil {
		return nil, rejection
	}
	if rejection := body.unsupported.check(); rejection != nil {
		return nil, rejection
	}
	maxTokens, rejection := body.maxTokens()
	if rejection != nil {
		return nil, rejection
	}
	tokens := int64(float64(len(text))/model.BytesPerToken) + 1
	if tokens > model.MaxPromptTokens {
		return nil, newRejection(answer.ReasonTooLarge, "prompt", "the prompt has about %d tokens; model %q takes %d", tokens, name, model.MaxPromptTokens)
	}
	return &promptWork{model: name, adapter: adapter, text: text, tokens: tokens, maxTokens: maxTokens, parameters: body.parameters()}, nil
}
