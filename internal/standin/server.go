// Package standin contains simple fakes of external systems for tests and trials: a model engine, a plain service and
// the platform. They listen on loopback addresses only. Each owns its state, guards it with a mutex and reads the time
// from the given clock. A second mutex, which is locked after the first, guards its listener, connections and
// connection faults. Handlers and tests may therefore call a stand-in at any time.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
	"k8s.io/utils/clock"
)

// Error reports a failed operation of a stand-in.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindAddress means that the stand-in cannot listen on the address, or that it is not a loopback address.
	KindAddress ErrorKind = "address"
	// KindFault means that the stand-in does not support the fault.
	KindFault ErrorKind = "fault"
	// KindSize means that a value exceeds its size limit.
	KindSize ErrorKind = "size"
)

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("standin: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// indefinite is the duration of a fault that lasts until it is cleared.
const indefinite = 1000 * time.Hour

// server holds the lifecycle, the listener and the connection faults of a stand-in.
type server struct {
	tomb          tomb.Tomb
	clock         clock.Clock
	http          http.Server
	acceptedConns chan net.Conn
	addr          netip.AddrPort
	// reopen opens the listener again after an interruption. It is nil when a given listener does not support this.
	reopen func() (net.Listener, error)

	mu          sync.Mutex
	listener    net.Listener
	conns       map[net.Conn]struct{}
	downUntil   time.Time
	frozenUntil time.Time
	// silenceCount counts how often the open connections were silenced.
	silenceCount int
	changed      chan struct{}
}

type silenceCountKey struct{}

func newServer(s settings, handler http.Handler) *server {
	srv := &server{
		clock: s.clock, acceptedConns: make(chan net.Conn), conns: map[net.Conn]struct{}{}, changed: make(chan struct{}),
	}
	srv.http.Handler = handler
	srv.http.ReadHeaderTimeout = 10 * time.Second
	srv.http.ConnState = srv.connState
	srv.http.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return context.WithValue(ctx, silenceCountKey{}, srv.silenceCount)
	}
	srv.tomb.Go(srv.close)
	return srv
}

// listen opens the listener and starts serving.
func (srv *server) listen(s settings) error {
	if srv.listener = s.listener; srv.listener == nil {
		if !s.address.Addr().IsLoopback() {
			return &Error{Op: "listen", Kind: KindAddress, Err: fmt.Errorf("%s is not a loopback address", s.address)}
		}
		listener, err := net.Listen("tcp", s.address.String())
		if err != nil {
			return &Error{Op: "listen", Kind: KindAddress, Err: err}
		}
		srv.listener = listener
		srv.reopen = func() (net.Listener, error) { return net.Listen("tcp", srv.addr.String()) }
	}
	if reopener, ok := srv.listener.(interface{ Reopen() (net.Listener, error) }); ok {
		srv.reopen = reopener.Reopen
	}
	// In-memory listeners may have addresses in other formats. No other process can reach these.
	addr, err := netip.ParseAddrPort(srv.listener.Addr().String())
	if err == nil && !addr.Addr().IsLoopback() {
		return &Error{Op: "listen", Kind: KindAddress, Err: fmt.Errorf("%s is not a loopback address", addr)}
	}
	srv.addr = addr
	srv.tomb.Go(srv.accept)
	srv.tomb.Go(func() error {
		// Accept fails only when the tomb is dying.
		_ = srv.http.Serve(&connListener{srv})
		return nil
	})
	return nil
}

// close closes the listener and all connections when the tomb is dying.
func (srv *server) close() error {
	<-srv.tomb.Dying()
	_ = srv.http.Close()
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.listener != nil {
		_ = srv.listener.Close()
	}
	srv.closeConns()
	return nil
}

func (srv *server) stop() error {
	srv.tomb.Kill(nil)
	return srv.tomb.Wait()
}

