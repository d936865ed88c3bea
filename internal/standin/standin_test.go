package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/standin"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:1")

// withEngine runs fn on virtual time with an engine on an in-memory listener.
func withEngine(t *testing.T, fn func(*testing.T, *standin.Engine, *engine.Client), options ...standin.Option) {
	synctest.Test(t, func(t *testing.T) {
		listener := standin.NewMemoryListener(loopback)
		e, err := standin.StartEngine(append(options, standin.WithListener(listener))...)
		assert.NilError(t, err)
		client := engine.New(e.Addr(), engine.WithHTTPClient(listener.Client()))
		defer func() {
			client.Close()
			assert.NilError(t, e.Stop())
		}()
		fn(t, e, client)
	})
}

func newStream(id, prompt string, maxTokens int64) engine.Stream {
	return engine.Stream{ID: id, Model: "model", Prompt: prompt, MaxTokens: maxTokens}
}

// appendTo returns a callback for RunStream and AttachStream that appends the pieces to text.
func appendTo(text *strings.Builder) func(engine.Piece) error {
	return func(p engine.Piece) error {
		_, _ = text.WriteString(p.Text)
		return nil
	}
}

func ignorePiece(engine.Piece) error { return nil }

// runAsync runs a stream in a new goroutine and returns a channel for its error.
func runAsync(ctx context.Context, client *engine.Client, stream engine.Stream) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := client.RunStream(ctx, stream, ignorePiece)
		done <- err
	}()
	return done
}

// Guards against damaged, repeated or lost text in an answer that was interrupted and continued elsewhere.
func TestContinuedAnswer(t *testing.T) {
	prompt := strings.Repeat("a ledger line ", 500)
	want := standin.ExpectedAnswer(prompt, 50)
	cases := map[string]int{"from the start": 0, "after a token": 40, "inside a token": 41, "at the end": len(want)}
	for name, delivered := range cases {
		t.Run(name, func(t *testing.T) {
			withEngine(t, func(t *testing.T, _ *standin.Engine, client *engine.Client) {
				stream := newStream("a", prompt, 50)
				stream.AnswerStart = want[:delivered]
				var text strings.Builder
				usage, err := client.RunStream(t.Context(), stream, appendTo(&text))
				assert.NilError(t, err)
				assert.Equal(t, want[:delivered]+text.String(), want)
				assert.Equal(t, usage.GeneratedTokens, int64(50))
				var rest strings.Builder
				_, err = client.AttachStream(t.Context(), "a", 17, appendTo(&rest))
				assert.NilError(t, err)
				assert.Equal(t, rest.String(), want[17:])
			})
		})
	}
}

// Guards against an engine that admits a request that exceeds its memory, and against memory that is not released when
// its stream ends.
func TestMemory(t *testing.T) {
	withEngine(t, func(t *testing.T, e *standin.Engine, client *engine.Client) {
		first := runAsync(t.Context(), client, newStream("a", strings.Repeat("x", 2000), 100))
		synctest.Wait()
		assert.Equal(t, e.Load().MemoryUsed, int64(600))
		_, err := client.RunStream(t.Context(), newStream("b", strings.Repeat("y", 1600), 1), ignorePiece)
		assert.ErrorContains(t, err, "507")
		assert.Assert(t, engine.NotRun(err))
		assert.NilError(t, <-first)
		assert.Equal(t, e.Load().MemoryUsed, int64(0))
		assert.Equal(t, e.PeakMemory(), int64(600))
	}, standin.WithCapacity(1000))
}

