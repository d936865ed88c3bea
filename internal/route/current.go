package route

import "time"

// maxDenialProofAge is the age of the oldest freshness proof with which the table in force may deny a request. With an
// older proof, the table may lack a route or a key that was published since, so the request is Unproven instead.
const maxDenialProofAge = 3 * time.Second

// Admission is the decision on whether a request is admitted. It is a sealed interface: Admitted, Denied and Unproven
// are its only implementations.
//
//sumtype:decl
type Admission interface{ admission() }

// Admitted holds the route of a request and, if the route needs a caller key, its workspace.
type Admitted struct {
	Route     *Route
	Workspace string
	Version   int64
}

// DenialReason is the reason of a Denied.
type DenialReason string

// The reasons for a denial.
const (
	NoRoute    DenialReason = "no-route"
	UnknownKey DenialReason = "unknown-key"
)

// Denied means that the table in force does not allow the request.
type Denied struct {
	Reason  DenialReason
	Version int64
}

// Unproven means that the table is missing, that reports of other gateways are awaited, or that its freshness proof is too old to decide.
type Unproven struct {
	// Age is the time since the table was proven to be the latest version; zero when there is no table.
	Age time.Duration
}

func (Admitted) admission() {}
func (Denied) admission()   {}
func (Unproven) admission() {}

// CurrentTable holds the routing table in force and when it was last proven to be the latest version. Its times must
// come from a clock that keeps running while the instance is suspended. It must be used by one goroutine at a time.
type CurrentTable struct {
	table *Table
	// provenAt is the time of the latest proof that the table is the latest version. revision is that of the store up to
	// which this gateway has applied all changes.
	provenAt time.Time
	revision int64
	// era is the era of the store in which revision counts. shown is the newest version that the store has shown in this era,
	// and reported the newest one that another gateway has reported.
	era, shown, reported int64
	// awaiting is set while reports of other gateways are awaited; pending is the time of the latest proof meanwhile.
	awaiting bool
	pending  time.Time
	// maxKeyProofAge is the age of the proof from which requests that need a caller key are no longer admitted; zero
	// means no limit.
	maxKeyProofAge time.Duration
}

// NewCurrentTable returns a CurrentTable that admits requests that need a caller key only while its proof is younger
// than maxKeyProofAge; zero means no limit.
func NewCurrentTable(maxKeyProofAge time.Duration) *CurrentTable {
	return &CurrentTable{maxKeyProofAge: maxKeyProofAge}
}

// Install puts a table into force if its version is newer than that of the table in force, and reports whether it did.
func (c *CurrentTable) Install(t *Table) bool {
	c.shown = max(c.shown, t.Version)
	if c.table != nil && t.Version <= c.table.Version {
		return false
	}
	c.table = t
	return true
}

// Prove records that this gateway itself found the table in force to be the latest version at a point in time, and that
// it has applied all changes of the store up to a revision. It reports whether this proves anything, see Provable.
func (c *CurrentTable) Prove(at time.Time, revision int64) bool {
	c.revision = max(c.revision, revision)
	if c.confirmed() && at.After(c.pending) {
		c.pending = at
	}
	if !c.Provable() {
		return false
	}
	if at.After(c.provenAt) {
		c.provenAt = at
	}
	return true
}

// EnterEra records that the store has come back from an older copy and is in another era since. The table in force stays, but
// the store proves it only when it has shown its version or a newer one again. Revisions of earlier eras mean nothing.
func (c *CurrentTable) EnterEra(era int64) {
	c.era, c.revision, c.shown, c.pending = era, 0, 0, time.Time{}
}

// Era returns the era of the store in which revisions count.
func (c *CurrentTable) Era() int64 { return c.era }

// RecordReported records the version of the table that is in force at another gateway. A store that was restored from a copy may
// lack that version, so that a gateway that starts reads an older one.
func (c *CurrentTable) RecordReported(version int64) { c.reported = max(c.reported, version) }

