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

// Guards against events that are truncated, lost, repeated or reordered, however the stream is divided into writes and
// wherever it continues from another source.
func TestEventsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "events")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		event := func(n int) string { return fmt.Sprintf("id: %d%sdata: text %d%s%s", n, end, n, end, end) }
		want := ""
		for n := 1; n <= total; n++ {
			want += event(n)
		}
		var e answer.EventSplitter
		got := ""
		for {
			last, _ := e.Last()
			// The next source may repeat events that were already delivered.
			first := max(1, int(last)-rapid.IntRange(0, 2).Draw(t, "repeated"))
			source := ""
			for n := first; n <= total; n++ {
				source += event(n)
			}
			breakAt := rapid.IntRange(0, len(source)).Draw(t, "break")
			if rapid.Bool().Draw(t, "whole") {
				breakAt = len(source)
			}
			for offset := 0; offset < breakAt; {
				n := min(rapid.IntRange(1, 40).Draw(t, "piece"), breakAt-offset)
				assert.NilError(t, e.Write([]byte(source[offset:offset+n])))
				offset += n
				for piece := e.Next(); piece != nil; piece = e.Next() {
					got += string(piece)
				}
			}
			if last, _ := e.Last(); int(last) == total {
				break
			}
			e.DropPartial()
		}
		assert.Equal(t, got, want)
		assert.Equal(t, e.Delivered(), total)
	})
}

// Guards against events of unlimited size, and against events without a number that are dropped.
func TestEventsLimits(t *testing.T) {
	var e answer.EventSplitter
	assert.NilError(t, e.Write([]byte(": comment\n\ndata: no number\n\nid: 4\ndata")))
	assert.Equal(t, string(e.Next()), ": comment\n\n")
	assert.Equal(t, string(e.Next()), "data: no number\n\n")
	assert.Assert(t, e.Next() == nil)
	assert.Assert(t, e.Partial())
	_, numbered := e.Last()
	assert.Assert(t, !numbered)
	err := e.Write([]byte(strings.Repeat("x", 1<<20)))
	var eventErr *answer.Error
	assert.Assert(t, errors.As(err, &eventErr))
	assert.Equal(t, eventErr.Kind, answer.KindEventSize)
	e.DropPartial()
	assert.Assert(t, !e.Partial())
}