// Guards against a prefix cache that does not save prefill, or that exceeds its limit, and against cache events that
// are visible before the lag or are not dropped as configured.
func TestPrefixCache(t *testing.T) {
	withEngine(t, func(t *testing.T, _ *standin.Engine, client *engine.Client) {
		prompt := strings.Repeat("building history ", 100)
		for i, cached := range []int64{0, 384, 384} {
			usage, err := client.RunStream(t.Context(), newStream(fmt.Sprint(i), prompt, 1), ignorePiece)
			assert.NilError(t, err)
			assert.Equal(t, usage.CachedTokens, cached)
		}
		_, err := client.RunStream(t.Context(), newStream("other", strings.Repeat("tender file ", 300), 1), ignorePiece)
		assert.NilError(t, err)
		usage, err := client.RunStream(t.Context(), newStream("again", prompt, 1), ignorePiece)
		assert.NilError(t, err)
		assert.Equal(t, usage.CachedTokens, int64(0), "the other prompt must evict the first")

		events, err := client.CacheEvents(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(events.Events), 0, "events must be visible only after the lag")
		time.Sleep(2 * time.Second)
		events, err = client.CacheEvents(t.Context(), 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, events.Events[0].Hashes, standin.BlockHashes("model", "", prompt))
		for _, event := range events.Events {
			assert.Assert(t, event.Sequence%2 != 0, "every second event must be dropped")
		}
	}, standin.WithCacheCapacity(448), standin.WithCacheEvents(2*time.Second, 2))
}

// Guards against a long prompt that blocks a short one, and against priorities that have no effect.
func TestPriorities(t *testing.T) {
	withEngine(t, func(t *testing.T, _ *standin.Engine, client *engine.Client) {
		long := runAsync(t.Context(), client, newStream("long", strings.Repeat("x", 4*40_000), 1))
		synctest.Wait()
		start := time.Now()
		stream := newStream("short", strings.Repeat("y", 400), 1)
		stream.Priority = 5
		_, err := client.RunStream(t.Context(), stream, ignorePiece)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < 150*time.Millisecond, "took %s", time.Since(start))
		start = time.Now()
		raised := runAsync(t.Context(), client, newStream("raised", strings.Repeat("z", 400), 1))
		synctest.Wait()
		assert.NilError(t, client.SetStreamPriority(t.Context(), "raised", 5))
		assert.NilError(t, <-raised)
		assert.Assert(t, time.Since(start) < 150*time.Millisecond, "took %s", time.Since(start))
		assert.NilError(t, <-long)
		assert.Assert(t, time.Since(start) > time.Second, "took %s", time.Since(start))
	})
}

// Guards against streams that cannot be suspended, resumed, cancelled or listed.
func TestStreamControl(t *testing.T) {
	withEngine(t, func(t *testing.T, e *standin.Engine, client *engine.Client) {
		done := runAsync(t.Context(), client, newStream("a", "prompt", 100))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, client.SuspendStream(t.Context(), "a"))
		time.Sleep(time.Second)
		list, err := client.Streams(t.Context())
		assert.NilError(t, err)
		before := list.Streams[0]
		assert.Equal(t, before.State, engine.StreamSuspended)
		time.Sleep(time.Second)
		list, err = client.Streams(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, list.Streams[0], before)
		assert.NilError(t, client.ResumeStream(t.Context(), "a"))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, client.CancelStream(t.Context(), "a"))
		assert.ErrorContains(t, <-done, "cancelled")
		assert.Equal(t, e.Load().MemoryUsed, int64(0))
		time.Sleep(31 * time.Second)
		_, err = client.AttachStream(t.Context(), "a", 0, ignorePiece)
		assert.ErrorContains(t, err, "404")
	})
}

// Guards against a prompt whose answer changes when it is prefilled in segments whose caches are exported and imported,
// and against unused imports that keep their memory. One engine prefills all segments.
func TestSegments(t *testing.T) {
	withEngine(t, func(t *testing.T, e *standin.Engine, client *engine.Client) {
		var handles []string
		prompt := ""
		for i := range 3 {
			segment := strings.Repeat(fmt.Sprintf("season %d ", i), 250)
			prompt += segment
			stream := newStream(fmt.Sprint("segment", i), segment, 0)
			stream.Imports = handles
			_, err := client.RunStream(t.Context(), stream, ignorePiece)
			assert.NilError(t, err)
			exported, err := client.ExportCache(t.Context(), engine.ExportRequest{ID: stream.ID}, body.NewBudget(0).NewBuffer())
			assert.NilError(t, err)
			imported, err := client.ImportCache(t.Context(), exported)
			assert.NilError(t, err)
			handles = append(handles, imported.Handle)
		}
		stream := newStream("answer", "And the sum?", 20)
		stream.Imports = handles
		var text strings.Builder
		usage, err := client.RunStream(t.Context(), stream, appendTo(&text))
		assert.NilError(t, err)
		assert.Equal(t, text.String(), standin.ExpectedAnswer(prompt+"And the sum?", 20))
		assert.Equal(t, usage.PromptTokens, int64(len(prompt)+12+3)/4)
		assert.Assert(t, e.Load().MemoryUsed > 0)
		time.Sleep(31 * time.Second)
		_, err = client.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, e.Load().MemoryUsed, int64(0), "unused imports must be released")
	}, standin.WithCapacity(1000))
}

