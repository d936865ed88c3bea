package standin

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// PacketNetwork is an in-memory network for datagrams, for tests on virtual time. Datagrams arrive after Latency. One that
// is sent to an address without a connection, or while either side is cut off, is lost.
type PacketNetwork struct {
	latency time.Duration

	mu    sync.Mutex
	conns map[netip.AddrPort]*packetConn
	cut   map[netip.AddrPort]bool
}

// packetQueue is how many datagrams wait at a connection that is not read.
const packetQueue = 1024

// NewPacketNetwork returns a network without connections.
func NewPacketNetwork(latency time.Duration) *PacketNetwork {
	return &PacketNetwork{latency: latency, conns: map[netip.AddrPort]*packetConn{}, cut: map[netip.AddrPort]bool{}}
}

// Listen opens the connection of an address and replaces one that was opened before.
func (n *PacketNetwork) Listen(address netip.AddrPort) net.PacketConn {
	c := &packetConn{network: n, address: address, received: make(chan packet, packetQueue), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

// SetCut cuts an address off from all others, or ends the cut.
func (n *PacketNetwork) SetCut(address netip.AddrPort, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *PacketNetwork) deliver(p packet, to netip.AddrPort) {
	n.mu.Lock()
	c, lost := n.conns[to], n.cut[to] || n.cut[p.from]
	n.mu.Unlock()
	if c == nil || lost {
		return
	}
	select {
	case c.received <- p:
	default: // the queue of the receiver is full
	}
}

type packet struct {
	from netip.AddrPort
	data []byte
}

// packetConn is one connection of a PacketNetwork. Deadlines are not supported.
type packetConn struct {
	network  *PacketNetwork
	address  netip.AddrPort
	received chan packet
	once     sync.Once
	closed   chan struct{}
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case received := <-c.received:
		return copy(p, received.data), net.UDPAddrFromAddrPort(received.from), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("not a UDP address")
	}
	sent := packet{c.address, append([]byte(nil), p...)}
	time.AfterFunc(c.network.latency, func() { c.network.deliver(sent, udp.AddrPort()) })
	return len(p), nil
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.address) }

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.PacketConn.
func (c *packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
