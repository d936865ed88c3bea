package gateway_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// makeBusy makes all backend servers of a service refuse requests for a time, and the gateway know it.
func (h *harness) makeBusy(path string, d time.Duration) {
	h.setFaults(serviceOf(path), direct.RefusesFor{For: d}, direct.RefusesFor{For: d})
	for range 2 {
		h.call(http.MethodPost, path, func(c *gateway.CallerRequest) { c.Timeout = 100 * time.Millisecond })
	}
	h.setFaults(serviceOf(path), direct.NoFault{}, direct.NoFault{})
}

// Guards against requests whose callers get no answer when the gateway stops: those that it holds, those between two sends,
// those that were sent and not answered, and streams whose connection is closed as if they were complete.
func TestStopAnswersCallers(t *testing.T) {
	const path, longAnswerPath, shutdown = "/review/a", "/review/long", 8 * time.Second
	cases := map[string]struct {
		prepare func(*harness)
		path    string
		// after is when the request is sent; the gateway stops a second after the start of the test.
		after    time.Duration
		status   int
		complete bool
		// within bounds the time from the stop to the end of the answer.
		within time.Duration
		runs   int
	}{
		"held longer than the shutdown": {func(h *harness) { h.makeBusy(path, 10*time.Second) }, path, 0, 503, true, 50 * time.Millisecond, 0},
		"held, arrives in the shutdown": {func(h *harness) { h.makeBusy(path, 10*time.Second) }, path, 2 * time.Second, 503, true, 1100 * time.Millisecond, 0},
		"held for less":                 {func(h *harness) { h.makeBusy(path, 4*time.Second) }, path, 0, 200, true, shutdown, 1},
		"between two sends": {func(h *harness) {
			h.strike(path, direct.RefusesFor{For: 10 * time.Second})
			h.setFaults("pool", direct.Errors{}, direct.Errors{})
		}, path, 0, 502, true, 50 * time.Millisecond, 1},
		"unanswered":               {func(h *harness) { h.setFaults("pool", direct.NeverAnswers{}, direct.NeverAnswers{}) }, path, 0, 502, true, shutdown, 2},
		"unanswered, not repeated": {func(h *harness) { h.setFaults("pool", direct.NeverAnswers{}, direct.NeverAnswers{}) }, "/once/a", 0, 502, true, shutdown, 1},
		// The answer is long, so that another engine could not complete it before the end of the shutdown.
		"stream pauses, too late to go elsewhere": {func(h *harness) {
			pauses := direct.Pauses{After: 2, For: 6 * time.Second}
			h.setFaults("pool", pauses, pauses)
		}, longAnswerPath, 0, 200, true, shutdown, 1},
		"no event yet, too late to go elsewhere": {func(h *harness) {
			pauses := direct.Pauses{For: 3 * time.Second}
			h.setFaults("pool", pauses, pauses)
		}, longAnswerPath, 500 * time.Millisecond, 200, true, shutdown, 1},
		"stream has begun": {func(h *harness) {
			pauses := direct.Pauses{After: 2, For: time.Minute}
			h.setFaults("pool", pauses, pauses)
		}, path, 0, 200, false, shutdown, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				tc.prepare(h)
				began := time.Now()
				results := make(chan result, 1)
				time.AfterFunc(tc.after, func() {
					results <- h.call(http.MethodPost, tc.path, func(c *gateway.CallerRequest) {
						c.Timeout, c.Prompt = 15*time.Second, &gateway.Prompt{Tokens: 5000, MaxOutputTokens: 300}
						if tc.path == longAnswerPath {
							c.Prompt.MaxOutputTokens = 9000
						}
					})
				})
				time.Sleep(time.Second)
				stopped := make(chan error, 1)
				go func() { stopped <- h.gateway.Stop(h.test.Context()) }()
				got := <-results
				took := time.Since(began) - time.Second
				assert.Check(t, is.Equal(got.Status, tc.status))
				assert.Check(t, is.Equal(got.complete, tc.complete))
				assert.Check(t, is.Equal(got.NotRun, tc.status == 503))
				assert.Check(t, is.Len(h.runs(got.id), tc.runs))
				assert.Check(t, took <= tc.within, "%v after the stop", took)
				assert.NilError(t, <-stopped)
				assert.Check(t, time.Since(began)-time.Second < shutdown)
			})
		})
	}
}

// Guards against a stop that waits for a connection on which no request was sent.
func TestStopIgnoresUnusedConnections(t *testing.T) {
	withHarness(t, func(h *harness) {
		began := time.Now()
		stopped := make(chan error, 1)
		go func() { stopped <- h.gateway.Stop(h.test.Context()) }()
		time.Sleep(3 * time.Second)
		conn, err := h.callers.DialContext(h.test.Context(), "tcp", "")
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		assert.NilError(t, <-stopped)
		assert.Assert(t, time.Since(began) < 4500*time.Millisecond, "%v", time.Since(began))
	})
}

