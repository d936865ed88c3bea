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
func TestEventSplitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "events")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		event := func(n int) string { return fmt.Sprintf("id: %d%sdata: text %d%s%s", n, end, n, end, end) }
		want := ""
		for n := 1; n <= total; n++ {
			want += event(n)
		}
		var s answer.EventSplitter
		got := ""
		for {
			last, _ := s.Last()
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
				assert.NilError(t, s.Write([]byte(source[offset:offset+n])))
				offset += n
				for piece := s.Next(); piece != nil; piece = s.Next() {
					got += string(piece)
				}
			}
			if last, _ := s.Last(); int(last) == total {
				break
			}
			s.DropPartial()
		}
		assert.Equal(t, got, want)
		assert.Equal(t, s.Delivered(), total)
	})
}

// Guards against events of unlimited size, and against events without a number that are dropped.
func TestEventSplitterLimits(t *testing.T) {
	var s answer.EventSplitter
	assert.NilError(t, s.Write([]byte(": comment\n\ndata: no number\n\nid: 4\ndata")))
	assert.Equal(t, string(s.Next()), ": comment\n\n")
	assert.Equal(t, string(s.Next()), "data: no number\n\n")
	assert.Assert(t, s.Next() == nil)
	assert.Assert(t, s.Partial())
	_, numbered := s.Last()
	assert.Assert(t, !numbered)
	err := s.Write([]byte(strings.Repeat("x", 1<<20)))
	var eventErr *answer.Error
	assert.Assert(t, errors.As(err, &eventErr))
	assert.Equal(t, eventErr.Kind, answer.KindEventSize)
	s.DropPartial()
	assert.Assert(t, !s.Partial())
}
