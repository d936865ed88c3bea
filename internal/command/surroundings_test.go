package command

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/platform"
)

// childEnv makes the test binary run as the berylward command.
const childEnv = "BERYLWARD_COMMAND_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	if err := New().Execute(); err != nil {
		os.Exit(1)
	}
}

// child is a process of a serving command.
type child struct {
	*exec.Cmd
	admin  netip.AddrPort
	exited chan error
	// log is a file with what the process writes to standard error, and to standard output unless a test reads that.
	log string
}

// addressCount counts the loopback addresses that freeAddress has returned.
var addressCount atomic.Uint32

// childPort is the port on which children listen.
const childPort = 9190

// freeAddress returns a free port of a loopback address that no other caller gets. Ports of 127.0.0.1 that are free now may be
// taken, by another test or by an outgoing connection, before the process of the test listens there.
//
// The port is below the range from which the system takes ports: a port of that range that was free a moment ago may be taken by a
// socket of another process that is bound to all addresses, and the child then could not listen.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	pid, n := os.Getpid(), addressCount.Add(1)
	address := netip.AddrFrom4([4]byte{127, byte(1 + pid/256%254), byte(pid), byte(1 + n%254)})
	free := netip.AddrPortFrom(address, childPort)
	l, err := net.Listen("tcp", free.String())
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return free
}

// newChild returns the process of a command, whose platform or store doesn't answer.
func newChild(t *testing.T, command string) *child {
	t.Helper()
	c := &child{admin: freeAddress(t), exited: make(chan error, 1)}
	args := []string{command, "--admin-listen", c.admin.String()}
	nobody := freeAddress(t)
	switch command {
	case "gateway":
		settings := platform.Settings{Store: nobody, Settings: gateway.Settings{
			Instance: "front-1", Zone: "banos", CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), PeeringAddress: freeAddress(t),
			ShutdownTimeout: 8 * time.Second, RevocationTimeout: 5 * time.Second, RetryShare: 0.2, RetryReserve: 100,
			RetryWindow: 10 * time.Second, HelperTimeout: 1500 * time.Millisecond, MaxLease: 20 * time.Second,
		}}
		data, err := platform.EncodeSettings(settings)
		assert.NilError(t, err)
		file := filepath.Join(t.TempDir(), "settings.toml")
		assert.NilError(t, os.WriteFile(file, data, 0o600))
		args = append(args, "--settings", file)
	case "sidecar":
		args = append(args, "--backend", nobody.String())
		fallthrough
	default:
		args = append(args, "--instance", "front-1", "--zone", "banos", "--platform", nobody.String(), "--listen", freeAddress(t).String())
	}
	c.Cmd = exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), childEnv+"=1")
	c.log = filepath.Join(t.TempDir(), "log")
	log, err := os.Create(c.log)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	c.Stdout, c.Stderr = log, log
	return c
}

func (c *child) start(t *testing.T) {
	t.Helper()
	assert.NilError(t, c.Start())
	go func() { c.exited <- c.Wait() }()
	t.Cleanup(func() { _ = c.Process.Kill() })
}

// droppedLines returns the number of log lines that the process has lost. It fails if the process does not answer.
func (c *child) droppedLines(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.admin.String()+"/debug/vars", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Berylward map[string]map[string]map[string]json.RawMessage
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return 0, err
	}
	var dropped int
	return dropped, json.Unmarshal(vars.Berylward["front-1"]["telemetry"]["log-lines-dropped"], &dropped)
}

func (c *child) awaitAnswer(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case err := <-c.exited:
			log, _ := os.ReadFile(c.log)
			return poll.Error(errors.Errorf("the process has ended: %v: %s", err, log))
		default:
		}
		if _, err := c.droppedLines(t.Context()); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// stopTwice stops the process with two signals, and checks that it ends soon and in order.
func (c *child) stopTwice(t *testing.T) {
	t.Helper()
	assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
	time.Sleep(50 * time.Millisecond)
	if err := c.Process.Signal(syscall.SIGTERM); !errors.Is(err, os.ErrProcessDone) {
		assert.NilError(t, err)
	}
	c.awaitExit(t)
}

// awaitExit checks that the process ends soon, and by itself: a stop that a second signal has cut short may count as failed.
func (c *child) awaitExit(t *testing.T) {
	t.Helper()
	select {
	case <-c.exited:
		assert.Check(t, c.ProcessState.Exited(), c.ProcessState.String())
	case <-time.After(20 * time.Second):
		t.Fatal("the process did not end")
	}
}

// reloads sends so many signals that the process writes more log lines than a small pipe holds.
func (c *child) reloads(t *testing.T) {
	t.Helper()
	for range 60 {
		assert.NilError(t, c.Process.Signal(syscall.SIGHUP))
		time.Sleep(5 * time.Millisecond)
	}
}

