package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"berylward.example/berylward/pkg/answer"
)

// maxLineSize is the maximum size of one NDJSON line of a stream in bytes.
const maxLineSize = 256 << 10

// RunStream starts a stream and calls fn for each piece until the stream ends. It returns the
// usage from the last line. If fn fails, RunStream returns its error wrapped in an Error of KindMayHaveRun; the stream is not cancelled.
func (c *Client) RunStream(ctx context.Context, stream Stream, fn func(Piece) error) (answer.Usage, error) {
	resp, err := c.sendJSON(ctx, http.MethodPost, "/v1/streams", stream)
	if err != nil {
		return answer.Usage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readStream("POST /v1/streams", resp, int64(len(stream.AnswerStart)), fn)
}

// AttachStream reads the answer of a stream that was started earlier, from offset in bytes from the start of the
// answer. NotRun of its error refers to the AttachStream request only, not to the stream.
func (c *Client) AttachStream(ctx context.Context, id string, offset int64, fn func(Piece) error) (answer.Usage, error) {
	path := streamPath(id) + "?offset=" + strconv.FormatInt(offset, 10)
	resp, err := c.sendJSON(ctx, http.MethodGet, path, nil)
	if err != nil {
		return answer.Usage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readStream("GET "+path, resp, offset, fn)
}

func readStream(op string, resp *http.Response, offset int64, fn func(Piece) error) (answer.Usage, error) {
	malformed := func(err error) (answer.Usage, error) {
		return answer.Usage{}, &Error{Op: op, Kind: KindMalformed, Status: resp.StatusCode, Err: err}
	}
	mayHaveRun := func(err error) (answer.Usage, error) {
		return answer.Usage{}, &Error{Op: op, Kind: KindMayHaveRun, Status: resp.StatusCode, Err: err}
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineSize)
	for lines.Scan() {
		var line StreamLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return malformed(err)
		}
		switch {
		case line.Error != "":
			return mayHaveRun(errors.New(line.Error))
		case line.Done && line.Usage == nil:
			return malformed(errors.New("last line without usage"))
		case line.Done && min(line.Usage.Prompt, line.Usage.Cached, line.Usage.Generated) < 0:
			return malformed(errors.New("negative token count in usage"))
		case line.Done:
			return answer.Usage{
				PromptTokens:    line.Usage.Prompt,
				CachedTokens:    line.Usage.Cached,
				GeneratedTokens: line.Usage.Generated,
			}, nil
		case line.Offset < 0 || line.Tokens < 0:
			return malformed(fmt.Errorf("invalid piece: offset %d, %d tokens", line.Offset, line.Tokens))
		case line.Offset > offset:
			return malformed(fmt.Errorf("gap in stream: piece at offset %d, expected %d", line.Offset, offset))
		}
		offset = max(offset, line.Offset+int64(len(line.Text)))
		if err := fn(line.Piece); err != nil {
			return mayHaveRun(err)
		}
	}
	switch err := lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return malformed(err)
	case err != nil:
		return answer.Usage{}, transportError(op, true, err)
	}
	return mayHaveRun(io.ErrUnexpectedEOF)
}
