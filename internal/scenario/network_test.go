package scenario

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"berylward.example/berylward/internal/link"
)

const (
	// latency is the one-way delay between zones in the example sites.
	latency = 1500 * time.Microsecond
	// bufferSize is the number of bytes that one direction of a connection buffers before its writer blocks.
	bufferSize = 64 << 10
)

// network is an in-memory network whose blocking operations testing/synctest can detect. It simulates only the faults
// of section 1.5: partitions, paused instances and connections that go silent.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]bool
	nextPort  uint16
	// partitioned holds the pairs of instances that cannot reach each other. What they have sent is delivered once
	// the partition heals.
	partitioned map[[2]string]bool
	// paused holds the instances that neither send nor receive.
	paused map[string]bool
	// changed is closed and replaced at each update.
	changed chan struct{}
}

func newNetwork() *network {
	return &network{
		listeners: map[netip.AddrPort]*listener{}, conns: map[*conn]bool{}, nextPort: 10000,
		partitioned: map[[2]string]bool{}, paused: map[string]bool{}, changed: make(chan struct{}),
	}
}

// update applies f and wakes all waiting operations.
func (n *network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// connected reports whether data passes between two instances, and returns a channel that is closed when that may
// have changed.
func (n *network) connected(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.paused[a] && !n.paused[b] && !n.partitioned[[2]string{a, b}] && !n.partitioned[[2]string{b, a}], n.changed
}

// partition separates each instance of one side from each instance of the other.
func (n *network) partition(left, right []string) {
	n.update(func() {
		for _, l := range left {
			for _, r := range right {
				n.partitioned[[2]string{l, r}] = true
			}
		}
	})
}

func (n *network) heal() { n.update(func() { clear(n.partitioned) }) }

// silence makes the open connections between two instances drop all data for good. New connections work.
func (n *network) silence(a, b string) {
	n.update(func() {
		for c := range n.conns {
			if c.local == a && c.remote == b || c.local == b && c.remote == a {
				c.in.silence()
			}
		}
	})
}

// Listen implements demo.Network.
func (n *network) Listen(instance string, address netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address.Port() == 0 {
		n.nextPort++
		address = netip.AddrPortFrom(address.Addr(), n.nextPort)
	}
	if l := n.listeners[address]; l != nil && !l.isClosed() {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, instance: instance, address: address, backlog: make(chan net.Conn, 128), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer implements demo.Network.
func (n *network) Dialer(instance string) link.Dialer {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := netip.MustParseAddrPort(address)
		fail := func(err error) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
		}
		for {
			n.mu.Lock()
			l := n.listeners[to]
			n.mu.Unlock()
			if l == nil {
				return fail(syscall.ECONNREFUSED)
			}
			open, changed := n.connected(instance, l.instance)
			if open {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return fail(ctx.Err())
			}
		}
		timer := time.NewTimer(2 * latency)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return fail(ctx.Err())
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l.isClosed() {
			return fail(syscall.ECONNREFUSED)
		}
		client, server := n.newConnPair(instance, l.instance, to)
		select {
		case l.backlog <- server:
			return client, nil
		default:
			_, _ = client.Close(), server.Close()
			return fail(syscall.ECONNREFUSED)
		}
	}
}

func (n *network) newConnPair(from, to string, address netip.AddrPort) (client, server *conn) {
	toServer, toClient := newHalfConn(n, from, to), newHalfConn(n, to, from)
	client = &conn{network: n, local: from, remote: to, in: toClient, out: toServer, address: address}
	server = &conn{network: n, local: to, remote: from, in: toServer, out: toClient, address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[client], n.conns[server] = true, true
	return client, server
}

type listener struct {
	network  *network
	instance string
	address  netip.AddrPort
	backlog  chan net.Conn
	mu       sync.Mutex
	closed   chan struct{}
}

func (l *listener) closedChan() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *listener) isClosed() bool {
	select {
	case <-l.closedChan():
		return true
	default:
		return false
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closedChan():
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil
	default:
		close(l.closed)
	}
	for {
		select {
		case c := <-l.backlog:
			_ = c.Close()
		default:
			return nil
		}
	}
}

// Reopen makes a closed listener accept again. The stand-ins call it when they restart after a crash.
func (l *listener) Reopen() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		l.closed = make(chan struct{})
	default:
	}
	return l, nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// conn is one end of a connection.