// connListener passes accepted connections to the HTTP server, so that the listener below it can be closed and
// reopened.
type connListener struct{ *server }

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.acceptedConns:
		return conn, nil
	case <-l.tomb.Dying():
		return nil, net.ErrClosed
	}
}
func (l *connListener) Close() error   { return nil }
func (l *connListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

func (srv *server) accept() error {
	for {
		srv.mu.Lock()
		listener := srv.listener
		srv.mu.Unlock()
		conn, err := listener.Accept()
		if err != nil {
			if srv.reopen == nil || !srv.relisten() {
				return nil
			}
			continue
		}
		srv.mu.Lock()
		if srv.isDown() {
			_ = conn.Close()
			srv.mu.Unlock()
			continue
		}
		srv.conns[conn] = struct{}{}
		srv.mu.Unlock()
		select {
		case srv.acceptedConns <- conn:
		case <-srv.tomb.Dying():
			_ = conn.Close()
			return nil
		}
	}
}

// relisten waits until the stand-in is up and reopens the listener on the same address. It reports whether it did so
// before the stand-in was stopped.
func (srv *server) relisten() bool {
	for srv.waitUntil(context.Background(), func() time.Time { return srv.downUntil }) {
		srv.mu.Lock()
		listener, err := srv.reopen()
		switch {
		case err == nil && srv.tomb.Alive() && !srv.isDown():
			srv.listener = listener
			srv.mu.Unlock()
			return true
		case err == nil:
			_ = listener.Close()
		default:
			// Another process may hold the port for a short time, because it is in the ephemeral range.
			srv.downUntil = srv.clock.Now().Add(20 * time.Millisecond)
		}
		srv.mu.Unlock()
	}
	return false
}

func (srv *server) connState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		delete(srv.conns, conn)
	}
}

// closeConns resets all connections, so that data that was written but not yet sent does not reach the peer.
func (srv *server) closeConns() {
	for conn := range srv.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (srv *server) isDown() bool { return srv.clock.Now().Before(srv.downUntil) }

// interrupt closes all connections and refuses new ones for d.
func (srv *server) interrupt(d time.Duration) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.downUntil = srv.clock.Now().Add(d)
	if srv.reopen != nil {
		_ = srv.listener.Close()
	}
	srv.closeConns()
	srv.notify()
}

// freeze suspends all work and answers for d.
func (srv *server) freeze(d time.Duration) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.frozenUntil = srv.clock.Now().Add(d)
	srv.notify()
}

// silenceConns stops all answers on the open connections until they are closed.
func (srv *server) silenceConns() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.silenceCount++
	srv.notify()
}

// restore ends an interruption and a freeze. Silenced connections stay silent.
func (srv *server) restore() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.downUntil, srv.frozenUntil = time.Time{}, time.Time{}
	srv.notify()
}

func (srv *server) notify() {
	close(srv.changed)
	srv.changed = make(chan struct{})
}

// waitUntil blocks until the time that until returns, which is called under the lock. It reports whether that time came
// before the context or the stand-in ended.
func (srv *server) waitUntil(ctx context.Context, until func() time.Time) bool {
	for {
		srv.mu.Lock()
		remaining, changed := until().Sub(srv.clock.Now()), srv.changed
		srv.mu.Unlock()
		if !srv.tomb.Alive() || ctx.Err() != nil {
			return false
		}
		if remaining <= 0 {
			return true
		}
		timer := srv.clock.NewTimer(remaining)
		select {
		case <-timer.C():
		case <-changed:
		case <-ctx.Done():
		case <-srv.tomb.Dying():
		}
		timer.Stop()
	}
}

// sleep waits for d. It reports whether the whole time passed before the context or the stand-in ended.
func (srv *server) sleep(ctx context.Context, d time.Duration) bool {
	end := srv.clock.Now().Add(d)
	return srv.waitUntil(ctx, func() time.Time { return end })
}

func (srv *server) waitThawed(ctx context.Context) bool {
	return srv.waitUntil(ctx, func() time.Time { return srv.frozenUntil })
}

// holdAnswer blocks an answer while the stand-in is frozen or the connection of the request is silent. It aborts the
// handler without an answer when the stand-in is down or stopped.
func (srv *server) holdAnswer(ctx context.Context) {
	for {
		srv.mu.Lock()
		down, changed := srv.isDown(), srv.changed
		silencesAtOpen, known := ctx.Value(silenceCountKey{}).(int)
		silent := known && silencesAtOpen < srv.silenceCount
		srv.mu.Unlock()
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case !silent:
			if !srv.waitThawed(ctx) {
				panic(http.ErrAbortHandler)
			}
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-srv.tomb.Dying():
			panic(http.ErrAbortHandler)
		}
	}
}

// withFaults applies the connection faults to requests and limits their bodies. The control path is served in every
// state but down.
func (srv *server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if len(r.URL.Path) < len(controlPath) || r.URL.Path[:len(controlPath)] != controlPath {
			srv.holdAnswer(r.Context())
		}
		next.ServeHTTP(w, r)
	})
}
