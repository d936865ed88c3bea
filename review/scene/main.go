//go:build review

// Command scene runs one case of review/REPORT-2.md: gateways as processes with the command of the deploy file, on loopback addresses,
// among stand-ins of clients, workers and the platform's store that follow the users' pages. It exits with 1 if the rule of
// the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
)

// result is the outcome of a case: what broke the rule, and figures to print.
type result struct {
	breaks []string
	notes  []string
}

func (r *result) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

func (r *result) broke(format string, args ...any) {
	r.breaks = append(r.breaks, fmt.Sprintf(format, args...))
}

var cases = map[string]func(*stage) (*result, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	runtime.LockOSThread() // the gateways end with the thread that has started them
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temporary, err := os.MkdirTemp("", "scene-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	s := &stage{recorder: rec, trouble: os.Getenv("TROUBLE") != "0", folder: temporary, net: 16 + os.Getpid()%200, store: newStore()}
	rec.logf("case %s, with the disruption: %v", name, s.trouble)
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		s.close()
		_ = os.RemoveAll(temporary)
		os.Exit(2)
	}()
	r, err := cases[name](s)
	if err != nil {
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	for _, n := range r.notes {
		rec.logf("%s", n)
		fmt.Println(n)
	}
	if len(r.breaks) == 0 {
		rec.logf("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	rec.logf("the rule was broken %d times", len(r.breaks))
	fmt.Printf("the rule was broken %d times; the first:\n", len(r.breaks))
	for _, b := range r.breaks[:min(len(r.breaks), 5)] {
		rec.logf("  %s", b)
		fmt.Println(" ", b)
	}
	return 1
}
