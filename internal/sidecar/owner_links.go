package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"berylward.example/berylward/internal/booking"
	"berylward.example/berylward/internal/link"
)

// ownerRedialDelay is the delay between attempts to connect to another worker of the service.
const ownerRedialDelay = 500 * time.Millisecond

// ownerLinks holds the links to the other workers of the service, by name. The backend goroutine owns the map.
type ownerLinks map[string]*ownerLink

// ownerLink is a link that this sidecar dials to another worker of its service. Its goroutine dials and receives; the
// backend goroutine makes all decisions about the hand-over of keys.
type ownerLink struct {
	backend *backend
	name    string
	address netip.AddrPort
	tomb    tomb.Tomb

	mu   sync.Mutex
	conn *link.Conn
}

// update starts and stops links so that there is one to each other declared worker that is not lost.
func (o ownerLinks) update(b *backend, ownership booking.Ownership) {
	wanted := map[string]netip.AddrPort{}
	for _, w := range ownership.Workers {
		if w.Name != b.Instance && !w.Lost {
			wanted[w.Name] = w.Address
		}
	}
	for name, l := range o {
		if address, ok := wanted[name]; !ok || address != l.address {
			l.stop()
			delete(o, name)
		}
	}
	for name, address := range wanted {
		if o[name] == nil {
			l := &ownerLink{backend: b, name: name, address: address}
			l.tomb.Go(l.run)
			o[name] = l
		}
	}
}

func (o ownerLinks) stopAll() {
	for _, l := range o {
		l.stop()
	}
}

// send sends a message to a worker if its link is up. The at-most-once table repeats seal requests that were lost.
func (o ownerLinks) send(name string, m link.Message) {
	l := o[name]
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Send(m)
	}
}

func (l *ownerLink) run() error {
	ctx := l.tomb.Context(context.Background())
	for l.tomb.Alive() {
		conn, err := link.Dial(ctx, l.address, l.backend.hello(), l.backend.linkOptions...)
		if err == nil {
			l.setConn(conn)
			l.backend.exchange.HandleAnnouncement(conn, conn.Peer().Generation)
			l.receiveMessages(conn)
			l.setConn(nil)
			_ = conn.Close()
		}
		timer := l.backend.clock.NewTimer(ownerRedialDelay)
		select {
		case <-timer.C():
		case <-l.tomb.Dying():
		}
		timer.Stop()
	}
	return nil
}

func (l *ownerLink) setConn(conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
}

func (l *ownerLink) receiveMessages(conn *link.Conn) {
	for {
		select {
		case m, ok := <-conn.Receive():
			if !ok {
				return
			}
			switch m := m.(type) {
			case *link.Heartbeat:
				l.backend.exchange.HandleAnnouncement(conn, m.Generation)
			case *link.ConfigRequest, *link.ConfigManifest, *link.ConfigShard:
				l.backend.exchange.Handle(conn, m)
			case *link.Seal, *link.SealRequest, *link.Suspects:
				l.backend.events.Put(messageReceived{conn, m})
			}
		case <-l.tomb.Dying():
			return
		}
	}
}

func (l *ownerLink) stop() {
	l.tomb.Kill(nil)
	_ = l.tomb.Wait()
}
