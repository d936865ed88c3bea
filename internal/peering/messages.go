package peering

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// KindMessage means that a datagram is malformed.
const KindMessage ErrorKind = "message"

// Error reports a malformed datagram.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("peering: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	// maxLoads keeps a datagram below about 1,400 bytes, so that networks do not fragment it.
	maxLoads = 48
	// maxLoadsRanked takes the place of maxLoads in a datagram that holds the engine time of workspaces.
	maxLoadsRanked = 35
	// maxUsages limits the number of services whose retry usage a datagram holds.
	maxUsages = 16
	// maxCount and maxMilliseconds limit the numbers accepted in a received datagram.
	maxCount        = 1 << 20
	maxMilliseconds = 3600 * 1000
)

// stateMessage and its parts are arrays on the wire, because gateways exchange many of them and traffic between zones
// is expensive.
type stateMessage struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Sequence    uint64
	Zone        string
	Stopping    bool
	Members     []netip.AddrPort
	Loads       []loadMessage
	RetryUsage  []usageMessage
	Requests    []byte
	Stamp       uint64
	Held        []heldMessage
	Work        []workMessage
	Parts       []byte
	Running     []runningMessage
	Version     int64
	Era         int64
	ServersOut  []outMessage
	ZonesOut    []string
	Paces       []paceMessage
}

type outMessage struct {
	_        struct{} `cbor:",toarray"`
	Key      uint32
	Sequence int64
}

// proofMessage follows the state in the same datagram. It is a message of its own because it differs by recipient.
type proofMessage struct {
	_           struct{} `cbor:",toarray"`
	Version     int64
	Incarnation uint64
	Stamp       uint64
	DelayMS     uint32
	Revision    int64
	Era         int64
}

type usageMessage struct {
	_        struct{} `cbor:",toarray"`
	Service  uint32
	Requests uint32
	Retries  uint32
}

type loadMessage struct {
	_                struct{} `cbor:",toarray"`
	Key              uint32
	Short            uint32
	Long             uint32
	PendingPrefillMS uint32
	// Memory is in units of 1,000 tokens.
	Memory  uint32
	AvoidMS uint32
	Urgent  uint32
}

// Encode returns the first part of a datagram, which holds the state. If there are more loads than fit, it keeps the
// largest.
func Encode(s State) ([]byte, error) {
	loads, limit := s.Loads, maxLoadsBeside(len(s.Paces))
	if len(s.Workspaces) > 0 {
		limit -= maxLoads - maxLoadsRanked
	}
	if len(loads) > limit {
		loads = slices.Clone(loads)
		slices.SortFunc(loads, func(a, b dispatch.Load) int {
			return cmp.Or(cmp.Compare(b.PendingPrefill, a.PendingPrefill), cmp.Compare(b.Short+b.Long, a.Short+a.Long))
		})
		loads = loads[:limit]
	}
	m := stateMessage{
		Incarnation: s.Incarnation, Sequence: s.Sequence, Zone: s.Zone, Stopping: s.Stopping,
		Members: s.Members, Requests: s.Requests, Parts: s.Parts, Stamp: s.Stamp, Version: s.Version, Era: s.Era, ZonesOut: s.Out.Zones,
		Loads: make([]loadMessage, 0, len(loads)), Held: encodeHeld(s.Held), Work: encodeWork(s.Work, s.Workspaces), Running: encodeRunning(s.Running),
		Paces: encodePaces(s.Paces),
	}
	for _, l := range loads {
		m.Loads = append(m.Loads, loadMessage{
			Key: uint32(l.Key), Short: uint32(l.Short), Long: uint32(l.Long), PendingPrefillMS: uint32(l.PendingPrefill.Milliseconds()),
			Memory: uint32(l.Memory / 1000), AvoidMS: uint32(l.AvoidFor.Milliseconds()), Urgent: uint32(l.Urgent),
		})
	}
	for _, out := range s.Out.Servers {
		m.ServersOut = append(m.ServersOut, outMessage{Key: out.Key, Sequence: out.Sequence})
	}
	for _, u := range s.RetryUsage[:min(len(s.RetryUsage), maxUsages)] {
		m.RetryUsage = append(m.RetryUsage, usageMessage{Service: uint32(u.Service), Requests: uint32(u.Requests), Retries: uint32(u.Retries)})
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindMessage, Err: err}
	}
	return data, nil
}

