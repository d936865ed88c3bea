package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
	"k8s.io/utils/clock"
)

const (
	// idleDefault is how long a connection is kept when the backend server does not say.
	idleDefault = 4 * time.Second
	// idleMargin is left before the time that a backend server announced, for the way there.
	idleMargin = 500 * time.Millisecond
	// MaxIdle bounds the idle connections to one backend server.
	MaxIdle = 24
	// inlineBody is the largest body in bytes that is written before the answer is read. A backend server may answer
	// before it has read a longer one.
	inlineBody = 16 << 10
	// ackTimeout ends a connection whose peer stopped acknowledging, such as one that went silent.
	ackTimeout = 700 * time.Millisecond
	// staleAnswers bounds the late answers to earlier requests that are skipped on a connection.
	staleAnswers = 2
	// maxDiscard bounds the bytes of a late answer that are read to reach the next one.
	maxDiscard = 64 << 10
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Pool keeps idle connections by backend server. It is safe for concurrent use.
type Pool struct {
	dial    Dialer
	clock   clock.PassiveClock
	mu      sync.Mutex
	idle    map[netip.AddrPort][]*conn
	opened  uint64
	reaping time.Time
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address netip.AddrPort
	reused  bool
	until   time.Time
	wrote   bool
}

// Write records that bytes may have left.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.wrote = true
	}
	return n, err
}

// abort closes the connection with a reset, so that bytes which the peer has not received yet are lost. After a usual
// close they would still arrive, however late.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// A connection that takes no option is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// NewPool returns an empty pool. dial may be nil for the network.
func NewPool(c clock.PassiveClock, dial Dialer) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, clock: c, idle: map[netip.AddrPort][]*conn{}}
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			return errors.Join(err, set)
		},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return d.DialContext(ctx, "tcp", address.String())
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Drop closes the idle connections to an address, whose backend server has left.
func (p *Pool) Drop(address netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[netip.AddrPort][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// take returns an idle connection that looks alive, or nil.
func (p *Pool) take(address netip.AddrPort) *conn {
	now := p.clock.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.until) && c.quiet() {
			c.reused, c.wrote = true, false
			return c
		}
		_ = c.Close()
	}
}

// quiet says whether the peer has neither closed the connection nor sent anything on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (p *Pool) put(c *conn, keep time.Duration, most int) {
	if keep == 0 {
		keep = idleDefault
	}
	now := p.clock.Now()
	c.until = now.Add(keep - idleMargin)
	if err := c.SetDeadline(time.Time{}); err != nil || !now.Before(c.until) {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) < most {
		p.idle[c.address] = append(list, c)
		c = nil
	}
	expired := p.reap(now)
	p.mu.Unlock()
	if c != nil {
		expired = append(expired, c)
	}
	for _, old := range expired {
		_ = old.Close()
	}
}

// reap takes out, once a second, the connections that were idle for too long.
func (p *Pool) reap(now time.Time) []*conn {
	if now.Sub(p.reaping) < time.Second {
		return nil
	}
	p.reaping = now
	var expired []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return expired
}

// Plan tells how an exchange is made.
type Plan struct {
	Address netip.AddrPort
	// Fresh asks for a new connection, for a request that must not be lost on one that died unnoticed.
	Fresh bool
	// Idle is how many connections to the address may be kept after the exchange, MaxIdle at most.
	Idle int
	// DialTimeout bounds the opening of a connection, HeadTimeout the wait for the head of the answer after it.
	DialTimeout, HeadTimeout time.Duration
	// Extend is asked when nothing came in time, and returns how much longer to wait; zero gives up. It may be nil.
	Extend func() time.Duration
	// Own says whether an answer belongs to the request. Late answers to earlier requests come first and are skipped.
	Own func(*http.Response) bool
}

// Exchange is an answer that is being read. Its Body must be read before Done.
type Exchange struct {
	Response *http.Response
	conn     *conn
	pool     *Pool
	idle     int
	stop     func() bool
	written  chan error
}

