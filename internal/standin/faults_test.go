package standin_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/standin"
)

func errorAs[T error](err error, target *T) bool { return errors.As(err, target) }

func errorKind(err error) engine.ErrorKind {
	var failure *engine.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

// Guards against an engine fault without the intended effect. Each case runs on virtual time with a warm engine and a
// running stream "a".
func TestEngineFaults(t *testing.T) {
	type run struct {
		*testing.T
		engine *standin.Engine
		client *engine.Client
		done   chan error
	}
	cases := map[string]struct {
		fault standin.Fault
		check func(run)
	}{
		"crash": {standin.Crash{Downtime: time.Second}, func(r run) {
			assert.Equal(r, errorKind(<-r.done), engine.KindMayHaveRun)
			_, err := r.client.Load(r.Context())
			assert.Equal(r, errorKind(err), engine.KindNotSent)
			time.Sleep(time.Second)
			synctest.Wait()
			load, err := r.client.Load(r.Context())
			assert.NilError(r, err)
			assert.Equal(r, load.Warm, false)
			assert.Equal(r, load.MemoryUsed, int64(0))
			list, err := r.client.Streams(r.Context())
			assert.NilError(r, err)
			assert.Equal(r, len(list.Streams), 0)
		}},
		"turn cold": {standin.TurnCold{}, func(r run) {
			assert.NilError(r, <-r.done)
			start := time.Now()
			_, err := r.client.RunStream(r.Context(), newStream("b", "prompt", 10), ignorePiece)
			assert.NilError(r, err)
			assert.Assert(r, time.Since(start) > 400*time.Millisecond, "took %s", time.Since(start))
			assert.Assert(r, r.engine.Load().Warm, "the load report must still say warm")
			var last chan error
			for _, id := range []string{"c", "d", "e", "f"} {
				last = runAsync(r.Context(), r.client, newStream(id, "prompt", 10))
			}
			assert.Equal(r, errorKind(<-last), engine.KindMayHaveRun)
			assert.Equal(r, r.engine.Crashes(), 1)
		}},
		"freeze": {standin.Freeze{Duration: 10 * time.Second}, func(r run) {
			ctx, cancel := context.WithTimeout(r.Context(), 5*time.Second)
			defer cancel()
			_, err := r.client.Load(ctx)
			assert.Equal(r, errorKind(err), engine.KindTimeout)
			select {
			case <-r.done:
				r.Fatal("the stream ended on a frozen engine")
			default:
			}
			assert.NilError(r, <-r.done)
		}},
		"silence": {standin.SilenceConns{}, func(r run) {
			time.Sleep(10 * time.Second)
			select {
			case <-r.done:
				r.Fatal("the stream ended on a silent connection")
			default:
			}
			var text strings.Builder
			_, err := r.client.AttachStream(r.Context(), "a", 0, appendTo(&text))
			assert.NilError(r, err)
			assert.Equal(r, text.String(), standin.ExpectedAnswer("prompt", 100), "a new connection must work")
		}},
		"crash on marker": {standin.CrashOnMarker{Marker: "poison"}, func(r run) {
			_, err := r.client.RunStream(r.Context(), newStream("b", "some poison here", 1), ignorePiece)
			assert.Equal(r, errorKind(err), engine.KindMayHaveRun)
			assert.Equal(r, errorKind(<-r.done), engine.KindMayHaveRun)
			assert.Equal(r, r.engine.Crashes(), 1)
		}},
		"ignored cancel": {standin.IgnoreCancels{On: true}, func(r run) {
			assert.NilError(r, r.client.CancelStream(r.Context(), "a"))
			assert.NilError(r, <-r.done)
		}},
		"slow": {standin.Slow{Factor: 10}, func(r run) {
			start := time.Now()
			assert.NilError(r, <-r.done)
			assert.Assert(r, time.Since(start) > 9*time.Second, "took %s", time.Since(start))
		}},
		"clear": {standin.ClearFaults{}, func(r run) { assert.NilError(r, <-r.done) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withEngine(t, func(t *testing.T, e *standin.Engine, client *engine.Client) {
				done := runAsync(t.Context(), client, newStream("a", "prompt", 100))
				time.Sleep(20 * time.Millisecond)
				assert.NilError(t, e.Inject(tc.fault))
				tc.check(run{t, e, client, done})
			})
		})
	}
}

// Guards against fault requests over HTTP that do not inject the fault they name.
func TestFaultsOverHTTP(t *testing.T) {
	cases := map[string]struct {
		body string
		kind engine.ErrorKind
	}{
		"crash":            {`{"kind":"crash","for":"2s"}`, engine.KindNotSent},
		"freeze":           {`{"kind":"freeze","for":"1h"}`, engine.KindTimeout},
		"crash on marker":  {`{"kind":"crash-on-marker","marker":"prompt"}`, engine.KindMayHaveRun},
		"slow":             {`{"kind":"slow","factor":1000}`, engine.KindTimeout},
		"no effect on run": {`{"kind":"ignore-cancels","on":true}`, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := standin.NewMemoryListener(loopback)
				e, err := standin.StartEngine(standin.WithListener(listener))
				assert.NilError(t, err)
				httpClient := listener.Client()
				postFault(t, httpClient, tc.body)
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err = engine.New(loopback, engine.WithHTTPClient(httpClient)).RunStream(ctx, newStream("a", "prompt", 2), ignorePiece)
				assert.Equal(t, errorKind(err), tc.kind)
				httpClient.CloseIdleConnections()
				assert.NilError(t, e.Stop())
			})
		})
	}
}

