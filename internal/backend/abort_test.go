package backend_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/backend"
)

// Guards against a canceled request that reaches its backend server long afterwards. A normal close still delivers
// buffered bytes, for instance after a network partition has ended.
func TestAbortSendsReset(t *testing.T) {
	cases := map[string]func(*testing.T, *backend.Pool, backend.ExchangeOptions){
		"canceled while waiting": func(t *testing.T, p *backend.Pool, o backend.ExchangeOptions) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			_, err := p.Exchange(ctx, o, request("b"))
			assert.ErrorContains(t, err, "canceled")
		},
		"silent": func(t *testing.T, p *backend.Pool, o backend.ExchangeOptions) {
			o.HeadTimeout = 20 * time.Millisecond
			_, err := p.Exchange(t.Context(), o, request("b"))
			assert.ErrorContains(t, err, "silent")
		},
	}
	for name, abort := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			readErr := make(chan error, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					readErr <- err
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					readErr <- err
					return
				}
				var rest [16]byte
				for err == nil {
					_, err = reader.Read(rest[:])
				}
				readErr <- err
			}()
			pool := backend.NewPool(clock.RealClock{}, nil)
			abort(t, pool, backend.ExchangeOptions{
				Address: netip.MustParseAddrPort(listener.Addr().String()), DialTimeout: time.Minute, HeadTimeout: time.Minute,
			})
			err = <-readErr
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		})
	}
}
