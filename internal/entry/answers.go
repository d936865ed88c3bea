package entry

import (
	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/pkg/answer"
)

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
