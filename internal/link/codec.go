package link

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// MaxFrameSize is the maximum frame size in bytes. A prompt of a million tokens at four bytes per token needs about
// 4 MB. The limit is twice that, for text that needs more bytes per token.
const MaxFrameSize = 8 << 20

// envelope is the outer form of each frame, an array of type and body. An array is 10 bytes smaller than a map, which
// matters for heartbeats: they are most of the traffic of an idle link.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Body cbor.RawMessage
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 12,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// messageConstructors maps the wire name of each message to a constructor used for decoding.
var messageConstructors = map[string]func() Message{
	"offer":           func() Message { return new(Offer) },
	"granted":         func() Message { return new(Granted) },
	"queued":          func() Message { return new(Queued) },
	"refused":         func() Message { return new(Refused) },
	"head":            func() Message { return new(Head) },
	"piece":           func() Message { return new(Piece) },
	"end":             func() Message { return new(End) },
	"failed":          func() Message { return new(Failed) },
	"cancel":          func() Message { return new(Cancel) },
	"cancelled":       func() Message { return new(Cancelled) },
	"resume":          func() Message { return new(Resume) },
	"hello":           func() Message { return new(Hello) },
	"heartbeat":       func() Message { return new(Heartbeat) },
	"leaving":         func() Message { return new(Leaving) },
	"state":           func() Message { return new(State) },
	"config-request":  func() Message { return new(ConfigRequest) },
	"config-manifest": func() Message { return new(ConfigManifest) },
	"config-shard":    func() Message { return new(ConfigShard) },
	"suspects":        func() Message { return new(Suspects) },
	"ticket-request":  func() Message { return new(TicketRequest) },
	"ticket":          func() Message { return new(Ticket) },
	"seal":            func() Message { return new(Seal) },
	"seal-request":    func() Message { return new(SealRequest) },
	"reserve":         func() Message { return new(Reserve) },
	"reserved":        func() Message { return new(Reserved) },
	"renew":           func() Message { return new(Renew) },
	"segment":         func() Message { return new(Segment) },
	"prefilled":       func() Message { return new(Prefilled) },
	"hand-over":       func() Message { return new(FetchCaches) },
	"handed-over":     func() Message { return new(CachesFetched) },
}

// WireName returns the wire name of a message.
func WireName(m Message) string {
	switch m.(type) {
	case *Offer:
		return "offer"
	case *Granted:
		return "granted"
	case *Queued:
		return "queued"
	case *Refused:
		return "refused"
	case *Head:
		return "head"
	case *Piece:
		return "piece"
	case *End:
		return "end"
	case *Failed:
		return "failed"
	case *Cancel:
		return "cancel"
	case *Cancelled:
		return "cancelled"
	case *Resume:
		return "resume"
	case *Hello:
		return "hello"
	case *Heartbeat:
		return "heartbeat"
	case *Leaving:
		return "leaving"
	case *State:
		return "state"
	case *ConfigRequest:
		return "config-request"
	case *ConfigManifest:
		return "config-manifest"
	case *ConfigShard:
		return "config-shard"
	case *Suspects:
		return "suspects"
	case *TicketRequest:
		return "ticket-request"
	case *Ticket:
		return "ticket"
	case *Seal:
		return "seal"
	case *SealRequest:
		return "seal-request"
	case *Reserve:
		return "reserve"
	case *Reserved:
		return "reserved"
	case *Renew:
		return "renew"
	case *Segment:
		return "segment"
	case *Prefilled:
		return "prefilled"
	case *FetchCaches:
		return "hand-over"
	case *CachesFetched:
		return "handed-over"
	}
	return ""
}

// Encode encodes a message as a frame.
func Encode(m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindMalformed, Err: err}
	}
	frame, err := cbor.Marshal(envelope{Type: WireName(m), Body: body})
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindMalformed, Err: err}
	}
	return frame, nil
}

// Decode decodes the message in a frame. For an unknown message type it returns an Error of KindMalformed.
func Decode(frame []byte) (Message, error) {
	var e envelope
	if err := decoder.Unmarshal(frame, &e); err != nil {
		return nil, &Error{Op: "decode", Kind: KindMalformed, Err: err}
	}
	construct, ok := messageConstructors[e.Type]
	if !ok {
		return nil, &Error{Op: "decode", Kind: KindMalformed, Err: errors.Errorf("unknown message type %q", e.Type)}
	}
	m := construct()
	if err := decoder.Unmarshal(e.Body, m); err != nil {
		return nil, &Error{Op: "decode " + e.Type, Kind: KindMalformed, Err: err}
	}
	return m, nil
}
