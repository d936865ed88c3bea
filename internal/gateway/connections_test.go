package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/platform"
)

// connectionLimit is the limit that follows from descriptorLimit.
const (
	connectionLimit = 9
	descriptorLimit = 20
)

// connect opens a connection to the gateway.
func (h *harness) connect() net.Conn {
	conn, err := h.callers.DialContext(h.test.Context(), "tcp", "")
	assert.NilError(h.test, err)
	return conn
}

// answer is the answer to a request that was sent on a connection. The status is zero if the connection was closed instead.
type answer struct {
	status     int
	closes     bool
	retryAfter string
}

// ask sends a request on a connection.
func (h *harness) ask(conn net.Conn, id, path string) answer {
	c := gateway.CallerRequest{ID: id, Method: http.MethodGet, Target: path, Host: callerHost, Key: callerKey, Timeout: 10 * time.Second}
	if platform.EncodeCallerRequest(callerAddress, c, nil).Write(conn) != nil {
		return answer{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, resp.Close, resp.Header.Get("Retry-After")}
}

// Guards against a gateway that runs out of file descriptors or memory because callers open connections without end, and against
// one that cuts running requests, or turns callers away for connections that nobody uses, to prevent that.
func TestConnectionLimit(t *testing.T) {
	cases := map[string]func(*testing.T, *harness){
		"idle connections make room": func(t *testing.T, h *harness) {
			var conns []net.Conn
			for range connectionLimit {
				conn := h.connect()
				conns = append(conns, conn)
				assert.Equal(t, h.ask(conn, "kept", "/look/a").status, 200)
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, h.ask(h.connect(), "new", "/look/a").status, 200)
			assert.Check(t, h.ask(conns[0], "again", "/look/a").status == 0, "the connection that was idle for longest is closed")
			assert.Check(t, h.ask(conns[1], "again", "/look/a").status == 200)
			assert.Check(t, len(h.runs("again")) == 1)
		},
		"all busy": func(t *testing.T, h *harness) {
			h.backends[0].StepTime, h.backends[1].StepTime = 1500*time.Millisecond, 1500*time.Millisecond
			var running sync.WaitGroup
			for range connectionLimit {
				conn := h.connect()
				running.Go(func() { assert.Check(t, is.Equal(h.ask(conn, "running", "/look/a").status, 200)) })
			}
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			refused := h.ask(h.connect(), "refused", "/look/a")
			assert.Equal(t, refused.status, 503)
			assert.Check(t, refused.closes && refused.retryAfter != "")
			assert.Check(t, time.Since(began) < 10*time.Millisecond)
			assert.Equal(t, len(h.runs("refused")), 0)
			running.Wait()
			assert.Equal(t, h.ask(h.connect(), "later", "/look/a").status, 200)
		},
		"no request is sent": func(t *testing.T, h *harness) {
			for range connectionLimit {
				h.connect()
			}
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, h.ask(h.connect(), "refused", "/look/a").status, 503)
			time.Sleep(6 * time.Second)
			assert.Equal(t, h.ask(h.connect(), "later", "/look/a").status, 200)
		},
		"many at once": func(t *testing.T, h *harness) {
			for range 50 * connectionLimit {
				h.connect()
			}
			time.Sleep(100 * time.Millisecond)
			usage := h.gateway.Status().CallerConnections
			assert.Check(t, usage.Peak <= connectionLimit+max(connectionLimit/8, 1), "%d connections", usage.Peak)
			time.Sleep(6 * time.Second)
			assert.Equal(t, h.gateway.Status().CallerConnections.Open, 0)
			assert.Equal(t, h.ask(h.connect(), "later", "/look/a").status, 200)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			withPreparedHarness(t, func(h *harness) { h.descriptorLimit = descriptorLimit }, func(h *harness) { run(h.test, h) })
		})
	}
}

// Guards against a request that was taken from a connection which is closed to make room for another one, and runs without an answer:
// connections are closed while requests arrive on them.
func TestConnectionsClosedWhileInUse(t *testing.T) {
	withPreparedHarness(t, func(h *harness) { h.descriptorLimit = descriptorLimit }, func(h *harness) {
		var callers sync.WaitGroup
		var mu sync.Mutex
		answered, refused, closed := 0, 0, 0
		for caller := range 4 * connectionLimit {
			callers.Go(func() {
				conn := h.connect()
				for n := range 20 {
					id := fmt.Sprintf("call-%d-%d", caller, n)
					got := h.ask(conn, id, "/book/a")
					mu.Lock()
					switch got.status {
					case 0:
						closed++
						assert.Check(t, len(h.runs(id)) == 0, "a request ran without an answer")
					case http.StatusOK:
						answered++
					default:
						refused++
						assert.Check(t, is.Equal(got.status, 503))
						assert.Check(t, len(h.runs(id)) == 0)
					}
					mu.Unlock()
					if got.status == 0 || got.closes {
						conn = h.connect()
					}
				}
			})
		}
		callers.Wait()
		assert.Check(t, answered > 0 && refused+closed > 0, "%d answered, %d refused, %d closed", answered, refused, closed)
		assert.Check(t, h.gateway.Status().CallerConnections.Peak <= connectionLimit+max(connectionLimit/8, 1))
	})
}

// Guards against backend servers that are avoided, and requests that are sent on and on, because this process has no descriptor
// left.
func TestNoDescriptors(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.dialError = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.EMFILE}
		for range 5 {
			got := h.call(http.MethodPost, "/book/a", nil)
			assert.Check(t, is.Equal(got.Status, 503))
			assert.Check(t, got.NotRun)
		}
		h.dialError = nil
		for range 20 {
			assert.Check(t, is.Equal(h.call(http.MethodPost, "/book/a", nil).Status, 200))
		}
		assert.Check(t, h.backends[0].Arrivals() > 0 && h.backends[1].Arrivals() > 0)
	})
}
