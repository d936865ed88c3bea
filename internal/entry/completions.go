package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"time"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/pkg/answer"
)

const (
	// outcomeHeader is the response header with the outcome of the request.
	outcomeHeader = "Berylward-Outcome"
	// timeoutHeader is the request header with the time within which the request must end, as a Go duration.
	timeoutHeader = "Berylward-Timeout"
	// maxBody is the maximum size of a request body in bytes. JSON escapes can double the size of a prompt.
	maxBody = 16 << 20
	// bodyRetryDelay is the retry delay for a request for whose body there is no memory.
	bodyRetryDelay = time.Second
	// maxPrompt is the maximum size of a prompt in bytes, so that an offer fits into one frame of a link.
	maxPrompt = 7 << 20
	// maxMaxTokens is the largest answer that a caller may ask for. Sums with the prompt's tokens cannot overflow.
	maxMaxTokens = 10_000_000
	// bodyTimeout bounds the time to read a request body: 16 MB take 15 s on a slow line of 10 Mbit/s.
	bodyTimeout = 30 * time.Second
	// defaultMaxTokens is the maximum length of the answer if the caller sets none.
	defaultMaxTokens = 1024
)

// completion is the body of POST /v1/completions and POST /v1/chat/completions.
type completion struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
	sampling
	unsupported
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readJSON decodes the body of a completion into target. If a field has the wrong type, the failure names the field.
func readJSON(w http.ResponseWriter, r *http.Request, buffer *body.Buffer, target *completion) *failure {
	if rejection := readBody(w, r, buffer); rejection != nil {
		return rejection
	}
	if err := json.Unmarshal(buffer.Bytes(), target); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			field := jsonField(typeError.Field)
			return newRejection(answer.ReasonBadRequest, field, "field %q: want %s, got %s", field, jsonType(typeError.Type), typeError.Value)
		}
		return newRejection(answer.ReasonBadRequest, "", "the body is not valid JSON: %v", err)
	}
	return nil
}

// jsonField returns the path of a field of a completion as callers know it, without the names of embedded structs.
func jsonField(path string) string {
	t := reflect.TypeFor[completion]()
	for i := range t.NumField() {
		if f := t.Field(i); f.Anonymous {
			path = strings.TrimPrefix(path, f.Name+".")
		}
	}
	return path
}

// jsonType returns the name of the JSON type that is decoded into a Go type.
func jsonType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "boolean"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "integer"
	case reflect.Float32, reflect.Float64:
		return "number"
	case reflect.String:
		return "string"
	case reflect.Slice, reflect.Array:
		return "array"
	case reflect.Pointer:
		return jsonType(t.Elem())
	}
	return "object"
}

// readBody reads the body of a request into the buffer. If it is too large or there is no memory for it, the rest is not read.
func readBody(w http.ResponseWriter, r *http.Request, buffer *body.Buffer) *failure {
	// The deadline applies to the body only. The connection is read while the answer is streamed, to notice when the
	// caller disconnects.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	err := buffer.Read(r.Body, r.ContentLength, maxBody)
	var limit *body.Error
	if errors.As(err, &limit) {
		w.Header().Set("Connection", "close")
		if limit.Kind == body.KindTooLarge {
			return newRejection(answer.ReasonTooLarge, "", "the body is larger than %d bytes", limit.Limit)
		}
		return &failure{
			reason: answer.ReasonOverloaded, message: "the entry has no memory for the body; the request was not run",
			outcome: answer.NotRun{Reason: answer.ReasonOverloaded}, retryAfter: bodyRetryDelay,
		}
	}
	if err != nil {
		return newRejection(answer.ReasonBadRequest, "", "the body could not be read: %v", err)
	}
	// After an error the deadline stays, because net/http reads the rest of the body before it reuses the connection.
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// text returns the text of the prompt for the engine.
func (c *completion) text(chat bool) (string, *failure) {
	if !chat {
		var text string
		if err := json.Unmarshal(c.Prompt, &text); err != nil || text == "" {
			return "", newRejection(answer.ReasonBadRequest, "prompt", "field \"prompt\": want a string that is not empty")
		}
		return text, nil
	}
	if len(c.Messages) == 0 {
		return "", newRejection(answer.ReasonBadRequest, "messages", "field \"messages\": want at least one message")
	}
	var b strings.Builder
	for i, m := range c.Messages {
		field := fmt.Sprintf("messages[%d]", i)
		switch m.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return "", newRejection(answer.ReasonBadRequest, field+".role", "field %q: want system, developer, user, assistant or tool, got %q", field+".role", m.Role)
		}
		content, ok := contentText(m.Content)
		if !ok {
			return "", newRejection(answer.ReasonBadRequest, field+".content", "field %q: want a string or a list of text parts", field+".content")
		}
		fmt.Fprintf(&b, "<|%s|>\n%s\n", m.Role, content)
	}
	b.WriteString("<|assistant|>\n")
	return b.String(), nil
}

