package sidecar

import (
	"time"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

// event is a message from another goroutine to the backend goroutine. It is a sealed interface, implemented only by
// types of this package.
//
//sumtype:decl
type event interface{ event() }

// linkUp and linkDown report that a link was opened or closed.
type (
	linkUp   struct{ conn *link.Conn }
	linkDown struct{ conn *link.Conn }
)

// messageReceived is a message that was received on a link.
type messageReceived struct {
	conn    *link.Conn
	message link.Message
}

// suspectsDiffer means that the peer announced another digest of its registry of suspects than this sidecar has.
type suspectsDiffer struct{ conn *link.Conn }

// streamHead holds the status and the headers of a plain service's answer.
type streamHead struct {
	id     answer.ID
	status int
	header map[string][]string
}

// streamData is the next part of an answer.
type streamData struct {
	id     answer.ID
	offset int64
	data   []byte
	tokens int64
	window sendWindow
}

// streamEnd is the end of a backend call. A nil err means that the answer is complete.
type streamEnd struct {
	id    answer.ID
	usage answer.Usage
	err   error
}

// probeResult is the result of a probe of the backend server.
type probeResult struct {
	load engine.Load
	// sentAt is when the probe was sent.
	sentAt time.Time
	err    error
}

// streamsListed holds the engine's list of streams. The list shows what became of all streams that were sent, cancelled or given
// up before probedAt.
type streamsListed struct {
	list     engine.StreamList
	probedAt time.Time
}

// stopRequested asks for a graceful stop.
type stopRequested struct{}

func (linkUp) event()          {}
func (linkDown) event()        {}
func (messageReceived) event() {}
func (suspectsDiffer) event()  {}
func (streamHead) event()      {}
func (streamData) event()      {}
func (streamEnd) event()       {}
func (probeResult) event()     {}
func (streamsListed) event()   {}
func (stopRequested) event()   {}
