package entry

import (
	"context"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/tomb.v2"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

const (
	// minRedialDelay and maxRedialDelay bound the delay between attempts to dial an unreachable sidecar.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// maxResumeDials is how often a lost connection is dialled before its attempts are given up. A connection that
	// went silent is replaced at the first dial; a process that has ended refuses the dial.
	maxResumeDials = 3
)

// peer is the entry's side of the link to one sidecar. Its goroutine dials, receives messages and dials again after a
// failure. The callers' goroutines send through the peer and receive through the queues of their attempts.
type peer struct {
	entry   *Entry
	name    string
	address netip.AddrPort
	tomb    tomb.Tomb

	mu       sync.Mutex
	conn     *link.Conn
	attempts map[answer.ID]*attempt

	// lastState is the state of the backend server that the sidecar reported last. It is guarded by the entry's lock.
	lastState *link.State
	// leaving is set while the current instance list marks the sidecar's instance as leaving.
	leaving bool
}

func newPeer(e *Entry, name string, address netip.AddrPort) *peer {
	p := &peer{entry: e, name: name, address: address, attempts: map[answer.ID]*attempt{}}
	p.tomb.Go(p.run)
	return p
}

// run keeps a connection to the sidecar until the peer is stopped.
func (p *peer) run() error {
	defer p.loseAttempts(&link.Error{Op: "peer", Kind: link.KindClosed})
	ctx := p.tomb.Context(context.Background())
	delay := minRedialDelay
	failures := 0
	for p.tomb.Alive() {
		conn, err := link.Dial(ctx, p.address, p.entry.hello(), p.entry.linkOptions...)
		if err != nil {
			failures++
			// Nothing listens on the address, so the process that held the streams has ended.
			if failures >= maxResumeDials || errors.Is(err, syscall.ECONNREFUSED) {
				p.loseAttempts(err)
			}
			p.entry.log.V(1).Info("cannot connect to sidecar", "worker", p.name, "error", err.Error())
			if !p.sleep(delay) {
				return nil
			}
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay, failures = minRedialDelay, 0
		p.attach(conn)
		err = p.receiveMessages(conn)
		p.detach(conn, err)
	}
	return nil
}

func (p *peer) sleep(d time.Duration) bool {
	timer := p.entry.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-p.tomb.Dying():
		return false
	}
}

// attach puts a new connection into use and resumes the attempts of the previous one. A sidecar with another
// incarnation has lost the streams, so their attempts end at once.
func (p *peer) attach(conn *link.Conn) {
	// An entry with an old generation must learn this before the link makes it ready.
	p.entry.exchange.HandleAnnouncement(conn, conn.Peer().Generation)
	p.mu.Lock()
	p.conn = conn
	if p.leaving {
		_ = conn.Send(&link.Leaving{Leaving: true})
	}
	for id, a := range p.attempts {
		if a.sidecarIncarnation != conn.Peer().Incarnation {
			delete(p.attempts, id)
			a.events.Put(attemptLost{id: id, err: errors.New("sidecar restarted")})
			continue
		}
		_ = conn.Send(&link.Resume{ID: link.WireID(id), Offset: a.receivedBytes.Load()})
	}
	p.mu.Unlock()
	p.entry.linkUp(p, conn)
}

// receiveMessages handles the messages of one connection until it ends.
func (p *peer) receiveMessages(conn *link.Conn) error {
	for {
		select {
		case m, ok := <-conn.Receive():
			if !ok {
				return conn.Err()
			}
			p.handleMessage(conn, m)
		case <-p.tomb.Dying():
			_ = conn.Close()
			return nil
		}
	}
}

func (p *peer) detach(conn *link.Conn, err error) {
	_ = conn.Close()
	p.mu.Lock()
	p.conn = nil
	p.mu.Unlock()
	p.entry.linkDown(p, err)
}

// loseAttempts ends all attempts on this peer. Whether they ran is unknown.
func (p *peer) loseAttempts(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, a := range p.attempts {
		delete(p.attempts, id)
		a.events.Put(attemptLost{id: id, err: err})
	}
}

func (p *peer) handleMessage(conn *link.Conn, m link.Message) {
	switch m := m.(type) {
	case *link.Granted:
		p.routeToAttempt(m.ID, m)
	case *link.Queued:
		p.routeToAttempt(m.ID, m)
	case *link.Refused:
		p.routeToAttempt(m.ID, m)
	case *link.Head:
		p.routeToAttempt(m.ID, m)
	case *link.Piece:
		p.routeToAttempt(m.ID, m)
	case *link.End:
		p.routeToAttempt(m.ID, m)
	case *link.Failed:
		p.routeToAttempt(m.ID, m)
	case *link.Cancelled:
		p.routeToAttempt(m.ID, m)
	case *link.Ticket:
		p.routeToAttempt(m.ID, m)
	case *link.Reserved:
		p.routeToAttempt(m.ID, m)
	case *link.Prefilled:
		p.routeToAttempt(m.ID, m)
	case *link.CachesFetched:
		p.routeToAttempt(m.ID, m)
	case *link.State:
		p.entry.handleState(p, m)
	case *link.Heartbeat:
		p.entry.handleHeartbeat(conn, m)
	case *link.Suspects:
		p.entry.handleSuspects(conn, m)
	case *link.ConfigRequest, *link.ConfigManifest, *link.ConfigShard:
		p.entry.exchange.Handle(conn, m)
	case *link.Hello, *link.Offer, *link.Cancel, *link.Resume, *link.TicketRequest, *link.Seal, *link.SealRequest,
		*link.Reserve, *link.Renew, *link.Segment, *link.FetchCaches:
		p.entry.metrics.Add("unexpected-messages", 1)
	}
}

// routeToAttempt passes a message to its attempt. A message for an attempt that has ended is dropped and counted, so
// that a late or misdirected answer never reaches a caller.
func (p *peer) routeToAttempt(id link.ID, m link.Message) {
	p.mu.Lock()
	a := p.attempts[id.AnswerID()]
	p.mu.Unlock()
	if a == nil {
		p.entry.metrics.Add("dropped-messages", 1)
		return
	}
	if !a.events.Put(messageReceived{message: m}) {
		// The caller reads too slowly. Its attempt is ended to keep the link, which other requests share.
		p.removeAttempt(id.AnswerID())
		p.entry.metrics.Add("slow-callers", 1)
		a.overflow.Store(true)
		a.events.Put(messageDropped{}) // wakes the request if nothing else waits there
		p.send(&link.Cancel{ID: id})
	}
}

// startAttempt registers an attempt and sends its first message. An error means that nothing was sent.
func (p *peer) startAttempt(a *attempt, first link.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return &link.Error{Op: "begin", Kind: link.KindClosed}
	}
	a.sidecarIncarnation = p.conn.Peer().Incarnation
	if err := p.conn.Send(first); err != nil {
		return err
	}
	p.attempts[a.id] = a
	return nil
}

func (p *peer) send(m link.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(m)
	}
}

// sendUnlessFrom sends a message unless it came from this peer's connection.
func (p *peer) sendUnlessFrom(from *link.Conn, m link.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn != from {
		_ = p.conn.Send(m)
	}
}

// setLeaving records whether the instance list marks the sidecar's instance as leaving, and informs the sidecar of a
// change.
func (p *peer) setLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leaving != p.leaving && p.conn != nil {
		_ = p.conn.Send(&link.Leaving{Leaving: leaving})
	}
	p.leaving = leaving
}

// sendHeartbeat sends a heartbeat at once, so that the sidecar learns of a new generation.
func (p *peer) sendHeartbeat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.SendHeartbeat()
	}
}

// connected reports whether there is a live connection.
func (p *peer) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil
}

// idle reports whether no attempt runs on this peer.
func (p *peer) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.attempts) == 0
}

func (p *peer) removeAttempt(id answer.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.attempts, id)
}

// stop stops the peer's goroutine and waits for it.
func (p *peer) stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}
