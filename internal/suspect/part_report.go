package suspect

import "time"

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

// ownImplication is an implication that this process has recorded itself. reports counts how often it was reported to others.
type ownImplication struct {
	Implication
	reports int
}

// ownClearance is the last answer on a part that this process has recorded itself. reports counts how often it was reported to
// others since the last crash that implicates the part.
type ownClearance struct {
	at      time.Time
	reports int
}

// Report returns the report for other processes: crashes and clearances that this process has recorded lately, and all quarantines.
// If there are more than fit, they are reported in turn.
func (r *PartRegistry) Report(now time.Time) PartReport {
	r.expire(now)
	return PartReport{Crashes: r.reportCrashes(now), Clearances: r.reportClearances(now), Quarantines: r.reportQuarantines(now)}
}

func (r *PartRegistry) reportCrashes(now time.Time) []CrashReport {
	var crashes []*crash
	for _, c := range r.crashes {
		if len(c.own) > 0 && now.Sub(c.at) <= reportPeriod {
			crashes = append(crashes, c)
		}
	}
	var reports []CrashReport
	for _, c := range chooseInTurn(crashes, maxReportedCrashes, func(c *crash) *int { return &c.reports }) {
		reports = append(reports, CrashReport{Server: c.server, Age: now.Sub(c.at), Implications: r.reportImplications(c)})
	}
	return reports
}

// reportImplications chooses among the implications of a crash that this process has recorded, those without a later answer first.
func (r *PartRegistry) reportImplications(c *crash) []Implication {
	var cleared, uncleared []*ownImplication
	for _, i := range c.own {
		if r.cleared[i.Part].Before(c.at) {
			uncleared = append(uncleared, i)
		} else {
			cleared = append(cleared, i)
		}
	}
	count := func(i *ownImplication) *int { return &i.reports }
	chosen := chooseInTurn(uncleared, maxReportedImplications, count)
	chosen = append(chosen, chooseInTurn(cleared, maxReportedImplications-len(chosen), count)...)
	implications := make([]Implication, 0, len(chosen))
	for _, i := range chosen {
		implications = append(implications, i.Implication)
	}
	return implications
}

// recordClearance records an answer on a part that this process has seen. A further answer tells others something new only if a
// crash came before it; else it keeps its turn in the reports, so that parts with many answers do not hold up those with few.
func (r *PartRegistry) recordClearance(p Part, at time.Time) {
	known := r.ownCleared[p]
	if known == nil || r.lastCrash(p).After(known.at) {
		r.ownCleared[p] = &ownClearance{at: at}
		return
	}
	known.at = at
}

func (r *PartRegistry) reportClearances(now time.Time) []Clearance {
	var clearances []Clearance
	for p, c := range r.ownCleared {
		clearances = append(clearances, Clearance{Part: p, Age: max(now.Sub(c.at), 0)})
	}
	return chooseInTurn(clearances, maxReportedClearances, func(c Clearance) *int { return &r.ownCleared[c.Part].reports })
}

func (r *PartRegistry) reportQuarantines(now time.Time) []QuarantineReport {
	var quarantines []QuarantineReport
	for p, c := range r.quarantined {
		var probe time.Duration
		if c.ownProbe {
			probe = max(c.probeEnds.Sub(now), 0)
		}
		quarantines = append(quarantines, QuarantineReport{
			Part: p, Remaining: max(c.until.Sub(now), 0), LastCrash: max(now.Sub(c.lastCrash), 0), Probe: probe, Times: c.times,
		})
	}
	return chooseInTurn(quarantines, maxReportedQuarantines, func(q QuarantineReport) *int { return &r.quarantined[q.Part].reports })
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
