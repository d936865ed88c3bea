package sidecar

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

const (
	// requestShare, answerShare and cacheShare are the shares of the memory limit that requests, answers and the caches of
	// joint prefills may take. What is decoded from a cache and encoded again takes about as much each.
	requestShare = 0.15
	answerShare  = 0.25
	cacheShare   = 0.1
	// sendWindowBytes bounds the parts of one answer in bytes that were received from the backend server and not written to the link yet.
	// A backend server that sends faster than its entry reads has to wait.
	sendWindowBytes = 128 << 10
)

// budgets bound the bytes that the bodies of all requests take together. They have no limit without a memory limit.
type budgets struct {
	// requests holds the requests that have not ended.
	requests *body.Budget
	// answers holds the answers of requests whose records are kept.
	answers *body.Budget
	// caches holds caches while they are passed on.
	caches *body.Budget
}

// newBudgets returns the budgets for a memory limit in bytes; zero means that there is none.
func newBudgets(memoryLimit int64) budgets {
	share := func(s float64) *body.Budget { return body.NewBudget(int64(s * float64(memoryLimit))) }
	return budgets{requests: share(requestShare), answers: share(answerShare), caches: share(cacheShare)}
}

// sendWindow bounds the parts of one answer that wait to be sent.
type sendWindow struct{ unsent *semaphore.Weighted }

func newSendWindow() sendWindow { return sendWindow{semaphore.NewWeighted(sendWindowBytes)} }

// cost returns what a part takes of the window. A part larger than the window takes all of it.
func (sendWindow) cost(part []byte) int64 { return min(int64(len(part)), sendWindowBytes) }

// release gives back what a part has taken.
func (w sendWindow) release(part []byte) { w.unsent.Release(w.cost(part)) }

// postData passes a part of an answer to the backend goroutine, which releases it in its window. It blocks while the window is full,
// at most until ctx ends.
func (b *backend) postData(ctx context.Context, e streamData) error {
	if err := e.window.unsent.Acquire(ctx, e.window.cost(e.data)); err != nil {
		return err
	}
	if err := b.postEvent(e); err != nil {
		e.window.release(e.data)
		return err
	}
	return nil
}

// holdRequest reserves the memory for the content of a request, and reports whether there was enough.
func (b *backend) holdRequest(s *stream) bool {
	size := 0
	if p := s.offer.Prompt; p != nil {
		size = len(p.Text) + len(p.Delivered) + len(p.Parameters)
	}
	if c := s.offer.Call; c != nil {
		size = len(c.Body)
	}
	s.heldRequest = b.budgets.requests.Reserve()
	if err := s.heldRequest.Resize(int64(size)); err != nil {
		b.metrics.Add("requests-no-memory", 1)
		b.log.Info("request refused: no memory for it", "id", s.id.String(), "bytes", size, "held-bytes", b.budgets.requests.Usage().Used)
		return false
	}
	return true
}

// releaseRequest drops the content of a request that has ended. Its backend call may still use it.
func (s *stream) releaseRequest() {
	if p := s.offer.Prompt; p != nil {
		p.Text, p.Delivered, p.Parameters = "", "", nil
	}
	if c := s.offer.Call; c != nil {
		c.Body = nil
	}
	if s.heldRequest != nil {
		s.heldRequest.Release()
	}
}

// holdAnswer reserves the memory for more bytes of an answer. If there is too little, the answers of ended requests make room, the
// one that ended first before others: they are only kept for entries that have lost their link.
func (b *backend) holdAnswer(s *stream, more int) error {
	size := len(s.buffer) + more
	if size > maxAnswerBytes {
		return &body.Error{Op: "hold answer", Kind: body.KindTooLarge, Size: int64(size), Limit: maxAnswerBytes}
	}
	if s.heldAnswer == nil {
		s.heldAnswer = b.budgets.answers.Reserve()
	}
	for {
		err := s.heldAnswer.ResizeFor(size)
		if err == nil {
			return nil
		}
		oldest := b.oldestAnswer()
		if oldest == nil {
			return err
		}
		b.metrics.Add("answers-dropped", 1)
		oldest.releaseAnswer()
	}
}

// oldestAnswer returns the request that ended first among those whose answers take memory, or nil.
func (b *backend) oldestAnswer() *stream {
	var oldest *stream
	for _, s := range b.streams {
		if s.ended && s.heldAnswer != nil && (oldest == nil || s.endedAt.Before(oldest.endedAt)) {
			oldest = s
		}
	}
	return oldest
}

// forget drops the record of a request.
func (b *backend) forget(s *stream) {
	delete(b.streams, s.id)
	s.releaseRequest()
	s.releaseAnswer()
}

// releaseAnswer drops the answer of a request that has ended. An entry that has not received all of it cannot get the rest.
func (s *stream) releaseAnswer() {
	s.buffer = nil
	if s.heldAnswer != nil {
		s.heldAnswer.Release()
		s.heldAnswer = nil
	}
}

// lastMessageFrom returns the last message for an entry that has received the answer up to an offset.
func (s *stream) lastMessageFrom(offset int64) link.Message {
	if end, ok := s.lastMessage.(*link.End); ok && len(s.buffer) == 0 && offset < end.Length {
		return &link.Failed{ID: s.wireID, Reason: answer.ReasonBrokenAnswer}
	}
	return s.lastMessage
}

// failNotHeld ends a request whose answer cannot be held, because it is too large or there is no memory for it.
func (b *backend) failNotHeld(now time.Time, s *stream, err error) {
	var limit *body.Error
	if errors.As(err, &limit) && limit.Kind == body.KindTooLarge {
		b.metrics.Add("answers-too-large", 1)
	} else {
		b.metrics.Add("answers-no-memory", 1)
	}
	b.log.Info("answer not held", "id", s.id.String(), "error", err.Error(), "held-bytes", b.budgets.answers.Usage().Used)
	b.failStream(now, s, answer.ReasonBrokenAnswer, false)
}
