package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"berylward.example/berylward/internal/command"
	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/pkg/site"
)

// TestMain lets the scripts run the test binary as the berylward command.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"berylward": func() {
		if err := command.New().Execute(); err != nil {
			os.Exit(1)
		}
	}})
}

// Guards against failures that occur only when the components run as separate processes on loopback. Each script
// starts the processes that it names. BERYLWARD_BINARY selects another binary to run.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			s := &script{test: t, binary: os.Getenv("BERYLWARD_BINARY"), processes: map[string]*process{}, pending: map[string]chan result{}}
			if s.binary == "" {
				s.binary = "berylward"
			}
			env.Values[scriptKey{}] = s
			env.Defer(s.killAll)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": scriptCommand((*script).platform), "engine": scriptCommand((*script).engine),
			"booking-service": scriptCommand((*script).bookingService), "entry": scriptCommand((*script).entry),
			"publish": scriptCommand((*script).publish), "ready": scriptCommand((*script).ready),
			"ask": scriptCommand((*script).ask), "begin": scriptCommand((*script).begin), "finish": scriptCommand((*script).finish),
			"book": scriptCommand((*script).book), "ran": scriptCommand((*script).ran), "fault": scriptCommand((*script).fault),
			"crash": scriptCommand((*script).crash), "terminate": scriptCommand((*script).terminate), "again": scriptCommand((*script).again),
			"status": scriptCommand((*script).status), "flood": scriptCommand((*script).flood), "memory": scriptCommand((*script).memory),
		},
	})
}

type scriptKey struct{}

// script is the state of one running script.
type script struct {
	test         *testing.T
	testScript   *testscript.TestScript
	binary       string
	processes    map[string]*process
	instances    []platformclient.Instance
	declarations *site.Declarations
	generation   uint64
	pending      map[string]chan result
}

// process is a berylward process in the background.
type process struct {
	name                        string
	args                        []string
	cmd                         *exec.Cmd
	listenAddress, adminAddress netip.AddrPort
	// backend is the name of the stand-in behind a sidecar.
	backend   string
	stderr    syncBuffer
	exitError chan error
	// exited is closed when the process has exited.
	exited chan struct{}
}

// syncBuffer collects the output of a process and can be read while the process writes.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func scriptCommand(f func(*script, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := ts.Value(scriptKey{}).(*script)
		s.testScript = ts
		if err := f(s, args); err != nil {
			for _, p := range s.processes {
				ts.Logf("%s: %s", p.name, p.stderr.String())
			}
			ts.Fatalf("%v", err)
		}
	}
}

// killAll kills the processes that the script has left running.
func (s *script) killAll() {
	for _, p := range s.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.exitError
		}
	}
}

// lastPortOffset is the offset from firstPort of the port that was assigned last.
var lastPortOffset atomic.Uint32

// firstPort is below the range that operating systems use for outgoing connections.
const firstPort = 10000

// uniqueAddress returns a loopback address that no other process uses. Its host is derived from the id of this
// process, and outgoing connections come from 127.0.0.1. Looking up a free port would not be enough, because another
// process could take the port before it is used.
func uniqueAddress() netip.AddrPort {
	id := uint32(os.Getpid())
	host := netip.AddrFrom4([4]byte{127, byte(id>>16) | 0x40, byte(id >> 8), byte(id)})
	return netip.AddrPortFrom(host, uint16(firstPort+lastPortOffset.Add(1)))
}

// startProcess starts berylward in the background.
func (s *script) startProcess(name string, args ...string) (*process, error) {
	address := uniqueAddress()
	p := &process{name: name, listenAddress: address, args: append(args, "--listen", address.String())}
	if args[0] != "stand-in" {
		p.adminAddress = uniqueAddress()
		p.args = append(p.args, "--admin-listen", p.adminAddress.String())
	}
	s.processes[name] = p
	return p, s.launch(p)
}

