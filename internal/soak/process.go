package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"berylward.example/berylward/platform"
)

// gatewayProcess is one gateway process that the soak started. Signals are sent to this process only, by its process
// ID.
type gatewayProcess struct {
	name     string
	program  string
	settings string
	log      *os.File
	reader   pausedReader
	// nextClockOffset returns the clock offset for the next start of the process.
	nextClockOffset func() time.Duration

	mu       sync.Mutex
	command  *exec.Cmd
	stopping bool
	// peakMemory is the largest resident memory in bytes of a process of this gateway, as of its last signal.
	peakMemory int64
	tasks      sync.WaitGroup
}

// newGatewayProcess writes the settings file of a gateway and opens its log file, both in the given folder.
func newGatewayProcess(program, folder string, gatewaySettings platform.Settings, offset func() time.Duration) (*gatewayProcess, error) {
	data, err := platform.EncodeSettings(gatewaySettings)
	if err != nil {
		return nil, err
	}
	process := &gatewayProcess{name: gatewaySettings.Instance, program: program, nextClockOffset: offset, settings: filepath.Join(folder, gatewaySettings.Instance+".toml")}
	if err := os.WriteFile(process.settings, data, 0o600); err != nil {
		return nil, &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	if process.log, err = os.Create(filepath.Join(folder, gatewaySettings.Instance+".log")); err != nil {
		return nil, &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	return process, nil
}

// start starts the process. The process is restarted whenever it exits, until stop is called.
func (p *gatewayProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.program, "gateway", "--settings", p.settings)
	command.Env = append(os.Environ(), GatewayProcessEnv+"=1", "BERYLWARD_CLOCK_OFFSET="+p.nextClockOffset().String())
	stdout, err := command.StdoutPipe()
	if err != nil {
		return &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	command.Stderr = p.log
	if err := command.Start(); err != nil {
		return &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	p.command = command
	p.tasks.Go(func() {
		p.reader.copy(p.log, stdout)
		_ = command.Wait()
		p.mu.Lock()
		stopping := p.stopping
		p.mu.Unlock()
		if !stopping {
			if err := p.start(); err != nil {
				_, _ = fmt.Fprintln(p.log, err)
			}
		}
	})
	return nil
}

func (p *gatewayProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordMemory()
	// The process may have exited meanwhile. Then there is nothing to signal.
	_ = p.command.Process.Signal(s)
}

// memory returns the largest resident memory in bytes of the processes of this gateway that have been signaled.
func (p *gatewayProcess) memory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakMemory
}

// recordMemory reads the largest resident memory of the process. The usage that the system reports at the end of a process
// also counts its parent, so it cannot be used. The caller holds the lock.
func (p *gatewayProcess) recordMemory() {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return // The process has exited.
	}
	for line := range strings.Lines(string(status)) {
		var kib int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kib); n == 1 {
			p.peakMemory = max(p.peakMemory, kib<<10)
		}
	}
}

// stop kills the process, waits for its end and closes the log.
func (p *gatewayProcess) stop() {
	p.mu.Lock()
	p.stopping = true
	p.recordMemory()
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	p.mu.Unlock()
	p.tasks.Wait()
	_ = p.log.Close()
}