// Guards against an engine that never becomes warm after a cold start. While cold, it would crash on the concurrent
// streams at the end of the test, because its limit is one stream.
func TestColdStart(t *testing.T) {
	withEngine(t, func(t *testing.T, e *standin.Engine, client *engine.Client) {
		_, err := client.RunStream(t.Context(), newStream("a", strings.Repeat("x", 8000), 1), ignorePiece)
		assert.NilError(t, err)
		assert.Assert(t, e.Load().Warm)
		for _, id := range []string{"b", "c", "d"} {
			defer func(done chan error) { assert.NilError(t, <-done) }(runAsync(t.Context(), client, newStream(id, "p", 5)))
		}
	}, standin.WithColdStart(), standin.WithWarmUp(1, 4, 1000))
}

// Guards against runs that the service does not count, and against a client that repeats a call on its own: net/http
// does so on a reused connection when the call has an Idempotency-Key.
func TestServiceFaults(t *testing.T) {
	cases := map[string]struct {
		fault standin.Fault
		kind  engine.ErrorKind
		runs  int
		after time.Duration
	}{
		"no fault":        {fault: standin.ClearFaults{}, runs: 1},
		"delay":           {fault: standin.Delay{Duration: 3 * time.Second}, runs: 1, after: 3 * time.Second},
		"crash":           {fault: standin.Crash{Downtime: time.Second}, kind: engine.KindNotSent},
		"crash after run": {fault: standin.CrashAfterRun{Count: 1, Downtime: time.Second}, kind: engine.KindMayHaveRun, runs: 1},
		"lost answer":     {fault: standin.LoseAnswer{Count: 1}, kind: engine.KindMayHaveRun, runs: 1},
		"freeze":          {fault: standin.Freeze{}, kind: engine.KindTimeout, after: 10 * time.Second},
		"silence":         {fault: standin.SilenceConns{}, kind: engine.KindTimeout, after: 10 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := standin.NewMemoryListener(loopback)
				s, err := standin.StartService(standin.WithListener(listener))
				assert.NilError(t, err)
				client := engine.New(loopback, engine.WithHTTPClient(listener.Client()))
				call := func(method, path string) (int, error) {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					status := 0
					err := client.Call(ctx, method, path, http.Header{"Idempotency-Key": {"k"}}, nil, func(p engine.ResponsePart) error {
						if head, ok := p.(engine.ResponseHead); ok {
							status = head.Status
						}
						return nil
					})
					return status, err
				}
				_, err = call(http.MethodGet, "/slots")
				assert.NilError(t, err)
				start := time.Now()
				assert.NilError(t, s.Inject(tc.fault))
				// The client must have noticed the closed connections. Otherwise the call would fail on one of them as
				// broken.
				synctest.Wait()
				status, err := call(http.MethodPost, "/bookings")
				assert.Equal(t, errorKind(err), tc.kind)
				assert.Equal(t, time.Since(start), tc.after)
				if tc.kind == "" {
					assert.Equal(t, status, http.StatusCreated)
				}
				assert.Equal(t, s.Runs()["k"], tc.runs)
				client.Close()
				assert.NilError(t, s.Stop())
			})
		})
	}
}

