package engine

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against lines of an engine that make the client panic, skip a gap, or take a stream without an end for
// complete.
func FuzzReadStream(f *testing.F) {
	f.Add(`{"offset":0,"text":"abcd","tokens":1}`+"\n"+`{"done":true,"usage":{"prompt-tokens":1}}`, int64(0))
	f.Add(`{"offset":4,"text":"abcd"}`, int64(0))
	f.Add(`{"offset":-9223372036854775808,"text":"ab"}`, int64(0))
	f.Add(`{"error":"x"}`, int64(4))
	f.Add("\n\n{}", int64(0))
	f.Fuzz(func(t *testing.T, text string, offset int64) {
		if offset < 0 {
			return
		}
		end := offset
		resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}
		_, err := readStream("fuzz", resp, offset, func(p Piece) error {
			if p.Offset < 0 || p.Offset > end || p.Tokens < 0 {
				t.Fatalf("piece at offset %d with %d tokens after offset %d", p.Offset, p.Tokens, end)
			}
			end = max(end, p.Offset+int64(len(p.Text)))
			return nil
		})
		if err == nil && !strings.Contains(text, "done") {
			t.Fatal("stream without an end accepted as complete")
		}
	})
}
