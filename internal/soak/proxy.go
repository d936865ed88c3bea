package soak

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// ConnFault is a fault that a proxy applies to the connections through it. It is a sealed interface: NoFault, Delayed,
// Reset, BlockServerToClient and BlockClientToServer are its only implementations.
//
//sumtype:decl
type ConnFault interface{ connFault() }

// NoFault means that there is no fault.
type NoFault struct{}

// Delayed means that data is forwarded after a delay.
type Delayed struct{ Delay time.Duration }

// Reset means that open and new connections are reset.
type Reset struct{}

// BlockServerToClient means that no data from the server reaches the client: a one-way partition, or a server that
// appears silent to the client.
type BlockServerToClient struct{}

// BlockClientToServer means that no data from the client reaches the server.
type BlockClientToServer struct{}

func (NoFault) connFault()             {}
func (Delayed) connFault()             {}
func (Reset) connFault()               {}
func (BlockServerToClient) connFault() {}
func (BlockClientToServer) connFault() {}

// Proxy forwards the connections to one address to another address and injects faults into them.
type Proxy struct {
	clock    clock.Clock
	listener net.Listener
	target   netip.AddrPort

	mu      sync.Mutex
	fault   ConnFault
	changed chan struct{}
	conns   map[net.Conn]struct{}
	tasks   sync.WaitGroup
}

// NewProxy returns a proxy that listens on an address until Close.
func NewProxy(c clock.Clock, listenAddress, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", listenAddress.String())
	if err != nil {
		return nil, &Error{Op: "proxy", Kind: KindListen, Err: err}
	}
	p := &Proxy{clock: c, listener: listener, target: target, fault: NoFault{}, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	p.tasks.Go(p.accept)
	return p, nil
}

// SetFault sets the fault for new and open connections.
func (p *Proxy) SetFault(f ConnFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if _, ok := f.(Reset); ok {
		p.resetAll()
	}
}

// resetAll resets all connections. The caller holds the lock.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetFault(Reset{})
	p.tasks.Wait()
}

func (p *Proxy) state() (ConnFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.tasks.Go(func() { p.serve(client) })
	}
}

func (p *Proxy) serve(client net.Conn) {
	if f, _ := p.state(); f == (ConnFault)(Reset{}) {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() {
		p.forward(server, client, func(f ConnFault) bool { _, blocked := f.(BlockClientToServer); return blocked })
	})
	directions.Go(func() {
		p.forward(client, server, func(f ConnFault) bool { _, blocked := f.(BlockServerToClient); return blocked })
	})
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// forward copies data in one direction and holds it back while blocked returns true.
func (p *Proxy) forward(dst, src net.Conn, blocked func(ConnFault) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.waitUntilOpen(blocked)
			if _, err := dst.Write(buf[:n]); err != nil {
				reset(src)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			reset(dst)
			reset(src)
			return
		}
	}
}

// waitUntilOpen returns when data may be forwarded.
func (p *Proxy) waitUntilOpen(blocked func(ConnFault) bool) {
	for {
		f, changed := p.state()
		if d, ok := f.(Delayed); ok {
			<-p.clock.After(d.Delay)
			return
		}
		if !blocked(f) {
			return
		}
		<-changed
	}
}