// Guards against a run that is not counted when a service on TCP crashes after it, and against a crash without effect
// on the next call: the service's own listener must refuse the connection, so that the call is known not to have run,
// and a given listener that cannot be reopened must accept and close it.
func TestCrashAfterRunOnTCP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	for name, option := range map[string]standin.Option{
		"own listener":   standin.WithRestartTime(time.Hour),
		"given listener": standin.WithListener(listener),
	} {
		t.Run(name, func(t *testing.T) {
			s, err := standin.StartService(option)
			assert.NilError(t, err)
			defer func() { assert.NilError(t, s.Stop()) }()
			assert.NilError(t, s.Inject(standin.CrashAfterRun{Count: 1, Downtime: time.Hour}))
			client := engine.New(s.Addr())
			defer client.Close()
			for _, want := range []map[string]int{{"room 1": 1}, {"room 1": 1}} {
				err = client.Call(t.Context(), http.MethodPost, "/bookings", nil, []byte("room 1"),
					func(engine.ResponsePart) error { return nil })
				assert.Assert(t, err != nil)
				assert.DeepEqual(t, s.Runs(), want)
			}
			assert.Equal(t, engine.NotRun(err), name == "own listener", "%v", err)
		})
	}
}

// Guards against an order that is lost when its connection ends before the order takes effect.
func TestLateOrder(t *testing.T) {
	withEngine(t, func(t *testing.T, e *standin.Engine, client *engine.Client) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := client.SendOrder(ctx, engine.Order{Kind: engine.OrderRole, Role: "long"})
		assert.Equal(t, errorKind(err), engine.KindTimeout)
		assert.Equal(t, e.Load().Role, "any")
		time.Sleep(4 * time.Second)
		synctest.Wait()
		assert.Equal(t, e.Load().Role, "long")
	}, standin.WithOrderTime(5*time.Second))
}

// Guards against fault kinds that their stand-in rejects, or that another stand-in accepts.
func TestControlPath(t *testing.T) {
	e, s, p := standin.NewEngine(), standin.NewService(), standin.NewPlatform()
	handlers := map[string]http.Handler{"engine": e, "service": s, "platform": p}
	cases := map[string]string{
		"crash": "engine service platform", "freeze": "engine service platform", "silence": "engine service platform",
		"clear": "engine service platform", "turn-cold": "engine", "crash-on-marker": "engine",
		"ignore-cancels": "engine", "ignore-fences": "engine", "slow": "engine", "delay": "service platform",
		"crash-after-run": "service", "lose-answer": "service", "endless-answers": "service", "stale": "platform", "unreachable": "platform",
		"no-such-fault": "",
	}
	for fault, owners := range cases {
		for name, handler := range handlers {
			t.Run(fault+" at "+name, func(t *testing.T) {
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/stand-in/faults",
					strings.NewReader(`{"kind":"`+fault+`","for":"1ms"}`)))
				want := http.StatusBadRequest
				if strings.Contains(owners, name) {
					want = http.StatusNoContent
				}
				assert.Equal(t, w.Code, want)
			})
		}
	}
	assert.NilError(t, errors.Join(e.Stop(), s.Stop(), p.Stop()))
}
