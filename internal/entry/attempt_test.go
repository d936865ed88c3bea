package entry

import (
	"expvar"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

// discardSink discards the answer.
type discardSink struct{}

func (discardSink) setHead(int, map[string][]string) error { return nil }
func (discardSink) deliver([]byte) error                   { return nil }

// Guards against a panic of the entry, or an answer passed on, when a sidecar of an earlier version passes on a status that does not
// exist.
func TestHandleHead(t *testing.T) {
	for name, tt := range map[string]struct {
		status int
		want   attemptResult
	}{
		"0":   {0, attemptFailed{reason: answer.ReasonBrokenAnswer, ran: true}},
		"99":  {99, attemptFailed{reason: answer.ReasonBrokenAnswer, ran: true}},
		"101": {101, attemptFailed{reason: answer.ReasonBrokenAnswer, ran: true}},
		"200": {200, nil},
		"599": {599, nil},
		"600": {600, attemptFailed{reason: answer.ReasonBrokenAnswer, ran: true}},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAttempt(&peer{entry: &Entry{metrics: new(expvar.Map).Init(), waiting: body.NewBudget(0)}}, answer.ID{Sequence: 1, Attempt: 1})
			assert.Equal(t, a.handleMessage(&link.Head{Status: tt.status}, discardSink{}), tt.want)
		})
	}
}

// Guards against a damaged answer that a later attempt completes, so that the caller takes it for a complete one.
func TestHandleEnd(t *testing.T) {
	const text = "confirmed"
	tests := map[string]struct {
		length int64
		digest uint64
		want   attemptResult
	}{
		"complete":     {int64(len(text)), xxhash.Sum64String(text), requestEnded{answer.Done{Length: int64(len(text)), Digest: xxhash.Sum64String(text)}}},
		"wrong digest": {int64(len(text)), 1, requestEnded{answer.Unknown{Reason: answer.ReasonBrokenAnswer}}},
		"truncated":    {int64(len(text)) + 1, 1, attemptFailed{reason: answer.ReasonBrokenAnswer, ran: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := newAttempt(&peer{entry: &Entry{metrics: new(expvar.Map).Init(), waiting: body.NewBudget(0)}}, answer.ID{Sequence: 1, Attempt: 1})
			assert.Assert(t, a.handlePiece(&link.Piece{Data: []byte(text)}, discardSink{}) == nil)
			assert.Equal(t, a.handleEnd(&link.End{Length: tt.length, Digest: tt.digest}), tt.want)
		})
	}
}
