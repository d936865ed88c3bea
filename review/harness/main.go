//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// result is what a case found.
type result struct {
	broken  []string // the ways in which the rule was broken
	summary string
}

// cases by the name that run.sh gives.
var cases = map[string]func(f *fleet, trouble bool) (result, error){}

// The exit codes: the rule held, was broken, or the case could not run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(runCase()) }

// runCase runs the case that the first argument names. The second is the folder for record.txt, the third the program.
func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE FOLDER PROGRAM")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord()
	f, err := newFleet(rec, os.Args[3])
	if err != nil {
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(exitNotRun)
	}()
	began := time.Now()
	r, err := cases[os.Args[1]](f, trouble)
	f.close()
	for _, b := range r.broken {
		rec.add("BROKEN: %s", b)
	}
	rec.add("result: %d broken; %s", len(r.broken), r.summary)
	if werr := rec.write(filepath.Join(os.Args[2], "record.txt")); werr != nil {
		fmt.Println("could not run:", werr)
		return exitNotRun
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(r.broken) > 0:
		fmt.Printf("broken %d times in %.0f s; %s; the first: %s\n", len(r.broken), time.Since(began).Seconds(), r.summary, r.broken[0])
		return exitBroken
	}
	fmt.Printf("held in %.0f s; %s\n", time.Since(began).Seconds(), r.summary)
	return exitHeld
}