func (s *script) launch(p *process) error {
	c := exec.Command(s.binary, p.args...)
	c.Stderr = &p.stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	p.cmd, p.exitError, p.exited = c, make(chan error, 1), make(chan struct{})
	exited := p.exited
	firstLine := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadString('\n')
		firstLine <- line
		_, _ = io.Copy(io.Discard, out)
		p.exitError <- c.Wait()
		close(exited)
	}()
	if p.args[0] == "stand-in" && <-firstLine == "" {
		return fmt.Errorf("%s did not start", p.name)
	}
	return nil
}

// platform loads the declarations and starts the stand-in platform.
func (s *script) platform([]string) error {
	s.declarations = loadDeclarations(s.test)
	service := s.declarations.Services["booking-desk"]
	service.ClockSkew, service.Workers = 0, map[string]site.ServiceWorker{}
	s.declarations.Services["booking-desk"] = service
	_, err := s.startProcess("platform", "stand-in", "platform")
	return err
}

// engine NAME ZONE starts a stand-in engine and its sidecar.
func (s *script) engine(args []string) error { return s.startWorker(args[0], args[1], "engine", "") }

// booking-service NAME ZONE [FLAG ...] starts a stand-in booking service and its sidecar, which gets the flags.
func (s *script) bookingService(args []string) error {
	return s.startWorker(args[0], args[1], "service", "booking-desk", args[2:]...)
}

func (s *script) startWorker(name, zone, kind, service string, flags ...string) error {
	backend, err := s.startProcess(name+"-backend", "stand-in", kind)
	if err != nil {
		return err
	}
	args := []string{"sidecar", "--instance", name, "--zone", zone, "--platform", s.processes["platform"].listenAddress.String(),
		"--backend", backend.listenAddress.String()}
	instance := platformclient.Instance{Name: name, Zone: zone, Region: "azuay", Role: platformclient.RoleSidecar, Service: service}
	if service != "" {
		args = append(args, "--service", service)
	} else {
		instance.Models = []string{"office-8b"}
	}
	p, err := s.startProcess(name, append(args, flags...)...)
	if err != nil {
		return err
	}
	p.backend, instance.Address = backend.name, p.listenAddress
	if service != "" {
		s.declarations.Services[service].Workers[name] = site.ServiceWorker{Name: name, Address: p.listenAddress, Zone: zone}
	}
	s.instances = append(s.instances, instance)
	return nil
}

// entry NAME ZONE [FLAG ...] starts an entry with the flags.
func (s *script) entry(args []string) error {
	p, err := s.startProcess(args[0], append([]string{"entry", "--instance", args[0], "--zone", args[1], "--region", "azuay", "--stop-delay", "1ms",
		"--platform", s.processes["platform"].listenAddress.String()}, args[2:]...)...)
	if err != nil {
		return err
	}
	s.instances = append(s.instances, platformclient.Instance{
		Name: args[0], Zone: args[1], Region: "azuay", Role: platformclient.RoleEntry, Address: p.listenAddress,
	})
	return nil
}

func (s *script) put(path string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+s.processes["platform"].listenAddress.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("PUT %s: %s", path, resp.Status)
	}
	return nil
}

// publish [out ZONE | in ZONE] publishes the declarations and the instance list, after taking a zone out of service
// or returning it if one is given.
func (s *script) publish(args []string) error {
	if len(args) == 2 {
		z := s.declarations.Zones[args[1]]
		z.Out = args[0] == "out"
		s.declarations.Zones[args[1]] = z
	}
	s.generation++
	manifest, shards, err := site.Render(s.declarations, s.generation)
	if err != nil {
		return err
	}
	for i, shard := range shards {
		if err := s.put("/stand-in/values/"+site.ShardName(manifest.Shards[i].Digest), shard); err != nil {
			return err
		}
	}
	encoded, err := manifest.Encode()
	if err != nil {
		return err
	}
	list, err := json.Marshal(s.instances)
	if err != nil {
		return err
	}
	if err := s.put("/stand-in/instances", list); err != nil {
		return err
	}
	return s.put("/stand-in/values/"+site.ManifestName, encoded)
}
