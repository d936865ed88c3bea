package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// ResponsePart is a part of a plain service's response. It is a sealed interface: ResponseHead and BodyChunk are its
// only implementations. A response is one ResponseHead, followed by any number of BodyChunks.
type ResponsePart interface{ part() }

// ResponseHead is the status and the headers of a response.
type ResponseHead struct {
	Status int
	Header http.Header
}

// BodyChunk is a part of the response body. Data is valid only until the function that receives it returns.
type BodyChunk struct {
	// Offset is the position of Data in bytes from the start of the body.
	Offset int64
	Data   []byte
}

func (ResponseHead) part() {}
func (BodyChunk) part()    {}

// Call sends a request to a plain service and passes the response to fn as it arrives. Any status is a valid response
// and not an error, because only the service defines what its statuses mean. Call returns nil only if the whole body
// arrived. It never sends a request twice; to keep net/http from repeating a GET or HEAD request without a body when a
// kept connection breaks, use WithoutKeepAlives.
func (c *Client) Call(ctx context.Context, method, path string, header http.Header, body []byte, fn func(ResponsePart) error) error {
	path = absolutePath(path)
	op := method + " " + path
	resp, err := c.send(ctx, c.http, method, path, header, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1 &&
		method != http.MethodHead && !resp.Uncompressed {
		// Without a length or chunked encoding, the end of the body cannot be distinguished from a broken connection.
		return &Error{Op: op, Kind: KindMalformed, Status: resp.StatusCode, Err: errors.New("response without length or chunked encoding")}
	}
	mayHaveRun := func(err error) error {
		return &Error{Op: op, Kind: KindMayHaveRun, Status: resp.StatusCode, Err: err}
	}
	if err := fn(ResponseHead{Status: resp.StatusCode, Header: resp.Header}); err != nil {
		return mayHaveRun(err)
	}
	buffer := make([]byte, 32<<10)
	for offset := int64(0); ; {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if err := fn(BodyChunk{Offset: offset, Data: buffer[:n]}); err != nil {
				return mayHaveRun(err)
			}
			offset += int64(n)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return transportError(op, true, err)
		}
	}
}
