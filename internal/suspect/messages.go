package suspect

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

type markMessage struct {
	Fingerprint Fingerprint `cbor:"fingerprint"`
	Incarnation uuid.UUID   `cbor:"incarnation"`
	Sequence    uint64      `cbor:"sequence"`
	Role        CrashRole   `cbor:"role"`
	RemainingMS int64       `cbor:"remaining-ms"`
}

// EncodeMarks returns marks in the CBOR form of a `suspects` message.
func EncodeMarks(marks []Mark) ([]byte, error) {
	out := make([]markMessage, 0, len(marks))
	for _, m := range marks {
		out = append(out, markMessage{
			Fingerprint: m.Fingerprint, Incarnation: m.Crash.Incarnation, Sequence: m.Crash.Sequence,
			Role: m.Role, RemainingMS: m.Remaining.Milliseconds(),
		})
	}
	return cbor.Marshal(out)
}

// maxRemainingMS limits the remaining lifetime in a received mark to one year, so that it cannot overflow a duration.
const maxRemainingMS = 365 * 24 * 3600 * 1000

// DecodeMarks returns the marks of a `suspects` message in CBOR form.
func DecodeMarks(data []byte) ([]Mark, error) {
	var in []markMessage
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, &Error{Op: "decode", Kind: KindMessage, Err: err}
	}
	out := make([]Mark, 0, len(in))
	for _, m := range in {
		if m.Role < RolePlain || m.Role > RoleIsolated || m.RemainingMS < 0 || m.RemainingMS > maxRemainingMS {
			return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("field out of range")}
		}
		out = append(out, Mark{
			Fingerprint: m.Fingerprint, Crash: CrashID{Incarnation: m.Incarnation, Sequence: m.Sequence},
			Role: m.Role, Remaining: time.Duration(m.RemainingMS) * time.Millisecond,
		})
	}
	return out, nil
}
