//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stage holds what one case has started.
type stage struct {
	*recorder
	trouble bool
	folder  string // temporary files
	net     int    // the second byte of all addresses
	store   *store
	servers []*http.Server
	closers []io.Closer
	gates   []*gate
	lastID  int
	idMu    sync.Mutex
}

// ip returns a loopback address of this case.
func (s *stage) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.net, group, number)
}

// listen serves a handler at an address.
func (s *stage) listen(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return server, nil
}

// gate is one gateway process, started with the command of the deploy file.
type gate struct {
	stage         *stage
	name, zone    string
	ip            string
	seeds         []string
	door          *door
	front, ready  string
	storeAddress  string
	settings, log string
	command       *exec.Cmd
	done          chan struct{}
	state         *os.ProcessState
}

const settingsTemplate = `nodeId = "%[1]s"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "pl-central"
internalPorts = [7340,7355]
seeds = [%[4]s]
bootstrap = true
inFaultBudget = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"]
[zones]
pl-central-a = "pl-central"
pl-central-b = "pl-central"
pl-central-c = "pl-central"
[listen]
front = "%[2]s:8227"
ready = "%[2]s:8220"
control = "%[2]s:8229"
[limits]
cpuShare = 0.304
cores = 1
memoryMb = 284
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 100
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
[platform]
address = "%[5]s"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// addGate prepares a gateway with a door to the store of its own. peers are the addresses of other gateways' machines.
func (s *stage) addGate(number int, zone string, peers ...string) (*gate, error) {
	g := &gate{stage: s, name: fmt.Sprintf("front-%d", number), zone: zone, ip: s.ip(1, number), door: &door{store: s.store}}
	g.front, g.ready = g.ip+":8227", g.ip+":8220"
	g.storeAddress = s.ip(3, number) + ":8223"
	for _, p := range peers {
		g.seeds = append(g.seeds, fmt.Sprintf("%q", p+":8229"))
	}
	if _, err := s.listen(g.storeAddress, g.door); err != nil {
		return nil, err
	}
	g.settings, g.log = filepath.Join(s.folder, g.name+".toml"), filepath.Join(s.folder, g.name+".log")
	text := fmt.Sprintf(settingsTemplate, g.name, g.ip, g.zone, strings.Join(g.seeds, ","), g.storeAddress)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.gates = append(s.gates, g)
	return g, nil
}

// words returns the words of the run command of the deploy file, for this gateway.
func (g *gate) words() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(data)
	if found == nil {
		return nil, fmt.Errorf("no run command in the deploy file")
	}
	command := strings.ReplaceAll(string(found[1]), "/etc/berylward/node.toml", g.settings)
	return strings.Fields(strings.ReplaceAll(command, "{{ip}}", g.ip)), nil
}

// start starts the process.
func (g *gate) start() error {
	words, err := g.words()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	g.command = exec.Command(words[0], words[1:]...)
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BERYLWARD_SETTINGS=" + g.settings}
	g.command.Stdout, g.command.Stderr = out, out
	// No gateway outlives this program, however it ends. The signal comes at the end of the thread that starts the process.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	done, command := make(chan struct{}), g.command
	g.done = done
	go func() {
		_ = command.Wait()
		g.state = command.ProcessState
		close(done)
	}()
	g.stage.logf("%s started: %s", g.name, strings.ReplaceAll(strings.Join(words, " "), g.settings, "FILE"))
	return nil
}

func (g *gate) signal(sig syscall.Signal) {
	g.stage.logf("%s gets %v", g.name, sig)
	_ = g.command.Process.Signal(sig)
}

// ended reports whether the process has ended.
func (g *gate) ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// isReady reports whether the gateway answers the question for readiness with 200.
func (g *gate) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready, and reports whether they are within ten seconds.
func (s *stage) awaitReady() error {
	deadline := time.Now().Add(10 * time.Second)
	for _, g := range s.gates {
		for !g.isReady() {
			if time.Now().After(deadline) || g.ended() {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.logf("all gateways are ready")
	return nil
}

// close ends all processes and stand-ins.
func (s *stage) close() {
	for _, g := range s.gates {
		if g.command != nil && !g.ended() {
			_ = g.command.Process.Signal(syscall.SIGCONT)
			_ = g.command.Process.Kill()
			<-g.done
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, c := range s.closers {
		_ = c.Close()
	}
}

// logLines copies the lines of a gateway's log with one of some texts to the record.
func (g *gate) logLines(most int, texts ...string) {
	data, err := os.ReadFile(g.log)
	if err != nil {
		return
	}
	n := 0
	for line := range bytes.Lines(data) {
		for _, text := range texts {
			if bytes.Contains(line, []byte(text)) && n < most {
				n++
				g.stage.logf("log of %s: %.300s", g.name, bytes.TrimSpace(line))
				break
			}
		}
	}
}