// EncodeProof returns the second part of a datagram, which holds the proof for its recipient.
func EncodeProof(p Proof) ([]byte, error) {
	data, err := cbor.Marshal(proofMessage{
		Version: p.Version, Incarnation: p.Incarnation, Stamp: p.Stamp, DelayMS: uint32(p.Delay.Milliseconds()), Revision: p.Revision,
		Era: p.Era,
	})
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindMessage, Err: err}
	}
	return data, nil
}

// Decode decodes a datagram.
func Decode(data []byte) (State, Proof, error) {
	var m stateMessage
	rest, err := cbor.UnmarshalFirst(data, &m)
	if err != nil {
		return State{}, Proof{}, &Error{Op: "decode", Kind: KindMessage, Err: err}
	}
	var p proofMessage
	if err := cbor.Unmarshal(rest, &p); err != nil {
		return State{}, Proof{}, &Error{Op: "decode", Kind: KindMessage, Err: err}
	}
	if p.DelayMS > maxMilliseconds {
		return State{}, Proof{}, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("proof delay out of range")}
	}
	proof := Proof{
		Version: p.Version, Incarnation: p.Incarnation, Stamp: p.Stamp, Delay: time.Duration(p.DelayMS) * time.Millisecond,
		Revision: p.Revision, Era: p.Era,
	}
	s := State{
		Incarnation: m.Incarnation, Sequence: m.Sequence, Zone: m.Zone, Stopping: m.Stopping,
		Members: m.Members, Requests: m.Requests, Parts: m.Parts, Stamp: m.Stamp, Version: m.Version, Era: m.Era, Out: roster.OutReport{Zones: m.ZonesOut},
		Loads: make([]dispatch.Load, 0, len(m.Loads)),
	}
	for _, l := range m.Loads {
		if l.Short > maxCount || l.Long > maxCount || l.Urgent > maxCount || l.PendingPrefillMS > maxMilliseconds || l.AvoidMS > maxMilliseconds {
			return State{}, Proof{}, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("load out of range")}
		}
		s.Loads = append(s.Loads, dispatch.Load{
			Key: dispatch.Key(l.Key), Short: int(l.Short), Long: int(l.Long),
			PendingPrefill: time.Duration(l.PendingPrefillMS) * time.Millisecond, Memory: int64(l.Memory) * 1000,
			AvoidFor: time.Duration(l.AvoidMS) * time.Millisecond, Urgent: int(l.Urgent),
		})
	}
	for _, out := range m.ServersOut {
		s.Out.Servers = append(s.Out.Servers, roster.ServerOut{Key: out.Key, Sequence: out.Sequence})
	}
	if s.Held, err = decodeHeld(m.Held); err != nil {
		return State{}, Proof{}, err
	}
	if s.Work, err = decodeWork(m.Work); err != nil {
		return State{}, Proof{}, err
	}
	if s.Running, err = decodeRunning(m.Running); err != nil {
		return State{}, Proof{}, err
	}
	if s.Workspaces, err = decodeWorkspaces(m.Work); err != nil {
		return State{}, Proof{}, err
	}
	if s.Paces, err = decodePaces(m.Paces); err != nil {
		return State{}, Proof{}, err
	}
	for _, u := range m.RetryUsage {
		if u.Requests > maxCount || u.Retries > maxCount {
			return State{}, Proof{}, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("retry usage out of range")}
		}
		s.RetryUsage = append(s.RetryUsage, dispatch.RetryUsage{Service: dispatch.Key(u.Service), Requests: int(u.Requests), Retries: int(u.Retries)})
	}
	return s, proof, nil
}
