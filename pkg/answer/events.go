package answer

import (
	"bytes"
	"strconv"
)

// maxEventBytes limits the size of an event that is buffered until it is complete.
const maxEventBytes = 1 << 20

// KindEventSize means that an event is larger than this package accepts.
const KindEventSize ErrorKind = "event"

// EventSplitter splits a stream of server-sent events (text/event-stream) into complete events, so that a stream that
// breaks within an event can continue from another source after the last complete one. Events that were already
// delivered are dropped by their ids, which are increasing numbers. The zero value is ready to use. EventSplitter must
// not be used by more than one goroutine at a time.
type EventSplitter struct {
	pending   []byte
	last      uint64
	hasLast   bool
	delivered int
}

// ResumeAfter sets the number of the last event that the receiver has from an earlier answer.
func (s *EventSplitter) ResumeAfter(last uint64) { s.last, s.hasLast = last, true }

// Last returns the number of the last numbered event that Next has returned, or else the number set by ResumeAfter. It
// returns false if there is neither.
func (s *EventSplitter) Last() (uint64, bool) { return s.last, s.hasLast }

// Delivered returns how many complete events Next has returned.
func (s *EventSplitter) Delivered() int { return s.delivered }

// Partial reports whether bytes of an incomplete event are buffered.
func (s *EventSplitter) Partial() bool { return len(s.pending) > 0 }

// Buffered returns how many bytes of memory the buffer takes.
func (s *EventSplitter) Buffered() int { return cap(s.pending) }

// DropPartial drops the incomplete event before the stream continues from another source.
func (s *EventSplitter) DropPartial() { s.pending = nil }

// Write appends bytes of the stream to the buffer. Call Next until it returns nil before the next call. Write returns
// an Error of KindEventSize for an event that is too large.
func (s *EventSplitter) Write(data []byte) error {
	if size := len(s.pending) + len(data); size > maxEventBytes {
		return &Error{Op: "write", Kind: KindEventSize, Have: uint64(size), Want: maxEventBytes}
	}
	s.pending = append(s.pending, data...)
	return nil
}

// Next returns the bytes of the next complete event that was not delivered before, or nil. They are valid until the
// next call of Write.
func (s *EventSplitter) Next() []byte {
	for {
		end := eventLength(s.pending)
		if end == 0 {
			return nil
		}
		event := s.pending[:end:end]
		s.pending = s.pending[end:]
		number, ok := eventNumber(event)
		if ok && s.hasLast && number <= s.last {
			continue
		}
		if ok {
			s.last, s.hasLast = number, true
		}
		s.delivered++
		return event
	}
}

// eventLength returns the length of the first complete event, including the empty line that ends it, or zero.
func eventLength(data []byte) int {
	start := 0
	for {
		i := bytes.IndexByte(data[start:], '\n')
		if i < 0 {
			return 0
		}
		line := bytes.TrimSuffix(data[start:start+i], []byte("\r"))
		start += i + 1
		if len(line) == 0 {
			return start
		}
	}
}

// eventNumber returns the number in the id field of an event.
func eventNumber(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
