package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// MemoryListener is an in-memory listener for tests on virtual time. Its connections block in a way that
// testing/synctest detects. While it is closed, dialling fails in the same way as a refused TCP connection.
type MemoryListener struct {
	addr  netip.AddrPort
	conns chan net.Conn

	mu     sync.Mutex
	closed chan struct{}
}

// NewMemoryListener returns an open listener that reports addr, which must be a loopback address, as its address.
func NewMemoryListener(addr netip.AddrPort) *MemoryListener {
	return &MemoryListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (m *MemoryListener) closedChan() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed
}

// Accept implements net.Listener.
func (m *MemoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-m.conns:
		return conn, nil
	case <-m.closedChan():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (m *MemoryListener) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.closed:
	default:
		close(m.closed)
	}
	return nil
}

// Reopen makes a closed listener accept connections again.
func (m *MemoryListener) Reopen() (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.closed:
		m.closed = make(chan struct{})
	default:
	}
	return m, nil
}

// Addr implements net.Listener.
func (m *MemoryListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(m.addr) }

// DialContext connects to the listener, whatever the address. It can be used in http.Transport.
func (m *MemoryListener) DialContext(ctx context.Context, network, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	var err error
	select {
	case m.conns <- serverConn:
		return clientConn, nil
	case <-m.closedChan():
		err = syscall.ECONNREFUSED
	case <-ctx.Done():
		err = ctx.Err()
	}
	return nil, &net.OpError{Op: "dial", Net: network, Addr: m.Addr(), Err: err}
}

// HalfConn is a client's connection of which each direction can be closed by itself, as with TCP.
type HalfConn struct {
	net.Conn // carries what the server sends
	toServer net.Conn
}

// Write implements net.Conn.
func (c *HalfConn) Write(p []byte) (int, error) { return c.toServer.Write(p) }

// CloseWrite closes the direction to the server, which then reads the end of the connection.
func (c *HalfConn) CloseWrite() error { return c.toServer.Close() }

// serverHalfConn is the server's side of a HalfConn.
type serverHalfConn struct {
	net.Conn   // carries what the server sends
	fromClient net.Conn
}

func (c serverHalfConn) Read(p []byte) (int, error)         { return c.fromClient.Read(p) }
func (c serverHalfConn) SetReadDeadline(t time.Time) error  { return c.fromClient.SetReadDeadline(t) }
func (c serverHalfConn) SetWriteDeadline(t time.Time) error { return c.Conn.SetWriteDeadline(t) }

func (c serverHalfConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c serverHalfConn) Close() error { return errors.Join(c.fromClient.Close(), c.Conn.Close()) }

// DialHalf connects to the listener with a connection of which each direction can be closed by itself. The listener must be
// open.
func (m *MemoryListener) DialHalf() *HalfConn {
	clientReads, serverWrites := net.Pipe()
	clientWrites, serverReads := net.Pipe()
	m.conns <- serverHalfConn{serverWrites, serverReads}
	return &HalfConn{Conn: clientReads, toServer: clientWrites}
}

// Client returns an HTTP client that sends all requests to the listener.
func (m *MemoryListener) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: m.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}}
}
