package booking

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"berylward.example/berylward/pkg/answer"
)

type requestMessage struct {
	Service     string         `cbor:"service"`
	From        string         `cbor:"from"`
	Incarnation uuid.UUID      `cbor:"incarnation"`
	To          string         `cbor:"to"`
	Address     netip.AddrPort `cbor:"address"`
	Epoch       uint64         `cbor:"epoch"`
	After       []byte         `cbor:"after,omitempty"`
	Sender      uuid.UUID      `cbor:"sender"`
	Keys        [][]byte       `cbor:"keys,omitempty"`
}

type sealMessage struct {
	Service     string         `cbor:"service"`
	From        string         `cbor:"from"`
	Incarnation uuid.UUID      `cbor:"incarnation"`
	To          string         `cbor:"to"`
	Receiver    uuid.UUID      `cbor:"receiver"`
	Epoch       uint64         `cbor:"epoch"`
	AgeMS       int64          `cbor:"age-ms"`
	Answers     []entryMessage `cbor:"answers,omitempty"`
	Same        bool           `cbor:"same"`
	After       []byte         `cbor:"after,omitempty"`
	Entries     []entryMessage `cbor:"entries,omitempty"`
	Last        bool           `cbor:"last"`
}

type entryMessage struct {
	Name        []byte      `cbor:"name"`
	Fingerprint Fingerprint `cbor:"fingerprint"`
	State       string      `cbor:"state"`
	RemainingMS int64       `cbor:"remaining-ms"`
	Reason      string      `cbor:"reason,omitempty"`
	Status      int         `cbor:"status,omitempty"`
	ContentType string      `cbor:"content-type,omitempty"`
	Body        []byte      `cbor:"body,omitempty"`
}

type ticketMessage struct {
	Service     string    `cbor:"service"`
	Worker      string    `cbor:"worker"`
	Incarnation uuid.UUID `cbor:"incarnation"`
	Sequence    uint64    `cbor:"sequence"`
	IssuedMS    int64     `cbor:"issued-ms"`
	ExpiresMS   int64     `cbor:"expires-ms"`
}

const (
	wireDone    = "done"
	wireUnknown = "unknown"
	wireRunning = "running"
	wireNone    = "none"
)

// ceilMS rounds up, so that an expiry does not become earlier in transit.
func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// floorMS rounds down, so that a start time does not become earlier in transit.
func floorMS(d time.Duration) int64 { return int64(d / time.Millisecond) }

// EncodeSealRequest returns the CBOR form of a seal request.
func EncodeSealRequest(r SealRequest) ([]byte, error) {
	m := requestMessage{
		Service: r.Service, From: r.From, Incarnation: r.Incarnation, To: r.To.Name, Address: r.To.Address,
		Epoch: r.Epoch, After: []byte(r.After), Sender: r.Sender,
	}
	for _, k := range r.Keys {
		m.Keys = append(m.Keys, []byte(k))
	}
	return cbor.Marshal(m)
}

// DecodeSealRequest decodes a seal request. It fills only the name and the address of To.
func DecodeSealRequest(data []byte) (SealRequest, error) {
	var m requestMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return SealRequest{}, &Error{Op: "decode request", Kind: KindMalformed, Err: err}
	}
	if len(m.Keys) > maxRequestKeys {
		return SealRequest{}, &Error{Op: "decode request", Kind: KindMalformed, Err: errors.New("too many keys in request")}
	}
	r := SealRequest{
		Service: m.Service, From: m.From, Incarnation: m.Incarnation,
		To: Worker{Name: m.To, Address: m.Address}, Epoch: m.Epoch, After: string(m.After), Sender: m.Sender,
	}
	for _, k := range m.Keys {
		r.Keys = append(r.Keys, string(k))
	}
	return r, nil
}

// EncodeSeal returns the CBOR form of a seal.
func EncodeSeal(s Seal) ([]byte, error) {
	return cbor.Marshal(sealMessage{
		Service: s.Service, From: s.From, Incarnation: s.Incarnation, To: s.To, Receiver: s.Receiver,
		Epoch: s.Epoch, AgeMS: floorMS(s.Age), Answers: entriesToWire(s.Answers), Same: s.SameEpoch,
		After: []byte(s.After), Entries: entriesToWire(s.Entries), Last: s.Last,
	})
}

