package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/standin"
)

// drip answers the first request of each connection with a response and then with one more byte a second until the client
// closes it.
func drip(listener net.Listener, response string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			// A response before its request would be taken for one that nobody asked for.
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			for _, err := conn.Write([]byte(response)); err == nil; _, err = conn.Write([]byte(" ")) {
				time.Sleep(time.Second)
			}
		}()
	}
}

// Guards against a call whose outcome is known and that waits until its deadline, because the engine never ends the body
// of the response.
func TestEndlessBodies(t *testing.T) {
	const last = `{"done":true,"usage":{"prompt-tokens":1,"cached-tokens":0,"generated-tokens":0}}` + "\n"
	cases := map[string]struct {
		response string
		notRun   bool
	}{
		"after the last line of a stream": {"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + last, false},
		"refusal":                         {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4000\r\n\r\n{\"error\":", true},
		"after the error of a refusal":    {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4000\r\n\r\n{\"error\":\"full\"}", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := standin.NewMemoryListener(netip.MustParseAddrPort("127.0.0.1:9000"))
				go drip(listener, tc.response)
				client := engine.New(netip.MustParseAddrPort("127.0.0.1:9000"), engine.WithDialer(listener.DialContext))
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				began := time.Now()
				_, err := client.RunStream(ctx, engine.Stream{ID: "a"}, func(engine.Piece) error { return nil })
				took := time.Since(began)
				var failure *engine.Error
				assert.Check(t, errors.As(err, &failure) == tc.notRun && (failure == nil || failure.NotRun()), "%v", err)
				assert.Check(t, took <= 2*time.Second, "returned after %v", took)
				cancel()
				client.Close()
				assert.NilError(t, listener.Close())
				time.Sleep(2 * time.Second) // the last drip fails
			})
		})
	}
}

// Guards against reports and caches that take memory without a bound, because an engine sends them without end.
func TestEndlessResponses(t *testing.T) {
	const mib, report, cache = 1 << 20, 8 << 20, 64 << 20
	cases := map[string]struct {
		call  func(context.Context, *engine.Client) error
		limit int64 // of the response in bytes
	}{
		"load":    {func(ctx context.Context, c *engine.Client) error { _, err := c.Load(ctx); return err }, report},
		"streams": {func(ctx context.Context, c *engine.Client) error { _, err := c.Streams(ctx); return err }, report},
		"cache": {func(ctx context.Context, c *engine.Client) error {
			_, err := c.ExportCache(ctx, engine.ExportRequest{}, body.NewBudget(0).NewBuffer())
			return err
		}, cache},
		"cache beyond its budget": {func(ctx context.Context, c *engine.Client) error {
			_, err := c.ExportCache(ctx, engine.ExportRequest{}, body.NewBudget(4*mib).NewBuffer())
			return err
		}, 4 * mib},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				part := bytes.Repeat([]byte(" "), 32<<10)
				for {
					n, err := w.Write(part)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}))
			defer server.Close()
			client := engine.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
			err := tc.call(t.Context(), client)
			client.Close()
			var failure *engine.Error
			assert.Assert(t, errors.As(err, &failure) && failure.Kind == engine.KindMalformed, "%v", err)
			// What the sockets hold comes on top.
			assert.Assert(t, sent.Load() <= tc.limit+16*mib, "%d bytes", sent.Load())
		})
	}
}
