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

const okResponse = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nhi"

// script holds the handlers for the successive requests on one connection.
type script []func(conn net.Conn, r *http.Request) bool

func respond(text string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

func closeUnanswered(conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	_ = conn.Close()
	return false
}

func neverRespond(_ net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// run handles the requests of one connection.
func (s script) run(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for _, handle := range s {
		r, err := http.ReadRequest(reader)
		if err != nil || !handle(conn, r) {
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

func options() backend.ExchangeOptions {
	return backend.ExchangeOptions{
		Address: address, DialTimeout: time.Second, HeadTimeout: time.Second, IdleLimit: backend.MaxIdle,
		Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == "own" },
	}
}

// respondForever writes a text and then the same bytes again and again until the connection is closed, and counts what it
// has written.
func respondForever(start, repeated string, written *int) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(conn, start)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, repeated)
			*written += n
		}
		return false
	}
}

// dripInterim writes an interim response every 0.4 s.
func dripInterim(conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	for range 6 {
		time.Sleep(400 * time.Millisecond)
		if _, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	return false
}

// Guards against a response head without an end that fills the memory or takes longer than the head may take.
func TestEndlessHead(t *testing.T) {
	cases := map[string]struct{ start, repeated string }{
		"one line":       {"HTTP/1.1 200 OK\r\nId: ", strings.Repeat("x", 1000)},
		"many lines":     {"HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
		"no status line": {"", strings.Repeat("x", 1000)},
		"interim heads":  {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, written := time.Now(), 0
				p := backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
					client, server := net.Pipe()
					go script{respondForever(tc.start, tc.repeated, &written)}.run(server)
					return client, nil
				})
				_, err := p.Exchange(t.Context(), options(), request(""))
				var failure *backend.Error
				assert.Assert(t, errors.As(err, &failure), "%v", err)
				assert.Equal(t, failure.Kind, backend.KindMalformed, "%v", err)
				synctest.Wait()
				assert.Assert(t, written <= 80<<10, "%d bytes read", written)
				assert.Assert(t, time.Since(began) <= time.Second)
			})
		})
	}
}

// Guards against requests that are sent twice, responses to other requests that are accepted, and failures reported as
// the wrong kind.
func TestExchange(t *testing.T) {
	mismatched := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother"
	cases := map[string]struct {
		script script
		body   string
		// kinds are the expected error kinds of two successive exchanges; empty for a response.
		kinds [2]backend.ErrorKind
		dials int
	}{
		"reused connection":           {script{respond(okResponse), respond(okResponse)}, "b", [2]backend.ErrorKind{}, 1},
		"closed after a response":     {script{respond(strings.Replace(okResponse, "Id", "Connection: close\r\nId", 1))}, "b", [2]backend.ErrorKind{}, 2},
		"late response first":         {script{respond(okResponse), respond(mismatched + okResponse)}, "b", [2]backend.ErrorKind{}, 1},
		"response to another request": {script{respond(mismatched)}, "b", [2]backend.ErrorKind{backend.KindMalformed, backend.KindMalformed}, 2},
		"closed without a response":   {script{closeUnanswered}, "b", [2]backend.ErrorKind{backend.KindConnectionLost, backend.KindConnectionLost}, 2},
		"no response":                 {script{neverRespond}, "b", [2]backend.ErrorKind{backend.KindTimeout, backend.KindTimeout}, 2},
		"invalid HTTP":                {script{respond("bytes\r\n\r\n")}, "b", [2]backend.ErrorKind{backend.KindConnectionLost, backend.KindConnectionLost}, 2},
		"interim response":            {script{respond("HTTP/1.1 100 Continue\r\n\r\n" + okResponse), respond(okResponse)}, "b", [2]backend.ErrorKind{}, 1},
		"several interim responses":   {script{respond(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 5) + okResponse), respond(okResponse)}, "b", [2]backend.ErrorKind{}, 1},
		"status below 100":            {script{respond("HTTP/1.1 099 X\r\nId: own\r\nContent-Length: 0\r\n\r\n")}, "b", [2]backend.ErrorKind{backend.KindMalformed, backend.KindMalformed}, 2},
		"status above 599":            {script{respond("HTTP/1.1 600 X\r\nId: own\r\nContent-Length: 0\r\n\r\n")}, "b", [2]backend.ErrorKind{backend.KindMalformed, backend.KindMalformed}, 2},
		"interim responses that drip": {script{dripInterim}, "b", [2]backend.ErrorKind{backend.KindTimeout, backend.KindTimeout}, 2},
		"long body":                   {script{respond(okResponse), respond(okResponse)}, strings.Repeat("b", 100<<10), [2]backend.ErrorKind{}, 1},
		"response before the body is read": {script{func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, okResponse)
			return false
		}}, strings.Repeat("b", 100<<10), [2]backend.ErrorKind{}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				pool := backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
					dials++
					client, server := net.Pipe()
					go tc.script.run(server)
					return client, nil
				})
				for _, kind := range tc.kinds {
					x, err := pool.Exchange(t.Context(), options(), request(tc.body))
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
				time.Sleep(time.Second) // scripts that pause find their connection closed
			})
		})
	}
}

