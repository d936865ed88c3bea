package soak

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"berylward.example/berylward/internal/standin/direct"
)

const (
	// leaseGrace is the time after the last request within which all leases must be released or expire.
	leaseGrace = 5 * time.Second
	// deadlineSlack is the tolerance by which the remaining time that a backend server receives may exceed the caller's
	// timeout.
	deadlineSlack = 500 * time.Millisecond
	// maxRetryShare and maxExtraRetries limit the runs beyond the first of each request.
	maxRetryShare, maxExtraRetries = 0.2, 100
)

func (p *Proxy) address() netip.AddrPort {
	a, err := netip.ParseAddrPort(p.listener.Addr().String())
	if err != nil {
		panic(err) // The listener's address was given as an AddrPort.
	}
	return a
}

// verify checks all guarantees against what callers and backend servers observed.
func (h *harness) verify() Report {
	<-h.clock.After(leaseGrace)
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Seed: h.Seed, Requests: len(h.requests), Faults: h.faultCounts}
	runs := map[string][]direct.Run{}
	arrivals, extraRuns := 0, 0
	for _, b := range h.backends {
		arrivals += b.Arrivals()
		for _, run := range b.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
		if n := b.Reserved(); n > 0 {
			r.addViolation("%s still has %d reserved tokens", b.Server.ID, n)
		}
	}
	knownIDs := map[string]bool{}
	for _, request := range h.requests {
		knownIDs[request.ID] = true
		h.checkRequest(&r, request, runs[request.ID])
		extraRuns += max(len(runs[request.ID])-1, 0)
	}
	for id := range runs {
		// The requests that waitReady sent are not recorded. Each may have run once.
		if !knownIDs[id] && len(runs[id]) > 1 {
			r.addViolation("unknown request %s ran more than once", id)
		}
	}
	if float64(extraRuns) > maxRetryShare*float64(len(h.requests))+maxExtraRetries {
		r.addViolation("%d repeated runs for %d requests", extraRuns, len(h.requests))
	}
	if h.CheckTiming {
		h.checkDrains(&r)
	}
	if r.Answered == 0 {
		r.addViolation("none of %d requests was answered", r.Requests)
	}
	return r
}

func (r *Report) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// checkRequest checks the result of one request against its runs at backend servers.
func (h *harness) checkRequest(r *Report, request *sentRequest, runs []direct.Run) {
	switch {
	case request.response.Status == http.StatusOK && request.complete:
		r.Answered++
	case request.response.NotRun:
		r.Refused++
	default:
		r.Failed++
	}
	if (request.routeName == "book" || request.routeName == "once") && len(runs) > 1 {
		r.addViolation("%s %s ran %d times", request.routeName, request.ID, len(runs))
	}
	if request.response.NotRun && len(runs) > 0 && (request.routeName == "book" || request.routeName == "once") {
		r.addViolation("%s %s was refused as not run but ran", request.routeName, request.ID)
	}
	if request.response.Status == http.StatusOK {
		h.checkAnswer(r, request)
	}
	if revokedAt, ok := h.revokedAt[request.Key]; ok && request.sentAt.Sub(revokedAt) > revocationDelay && len(runs) > 0 {
		r.addViolation("%s %s ran although it was sent %v after its key was revoked", request.routeName, request.ID, request.sentAt.Sub(revokedAt))
	}
	for _, run := range runs {
		if run.Workspace != workspace || run.Key != "" {
			r.addViolation("%s %s reached a backend server for workspace %q with key %q", request.routeName, request.ID, run.Workspace, run.Key)
		}
		if run.Body != request.requestBody {
			r.addViolation("%s %s reached a backend server with a different body", request.routeName, request.ID)
		}
		if run.Remaining > request.Timeout+deadlineSlack {
			r.addViolation("%s %s reached a backend server with %v remaining of a timeout of %v", request.routeName, request.ID, run.Remaining, request.Timeout)
		}
	}
	interrupted := request.response.Status == http.StatusOK && !request.complete || request.response.Status == 0
	if h.CheckTiming && interrupted && !request.abandoned && !h.overlapsUnplannedFault(request) && request.endedAt.Sub(request.sentAt) < request.Timeout*7/10 {
		r.addViolation("%s %s at front-%d was interrupted without an unplanned fault", request.routeName, request.ID, request.gateway)
	}
}

// checkAnswer checks a successful response: it must be signed, belong to the request, and contain no gap or repetition,
// even when it is incomplete.
func (h *harness) checkAnswer(r *Report, request *sentRequest) {
	events := 8
	want := request.expectedBody(events)
	switch {
	case !request.response.Signed:
		r.addViolation("%s %s got a successful response without a signature", request.routeName, request.ID)
	case request.response.ID != request.ID:
		r.addViolation("%s %s got the response to request %s", request.routeName, request.ID, request.response.ID)
	case request.complete && request.responseBody != want:
		r.addViolation("%s %s got an unexpected response body: %q", request.routeName, request.ID, request.responseBody)
	case !request.complete && (len(request.responseBody) > len(want) || request.responseBody != want[:len(request.responseBody)]):
		r.addViolation("%s %s got an unexpected partial response body: %q", request.routeName, request.ID, request.responseBody)
	}
}

// overlapsUnplannedFault reports whether an unplanned fault was active, or its effects could still last, during a
// request.
func (h *harness) overlapsUnplannedFault(request *sentRequest) bool {
	return slices.ContainsFunc(h.unplannedFaults, func(f interval) bool { return f.from.Before(request.endedAt) && f.to.After(request.sentAt) })
}

// checkMemory stops the gateways and checks the memory that they have taken.
func (h *harness) checkMemory(r *Report) {
	for _, process := range h.gateways {
		process.stop()
		used := process.memory()
		r.PeakMemory = max(r.PeakMemory, used)
		if h.CheckMemory && used > memoryLimit {
			r.addViolation("%s took %d MiB of memory, its limit is %d MiB", process.name, used>>20, memoryLimit>>20)
		}
	}
}

// checkDrains checks that no request starts at a backend server between drainDelay and maxFaultLength after the start
// of a drain. It skips drains that an unplanned fault overlaps.
func (h *harness) checkDrains(r *Report) {
	for _, d := range h.drains {
		drained := d.startedAt.Add(drainDelay)
		end := d.startedAt.Add(maxFaultLength)
		faulted := slices.ContainsFunc(h.unplannedFaults, func(f interval) bool { return f.from.Before(end) && f.to.After(d.startedAt) })
		if faulted {
			continue
		}
		for _, run := range d.backend.Runs() {
			if run.At.After(drained) && run.At.Before(end) {
				r.addViolation("%s received request %s %v after it started to drain", d.backend.Server.ID, run.ID, run.At.Sub(d.startedAt))
			}
		}
	}
}
