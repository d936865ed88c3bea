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
)

var address = netip.MustParseAddrPort("127.0.0.1:9100")

const ok = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nhi"

// server answers each connection by its script: one function for each request.
type script []func(conn net.Conn, r *http.Request) bool

func say(text string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

func hangUp(conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	_ = conn.Close()
	return false
}

func keepSilent(_ net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// run serves one connection.
func (s script) run(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for _, answer := range s {
		r, err := http.ReadRequest(reader)
		if err != nil || !answer(conn, r) {
			break
		}
	}
	_, _ = reader.ReadByte()
	_ = conn.Close()
}

func request(body string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	return r
}

func plan() backend.Plan {
	return backend.Plan{
		Address: address, DialTimeout: time.Second, HeadTimeout: time.Second, Idle: backend.MaxIdle,
		Own: func(r *http.Response) bool { return r.Header.Get("Id") == "own" },
	}
}

// Guards against requests that are sent twice, answers of other requests that are taken, and failures that are reported as
// another kind than they are.
func TestExchange(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother"
	cases := map[string]struct {
		script script
		body   string
		// kinds are the error kinds of two exchanges in a row; empty for an answer.
		kinds [2]backend.ErrorKind
		dials int
	}{
		"kept connection":        {script{say(ok), say(ok)}, "b", [2]backend.ErrorKind{}, 1},
		"closed after an answer": {script{say(strings.Replace(ok, "Id", "Connection: close\r\nId", 1))}, "b", [2]backend.ErrorKind{}, 2},
		"late answer first":      {script{say(ok), say(foreign + ok)}, "b", [2]backend.ErrorKind{}, 1},
		"foreign answer":         {script{say(foreign)}, "b", [2]backend.ErrorKind{backend.KindMalformed, backend.KindMalformed}, 2},
		"no answer":              {script{hangUp}, "b", [2]backend.ErrorKind{backend.KindBroken, backend.KindBroken}, 2},
		"silence":                {script{keepSilent}, "b", [2]backend.ErrorKind{backend.KindSilent, backend.KindSilent}, 2},
		"no protocol":            {script{say("bytes\r\n\r\n")}, "b", [2]backend.ErrorKind{backend.KindBroken, backend.KindBroken}, 2},
		"interim answer":         {script{say("HTTP/1.1 100 Continue\r\n\r\n" + ok), say(ok)}, "b", [2]backend.ErrorKind{}, 1},
		"long body":              {script{say(ok), say(ok)}, strings.Repeat("b", 100<<10), [2]backend.ErrorKind{}, 1},
		"answer before the body": {script{func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, ok)
			return false
		}}, strings.Repeat("b", 100<<10), [2]backend.ErrorKind{}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				pool := backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
					dials++
					near, far := net.Pipe()
					go tc.script.run(far)
					return near, nil
				})
				for _, kind := range tc.kinds {
					x, err := pool.Exchange(t.Context(), plan(), request(tc.body))
					var failure *backend.Error
					if errors.As(err, &failure) {
						assert.Equal(t, failure.Kind, kind)
						assert.Assert(t, failure.Sent())
						continue
					}
					assert.NilError(t, err)
					assert.Equal(t, kind, backend.ErrorKind(""))
					body, err := io.ReadAll(x.Response.Body)
					assert.NilError(t, err)
					assert.Equal(t, string(body), "hi")
					synctest.Wait()
					x.Done(true, 0)
				}
				assert.Equal(t, dials, tc.dials)
				pool.Close()
			})
		})
	}
}

// Guards against a request that counts as sent though no connection came about, and one that outlives its caller.
func TestUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := errors.New("refused")
		pool := backend.NewPool(clock.RealClock{}, func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			select {
			case <-time.After(100 * time.Millisecond):
				return nil, refuse
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		})
		var failure *backend.Error
		_, err := pool.Exchange(t.Context(), plan(), request("b"))
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.Kind, backend.KindDial)
		assert.Assert(t, !failure.Sent())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err = pool.Exchange(ctx, plan(), request("b"))
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.Kind, backend.KindUnsent)
	})
}

// Guards against a wait that ends though it was extended, and one that is extended without end.
func TestExtend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := func(conn net.Conn, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(1500 * time.Millisecond)
			_, _ = io.WriteString(conn, ok)
			return true
		}
		pool := backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			go script{answer}.run(far)
			return near, nil
		})
		asked := 0
		p := plan()
		p.Extend = func() time.Duration { asked++; return 200 * time.Millisecond }
		x, err := pool.Exchange(t.Context(), p, request("b"))
		assert.NilError(t, err)
		x.Done(false, 0)
		assert.Equal(t, asked, 3)
		p.Extend = func() time.Duration { return 0 }
		began := time.Now()
		_, err = pool.Exchange(t.Context(), p, request("b"))
		assert.ErrorContains(t, err, "silent")
		assert.Equal(t, time.Since(began), time.Second)
		time.Sleep(time.Second)
	})
}

// counted returns a pool that counts how many connections it opens, each of which answers two requests.
func counted(dials *int) *backend.Pool {
	return backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
		*dials++
		near, far := net.Pipe()
		go script{say(ok), say(ok)}.run(far)
		return near, nil
	})
}

// Guards against a connection that is used after the time for which its backend server keeps it.
func TestIdle(t *testing.T) {
	cases := map[string]struct {
		keep, idle time.Duration
		dials      int
	}{
		"within the default":   {0, 3 * time.Second, 1},
		"beyond the default":   {0, 4 * time.Second, 2},
		"within what was said": {10 * time.Second, 9 * time.Second, 1},
		"beyond what was said": {2 * time.Second, 1600 * time.Millisecond, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				pool := counted(&dials)
				for range 2 {
					x, err := pool.Exchange(t.Context(), plan(), request("b"))
					assert.NilError(t, err)
					_, err = io.ReadAll(x.Response.Body)
					assert.NilError(t, err)
					x.Done(true, tc.keep)
					time.Sleep(tc.idle)
				}
				assert.Equal(t, dials, tc.dials)
				pool.Close()
			})
		})
	}
}

// Guards against idle connections beyond the part of a backend server's connections that one gateway may hold.
func TestIdleLimit(t *testing.T) {
	for name, tc := range map[string]struct{ idle, dials int }{
		"none":  {0, 6},
		"one":   {1, 5},
		"three": {3, 3},
		"many":  {100, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				pool := counted(&dials)
				p := plan()
				p.Idle = tc.idle
				for range 2 {
					var open []*backend.Exchange
					for range 3 {
						x, err := pool.Exchange(t.Context(), p, request("b"))
						assert.NilError(t, err)
						_, err = io.ReadAll(x.Response.Body)
						assert.NilError(t, err)
						open = append(open, x)
					}
					for _, x := range open {
						x.Done(true, 0)
					}
				}
				assert.Equal(t, dials, tc.dials)
				pool.Close()
			})
		})
	}
}
