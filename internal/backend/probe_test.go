package backend_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/backend"
)

// Guards against a backend server that is taken for one that has ended, with blame for the requests it ran, because this process
// has no descriptor left to ask it.
func TestProbes(t *testing.T) {
	cases := map[string]struct {
		err              error
		refuses, accepts bool
	}{
		"takes connections":           {nil, false, true},
		"nothing listens":             {syscall.ECONNREFUSED, true, false},
		"does not answer":             {os.ErrDeadlineExceeded, false, false},
		"no descriptor left":          {syscall.EMFILE, false, true},
		"no descriptor in the system": {syscall.ENFILE, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pool := backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
				if tc.err != nil {
					return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", tc.err)}
				}
				conn, other := net.Pipe()
				t.Cleanup(func() { _ = other.Close() })
				return conn, nil
			})
			defer pool.Close()
			address := netip.MustParseAddrPort("127.0.0.1:9000")
			assert.Equal(t, pool.Refuses(t.Context(), address), tc.refuses)
			assert.Equal(t, pool.Accepts(t.Context(), address), tc.accepts)
		})
	}
}
