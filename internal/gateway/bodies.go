package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/body"
)

const (
	// maxPlainResponse bounds the response of a plain service in bytes.
	maxPlainResponse = 1 << 20
	// maxEvent bounds the memory in bytes for one incomplete event of a stream.
	maxEvent = 256 << 10
	// maxDiscarded bounds the bytes of a response that are read only to use its connection again.
	maxDiscarded = 64 << 10
	// writeGrace is the time after the deadline of a request during which its response may still be written.
	writeGrace = time.Second
)

// longAgo is a deadline in the past, which ends a read at once whatever clock the gateway uses.
var longAgo = time.Unix(1, 0)

// readBody reads the whole body before anything is sent to a backend server, so that the request can be sent again. It
// reports whether it did; otherwise the request has ended. A request with too large a body is rejected, and one for whose body
// there is no memory is refused.
func (q *request) readBody(r *http.Request, buffer *body.Buffer) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	g := q.gateway
	g.mu.Lock()
	limit := g.currentTable.Table().Limits.BodyBytes
	g.mu.Unlock()
	if limit <= 0 {
		limit = math.MaxInt64 - 1
	}
	control := http.NewResponseController(q.response)
	// If the deadline cannot be set, the read lasts as long as the caller keeps the connection open.
	if err := control.SetReadDeadline(q.deadline); err != nil {
		g.metrics.count("deadline-errors")
	}
	// A body that does not arrive before the end of a shutdown is not waited for.
	release := context.AfterFunc(q.ctx, func() { _ = control.SetReadDeadline(longAgo) })
	defer release()
	if err := buffer.Read(r.Body, r.ContentLength, limit); err != nil {
		q.endWithoutBody(err)
		return false
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		g.metrics.count("deadline-errors")
	}
	q.body = buffer.Bytes()
	return true
}

// endWithoutBody ends a request whose body could not be read. Its connection is closed, because a part of the body may follow.
func (q *request) endWithoutBody(err error) {
	g := q.gateway
	q.response.Header().Set("Connection", "close")
	var failure *body.Error
	switch {
	case errors.As(err, &failure) && failure.Kind == body.KindTooLarge:
		q.reject(BodyTooLarge, err)
	case errors.As(err, &failure):
		g.log.Info("request refused: no memory for its body", "request", q.req.ID, "bytes", failure.Size, "held-bytes", g.requestBodies.Usage().Used)
		q.refuse("body-memory", retryAfterDefault)
	case g.shutdown.hasEndedRequests():
		q.refuse("stopping", retryAfterElsewhere)
	default:
		g.metrics.count("bodies-cut")
		g.log.Info("request body not received", "request", q.req.ID, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// limitWrites bounds the time for writing a response until a grace after a time, because a caller that does not read would
// otherwise keep its request, and the memory of its bodies, forever.
func (q *request) limitWrites(until time.Time) {
	if err := http.NewResponseController(q.response).SetWriteDeadline(until.Add(writeGrace)); err != nil {
		q.gateway.metrics.count("deadline-errors")
	}
}

// discardBody reads a response body that nobody needs, up to a bound, so that its connection can be used again.
func discardBody(x *backend.Exchange) error {
	n, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxDiscarded+1))
	if err == nil && n > maxDiscarded {
		return &body.Error{Op: "discard", Kind: body.KindTooLarge, Size: n, Limit: maxDiscarded}
	}
	return err
}
