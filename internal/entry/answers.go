package entry

import (
	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/pkg/answer"
)

// growthFactor is the memory that a buffer takes, times its length, while it grows.
const growthFactor = 2

// holdAnswer reserves the memory for an answer of size bytes. It returns a body.Error if there is none.
func holdAnswer(held *body.Reservation, size int) error {
	return held.Resize(growthFactor * int64(size))
}

// notHeld reports whether an answer could not be delivered because this process could not hold it.
func notHeld(err error) bool {
	var limit *body.Error
	var failure *Error
	return errors.As(err, &limit) || errors.As(err, &failure) && failure.Kind == KindRequest
}

// countNotHeld counts an answer that could not be delivered because this process could not hold it.
func (e *Entry) countNotHeld(err error) {
	if notHeld(err) {
		e.metrics.Add("answers-not-held", 1)
	}
}

// deliveryReason returns the reason for ending a request whose answer could not be delivered: the entry could not hold it, or the
// caller has left.
func deliveryReason(err error) answer.Reason {
	if notHeld(err) {
		return answer.ReasonBrokenAnswer
	}
	return answer.ReasonCancelled
}
