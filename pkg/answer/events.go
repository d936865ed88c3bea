package answer

import (
	"bytes"
	"strconv"
)

// maxEvent bounds the bytes of one event that are kept until it is whole.
const maxEvent = 1 << 20

// KindEvent means that an event is larger than this package accepts.
const KindEvent ErrorKind = "event"

// Events cuts a stream of server-sent events (text/event-stream) into whole events, so that a stream which breaks in
// the middle of one can go on elsewhere after the last whole event. Events that were delivered before are dropped by
// their increasing number. The zero value is ready to use. Events must not be used by more than one goroutine at a time.
type Events struct {
	pending   []byte
	last      uint64
	numbered  bool
	delivered int
}

// ResumeAfter sets the number of the last event that the receiver has from an earlier answer.
func (e *Events) ResumeAfter(last uint64) { e.last, e.numbered = last, true }

// Last returns the number of the last whole event, and false when there was none.
func (e *Events) Last() (uint64, bool) { return e.last, e.numbered }

// Delivered returns how many whole events Next has returned.
func (e *Events) Delivered() int { return e.delivered }

// Partial says whether bytes of an unfinished event are held.
func (e *Events) Partial() bool { return len(e.pending) > 0 }

// Restart drops the unfinished event, before the stream goes on at another source.
func (e *Events) Restart() { e.pending = e.pending[:0] }

// Write takes bytes of the stream, of which Next must take the whole events before the next call. It returns an Error of
// KindEvent for an event that is too large.
func (e *Events) Write(data []byte) error {
	if size := len(e.pending) + len(data); size > maxEvent {
		return &Error{Op: "write", Kind: KindEvent, Have: uint64(size), Want: maxEvent}
	}
	e.pending = append(e.pending, data...)
	return nil
}

// Next returns the bytes of the next whole event that is new, or nil. They are valid until the next call of Write.
func (e *Events) Next() []byte {
	for {
		end := eventEnd(e.pending)
		if end == 0 {
			return nil
		}
		event := e.pending[:end:end]
		e.pending = e.pending[end:]
		number, ok := eventNumber(event)
		if ok && e.numbered && number <= e.last {
			continue
		}
		if ok {
			e.last, e.numbered = number, true
		}
		e.delivered++
		return event
	}
}

// eventEnd returns the length of the first whole event with the empty line that ends it, or zero.
func eventEnd(data []byte) int {
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

// eventNumber returns the number in the event's id field.
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
