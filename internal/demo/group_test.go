package demo_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/standin"
)

const ledgersKey = "cuenca-ledgers-key"

// withSmallEngines runs fn with three engines of one model, each of which can reserve 14,100 tokens for one prompt. It
// checks that all memory is free afterwards.
func withSmallEngines(t *testing.T, fn func(*demo.Fleet)) {
	t.Helper()
	opts := []demo.Option{demo.WithEngines(1, 3), demo.WithEntries(1), demo.WithEngineOptions(
		standin.WithCapacity(20_000), standin.WithCacheCapacity(0), standin.WithRetention(time.Second))}
	withFleet(t, opts, func(f *demo.Fleet) {
		fn(f)
		waitFor(t, func() bool {
			used := int64(0)
			for _, s := range f.Sidecars {
				st := s.Status()
				used += st.MemoryUsed + int64(st.Reservations+st.InFlight.Requests)
			}
			for name, e := range f.Engines {
				if f.Sidecars[name] == nil {
					// The sidecar of this engine was killed and not restarted. A new one would cancel its streams and
					// release unused imports.
					continue
				}
				used += e.Load().MemoryUsed
			}
			return used == 0
		})
	})
}

// ledgerPrompt returns a prompt of at least size bytes, with UTF-8 characters of one to three bytes.
func ledgerPrompt(seed, size int) string {
	var b strings.Builder
	for n := seed; b.Len() < size; n++ {
		fmt.Fprintf(&b, "Año %d: sala %d, 12 € · ", n*7919, n%9)
	}
	return b.String()
}

// streamCompletion requests a streamed completion and calls onFirstEvent after the first event of the answer.
func streamCompletion(ctx context.Context, f *demo.Fleet, prompt string, onFirstEvent func()) (outcome, text string, err error) {
	body := fmt.Sprintf(`{"model":"ledger-32b","prompt":%q,"max_tokens":100,"stream":true}`, prompt)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.EntryAddresses[0].String()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return "", "", err
	}
	r.Header.Set("Authorization", "Bearer "+ledgersKey)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", "", err
	}
	defer w.Body.Close()
	lines := bufio.NewReader(w.Body)
	first, err := lines.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	onFirstEvent()
	rest, err := io.ReadAll(lines)
	if outcome = w.Header.Get("Berylward-Outcome"); outcome == "" {
		outcome = w.Trailer.Get("Berylward-Outcome")
	}
	return outcome, first + string(rest), err
}

// lastBusyEngine returns the last engine by name that holds memory, or an empty string.
func lastBusyEngine(f *demo.Fleet) string {
	var names []string
	for name, e := range f.Engines {
		if e.Load().MemoryUsed > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return slices.Max(names)
}

func crashEngine(f *demo.Fleet, name string) { _ = f.Engines[name].Inject(standin.Crash{}) }

func killSidecar(f *demo.Fleet, name string) {
	f.Sidecars[name].Kill()
	delete(f.Sidecars, name)
}

// Guards against a wrong or missing answer to a prompt that exceeds the memory of one engine, also when a member of its
// group fails, and against memory that stays reserved after the group ended.
func TestGroupAnswers(t *testing.T) {
	tests := map[string]struct {
		bytes         int
		groups        int
		slowdown      float64
		duringPrefill func(*demo.Fleet, string)
		duringDecode  func(*demo.Fleet, string)
	}{
		"two engines":                {bytes: 76_000, groups: 1},
		"three engines":              {bytes: 118_000, groups: 1},
		"two groups at once":         {bytes: 76_000, groups: 2},
		"slow engines hold segments": {bytes: 76_000, groups: 1, slowdown: 10},
		"engine crashes in prefill":  {bytes: 76_000, groups: 1, duringPrefill: crashEngine},
		"engine crashes in decode":   {bytes: 76_000, groups: 1, duringDecode: crashEngine},
		"sidecar crashes in prefill": {bytes: 76_000, groups: 1, duringPrefill: killSidecar},
		"sidecar crashes in decode":  {bytes: 76_000, groups: 1, duringDecode: killSidecar},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			withSmallEngines(t, func(f *demo.Fleet) {
				if tt.slowdown > 0 {
					for _, e := range f.Engines {
						assert.NilError(t, e.Inject(standin.Slow{Factor: tt.slowdown}))
					}
				}
				var wg sync.WaitGroup
				for n := range tt.groups {
					wg.Go(func() {
						prompt := ledgerPrompt(n, tt.bytes)
						outcome, body, err := streamCompletion(t.Context(), f, prompt, func() {
							if tt.duringDecode != nil {
								tt.duringDecode(f, lastBusyEngine(f))
							}
						})
						assert.Check(t, err)
						if assert.Check(t, outcome == "done", "%s %s", outcome, body) {
							assert.Check(t, answerText(t, body) == standin.ExpectedAnswer(prompt, 100))
						}
					})
				}
				if tt.duringPrefill != nil {
					waitFor(t, func() bool { return lastBusyEngine(f) != "" })
					tt.duringPrefill(f, lastBusyEngine(f))
				}
				wg.Wait()
			})
		})
	}
}

