package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/entry"
	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/sidecar"
	"berylward.example/berylward/internal/suspect"
)

const (
	// statusTimeout limits one read. A sidecar whose backend task is busy answers after 1 s.
	statusTimeout = 5 * time.Second
	// maxStatus is the largest status page in bytes. The page of an entry with 1,200 workers takes about 400 KB.
	maxStatus = 8 << 20
	// clearScreen is the escape sequence that moves the cursor to the upper left corner and clears the terminal.
	clearScreen = "\x1b[H\x1b[2J"
)

func newStatus() *cobra.Command {
	var address netip.AddrPort
	output, watch, interval := "text", false, 2*time.Second
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the status of an entry, a sidecar or a gateway",
		Long: "Show the status of an entry, a sidecar or a gateway, read from its admin listener (--admin-listen of the process).\n" +
			"With --watch the status is read again at each interval until SIGINT or SIGTERM.",
		Args: cobra.NoArgs,
	}
	s := newSettings(cmd)
	s.textVar(&address, "addr", addressFormat, "address of the admin listener")
	s.enumVar(&output, []string{"text", "json"}, "output", "output format")
	s.boolVar(&watch, "watch", "read the status again at each interval until SIGINT or SIGTERM")
	s.durationVar(&interval, "interval", "time between reads with --watch")
	s.require("addr")
	s.checks = append(s.checks, func() *InvalidSetting {
		if interval < 100*time.Millisecond {
			return &InvalidSetting{Setting: "interval", Value: interval.String(), Expected: "a duration from 100ms"}
		}
		return nil
	})
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		if !watch {
			return showStatus(ctx, cmd.OutOrStdout(), address, output)
		}
		return watchStatus(ctx, cmd, address, output, interval)
	}
	return cmd
}

// watchStatus writes the status at each interval until ctx ends. After a failed read it writes the error and goes on,
// because operators use it to watch a process restart.
func watchStatus(ctx context.Context, cmd *cobra.Command, address netip.AddrPort, output string, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	terminal := isTerminal(cmd.OutOrStdout())
	for {
		var page strings.Builder
		if err := showStatus(ctx, &page, address, output); err != nil && ctx.Err() == nil {
			_, _ = fmt.Fprintln(cmd.ErrOrStderr(), "Error:", err)
		}
		if ctx.Err() != nil {
			return nil
		}
		switch {
		case terminal:
			_, _ = io.WriteString(cmd.OutOrStdout(), clearScreen+page.String())
		case output == "text":
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "at %s\n%s\n", time.Now().Format(time.RFC3339), page.String())
		default:
			_, _ = io.WriteString(cmd.OutOrStdout(), page.String())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// showStatus reads the status once and writes it in the given output format.
func showStatus(ctx context.Context, w io.Writer, address netip.AddrPort, output string) error {
	text, err := readStatus(ctx, address)
	if err != nil {
		return err
	}
	if output == "json" {
		_, err = w.Write(text)
		return err
	}
	var kind struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(text, &kind); err != nil {
		return errors.Wrap(err, address.String())
	}
	switch kind.Role {
	case "entry":
		var st entry.Status
		if err := json.Unmarshal(text, &st); err != nil {
			return errors.Wrap(err, address.String())
		}
		return writeEntry(w, st)
	case "sidecar":
		var st sidecar.Status
		if err := json.Unmarshal(text, &st); err != nil {
			return errors.Wrap(err, address.String())
		}
		return writeSidecar(w, st)
	case "gateway":
		var st gateway.Status
		if err := json.Unmarshal(text, &st); err != nil {
			return errors.Wrap(err, address.String())
		}
		return writeGateway(w, st)
	}
	return errors.Errorf("%s: the status is not that of an entry, a sidecar or a gateway", address)
}

func readStatus(ctx context.Context, address netip.AddrPort) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: %s; is this the address of an admin listener?", address, resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxStatus))
}

// table writes rows of a name and a value in aligned columns.
type table struct{ *tabwriter.Writer }

func newTable(w io.Writer) table { return table{tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)} }

func (t table) row(name, format string, args ...any) {
	_, _ = fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
}

