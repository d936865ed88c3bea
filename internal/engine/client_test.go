package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/standin"
)

// withServer starts a server that reads one request per connection and writes response verbatim. It returns the
// number of requests received. With an empty response the server only closes the connection.
func withServer(t *testing.T, response string, fn func(*engine.Client)) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	requests, served := 0, make(chan struct{})
	go func() {
		defer close(served)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_ = r.ParseForm()
				requests++
				_, _ = conn.Write([]byte(response))
			}
			conn.Close()
		}
	}()
	client := engine.New(netip.MustParseAddrPort(listener.Addr().String()))
	fn(client)
	client.Close()
	listener.Close()
	<-served
	return requests
}

func statusResponse(code int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 14\r\n\r\n{\"error\":\"no\"}", code)
}

func okResponse(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

const truncatedStream = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"offset\":0,\"text\":\"abcd\"}\n"

// Guards against a failure that is reported as not run although the request may have run, and against an incomplete
// answer that is taken for complete.
func TestErrorKinds(t *testing.T) {
	run := func(ctx context.Context, c *engine.Client) error {
		_, err := c.RunStream(ctx, engine.Stream{ID: "a"}, func(engine.Piece) error { return nil })
		return err
	}
	order := func(ctx context.Context, c *engine.Client) error {
		_, err := c.SendOrder(ctx, engine.Order{})
		return err
	}
	load := func(ctx context.Context, c *engine.Client) error {
		_, err := c.Load(ctx)
		return err
	}
	call := func(ctx context.Context, c *engine.Client) error {
		return c.Call(ctx, http.MethodPost, "bookings", http.Header{"Idempotency-Key": {"k"}}, []byte("x"),
			func(engine.ResponsePart) error { return nil })
	}
	attach := func(ctx context.Context, c *engine.Client) error {
		_, err := c.AttachStream(ctx, "a", 0, func(engine.Piece) error { return nil })
		return err
	}
	cases := map[string]struct {
		response string
		invoke   func(context.Context, *engine.Client) error
		kind     engine.ErrorKind
		notRun   bool
	}{
		"memory full":                {statusResponse(507), run, engine.KindRejected, true},
		"unavailable":                {statusResponse(503), run, engine.KindRejected, true},
		"bad request":                {statusResponse(400), run, engine.KindRejected, true},
		"conflict":                   {statusResponse(409), run, engine.KindMayHaveRun, false},
		"internal error":             {statusResponse(500), run, engine.KindMayHaveRun, false},
		"lower fencing number":       {statusResponse(412), order, engine.KindFenced, true},
		"no response":                {"", run, engine.KindMayHaveRun, false},
		"no response to call":        {"", call, engine.KindMayHaveRun, false},
		"truncated stream":           {truncatedStream, run, engine.KindMayHaveRun, false},
		"truncated call":             {truncatedStream, call, engine.KindMayHaveRun, false},
		"truncated load":             {truncatedStream, load, engine.KindMayHaveRun, false},
		"call without length":        {"HTTP/1.0 200 OK\r\n\r\nab", call, engine.KindMalformed, false},
		"stream without end":         {okResponse(`{"offset":0,"text":"abcd","tokens":1}`), run, engine.KindMayHaveRun, false},
		"error line":                 {okResponse(`{"error":"cancelled"}`), run, engine.KindMayHaveRun, false},
		"gap":                        {okResponse(`{"offset":4,"text":"abcd","tokens":1}`), run, engine.KindMalformed, false},
		"last line without usage":    {okResponse(`{"done":true}`), run, engine.KindMalformed, false},
		"invalid JSON":               {okResponse(`<html>`), run, engine.KindMalformed, false},
		"load in invalid JSON":       {okResponse(`<html>`), load, engine.KindMalformed, false},
		"line too long":              {okResponse(strings.Repeat("x", 256<<10+1)), run, engine.KindMalformed, false},
		"complete stream":            {okResponse(`{"done":true,"usage":{}}`), run, "", false},
		"redirect":                   {"HTTP/1.1 307 X\r\nLocation: /v1/load\r\nContent-Length: 0\r\n\r\n", call, "", false},
		"redirected stream":          {"HTTP/1.1 307 X\r\nLocation: /v1/load\r\nContent-Length: 0\r\n\r\n", run, engine.KindMayHaveRun, false},
		"status 000, call":           {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}", call, engine.KindMalformed, false},
		"status 099, call":           {"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}", call, engine.KindMalformed, false},
		"status 600, call":           {"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}", call, engine.KindMalformed, false},
		"status 000, stream":         {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}", run, engine.KindMalformed, false},
		"status 099, stream":         {"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}", run, engine.KindMalformed, false},
		"status 600, stream":         {"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}", run, engine.KindMalformed, false},
		"status 000, resumed stream": {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}", attach, engine.KindMalformed, false},
		"status 099, resumed stream": {"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}", attach, engine.KindMalformed, false},
		"status 600, resumed stream": {"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}", attach, engine.KindMalformed, false},
		"status 000, order":          {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}", order, engine.KindMalformed, false},
		"status 099, order":          {"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}", order, engine.KindMalformed, false},
		"status 600, order":          {"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}", order, engine.KindMalformed, false},
		"status 000, probe":          {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}", load, engine.KindMalformed, false},
		"status 099, probe":          {"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}", load, engine.KindMalformed, false},
		"status 600, probe":          {"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}", load, engine.KindMalformed, false},
		"status 101, call":           {"HTTP/1.1 101 X\r\nContent-Length: 2\r\n\r\n{}", call, engine.KindMalformed, false},
		"error status of a call":     {statusResponse(418), call, "", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var err error
			requests := withServer(t, tc.response, func(c *engine.Client) { err = tc.invoke(t.Context(), c) })
			var failure *engine.Error
			if tc.kind == "" {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errors.As(err, &failure), "%v", err)
				assert.Equal(t, failure.Kind, tc.kind, "%v", err)
			}
			assert.Equal(t, engine.NotRun(err), tc.notRun)
			assert.Equal(t, requests, 1, "the request was sent again")
		})
	}
}

