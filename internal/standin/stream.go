package standin

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/http"
	"time"

	"berylward.example/berylward/internal/engine"
)

// importMemoryDivisor is the ratio of imported KV cache to the memory that it takes: the design assumes that an engine
// decodes against the cache of other segments without holding all of it.
const importMemoryDivisor = 64

// stream is one request to the engine. It is used under the engine's lock.
type stream struct {
	engine.Stream
	arrival uint64
	// promptHash is the hash of the whole prompt, including imported segments. start and end are the byte positions of
	// this request's own part in the prompt.
	promptHash     uint64
	start, end     int64
	blocks         []engine.BlockHash
	pinned         []engine.BlockHash
	imports        []*importedCache
	cachedTokens   int64
	reservedTokens int64
	pendingPrefill int64
	// answerBytes is the length of the answer so far, including the answer start of the request.
	answerBytes int64
	started     bool
	suspended   bool
	ended       bool
	failure     string
	// crashed is set when the engine has crashed. The connections of such a stream end without a last line.
	crashed bool
	endedAt time.Time
	changed chan struct{}
}

// importedCache is KV cache from another engine for the prompt's bytes from start to end. promptHash covers all bytes
// up to end.
type importedCache struct {
	start, end int64
	promptHash uint64
	memory     int64
	users      int
	usedAt     time.Time
}

func (s *stream) compare(other *stream) int {
	return cmp.Or(cmp.Compare(other.Priority, s.Priority), cmp.Compare(s.arrival, other.arrival))
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) status() engine.StreamState {
	switch {
	case s.ended:
		return engine.StreamFinished
	case s.suspended:
		return engine.StreamSuspended
	case s.started:
		return engine.StreamRunning
	}
	return engine.StreamWaiting
}

func (s *stream) usage() *engine.Usage {
	return &engine.Usage{Prompt: tokenCount(s.end), Cached: s.cachedTokens, Generated: tokenCount(s.answerBytes)}
}

// refusal is the answer to a request that was rejected before anything ran.
type refusal struct {
	status int
	text   string
}

func newRefusal(status int, format string, args ...any) *refusal {
	return &refusal{status, fmt.Sprintf(format, args...)}
}

// admit checks a request, reserves memory for the lifetime of its stream and adds the stream to the batch. A cold
// engine crashes when it gets more streams than it can handle. Both results are nil then.
func (e *Engine) admit(request engine.Stream) (*stream, *refusal) {
	e.removeExpired()
	switch {
	case request.ID == "" || request.MaxTokens < 0 || request.MaxTokens > 1<<24:
		return nil, newRefusal(http.StatusBadRequest, "no id or bad max-tokens %d", request.MaxTokens)
	case e.streams[request.ID] != nil:
		return nil, newRefusal(http.StatusConflict, "stream %s exists", request.ID)
	case !e.serves(request.Model, request.Adapter):
		return nil, newRefusal(http.StatusNotFound, "model %q with adapter %q is not loaded", request.Model, request.Adapter)
	}
	e.arrivals++
	s := &stream{Stream: request, arrival: e.arrivals, promptHash: fnvOffset, changed: make(chan struct{})}
	for _, handle := range request.Imports {
		imported := e.imports[handle]
		if imported == nil || imported.start != s.start {
			return nil, newRefusal(http.StatusBadRequest, "import %q is unknown or out of order", handle)
		}
		s.start, s.promptHash = imported.end, imported.promptHash
		s.cachedTokens += tokenCount(imported.end - imported.start)
		s.imports = append(s.imports, imported)
	}
	s.blocks, s.promptHash = blockHashes(request.Model, request.Adapter, s.promptHash, request.Prompt)
	s.end = s.start + int64(len(request.Prompt))
	s.answerBytes = int64(len(request.AnswerStart))
	if s.answerBytes > request.MaxTokens*bytesPerToken || request.AnswerStart != answerText(s.promptHash, 0, s.answerBytes) {
		// A real engine would continue any text. This check detects answers that were damaged in transit.
		return nil, newRefusal(http.StatusBadRequest, "answer-start is no beginning of the answer")
	}
	cachedBlocks := s.blocks[:e.cache.pin(s.blocks)]
	promptTokens := tokenCount(int64(len(request.Prompt)))
	cachedTokens := min(int64(len(cachedBlocks))*tokensPerBlock, promptTokens)
	s.reservedTokens = promptTokens - cachedTokens + request.MaxTokens
	if e.usedMemory+s.reservedTokens > e.settings.capacity {
		e.cache.unpin(cachedBlocks)
		return nil, newRefusal(http.StatusInsufficientStorage, "%d tokens do not fit: %d of %d in use",
			s.reservedTokens, e.usedMemory, e.settings.capacity)
	}
	if e.cold && len(e.live) >= e.settings.coldMaxStreams {
		e.cache.unpin(cachedBlocks)
		e.crash(0)
		return nil, nil
	}
	s.pinned, s.cachedTokens, s.pendingPrefill = cachedBlocks, s.cachedTokens+cachedTokens, promptTokens-cachedTokens+tokenCount(s.answerBytes)
	for _, imported := range s.imports {
		imported.users++
	}
	e.reserve(s.reservedTokens)
	e.streams[s.ID], e.live[s] = s, struct{}{}
	e.recordLoad()
	e.wakeBatch()
	return s, nil
}

