package route

import "time"

// denialAge is how old the proof of a table may be for a request to be denied by it. An older table may lack a route or
// a key that was published since, so the request is refused as not run instead.
const denialAge = 3 * time.Second

// Admission says what a request is admitted to. It is a sealed interface: Admitted, Denied and Unproven are its only
// implementations.
//
//sumtype:decl
type Admission interface{ admission() }

// Admitted names the route and, unless the route is public, the workspace of a request.
type Admitted struct {
	Route     *Route
	Workspace string
	Version   int64
}

// Denial is the reason of a Denied.
type Denial string

// The reasons for a denial.
const (
	NoRoute    Denial = "no-route"
	UnknownKey Denial = "unknown-key"
)

// Denied means that the table in force does not allow the request.
type Denied struct {
	Reason  Denial
	Version int64
}

// Unproven means that the table is missing or too old to decide.
type Unproven struct {
	// Age is how long ago the table was proven to be the newest; zero when there is none.
	Age time.Duration
}

func (Admitted) admission() {}
func (Denied) admission()   {}
func (Unproven) admission() {}

// Book holds the table in force and when it was last proven to be the newest. Its times must come from a clock that
// counts time in which the instance was suspended. It must be used by one goroutine at a time.
type Book struct {
	table *Table
	// proven is when the table was shown to be the newest, own when this gateway itself asked.
	proven, own time.Time
	// keyAge is how old a proof may be for a keyed request; zero means no bound.
	keyAge time.Duration
}

// NewBook returns a book that admits keyed requests only while its proof is younger than keyAge; zero means no bound.
func NewBook(keyAge time.Duration) *Book { return &Book{keyAge: keyAge} }

// Take puts a table into force unless it is older than the present one, and returns whether it did. A version that is
// in force already is not put into force again.
func (b *Book) Take(t *Table) bool {
	if b.table != nil && t.Version <= b.table.Version {
		return false
	}
	b.table = t
	return true
}

// Prove records that the table in force was the newest one at a time.
func (b *Book) Prove(at time.Time) {
	if at.After(b.own) {
		b.own = at
	}
	if at.After(b.proven) {
		b.proven = at
	}
}

// ProveBy records that another gateway found a version of the table to be the newest one at a time. It counts only while
// this gateway has itself proven the table within the time given: the rest of what it believes is only as new as that.
func (b *Book) ProveBy(version int64, at, now time.Time, within time.Duration) bool {
	if b.table == nil || b.table.Version != version || at.After(now) || now.Sub(b.own) > within || !at.After(b.proven) {
		return false
	}
	b.proven = at
	return true
}

// Table returns the table in force, or nil.
func (b *Book) Table() *Table { return b.table }

// Age returns how long ago the table was proven to be the newest.
func (b *Book) Age(now time.Time) time.Duration {
	if b.table == nil {
		return 0
	}
	return now.Sub(b.proven)
}

// Fresh says whether keyed requests are admitted at a time.
func (b *Book) Fresh(now time.Time) bool {
	return b.table != nil && (b.keyAge == 0 || now.Sub(b.proven) < b.keyAge)
}

// Admit decides about a request with a host, a path and a caller key, which may be empty.
func (b *Book) Admit(now time.Time, host, path, key string) Admission {
	if b.table == nil {
		return Unproven{}
	}
	age := now.Sub(b.proven)
	r := b.table.Match(host, path)
	if r == nil {
		return b.deny(age, NoRoute)
	}
	if r.Public {
		return Admitted{Route: r, Version: b.table.Version}
	}
	if !b.Fresh(now) {
		return Unproven{Age: age}
	}
	w, ok := b.table.Workspace(key)
	if !ok {
		return b.deny(age, UnknownKey)
	}
	return Admitted{Route: r, Workspace: w, Version: b.table.Version}
}

func (b *Book) deny(age time.Duration, reason Denial) Admission {
	if age > denialAge {
		return Unproven{Age: age}
	}
	return Denied{Reason: reason, Version: b.table.Version}
}
