package tablecheck

import "fmt"

// Finding is what was found at a place of a table. It is a sealed interface: its implementations are the types in this file.
// Describe returns its text.
//
//sumtype:decl
type Finding interface{ finding() }

// Unreadable means that the file holds no table.
type Unreadable struct{ Found, Allowed string }

// Invalid means that a value has a wrong type or is out of range.
type Invalid struct {
	Place          Place
	Found, Allowed string
}

// Missing means that a value is missing or empty.
type Missing struct {
	Place   Place
	Allowed string
}

// Duplicate means that a name or key occurs again although it must be unique.
type Duplicate struct {
	Place Place
	// First is the place where it occurs first.
	First Place
	What  string
}

// Undeclared means that a route names a service that the table does not declare.
type Undeclared struct {
	Place   Place
	Service string
}

// NeverUsed means that an entry or value never takes effect.
type NeverUsed struct {
	Place Place
	// Because is the place of the entry that hides this one, if there is one.
	Because       *Place
	Found, Reason string
}

// Contradiction means that two values contradict each other, or that no request can meet a limit.
type Contradiction struct {
	Place          Place
	Found, Allowed string
}

// Doubtful means that a table is accepted but probably does something else than intended.
type Doubtful struct {
	Place          Place
	Found, Allowed string
}

// Exposed means that the version in force has a list of workspaces and the new one has none, which opens all routes.
type Exposed struct {
	Place Place
	// Routes is the number of routes that are not public.
	Routes int
}

// NotNewer means that gateways ignore the table because its version does not exceed the one in force.
type NotNewer struct {
	Place            Place
	Version, InForce int64
}

// Added means that an entry is not in the version in force.
type Added struct {
	Place Place
	What  string
}

// Removed means that an entry is only in the version in force.
type Removed struct {
	// Place is a place of the version in force.
	Place Place
	What  string
}

// Changed means that a value differs from the one in force.
type Changed struct {
	Place          Place
	What, Old, New string
}

func (Unreadable) finding()    {}
func (Invalid) finding()       {}
func (Missing) finding()       {}
func (Duplicate) finding()     {}
func (Undeclared) finding()    {}
func (NeverUsed) finding()     {}
func (Contradiction) finding() {}
func (Doubtful) finding()      {}
func (Exposed) finding()       {}
func (NotNewer) finding()      {}
func (Added) finding()         {}
func (Removed) finding()       {}
func (Changed) finding()       {}

// Severity says what a finding means for publishing the table.
type Severity string

// The severities.
const (
	// SeverityError means that gateways refuse the table or a part of its requests, or ignore an entry.
	SeverityError Severity = "error"
	// SeverityWarning means that the table works, but probably not as intended.
	SeverityWarning Severity = "warning"
	// SeverityDifference means a difference from the version in force.
	SeverityDifference Severity = "difference"
)

// Description is a finding as text.
type Description struct {
	// Kind is a stable name of the kind of finding, for scripts.
	Kind     string
	Severity Severity
	Place    Place
	// InForce is set if Place is in the version in force.
	InForce bool
	// Related is another place that the finding is about, or nil.
	Related *Place
	// Found says what was found or what differs. Allowed says what is allowed; it is empty for differences.
	Found, Allowed string
}

// Describe returns the text of a finding.
func Describe(f Finding) Description {
	switch f := f.(type) {
	case Unreadable:
		return Description{Kind: "unreadable", Severity: SeverityError, Found: f.Found, Allowed: f.Allowed}
	case Invalid:
		return Description{Kind: "invalid", Severity: SeverityError, Place: f.Place, Found: f.Found, Allowed: f.Allowed}
	case Missing:
		return Description{Kind: "missing", Severity: SeverityError, Place: f.Place, Found: "nothing", Allowed: f.Allowed}
	case Duplicate:
		return Description{Kind: "duplicate", Severity: SeverityError, Place: f.Place, Related: &f.First, Found: f.What + " again", Allowed: "once in the table"}
	case Undeclared:
		return Description{Kind: "undeclared", Severity: SeverityError, Place: f.Place, Found: fmt.Sprintf("service %q, which no entry declares", f.Service), Allowed: "the name of a declared service"}
	case NeverUsed:
		return Description{Kind: "never-used", Severity: SeverityWarning, Place: f.Place, Related: f.Because, Found: f.Found, Allowed: f.Reason}
	case Contradiction:
		return Description{Kind: "contradiction", Severity: SeverityError, Place: f.Place, Found: f.Found, Allowed: f.Allowed}
	case Doubtful:
		return Description{Kind: "doubtful", Severity: SeverityWarning, Place: f.Place, Found: f.Found, Allowed: f.Allowed}
	case Exposed:
		return Description{Kind: "exposed", Severity: SeverityWarning, Place: f.Place, Found: fmt.Sprintf("no list of workspaces, so that %d route(s) that are not public need no key any more", f.Routes), Allowed: "a list of workspaces, or public routes only"}
	case NotNewer:
		return Description{Kind: "not-newer", Severity: SeverityError, Place: f.Place, Found: fmt.Sprintf("version %d", f.Version), Allowed: fmt.Sprintf("a version above %d, which is in force", f.InForce)}
	case Added:
		return Description{Kind: "added", Severity: SeverityDifference, Place: f.Place, Found: f.What + " is added"}
	case Removed:
		return Description{Kind: "removed", Severity: SeverityDifference, Place: f.Place, InForce: true, Found: f.What + " is removed"}
	case Changed:
		return Description{Kind: "changed", Severity: SeverityDifference, Place: f.Place, Found: fmt.Sprintf("%s changes from %s to %s", f.What, f.Old, f.New)}
	}
	// The linter checks that the switch is complete.
	return Description{Kind: "unknown", Severity: SeverityError}
}