// endStream ends a stream and releases its memory. An empty failure means that the answer is complete.
func (e *Engine) endStream(s *stream, failure string) {
	now := e.settings.clock.Now()
	s.ended, s.failure, s.endedAt = true, failure, now
	e.reserve(-s.reservedTokens)
	s.reservedTokens = 0
	delete(e.live, s)
	e.ended = append(e.ended, s)
	e.cache.unpin(s.pinned)
	s.pinned, s.Prompt = nil, ""
	for _, imported := range s.imports {
		imported.users--
		imported.usedAt = now
	}
	s.notify()
	e.recordLoad()
}

// stepPart is one stream's part of a step: a number of tokens to prefill or, when that is zero, one token to decode.
type stepPart struct {
	*stream
	prefillTokens int64
}

type step struct {
	parts         []stepPart
	prefillTokens int64
	duration      time.Duration
}

// maxBatch is the largest number of streams in the engine's batch. Further streams wait.
const maxBatch = 64

// planStep selects the streams of the next step in order of priority. The first streams that need prefill share one
// chunk, so a long prompt extends a step of other streams by at most one chunk. When the prompt of a starting stream
// contains the crash marker, the engine crashes and the step is empty.
func (e *Engine) planStep() step {
	var planned step
	decodes, freePlaces := 0, maxBatch
	for _, s := range e.orderedStreams() {
		if s.suspended {
			continue
		}
		if freePlaces--; freePlaces < 0 {
			break
		}
		if !s.started {
			if e.hasCrashMarker(s.Prompt) {
				if e.faults.crashAfter == 0 {
					e.crash(0)
					return step{}
				}
				e.crashLater(e.faults.crashAfter)
			}
			s.started, s.Prompt = true, ""
		}
		switch chunk := min(s.pendingPrefill, e.settings.costs.Chunk-planned.prefillTokens); {
		case s.pendingPrefill == 0:
			decodes++
			planned.parts = append(planned.parts, stepPart{s, 0})
		case chunk > 0:
			planned.prefillTokens += chunk
			planned.parts = append(planned.parts, stepPart{s, chunk})
		}
	}
	c := e.settings.costs
	planned.duration = c.Step + time.Duration(planned.prefillTokens)*c.PrefillToken + time.Duration(decodes)*c.DecodeToken
	factor := 1.0
	if e.cold {
		factor = e.settings.coldFactor
	}
	if e.faults.slowFactor > 0 {
		factor *= e.faults.slowFactor
	}
	planned.duration = max(time.Duration(float64(planned.duration)*factor), time.Microsecond)
	return planned
}

