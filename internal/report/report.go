// Package report reads the logs of gateways and reports by route how many prompts of different lengths were answered, over
// all gateways whose logs it is given. It owns no state beyond one report.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"berylward.example/berylward/internal/lengths"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// KindInput means that a log could not be read.
const KindInput ErrorKind = "input"

// Error reports a log that could not be read.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("report: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// maxLine is the longest log line in bytes.
const maxLine = 1 << 20

// Lengths collects the prompts of the logs. A request that its caller repeats counts once, and as answered if one of its
// attempts was answered.
type Lengths struct {
	// routes tells by route which requests were answered.
	routes map[string]map[repeatKey]bool
}

// repeatKey is the same for a request and its repeats.
type repeatKey struct {
	workspace, fingerprint string
	tokens                 int64
}

// NewLengths returns an empty collection.
func NewLengths() *Lengths { return &Lengths{routes: map[string]map[repeatKey]bool{}} }

// ReadLog adds the requests in a log of JSON lines. Text before the first brace of a line, as collectors of logs put it
// there, and all other lines are ignored.
func (l *Lengths) ReadLog(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, []byte(`"request ended"`)) {
			continue
		}
		var fields struct {
			Message     string `json:"msg"`
			Route       string `json:"route"`
			Workspace   string `json:"workspace"`
			Fingerprint string `json:"fingerprint"`
			Outcome     string `json:"outcome"`
			Prompt      int64  `json:"prompt"`
		}
		if json.Unmarshal(line[start:], &fields) != nil || fields.Message != "request ended" || fields.Prompt == 0 {
			continue
		}
		route := l.routes[fields.Route]
		if route == nil {
			route = map[repeatKey]bool{}
			l.routes[fields.Route] = route
		}
		key := repeatKey{fields.Workspace, fields.Fingerprint, fields.Prompt}
		route[key] = route[key] || fields.Outcome == "answered"
	}
	if err := scanner.Err(); err != nil {
		return &Error{Op: "read log", Kind: KindInput, Err: err}
	}
	return nil
}

// RouteShares are the shares of the prompts of one route.
type RouteShares struct {
	Route string
	lengths.Shares
}

// Routes returns the shares of all routes with prompts, sorted by name.
func (l *Lengths) Routes() []RouteShares {
	var all []RouteShares
	for _, name := range slices.Sorted(maps.Keys(l.routes)) {
		var h lengths.Histogram
		for key, answered := range l.routes[name] {
			h.Record(key.tokens, answered)
		}
		all = append(all, RouteShares{Route: name, Shares: h.Shares()})
	}
	return all
}

// Text formats shares as one line for people.
func Text(s lengths.Shares) string {
	var b strings.Builder
	fmt.Fprintf(&b, "answered %d of %d", s.All.Answered, s.All.All)
	for _, band := range s.Bands {
		fmt.Fprintf(&b, ", %s: %d of %d", band.Name, band.Answered, band.All)
	}
	return b.String()
}