// commonRows writes the rows that entries and sidecars have in common.
func (t table) commonRows(generation uint64, refused string, zonesOut []string, suspects []suspect.Summary) {
	if generation == 0 {
		t.row("generation", "none yet")
	} else {
		t.row("generation", "%d", generation)
	}
	if refused != "" {
		t.row("refused", "a newer generation, because of %s", refused)
	}
	t.row("zones out", "%s", joinOrNone(zonesOut))
	texts := make([]string, len(suspects))
	for i, s := range suspects {
		texts[i] = s.String()
	}
	t.row("suspects", "%s", joinOrNone(texts))
}

func joinOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

func writeEntry(w io.Writer, st entry.Status) error {
	summary := newTable(w)
	summary.row("entry", "%s in %s, incarnation %s", st.Instance, st.Zone, st.Incarnation)
	if st.Ready {
		summary.row("ready", "yes")
	} else {
		summary.row("ready", "no: %s", st.NotReady)
	}
	summary.commonRows(st.Generation, st.RefusedGeneration, st.ZonesOut, st.SuspectList)
	summary.row("workspaces", "%d active", st.ActiveWorkspaces)
	summary.bodyRow("requests", st.RequestBodies)
	summary.bodyRow("answers", st.AnswerBodies)
	summary.bodyRow("waiting", st.WaitingBodies)
	if err := summary.Flush(); err != nil {
		return err
	}
	workers := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(workers, "\nWORKER\tZONE\tSERVES\tLINK\tSTATE\tWHY\tFULL\tREPORT\tWINDOW\tATTEMPTS\tTOKENS")
	for _, worker := range st.Workers {
		link, age := "lost", "none"
		if worker.Linked {
			link = "up"
		}
		if worker.ReportAge != "" {
			age = worker.ReportAge + " ago"
		}
		window := "-"
		if worker.Window > 0 && worker.Window < math.MaxInt32 {
			window = fmt.Sprint(worker.Window)
		}
		_, _ = fmt.Fprintf(workers, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f %%\t%s\t%s\t%d\t%d\n", worker.Name, worker.Zone, strings.Join(worker.Serves, ","),
			link, worker.State, joinOrDash(worker.DrainCauses), worker.Fullness*100, age, window, worker.Attempts, worker.Tokens)
	}
	return workers.Flush()
}

func joinOrDash(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}

func writeSidecar(w io.Writer, st sidecar.Status) error {
	t := newTable(w)
	t.row("sidecar", "%s in %s, incarnation %s, up %s", st.Instance, st.Zone, st.Incarnation, st.Uptime)
	switch {
	case st.Service != "":
		t.row("backend", "plain service %s", st.Service)
	default:
		t.row("backend", "engine with %s", joinOrNone(st.Models))
	}
	if len(st.Causes) > 0 {
		t.row("state", "%s because of %s", st.Phase, strings.Join(st.Causes, ", "))
	} else {
		t.row("state", "%s", st.Phase)
	}
	t.commonRows(st.Generation, st.RefusedGeneration, st.ZonesOut, st.SuspectList)
	if st.Service == "" {
		t.row("window", "%d of %d tokens, %d of %d requests", st.InFlight.Tokens, st.Window.Tokens, st.InFlight.Requests, st.Window.Requests)
	} else {
		// The sidecar of a plain service has no token limit.
		t.row("window", "%d of %d requests", st.InFlight.Requests, st.Window.Requests)
	}
	t.row("queued", "%d (short %d, medium %d, long %d)", st.Queued, st.QueuedByClass["short"], st.QueuedByClass["medium"], st.QueuedByClass["long"])
	t.row("running", "%d", st.Running)
	if st.Service == "" {
		t.row("memory", "%d of %d tokens in %d reservations", st.MemoryUsed, st.MemoryLimit, st.Reservations)
	} else {
		t.row("keys", "%d held, owners of generation %d", st.Keys, st.Epoch)
		if len(st.UnsealedEpochs) > 0 && len(st.Causes) == 0 {
			// A draining worker owns no keys, so no keys are handed over to it.
			t.row("hand-over", "not complete for generations %s; keys that may have moved are refused", strings.Trim(fmt.Sprint(st.UnsealedEpochs), "[]"))
		}
	}
	t.row("links", "%d: %s", len(st.Links), joinOrNone(st.Links))
	t.bodyRow("requests", st.RequestBodies)
	t.bodyRow("answers", st.AnswerBodies)
	t.bodyRow("caches", st.CacheBodies)
	return t.Flush()
}

