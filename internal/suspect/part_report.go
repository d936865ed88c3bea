package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportPeriod is how long a crash or a clearance is reported to other processes. Each of them gets several reports in
	// this time, so a lost one does no harm.
	reportPeriod = 5 * time.Second
	// The limits of one report keep it below about 500 bytes.
	maxReportedCrashes      = 6
	maxReportedImplications = 4
	maxReportedClearances   = 8
	maxReportedQuarantines  = 6
)

// PartReport is what a process tells others about parts of prompts. Ages and remaining times take the place of times, because
// the clocks of processes differ.
type PartReport struct {
	Crashes     []CrashReport
	Clearances  []Clearance
	Quarantines []QuarantineReport
}

// CrashReport is a crash and what it implicates, as far as the reporting process has recorded it itself.
type CrashReport struct {
	Server       ServerKey
	Age          time.Duration
	Implications []Implication
}

// Clearance is an answer on a part that began Age ago and has gone on.
type Clearance struct {
	Part Part
	Age  time.Duration
}

// QuarantineReport is the decision that a part is not sent for the remaining time. LastCrash is the time since the last crash that
// implicates the part, Probe the time for which a request with it may still be on probe. Times counts the decisions in a row.
type QuarantineReport struct {
	Part                        Part
	Remaining, LastCrash, Probe time.Duration
	Times                       int
}

// Report returns the report for other processes.
func (r *PartRegistry) Report(now time.Time) PartReport {
	r.expire(now)
	var report PartReport
	for _, c := range slices.Backward(r.crashes) {
		if age := now.Sub(c.at); len(c.own) > 0 && age <= reportPeriod && len(report.Crashes) < maxReportedCrashes {
			report.Crashes = append(report.Crashes, CrashReport{Server: c.server, Age: age, Implications: r.unclearedFirst(c)})
		}
	}
	for p, at := range r.ownCleared {
		report.Clearances = append(report.Clearances, Clearance{Part: p, Age: max(now.Sub(at), 0)})
	}
	slices.SortFunc(report.Clearances, func(a, b Clearance) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part)) })
	report.Clearances = report.Clearances[:min(len(report.Clearances), maxReportedClearances)]
	for p, c := range r.quarantined {
		var probe time.Duration
		if c.ownProbe {
			probe = max(c.probeEnds.Sub(now), 0)
		}
		report.Quarantines = append(report.Quarantines, QuarantineReport{
			Part: p, Remaining: max(c.until.Sub(now), 0), LastCrash: max(now.Sub(c.lastCrash), 0), Probe: probe, Times: c.times,
		})
	}
	slices.SortFunc(report.Quarantines, func(a, b QuarantineReport) int {
		return cmp.Or(cmp.Compare(a.LastCrash, b.LastCrash), cmp.Compare(a.Part, b.Part))
	})
	report.Quarantines = report.Quarantines[:min(len(report.Quarantines), maxReportedQuarantines)]
	return report
}

// unclearedFirst returns the implications of a crash that this process has recorded, those without a later answer first.
func (r *PartRegistry) unclearedFirst(c *crash) []Implication {
	own := slices.Clone(c.own)
	cleared := func(i Implication) int {
		if r.cleared[i.Part].Before(c.at) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(own, func(a, b Implication) int { return cmp.Compare(cleared(a), cleared(b)) })
	return own[:min(len(own), maxReportedImplications)]
}

// Merge adds the report of another process. It returns the parts that are quarantined now and were not before, and those that
// are not quarantined any more.
func (r *PartRegistry) Merge(now time.Time, report PartReport) (quarantined, released []Part) {
	for _, c := range report.Crashes {
		if c.Age <= crashMemory {
			r.addCrash(c.Server, now.Add(-c.Age), c.Implications)
		}
	}
	for _, c := range report.Clearances {
		if at := now.Add(-c.Age); at.After(r.cleared[c.Part]) && r.clear(c.Part, at) {
			released = append(released, c.Part)
		}
	}
	for _, c := range report.Quarantines {
		if r.adopt(now, c) {
			quarantined = append(quarantined, c.Part)
		}
	}
	return append(quarantined, r.judge(now)...), released
}

// adopt takes over the quarantine of another process unless an answer has contradicted it, and reports whether the part was
// not quarantined before. A tentative one is not taken over, since its crashes are reported too.
func (r *PartRegistry) adopt(now time.Time, c QuarantineReport) bool {
	lastCrash := now.Add(-c.LastCrash)
	if c.Remaining > maxQuarantine || c.Probe > probeTimeout || !r.cleared[c.Part].Before(lastCrash) {
		return false
	}
	known, added := r.quarantined[c.Part], false
	if known == nil {
		if c.Times <= 1 || c.Remaining <= 0 || len(r.quarantined) >= maxQuarantines && !r.dropQuarantineBefore(lastCrash) {
			return false
		}
		known, added = &partQuarantine{}, true
		r.quarantined[c.Part] = known
	}
	if c.Times > known.times {
		known.until, known.times, known.lastCrash = now.Add(c.Remaining), c.Times, lastCrash
		known.probeEnds, known.ownProbe = time.Time{}, false
	}
	if probe := now.Add(c.Probe); c.Times == known.times && c.Probe > 0 && probe.After(known.probeEnds) {
		known.probeEnds = probe
	}
	return added
}