// DecodeSeal decodes a seal.
func DecodeSeal(data []byte) (Seal, error) {
	var m sealMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Seal{}, &Error{Op: "decode seal", Kind: KindMalformed, Err: err}
	}
	answers, err := entriesFromWire(m.Answers)
	if err != nil {
		return Seal{}, err
	}
	entries, err := entriesFromWire(m.Entries)
	if err != nil {
		return Seal{}, err
	}
	age, err := fromMS(m.AgeMS)
	return Seal{
		Service: m.Service, From: m.From, Incarnation: m.Incarnation, To: m.To, Receiver: m.Receiver,
		Epoch: m.Epoch, Age: age, Answers: answers, SameEpoch: m.Same, After: string(m.After), Entries: entries,
		Last: m.Last,
	}, err
}

func fromMS(ms int64) (time.Duration, error) {
	if ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		return 0, &Error{Op: "decode", Kind: KindMalformed, Err: errors.New("duration out of range")}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func entriesToWire(entries []SealEntry) []entryMessage {
	var out []entryMessage
	for _, se := range entries {
		m := entryMessage{Name: []byte(se.Name), Fingerprint: se.Fingerprint, RemainingMS: ceilMS(se.Remaining)}
		switch o := se.Outcome.(type) {
		case SealDone:
			m.State, m.Status, m.ContentType, m.Body = wireDone, o.Answer.Status, o.Answer.ContentType, o.Answer.Body
		case SealUnknown:
			m.State, m.Reason = wireUnknown, string(o.Reason)
		case SealRunning:
			m.State = wireRunning
		case SealNone:
			m.State = wireNone
		}
		out = append(out, m)
	}
	return out
}

func entriesFromWire(messages []entryMessage) ([]SealEntry, error) {
	var out []SealEntry
	for _, m := range messages {
		remaining, err := fromMS(m.RemainingMS)
		if err != nil {
			return nil, err
		}
		se := SealEntry{Name: string(m.Name), Fingerprint: m.Fingerprint, Remaining: remaining}
		switch m.State {
		case wireDone:
			se.Outcome = SealDone{Answer{Status: m.Status, ContentType: m.ContentType, Body: m.Body}}
		case wireUnknown:
			se.Outcome = SealUnknown{answer.Reason(m.Reason)}
		case wireRunning:
			se.Outcome = SealRunning{}
		case wireNone:
			se.Outcome = SealNone{}
		default:
			return nil, &Error{Op: "decode seal", Kind: KindMalformed, Err: errors.New("unknown state " + m.State)}
		}
		out = append(out, se)
	}
	return out, nil
}

// maxTokenLength is the maximum length of an encoded ticket in bytes, checked before decoding.
const maxTokenLength = 2048

func encodeTicket(t Ticket, key []byte) (string, error) {
	payload, err := cbor.Marshal(ticketMessage{
		Service: t.Service, Worker: t.Worker, Incarnation: t.Incarnation, Sequence: t.Sequence,
		IssuedMS: t.Issued.UnixMilli(), ExpiresMS: t.Expires.UnixMilli(),
	})
	if err != nil {
		return "", &Error{Op: "encode ticket", Kind: KindMalformed, Err: err}
	}
	return base64.RawURLEncoding.EncodeToString(append(sign(payload, key), payload...)), nil
}

// splitTicket returns the MAC and the payload of a token without verifying either.
func splitTicket(token string) (mac, payload []byte, err error) {
	if len(token) > maxTokenLength {
		return nil, nil, &Error{Op: "decode ticket", Kind: KindMalformed, Err: errors.New("token too long")}
	}
	data, err := base64.RawURLEncoding.DecodeString(token)
	if err == nil && len(data) < sha256.Size {
		err = errors.New("token shorter than its MAC")
	}
	if err != nil {
		return nil, nil, &Error{Op: "decode ticket", Kind: KindMalformed, Err: err}
	}
	return data[:sha256.Size], data[sha256.Size:], nil
}

func decodeTicket(payload []byte) (Ticket, error) {
	var m ticketMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return Ticket{}, &Error{Op: "decode ticket", Kind: KindMalformed, Err: err}
	}
	return Ticket{
		Service: m.Service, Worker: m.Worker, Incarnation: m.Incarnation, Sequence: m.Sequence,
		Issued: time.UnixMilli(m.IssuedMS), Expires: time.UnixMilli(m.ExpiresMS),
	}, nil
}

// ParseTicket decodes a ticket without verifying its MAC. An entry process uses it to find the worker that issued the
// ticket; that worker's table verifies it.
func ParseTicket(token string) (Ticket, error) {
	_, payload, err := splitTicket(token)
	if err != nil {
		return Ticket{}, err
	}
	t, err := decodeTicket(payload)
	t.Token = token
	return t, err
}
