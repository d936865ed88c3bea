package standin

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// earlyPart is the part of the body that EarlyResponses send.
const earlyPart = "id: 1\ndata: one\n\n"

// EarlyResponses returns responses of which only a part is sent, by how their ends would be known. They have the status 200 and the
// given headers, which may be nil.
func EarlyResponses(header http.Header) map[string]string {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
	_ = header.Write(&head) // a strings.Builder accepts all writes
	return map[string]string{
		"no length": head.String() + "Connection: close\r\n\r\n" + earlyPart,
		"length":    head.String() + "Content-Length: 400\r\n\r\n" + earlyPart,
		"chunked":   head.String() + "Transfer-Encoding: chunked\r\n\r\n11\r\n" + earlyPart + "\r\n",
	}
}

// ResetConn is a connection to a server that sends Response when the first bytes of a request arrive, and then resets the connection.
// A socket reports a reset once. If the write of the request gets it, the next read sees a regular end.
type ResetConn struct {
	Response string
	// Accepted is how many bytes of the request are written before the reset; negative if all of them are, so that a read gets
	// the reset.
	Accepted int
	// WriteDelay is how much later than the reads the write of the request sees the end.
	WriteDelay time.Duration

	mu    sync.Mutex
	began chan struct{}
	sent  int
}

// NewResetConn returns a ResetConn.
func NewResetConn(response string, accepted int, writeDelay time.Duration) *ResetConn {
	return &ResetConn{Response: response, Accepted: accepted, WriteDelay: writeDelay, began: make(chan struct{})}
}

// Write implements net.Conn.
func (c *ResetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sent == 0 && len(p) > 0 {
		close(c.began)
	}
	c.sent += len(p)
	isReset := c.Accepted >= 0 && c.sent > c.Accepted
	c.mu.Unlock()
	if !isReset {
		return len(p), nil
	}
	time.Sleep(c.WriteDelay)
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

// Read implements net.Conn.
func (c *ResetConn) Read(p []byte) (int, error) {
	<-c.began
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.Response)
	c.Response = c.Response[n:]
	switch {
	case n > 0:
		return n, nil
	case c.Accepted < 0:
		return 0, &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	}
	return 0, io.EOF
}

// Close implements net.Conn.
func (c *ResetConn) Close() error { return nil }

// LocalAddr implements net.Conn.
func (c *ResetConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *ResetConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn. Deadlines have no effect, because no call waits for the peer.
func (c *ResetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *ResetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *ResetConn) SetWriteDeadline(time.Time) error { return nil }
