package backend

import (
	"io"

	"github.com/go-faster/errors"
)

// errHeadTooLarge means that the head of a response did not end within maxHeadBytes.
var errHeadTooLarge = errors.New("response head too large")

// headLimit reads from a connection, and limits what is read between begin and end, while a response head is expected.
type headLimit struct {
	from    io.Reader
	limited bool
	left    int
}

func (h *headLimit) begin() { h.limited, h.left = true, maxHeadBytes }

func (h *headLimit) end() { h.limited = false }

// exceeded reports whether the limit was reached before the end of the head. The error that the reader of the head
// returns then does not say so if the limit lies within a line.
func (h *headLimit) exceeded() bool { return h.limited && h.left == 0 }

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if !h.limited {
		return h.from.Read(p)
	}
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.from.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}