func contentText(raw json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil || len(parts) == 0 {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

func (c *completion) maxTokens() (int64, *failure) {
	field, limit := "max_tokens", c.MaxTokens
	if c.MaxCompletionTokens != nil {
		field, limit = "max_completion_tokens", c.MaxCompletionTokens
	}
	if limit == nil {
		return defaultMaxTokens, nil
	}
	if *limit < 1 || *limit > maxMaxTokens {
		return 0, newRejection(answer.ReasonBadRequest, field, "field %q: want a number from 1 to %d, got %d", field, maxMaxTokens, *limit)
	}
	return *limit, nil
}

// completionWriter writes the answer as a plain or streamed response, in the chat or the text completion format.
type completionWriter struct {
	response     http.ResponseWriter
	chat         bool
	stream       bool
	includeUsage bool
	id           string
	model        string
	created      time.Time
	started      bool
	buffered     strings.Builder
}

// deliver takes the next part of the answer. In a streamed response it is sent at once. In a plain response it is
// buffered until the answer is complete, because a response that has started cannot become an error.
func (c *completionWriter) deliver(data []byte) error {
	if !c.stream {
		c.buffered.Write(data)
		return nil
	}
	return c.writeEvent(c.chunk(string(data), nil))
}

func (c *completionWriter) start() {
	if c.started {
		return
	}
	c.started = true
	h := c.response.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", outcomeHeader)
	c.response.WriteHeader(http.StatusOK)
}

func (c *completionWriter) writeEvent(body any) error {
	c.start()
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.response, "data: %s\n\n", text); err != nil {
		return err
	}
	return http.NewResponseController(c.response).Flush()
}

func (c *completionWriter) objectName(stream bool) string {
	switch {
	case c.chat && stream:
		return "chat.completion.chunk"
	case c.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

type choiceBody struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *messageBody `json:"message,omitempty"`
	Delta        *messageBody `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageBody struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type completionBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

func (c *completionWriter) chunk(text string, finish *string) completionBody {
	choice := choiceBody{FinishReason: finish}
	if c.chat {
		choice.Delta = &messageBody{Content: text}
		if !c.started {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	return completionBody{ID: c.id, Object: c.objectName(true), Created: c.created.Unix(), Model: c.model, Choices: []choiceBody{choice}}
}

// finish ends the response after a complete answer.
func (c *completionWriter) finish(u answer.Usage, maxTokens int64) error {
	reason := "stop"
	if u.GeneratedTokens >= maxTokens {
		reason = "length"
	}
	usage := &usageBody{PromptTokens: u.PromptTokens, CompletionTokens: u.GeneratedTokens, TotalTokens: u.PromptTokens + u.GeneratedTokens}
	usage.Details.CachedTokens = u.CachedTokens
	if c.stream {
		last := c.chunk("", &reason)
		if c.includeUsage {
			last.Usage = usage
		}
		if err := c.writeEvent(last); err != nil {
			return err
		}
		if _, err := io.WriteString(c.response, "data: [DONE]\n\n"); err != nil {
			return err
		}
		c.response.Header().Set(outcomeHeader, "done")
		return nil
	}
	text := c.buffered.String()
	choice := choiceBody{FinishReason: &reason}
	if c.chat {
		choice.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	c.response.Header().Set("Content-Type", "application/json")
	c.response.Header().Set(outcomeHeader, "done")
	return json.NewEncoder(c.response).Encode(completionBody{
		ID: c.id, Object: c.objectName(false), Created: c.created.Unix(), Model: c.model, Choices: []choiceBody{choice}, Usage: usage,
	})
}

// fail ends the response with a failure. A stream that has started ends with an error event and without [DONE], so
// that no client takes it for complete.
func (c *completionWriter) fail(f *failure) {
	if !c.started {
		f.write(c.response)
		return
	}
	_, _ = fmt.Fprintf(c.response, "event: error\ndata: %s\n\n", f.body())
	c.response.Header().Set(outcomeHeader, answer.OutcomeName(f.outcome))
}
