package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"gopkg.in/tomb.v2"
	"k8s.io/utils/clock"
)

// Subprotocol is the WebSocket subprotocol of links.
const Subprotocol = "berylward.v1.cbor"

// Path is the HTTP path at which a sidecar accepts links.
const Path = "/link"

const (
	// handshakeTimeout is the time limit for the dial and the exchange of hello messages together.
	handshakeTimeout = 2 * time.Second
	// queueLimit is the maximum number of outbound messages queued for a slow peer. 65,536 Piece messages hold minutes
	// of answer output.
	queueLimit = 1 << 16
)

// Defaults for heartbeats: a peer is silent after three missed heartbeats.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultSilenceLimit      = 3 * time.Second
)

type options struct {
	clock             clock.WithTicker
	client            *http.Client
	scheme            string
	heartbeatInterval time.Duration
	silenceLimit      time.Duration
	heartbeatContent  func() Heartbeat
	plaintext         bool
}

// Option configures a connection.
type Option func(*options)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.WithTicker) Option { return func(o *options) { o.clock = c } }

// WithHTTPClient sets the HTTP client used to dial. It carries the TLS configuration.
func WithHTTPClient(c *http.Client) Option { return func(o *options) { o.client = c } }

// Dialer opens a network connection; net.Dialer.DialContext is one. Tests replace it to run without sockets.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// WithDialer sets the function with which Dial opens connections. A later WithHTTPClient overrides it.
func WithDialer(dial Dialer) Option {
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	return WithHTTPClient(client)
}

// WithTLS makes Dial use wss instead of ws.
func WithTLS() Option { return func(o *options) { o.scheme = "wss" } }

// WithHeartbeat sets the heartbeat interval, and the silence limit: the time without any frame after which the peer is
// considered silent.
func WithHeartbeat(interval, silence time.Duration) Option {
	return func(o *options) { o.heartbeatInterval, o.silenceLimit = interval, silence }
}

// WithHeartbeatContent sets the function that returns the generation and the suspects digest for each heartbeat. The
// write goroutine of the connection calls it, so it must not block.
func WithHeartbeatContent(content func() Heartbeat) Option {
	return func(o *options) { o.heartbeatContent = content }
}

