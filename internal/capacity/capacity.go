// Package capacity measures the control-plane cost of one process and its slope over the number of links, workspaces,
// instances, keys and tokens. The figures of docs/CAPACITY.md come from it. Everything runs in one process on loopback,
// so the CPU and memory figures of a link include both of its sides, and the page halves them. No state outlives a
// measurement, and the caller of Run owns its result. The package reads the wall clock directly, because the figures
// are times measured on this machine.
package capacity

import (
	"context"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

// ErrorKind classifies an Error.
type ErrorKind string

// KindSetup means that the setup of a measurement or one of its requests failed.
const KindSetup ErrorKind = "setup"

// Error reports a failed measurement.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("capacity: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Point is one measurement at one size.
type Point struct {
	Size int `json:"size"`
	// Figures maps the name of a figure, with its unit, to its value.
	Figures map[string]float64 `json:"figures"`
}

// Series is a measurement at several sizes, with the slope of each figure per unit of size.
type Series struct {
	Name   string             `json:"name"`
	Unit   string             `json:"unit"`
	Points []Point            `json:"points"`
	Slopes map[string]float64 `json:"slopes"`
}

// measurement is one kind of measurement. Its run function is called once for each size; only measureLinks uses the
// span.
type measurement struct {
	name, unit string
	sizes      []int
	run        func(ctx context.Context, size int, span time.Duration) (map[string]float64, error)
}

var measurements = []measurement{
	{"links", "link", []int{8, 24, 72}, measureLinks},
	{"workspaces", "declared workspace", []int{1_100, 11_000, 44_000}, measureWorkspaces},
	{"instances", "instance in the list", []int{100, 400, 1_600}, measureInstances},
	{"spread", "process", []int{100, 400, 1_600}, measurePropagation},
	{"keys", "booking key", []int{1_000, 10_000, 50_000}, measureKeys},
	{"tokens", "generated token of an answer", []int{1, 100, 400}, measureTokens},
}

// Run makes the measurements named in only, or all if it is empty; unknown names are ignored. span is how long idle links
// are observed. The first measurement that fails ends the run with an *Error.
func Run(ctx context.Context, span time.Duration, only []string, progress io.Writer) ([]Series, error) {
	var all []Series
	for _, m := range measurements {
		if len(only) > 0 && !slices.Contains(only, m.name) {
			continue
		}
		s := Series{Name: m.name, Unit: m.unit}
		for _, size := range m.sizes {
			fmt.Fprintf(progress, "measuring %s at %d\n", m.name, size)
			figures, err := m.run(ctx, size, span)
			if err != nil {
				return nil, err
			}
			s.Points = append(s.Points, Point{Size: size, Figures: figures})
		}
		s.Slopes = slopes(s.Points)
		all = append(all, s)
	}
	return all, nil
}

// slopes returns the slope of each figure by a least-squares fit.
func slopes(points []Point) map[string]float64 {
	result := map[string]float64{}
	n := float64(len(points))
	for name := range points[0].Figures {
		var sx, sy, sxx, sxy float64
		for _, p := range points {
			x, y := float64(p.Size), p.Figures[name]
			sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
		}
		if d := n*sxx - sx*sx; d != 0 {
			result[name] = (n*sxy - sx*sy) / d
		}
	}
	return result
}

// Table writes the series as a text table.
func Table(w io.Writer, all []Series) {
	for _, s := range all {
		fmt.Fprintf(w, "%s\n", s.Name)
		for _, name := range slices.Sorted(maps.Keys(s.Slopes)) {
			var cells []string
			for _, p := range s.Points {
				cells = append(cells, fmt.Sprintf("%d: %.4g", p.Size, p.Figures[name]))
			}
			fmt.Fprintf(w, "  %-34s %-50s slope %.4g for each %s\n", name, strings.Join(cells, "  "), s.Slopes[name], s.Unit)
		}
	}
}

// cpuTime returns the CPU time of this process, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the bytes of live heap and stacks after garbage collection.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
