package scenario

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/internal/standin"
)

// statusOf returns the status of a process, or an empty map if the process does not answer.
func (s *script) statusOf(name string) map[string]any {
	status := map[string]any{}
	resp, err := http.Get("http://" + s.processes[name].adminAddress.String() + "/status")
	if err != nil {
		return status
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&status)
	return status
}

// waitFor polls until the condition holds or a process exits on its own. The limit of 15000 polls only stops a script
// that would never end, and is far longer than a busy machine needs.
func (s *script) waitFor(description string, condition func() bool) error {
	for range 15000 {
		if condition() {
			return nil
		}
		for _, p := range s.processes {
			if p.cmd == nil {
				continue
			}
			select {
			case <-p.exited:
				return fmt.Errorf("waiting for %s: process %s exited", description, p.name)
			default:
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("timed out waiting for %s", description)
}

// ready waits until every worker serves and every entry is linked to every worker.
func (s *script) ready([]string) error {
	return s.waitFor("all workers and entries to be ready", func() bool {
		workers := 0
		for _, i := range s.instances {
			if p := s.processes[i.Name]; i.Role == platformclient.RoleSidecar && p.cmd != nil {
				workers++
				st := s.statusOf(i.Name)
				if lacking, _ := st["lacking-epochs"].([]any); st["phase"] != "serving" || len(lacking) > 0 {
					return false
				}
			}
		}
		return !slices.ContainsFunc(s.instances, func(i platformclient.Instance) bool {
			if i.Role != platformclient.RoleEntry || s.processes[i.Name].cmd == nil {
				return false
			}
			st := s.statusOf(i.Name)
			linked := 0
			list, _ := st["workers"].([]any)
			for _, w := range list {
				if w, _ := w.(map[string]any); w["linked"] == true {
					linked++
				}
			}
			return st["ready"] != true || linked < workers
		})
	})
}

// status NAME FIELD VALUE waits until a field in the status of a process has the given value.
func (s *script) status(args []string) error {
	return s.waitFor(strings.Join(args, " "), func() bool { return fmt.Sprint(s.statusOf(args[0])[args[1]]) == args[2] })
}

func (s *script) send(entry string, r request) result {
	h := &harness{client: http.DefaultClient, addresses: []netip.AddrPort{s.processes[entry].listenAddress}}
	return h.send(context.Background(), r)
}

func checkOutcome(r request, res result, outcome string) error {
	switch {
	case res.outcome != outcome:
		return fmt.Errorf("%s: want outcome %q, got %s", r.name(), outcome, res)
	case outcome == "done" && res.text != standin.ExpectedAnswer(r.prompt, r.tokens):
		return fmt.Errorf("%s: wrong answer: %s", r.name(), res)
	}
	return nil
}

func parsePrompt(args []string) (request, error) {
	tokens, err := strconv.ParseInt(args[1], 10, 64)
	return request{prompt: args[0], tokens: tokens, stream: true, timeout: 30 * time.Second}, err
}

// ask ENTRY PROMPT TOKENS OUTCOME sends a prompt and checks its outcome and, if the outcome is done, the whole
// answer.
func (s *script) ask(args []string) error {
	r, err := parsePrompt(args[1:])
	if err != nil {
		return err
	}
	return checkOutcome(r, s.send(args[0], r), args[3])
}

// flood ENTRY N OUTCOME sends N bookings at once and checks the outcome of each.
func (s *script) flood(args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	failures := make(chan error, n)
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() {
			r := request{booking: fmt.Sprintf(`{"room":%d}`, i), timeout: 30 * time.Second}
			if res := s.send(args[0], r); res.outcome != args[2] {
				failures <- fmt.Errorf("%s: want outcome %q, got %s", r.name(), args[2], res)
			}
		})
	}
	calls.Wait()
	close(failures)
	return <-failures
}

var measureMemory = flag.Bool("scenario-memory", false, "check the memory of processes in scripts, without the race detector")

// memory NAME MIB checks the largest resident memory of a process so far. It measures real memory, so it checks by hand only.
func (s *script) memory(args []string) error {
	limit, err := strconv.Atoi(args[1])
	if err != nil || !*measureMemory {
		return err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.processes[args[0]].cmd.Process.Pid))
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(status)) {
		var kib int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kib); n == 1 {
			s.testScript.Logf("%s took %d MiB of %d MiB", args[0], kib>>10, limit)
			if kib>>10 > limit {
				return fmt.Errorf("%s took %d MiB, its limit is %d MiB", args[0], kib>>10, limit)
			}
		}
	}
	return nil
}