func newOptions(opts []Option) options {
	o := options{
		clock:             clock.RealClock{},
		client:            http.DefaultClient,
		scheme:            "ws",
		heartbeatInterval: DefaultHeartbeatInterval,
		silenceLimit:      DefaultSilenceLimit,
		heartbeatContent:  func() Heartbeat { return Heartbeat{} },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Conn is a connection to a peer. Send is safe for concurrent use; the channel returned by Receive must have a single
// reader.
type Conn struct {
	options
	socket       *websocket.Conn
	peer         Hello
	out          *Queue[Message]
	in           chan Message
	heartbeatNow chan struct{}
	lastRead     atomic.Int64
	tomb         tomb.Tomb
}

// Dial connects to a sidecar and exchanges hello messages. It blocks until the handshake succeeds, fails or reaches its
// limit of two seconds. An Error of KindDial means that the peer was not reached.
func Dial(ctx context.Context, address netip.AddrPort, own Hello, opts ...Option) (*Conn, error) {
	o := newOptions(opts)
	if o.scheme == "ws" && !o.allowsPlaintext(address) {
		return nil, &Error{Op: "dial", Kind: KindDial, Err: errPlaintext}
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws, response, err := websocket.Dial(ctx, o.scheme+"://"+address.String()+Path, &websocket.DialOptions{
		HTTPClient:   o.client,
		Subprotocols: []string{Subprotocol},
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindDial, Err: err}
	}
	return start(ctx, ws, own, o)
}

// Accept upgrades an HTTP request to a link and exchanges hello messages. If it returns an error, it has already
// written a response.
func Accept(w http.ResponseWriter, r *http.Request, own Hello, opts ...Option) (*Conn, error) {
	o := newOptions(opts)
	if r.TLS == nil && !o.allowsPlaintext(localAddress(r)) {
		http.Error(w, errPlaintext.Error(), http.StatusForbidden)
		return nil, &Error{Op: "accept", Kind: KindHandshake, Err: errPlaintext}
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		return nil, &Error{Op: "accept", Kind: KindHandshake, Err: err}
	}
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	return start(ctx, ws, own, o)
}

func start(ctx context.Context, ws *websocket.Conn, own Hello, o options) (*Conn, error) {
	ws.SetReadLimit(MaxFrameSize)
	own.Version = ProtocolVersion
	peer, err := exchangeHello(ctx, ws, own)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	c := &Conn{options: o, socket: ws, peer: peer, out: NewQueue[Message](queueLimit), in: make(chan Message, 64),
		heartbeatNow: make(chan struct{}, 1)}
	c.lastRead.Store(o.clock.Now().UnixNano())
	c.tomb.Go(func() error {
		c.tomb.Go(c.read)
		return c.write()
	})
	return c, nil
}

func exchangeHello(ctx context.Context, ws *websocket.Conn, own Hello) (Hello, error) {
	if ws.Subprotocol() != Subprotocol {
		return Hello{}, &Error{Op: "hello", Kind: KindHandshake, Err: errors.Errorf("subprotocol %q", ws.Subprotocol())}
	}
	frame, err := Encode(&own)
	if err != nil {
		return Hello{}, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return Hello{}, &Error{Op: "hello", Kind: KindHandshake, Err: err}
	}
	_, frame, err = ws.Read(ctx)
	if err != nil {
		return Hello{}, &Error{Op: "hello", Kind: KindHandshake, Err: err}
	}
	m, err := Decode(frame)
	if err != nil {
		return Hello{}, err
	}
	hello, ok := m.(*Hello)
	if !ok {
		return Hello{}, &Error{Op: "hello", Kind: KindHandshake, Err: errors.Errorf("first message is %q", WireName(m))}
	}
	if hello.Version != ProtocolVersion {
		return Hello{}, &Error{Op: "hello", Kind: KindHandshake, Err: errors.Errorf("version %d, want %d", hello.Version, ProtocolVersion)}
	}
	return *hello, nil
}

// Peer returns the hello message of the other side.
func (c *Conn) Peer() Hello { return c.peer }

// Send queues a message and never blocks. It returns an Error of KindClosed if the connection has ended. If the queue
// is full, it ends the connection and returns an Error of KindOverflow.
func (c *Conn) Send(m Message) error {
	if !c.tomb.Alive() {
		return &Error{Op: "send", Kind: KindClosed, Err: c.tomb.Err()}
	}
	if !c.out.Put(m) {
		err := &Error{Op: "send", Kind: KindOverflow}
		c.tomb.Kill(err)
		return err
	}
	return nil
}

// SendThen is Send with a function that is called once, when the message has been written or will not be written any more. The
// function must not block. It is called before SendThen returns an error.
func (c *Conn) SendThen(m Message, done func()) error {
	err := c.Send(&trackedMessage{Message: m, done: done})
	if err != nil {
		done()
		return err
	}
	if !c.tomb.Alive() {
		// The write goroutine may have dropped its queue before the message was put there.
		dropQueued(c.out.Take())
	}
	return nil
}

// trackedMessage is a message whose sender is told when it has left the queue.
type trackedMessage struct {
	Message
	done func()
}

// dropQueued ends messages that will not be written.
func dropQueued(queued []Message) {
	for _, m := range queued {
		if tracked, ok := m.(*trackedMessage); ok {
			tracked.done()
		}
	}
}

// SendHeartbeat sends a heartbeat at once instead of at the next interval, if its content has changed. It never blocks.
func (c *Conn) SendHeartbeat() {
	select {
	case c.heartbeatNow <- struct{}{}:
	default:
	}
}

// Receive returns the channel of inbound messages, including heartbeats. The channel is closed when the connection
// ends.
func (c *Conn) Receive() <-chan Message { return c.in }

// Dying returns a channel that is closed when the connection starts to end.
func (c *Conn) Dying() <-chan struct{} { return c.tomb.Dying() }

// Err returns the reason for which the connection ended, or tomb.ErrStillAlive.
func (c *Conn) Err() error { return c.tomb.Err() }

// Close ends the connection without sending queued messages and waits for its goroutines.
func (c *Conn) Close() error {
	c.tomb.Kill(nil)
	_ = c.socket.CloseNow()
	return c.tomb.Wait()
}

// flushMarker marks a position in the outbound queue. written is closed once everything before it has been written.
type flushMarker struct{ written chan struct{} }

func (*flushMarker) message() {}

// Shutdown waits until the queued messages are written, for at most the silence limit. It then performs the WebSocket
// close handshake, which tells the peer that the connection ends and waits until the peer has read everything.
func (c *Conn) Shutdown() {
	marker := &flushMarker{written: make(chan struct{})}
	if c.Send(marker) != nil {
		return
	}
	timer := c.clock.NewTimer(c.silenceLimit)
	defer timer.Stop()
	select {
	case <-marker.written:
		_ = c.socket.Close(websocket.StatusGoingAway, "")
	case <-timer.C():
	case <-c.tomb.Dying():
	}
}

// read passes inbound messages to the reader of Receive until the connection ends.
func (c *Conn) read() error {
	defer close(c.in)
	ctx := c.tomb.Context(context.Background())
	for {
		_, frame, err := c.socket.Read(ctx)
		if err != nil {
			return &Error{Op: "read", Kind: KindClosed, Err: err}
		}
		c.lastRead.Store(c.clock.Now().UnixNano())
		m, err := Decode(frame)
		if err != nil {
			return err
		}
		select {
		case c.in <- m:
		case <-c.tomb.Dying():
			return nil
		}
	}
}

// write sends queued messages and heartbeats. It ends the connection when the peer is silent or when this process was
// paused. A paused process must not act on outdated state, so it has to start again with a new connection.
func (c *Conn) write() (err error) {
	defer func() {
		// Record the reason first, or the reader's error from the closed socket would hide it.
		if err != nil {
			c.tomb.Kill(err)
		}
		_ = c.socket.CloseNow()
		dropQueued(c.out.Take())
	}()
	ctx := c.tomb.Context(context.Background())
	ticker := c.clock.NewTicker(c.heartbeatInterval)
	defer ticker.Stop()
	silenceTimer := c.clock.NewTimer(c.silenceLimit)
	defer silenceTimer.Stop()
	lastActive := c.clock.Now()
	var hb heartbeatState
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-c.out.Ready():
			hb.frameSent = true
			if c.clock.Now().Sub(lastActive) > c.silenceLimit {
				return &Error{Op: "write", Kind: KindPaused}
			}
			if err := c.writeQueued(ctx, c.out.Take()); err != nil {
				return err
			}
			// The time taken to write a long queue does not count as a pause of the process.
			lastActive = c.clock.Now()
		case <-c.heartbeatNow:
			if content := c.heartbeatContent(); content != hb.lastSent {
				if err := c.writeHeartbeat(ctx, &hb, content); err != nil {
					return err
				}
			}
		case <-silenceTimer.C():
			now := c.clock.Now()
			if now.Sub(lastActive) > c.silenceLimit {
				return &Error{Op: "heartbeat", Kind: KindPaused}
			}
			remaining := c.silenceLimit - now.Sub(time.Unix(0, c.lastRead.Load()))
			if remaining <= 0 {
				return &Error{Op: "heartbeat", Kind: KindSilent}
			}
			silenceTimer.Reset(remaining)
		case <-ticker.C():
			now := c.clock.Now()
			if now.Sub(lastActive) > c.silenceLimit {
				return &Error{Op: "heartbeat", Kind: KindPaused}
			}
			lastActive = now
			content := c.heartbeatContent()
			if hb.frameSent && content == hb.lastSent {
				hb.frameSent = false
				continue
			}
			if err := c.writeHeartbeat(ctx, &hb, content); err != nil {
				return err
			}
		}
	}
}

// writeQueued writes messages from the queue.
func (c *Conn) writeQueued(ctx context.Context, queued []Message) error {
	for n, m := range queued {
		var err error
		switch m := m.(type) {
		case *flushMarker:
			close(m.written)
		case *trackedMessage:
			err = c.writeMessage(ctx, m.Message)
			m.done()
		default:
			err = c.writeMessage(ctx, m)
		}
		if err != nil {
			dropQueued(queued[n+1:])
			return err
		}
	}
	return nil
}

// heartbeatState is the write goroutine's record of the heartbeats that it sent.
type heartbeatState struct {
	lastSent Heartbeat
	sequence uint64
	// frameSent reports whether another frame was sent since the last heartbeat.
	frameSent bool
}

func (c *Conn) writeHeartbeat(ctx context.Context, hb *heartbeatState, content Heartbeat) error {
	hb.lastSent, hb.frameSent = content, false
	hb.sequence++
	content.Sequence = hb.sequence
	return c.writeMessage(ctx, &content)
}

func (c *Conn) writeMessage(ctx context.Context, m Message) error {
	frame, err := Encode(m)
	if err != nil {
		return err
	}
	// A peer that stopped reading would block the write indefinitely. The silence limit bounds it.
	ctx, cancel := context.WithTimeout(ctx, c.silenceLimit)
	defer cancel()
	if err := c.socket.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return &Error{Op: "write", Kind: KindClosed, Err: err}
	}
	return nil
}
