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

	"berylward.example/berylward/pkg/answer"
)

const (
	// defaultIdle is how long a connection is kept when the backend server announces no idle time.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the idle time of a connection. It allows for the time that a request takes to reach
	// the backend server.
	idleMargin = 500 * time.Millisecond
	// MaxIdle bounds the idle connections to one backend server.
	MaxIdle = 24
	// maxInlineBody is the largest body in bytes that is written before the response is read. A backend server may
	// respond before it has read a longer body.
	maxInlineBody = 16 << 10
	// ackTimeout closes a connection whose peer no longer acknowledges data, for instance after a network failure.
	ackTimeout = 700 * time.Millisecond
	// maxResponses bounds the responses that are read for one request, including late ones to earlier requests.
	// maxInterimHeads bounds the interim responses before them, which are skipped.
	maxResponses    = 2
	maxInterimHeads = 8
	// maxDiscard bounds the bytes of a late response that are read and discarded to reach the next response.
	maxDiscard = 64 << 10
	// maxHeadBytes bounds the head of a response, which net/http reads without a limit.
	maxHeadBytes = 64 << 10
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Pool keeps idle connections for each backend server. It is safe for concurrent use.
type Pool struct {
	dial     Dialer
	clock    clock.PassiveClock
	mu       sync.Mutex
	idle     map[netip.AddrPort][]*conn
	opened   uint64
	lastReap time.Time
}

type conn struct {
	net.Conn
	reader    *bufio.Reader
	head      *headLimit
	address   netip.AddrPort
	reused    bool
	expires   time.Time
	sentBytes bool
}

// Write records whether any bytes may have been sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.sentBytes = true
	}
	return n, err
}

// abort closes the connection with a reset, which discards bytes that the peer has not yet received. After a normal
// close they would still arrive, possibly much later.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Setting the option fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// NewPool returns an empty pool. A nil dial opens TCP connections.
func NewPool(c clock.PassiveClock, dial Dialer) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, clock: c, idle: map[netip.AddrPort][]*conn{}}
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			return errors.Join(err, optErr)
		},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return d.DialContext(ctx, "tcp", address.String())
}

// ConnectionsOpened returns how many connections the pool has opened.
func (p *Pool) ConnectionsOpened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdle closes the idle connections to an address whose backend server has left.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Refuses reports whether a new connection to an address is refused because nothing listens there. It blocks until the
// connection is opened, which is then closed again, or fails. An address that does not answer in time does not refuse.
func (p *Pool) Refuses(ctx context.Context, address netip.AddrPort) bool {
	return errors.Is(p.probe(ctx, address), syscall.ECONNREFUSED)
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

// take removes and returns an idle connection that appears usable. It returns nil if there is none.
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
		if now.Before(c.expires) && c.alive() {
			c.reused, c.sentBytes = true, false
			return c
		}
		_ = c.Close()
	}
}

// alive reports whether the peer has neither closed the connection nor sent unexpected bytes.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && alive
}

