package link

import "fmt"

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindDial means that no connection was established, so no message reached the peer.
	KindDial ErrorKind = "dial"
	// KindHandshake means that the handshake failed, for example because the peer uses another protocol version or did
	// not send its hello message in time.
	KindHandshake ErrorKind = "handshake"
	// KindSilent means that no frame arrived from the peer within the silence limit.
	KindSilent ErrorKind = "silent"
	// KindPaused means that this process was suspended for longer than the silence limit.
	KindPaused ErrorKind = "paused"
	// KindMalformed means that a frame could not be decoded.
	KindMalformed ErrorKind = "malformed"
	// KindOverflow means that the peer read too slowly and the outbound queue reached its limit.
	KindOverflow ErrorKind = "overflow"
	// KindClosed means that the connection has ended.
	KindClosed ErrorKind = "closed"
	// KindRefused means that the peer answered a request with an error status.
	KindRefused ErrorKind = "refused"
)

// Error reports a failed operation on a connection or a message.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("link: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("link: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
