package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/dispatch"
)

// retryAfterTargets, times the latency target, is the time after which an idempotent request is sent to another backend
// server.
const retryAfterTargets = 2.5

// plain serves a request whose response is sent to the caller once it is complete.
func (q *request) plain() { q.runAttempts(q.plainAttempt) }

// plainWait returns how long an attempt may wait for its response. A request that may run again does not wait until its
// deadline for a backend server that hangs.
func (q *request) plainWait(a *attempt) time.Duration {
	remaining := q.deadline.Sub(q.gateway.clock.Now())
	if a.last || !q.idempotent() || q.profile.Target == 0 {
		return remaining
	}
	return min(remaining, time.Duration(retryAfterTargets*float64(q.profile.Target)))
}

func (q *request) plainAttempt(a *attempt) attemptResult {
	x, head, err := q.exchange(q.ctx, a, q.plainWait(a), q.extendFunc(a), resumePoint{})
	if err != nil {
		return q.handleFailure(a, err)
	}
	buffer := q.gateway.responseBodies.NewBuffer()
	defer buffer.Release()
	if result := q.readResponse(a, x, head, buffer); result != nil {
		return result
	}
	return q.handleResponse(a, head, x.Response, buffer.Bytes())
}

// readResponse reads a complete response into the buffer and records that the request ran. When the response breaks off, is too
// large or says that the request did not run, readResponse returns the result of the attempt. A body that is not passed on is
// not held.
func (q *request) readResponse(a *attempt, x *backend.Exchange, head ResponseHead, buffer *body.Buffer) attemptResult {
	var err error
	if head.NotRun || q.delivered {
		err = discardBody(x)
	} else {
		err = buffer.Read(x.Response.Body, x.Response.ContentLength, maxPlainResponse)
	}
	if err != nil {
		failure := x.WrapError(q.ctx, err)
		x.Done(false, 0)
		return q.handleUnreadable(a, err, failure)
	}
	q.endExchange(x, head)
	if head.NotRun {
		if !q.identified(x, head) {
			q.runs = append(q.runs, run{server: a.server, answered: true})
		}
		return q.handleRefusal(a, head)
	}
	q.runs = append(q.runs, run{server: a.server, answered: true})
	return nil
}

// handleUnreadable decides what follows a response whose body could not be read because of err, which failure describes as
// a failure of the connection.
func (q *request) handleUnreadable(a *attempt, err error, failure *backend.Error) attemptResult {
	var limit *body.Error
	if !errors.As(err, &limit) || q.ctx.Err() != nil {
		return q.handleFailure(a, failure)
	}
	g := q.gateway
	switch limit.Kind {
	case body.KindNoMemory:
		// The memory is taken by other requests, which says nothing about this backend server.
		g.metrics.count("responses-no-memory")
		g.log.Info("response dropped: no memory for its body", "request", q.req.ID, "backend", a.server.ID, "bytes", limit.Size, "held-bytes", g.responseBodies.Usage().Used)
		q.runs, q.tried = append(q.runs, run{server: a.server, answered: true}), append(q.tried, a.server.ID)
		q.recordGivenUp(a)
		q.recordOutcome(a, dispatch.Abandoned{})
		return retryable{"response-memory"}
	case body.KindTooLarge:
		g.metrics.count("responses-too-large")
	}
	failure.Kind = backend.KindMalformed
	return q.handleFailure(a, failure)
}

// handleResponse decides what follows a complete response of a backend server that may have run the request.
func (q *request) handleResponse(a *attempt, head ResponseHead, resp *http.Response, data []byte) attemptResult {
	success := head.Status >= 200 && head.Status < 300
	switch {
	case success && !head.Signed:
		q.tried = append(q.tried, a.server.ID)
		q.recordOutcome(a, dispatch.Lost{})
		q.gateway.log.Info("response without signature", "request", q.req.ID, "backend", a.server.ID, "status", head.Status)
		return retryable{"unsigned"}
	case head.Status >= 500 && q.idempotent() && q.mayRetry():
		q.tried = append(q.tried, a.server.ID)
		q.recordOutcome(a, dispatch.Errored{})
		q.gateway.log.Info("backend server answered with an error status", "request", q.req.ID, "backend", a.server.ID, "status", head.Status)
		return retryable{"backend-error"}
	case !success && promisesNotRun(head.Status):
		// Callers take these statuses as a guarantee that the request did not run. The backend server gave no such guarantee.
		q.recordOutcome(a, dispatch.Errored{})
		return permanentFailure{"backend-status"}
	}
	if success {
		q.recordAnswer(a, true)
		q.recordOutcome(a, dispatch.Answered{})
		q.outcome = "answered"
	} else {
		q.recordOutcome(a, dispatch.Errored{})
		q.outcome = "answered-error"
	}
	q.gateway.protocol.CopyHeaders(q.response.Header(), resp)
	q.announceClose()
	q.response.Header().Set("Content-Length", strconv.Itoa(len(data)))
	q.delivered = true // before the write, which may send a part of the head and then panic
	q.response.WriteHeader(head.Status)
	q.firstByte = q.elapsed()
	if _, err := q.response.Write(data); err != nil {
		q.leave()
	}
	return completed{}
}

// promisesNotRun reports whether callers take a status as a guarantee that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
