package answer

import (
	"errors"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Guards against answers that are delivered with a gap or with repeated bytes, and against truncated or corrupt answers
// that count as complete.
func TestAssembler(t *testing.T) {
	type piece struct {
		offset int64
		data   string
	}
	tests := map[string]struct {
		pieces []piece
		want   string
		length int64
		digest string
		kind   ErrorKind
	}{
		"in order":              {pieces: []piece{{0, "ab"}, {2, "cd"}}, want: "abcd", length: 4, digest: "abcd"},
		"repeated piece":        {pieces: []piece{{0, "ab"}, {0, "ab"}, {2, "c"}}, want: "abc", length: 3, digest: "abc"},
		"overlap":               {pieces: []piece{{0, "abc"}, {1, "bcd"}}, want: "abcd", length: 4, digest: "abcd"},
		"gap":                   {pieces: []piece{{0, "ab"}, {3, "d"}}, kind: KindGap},
		"truncated":             {pieces: []piece{{0, "ab"}}, want: "ab", length: 4, digest: "abcd", kind: KindLength},
		"wrong digest":          {pieces: []piece{{0, "abcd"}}, want: "abcd", length: 4, digest: "wxyz", kind: KindDigest},
		"empty":                 {length: 0, digest: ""},
		"longer than announced": {pieces: []piece{{0, "abcd"}}, want: "abcd", length: 2, digest: "ab", kind: KindLength},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var a Assembler
			var got []byte
			err := func() error {
				for _, p := range tt.pieces {
					newBytes, err := a.Accept(p.offset, []byte(p.data))
					if err != nil {
						return err
					}
					got = append(got, newBytes...)
				}
				_, err := a.Finish(tt.length, xxhash.Sum64String(tt.digest))
				return err
			}()
			if tt.kind == "" {
				assert.NilError(t, err)
			} else {
				var e *Error
				assert.Assert(t, errors.As(err, &e))
				assert.Equal(t, e.Kind, tt.kind)
			}
			if tt.kind != KindGap {
				assert.Equal(t, string(got), tt.want)
			}
		})
	}
}
