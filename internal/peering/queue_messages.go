package peering

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/route"
)

const (
	// maxHeld limits the held prompts in a datagram, maxWork the services and ranks whose work it holds.
	maxHeld = 12
	maxWork = 3
	// maxRunning limits the entries of running short prompts, by service and rank.
	maxRunning = 8
	// workUnit is the resolution of the work by length. It is coarse because only the proportions matter.
	workUnit = 100 * time.Millisecond
)

type heldMessage struct {
	_         struct{} `cbor:",toarray"`
	Service   uint32
	WaitedMS  uint32
	PrefillMS uint32
	Rank      uint16
	Workspace uint32
}

type workMessage struct {
	_         struct{} `cbor:",toarray"`
	Service   uint32
	PendingMS uint32
	// Admitted and Sent are in units of workUnit.
	Admitted, Sent [dispatch.LengthClasses]uint32
	Rank           uint16
	Workspaces     []workspaceMessage
}

type runningMessage struct {
	_        struct{} `cbor:",toarray"`
	Service  uint32
	Rank     uint16
	Requests uint32
}

func encodeRunning(running []dispatch.RunningShort) []runningMessage {
	messages := make([]runningMessage, 0, len(running))
	for _, r := range running[:min(len(running), maxRunning)] {
		messages = append(messages, runningMessage{Service: uint32(r.Service), Rank: uint16(r.Rank), Requests: uint32(min(r.Requests, maxCount))})
	}
	return messages
}

func decodeRunning(messages []runningMessage) ([]dispatch.RunningShort, error) {
	if len(messages) > maxRunning {
		return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("running prompts of too many ranks")}
	}
	var running []dispatch.RunningShort
	for _, r := range messages {
		if r.Requests > maxCount {
			return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("running prompts out of range")}
		}
		running = append(running, dispatch.RunningShort{Service: dispatch.Key(r.Service), Rank: route.Rank(r.Rank), Requests: int(r.Requests)})
	}
	return running, nil
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
			Service: uint32(h.Service), WaitedMS: milliseconds(h.Waited), PrefillMS: milliseconds(h.Prefill), Rank: uint16(h.Rank),
			Workspace: uint32(h.Workspace),
		})
	}
	return messages
}

// encodeWork returns the messages for the work of services. If there are more services than fit, it keeps those with the
// most.
func encodeWork(work []dispatch.LongWork, times []dispatch.WorkspaceTime) []workMessage {
	if len(work) > maxWork {
		work = slices.Clone(work)
		slices.SortFunc(work, func(a, b dispatch.LongWork) int { return cmp.Compare(b.Admitted.Total(), a.Admitted.Total()) })
		work = work[:maxWork]
	}
	messages := make([]workMessage, 0, len(work))
	times = times[:min(len(times), maxWorkspaces)]
	for _, w := range work {
		m := workMessage{Service: uint32(w.Service), PendingMS: milliseconds(w.Pending), Rank: uint16(w.Rank), Workspaces: encodeWorkspaces(w, times)}
		for c := range dispatch.LengthClasses {
			m.Admitted[c], m.Sent[c] = workUnits(w.Admitted[c]), workUnits(w.Sent[c])
		}
		messages = append(messages, m)
	}
	return messages
}

// milliseconds returns a duration within the bounds that decodeHeld accepts.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), maxMilliseconds))
}

// workUnits returns a duration in units of workUnit, rounded, within the bounds that decodeWork accepts.
func workUnits(d time.Duration) uint32 {
	return uint32(min(max((d+workUnit/2)/workUnit, 0), maxCount))
}

func decodeHeld(messages []heldMessage) ([]dispatch.HeldPrompt, error) {
	if len(messages) > maxHeld {
		return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("queue too long")}
	}
	held := make([]dispatch.HeldPrompt, 0, len(messages))
	for _, h := range messages {
		if h.WaitedMS > maxMilliseconds || h.PrefillMS > maxMilliseconds {
			return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("held prompt out of range")}
		}
		held = append(held, dispatch.HeldPrompt{
			Service: dispatch.Key(h.Service), Rank: route.Rank(h.Rank), Workspace: dispatch.Key(h.Workspace), Waited: time.Duration(h.WaitedMS) * time.Millisecond, Prefill: time.Duration(h.PrefillMS) * time.Millisecond,
		})
	}
	return held, nil
}

func decodeWork(messages []workMessage) ([]dispatch.LongWork, error) {
	if len(messages) > maxWork {
		return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("work of too many services")}
	}
	work := make([]dispatch.LongWork, 0, len(messages))
	for _, m := range messages {
		if m.PendingMS > maxMilliseconds {
			return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("pending prefill out of range")}
		}
		w := dispatch.LongWork{Service: dispatch.Key(m.Service), Rank: route.Rank(m.Rank), Pending: time.Duration(m.PendingMS) * time.Millisecond}
		for c := range dispatch.LengthClasses {
			if m.Admitted[c] > maxCount || m.Sent[c] > maxCount {
				return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("work out of range")}
			}
			w.Admitted[c], w.Sent[c] = time.Duration(m.Admitted[c])*workUnit, time.Duration(m.Sent[c])*workUnit
		}
		work = append(work, w)
	}
	return work, nil
}
