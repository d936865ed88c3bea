package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/tablecheck"
	"berylward.example/berylward/platform"
)

// The exit statuses of table check, besides 0.
const (
	statusErrors   = 1
	statusWarnings = 2
	// statusUnchecked means that a file could not be read, or that the call was wrong.
	statusUnchecked = 3
)

const (
	// standardInput is the argument that stands for standard input, and standardInputName its name in findings.
	standardInput     = "-"
	standardInputName = "<stdin>"
)

func newTableCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "table",
		Short: "Check routing tables of gateways",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(newTableCheck())
	return cmd
}

func newTableCheck() *cobra.Command {
	against, output := "", "text"
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check routing tables before they are published",
		Long: "Check routing tables as operators publish them to the store. FILE is a JSON file, or - for standard input.\n" +
			"With --against, the differences from the version in force are listed too, and an older or equal version is an error.\n" +
			"Keys are shown by a short hash only.\n\n" +
			"Each finding is one line on standard output:\n\n" +
			"    FILE:LINE:COLUMN: SEVERITY: PATH: found WHAT; allowed: WHAT [KIND]\n\n" +
			"SEVERITY is error, warning or difference. A difference has neither \"found\" nor \"allowed\", and names the file of the\n" +
			"version in force if it is about an entry that is removed. A summary goes to standard error.\n\n" +
			"The exit status is 0 without findings or with differences only, 1 with errors, 2 with warnings but no errors, and 3\n" +
			"if a file cannot be read or the call is wrong.",
		Example: "  berylward table check table.json\n" +
			"  berylward table check --against in-force.json table.json\n" +
			"  generate-table | berylward table check --output json -",
		Args: func(cmd *cobra.Command, args []string) error {
			return withStatus(statusUnchecked, cobra.MinimumNArgs(1)(cmd, args))
		},
	}
	s := newSettings(cmd)
	s.stringVar(&against, "against", "a file", "version in force, a JSON file or - for standard input")
	s.enumVar(&output, []string{"text", "json"}, "output", "output format")
	validate := cmd.PreRunE
	cmd.PreRunE = func(cmd *cobra.Command, args []string) error {
		return withStatus(statusUnchecked, validate(cmd, args))
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return withStatus(statusUnchecked, err) })
	cmd.RunE = func(cmd *cobra.Command, files []string) error {
		checks, err := checkTables(cmd.InOrStdin(), files, against)
		if err != nil {
			return withStatus(statusUnchecked, err)
		}
		write := writeTableText
		if output == "json" {
			write = writeTableJSON
		}
		if err := write(cmd.OutOrStdout(), checks, displayName(against)); err != nil {
			return withStatus(statusUnchecked, err)
		}
		for _, c := range checks {
			fmt.Fprintln(cmd.ErrOrStderr(), c.summary())
		}
		return tableStatus(checks)
	}
	return cmd
}

// tableCheck is the check of one file.
type tableCheck struct {
	file string
	// err is set if the file could not be read; report is empty then.
	err    error
	report platform.TableReport
}

// checkTables checks each file. An unreadable file does not keep the others from being checked. The error is that of the
// version in force, without which nothing is checked, or of a wrong call.
func checkTables(stdin io.Reader, files []string, against string) ([]tableCheck, error) {
	inputs := 0
	for _, name := range append([]string{against}, files...) {
		if name == standardInput {
			inputs++
		}
	}
	if inputs > 1 {
		return nil, errors.New("standard input can be read only once")
	}
	var inForce []byte
	if against != "" {
		data, err := readTable(stdin, against)
		if err != nil {
			return nil, err
		}
		inForce = data
	}
	checks := make([]tableCheck, 0, len(files))
	for _, name := range files {
		c := tableCheck{file: displayName(name)}
		var data []byte
		if data, c.err = readTable(stdin, name); c.err == nil {
			c.report = platform.CheckTable(data, inForce)
		}
		checks = append(checks, c)
	}
	return checks, nil
}

func displayName(file string) string {
	if file == standardInput {
		return standardInputName
	}
	return file
}

// readTable reads a file up to one byte more than the largest table, with which the check refuses it. The result is not nil,
// also for an empty file.
func readTable(stdin io.Reader, name string) ([]byte, error) {
	in := stdin
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, platform.MaxTableBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", displayName(name))
	}
	return data, nil
}