// applyStep applies a step. It skips streams that ended or crashed during the step.
func (e *Engine) applyStep(completed step) {
	decoded := int64(0)
	for _, part := range completed.parts {
		s := part.stream
		if s.ended || s.crashed {
			continue
		}
		if part.prefillTokens > 0 {
			if s.pendingPrefill -= part.prefillTokens; s.pendingPrefill == 0 {
				e.cache.store(e.settings.clock.Now(), s.blocks)
			}
		} else if s.answerBytes < s.MaxTokens*bytesPerToken {
			s.answerBytes = (s.answerBytes/bytesPerToken + 1) * bytesPerToken
			decoded++
			s.notify()
		}
		if s.pendingPrefill == 0 && s.answerBytes >= s.MaxTokens*bytesPerToken {
			e.endStream(s, "")
		}
	}
	e.processedTokens += completed.prefillTokens + decoded
	if e.cold && e.processedTokens >= e.settings.warmTokens {
		e.cold, e.reportsWarm = false, true
	}
	if completed.prefillTokens > 0 {
		e.prefillRate = movingAverage(e.prefillRate, float64(completed.prefillTokens)/completed.duration.Seconds())
	}
	if decoded > 0 {
		e.decodeRate = movingAverage(e.decodeRate, 1/completed.duration.Seconds())
	}
	e.recordLoad()
}

// movingAverage returns the rate moved towards the latest value. Its weight of 1/5 follows a change within about ten
// steps.
func movingAverage(rate, latest float64) float64 {
	if rate == 0 {
		return latest
	}
	return rate + (latest-rate)/5
}

// exportCache returns the KV cache of a stream that has been prefilled. The data consists of the byte positions and the
// hash of the prompt; a real engine exports much more.
func (e *Engine) exportCache(id string) (engine.ExportedCache, *refusal) {
	s := e.streams[id]
	if s == nil || s.pendingPrefill > 0 || s.failure != "" {
		return engine.ExportedCache{}, newRefusal(http.StatusNotFound, "stream %s has not been prefilled", id)
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(s.start))
	data = binary.BigEndian.AppendUint64(data, uint64(s.end))
	data = binary.BigEndian.AppendUint64(data, s.promptHash)
	return engine.ExportedCache{Model: s.Model, Start: tokenCount(s.start), End: tokenCount(s.end), Data: data}, nil
}

func (e *Engine) importCache(c engine.ExportedCache) (engine.ImportedCache, *refusal) {
	e.removeExpired()
	if len(c.Data) != 24 {
		return engine.ImportedCache{}, newRefusal(http.StatusBadRequest, "bad cache data")
	}
	imported := &importedCache{
		start: int64(binary.BigEndian.Uint64(c.Data)), end: int64(binary.BigEndian.Uint64(c.Data[8:])),
		promptHash: binary.BigEndian.Uint64(c.Data[16:]), usedAt: e.settings.clock.Now(),
	}
	imported.memory = tokenCount(imported.end-imported.start)/importMemoryDivisor + 1
	switch {
	case imported.start < 0 || imported.end < imported.start:
		return engine.ImportedCache{}, newRefusal(http.StatusBadRequest, "bad cache data")
	case !e.serves(c.Model, ""):
		return engine.ImportedCache{}, newRefusal(http.StatusNotFound, "model %q is not loaded", c.Model)
	case imported.memory > e.settings.capacity-e.usedMemory:
		return engine.ImportedCache{}, newRefusal(http.StatusInsufficientStorage, "%d tokens do not fit", imported.memory)
	}
	e.reserve(imported.memory)
	e.arrivals++
	handle := fmt.Sprintf("%s-%d", e.incarnation, e.arrivals)
	e.imports[handle] = imported
	return engine.ImportedCache{Handle: handle, Tokens: imported.memory}, nil
}