// Exchange sends a request once and returns when the head of its answer is there. Canceling ctx closes the connection,
// also while the body of the answer is read.
func (p *Pool) Exchange(ctx context.Context, plan Plan, r *http.Request) (*Exchange, error) {
	var c *conn
	if !plan.Fresh {
		c = p.take(plan.Address)
	}
	if c == nil {
		opened, err := p.open(ctx, plan)
		if err != nil {
			return nil, err
		}
		c = opened
	}
	x := &Exchange{conn: c, pool: p, idle: min(plan.Idle, MaxIdle)}
	x.stop = context.AfterFunc(ctx, c.abort)
	if err := x.run(r, plan); err != nil {
		x.stop()
		c.abort()
		return nil, x.explain(ctx, "exchange", err)
	}
	return x, nil
}

func (p *Pool) open(ctx context.Context, plan Plan) (*conn, error) {
	dialing, cancel := context.WithTimeout(ctx, plan.DialTimeout)
	defer cancel()
	raw, err := p.dial(dialing, plan.Address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &Error{Op: "dial", Kind: KindUnsent, Err: ctx.Err()}
		}
		return nil, &Error{Op: "dial", Kind: KindDial, Err: err}
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, 4096), address: plan.Address}, nil
}

// run writes the request and reads the head of its answer into x.Response.
func (x *Exchange) run(r *http.Request, plan Plan) error {
	c := x.conn
	if err := c.SetWriteDeadline(x.pool.clock.Now().Add(plan.HeadTimeout)); err != nil {
		return err
	}
	if r.ContentLength > inlineBody {
		x.written = make(chan error, 1)
		go func() { x.written <- write(c, r) }()
	} else if err := write(c, r); err != nil {
		return err
	}
	for range staleAnswers {
		if err := x.Wait(plan.HeadTimeout, plan.Extend); err != nil {
			return err
		}
		resp, err := http.ReadResponse(c.reader, r) //nolint:bodyclose // Done closes the connection, and the body with it.
		if err != nil {
			return err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if plan.Own == nil || plan.Own(resp) {
			x.Response = resp
			return nil
		}
		if !c.reused || resp.ContentLength < 0 || resp.ContentLength > maxDiscard {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return errForeign
}

// errForeign is the cause of KindMalformed for an answer to another request.
var errForeign = errors.New("answer to another request")

func write(c *conn, r *http.Request) error {
	w := bufio.NewWriterSize(c, 4096)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// explain turns a failure of the connection into an Error.
func (x *Exchange) explain(ctx context.Context, op string, err error) *Error {
	e := &Error{Op: op, Kind: KindBroken, Reused: x.conn.reused, Err: err}
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		e.Kind = KindCanceled
	case errors.Is(err, errForeign):
		e.Kind = KindMalformed
	case x.written == nil && !x.conn.wrote:
		e.Kind = KindUnsent
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		e.Kind = KindSilent
	}
	return e
}

// Wait returns when the next bytes of the answer are there. When none came within d, extend is asked for more time; zero
// ends the wait with an error. extend may be nil.
func (x *Exchange) Wait(d time.Duration, extend func() time.Duration) error {
	for {
		if err := x.conn.SetReadDeadline(x.pool.clock.Now().Add(d)); err != nil {
			return err
		}
		_, err := x.conn.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || extend == nil {
			return err
		}
		if d = extend(); d <= 0 {
			return err
		}
	}
}

// Explain turns an error of reading the body into an Error.
func (x *Exchange) Explain(ctx context.Context, err error) *Error { return x.explain(ctx, "read", err) }

// Done ends the exchange. The connection is kept when the body was read to its end, whole says so, and the backend
// server keeps it too. keep is how long it may stay idle; zero means the default.
func (x *Exchange) Done(whole bool, keep time.Duration) {
	canceled := !x.stop()
	if whole && !canceled && !x.Response.Close && x.bodyWritten() {
		x.pool.put(x.conn, keep, x.idle)
		return
	}
	if whole {
		_ = x.conn.Close()
		return
	}
	x.conn.abort()
}

// bodyWritten says whether the whole request has left. A connection on which an answer came earlier cannot be used
// again, because the rest of the body would be read as the next request.
func (x *Exchange) bodyWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}
