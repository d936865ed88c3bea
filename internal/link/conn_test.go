package link

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	clocktesting "k8s.io/utils/clock/testing"
)

// pipeListener is a listener whose connections are in-memory pipes, so that virtual time advances while they wait.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// bufferedPipe is a pipe whose writer does not wait for the reader, as with a socket. It can also drop all bytes
// without an error, like a connection that has gone silent.
type bufferedPipe struct {
	net.Conn
	bytes chan []byte
	end   chan struct{}
	once  sync.Once
}

func newBufferedPipe(c net.Conn, stop chan struct{}) *bufferedPipe {
	b := &bufferedPipe{Conn: c, bytes: make(chan []byte, 64), end: make(chan struct{})}
	go func() {
		for {
			select {
			case part := <-b.bytes:
				select {
				case <-stop:
				default:
					if _, err := c.Write(part); err != nil {
						return
					}
				}
			case <-b.end:
				return
			}
			select {
			case <-stop:
				<-b.end
				return
			default:
			}
		}
	}()
	return b
}

func (b *bufferedPipe) Write(part []byte) (int, error) {
	select {
	case b.bytes <- bytes.Clone(part):
		return len(part), nil
	case <-b.end:
		return 0, net.ErrClosed
	}
}

func (b *bufferedPipe) Close() error {
	b.once.Do(func() { close(b.end) })
	return b.Conn.Close()
}

// withServer serves handler over pipes and passes fn a function that dials it. silence drops all bytes in both
// directions.
func withServer(t *testing.T, handler http.HandlerFunc, fn func(dial func(...Option) (*Conn, error), silence func())) {
	listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: handler}
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(listener) }()
	stop := make(chan struct{})
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		listener.conns <- newBufferedPipe(far, stop)
		return newBufferedPipe(near, stop), nil
	}}
	fn(func(opts ...Option) (*Conn, error) {
		opts = append(opts, WithHTTPClient(&http.Client{Transport: transport}))
		return Dial(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), Hello{Role: RoleEntry}, opts...)
	}, func() { close(stop) })
	_ = server.Close()
	transport.CloseIdleConnections()
	<-served
}

// acceptAndDiscard accepts links and discards everything that it receives.
func acceptAndDiscard(w http.ResponseWriter, r *http.Request) {
	c, err := Accept(w, r, Hello{Role: RoleSidecar})
	if err != nil {
		return
	}
	for m := range c.Receive() {
		_ = m
	}
	_ = c.Close()
}

func errorKind(err error) ErrorKind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

// Guards against accepting a peer that uses another version, sends no hello message or sends another message first, and
// against a handshake without a time limit.
func TestHandshake(t *testing.T) {
	rawServer := func(protocol string, respond func(*websocket.Conn, context.Context)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{protocol}})
			if err != nil {
				return
			}
			respond(ws, r.Context())
			_, _, _ = ws.Read(r.Context())
			_, _, _ = ws.Read(r.Context())
			_ = ws.CloseNow()
		}
	}
	send := func(m Message) func(*websocket.Conn, context.Context) {
		return func(ws *websocket.Conn, ctx context.Context) {
			frame, _ := Encode(m)
			go func() { _ = ws.Write(ctx, websocket.MessageBinary, frame) }()
		}
	}
	tests := map[string]struct {
		handler http.HandlerFunc
		kind    ErrorKind
		took    time.Duration
	}{
		"same version":     {acceptAndDiscard, "", 0},
		"older version":    {rawServer(Subprotocol, send(&Hello{Version: 0})), KindHandshake, 0},
		"newer version":    {rawServer(Subprotocol, send(&Hello{Version: ProtocolVersion + 1})), KindHandshake, 0},
		"another message":  {rawServer(Subprotocol, send(&Heartbeat{})), KindHandshake, 0},
		"another protocol": {rawServer("other", func(*websocket.Conn, context.Context) {}), KindHandshake, 0},
		"no hello message": {rawServer(Subprotocol, func(*websocket.Conn, context.Context) {}), KindHandshake, handshakeTimeout},
		"not a link":       {http.NotFound, KindDial, 0},
		"no response":      {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, KindDial, handshakeTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				withServer(t, tt.handler, func(dial func(...Option) (*Conn, error), _ func()) {
					begin := time.Now()
					c, err := dial()
					assert.Equal(t, errorKind(err), tt.kind, "%v", err)
					assert.Equal(t, time.Since(begin), tt.took)
					if err == nil {
						assert.NilError(t, ignoreClosed(c.Close()))
					}
				})
			})
		})
	}
}

func ignoreClosed(err error) error {
	if errorKind(err) == KindClosed {
		return nil
	}
	return err
}

// Guards against a silent connection that stays open, and against a live one that is ended.
func TestSilence(t *testing.T) {
	tests := map[string]struct {
		silent bool
		ends   time.Duration
	}{"live": {false, 0}, "silent": {true, 2 * DefaultSilenceLimit}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				withServer(t, acceptAndDiscard, func(dial func(...Option) (*Conn, error), silence func()) {
					c, err := dial()
					assert.NilError(t, err)
					go func() {
						for m := range c.Receive() {
							_ = m
						}
					}()
					if tt.silent {
						silence()
					}
					timer := time.NewTimer(time.Minute)
					begin := time.Now()
					select {
					case <-c.Dying():
						assert.Assert(t, tt.silent, "a live link ended: %v", c.Err())
						assert.Assert(t, time.Since(begin) <= tt.ends, "%s", time.Since(begin))
					case <-timer.C:
						assert.Assert(t, !tt.silent, "a silent link stays open")
					}
					_ = c.Close()
				})
			})
		})
	}
}