// Guards against reporting a request as sent although no connection was opened, and against a dial that continues after
// the context is canceled.
func TestDialFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errRefused := errors.New("refused")
		pool := backend.NewPool(clock.RealClock{}, func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			select {
			case <-time.After(100 * time.Millisecond):
				return nil, errRefused
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		})
		var failure *backend.Error
		_, err := pool.Exchange(t.Context(), options(), request("b"))
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.Kind, backend.KindDial)
		assert.Assert(t, !failure.Sent())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err = pool.Exchange(ctx, options(), request("b"))
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.Kind, backend.KindUnsent)
	})
}

// Guards against a wait that ends although it was extended, and one that does not end when it is not extended.
func TestExtend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowResponse := func(conn net.Conn, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(1500 * time.Millisecond)
			_, _ = io.WriteString(conn, okResponse)
			return true
		}
		pool := backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
			client, server := net.Pipe()
			go script{slowResponse}.run(server)
			return client, nil
		})
		extensions := 0
		o := options()
		o.Extend = func() time.Duration { extensions++; return 200 * time.Millisecond }
		x, err := pool.Exchange(t.Context(), o, request("b"))
		assert.NilError(t, err)
		x.Done(false, 0)
		assert.Equal(t, extensions, 3)
		o.Extend = func() time.Duration { return 0 }
		began := time.Now()
		_, err = pool.Exchange(t.Context(), o, request("b"))
		assert.ErrorContains(t, err, "silent")
		assert.Equal(t, time.Since(began), time.Second)
		time.Sleep(time.Second)
	})
}

// newCountingPool returns a pool that counts the connections it opens. Each connection answers two requests.
func newCountingPool(dials *int) *backend.Pool {
	return backend.NewPool(clock.RealClock{}, func(context.Context, netip.AddrPort) (net.Conn, error) {
		*dials++
		client, server := net.Pipe()
		go script{respond(okResponse), respond(okResponse)}.run(server)
		return client, nil
	})
}

// Guards against using a connection for longer than its backend server keeps it.
func TestIdle(t *testing.T) {
	cases := map[string]struct {
		keep, idle time.Duration
		dials      int
	}{
		"within the default":        {0, 3 * time.Second, 1},
		"beyond the default":        {0, 4 * time.Second, 2},
		"within the announced time": {10 * time.Second, 9 * time.Second, 1},
		"beyond the announced time": {2 * time.Second, 1600 * time.Millisecond, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				pool := newCountingPool(&dials)
				for range 2 {
					x, err := pool.Exchange(t.Context(), options(), request("b"))
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

// Guards against keeping more idle connections than one gateway may hold to a backend server.
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
				pool := newCountingPool(&dials)
				o := options()
				o.IdleLimit = tc.idle
				for range 2 {
					var open []*backend.Exchange
					for range 3 {
						x, err := pool.Exchange(t.Context(), o, request("b"))
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
