package standin

import (
	"net"
	"sync"
	"time"
)

// Link limits the rate at which bytes are read from its connections, which share it. It is for tests on virtual time.
type Link struct {
	rate int

	mu     sync.Mutex
	freeAt time.Time
}

// NewLink returns a link with a rate in bytes per second; zero means no limit.
func NewLink(rate int) *Link { return &Link{rate: rate} }

// Limit returns a connection whose reads are limited.
func (l *Link) Limit(conn net.Conn) net.Conn {
	if l.rate == 0 {
		return conn
	}
	return &limitedConn{Conn: conn, link: l}
}

// pass waits until the link has carried a number of bytes, after those that others have sent before.
func (l *Link) pass(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / float64(l.rate) * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	<-time.After(wait)
}

type limitedConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.pass(n)
	}
	return n, err
}
