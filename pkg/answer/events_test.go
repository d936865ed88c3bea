package answer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"berylward.example/berylward/pkg/answer"
)

// Guards against events that are cut, lost, repeated or reordered, however the stream is divided and wherever it goes on
// elsewhere.
func TestEventsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "events")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		event := func(n int) string { return fmt.Sprintf("id: %d%sdata: text %d%s%s", n, end, n, end, end) }
		want := ""
		for n := 1; n <= total; n++ {
			want += event(n)
		}
		var e answer.Events
		got := ""
		for {
			last, _ := e.Last()
			// The next source may repeat events that were delivered already.
			first := max(1, int(last)-rapid.IntRange(0, 2).Draw(t, "repeated"))
			rest := ""
			for n := first; n <= total; n++ {
				rest += event(n)
			}
			breaks := rapid.IntRange(0, len(rest)).Draw(t, "break")
			if rapid.Bool().Draw(t, "whole") {
				breaks = len(rest)
			}
			for at := 0; at < breaks; {
				n := min(rapid.IntRange(1, 40).Draw(t, "piece"), breaks-at)
				assert.NilError(t, e.Write([]byte(rest[at:at+n])))
				at += n
				for piece := e.Next(); piece != nil; piece = e.Next() {
					got += string(piece)
				}
			}
			if last, _ := e.Last(); int(last) == total {
				break
			}
			e.Restart()
		}
		assert.Equal(t, got, want)
		assert.Equal(t, e.Delivered(), total)
	})
}

// Guards against endless events, and against events without a number that are dropped.
func TestEventsLimits(t *testing.T) {
	var e answer.Events
	assert.NilError(t, e.Write([]byte(": comment\n\ndata: no number\n\nid: 4\ndata")))
	assert.Equal(t, string(e.Next()), ": comment\n\n")
	assert.Equal(t, string(e.Next()), "data: no number\n\n")
	assert.Assert(t, e.Next() == nil)
	assert.Assert(t, e.Partial())
	_, numbered := e.Last()
	assert.Assert(t, !numbered)
	err := e.Write([]byte(strings.Repeat("x", 1<<20)))
	var failure *answer.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Kind, answer.KindEvent)
	e.Restart()
	assert.Assert(t, !e.Partial())
}