// summary returns the result of a file on one line.
func (c *tableCheck) summary() string {
	if c.err != nil {
		return fmt.Sprintf("%s: not checked: %v", c.file, c.err)
	}
	r := c.report
	omitted, table := "", fmt.Sprintf("version %d with %d route(s), %d service(s) and %d workspace(s)", r.Version, r.Routes, r.Services, r.Workspaces)
	if !r.Readable {
		table = "no table"
	}
	if r.Omitted > 0 {
		omitted = fmt.Sprintf("; %d finding(s) not shown", r.Omitted)
	}
	return fmt.Sprintf("%s: %s: %d error(s), %d warning(s), %d difference(s)%s", c.file, table, r.Counts[tablecheck.SeverityError],
		r.Counts[tablecheck.SeverityWarning], r.Counts[tablecheck.SeverityDifference], omitted)
}

// tableStatus returns an error with the exit status of all files, or nil.
func tableStatus(checks []tableCheck) error {
	unchecked, errorCount, warnings := 0, 0, 0
	for _, c := range checks {
		if c.err != nil {
			unchecked++
		}
		errorCount += c.report.Counts[tablecheck.SeverityError]
		warnings += c.report.Counts[tablecheck.SeverityWarning]
	}
	switch {
	case unchecked > 0:
		return withStatus(statusUnchecked, errors.Errorf("%d file(s) could not be read", unchecked))
	case errorCount > 0:
		return withStatus(statusErrors, errors.Errorf("%d error(s)", errorCount))
	case warnings > 0:
		return withStatus(statusWarnings, errors.Errorf("%d warning(s)", warnings))
	}
	return nil
}

// writeTableText writes one line for each finding.
func writeTableText(w io.Writer, checks []tableCheck, against string) error {
	var b strings.Builder
	for _, c := range checks {
		for _, f := range c.report.Findings {
			fmt.Fprintf(&b, "%s:%d:%d: %s: %s: ", fileOf(c.file, against, f), f.Line, f.Column, f.Severity, f.Path)
			if f.Severity == tablecheck.SeverityDifference {
				b.WriteString(f.Found)
			} else {
				fmt.Fprintf(&b, "found %s; allowed: %s", f.Found, f.Allowed)
			}
			if f.RelatedPath != "" {
				fmt.Fprintf(&b, "; first at %s in line %d", f.RelatedPath, f.RelatedLine)
			}
			fmt.Fprintf(&b, " [%s]\n", f.Kind)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// fileOf returns the file that a finding is in.
func fileOf(file, against string, f platform.TableFinding) string {
	if f.InForce {
		return against
	}
	return file
}

// writeTableJSON writes one JSON object with the result of each file.
func writeTableJSON(w io.Writer, checks []tableCheck, against string) error {
	type related struct {
		Path string `json:"path"`
		Line int    `json:"line"`
	}
	type finding struct {
		File     string              `json:"file"`
		Line     int                 `json:"line"`
		Column   int                 `json:"column"`
		Path     string              `json:"path"`
		Severity tablecheck.Severity `json:"severity"`
		Kind     string              `json:"kind"`
		Found    string              `json:"found"`
		Allowed  string              `json:"allowed,omitempty"`
		Related  *related            `json:"related,omitempty"`
	}
	type result struct {
		File        string    `json:"file"`
		Unreadable  string    `json:"unreadable,omitempty"`
		Version     int64     `json:"version"`
		Errors      int       `json:"errors"`
		Warnings    int       `json:"warnings"`
		Differences int       `json:"differences"`
		Omitted     int       `json:"omitted"`
		Findings    []finding `json:"findings"`
	}
	results := make([]result, 0, len(checks))
	for _, c := range checks {
		counts := c.report.Counts
		r := result{
			File: c.file, Version: c.report.Version, Errors: counts[tablecheck.SeverityError], Warnings: counts[tablecheck.SeverityWarning],
			Differences: counts[tablecheck.SeverityDifference], Omitted: c.report.Omitted, Findings: []finding{},
		}
		if c.err != nil {
			r.Unreadable = c.err.Error()
		}
		for _, f := range c.report.Findings {
			out := finding{fileOf(c.file, against, f), f.Line, f.Column, f.Path, f.Severity, f.Kind, f.Found, f.Allowed, nil}
			if f.RelatedPath != "" {
				out.Related = &related{f.RelatedPath, f.RelatedLine}
			}
			r.Findings = append(r.Findings, out)
		}
		results = append(results, r)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(map[string][]result{"files": results})
}

// StatusError is an error that ends the process with a status of its own.
type StatusError struct {
	Status int
	Err    error
}

// Error implements error.
func (e *StatusError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *StatusError) Unwrap() error { return e.Err }

// withStatus returns err with an exit status, or nil.
func withStatus(status int, err error) error {
	if err == nil {
		return nil
	}
	return &StatusError{Status: status, Err: err}
}

// ExitStatus returns the exit status for the result of a command: 0 without an error, and 1 for an error without a status of
// its own.
func ExitStatus(err error) int {
	var e *StatusError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		return e.Status
	}
	return 1
}