// AwaitReports makes Admit decide as without a table, in the era of a restored store, until EndAwait: a gateway that starts does
// not know what the copy lacks before others have reported it.
func (c *CurrentTable) AwaitReports() { c.awaiting = true }

// Awaiting reports whether reports of other gateways are awaited before a request is admitted.
func (c *CurrentTable) Awaiting() bool { return c.awaiting && c.era > 0 }

// EndAwait ends AwaitReports. Proofs since then count unless a report denies them.
func (c *CurrentTable) EndAwait() {
	c.awaiting = false
	if c.confirmed() && c.pending.After(c.provenAt) {
		c.provenAt = c.pending
	}
}

// Provable reports whether answers of the store can prove that the table in force is the latest version. They cannot while the
// store has come back from a copy that is older than the table. In the era of a restored store, they also cannot while another
// gateway has a newer table, or while reports are awaited.
func (c *CurrentTable) Provable() bool {
	return c.table == nil || c.confirmed() && !c.Awaiting()
}

// confirmed reports whether the store has shown the table in force in this era, and no other gateway a newer one.
func (c *CurrentTable) confirmed() bool {
	return c.table != nil && c.shown >= c.table.Version && (c.era == 0 || c.reported <= c.table.Version)
}

// ProveByPeer records that another gateway found a version of the table to be the latest one at a point in time, when the
// store had no changes after a revision. It reports whether this counts: only for the version in force, and only if this
// gateway has applied all changes up to that revision, so that everything else it has read is as recent as the proof. The
// proof must be of the same era of the store.
func (c *CurrentTable) ProveByPeer(version, revision int64, at, now time.Time) bool {
	if c.table == nil || !c.Provable() || c.table.Version != version || at.After(now) || revision > c.revision || !at.After(c.provenAt) {
		return false
	}
	c.provenAt = at
	return true
}

// Revision returns the revision of the store up to which all changes have been applied.
func (c *CurrentTable) Revision() int64 { return c.revision }

// Table returns the table in force, or nil.
func (c *CurrentTable) Table() *Table { return c.table }

// ProofAge returns the time since the table was last proven to be the latest version.
func (c *CurrentTable) ProofAge(now time.Time) time.Duration {
	if c.table == nil {
		return 0
	}
	return now.Sub(c.provenAt)
}

// AdmitsKeys reports whether requests that need a caller key are admitted now.
func (c *CurrentTable) AdmitsKeys(now time.Time) bool {
	return c.table != nil && !c.Awaiting() && (c.maxKeyProofAge == 0 || now.Sub(c.provenAt) < c.maxKeyProofAge)
}

// Admit decides on a request with a host, a path and a caller key, which may be empty.
func (c *CurrentTable) Admit(now time.Time, host, path, callerKey string) Admission {
	if c.table == nil || c.Awaiting() {
		return Unproven{}
	}
	age := now.Sub(c.provenAt)
	decision := c.AdmitAgain(host, path, callerKey)
	if a, ok := decision.(Admitted); ok && (!c.table.NeedsKey(a.Route) || c.AdmitsKeys(now)) {
		return a
	}
	if d, ok := decision.(Denied); ok && age <= maxDenialProofAge && (d.Reason != UnknownKey || c.AdmitsKeys(now)) {
		return d
	}
	return Unproven{Age: age}
}

// AdmitAgain decides on a request that was admitted on arrival and is sent only now, after a hold or a failed attempt. The
// age of the table is not judged again: the caller used its key when the request arrived. A later version of the table
// that lacks the key or the route denies the request, however old that version is. There must be a table in force.
func (c *CurrentTable) AdmitAgain(host, path, callerKey string) Admission {
	r := c.table.Match(host, path)
	if r == nil {
		return Denied{Reason: NoRoute, Version: c.table.Version}
	}
	if !c.table.NeedsKey(r) {
		return Admitted{Route: r, Version: c.table.Version}
	}
	workspace, ok := c.table.Workspace(callerKey)
	if !ok {
		return Denied{Reason: UnknownKey, Version: c.table.Version}
	}
	return Admitted{Route: r, Workspace: workspace, Version: c.table.Version}
}
