package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"berylward.example/berylward/platform"
)

// child is one gateway process that the soak started. Only it is ever signaled, by its process id.
type child struct {
	name     string
	program  string
	settings string
	log      *os.File
	// offset draws how far the clock of the process is off at each start.
	offset func() time.Duration

	mu      sync.Mutex
	command *exec.Cmd
	closing bool
	done    sync.WaitGroup
}

// newChild writes the settings and opens the log of a gateway under a folder.
func newChild(program, folder string, s platform.Settings, offset func() time.Duration) (*child, error) {
	data, err := platform.EncodeSettings(s)
	if err != nil {
		return nil, err
	}
	c := &child{name: s.Instance, program: program, offset: offset, settings: filepath.Join(folder, s.Instance+".toml")}
	if err := os.WriteFile(c.settings, data, 0o600); err != nil {
		return nil, &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	if c.log, err = os.Create(filepath.Join(folder, s.Instance+".log")); err != nil {
		return nil, &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	return c, nil
}

// start starts the process, and again whenever it ends, until stop.
func (c *child) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	command := exec.Command(c.program, "gateway", "--settings", c.settings)
	command.Env = append(os.Environ(), ChildVariable+"=1", "BERYLWARD_CLOCK_OFFSET="+c.offset().String())
	out, err := command.StdoutPipe()
	if err != nil {
		return &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	command.Stderr = c.log
	if err := command.Start(); err != nil {
		return &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	c.command = command
	c.done.Go(func() {
		_, _ = io.Copy(c.log, bufio.NewReader(out))
		_ = command.Wait()
		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()
		if !closing {
			if err := c.start(); err != nil {
				_, _ = fmt.Fprintln(c.log, err)
			}
		}
	})
	return nil
}

// signal sends a signal to the process.
func (c *child) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The process may have ended meanwhile; then there is nothing to signal.
	_ = c.command.Process.Signal(s)
}

// stop ends the process for good.
func (c *child) stop() {
	c.mu.Lock()
	c.closing = true
	_ = c.command.Process.Signal(syscall.SIGCONT)
	_ = c.command.Process.Kill()
	c.mu.Unlock()
	c.done.Wait()
	_ = c.log.Close()
}
