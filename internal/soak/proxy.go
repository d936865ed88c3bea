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

// Trouble is what a proxy does to the connections through it. It is a sealed interface: Sound, Delayed, Reset, Mute and
// Deaf are its only implementations.
//
//sumtype:decl
type Trouble interface{ trouble() }

// Sound means that bytes pass.
type Sound struct{}

// Delayed means that bytes pass after a time.
type Delayed struct{ By time.Duration }

// Reset means that open connections are reset, and new ones too.
type Reset struct{}

// Mute means that no bytes come back from the far side: a cut one way, or silence as the near side sees it.
type Mute struct{}

// Deaf means that no bytes reach the far side.
type Deaf struct{}

func (Sound) trouble()   {}
func (Delayed) trouble() {}
func (Reset) trouble()   {}
func (Mute) trouble()    {}
func (Deaf) trouble()    {}

// Proxy passes connections of one address on to another one and brings about trouble on them.
type Proxy struct {
	clock    clock.Clock
	listener net.Listener
	to       netip.AddrPort

	mu      sync.Mutex
	trouble Trouble
	changed chan struct{}
	conns   map[net.Conn]struct{}
	done    sync.WaitGroup
}

// NewProxy listens on an address until Close.
func NewProxy(c clock.Clock, from, to netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", from.String())
	if err != nil {
		return nil, &Error{Op: "proxy", Kind: KindListen, Err: err}
	}
	p := &Proxy{clock: c, listener: listener, to: to, trouble: Sound{}, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	p.done.Go(p.accept)
	return p, nil
}

// Set brings about trouble from now on, also on open connections.
func (p *Proxy) Set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
	if _, ok := t.(Reset); ok {
		p.resetAll()
	}
}

// resetAll must be called with the lock held.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Reset{})
	p.done.Wait()
}

func (p *Proxy) state() (Trouble, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble, p.changed
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.done.Go(func() { p.serve(near) })
	}
}

func (p *Proxy) serve(near net.Conn) {
	if t, _ := p.state(); t == (Trouble)(Reset{}) {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.to.String())
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, func(t Trouble) bool { _, deaf := t.(Deaf); return deaf }) })
	both.Go(func() { p.pass(near, far, func(t Trouble) bool { _, mute := t.(Mute); return mute }) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// pass copies one direction and holds bytes back while held says so.
func (p *Proxy) pass(to, from net.Conn, held func(Trouble) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.wait(held)
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			reset(from)
			return
		}
	}
}

// wait returns when bytes may pass.
func (p *Proxy) wait(held func(Trouble) bool) {
	for {
		t, changed := p.state()
		if d, ok := t.(Delayed); ok {
			<-p.clock.After(d.By)
			return
		}
		if !held(t) {
			return
		}
		<-changed
	}
}
