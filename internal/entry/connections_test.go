package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/standin"
)

// Guards against an entry that runs out of file descriptors because callers open connections without end, that turns callers away
// for connections which nobody uses, or that waits for such connections when it stops.
func TestConnectionsOfCallers(t *testing.T) {
	const limit = 9 // follows from descriptors
	const descriptors = 20
	type entryUnderTest struct {
		*entry.Entry
		listener *standin.MemoryListener
	}
	connect := func(t *testing.T, e entryUnderTest) net.Conn {
		conn, err := e.listener.DialContext(t.Context(), "tcp", "")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	// ask returns the status of the answer, zero if the connection was closed, and the body.
	ask := func(conn net.Conn, path string) (int, string) {
		if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: entry\r\n\r\n"); err != nil {
			return 0, ""
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0, ""
		}
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	cases := map[string]func(*testing.T, entryUnderTest){
		"idle connections make room": func(t *testing.T, e entryUnderTest) {
			first := connect(t, e)
			status, _ := ask(first, "/healthz")
			assert.Equal(t, status, http.StatusOK)
			synctest.Wait() // a connection is idle only after its answer has been read
			for range limit {
				status, _ = ask(connect(t, e), "/healthz")
				assert.Equal(t, status, http.StatusOK)
				synctest.Wait()
			}
			status, _ = ask(first, "/healthz")
			assert.Equal(t, status, 0)
		},
		"no request is sent": func(t *testing.T, e entryUnderTest) {
			for range limit {
				connect(t, e)
			}
			synctest.Wait()
			status, text := ask(connect(t, e), "/v1/models")
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.ErrorContains(t, errors.New(text), "overloaded")
			assert.Equal(t, e.Status().CallerConnections.Peak, limit+1)
			time.Sleep(11 * time.Second)
			_, text = ask(connect(t, e), "/v1/models")
			assert.ErrorContains(t, errors.New(text), "not-ready")
		},
		"stops beside them": func(t *testing.T, e entryUnderTest) {
			for range limit {
				connect(t, e)
			}
			synctest.Wait()
			began := time.Now()
			assert.NilError(t, e.Stop(t.Context()))
			assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := standin.NewMemoryListener(netip.MustParseAddrPort("127.0.0.1:9000"))
				e, err := entry.Start(entry.Options{Instance: "entry-1", Zone: "banos", Listener: listener, Platform: netip.MustParseAddrPort("127.0.0.1:9001")},
					entry.WithDescriptorLimit(descriptors), entry.WithDialer(func(context.Context, string, string) (net.Conn, error) {
						return nil, errors.New("nobody listens")
					}))
				assert.NilError(t, err)
				run(t, entryUnderTest{e, listener})
				e.Kill()
			})
		})
	}
}
