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
	// maxPlainAnswer bounds the answer of a plain service in bytes.
	maxPlainAnswer = 16 << 20
	// repeatAfterTargets is after how many times its target an idempotent request is given to another backend server.
	repeatAfterTargets = 2.5
)

// plain serves a request whose answer is sent when it is there as a whole.
func (q *request) plain() { q.attempts(q.plainAttempt) }

// plainWait returns how long an attempt may wait for its answer. A request that may run again does not wait for a
// backend server that hangs.
func (q *request) plainWait(a *attempt) time.Duration {
	remaining := q.deadline.Sub(q.g.clock.Now())
	if a.last || !q.admitted.Route.Idempotent() || q.work.Target == 0 {
		return remaining
	}
	return min(remaining, time.Duration(repeatAfterTargets*float64(q.work.Target)))
}

func (q *request) plainAttempt(a *attempt) step {
	x, reply, err := q.exchange(a, q.plainWait(a), nil, resume{})
	if err != nil {
		return q.lost(a, err)
	}
	body, next := q.wholeAnswer(a, x, reply)
	if next != nil {
		return next
	}
	return q.answered(a, reply, x.Response, body)
}

// wholeAnswer reads an answer that is sent on as a whole, and records that the request ran. It returns what follows instead
// when the answer breaks off, is too large, or says that the request did not run.
func (q *request) wholeAnswer(a *attempt, x *backend.Exchange, reply Reply) ([]byte, step) {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, maxPlainAnswer+1))
	if err == nil && len(body) > maxPlainAnswer {
		err = errors.New("answer too large")
	}
	if err != nil {
		failure := x.Explain(q.ctx, err)
		x.Done(false, 0)
		return nil, q.lost(a, failure)
	}
	x.Done(true, reply.KeepAlive)
	if reply.NotRun {
		return nil, q.refused(a, reply)
	}
	q.ran = append(q.ran, a.server)
	return body, nil
}

// answered decides what follows a whole answer of a backend server that may have run the request.
func (q *request) answered(a *attempt, reply Reply, resp *http.Response, body []byte) step {
	success := reply.Status >= 200 && reply.Status < 300
	switch {
	case success && !reply.Signed:
		q.tried = append(q.tried, a.server.ID)
		q.ended(a, dispatch.Lost{})
		q.g.log.Info("answer without signature", "request", q.call.ID, "backend", a.server.ID, "status", reply.Status)
		return again{"unsigned"}
	case reply.Status >= 500 && q.admitted.Route.Idempotent() && q.mayRepeat():
		q.tried = append(q.tried, a.server.ID)
		q.ended(a, dispatch.Errored{})
		q.g.log.Info("backend server failed the request", "request", q.call.ID, "backend", a.server.ID, "status", reply.Status)
		return again{"backend-error"}
	case !success && promisesNotRun(reply.Status):
		// Callers read these statuses as a promise that the request did not run, which the backend server did not give.
		q.ended(a, dispatch.Errored{})
		return hopeless{"backend-status"}
	}
	if success {
		q.ended(a, dispatch.Answered{})
		q.outcome = "answered"
	} else {
		q.ended(a, dispatch.Errored{})
		q.outcome = "answered-error"
	}
	q.g.protocol.CopyHead(q.w.Header(), resp)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(reply.Status)
	q.firstByte = q.elapsed()
	q.delivered = true
	if _, err := q.w.Write(body); err != nil {
		q.outcome = "caller-left"
	}
	return finished{}
}

// promisesNotRun says whether callers read a status as the promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
