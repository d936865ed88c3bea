package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/utils/clock"

	"berylward.example/berylward/pkg/answer"
)

const (
	// maxRequests and maxInFlight limit every run, whatever its settings.
	maxRequests = 50_000
	maxInFlight = 2_000
	// bytesPerToken is the length of a token's text on the stand-in engines.
	bytesPerToken = 4
)

// driver sends requests to entries. It is safe for concurrent use.
type driver struct {
	Entries      []netip.AddrPort
	Key, Model   string
	OutputTokens int64
	// Scale multiplies prompt lengths.
	Scale float64
	// Timeout returns the deadline of a request for its unscaled prompt length.
	Timeout func(tokens int64) time.Duration

	client    *http.Client
	clock     clock.Clock
	nextEntry atomic.Uint64
	inFlight  atomic.Int64
}

// newDriver returns a driver for entries on loopback. It rejects other addresses, so that a mistyped address cannot put
// load on another machine.
func newDriver(entries []netip.AddrPort) (*driver, error) {
	if len(entries) == 0 {
		return nil, errors.New("load: no entry address")
	}
	for _, entry := range entries {
		if !entry.Addr().IsLoopback() {
			return nil, errors.Errorf("load: entry %s is not a loopback address", entry)
		}
	}
	return &driver{
		Entries: entries, OutputTokens: 32, Scale: 1, clock: clock.RealClock{},
		Timeout: func(int64) time.Duration { return time.Minute },
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		}},
	}, nil
}

// Close closes idle connections.
func (d *driver) Close() { d.client.CloseIdleConnections() }

// Result is the outcome of one arrival. FirstToken and Total are measured from the time when the request was due.
type Result struct {
	Arrival
	Deadline          time.Duration
	FirstToken, Total time.Duration
	Outcome           answer.Outcome
	Usage             answer.Usage
}

// Run sends each arrival when it is due, whether or not earlier ones have been answered, and returns when all have
// ended. Arrivals above the limit of requests in flight are not sent and count as not run.
func (d *driver) Run(ctx context.Context, arrivals []Arrival) []Result {
	results := make([]Result, len(arrivals))
	start := d.clock.Now()
	var pending sync.WaitGroup
	for i, a := range arrivals {
		due := start.Add(a.Due)
		if wait := due.Sub(d.clock.Now()); wait > 0 {
			select {
			case <-d.clock.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil || d.inFlight.Load() >= maxInFlight {
			results[i] = Result{Arrival: a, Outcome: answer.NotRun{Reason: answer.ReasonCancelled}}
			continue
		}
		d.inFlight.Add(1)
		pending.Go(func() {
			defer d.inFlight.Add(-1)
			results[i] = d.send(ctx, a, due)
		})
	}
	pending.Wait()
	return results
}

// promptText returns the prompt of an arrival. Prompts differ from their first bytes on, so that only requests for the
// same document share cached prefixes.
func promptText(a Arrival, scale float64) string {
	size := func(tokens int64) int { return max(int(float64(tokens)*scale), 8) * bytesPerToken }
	uniquePrefix := fmt.Sprintf("request %016x ", a.Number)
	if a.Document == 0 {
		return padText(uniquePrefix, size(a.Tokens))
	}
	questionLength := min(questionTokens, a.Tokens/2)
	return padText(fmt.Sprintf("document %d ", a.Document), size(a.Tokens-questionLength)) + padText(uniquePrefix, size(questionLength))
}

const paddingText = "The seal of the north window was replaced in spring and has held since then. "

func padText(prefix string, size int) string {
	var b strings.Builder
	b.Grow(size + len(paddingText))
	b.WriteString(prefix)
	for b.Len() < size {
		b.WriteString(paddingText)
	}
	return b.String()[:size]
}

type completionRequest struct {
	Model         string `json:"model"`
	Prompt        string `json:"prompt"`
	MaxTokens     int64  `json:"max_tokens"`
	Stream        bool   `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// send sends one request and reads its stream to the end.
func (d *driver) send(ctx context.Context, a Arrival, due time.Time) Result {
	r := Result{Arrival: a, Deadline: d.Timeout(a.Tokens), Outcome: answer.Unknown{Reason: answer.ReasonInternal}}
	d.followStream(ctx, &r, due, func(time.Time) {})
	r.Total = d.clock.Now().Sub(due)
	return r
}

// followStream sends the request, fills in the result and calls onEvent at each event of the stream.
func (d *driver) followStream(ctx context.Context, r *Result, due time.Time, onEvent func(time.Time)) {
	request := completionRequest{Model: d.Model, Prompt: promptText(r.Arrival, d.Scale), MaxTokens: d.OutputTokens, Stream: true}
	request.StreamOptions.IncludeUsage = true
	body, err := json.Marshal(request)
	if err != nil {
		return
	}
	entry := d.Entries[d.nextEntry.Add(1)%uint64(len(d.Entries))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+d.Key)
	req.Header.Set("Berylward-Timeout", r.Deadline.String())
	resp, err := d.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		r.Outcome = refusalOutcome(resp)
		return
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			now := d.clock.Now()
			if r.FirstToken == 0 {
				r.FirstToken = now.Sub(due)
			}
			onEvent(now)
			r.readUsage(data)
		}
		if err != nil {
			break
		}
	}
	if resp.Trailer.Get("Berylward-Outcome") == "done" {
		r.Outcome = answer.Done{}
	}
}

// readUsage reads the token counts from the event that carries them.
func (r *Result) readUsage(data string) {
	if !strings.Contains(data, `"usage":{`) {
		return
	}
	var event struct {
		Usage struct {
			Prompt    int64 `json:"prompt_tokens"`
			Generated int64 `json:"completion_tokens"`
			Details   struct {
				Cached int64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal([]byte(data), &event) == nil {
		r.Usage = answer.Usage{
			PromptTokens: event.Usage.Prompt, CachedTokens: event.Usage.Details.Cached, GeneratedTokens: event.Usage.Generated,
		}
	}
}

// refusalOutcome returns the outcome that a response without a stream reports.
func refusalOutcome(resp *http.Response) answer.Outcome {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	var body struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	reason := answer.Reason(body.Error.Kind)
	if resp.Header.Get("Berylward-Outcome") == "not-run" {
		return answer.NotRun{Reason: reason}
	}
	return answer.Unknown{Reason: reason}
}