// Guards against an answer that is lost because its caller reads it late, and a request whose body arrives too slowly and
// that gets no answer.
func TestStopWaitsForSlowCallers(t *testing.T) {
	t.Run("answer not read yet", func(t *testing.T) {
		withHarness(t, func(h *harness) {
			conn, err := h.callers.DialContext(h.test.Context(), "tcp", "")
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			c := gateway.CallerRequest{ID: "slow", Method: http.MethodGet, Target: "/look/a", Host: callerHost, Key: callerKey, Timeout: 10 * time.Second}
			stopped := make(chan error, 1)
			go func() { stopped <- h.gateway.Stop(h.test.Context()) }()
			// The answer is written before the gateway has waited for load balancers, and read after that.
			time.Sleep(2 * time.Second)
			assert.NilError(t, platform.EncodeCallerRequest(callerAddress, c, nil).Write(conn))
			time.Sleep(2500 * time.Millisecond)
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Assert(t, is.Contains(string(answer), direct.Body("slow")))
			assert.NilError(t, <-stopped)
		})
	})
	t.Run("body not complete", func(t *testing.T) {
		withHarness(t, func(h *harness) {
			body, send := io.Pipe()
			c := gateway.CallerRequest{ID: "slow", Method: http.MethodPost, Target: "/draft/a", Host: callerHost, Key: callerKey, Timeout: 10 * time.Second}
			r := platform.EncodeCallerRequest(callerAddress, c, nil).WithContext(h.test.Context())
			r.Body, r.ContentLength = body, 100
			stopped := make(chan error, 1)
			time.AfterFunc(time.Second, func() { stopped <- h.gateway.Stop(h.test.Context()) })
			go func() { _, _ = io.WriteString(send, "a part") }()
			resp, err := h.client.Do(r)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, len(h.runs("slow")), 0)
			assert.NilError(t, <-stopped)
			assert.NilError(t, send.Close())
		})
	})
}

// Guards against requests that are taken late in a planned stop, passed on, and cut without an answer at its end, among them
// some that must not run twice.
func TestStopRefusesWhatCannotEnd(t *testing.T) {
	withHarness(t, func(h *harness) {
		// As slow as the time limit of the route allows.
		h.backends[0].StepTime, h.backends[1].StepTime = 1900*time.Millisecond, 1900*time.Millisecond
		stopped := make(chan error)
		go func() { stopped <- h.gateway.Stop(t.Context()) }()
		var calls sync.WaitGroup
		for range 75 {
			calls.Go(func() {
				got := h.call(http.MethodPost, "/book/a", nil)
				answered := got.Status == http.StatusOK && got.complete
				assert.Check(t, answered || got.NotRun, "status %d, complete %v", got.Status, got.complete)
				assert.Check(t, !got.NotRun || len(h.runs(got.id)) == 0, "refused as not run, but it ran")
			})
			time.Sleep(100 * time.Millisecond)
		}
		calls.Wait()
		assert.NilError(t, <-stopped)
	})
}

// Guards against callers who are sent away by a stopping gateway that could answer them in time: a request that may run twice and
// takes some milliseconds is served until the end, whatever its time limit.
func TestStopServesWhatCanEnd(t *testing.T) {
	withHarness(t, func(h *harness) {
		// A request that goes on keeps the gateway from stopping sooner.
		h.setFaults("pool", direct.Pauses{After: 2, For: time.Minute}, direct.Pauses{After: 2, For: time.Minute})
		go h.call(http.MethodPost, "/review/a", func(c *gateway.CallerRequest) { c.Timeout = 15 * time.Second })
		time.Sleep(time.Second)
		stopped, began := make(chan error, 1), time.Now()
		go func() { stopped <- h.gateway.Stop(t.Context()) }()
		for _, after := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second} {
			time.Sleep(after - time.Since(began))
			got := h.call(http.MethodGet, "/look/a", func(c *gateway.CallerRequest) { c.Timeout = 5 * time.Second })
			assert.Check(t, got.Status == http.StatusOK && got.complete, "%v after the stop: status %d", after, got.Status)
		}
		assert.NilError(t, <-stopped)
	})
}

// Guards against streams that a stopping gateway takes from a silent engine, because another one could complete them in time, and
// then cuts, because by then the others that it has moved have taken that engine's time.
func TestStopKeepsStreamsItMoves(t *testing.T) {
	const streams, shutdown = 40, 8 * time.Second
	// Answers so long, in tokens, that the other engine could complete a part of the streams in time.
	cases := map[string]int64{"most": 5400, "many": 5600, "half": 5800, "some": 6000, "few": 6200}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.setFaults("pool", direct.Pauses{After: 2, For: time.Minute}, direct.NoFault{})
				cut := make(chan time.Duration, streams)
				var calls sync.WaitGroup
				stop := time.Now().Add(800 * time.Millisecond)
				for range streams {
					calls.Go(func() {
						got := h.call(http.MethodPost, "/draft/a", func(c *gateway.CallerRequest) {
							c.Timeout, c.Prompt = 10*time.Second, &gateway.Prompt{Tokens: 9000, MaxOutputTokens: answer}
						})
						if got.Status == http.StatusOK && !got.complete {
							cut <- time.Since(stop)
						}
					})
				}
				time.Sleep(time.Until(stop))
				assert.NilError(t, h.gateway.Stop(h.test.Context()))
				calls.Wait()
				close(cut)
				for at := range cut {
					assert.Check(t, at > shutdown-time.Second, "a stream was cut %v after the start of the stop", at)
				}
			})
		})
	}
}
