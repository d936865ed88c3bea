package suspect

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// endReportPeriod is how long a process reports an end that it has recorded. Every other process gets a report more often.
	endReportPeriod = 3 * time.Second
	// The limits of one report keep it below about 1,000 bytes.
	maxReportedEnds    = 12
	maxReportedAnswers = 8
	maxReportedProbes  = 4
)

// RequestReport is what a process tells others about whole requests. Ages and remaining times take the place of times, because
// the clocks of processes differ.
type RequestReport struct {
	Ends    []EndReport
	Answers []RequestAnswerReport
	Probes  []RequestProbeReport
}

// EndReport is the end of a backend server under a request, Age ago.
type EndReport struct {
	Crash CrashID
	Age   time.Duration
	LostRequest
}

// RequestAnswerReport is an answer to a request, Age ago.
type RequestAnswerReport struct {
	Fingerprint Fingerprint
	Age         time.Duration
}

// RequestProbeReport is a request that may be on probe for the remaining time.
type RequestProbeReport struct {
	Fingerprint Fingerprint
	Remaining   time.Duration
}

// Report returns the report for other processes: ends and answers that this process has recorded lately, those first that were
// reported least often, and one of all ends in turn, for processes that have started since.
func (r *RequestRegistry) Report(now time.Time) RequestReport {
	r.expire(now)
	var report RequestReport
	if len(r.ends)+len(r.answers)+len(r.probes) == 0 {
		return report
	}
	report.Ends = r.reportEnds(now)
	for f, a := range r.answers {
		if age := now.Sub(a.at); a.own && age <= reportPeriod {
			report.Answers = append(report.Answers, RequestAnswerReport{f, age})
		}
	}
	slices.SortFunc(report.Answers, func(a, b RequestAnswerReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	report.Answers = report.Answers[:min(len(report.Answers), maxReportedAnswers)]
	for f, p := range r.probes {
		if p.own && len(report.Probes) < maxReportedProbes {
			report.Probes = append(report.Probes, RequestProbeReport{f, p.ends.Sub(now)})
		}
	}
	return report
}

// suspectEnd is an end with the request that it concerns.
type suspectEnd struct {
	fingerprint Fingerprint
	*end
}

func (r *RequestRegistry) reportEnds(now time.Time) []EndReport {
	var all, recent []suspectEnd
	for f, list := range r.ends {
		for _, e := range list {
			all = append(all, suspectEnd{f, e})
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b suspectEnd) int {
		return cmp.Or(bytes.Compare(a.fingerprint[:], b.fingerprint[:]), compareCrash(a.crash, b.crash))
	})
	r.lastRelay = (r.lastRelay + 1) % len(all)
	relayed := all[r.lastRelay]
	for _, e := range all {
		if e.own && now.Sub(e.at) <= endReportPeriod && e != relayed {
			recent = append(recent, e)
		}
	}
	slices.SortStableFunc(recent, func(a, b suspectEnd) int { return cmp.Or(cmp.Compare(a.reports, b.reports), b.at.Compare(a.at)) })
	var ends []EndReport
	for _, e := range append(recent[:min(len(recent), maxReportedEnds-1)], relayed) {
		e.reports++
		ends = append(ends, EndReport{
			Crash: e.crash, Age: max(now.Sub(e.at), 0),
			LostRequest: LostRequest{Fingerprint: e.fingerprint, Probe: e.probe},
		})
	}
	return ends
}

// Merge adds the report of another process.
func (r *RequestRegistry) Merge(now time.Time, report RequestReport) {
	for _, a := range report.Answers {
		if a.Age <= endMemoryReported {
			r.clear(now, now.Add(-a.Age), a.Fingerprint, false)
		}
	}
	for _, e := range report.Ends {
		if e.Age <= endMemoryReported {
			r.add(e.Fingerprint, end{crash: e.Crash, at: now.Add(-e.Age), probe: e.Probe})
		}
	}
	for _, p := range report.Probes {
		known := r.probes[p.Fingerprint]
		if ends := now.Add(min(p.Remaining, requestProbeTimeout)); !known.own && ends.After(known.ends) && len(r.ends[p.Fingerprint]) > 0 {
			r.probes[p.Fingerprint] = requestProbe{ends: ends}
		}
	}
}
