package backend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/standin"
)

// exchangeAny sends a request of a size in bytes, accepts any response and reads it to its end.
func exchangeAny(t *testing.T, p *backend.Pool, address netip.AddrPort, size int) ([]byte, error) {
	o := options()
	o.Address, o.Matches = address, nil
	x, err := p.Exchange(t.Context(), o, request(strings.Repeat("b", size)))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(x.Response.Body)
	if err != nil {
		err = x.WrapError(t.Context(), err)
	}
	x.Done(err == nil, 0)
	return data, err
}

// Guards against a part of a response that looks complete, because the write of the request got the only report of the reset that
// cut the response.
func TestResetDuringUpload(t *testing.T) {
	resets := map[string]struct {
		accepted int
		delay    time.Duration
	}{
		"at once":                 {0, 0},
		"within the upload":       {64 << 10, 0},
		"the write sees it later": {64 << 10, 200 * time.Millisecond},
		"after the whole upload":  {-1, 0},
	}
	for name, reset := range resets {
		for framing, response := range standin.EarlyResponses(nil) {
			for upload, size := range map[string]int{"short": 100, "long": 1 << 20} {
				t.Run(name+", "+framing+", "+upload, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
							return standin.NewResetConn(response, reset.accepted, reset.delay), nil
						})
						_, err := exchangeAny(t, p, address, size)
						var failure *backend.Error
						// A short request is written before the response is read, so the end after it is a regular one.
						whole := framing == "no length" && upload == "short" && reset.accepted > 0
						assert.Check(t, errors.As(err, &failure) == !whole, "%v", err)
						assert.Check(t, whole || failure.Sent() || reset.accepted == 0, "%v", err)
						time.Sleep(time.Minute)
					})
				})
			}
		}
	}
}

// Guards against the same with the sockets of the system, whose order of events is not known: of 40 responses without a length to 8
// MiB, 32 looked complete.
func TestResetOfSocket(t *testing.T) {
	for framing, response := range standin.EarlyResponses(nil) {
		t.Run(framing, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, response)
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
				}
			}()
			p := backend.NewPool(clock.RealClock{}, nil)
			for range 40 {
				_, err := exchangeAny(t, p, netip.MustParseAddrPort(listener.Addr().String()), 8<<20)
				assert.Check(t, err != nil, "a part of a response looks complete")
			}
		})
	}
}

// Guards against losing a response without a length to a long request that was written to its end.
func TestUnframedResponseToUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
			client, server := net.Pipe()
			go script{func(conn net.Conn, r *http.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, standin.EarlyResponses(nil)["no length"])
				_ = conn.Close()
				return false
			}}.run(server)
			return client, nil
		})
		data, err := exchangeAny(t, p, address, 1<<20)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "id: 1\ndata: one\n\n")
	})
}