// Guards against a request that was never sent but is reported as possibly run.
func TestRequestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, ctx := range map[string]context.Context{"closed port": t.Context(), "cancelled context": cancelled} {
		t.Run(name, func(t *testing.T) {
			_, err := engine.New(address).RunStream(ctx, engine.Stream{ID: "a"}, nil)
			var failure *engine.Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Kind, engine.KindNotSent)
			assert.Assert(t, engine.NotRun(err))
		})
	}
}

// Guards against losing the error of the callback.
func TestCallbackError(t *testing.T) {
	callbackErr := errors.New("full")
	withServer(t, okResponse(`{"offset":0,"text":"abcd","tokens":1}`), func(c *engine.Client) {
		_, err := c.RunStream(t.Context(), engine.Stream{ID: "a"}, func(engine.Piece) error { return callbackErr })
		assert.ErrorIs(t, err, callbackErr)
		assert.Assert(t, !engine.NotRun(err))
	})
}

// Guards against a wrong order of fencing numbers.
func TestFenceCompare(t *testing.T) {
	for name, tc := range map[string]struct {
		a, b engine.Fence
		want int
	}{
		"generation first": {engine.Fence{Generation: 2, Start: 1}, engine.Fence{Generation: 1, Start: 9}, 1},
		"then start":       {engine.Fence{Generation: 2, Start: 1}, engine.Fence{Generation: 2, Start: 9}, -1},
		"equal":            {engine.Fence{Generation: 2, Start: 1}, engine.Fence{Generation: 2, Start: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.a.Compare(tc.b), tc.want) })
	}
}

// repeatRefusals accepts connections, refuses the first request and runs all others. When a request arrives on the connection
// that carried the refusal, it writes the refusal once more although it runs the request. ran returns the number of runs.
func repeatRefusals(listener net.Listener, answer string) (ran func() int) {
	var mu sync.Mutex
	requests, runs := 0, 0
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for refused := false; ; refused = true {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			requests++
			refuse := requests == 1 || refused
			if requests > 1 {
				runs++
			}
			mu.Unlock()
			response := answer
			if refuse {
				response = statusResponse(http.StatusServiceUnavailable)
			}
			_, _ = conn.Write([]byte(response))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return runs
	}
}

// Guards against an earlier refusal that an engine writes once more on a kept connection, and that is taken for the answer to the
// next request. For a stream the entry would be told that it has not run, and would run it again elsewhere; an order that was
// carried out would be given again.
func TestRepeatedRefusal(t *testing.T) {
	const lastLine = `{"done":true,"usage":{"prompt-tokens":1,"cached-tokens":0,"generated-tokens":0}}` + "\n"
	cases := map[string]struct {
		answer string
		call   func(context.Context, *engine.Client) error
	}{
		"stream": {lastLine, func(ctx context.Context, c *engine.Client) error {
			usage, err := c.RunStream(ctx, engine.Stream{ID: "b"}, func(engine.Piece) error { return nil })
			if err == nil && usage.PromptTokens != 1 {
				return fmt.Errorf("usage %+v", usage)
			}
			return err
		}},
		"attach": {lastLine, func(ctx context.Context, c *engine.Client) error {
			_, err := c.AttachStream(ctx, "b", 0, func(engine.Piece) error { return nil })
			return err
		}},
		"order": {"{}", func(ctx context.Context, c *engine.Client) error {
			_, err := c.SendOrder(ctx, engine.Order{})
			return err
		}},
		"cancel": {"{}", func(ctx context.Context, c *engine.Client) error { return c.CancelStream(ctx, "b") }},
		"load": {"{}", func(ctx context.Context, c *engine.Client) error {
			_, err := c.Load(ctx)
			return err
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			ran := repeatRefusals(listener, okResponse(tc.answer))
			client := engine.New(netip.MustParseAddrPort(listener.Addr().String()))
			defer client.Close()
			_, err = client.Streams(t.Context())
			var failure *engine.Error
			assert.Assert(t, errors.As(err, &failure) && failure.NotRun(), "%v", err)
			assert.NilError(t, tc.call(t.Context(), client))
			assert.Equal(t, ran(), 1)
		})
	}
}

// Guards against a part of an answer that looks complete, because the service answered a long call before it had read it, and reset
// the connection. A socket reports a reset once, and the write of the call may get that.
func TestResetDuringUpload(t *testing.T) {
	for framing, response := range standin.EarlyResponses(nil) {
		for when, accepted := range map[string]int{"at once": 0, "within the upload": 64 << 10, "after the upload": -1} {
			t.Run(framing+", "+when, func(t *testing.T) {
				client := engine.New(netip.MustParseAddrPort("127.0.0.1:9"), engine.WithDialer(func(context.Context, string, string) (net.Conn, error) {
					return standin.NewResetConn(response, accepted, 0), nil
				}))
				defer client.Close()
				err := client.Call(t.Context(), http.MethodPost, "bookings", nil, make([]byte, 1<<20), func(engine.ResponsePart) error { return nil })
				var failure *engine.Error
				assert.Assert(t, errors.As(err, &failure) && !failure.NotRun(), "%v", err)
			})
		}
	}
}
