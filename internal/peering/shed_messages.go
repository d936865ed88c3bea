package peering

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/dispatch"
)

const (
	// maxShed limits the routes in a datagram whose refused prompts it holds.
	maxShed = 4
	// shedUnit is the resolution of the counts, which are fractions because old events count less.
	shedUnit = 0.25
)

type shedMessage struct {
	_                struct{} `cbor:",toarray"`
	Route            uint32
	Arrived, Refused [dispatch.LengthClasses]uint32
}

// encodeShed returns the messages for refused prompts. If there are more routes than fit, it keeps those with the most
// refusals.
func encodeShed(shed []dispatch.ShedCounts) []shedMessage {
	if len(shed) > maxShed {
		shed = slices.Clone(shed)
		slices.SortFunc(shed, func(a, b dispatch.ShedCounts) int {
			return cmp.Or(cmp.Compare(b.TotalRefused(), a.TotalRefused()), cmp.Compare(b.TotalArrived(), a.TotalArrived()))
		})
		shed = shed[:maxShed]
	}
	messages := make([]shedMessage, 0, len(shed))
	for _, s := range shed {
		m := shedMessage{Route: uint32(s.Route)}
		for c := range dispatch.LengthClasses {
			m.Arrived[c], m.Refused[c] = shedUnits(s.Arrived[c]), shedUnits(s.Refused[c])
		}
		messages = append(messages, m)
	}
	return messages
}

func shedUnits(count float64) uint32 { return uint32(min(max(count/shedUnit, 0), maxCount)) }

func decodeShed(messages []shedMessage) ([]dispatch.ShedCounts, error) {
	if len(messages) > maxShed {
		return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("too many routes with refused prompts")}
	}
	shed := make([]dispatch.ShedCounts, 0, len(messages))
	for _, m := range messages {
		s := dispatch.ShedCounts{Route: dispatch.Key(m.Route)}
		for c := range dispatch.LengthClasses {
			if m.Arrived[c] > maxCount || m.Refused[c] > maxCount {
				return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("refused prompts out of range")}
			}
			s.Arrived[c], s.Refused[c] = float64(m.Arrived[c])*shedUnit, float64(m.Refused[c])*shedUnit
		}
		shed = append(shed, s)
	}
	return shed, nil
}
