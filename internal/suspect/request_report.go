package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// endReportPeriod is how long a process reports an end that it has recorded. Every other process gets a report more often.
	endReportPeriod = 3 * time.Second
	// The limits of one report keep it below about 600 bytes.
	maxReportedEnds    = 12
	maxReportedAnswers = 8
	maxReportedProbes  = 4
	// maxRelaySearch is how many suspect requests are looked at for one that is quarantined. The next report goes on from there.
	maxRelaySearch = 256
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
// reported least often. For processes that have started since, it adds one of the ends of quarantined requests and one of all in turn.
func (r *RequestRegistry) Report(now time.Time) RequestReport {
	r.expire(now)
	var report RequestReport
	report.Ends = r.reportEnds(now)
	report.Answers = r.reportAnswers(now)
	for f, p := range r.probes {
		if p.own && len(report.Probes) < maxReportedProbes {
			report.Probes = append(report.Probes, RequestProbeReport{f, p.ends.Sub(now)})
		}
	}
	return report
}

// reportAnswers chooses the answers for a report.
func (r *RequestRegistry) reportAnswers(now time.Time) []RequestAnswerReport {
	var answers []RequestAnswerReport
	for f, a := range r.answers {
		if age := now.Sub(a.at); a.own && age <= reportPeriod {
			answers = append(answers, RequestAnswerReport{f, age})
		}
	}
	return chooseInTurn(answers, maxReportedAnswers, func(a RequestAnswerReport) *int { return &r.answers[a.Fingerprint].reports })
}

// suspectEnd is an end with the request that it concerns.
type suspectEnd struct {
	fingerprint Fingerprint
	*end
}

func (r *RequestRegistry) reportEnds(now time.Time) []EndReport {
	r.recent = slices.DeleteFunc(r.recent, func(e suspectEnd) bool { return e.dropped || now.Sub(e.at) > endReportPeriod })
	slices.SortStableFunc(r.recent, func(a, b suspectEnd) int { return cmp.Or(cmp.Compare(a.reports, b.reports), b.at.Compare(a.at)) })
	chosen := slices.Clone(r.recent[:min(len(r.recent), maxReportedEnds-2)])
	quarantined := r.relayedQuarantined.next(r.evidence.suspects, maxRelaySearch, func(lost *lostRequest) bool {
		_, ok := r.evidence.verdict(lost.fingerprint)
		return ok
	})
	if quarantined != nil {
		chosen = appendNew(chosen, suspectEnd{r.relayedQuarantined.fingerprint, quarantined})
	}
	if e := r.relayed.next(r.evidence.all, maxRelaySearch, func(*lostRequest) bool { return true }); e != nil {
		chosen = appendNew(chosen, suspectEnd{r.relayed.fingerprint, e})
	}
	ends := make([]EndReport, 0, len(chosen))
	for _, e := range chosen {
		e.reports++
		ends = append(ends, EndReport{
			Crash: e.crash.id, Age: max(now.Sub(e.at), 0), LostRequest: LostRequest{Fingerprint: e.fingerprint, Probe: e.probe},
		})
	}
	return ends
}

func appendNew(ends []suspectEnd, e suspectEnd) []suspectEnd {
	if slices.Contains(ends, e) {
		return ends
	}
	return append(ends, e)
}

// Merge adds the report of another process.
func (r *RequestRegistry) Merge(now time.Time, report RequestReport) {
	for _, a := range report.Answers {
		if a.Age <= endMemoryReported {
			r.clear(now.Add(-a.Age), a.Fingerprint, false)
		}
	}
	for _, e := range report.Ends {
		if e.Age <= endMemoryReported {
			r.add(e.Fingerprint, e.Crash, now.Add(-e.Age), e.Probe)
		}
	}
	for _, p := range report.Probes {
		known := r.probes[p.Fingerprint]
		if ends := now.Add(min(p.Remaining, requestProbeTimeout)); !known.own && ends.After(known.ends) && r.evidence.requests[p.Fingerprint] != nil {
			r.probes[p.Fingerprint] = requestProbe{ends: ends}
		}
	}
}
