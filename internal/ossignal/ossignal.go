// Package ossignal receives the signals of a serving process, from before the start of its command until its end. Without it a
// signal that arrives while the program starts or ends, or a write to a standard output that nobody reads, would end the process
// at once. The package imports little, so it is initialized before the libraries that take milliseconds.
package ossignal

import (
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
)

// servingCommands are the subcommands that serve requests. The others keep the default effect of signals.
var servingCommands = []string{"entry", "gateway", "sidecar"}

var (
	// stops has room for a stop and for a second signal that shortens it. reloads has room for one, because a reload that has not
	// begun serves all signals before it.
	stops   = make(chan os.Signal, 2)
	reloads = make(chan os.Signal, 1)
	// brokenPipes is never read. A signal that is asked for doesn't end the process, and the write returns an error.
	brokenPipes = make(chan os.Signal, 1)
)

var receive = sync.OnceFunc(func() {
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(brokenPipes, syscall.SIGPIPE)
})

func init() {
	if len(os.Args) > 1 && slices.Contains(servingCommands, os.Args[1]) {
		receive()
	}
}

// Stops returns the channel of SIGINT and SIGTERM, including those from before the call.
func Stops() <-chan os.Signal {
	receive()
	return stops
}

// Reloads returns the channel of SIGHUP, including one from before the call. A process that has nothing to reload need not read it.
func Reloads() <-chan os.Signal {
	receive()
	return reloads
}