// begin ENTRY PROMPT TOKENS sends a prompt and waits until it runs on an engine. finish collects the result.
func (s *script) begin(args []string) error {
	r, err := parsePrompt(args[1:])
	if err != nil {
		return err
	}
	out := make(chan result, 1)
	s.pending[args[1]] = out
	go func() { out <- s.send(args[0], r) }()
	return s.waitFor("a request to run", func() bool { return s.busySidecar() != "" })
}

// busySidecar returns the name of a sidecar that runs at least one request, or an empty string.
func (s *script) busySidecar() string {
	for _, i := range s.instances {
		if i.Role != platformclient.RoleSidecar || s.processes[i.Name].cmd == nil {
			continue
		}
		if n, _ := s.statusOf(i.Name)["running"].(float64); n > 0 {
			return i.Name
		}
	}
	return ""
}

// finish PROMPT TOKENS OUTCOME waits for the result of a request that begin sent, and checks it as ask does.
func (s *script) finish(args []string) error {
	r, err := parsePrompt(args)
	if err != nil {
		return err
	}
	return checkOutcome(r, <-s.pending[args[0]], args[2])
}

// book ENTRY ROOM OUTCOME books a room and checks the outcome. Every booking of the same room uses the same key.
func (s *script) book(args []string) error {
	key := s.testScript.Getenv("key-" + args[1])
	if key == "" {
		key = newKey()
		s.testScript.Setenv("key-"+args[1], key)
	}
	res := s.send(args[0], request{booking: fmt.Sprintf(`{"room":%s}`, args[1]), key: key, timeout: 20 * time.Second})
	if res.outcome != args[2] {
		return fmt.Errorf("booking of room %s: want outcome %q, got %s", args[1], args[2], res)
	}
	return nil
}

// ran ROOM TIMES checks how often the booking of a room ran, summed over all booking services.
func (s *script) ran(args []string) error {
	total := 0
	for name, p := range s.processes {
		if !strings.HasSuffix(name, "-backend") || p.args[1] != "service" {
			continue
		}
		resp, err := http.Get("http://" + p.listenAddress.String() + "/stand-in/runs")
		if err != nil {
			return err
		}
		runs := map[string]int{}
		err = json.NewDecoder(resp.Body).Decode(&runs)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		total += runs[s.testScript.Getenv("key-"+args[0])]
	}
	if fmt.Sprint(total) != args[1] {
		return fmt.Errorf("the booking of room %s ran %d times, want %s", args[0], total, args[1])
	}
	return nil
}

// processNamed returns the process with the given name. The name "runner" stands for a sidecar that runs a request,
// and "runner-backend" for its backend server.
func (s *script) processNamed(name string) (*process, error) {
	if rest, ok := strings.CutPrefix(name, "runner"); ok {
		name = s.busySidecar() + rest
	}
	p := s.processes[name]
	if p == nil {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, nil
}

// fault NAME JSON injects a fault into a stand-in. The name "booking-services" stands for the stand-ins of all booking
// services, whose instances the scripts name "desk-1" and "desk-2".
func (s *script) fault(args []string) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for name := range s.processes {
		if args[0] != "booking-services" || !strings.HasPrefix(name, "desk") || !strings.HasSuffix(name, "-backend") {
			continue
		}
		if err := s.fault([]string{name, args[1]}); err != nil {
			return err
		}
	}
	if args[0] == "booking-services" {
		return nil
	}
	p, err := s.processNamed(args[0])
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+p.listenAddress.String()+"/stand-in/faults", "application/json", strings.NewReader(args[1]))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("injecting fault %s: %s", args[1], resp.Status)
	}
	return nil
}

// crash NAME kills a process.
func (s *script) crash(args []string) error { return s.stop(args[0], syscall.SIGKILL, false) }

// terminate NAME stops a process gracefully and checks that it exits without an error.
func (s *script) terminate(args []string) error { return s.stop(args[0], syscall.SIGTERM, true) }

func (s *script) stop(name string, sig os.Signal, checkExit bool) error {
	p, err := s.processNamed(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	err = <-p.exitError
	p.cmd = nil
	s.testScript.Setenv("last", p.name)
	if checkExit {
		return err
	}
	return nil
}

// again restarts the process that was stopped last, on the same addresses.
func (s *script) again([]string) error { return s.launch(s.processes[s.testScript.Getenv("last")]) }
