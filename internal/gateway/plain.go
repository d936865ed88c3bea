package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/dispatch"
)

const (
	// maxPlainResponse bounds the response of a plain service in bytes.
	maxPlainResponse = 16 << 20
	// retryAfterTargets, times the latency target, is the time after which an idempotent request is sent to another
	// backend server.
	retryAfterTargets = 2.5
)

// plain serves a request whose response is sent to the caller once it is complete.
func (q *request) plain() { q.runAttempts(q.plainAttempt) }

// plainWait returns how long an attempt may wait for its response. A request that may run again does not wait until its
// deadline for a backend server that hangs.
func (q *request) plainWait(a *attempt) time.Duration {
	remaining := q.deadline.Sub(q.gateway.clock.Now())
	if a.last || !q.admitted.Route.Idempotent() || q.profile.Target == 0 {
		return remaining
	}
	return min(remaining, time.Duration(retryAfterTargets*float64(q.profile.Target)))
}

func (q *request) plainAttempt(a *attempt) attemptResult {
	x, head, err := q.exchange(a, q.plainWait(a), q.extendFunc(a), resumePoint{})
	if err != nil {
		return q.handleFailure(a, err)
	}
	body, result := q.readResponse(a, x, head)
	if result != nil {
		return result
	}
	return q.handleResponse(a, head, x.Response, body)
}

// readResponse reads a complete response and records that the request ran. When the response breaks off, is too large
// or says that the request did not run, readResponse returns the result of the attempt instead of a body.
func (q *request) readResponse(a *attempt, x *backend.Exchange, head ResponseHead) ([]byte, attemptResult) {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, maxPlainResponse+1))
	if err == nil && len(body) > maxPlainResponse {
		err = errors.New("response too large")
	}
	if err != nil {
		failure := x.WrapError(q.ctx, err)
		x.Done(false, 0)
		return nil, q.handleFailure(a, failure)
	}
	q.endExchange(x, head)
	if head.NotRun {
		if !q.identified(x, head) {
			q.ranOn = append(q.ranOn, a.server)
		}
		return nil, q.handleRefusal(a, head)
	}
	q.ranOn = append(q.ranOn, a.server)
	return body, nil
}

// handleResponse decides what follows a complete response of a backend server that may have run the request.
func (q *request) handleResponse(a *attempt, head ResponseHead, resp *http.Response, body []byte) attemptResult {
	success := head.Status >= 200 && head.Status < 300
	switch {
	case success && !head.Signed:
		q.tried = append(q.tried, a.server.ID)
		q.recordOutcome(a, dispatch.Lost{})
		q.gateway.log.Info("response without signature", "request", q.req.ID, "backend", a.server.ID, "status", head.Status)
		return retryable{"unsigned"}
	case head.Status >= 500 && q.admitted.Route.Idempotent() && q.mayRetry():
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
	q.response.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.response.WriteHeader(head.Status)
	q.firstByte = q.elapsed()
	q.delivered = true
	if _, err := q.response.Write(body); err != nil {
		q.outcome = "caller-left"
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
