package backend

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// upload is the write of a long request, during which the response is already read.
type upload struct {
	// ended is closed when the write has ended; err is its result.
	ended chan struct{}
	err   error
}

func startUpload(c *conn, r *http.Request) *upload {
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		u.err = write(c, r)
	}()
	return u
}

// written reports whether the whole request was sent. If the response arrived before that, the connection cannot be reused,
// because the rest of the body would be read as the next request. A nil upload was written before the response was read.
func (u *upload) written() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// errUploadFailed means that the connection failed in the write of a request whose response ends with the connection.
var errUploadFailed = errors.New("response without a length, and the request was not written to its end")

// unframedBody is the body of a response that ends with the connection, while the request is still being written. A socket reports
// a reset only once. If the write gets it, the read sees a regular end, so the body counts as complete only if the whole request was
// written.
type unframedBody struct {
	io.ReadCloser
	upload *upload
}

// Read implements io.Reader. At the end of the body it blocks until the write has ended, which has a deadline.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	<-b.upload.ended
	if b.upload.err != nil {
		return n, errors.Wrap(errUploadFailed, b.upload.err.Error())
	}
	return n, err
}

// endsWithConnection reports whether only the end of the connection ends the body of a response.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
