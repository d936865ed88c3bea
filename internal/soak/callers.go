package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// call is one request of a caller and what came of it.
type call struct {
	gateway.Call
	kind   string
	front  int
	body   string
	sent   time.Time
	ended  time.Time
	answer platform.Answer
	got    string
	// whole says that the answer's body ended as it should, left that the caller went away itself.
	whole, left bool
}

// leaveAfter is how long a caller that leaves waits.
const leaveAfter = 60 * time.Millisecond

// ask is one caller: it sends one request after the other over connections that it keeps.
func (w *world) ask(ctx context.Context, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	kinds := []string{"book", "look", "draft", "draft", "once"}
	for ctx.Err() == nil {
		w.mu.Lock()
		key := w.keys[random.IntN(len(w.keys))]
		for old := range w.withdrawn {
			if random.IntN(12) == 0 {
				key = old
				break
			}
		}
		w.mu.Unlock()
		c := w.newCall(random.IntN(len(w.fronts)), kinds[random.IntN(len(kinds))], key, random)
		c.left = random.IntN(15) == 0
		w.send(ctx, transport, c)
		select {
		case <-ctx.Done():
		case <-w.clock.After(time.Duration(random.IntN(40*w.Callers/10+5)) * time.Millisecond):
		}
	}
}

func (w *world) newCall(front int, kind, key string, random *rand.Rand) *call {
	c := &call{kind: kind, front: front, body: strings.Repeat("b", random.IntN(3000)+1)}
	c.Call = gateway.Call{
		ID: fmt.Sprintf("%016x", random.Uint64()), Method: http.MethodPost, Target: "/" + kind + "/x", Host: callerHost, Key: key,
		Patience: time.Duration(800+random.IntN(2000)) * time.Millisecond,
	}
	if kind == "draft" || kind == "once" {
		tokens := int64(2000 + random.IntN(8000))
		if random.IntN(10) == 0 {
			tokens = int64(60000 + random.IntN(400000))
		}
		c.Prompt = &gateway.Prompt{Tokens: tokens, MaxAnswer: 400}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
	return c
}

// send sends a call once and records what came of it.
func (w *world) send(ctx context.Context, transport http.RoundTripper, c *call) {
	patience := c.Patience
	if c.left {
		patience = leaveAfter
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer cancel()
	c.sent = w.clock.Now()
	defer func() { c.ended = w.clock.Now() }()
	address := w.fronts[c.front].address()
	// The transport must not repeat a request by itself: the checks count runs of one identifier.
	r := platform.EncodeCall(address, c.Call, []byte(c.body)).WithContext(limited)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if c.answer, err = platform.DecodeAnswer(resp); err != nil {
		return
	}
	text, err := io.ReadAll(resp.Body)
	c.got, c.whole = string(text), err == nil
}

// expected returns the whole answer to the call.
func (c *call) expected(events int) string {
	if c.kind == "book" || c.kind == "look" {
		return direct.Body(c.ID)
	}
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(direct.Event(c.ID, n))
	}
	return b.String()
}