// Guards against a group that continues after its caller has disconnected.
func TestGroupCallerDisconnects(t *testing.T) {
	for name, decoding := range map[string]bool{"in prefill": false, "in decode": true} {
		t.Run(name, func(t *testing.T) {
			withSmallEngines(t, func(f *demo.Fleet) {
				ctx, cancel := context.WithCancel(t.Context())
				if !decoding {
					go func() {
						waitFor(t, func() bool { return lastBusyEngine(f) != "" })
						cancel()
					}()
				}
				_, _, err := streamCompletion(ctx, f, ledgerPrompt(0, 76_000), cancel)
				assert.ErrorIs(t, err, context.Canceled)
			})
		})
	}
}

// Guards against a prompt that exceeds the memory of every group, or that no group can finish before its deadline, and
// that waits for the deadline or runs in part instead of being refused before it runs.
func TestGroupRefused(t *testing.T) {
	tests := map[string]struct {
		bytes   int
		timeout string
		kind    string
	}{
		"too large": {130_000, "1m", "no-worker"},
		"too late":  {76_000, "3s", "deadline"},
	}
	withSmallEngines(t, func(f *demo.Fleet) {
		for name, tt := range tests {
			t.Run(name, func(t *testing.T) {
				body := fmt.Sprintf(`{"model":"ledger-32b","prompt":%q,"max_tokens":100}`, ledgerPrompt(0, tt.bytes))
				_, outcome, text := post(t, f, "/v1/completions", ledgersKey, body, map[string]string{"Berylward-Timeout": tt.timeout})
				assert.Equal(t, outcome, "not-run")
				assert.Assert(t, strings.Contains(text, `"kind":"`+tt.kind), text)
				for name, e := range f.Engines {
					assert.Equal(t, e.PeakMemory(), int64(0), name)
				}
			})
		}
	})
}

// Guards against a group member that keeps its memory although its lease is not renewed, and against one that loses its
// memory during a valid lease because its reservation has no stream on the engine. Guards also against cache that is
// served without a valid token.
func TestGroupLease(t *testing.T) {
	withSmallEngines(t, func(f *demo.Fleet) {
		ctx, worker := t.Context(), f.Instances()[len(f.Services)]
		hello := link.Hello{Role: link.RoleEntry, Instance: "entry-9", Incarnation: uuid.New()}
		conn, err := link.Dial(ctx, worker.Address, hello)
		assert.NilError(t, err)
		defer conn.Close()
		renewed, notRenewed := link.ID{Incarnation: hello.Incarnation, Sequence: 1}, link.ID{Incarnation: hello.Incarnation, Sequence: 2}
		for _, id := range []link.ID{renewed, notRenewed} {
			assert.NilError(t, conn.Send(&link.Reserve{ID: id, Remaining: time.Hour, Tokens: 3000, Fingerprint: make([]byte, 16)}))
		}
		status := f.Sidecars[worker.Name].Status
		waitFor(t, func() bool { return status().Reservations == 2 })
		for ended := false; !ended; {
			select {
			case m := <-conn.Receive():
				switch m := m.(type) {
				case *link.Heartbeat:
					assert.NilError(t, conn.Send(&link.Renew{ID: renewed}))
				case *link.Failed:
					assert.Equal(t, m.ID, notRenewed)
					ended = true
				}
			case <-ctx.Done():
				t.Fatal("the lease did not expire")
			}
		}
		assert.Equal(t, status().Reservations, 1)
		for token, status := range map[string]string{"": "status 401", "wrong": "status 403"} {
			_, err = link.FetchCache(ctx, link.CacheSource{Address: worker.Address, Token: token})
			assert.ErrorContains(t, err, status)
		}
		assert.NilError(t, conn.Send(&link.Cancel{ID: renewed}))
		waitFor(t, func() bool { return status().Reservations == 0 })
	})
}
