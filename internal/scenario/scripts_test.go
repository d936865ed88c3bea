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
	"berylward.example/berylward/internal/platform"
	"berylward.example/berylward/pkg/site"
)

// TestMain makes the test binary run as the berylward command for the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"berylward": func() {
		if err := command.New().Execute(); err != nil {
			os.Exit(1)
		}
	}})
}

// Guards against a path that fails as separate processes on loopback although it works in one: each script starts the
// processes that it names. BERYLWARD_BINARY names another binary to run them with.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			s := &script{t: t, binary: os.Getenv("BERYLWARD_BINARY"), processes: map[string]*process{}, asked: map[string]chan result{}}
			if s.binary == "" {
				s.binary = "berylward"
			}
			env.Values[scriptKey{}] = s
			env.Defer(s.end)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": scripted((*script).platform), "engine": scripted((*script).engine), "desk": scripted((*script).desk),
			"entry": scripted((*script).entry), "publish": scripted((*script).publish), "ready": scripted((*script).ready),
			"ask": scripted((*script).ask), "begin": scripted((*script).begin), "finish": scripted((*script).finish),
			"book": scripted((*script).book), "ran": scripted((*script).ran), "fault": scripted((*script).fault),
			"crash": scripted((*script).crash), "terminate": scripted((*script).terminate), "again": scripted((*script).again),
			"status": scripted((*script).status),
		},
	})
}

type scriptKey struct{}

// script is the state of one script.
type script struct {
	t            *testing.T
	ts           *testscript.TestScript
	binary       string
	processes    map[string]*process
	instances    []platform.Instance
	declarations *site.Declarations
	generation   uint64
	asked        map[string]chan result
}

// process is a process in the background.
type process struct {
	name            string
	args            []string
	command         *exec.Cmd
	address, status netip.AddrPort
	// backend is the name of a sidecar's stand-in.
	backend string
	errors  lines
	ended   chan error
	// gone is closed when the process has ended.
	gone chan struct{}
}

// lines collects what a process writes while it is read.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func scripted(f func(*script, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := ts.Value(scriptKey{}).(*script)
		s.ts = ts
		if err := f(s, args); err != nil {
			for _, p := range s.processes {
				ts.Logf("%s: %s", p.name, p.errors.String())
			}
			ts.Fatalf("%v", err)
		}
	}
}

// end kills what the script has left running.
func (s *script) end() {
	for _, p := range s.processes {
		if p.command != nil {
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
}

// lastPort is the port that was given out last.
var lastPort atomic.Uint32

// firstPort is below the ports that systems give to outgoing connections.
const firstPort = 10000

// ownAddress returns a loopback address that no other process uses: its host is made from this process's id, and
// outgoing connections come from 127.0.0.1. A port that is only looked up as free can be taken before it is used.
func ownAddress() netip.AddrPort {
	id := uint32(os.Getpid())
	host := netip.AddrFrom4([4]byte{127, byte(id>>16) | 0x40, byte(id >> 8), byte(id)})
	return netip.AddrPortFrom(host, uint16(firstPort+lastPort.Add(1)))
}

// start runs berylward in the background.
func (s *script) start(name string, args ...string) (*process, error) {
	address := ownAddress()
	p := &process{name: name, address: address, args: append(args, "--listen", address.String())}
	if args[0] != "stand-in" {
		p.status = ownAddress()
		p.args = append(p.args, "--admin-listen", p.status.String())
	}
	s.processes[name] = p
	return p, s.launch(p)
}

func (s *script) launch(p *process) error {
	c := exec.Command(s.binary, p.args...)
	c.Stderr = &p.errors
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.ended, p.gone = c, make(chan error, 1), make(chan struct{})
	gone := p.gone
	read := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadString('\n')
		read <- line
		_, _ = io.Copy(io.Discard, out)
		p.ended <- c.Wait()
		close(gone)
	}()
	if p.args[0] == "stand-in" && <-read == "" {
		return fmt.Errorf("%s did not start", p.name)
	}
	return nil
}

func (s *script) platform([]string) error {
	s.declarations = declarations(s.t)
	service := s.declarations.Services["booking-desk"]
	service.ClockSkew, service.Workers = 0, map[string]site.ServiceWorker{}
	s.declarations.Services["booking-desk"] = service
	_, err := s.start("platform", "stand-in", "platform")
	return err
}

// engine NAME ZONE starts an engine and its sidecar.
func (s *script) engine(args []string) error { return s.worker(args[0], args[1], "engine", "") }

// desk NAME ZONE starts a booking desk and its sidecar.
func (s *script) desk(args []string) error {
	return s.worker(args[0], args[1], "service", "booking-desk")
}

func (s *script) worker(name, zone, kind, service string) error {
	backend, err := s.start(name+"-backend", "stand-in", kind)
	if err != nil {
		return err
	}
	args := []string{"sidecar", "--instance", name, "--zone", zone, "--platform", s.processes["platform"].address.String(),
		"--backend", backend.address.String()}
	instance := platform.Instance{Name: name, Zone: zone, Region: "azuay", Role: platform.RoleSidecar, Service: service}
	if service != "" {
		args = append(args, "--service", service)
	} else {
		instance.Models = []string{"office-8b"}
	}
	p, err := s.start(name, args...)
	if err != nil {
		return err
	}
	p.backend, instance.Address = backend.name, p.address
	if service != "" {
		s.declarations.Services[service].Workers[name] = site.ServiceWorker{Name: name, Address: p.address, Zone: zone}
	}
	s.instances = append(s.instances, instance)
	return nil
}

// entry NAME ZONE starts an entry.
func (s *script) entry(args []string) error {
	p, err := s.start(args[0], "entry", "--instance", args[0], "--zone", args[1], "--region", "azuay", "--stop-delay", "1ms",
		"--platform", s.processes["platform"].address.String())
	if err != nil {
		return err
	}
	s.instances = append(s.instances, platform.Instance{
		Name: args[0], Zone: args[1], Region: "azuay", Role: platform.RoleEntry, Address: p.address,
	})
	return nil
}

func (s *script) put(path string, body []byte) error {
	r, err := http.NewRequest(http.MethodPut, "http://"+s.processes["platform"].address.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode/100 != 2 {
		return fmt.Errorf("PUT %s: %s", path, w.Status)
	}
	return nil
}

// publish [out ZONE | in ZONE] publishes the declarations and the instance list.
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
