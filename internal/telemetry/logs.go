// Package telemetry sets up the logs, metrics and traces of a process: JSON log lines and expvar metrics grouped by
// slice, and traces with a span for each hop. A slice is one component of the process, such as entry or sidecar. The
// package holds no state of any request.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strconv"
	"strings"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindSetting means that a setting is malformed.
	KindSetting ErrorKind = "setting"
	// KindExporter means that the trace exporter could not be created.
	KindExporter ErrorKind = "exporter"
)

// Error reports a failure to set up logs, metrics or traces.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("telemetry: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Logs creates the loggers of a process.
type Logs struct {
	out    io.Writer
	levels map[string]int
}

// logSlices are the names of the loggers of all processes, and default, which stands for those that are not listed.
var logSlices = []string{"command", "default", "entry", "gateway", "klog", "sidecar"}

// NewLogs returns Logs that write JSON lines to out. levels is a comma-separated list of slice=verbosity, such as
// "sidecar=2,default=0". A slice that is not listed has the verbosity of default, which is 0 if absent. Libraries that
// log through klog write to out as well, under the slice klog. NewLogs returns an Error of KindSetting for a slice that
// does not exist or a verbosity that is not a number from 0.
func NewLogs(out io.Writer, levels string) (*Logs, error) {
	l := &Logs{out: out, levels: map[string]int{}}
	for _, field := range strings.FieldsFunc(levels, func(r rune) bool { return r == ',' }) {
		name, value, ok := strings.Cut(field, "=")
		level, err := strconv.Atoi(value)
		if !ok || err != nil || level < 0 {
			return nil, &Error{Op: "logs", Kind: KindSetting, Err: fmt.Errorf("%q: want slice=verbosity, such as sidecar=2", field)}
		}
		name = strings.TrimSpace(name)
		if !slices.Contains(logSlices, name) {
			return nil, &Error{Op: "logs", Kind: KindSetting, Err: fmt.Errorf("%q: want one of %s", name, strings.Join(logSlices, ", "))}
		}
		l.levels[name] = level
	}
	klog.SetSlogLogger(slog.New(l.handler("klog")))
	return l, nil
}

// DiscardLogs returns Logs that drop all lines, for tests and measurements.
func DiscardLogs() *Logs { return &Logs{out: io.Discard, levels: map[string]int{}} }

// Logger returns the logger of a slice. Each line has the name of the slice in the field "slice".
func (l *Logs) Logger(slice string) klog.Logger {
	return logr.FromSlogHandler(l.handler(slice))
}

func (l *Logs) handler(slice string) slog.Handler {
	level, ok := l.levels[slice]
	if !ok {
		level = l.levels["default"]
	}
	handler := slog.NewJSONHandler(l.out, &slog.HandlerOptions{Level: slog.Level(-level)})
	return handler.WithAttrs([]slog.Attr{slog.String("slice", slice)})
}