func (p *Pool) put(c *conn, keepAlive time.Duration, limit int) {
	if keepAlive == 0 {
		keepAlive = defaultIdle
	}
	now := p.clock.Now()
	c.expires = now.Add(keepAlive - idleMargin)
	if err := c.SetDeadline(time.Time{}); err != nil || !now.Before(c.expires) {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) < limit {
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

// reap removes and returns the connections that were idle for too long. It does so at most once a second.
func (p *Pool) reap(now time.Time) []*conn {
	if now.Sub(p.lastReap) < time.Second {
		return nil
	}
	p.lastReap = now
	var expired []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
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

// ExchangeOptions describes how an exchange is made.
type ExchangeOptions struct {
	Address netip.AddrPort
	// NewConnection requires a new connection. It is for requests that must not run twice: on an idle connection they could
	// be lost unnoticed, or get a repeated response to an earlier request.
	NewConnection bool
	// IdleLimit is how many idle connections to the address may be kept after the exchange, at most MaxIdle.
	IdleLimit int
	// DialTimeout bounds the opening of a connection. HeadTimeout bounds the subsequent wait for the head of the
	// response.
	DialTimeout, HeadTimeout time.Duration
	// Extend is called when HeadTimeout expires. It returns how much longer to wait, or zero to give up. It may be nil.
	Extend func() time.Duration
	// Matches reports whether a response belongs to the request, given whether the connection carried an earlier exchange.
	// Late responses to earlier requests on the connection are skipped. It may be nil.
	Matches func(resp *http.Response, reused bool) bool
}

// Exchange is a response that is being read. The body of Response must be read before Done.
type Exchange struct {
	Response  *http.Response
	conn      *conn
	pool      *Pool
	idleLimit int
	stopAbort func() bool
	// upload is nil if the request was written before the response was read.
	upload *upload
}

// Exchange sends a request once and returns when the head of its response has arrived. Canceling ctx aborts the
// connection, also while the body of the response is read.
func (p *Pool) Exchange(ctx context.Context, options ExchangeOptions, r *http.Request) (*Exchange, error) {
	var c *conn
	if !options.NewConnection {
		c = p.take(options.Address)
	}
	if c == nil {
		opened, err := p.open(ctx, options)
		if err != nil {
			return nil, err
		}
		c = opened
	}
	x := &Exchange{conn: c, pool: p, idleLimit: min(options.IdleLimit, MaxIdle)}
	x.stopAbort = context.AfterFunc(ctx, c.abort)
	if err := x.run(r, options); err != nil {
		x.stopAbort()
		c.abort()
		return nil, x.classify(ctx, "exchange", err)
	}
	return x, nil
}

func (p *Pool) open(ctx context.Context, options ExchangeOptions) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, options.DialTimeout)
	defer cancel()
	raw, err := p.dial(dialCtx, options.Address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &Error{Op: "dial", Kind: KindUnsent, Err: ctx.Err()}
		}
		return nil, &Error{Op: "dial", Kind: KindDial, Err: err}
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	head := &headLimit{from: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(head, 4096), head: head, address: options.Address}, nil
}

// run writes the request and reads the head of its response into x.Response.
func (x *Exchange) run(r *http.Request, options ExchangeOptions) error {
	c := x.conn
	if err := c.SetWriteDeadline(x.pool.clock.Now().Add(options.HeadTimeout)); err != nil {
		return err
	}
	if r.ContentLength > maxInlineBody {
		x.upload = startUpload(c, r)
	} else if err := write(c, r); err != nil {
		return err
	}
	// Neither interim responses nor late ones extend the wait for the response.
	due := x.pool.clock.Now().Add(options.HeadTimeout)
	for responses, interim := 0, 0; responses < maxResponses && interim <= maxInterimHeads; {
		c.head.begin()
		if err := x.Wait(max(due.Sub(x.pool.clock.Now()), 0), options.Extend); err != nil {
			return err
		}
		resp, err := http.ReadResponse(c.reader, r) //nolint:bodyclose // Done closes the connection, and the body with it.
		if err != nil {
			return err
		}
		c.head.end()
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			interim++
			continue
		}
		if !answer.IsFinalStatus(resp.StatusCode) {
			return errors.Wrapf(errInvalidStatus, "status %03d", resp.StatusCode)
		}
		responses++
		if options.Matches == nil || options.Matches(resp, c.reused) {
			x.Response = resp
			if x.upload != nil && endsWithConnection(resp) {
				resp.Body = &unframedBody{ReadCloser: resp.Body, upload: x.upload}
			}
			return nil
		}
		if !c.reused || resp.ContentLength < 0 || resp.ContentLength > maxDiscard {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return errMismatchedResponse
}

// classify reports these as KindMalformed. errMismatchedResponse means that the response belongs to another request,
// errInvalidStatus that no answer can have its status.
var (
	errMismatchedResponse = errors.New("response to another request")
	errInvalidStatus      = errors.New("not the status of an answer")
)

func write(c *conn, r *http.Request) error {
	w := bufio.NewWriterSize(c, 4096)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// classify converts a failure of the connection to an Error.
func (x *Exchange) classify(ctx context.Context, op string, err error) *Error {
	e := &Error{Op: op, Kind: KindConnectionLost, Reused: x.conn.reused, Err: err}
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		e.Kind = KindCanceled
	case errors.Is(err, errMismatchedResponse), errors.Is(err, errInvalidStatus), x.conn.head.exceeded():
		e.Kind = KindMalformed
	case x.upload == nil && !x.conn.sentBytes:
		e.Kind = KindUnsent
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		e.Kind = KindTimeout
	}
	return e
}

// Reused reports whether the connection had carried an earlier exchange, whose response may have been repeated on it.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Wait blocks until the next bytes of the response are available. When none arrive within d, extend returns how much
// longer to wait; zero ends the wait with an error. extend may be nil.
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

// WrapError converts an error of reading the body to an Error.
func (x *Exchange) WrapError(ctx context.Context, err error) *Error {
	return x.classify(ctx, "read", err)
}

// Done ends the exchange. The argument complete is true if the body was read to its end; the connection is then kept if
// the backend server also keeps it. keepAlive is how long the connection may stay idle; zero means the default.
func (x *Exchange) Done(complete bool, keepAlive time.Duration) {
	canceled := !x.stopAbort()
	if complete && !canceled && !x.Response.Close && x.upload.written() {
		x.pool.put(x.conn, keepAlive, x.idleLimit)
		return
	}
	if complete {
		_ = x.conn.Close()
		return
	}
	x.conn.abort()
}

// Close ends an exchange whose response was read to its end, and closes the connection.
func (x *Exchange) Close() {
	x.stopAbort()
	_ = x.conn.Close()
}
