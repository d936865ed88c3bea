package entry

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

// goneCaller fails every write.
type goneCaller struct{ *httptest.ResponseRecorder }

func (goneCaller) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// Guards against answers that take memory without a bound for the whole process, and against a caller that is told that it has
// left when its answer could not be held.
func TestAnswersWithinBudget(t *testing.T) {
	const budget, other = 1 << 20, 64 << 10
	prompt := func(response http.ResponseWriter, stream bool) func(*body.Reservation) answerSink {
		return func(held *body.Reservation) answerSink {
			return &promptSink{work: &promptWork{}, held: held, out: &completionWriter{response: response, stream: stream}}
		}
	}
	service := func(held *body.Reservation) answerSink { return &serviceWriter{held: held} }
	cases := map[string]struct {
		sink   func(*body.Reservation) answerSink
		others int64 // other answers, each of which holds 64 KiB
		pieces int   // of 64 KiB
		reason answer.Reason
	}{
		"service, fits":                   {service, 0, 4, ""},
		"service, no memory":              {service, 15, 4, answer.ReasonBrokenAnswer},
		"service, larger than all memory": {service, 0, 200, answer.ReasonBrokenAnswer},
		"prompt, fits":                    {prompt(httptest.NewRecorder(), false), 0, 2, ""},
		"prompt, no memory":               {prompt(httptest.NewRecorder(), false), 15, 4, answer.ReasonBrokenAnswer},
		"stream, no memory":               {prompt(httptest.NewRecorder(), true), 15, 4, answer.ReasonBrokenAnswer},
		"stream, caller has left":         {prompt(goneCaller{httptest.NewRecorder()}, true), 0, 4, answer.ReasonCancelled},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			answers := body.NewBudget(budget)
			for range tc.others {
				assert.NilError(t, answers.Reserve().Resize(other))
			}
			held := answers.Reserve()
			sink := tc.sink(held)
			a := newAttempt(&peer{entry: &Entry{metrics: new(expvar.Map).Init(), clock: clock.RealClock{}, waiting: body.NewBudget(0)}}, answer.ID{Sequence: 1, Attempt: 1})
			assert.NilError(t, sink.setHead(http.StatusOK, nil))
			var result attemptResult
			piece := strings.Repeat("a", 64<<10)
			for n := 0; n < tc.pieces && result == nil; n++ {
				result = a.handlePiece(&link.Piece{Offset: int64(n * len(piece)), Data: []byte(piece)}, sink)
			}
			var want attemptResult
			if tc.reason != "" {
				want = requestEnded{answer.Unknown{Reason: tc.reason}}
			}
			assert.Equal(t, result, want)
			assert.Assert(t, answers.Usage().Peak <= budget)
			held.Release()
			assert.Equal(t, answers.Usage().Used, other*tc.others)
		})
	}
}