type conn struct {
	network       *network
	local, remote string
	in, out       *halfConn
	address       netip.AddrPort
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.in.close()
	c.out.closeWrite()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.address) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.address) }

func (c *conn) SetDeadline(t time.Time) error {
	_, _ = c.SetReadDeadline(t), c.SetWriteDeadline(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeDeadline = t })
	return nil
}

type chunk struct {
	deliverAt time.Time
	data      []byte
}

// halfConn is one direction of a connection.
type halfConn struct {
	network                     *network
	from, to                    string
	mu                          sync.Mutex
	chunks                      []chunk
	size                        int
	readDeadline, writeDeadline time.Time
	// silent means that all data is dropped and that the reader does not see the end of the connection.
	silent bool
	// readClosed is set by the reader, writeClosedAt by the writer.
	readClosed    bool
	writeClosedAt time.Time
	// changed is closed and replaced at each update.
	changed chan struct{}
}

func newHalfConn(n *network, from, to string) *halfConn {
	return &halfConn{network: n, from: from, to: to, changed: make(chan struct{})}
}

func (h *halfConn) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *halfConn) silence() { h.update(func() { h.silent, h.chunks = true, nil }) }
func (h *halfConn) close()   { h.update(func() { h.readClosed, h.chunks, h.size = true, nil, 0 }) }
func (h *halfConn) closeWrite() {
	h.update(func() {
		if h.writeClosedAt.IsZero() {
			h.writeClosedAt = time.Now()
		}
	})
}

// waitForChange blocks until one of the channels is closed or the earliest of the given times has come. Zero times are
// ignored.
func waitForChange(changed, network <-chan struct{}, times ...time.Time) {
	times = slices.DeleteFunc(times, time.Time.IsZero)
	if len(times) == 0 {
		select {
		case <-changed:
		case <-network:
		}
		return
	}
	timer := time.NewTimer(time.Until(slices.MinFunc(times, time.Time.Compare)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-network:
	case <-timer.C:
	}
}

func (h *halfConn) read(p []byte) (int, error) {
	for {
		open, networkChanged := h.network.connected(h.from, h.to)
		h.mu.Lock()
		now, changed, next := time.Now(), h.changed, time.Time{}
		switch {
		case h.readClosed:
			h.mu.Unlock()
			return 0, net.ErrClosed
		case !h.readDeadline.IsZero() && !now.Before(h.readDeadline):
			h.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case !open || h.silent:
		case len(h.chunks) > 0:
			if next = h.chunks[0].deliverAt; !next.After(now) {
				n := copy(p, h.chunks[0].data)
				if h.chunks[0].data = h.chunks[0].data[n:]; len(h.chunks[0].data) == 0 {
					h.chunks = h.chunks[1:]
				}
				h.size -= n
				h.mu.Unlock()
				h.update(func() {})
				return n, nil
			}
		case !h.writeClosedAt.IsZero():
			if next = h.writeClosedAt.Add(latency); !next.After(now) {
				h.mu.Unlock()
				return 0, io.EOF
			}
		}
		readDeadline := h.readDeadline
		h.mu.Unlock()
		waitForChange(changed, networkChanged, next, readDeadline)
	}
}

func (h *halfConn) write(p []byte) (int, error) {
	written := 0
	for {
		h.mu.Lock()
		now, changed := time.Now(), h.changed
		switch {
		case !h.writeClosedAt.IsZero():
			h.mu.Unlock()
			return written, net.ErrClosed
		case h.readClosed && !h.silent:
			h.mu.Unlock()
			return written, syscall.EPIPE
		case !h.writeDeadline.IsZero() && !now.Before(h.writeDeadline):
			h.mu.Unlock()
			return written, os.ErrDeadlineExceeded
		case len(p) == 0 || h.silent:
			h.mu.Unlock()
			return written + len(p), nil
		case h.size < bufferSize:
			n := min(len(p), bufferSize-h.size)
			h.chunks = append(h.chunks, chunk{now.Add(latency), slices.Clone(p[:n])})
			h.size += n
			p, written = p[n:], written+n
			h.mu.Unlock()
			h.update(func() {})
			continue
		}
		writeDeadline := h.writeDeadline
		h.mu.Unlock()
		waitForChange(changed, nil, writeDeadline)
	}
}
