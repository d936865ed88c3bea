//go:build review

// Package main runs the cases of the review that cannot be put as a day of the bench. Each case starts gateways as
// separate processes with the command of the deploy file, on loopback addresses, against stand-ins of the store, the
// workers and the callers. It writes what was sent, answered and run to record.txt.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"

	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/standin/direct"
)

// The bounds of the settings, as `fleetbench wire` shows them for szczelnik-ops.
const (
	graceS     = 8
	drainMs    = 2000
	revokeMs   = 5000
	lossSlack  = 200 * time.Millisecond
	heartbeat  = 1200 * time.Millisecond
	callerHost = "ficu95.example"
	callerKey  = "n2ctnfzs989anu6wsjnb"
	tenant     = "hule930"
)

// record is the list of all that happened, in the order of time.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []recordLine
}

type recordLine struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, recordLine{time.Now(), fmt.Sprintf(format, args...)})
}

func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	var out bytes.Buffer
	for _, l := range r.lines {
		fmt.Fprintf(&out, "%8.3f %s\n", l.at.Sub(r.start).Seconds(), l.text)
	}
	return os.WriteFile(file, out.Bytes(), 0o644)
}

// fleet holds the processes and stand-ins of one case.
type fleet struct {
	rec      *record
	folder   string // temporary
	program  string
	store    *direct.Store
	storeAt  netip.AddrPort
	port     uint16
	hosts    int
	gateways []*gatewayProcess
	workers  []*worker
	closers  []func()
}

func newFleet(rec *record, program string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, program: program, store: direct.NewStore(clock.RealClock{}), port: 20000 + uint16(os.Getpid()%20000)}
	l, err := net.Listen("tcp", f.host().String()+":0")
	if err != nil {
		return nil, err
	}
	f.storeAt = netip.MustParseAddrPort(l.Addr().String())
	f.serve(l, f.store)
	return f, nil
}

// host returns a loopback address that no other process uses.
func (f *fleet) host() netip.Addr {
	f.hosts++
	id := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(100 + f.hosts), byte(id >> 8), byte(id)})
}

func (f *fleet) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return s
}

func (f *fleet) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.store.Put(key, data)
	text := string(data)
	if len(text) > 300 {
		text = text[:300] + "..."
	}
	f.rec.add("store: %s = %s", key, text)
}

// gatewayProcess is one process of the role gateway.
type gatewayProcess struct {
	fleet        *fleet
	name, zone   string
	ip           netip.Addr
	front, ready netip.AddrPort
	admin        netip.AddrPort
	settings     string
	cmd          *exec.Cmd
	exited       chan struct{}
	state        string
}

// addGateways writes the settings of gateways, one in each zone, and starts them.
func (f *fleet) addGateways(zones ...string) error {
	var seeds string
	for i, zone := range zones {
		ip := f.host()
		g := &gatewayProcess{
			fleet: f, name: fmt.Sprintf("front-%s-1", zone), zone: zone, ip: ip,
			front: netip.AddrPortFrom(ip, f.port+1), ready: netip.AddrPortFrom(ip, f.port+2), admin: netip.AddrPortFrom(ip, f.port+4),
		}
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", netip.AddrPortFrom(ip, f.port+3).String())
		f.gateways = append(f.gateways, g)
	}
	for _, g := range f.gateways {
		text := fmt.Sprintf(`nodeId = %q
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "pl-central"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
inFaultBudget = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"]

[listen]
front = %q
ready = %q
control = "%s:%d"

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
drainMs = %d
graceS = %d
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
strictRevoke = true
revokeMs = %d
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
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, g.name, g.ip, g.zone, f.port+10, f.port+25, seeds, g.front, g.ready, g.ip, f.port+3, drainMs, graceS, revokeMs, f.storeAt)
		g.settings = filepath.Join(f.folder, g.name+".toml")
		if err := os.WriteFile(g.settings, []byte(text), 0o644); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

func (g *gatewayProcess) start() error {
	log, err := os.OpenFile(filepath.Join(g.fleet.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	// The command of the role gateway in deploy/system.toml.
	g.cmd = exec.Command(g.fleet.program, "gateway", "--settings", g.settings, "--admin-listen", g.admin.String())
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERYLWARD_SETTINGS=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	g.fleet.rec.add("platform: %s started, process %d", g.name, g.cmd.Process.Pid)
	go func() {
		_ = g.cmd.Wait()
		g.state = g.cmd.ProcessState.String()
		g.fleet.rec.add("platform: %s ended: %s", g.name, g.state)
		close(g.exited)
	}()
	return nil
}

func (g *gatewayProcess) signal(s syscall.Signal) {
	g.fleet.rec.add("platform: %s gets %s", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// isReady asks as the platform does.
func (g *gatewayProcess) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.ready.String() + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) waitReady() error {
	for _, g := range f.gateways {
		for end := time.Now().Add(15 * time.Second); !g.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", g.name)
			}
		}
	}
	f.rec.add("platform: all gateways are ready")
	return nil
}

// close ends all processes that the case started.
func (f *fleet) close() {
	for _, g := range f.gateways {
		if g.cmd == nil || g.exited == nil {
			continue
		}
		select {
		case <-g.exited:
		default:
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	for _, c := range f.closers {
		c()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// routeEntry and the other types are written as the pages show them.
type routeEntry struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service,omitempty"`
	Backends        []share `json:"backends,omitempty"`
	MaxAttempts     int     `json:"maxAttempts"`
	Public          bool    `json:"public"`
	Sticky          bool    `json:"sticky"`
	Resumable       bool    `json:"resumable"`
	TargetGapMs     int     `json:"targetGapMs,omitempty"`
}

type share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

func llmService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 334, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 36.0,
		"engine": map[string]any{
			"slots": 16, "kvCapacityTokens": 315000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 51,
			"models": []map[string]any{{"name": "m"}}, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
			"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8,
			"usual": map[string]any{"prompt": 11121, "answer": 1622}, "hopMs": 0.05,
		},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 48, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}
}

func (f *fleet) putConfig(version int, routes []routeEntry, services ...map[string]any) {
	f.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{callerKey}, "priority": 1}},
	})
}
