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

// postsAfterThaw is how much later than the reads that came during a freeze the posts are taken up that came during it. Any order is
// possible; this one is the hardest for a client that reads a list to learn what became of its posts.
const postsAfterThaw = time.Millisecond

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
func (sv *server) listen(s settings) error {
	if sv.listener = s.listener; sv.listener == nil {
		if !s.address.Addr().IsLoopback() {
			return &Error{Op: "listen", Kind: KindAddress, Err: fmt.Errorf("%s is not a loopback address", s.address)}
		}
		listener, err := net.Listen("tcp", s.address.String())
		if err != nil {
			return &Error{Op: "listen", Kind: KindAddress, Err: err}
		}
		sv.listener = listener
		sv.reopen = func() (net.Listener, error) { return net.Listen("tcp", sv.addr.String()) }
	}
	if reopener, ok := sv.listener.(interface{ Reopen() (net.Listener, error) }); ok {
		sv.reopen = reopener.Reopen
	}
	// In-memory listeners may have addresses in other formats. No other process can reach these.
	addr, err := netip.ParseAddrPort(sv.listener.Addr().String())
	if err == nil && !addr.Addr().IsLoopback() {
		return &Error{Op: "listen", Kind: KindAddress, Err: fmt.Errorf("%s is not a loopback address", addr)}
	}
	sv.addr = addr
	sv.tomb.Go(sv.accept)
	sv.tomb.Go(func() error {
		// Accept fails only when the tomb is dying.
		_ = sv.http.Serve(&connListener{sv})
		return nil
	})
	return nil
}

// close closes the listener and all connections when the tomb is dying.
func (sv *server) close() error {
	<-sv.tomb.Dying()
	_ = sv.http.Close()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.listener != nil {
		_ = sv.listener.Close()
	}
	sv.closeConns()
	return nil
}

func (sv *server) stop() error {
	sv.tomb.Kill(nil)
	return sv.tomb.Wait()
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

func (sv *server) accept() error {
	for {
		sv.mu.Lock()
		listener := sv.listener
		sv.mu.Unlock()
		conn, err := listener.Accept()
		if err != nil {
			if sv.reopen == nil || !sv.relisten() {
				return nil
			}
			continue
		}
		sv.mu.Lock()
		if sv.isDown() {
			_ = conn.Close()
			sv.mu.Unlock()
			continue
		}
		sv.conns[conn] = struct{}{}
		sv.mu.Unlock()
		select {
		case sv.acceptedConns <- conn:
		case <-sv.tomb.Dying():
			_ = conn.Close()
			return nil
		}
	}
}

// relisten waits until the stand-in is up and reopens the listener on the same address. It reports whether it did so
// before the stand-in was stopped.
func (sv *server) relisten() bool {
	for sv.waitUntil(context.Background(), func() time.Time { return sv.downUntil }) {
		sv.mu.Lock()
		listener, err := sv.reopen()
		switch {
		case err == nil && sv.tomb.Alive() && !sv.isDown():
			sv.listener = listener
			sv.mu.Unlock()
			return true
		case err == nil:
			_ = listener.Close()
		default:
			// Another process may hold the port for a short time, because it is in the ephemeral range.
			sv.downUntil = sv.clock.Now().Add(20 * time.Millisecond)
		}
		sv.mu.Unlock()
	}
	return false
}

func (sv *server) connState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		delete(sv.conns, conn)
	}
}

// closeConns resets all connections, so that data that was written but not yet sent does not reach the peer.
func (sv *server) closeConns() {
	for conn := range sv.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (sv *server) isDown() bool { return sv.clock.Now().Before(sv.downUntil) }

// interrupt closes all connections and refuses new ones for d.
func (sv *server) interrupt(d time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.downUntil = sv.clock.Now().Add(d)
	if sv.reopen != nil {
		_ = sv.listener.Close()
	}
	sv.closeConns()
	sv.notify()
}

// freeze suspends all work and answers for d.
func (sv *server) freeze(d time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.frozenUntil = sv.clock.Now().Add(d)
	sv.notify()
}

// silenceConns stops all answers on the open connections until they are closed.
func (sv *server) silenceConns() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.silenceCount++
	sv.notify()
}

// restore ends an interruption and a freeze. Silenced connections stay silent.
func (sv *server) restore() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.downUntil, sv.frozenUntil = time.Time{}, time.Time{}
	sv.notify()
}

func (sv *server) notify() {
	close(sv.changed)
	sv.changed = make(chan struct{})
}

// waitUntil blocks until the time that until returns, which is called under the lock. It reports whether that time came
// before the context or the stand-in ended.
func (sv *server) waitUntil(ctx context.Context, until func() time.Time) bool {
	for {
		sv.mu.Lock()
		remaining, changed := until().Sub(sv.clock.Now()), sv.changed
		sv.mu.Unlock()
		if !sv.tomb.Alive() || ctx.Err() != nil {
			return false
		}
		if remaining <= 0 {
			return true
		}
		timer := sv.clock.NewTimer(remaining)
		select {
		case <-timer.C():
		case <-changed:
		case <-ctx.Done():
		case <-sv.tomb.Dying():
		}
		timer.Stop()
	}
}

// sleep waits for d. It reports whether the whole time passed before the context or the stand-in ended.
func (sv *server) sleep(ctx context.Context, d time.Duration) bool {
	end := sv.clock.Now().Add(d)
	return sv.waitUntil(ctx, func() time.Time { return end })
}

func (sv *server) isFrozen() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.frozenUntil.After(sv.clock.Now())
}

func (sv *server) waitThawed(ctx context.Context) bool {
	return sv.waitUntil(ctx, func() time.Time { return sv.frozenUntil })
}

// holdAnswer blocks an answer while the stand-in is frozen or the connection of the request is silent. It aborts the
// handler without an answer when the stand-in is down or stopped.
func (sv *server) holdAnswer(ctx context.Context) {
	for {
		sv.mu.Lock()
		down, changed := sv.isDown(), sv.changed
		silencesAtOpen, known := ctx.Value(silenceCountKey{}).(int)
		silent := known && silencesAtOpen < sv.silenceCount
		sv.mu.Unlock()
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case !silent:
			if !sv.waitThawed(ctx) {
				panic(http.ErrAbortHandler)
			}
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-sv.tomb.Dying():
			panic(http.ErrAbortHandler)
		}
	}
}

// withFaults applies the connection faults to requests and limits their bodies. The control path is served in every
// state but down.
func (sv *server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if len(r.URL.Path) < len(controlPath) || r.URL.Path[:len(controlPath)] != controlPath {
			frozen := sv.isFrozen()
			sv.holdAnswer(r.Context())
			if frozen && r.Method == http.MethodPost && !sv.sleep(r.Context(), postsAfterThaw) {
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}