func writeGateway(w io.Writer, st gateway.Status) error {
	t := newTable(w)
	t.row("gateway", "%s in %s", st.Instance, st.Zone)
	switch {
	case st.Stopping:
		t.row("ready", "no: stopping, %d requests are running", st.Running)
	case st.Ready:
		t.row("ready", "yes, %d requests are running", st.Running)
	default:
		t.row("ready", "no: the routing table is missing or was not proven in time")
	}
	if st.TableVersion == 0 {
		t.row("table", "none yet")
	} else {
		t.row("table", "version %d, proven %d ms ago", st.TableVersion, st.TableAge)
	}
	if st.StoreEra > 0 {
		t.row("store era", "%d, table lost: %t, zones held: %s", st.StoreEra, st.TableLost, joinOrNone(st.ZonesHeld))
	}
	t.row("backend servers", "%d, %d of them get no requests", st.BackendServers, len(st.Unavailable))
	for _, server := range st.Unavailable {
		if server.ForMS > 0 {
			t.row("", "%s of %s: %s for %d ms", server.ID, server.Service, server.Reason, server.ForMS)
		} else {
			t.row("", "%s of %s: %s", server.ID, server.Service, server.Reason)
		}
	}
	for _, server := range st.Pace {
		t.row("pace of "+server.ID, "%.1f times as slow as published, %s requests in flight", server.Slowness, limitOrNone(int64(server.Window)))
	}
	t.row("gateways", "%d", st.Gateways)
	for _, zone := range slices.Sorted(maps.Keys(st.ReportAges)) {
		t.row("", "reports from %s: %d ms old at most", zone, st.ReportAges[zone])
	}
	t.row("callers", "%d connections of %s, %d at most so far", st.CallerConnections.Open, limitOrNone(int64(st.CallerConnections.Limit)), st.CallerConnections.Peak)
	t.row("held long prompts", "%d at all gateways, %d ms of prefill", st.HeldLong, st.HeldPrefill)
	for _, service := range slices.Sorted(maps.Keys(st.RunningShort)) {
		for _, rank := range slices.Sorted(maps.Keys(st.RunningShort[service])) {
			t.row("running short prompts", "%d of rank %s for %s", st.RunningShort[service][rank], rank, service)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(st.Forecasts)) {
		f := st.Forecasts[key]
		t.row("first events", "%s: %d, half within %d ms and 9 of 10 within %d ms, %d and %d predicted, %d later than predicted; off by %d and %d ms",
			key, f.Count, f.Measured.P50, f.Measured.P90, f.Predicted.P50, f.Predicted.P90, f.Late, f.Distance.P50, f.Distance.P90)
	}
	t.row("memory at engines", "reserved for %d prompts", st.Reserving)
	for _, name := range slices.Sorted(maps.Keys(st.Workspaces)) {
		w := st.Workspaces[name]
		t.row("", "workspace %q: %d answered, %d refused, %d held for %d ms in all", name, w.Answered, w.Refused, w.Held, w.HeldMS)
	}
	t.bodyRow("request bodies", st.RequestBodies)
	t.bodyRow("response bodies", st.ResponseBodies)
	if st.Panics > 0 {
		t.row("panics", "%d requests since the start; see \"request panicked\" in the log", st.Panics)
	}
	for _, f := range slices.Sorted(maps.Keys(st.QuarantinedRequests)) {
		t.row("quarantined request", "%s for %d ms", f, st.QuarantinedRequests[f])
	}
	for _, part := range slices.Sorted(maps.Keys(st.QuarantinedParts)) {
		t.row("quarantined part", "%s for %d ms", part, st.QuarantinedParts[part])
	}
	return t.Flush()
}

func (t table) bodyRow(name string, u body.Usage) {
	t.row(name, "%d bytes of %s, %d at most so far, %d refused", u.Used, limitOrNone(u.Limit), u.Peak, u.Refused)
}

// limitOrNone returns a limit as text; zero means that there is none.
func limitOrNone(limit int64) string {
	if limit == 0 {
		return "any number"
	}
	return fmt.Sprint(limit)
}
