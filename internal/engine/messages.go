package engine

import (
	"cmp"
	"encoding/json"
	"strconv"
	"time"

	"github.com/google/uuid"
)

// Stream is the body of POST /v1/streams.
type Stream struct {
	// ID is chosen by the sender. It is unique on the engine for as long as the engine remembers the stream.
	ID      string `json:"id"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the text to prefill. If Imports is set, it is the part of the prompt after the imported segments.
	Prompt string `json:"prompt"`
	// AnswerStart is the part of the answer that was delivered by earlier attempts; generation continues after it.
	AnswerStart string `json:"answer-start,omitempty"`
	// MaxTokens limits the whole answer including AnswerStart, so a retry uses the same value.
	MaxTokens int64 `json:"max-tokens"`
	// Priority orders waiting and running streams; a higher value goes first.
	Priority int `json:"priority"`
	// Parameters is the JSON object of sampling parameters of the OpenAI API, such as temperature.
	Parameters json.RawMessage `json:"parameters,omitempty"`
	// Imports are handles from ImportCache for the segments before Prompt, in the order of the prompt.
	Imports []string `json:"imports,omitempty"`
}

// Piece is one line of the response of POST /v1/streams and GET /v1/streams/{id}.
type Piece struct {
	// Offset is the position of Text in bytes from the start of the answer, including AnswerStart.
	Offset int64  `json:"offset"`
	Text   string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens int64 `json:"tokens"`
}

// StreamLine is one NDJSON line of a stream: a Piece, the end of a complete answer with Done and Usage, or a failure
// with Error.
type StreamLine struct {
	Piece
	Done  bool   `json:"done,omitempty"`
	Usage *Usage `json:"usage,omitempty"`
	Error string `json:"error,omitempty"`
}

// Usage holds the token counts in the last line of a stream. Generated counts the whole answer including the answer
// start, so the usage of the last attempt is that of the request.
type Usage struct {
	Prompt    int64 `json:"prompt-tokens"`
	Cached    int64 `json:"cached-tokens"`
	Generated int64 `json:"generated-tokens"`
}

// StreamChange is the body of PUT /v1/streams/{id}. Fields that are absent are not changed.
type StreamChange struct {
	Priority  *int  `json:"priority,omitempty"`
	Suspended *bool `json:"suspended,omitempty"`
}

// StreamState is the state of a stream in the engine's list.
type StreamState string

// The states of a stream.
const (
	StreamWaiting   StreamState = "waiting"
	StreamRunning   StreamState = "running"
	StreamSuspended StreamState = "suspended"
	StreamFinished  StreamState = "finished"
)

// StreamInfo is one item of GET /v1/streams.
type StreamInfo struct {
	ID       string      `json:"id"`
	State    StreamState `json:"state"`
	Priority int         `json:"priority"`
	// Tokens is the memory in tokens that the engine holds for the stream. It is zero once the stream has finished.
	Tokens int64 `json:"tokens"`
	// Offset is the length in bytes of the answer generated so far.
	Offset int64 `json:"offset"`
}

// StreamList is the response of GET /v1/streams.
type StreamList struct {
	Incarnation uuid.UUID    `json:"incarnation"`
	Streams     []StreamInfo `json:"streams"`
}

// Load is the response of GET /v1/load. A report lags behind the engine: MeasuredAt is the time at which its figures
// were measured.
type Load struct {
	Incarnation uuid.UUID `json:"incarnation"`
	MemoryTotal int64     `json:"memory-total"`
	MemoryUsed  int64     `json:"memory-used"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	// PrefillRate is the rate of the engine and DecodeRate the rate of one stream, in tokens per second over the
	// recent past. They are zero if there was no such work.
	PrefillRate float64       `json:"prefill-rate"`
	DecodeRate  float64       `json:"decode-rate"`
	Warm        bool          `json:"warm"`
	Models      []LoadedModel `json:"models"`
	Role        string        `json:"role"`
	// Age is how old the figures were when the engine sent them. AgeMillis is its form on the wire.
	Age       time.Duration `json:"-"`
	AgeMillis int64         `json:"age-ms"`
	// MeasuredAt is the client's clock on arrival, minus Age.
	MeasuredAt time.Time `json:"-"`
}

// LoadedModel is a model that the engine serves, with its adapters.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// BlockHash identifies one block of the prefix cache and depends on all blocks before it. On the wire it is a
// hexadecimal string, because many JSON decoders lose precision for integers above 2^53.
type BlockHash uint64

// MarshalText implements encoding.TextMarshaler.
func (h BlockHash) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(h), 16), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *BlockHash) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*h = BlockHash(n)
	return err
}

// CacheEventKind is what happened to blocks of the prefix cache.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of the prefix cache. Sequence numbers increase by one; a gap means that events were lost.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Hashes   []BlockHash    `json:"hashes,omitempty"`
}

// CacheEvents is the response of GET /v1/cache/events. Sequence numbers restart with each incarnation.
type CacheEvents struct {
	Incarnation uuid.UUID    `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// ExportRequest is the body of POST /v1/cache/export. It requests the KV cache of the prompt of a prefilled stream.
type ExportRequest struct {
	ID string `json:"id"`
}

// ExportedCache is an exported KV cache: the response of an export and the body of an import. It covers the prompt's
// tokens from Start to End.
type ExportedCache struct {
	Model string `json:"model"`
	Start int64  `json:"start"`
	End   int64  `json:"end"`
	Data  []byte `json:"data"`
}

// ImportedCache is the response of POST /v1/cache/import.
type ImportedCache struct {
	Handle string `json:"handle"`
	// Tokens is the memory that the imported cache uses on the engine.
	Tokens int64 `json:"tokens"`
}

// Fence is the fencing number of an order. Its parts are strings on the wire, because start times in nanoseconds
// exceed 2^53.
type Fence struct {
	Generation uint64 `json:"generation,string"`
	Start      uint64 `json:"start,string"`
}

// Compare compares fencing numbers by generation, then by start.
func (f Fence) Compare(g Fence) int {
	return cmp.Or(cmp.Compare(f.Generation, g.Generation), cmp.Compare(f.Start, g.Start))
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderRole          OrderKind = "role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fence   Fence     `json:"fence"`
}

// OrderResult is the response of POST /v1/orders. It is the engine's state right after the order and, unlike a load
// report, has no lag.
type OrderResult struct {
	Incarnation uuid.UUID     `json:"incarnation"`
	Models      []LoadedModel `json:"models"`
	Role        string        `json:"role"`
	Fence       Fence         `json:"fence"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}