// Guards against a peer that does not read and makes the sender run out of memory.
func TestOverflow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withServer(t, acceptAndDiscard, func(dial func(...Option) (*Conn, error), silence func()) {
			c, err := dial()
			assert.NilError(t, err)
			silence()
			for range 2 * queueLimit {
				if err = c.Send(&Heartbeat{}); err != nil {
					break
				}
			}
			assert.Equal(t, errorKind(err), KindOverflow)
			<-c.Dying()
			assert.Equal(t, errorKind(c.Send(&Heartbeat{})), KindClosed)
			_ = c.Close()
		})
	})
}

// Guards against plaintext links on addresses that other machines can reach.
func TestPlaintext(t *testing.T) {
	tests := map[string]struct {
		address string
		opts    []Option
		refused bool
	}{
		"loopback":         {"127.9.9.9:1", nil, false},
		"mapped loopback":  {"[::ffff:127.0.0.1]:1", nil, false},
		"network":          {"10.0.0.1:1", nil, true},
		"network, allowed": {"10.0.0.1:1", []Option{WithPlaintext()}, false},
		"network with TLS": {"10.0.0.1:1", []Option{WithTLS()}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// A cancelled context prevents the dial from opening a connection.
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := Dial(ctx, netip.MustParseAddrPort(tt.address), Hello{}, tt.opts...)
			assert.Equal(t, errorKind(err), KindDial)
			assert.Equal(t, errors.Is(err, errPlaintext), tt.refused)
		})
	}
}

// Guards against a process that continues on an old connection after it was paused. A jump of the clock simulates the
// pause.
func TestPause(t *testing.T) {
	tests := map[string]struct {
		jump time.Duration
		kind ErrorKind
	}{"short": {DefaultSilenceLimit - time.Second, ""}, "longer than the silence limit": {DefaultSilenceLimit + time.Second, KindPaused}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				withServer(t, acceptAndDiscard, func(dial func(...Option) (*Conn, error), _ func()) {
					fake := clocktesting.NewFakeClock(time.Now())
					c, err := dial(WithClock(fake))
					assert.NilError(t, err)
					synctest.Wait()
					fake.Step(tt.jump)
					synctest.Wait()
					if tt.kind != "" {
						<-c.Dying()
						assert.Equal(t, errorKind(c.Err()), tt.kind)
					} else {
						assert.ErrorIs(t, c.Err(), tomb.ErrStillAlive)
					}
					_ = c.Close()
				})
			})
		})
	}
}

// Guards against tokens of caches that are sent in clear to addresses that other machines can reach, and against a refused
// request for a cache that is reported as a connection that has ended.
func TestFetchCache(t *testing.T) {
	tests := map[string]struct {
		address   string
		opts      []Option
		status    int
		kind      ErrorKind
		plaintext bool // whether the error says that plaintext is not allowed
	}{
		"loopback":                 {"127.0.0.1:1", nil, http.StatusOK, "", false},
		"network":                  {"10.0.0.1:1", nil, http.StatusOK, KindDial, true},
		"network, allowed":         {"10.0.0.1:1", []Option{WithPlaintext()}, http.StatusOK, "", false},
		"network with TLS":         {"10.0.0.1:1", []Option{WithTLS()}, http.StatusOK, "", false},
		"the source has no cache":  {"127.0.0.1:1", nil, http.StatusNotFound, KindRefused, false},
		"the token is not allowed": {"127.0.0.1:1", nil, http.StatusForbidden, KindRefused, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sent := 0
			answer := roundTripper(func(r *http.Request) (*http.Response, error) {
				sent++
				return &http.Response{StatusCode: tt.status, Body: http.NoBody, Request: r}, nil
			})
			opts := append([]Option{WithHTTPClient(&http.Client{Transport: answer})}, tt.opts...)
			body, err := FetchCache(t.Context(), CacheSource{Address: netip.MustParseAddrPort(tt.address), Token: "secret"}, opts...)
			assert.Equal(t, errorKind(err), tt.kind)
			assert.Equal(t, errors.Is(err, errPlaintext), tt.plaintext)
			assert.Equal(t, sent == 0, tt.plaintext)
			if err == nil {
				assert.NilError(t, body.Close())
			}
		})
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a sender that waits for ever for its message to leave the queue, or that takes another one's place twice.
func TestSendThen(t *testing.T) {
	const messages = 20
	cases := map[string]func(c *Conn, silence func()){
		"written":     func(*Conn, func()) {},
		"silent peer": func(_ *Conn, silence func()) { silence() },
		"closed while they wait": func(c *Conn, silence func()) {
			silence()
			time.AfterFunc(100*time.Millisecond, func() { _ = c.Close() })
		},
		"closed before":            func(c *Conn, _ func()) { _ = c.Close() },
		"closed at the same time":  func(c *Conn, _ func()) { go func() { _ = c.Close() }() },
		"ended by an invalid send": func(c *Conn, _ func()) { _ = c.Send(&Piece{Data: make([]byte, MaxFrameSize+1)}) },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				withServer(t, acceptAndDiscard, func(dial func(...Option) (*Conn, error), silence func()) {
					c, err := dial()
					assert.NilError(t, err)
					prepare(c, silence)
					var done [messages]atomic.Int64
					for i := range messages {
						_ = c.SendThen(&Piece{Data: make([]byte, 1000)}, func() { done[i].Add(1) })
					}
					time.Sleep(10 * time.Second)
					for i := range messages {
						assert.Check(t, is.Equal(done[i].Load(), int64(1)), "message %d", i)
					}
					_ = c.Close()
				})
			})
		})
	}
}