// Guards against load reports that are newer than the configured lag.
func TestLoadLag(t *testing.T) {
	withEngine(t, func(t *testing.T, _ *standin.Engine, client *engine.Client) {
		time.Sleep(2 * time.Second)
		done := runAsync(t.Context(), client, newStream("a", "prompt", 400))
		time.Sleep(900 * time.Millisecond)
		load, err := client.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, load.Running, 0)
		assert.Equal(t, load.Age, time.Second)
		assert.Assert(t, load.MeasuredAt.Equal(time.Now().Add(-time.Second)))
		time.Sleep(200 * time.Millisecond)
		load, err = client.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, load.Running+load.Waiting, 1)
		assert.NilError(t, <-done)
	})
}

// Guards against outdated orders that an engine with fencing executes, or that one without fencing refuses.
func TestOrders(t *testing.T) {
	cases := map[string]struct {
		options []standin.Option
		fault   standin.Fault
		fenced  bool
	}{
		"fences honoured":         {fenced: true},
		"fences ignored":          {options: []standin.Option{standin.WithIgnoredFences()}},
		"fences ignored by fault": {fault: standin.IgnoreFences{On: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withEngine(t, func(t *testing.T, e *standin.Engine, client *engine.Client) {
				if tc.fault != nil {
					assert.NilError(t, e.Inject(tc.fault))
				}
				result, err := client.SendOrder(t.Context(), engine.Order{
					Kind: engine.OrderLoad, Model: "new", Version: "2", Fence: engine.Fence{Generation: 2, Start: 1 << 60},
				})
				assert.NilError(t, err)
				assert.Equal(t, len(result.Models), 2)
				result, err = client.SendOrder(t.Context(), engine.Order{
					Kind: engine.OrderUnload, Model: "new", Fence: engine.Fence{Generation: 2, Start: 1<<60 - 1},
				})
				if !tc.fenced {
					assert.NilError(t, err)
					assert.Equal(t, len(result.Models), 1)
					return
				}
				var failure *engine.Error
				assert.Assert(t, errorAs(err, &failure))
				assert.Equal(t, failure.Kind, engine.KindFenced)
			}, tc.options...)
		})
	}
}

// Guards against stand-ins that can be reached from other machines.
func TestLoopbackOnly(t *testing.T) {
	for name, option := range map[string]standin.Option{
		"address":  standin.WithAddress(netip.MustParseAddrPort("0.0.0.0:0")),
		"listener": standin.WithListener(standin.NewMemoryListener(netip.MustParseAddrPort("192.0.2.1:1"))),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := standin.StartEngine(option)
			assert.ErrorContains(t, err, "not a loopback address")
		})
	}
}

// Guards against a stand-in on TCP that does not reopen its port after a crash.
func TestRestartOnTCP(t *testing.T) {
	e, err := standin.StartEngine()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, e.Stop()) }()
	client := engine.New(e.Addr())
	defer client.Close()
	_, err = client.RunStream(t.Context(), newStream("a", "prompt", 2), ignorePiece)
	assert.NilError(t, err)
	before := e.Incarnation()
	assert.NilError(t, e.Inject(standin.Crash{Downtime: 50 * time.Millisecond}))
	_, err = client.Load(t.Context())
	assert.ErrorContains(t, err, "engine")
	for err != nil {
		_, err = client.Load(t.Context())
	}
	assert.Assert(t, e.Incarnation() != before)
}

// postFault sends a fault to the control path.
func postFault(t *testing.T, client *http.Client, body string) {
	t.Helper()
	resp, err := client.Post("http://"+loopback.String()+"/stand-in/faults", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}
