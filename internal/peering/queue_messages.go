package peering

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/dispatch"
)

const (
	// maxHeld limits the held prompts in a datagram, maxOffered the services whose offered prefill it holds.
	maxHeld    = 12
	maxOffered = 8
)

type heldMessage struct {
	_         struct{} `cbor:",toarray"`
	Service   uint32
	Route     uint32
	WaitedMS  uint32
	PrefillMS uint32
	Due       bool
}

type offeredMessage struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	HeavyMS uint32
	TotalMS uint32
}

// encodeHeld returns the messages for held prompts. If there are more than fit, it keeps the oldest, which are sent
// first.
func encodeHeld(held []dispatch.HeldPrompt) []heldMessage {
	if len(held) > maxHeld {
		held = slices.Clone(held)
		slices.SortFunc(held, func(a, b dispatch.HeldPrompt) int { return cmp.Compare(b.Waited, a.Waited) })
		held = held[:maxHeld]
	}
	messages := make([]heldMessage, 0, len(held))
	for _, h := range held {
		messages = append(messages, heldMessage{
			Service: uint32(h.Service), Route: uint32(h.Route), WaitedMS: milliseconds(h.Waited), PrefillMS: milliseconds(h.Prefill), Due: h.Due,
		})
	}
	return messages
}

// encodeOffered returns the messages for offered prefill. If there are more services than fit, it keeps those with the
// most.
func encodeOffered(offered []dispatch.OfferedPrefill) []offeredMessage {
	if len(offered) > maxOffered {
		offered = slices.Clone(offered)
		slices.SortFunc(offered, func(a, b dispatch.OfferedPrefill) int { return cmp.Compare(b.Total, a.Total) })
		offered = offered[:maxOffered]
	}
	messages := make([]offeredMessage, 0, len(offered))
	for _, o := range offered {
		messages = append(messages, offeredMessage{Service: uint32(o.Service), HeavyMS: milliseconds(o.Heavy), TotalMS: milliseconds(o.Total)})
	}
	return messages
}

// milliseconds returns a duration within the bounds that decodeQueue accepts.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), maxMilliseconds))
}

func decodeQueue(held []heldMessage, offered []offeredMessage) ([]dispatch.HeldPrompt, []dispatch.OfferedPrefill, error) {
	if len(held) > maxHeld || len(offered) > maxOffered {
		return nil, nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("queue too long")}
	}
	prompts := make([]dispatch.HeldPrompt, 0, len(held))
	for _, h := range held {
		if h.WaitedMS > maxMilliseconds || h.PrefillMS > maxMilliseconds {
			return nil, nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("held prompt out of range")}
		}
		prompts = append(prompts, dispatch.HeldPrompt{
			Service: dispatch.Key(h.Service), Route: dispatch.Key(h.Route), Waited: time.Duration(h.WaitedMS) * time.Millisecond,
			Prefill: time.Duration(h.PrefillMS) * time.Millisecond, Due: h.Due,
		})
	}
	services := make([]dispatch.OfferedPrefill, 0, len(offered))
	for _, o := range offered {
		if o.HeavyMS > o.TotalMS || o.TotalMS > maxMilliseconds {
			return nil, nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("offered prefill out of range")}
		}
		services = append(services, dispatch.OfferedPrefill{
			Service: dispatch.Key(o.Service), Heavy: time.Duration(o.HeavyMS) * time.Millisecond, Total: time.Duration(o.TotalMS) * time.Millisecond,
		})
	}
	return prompts, services, nil
}
