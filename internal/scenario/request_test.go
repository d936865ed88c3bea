package scenario

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/standin"
)

// newKey returns a version 7 UUID for the current virtual time. The uuid package keeps the latest time seen in the
// test binary, which is in the future for a synctest bubble that starts later.
func newKey() string {
	id := uuid.New()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(time.Now().UnixMilli()))
	copy(id[:6], ms[2:])
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// request is a request of a caller.
type request struct {
	// entry is the index of the entry that gets the request, modulo the number of entries.
	entry   int
	prompt  string
	tokens  int64
	stream  bool
	timeout time.Duration
	// booking is the body of a booking, and key is its idempotency key, if any.
	booking, key string
	// slots asks for free slots, which may run any number of times.
	slots bool
	// readDelay is how long the caller waits between two reads.
	readDelay time.Duration
}

// result is the response that a caller got.
type result struct {
	status        int
	outcome, kind string
	text          string
	elapsed       time.Duration
	err           error
	retryAfter    string
	// terminated is set if a stream ended with [DONE].
	terminated bool
	// maxGap is the longest time between two lines of a stream.
	maxGap time.Duration
}

func (h *harness) send(ctx context.Context, r request) result {
	body, url, key := r.booking, bookingsPath, counterAPIKey
	method := http.MethodPost
	switch {
	case r.slots:
		method, url = http.MethodGet, slotsPath
	case r.booking == "":
		url, key = "/v1/completions", officeAPIKey
		text, err := json.Marshal(map[string]any{"model": "office-8b", "prompt": r.prompt, "max_tokens": r.tokens, "stream": r.stream})
		if err != nil {
			return result{err: err}
		}
		body = string(text)
	}
	address := h.addresses[r.entry%len(h.addresses)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.timeout > 0 {
		req.Header.Set("Berylward-Timeout", r.timeout.String())
	}
	start := time.Now()
	res := h.roundTrip(req, r)
	res.elapsed = time.Since(start)
	return res
}

func (h *harness) roundTrip(req *http.Request, r request) result {
	resp, err := h.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	res := result{status: resp.StatusCode, outcome: resp.Header.Get("Berylward-Outcome"), retryAfter: resp.Header.Get("Retry-After")}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		text, err := io.ReadAll(resp.Body)
		res.text, res.err = string(text), err
		var parsed struct {
			Choices []struct{ Text string }
			Error   struct{ Kind string }
		}
		if err == nil && json.Unmarshal(text, &parsed) == nil {
			res.kind = parsed.Error.Kind
			if len(parsed.Choices) > 0 {
				res.text = parsed.Choices[0].Text
			}
		}
		return res
	}
	lines := bufio.NewScanner(resp.Body)
	lastLine := time.Now()
	for lines.Scan() {
		res.maxGap = max(res.maxGap, time.Since(lastLine))
		lastLine = time.Now()
		time.Sleep(r.readDelay)
		line, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if line == "[DONE]" {
			res.terminated = true
			continue
		}
		var part struct {
			Choices []struct{ Text string }
			Error   struct{ Kind string }
		}
		if err := json.Unmarshal([]byte(line), &part); err != nil {
			res.err = err
			return res
		}
		res.kind = part.Error.Kind
		for _, c := range part.Choices {
			res.text += c.Text
		}
	}
	res.err = lines.Err()
	res.outcome = resp.Trailer.Get("Berylward-Outcome")
	return res
}

// checkWholeAnswer checks that a result is the whole answer to its request.
func (h *harness) checkWholeAnswer(r request, res result) {
	h.test.Helper()
	if res.err != nil || res.outcome != "done" {
		h.test.Errorf("%s: want the whole answer, got %s", r.name(), res)
		return
	}
	if r.booking == "" {
		assert.Equal(h.test, res.text, standin.ExpectedAnswer(r.prompt, r.tokens), r.name())
		assert.Assert(h.test, !r.stream || res.terminated, "%s: stream ended without [DONE]", r.name())
	}
}

func (r request) name() string {
	if r.booking != "" {
		return "booking " + r.booking + " " + r.key
	}
	return "prompt " + strconv.Quote(r.prompt[:min(len(r.prompt), 30)])
}

func (r result) String() string {
	text := r.text
	if len(text) > 200 {
		text = text[:200]
	}
	return fmt.Sprintf("status %d, outcome %q, kind %q, after %s, error %v: %s", r.status, r.outcome, r.kind, r.elapsed, r.err, text)
}

// sendAll sends requests concurrently and returns their results in the same order. If during is set, it runs after
// the given delay, while the requests are in progress.
func (h *harness) sendAll(requests []request, delay time.Duration, during func()) []result {
	results := make([]result, len(requests))
	var wg sync.WaitGroup
	for i, r := range requests {
		wg.Go(func() { results[i] = h.send(h.test.Context(), r) })
	}
	if during != nil {
		time.Sleep(delay)
		during()
	}
	wg.Wait()
	return results
}

// promptRequests returns n streamed requests with different prompts, for the entries in turn.
func promptRequests(n int, tokens int64, timeout time.Duration) []request {
	var list []request
	for i := range n {
		list = append(list, request{entry: i, prompt: fmt.Sprintf("Season of complaints, part %d", i), tokens: tokens, stream: true, timeout: timeout})
	}
	return list
}
