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
	// settle is how long after the last request leases may still live: until they end by themselves.
	settle = 5 * time.Second
	// deadlineSlack is by how much a backend server may be told more time than the caller had.
	deadlineSlack = 500 * time.Millisecond
	// retryShare and retryReserve bound arrivals beyond the first of each request.
	retryShare, retryReserve = 0.2, 100
)

func (p *Proxy) address() netip.AddrPort {
	a, err := netip.ParseAddrPort(p.listener.Addr().String())
	if err != nil {
		panic(err) // The listener's address was given as an AddrPort.
	}
	return a
}

// report checks every promise against what callers and backend servers saw.
func (w *world) report() Report {
	<-w.clock.After(settle)
	w.mu.Lock()
	defer w.mu.Unlock()
	r := Report{Seed: w.Seed, Requests: len(w.calls), Faults: w.faults}
	runs := map[string][]direct.Run{}
	arrivals, beyond := 0, 0
	for _, b := range w.backends {
		arrivals += b.Arrivals()
		for _, run := range b.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
		if n := b.Reserved(); n > 0 {
			r.add("%s still has %d tokens reserved", b.Server.ID, n)
		}
	}
	known := map[string]bool{}
	for _, c := range w.calls {
		known[c.ID] = true
		w.checkCall(&r, c, runs[c.ID])
		beyond += max(len(runs[c.ID])-1, 0)
	}
	for id := range runs {
		// The requests that waited for the start are not kept.
		if !known[id] && len(runs[id]) > 1 {
			r.add("request %s, which no caller sent, ran", id)
		}
	}
	if float64(beyond) > retryShare*float64(len(w.calls))+retryReserve {
		r.add("%d runs beyond the first of %d requests", beyond, len(w.calls))
	}
	if w.Timed {
		w.checkDrains(&r)
	}
	if r.Answered == 0 {
		r.add("no request of %d was answered", r.Requests)
	}
	return r
}

func (r *Report) add(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// checkCall checks one request against its runs.
func (w *world) checkCall(r *Report, c *call, runs []direct.Run) {
	switch {
	case c.answer.Status == http.StatusOK && c.whole:
		r.Answered++
	case c.answer.NotRun:
		r.Refused++
	default:
		r.Failed++
	}
	if (c.kind == "book" || c.kind == "once") && len(runs) > 1 {
		r.add("%s %s ran %d times", c.kind, c.ID, len(runs))
	}
	if c.answer.NotRun && len(runs) > 0 && (c.kind == "book" || c.kind == "once") {
		r.add("%s %s was refused as not run and ran", c.kind, c.ID)
	}
	if c.answer.Status == http.StatusOK {
		w.checkAnswer(r, c)
	}
	if withdrawn, ok := w.withdrawn[c.Key]; ok && c.sent.Sub(withdrawn) > revokeWithin && len(runs) > 0 {
		r.add("%s %s ran %v after its key was withdrawn", c.kind, c.ID, c.sent.Sub(withdrawn))
	}
	for _, run := range runs {
		if run.Workspace != workspace || run.Key != "" {
			r.add("%s %s reached a backend server for workspace %q with key %q", c.kind, c.ID, run.Workspace, run.Key)
		}
		if run.Body != c.body {
			r.add("%s %s reached a backend server with another body", c.kind, c.ID)
		}
		if run.Remaining > c.Patience+deadlineSlack {
			r.add("%s %s reached a backend server with %v left of %v", c.kind, c.ID, run.Remaining, c.Patience)
		}
	}
	broken := c.answer.Status == http.StatusOK && !c.whole || c.answer.Status == 0
	if w.Timed && broken && !c.left && !w.excused(c) && c.ended.Sub(c.sent) < c.Patience*7/10 {
		r.add("%s %s at front-%d was cut under planned work alone", c.kind, c.ID, c.front)
	}
}

// checkAnswer checks a success: signed, the caller's own, and without a gap or a repeat even where it broke off.
func (w *world) checkAnswer(r *Report, c *call) {
	events := 8
	want := c.expected(events)
	switch {
	case !c.answer.Signed:
		r.add("%s %s has a success without a signature", c.kind, c.ID)
	case c.answer.ID != c.ID:
		r.add("%s %s has the answer to %s", c.kind, c.ID, c.answer.ID)
	case c.whole && c.got != want:
		r.add("%s %s has another answer: %q", c.kind, c.ID, c.got)
	case !c.whole && (len(c.got) > len(want) || c.got != want[:len(c.got)]):
		r.add("%s %s has another beginning: %q", c.kind, c.ID, c.got)
	}
}

// excused says whether an unplanned fault was in force during a call.
func (w *world) excused(c *call) bool {
	return slices.ContainsFunc(w.troubles, func(s span) bool { return s.from.Before(c.ended) && s.to.After(c.sent) })
}

// checkDrains checks that no request starts at a backend server after it said that it leaves.
func (w *world) checkDrains(r *Report) {
	for _, d := range w.planned {
		quiet := d.at.Add(drainWithin)
		end := d.at.Add(faultLength)
		troubled := slices.ContainsFunc(w.troubles, func(s span) bool { return s.from.Before(end) && s.to.After(d.at) })
		if troubled {
			continue
		}
		for _, run := range d.backend.Runs() {
			if run.At.After(quiet) && run.At.Before(end) {
				r.add("%s got %s %v after it began to drain", d.backend.Server.ID, run.ID, run.At.Sub(d.at))
			}
		}
	}
}