// smallPipe returns a pipe of one page.
func smallPipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	const setPipeSize = 1031 // F_SETPIPE_SZ of Linux
	_, _, errno := syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), setPipeSize, 4096)
	assert.Equal(t, errno, syscall.Errno(0))
	t.Cleanup(func() { _ = r.Close() })
	return r, w
}

// Guards against a reader of the log that ends the process when it goes away, keeps it from ending while it blocks, or gets
// nothing any more when it comes back.
func TestReadersOfLog(t *testing.T) {
	cases := map[string]func(*testing.T, *child){
		"goes away": func(t *testing.T, c *child) {
			r, w := smallPipe(t)
			c.Stdout = w
			c.start(t)
			assert.NilError(t, w.Close())
			c.awaitAnswer(t)
			assert.NilError(t, r.Close())
			c.reloads(t)
			dropped, err := c.droppedLines(t.Context())
			assert.NilError(t, err)
			assert.Check(t, dropped > 0, "lost lines are not counted")
		},
		"blocks": func(t *testing.T, c *child) {
			_, w := smallPipe(t)
			c.Stdout = w
			c.start(t)
			assert.NilError(t, w.Close())
			c.awaitAnswer(t)
			c.reloads(t)
			_, err := c.droppedLines(t.Context())
			assert.NilError(t, err)
		},
		"comes back": func(t *testing.T, c *child) {
			path := filepath.Join(t.TempDir(), "log")
			assert.NilError(t, syscall.Mkfifo(path, 0o600))
			open := func(mode int) *os.File {
				f, err := os.OpenFile(path, mode|syscall.O_NONBLOCK, 0)
				assert.NilError(t, err)
				return f
			}
			reader := open(os.O_RDONLY)
			w := open(os.O_WRONLY)
			c.Stdout = w
			c.start(t)
			c.awaitAnswer(t)
			assert.NilError(t, reader.Close())
			c.reloads(t)
			reader = open(os.O_RDONLY)
			c.reloads(t)
			assert.NilError(t, reader.SetReadDeadline(time.Now().Add(5*time.Second)))
			line, err := bufio.NewReader(reader).ReadString('\n')
			assert.NilError(t, err)
			assert.Check(t, json.Valid([]byte(line)), line)
			t.Cleanup(func() { _, _ = w.Close(), reader.Close() })
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newChild(t, "gateway")
			run(t, c)
			c.stopTwice(t)
		})
	}
}

// Guards against signals that end a process while it starts, because they come before the command asks for them, and against
// an entry or a sidecar that ends at the signal for a reload.
func TestSignalsDuringStart(t *testing.T) {
	cases := map[string]struct {
		command string
		signals []syscall.Signal
	}{
		"gateway, reload":                {"gateway", []syscall.Signal{syscall.SIGHUP}},
		"gateway, many reloads":          {"gateway", []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP}},
		"gateway, broken pipe":           {"gateway", []syscall.Signal{syscall.SIGPIPE}},
		"entry, reload and broken pipe":  {"entry", []syscall.Signal{syscall.SIGHUP, syscall.SIGPIPE}},
		"sidecar, reload, broken pipe":   {"sidecar", []syscall.Signal{syscall.SIGHUP, syscall.SIGPIPE}},
		"gateway, stop twice":            {"gateway", []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}},
		"gateway, reload and stop twice": {"gateway", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}},
		"entry, stop twice":              {"entry", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}},
		"sidecar, stop twice":            {"sidecar", []syscall.Signal{syscall.SIGINT, syscall.SIGTERM}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newChild(t, tc.command)
			c.Env = append(c.Env, "GODEBUG=inittrace=1")
			stderr, w, err := os.Pipe()
			assert.NilError(t, err)
			defer func() { _ = stderr.Close() }()
			c.Stderr = w
			c.start(t)
			assert.NilError(t, w.Close())
			early := bufio.NewReader(stderr)
			for {
				line, err := early.ReadString('\n')
				assert.NilError(t, err)
				for _, library := range []string{"k8s.io/", "go.opentelemetry.io/", "github.com/spf13/"} {
					assert.Check(t, !strings.Contains(line, library), "initialized before signals are received: %s", line)
				}
				if strings.Contains(line, "internal/ossignal") {
					break
				}
			}
			log, err := os.OpenFile(c.log, os.O_APPEND|os.O_WRONLY, 0)
			assert.NilError(t, err)
			go func() { _, _ = io.Copy(log, early) }()
			stops := false
			for _, s := range tc.signals {
				assert.NilError(t, c.Process.Signal(s))
				time.Sleep(time.Millisecond)
				stops = stops || s == syscall.SIGTERM
			}
			if stops {
				c.awaitExit(t)
				return
			}
			c.awaitAnswer(t)
			c.stopTwice(t)
		})
	}
}
