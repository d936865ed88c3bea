package body_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"berylward.example/berylward/internal/body"
)

// endless yields bytes without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against bodies that are truncated, held beyond their limit or beyond the budget, or taken for whole after an error.
func TestBuffer(t *testing.T) {
	broken := errors.New("broken")
	cases := map[string]struct {
		budget, length, limit int64
		body                  io.Reader
		want                  string
		kind                  body.ErrorKind
		err                   error
	}{
		"empty":                       {1 << 20, -1, 100, strings.NewReader(""), "", "", nil},
		"length announced":            {1 << 20, 5, 100, strings.NewReader("hello"), "hello", "", nil},
		"no length":                   {1 << 20, -1, 100, strings.NewReader("hello"), "hello", "", nil},
		"just the limit":              {1 << 20, -1, 5, strings.NewReader("hello"), "hello", "", nil},
		"beyond the limit":            {1 << 20, -1, 4, strings.NewReader("hello"), "", body.KindTooLarge, nil},
		"announced beyond the limit":  {1 << 20, 5, 4, strings.NewReader("hello"), "", body.KindTooLarge, nil},
		"without end":                 {1 << 30, -1, 1 << 20, endless{}, "", body.KindTooLarge, nil},
		"without end, small budget":   {1 << 20, -1, 1 << 30, endless{}, "", body.KindNoMemory, nil},
		"without end, no budget":      {0, -1, 1 << 20, endless{}, "", body.KindTooLarge, nil},
		"broken off":                  {1 << 20, 10, 100, iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("hello"))), "", "", iotest.ErrTimeout},
		"broken at once":              {1 << 20, -1, 100, iotest.ErrReader(broken), "", "", broken},
		"longer than announced":       {1 << 20, 2, 100, strings.NewReader("hello"), "hello", "", nil},
		"large, without a length":     {1 << 20, -1, 1 << 20, strings.NewReader(strings.Repeat("a", 200_000)), strings.Repeat("a", 200_000), "", nil},
		"large, one byte at a time":   {1 << 20, 200_000, 1 << 20, iotest.OneByteReader(strings.NewReader(strings.Repeat("a", 200_000))), strings.Repeat("a", 200_000), "", nil},
		"large, with its end at once": {1 << 20, 200_000, 1 << 20, iotest.DataErrReader(strings.NewReader(strings.Repeat("a", 200_000))), strings.Repeat("a", 200_000), "", nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			budget := body.NewBudget(tc.budget)
			buffer := budget.NewBuffer()
			err := buffer.Read(tc.body, tc.length, tc.limit)
			var failure *body.Error
			switch {
			case tc.kind != "":
				assert.Assert(t, errors.As(err, &failure), "%v", err)
				assert.Equal(t, failure.Kind, tc.kind)
			default:
				assert.ErrorIs(t, err, tc.err)
			}
			assert.Equal(t, string(buffer.Bytes()), tc.want)
			if err != nil {
				assert.Equal(t, budget.Usage().Used, int64(0))
			}
			if tc.budget > 0 {
				assert.Assert(t, budget.Usage().Peak <= tc.budget, "%d", budget.Usage().Peak)
			}
			buffer.Release()
			assert.Equal(t, budget.Usage().Used, int64(0))
		})
	}
}

// Guards against memory that is not given back, and a budget that is exceeded, whatever the order in which bodies come and go.
func TestBudgetBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := body.NewBudget(1 << 20)
		var held []*body.Buffer
		var sizes []int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				assert.Equal(t, len(held[i].Bytes()), sizes[i])
				held[i].Release()
				held, sizes = append(held[:i], held[i+1:]...), append(sizes[:i], sizes[i+1:]...)
				continue
			}
			size := rapid.IntRange(0, 300_000).Draw(t, "size")
			buffer := budget.NewBuffer()
			if buffer.Read(bytes.NewReader(make([]byte, size)), -1, 1<<20) == nil {
				held, sizes = append(held, buffer), append(sizes, size)
			}
			sum := 0
			for _, s := range sizes {
				sum += s
			}
			usage := budget.Usage()
			assert.Assert(t, usage.Used >= int64(sum) && usage.Peak <= usage.Limit, "%+v for %d bytes", usage, sum)
		}
		for _, b := range held {
			b.Release()
		}
		assert.Equal(t, budget.Usage().Used, int64(0))
	})
}

// Guards against large bodies that leave no room for small ones, up to the size at which a body counts as large.
func TestRoomForSmallBodies(t *testing.T) {
	for name, size := range map[string]int{"a few bytes": 9, "half": 33_000, "nearly large": 60_000} {
		t.Run(name, func(t *testing.T) {
			budget := body.NewBudget(8 << 20)
			for range 100 {
				_ = budget.NewBuffer().Read(strings.NewReader(strings.Repeat("a", 300_000)), -1, 1<<20)
			}
			assert.Assert(t, budget.Usage().Refused > 0)
			for range 10 {
				assert.NilError(t, budget.NewBuffer().Read(strings.NewReader(strings.Repeat("b", size)), -1, 1<<20))
			}
		})
	}
}

// Guards against a reservation that grows beyond the budget, or that loses its size when it may not grow.
func TestReservation(t *testing.T) {
	budget := body.NewBudget(100)
	first, second := budget.Reserve(), budget.Reserve()
	assert.NilError(t, first.Resize(60))
	assert.NilError(t, second.Resize(40))
	assert.Assert(t, second.Resize(41) != nil)
	assert.Equal(t, budget.Usage().Used, int64(100))
	assert.NilError(t, first.Resize(10))
	assert.NilError(t, second.Resize(90))
	first.Release()
	second.Release()
	second.Release()
	assert.Equal(t, budget.Usage().Used, int64(0))
	assert.Equal(t, budget.Usage().Refused, int64(1))
}
