package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/ossignal"
	"berylward.example/berylward/internal/telemetry"
)

// processFlags holds the settings that the entry and sidecar commands have in common.
type processFlags struct {
	instance, zone, region   string
	listen, admin, platform  netip.AddrPort
	logLevels, traces        string
	certificate, key, peerCA string
	plaintext                bool
	// acceptsLinks is set if the process accepts links on the listen address.
	acceptsLinks bool
	stopTimeout  time.Duration
	// logOutput receives the log lines; nil means standard error.
	logOutput io.Writer
}

const addressFormat = "an IP address and a port, such as 127.0.0.1:8080"

func (p *processFlags) register(s *settings) {
	p.stopTimeout = 30 * time.Minute
	s.stringVar(&p.instance, "instance", "a name", "name of this instance in the instance list")
	s.stringVar(&p.zone, "zone", "a name", "availability zone of this instance")
	s.stringVar(&p.region, "region", "a name", "region of this instance")
	s.textVar(&p.admin, "admin-listen", addressFormat, "listen address for metrics and status; disabled when empty")
	s.textVar(&p.platform, "platform", addressFormat, "address of the configuration service and instance list")
	s.stringVar(&p.logLevels, "log-levels", "slice=verbosity pairs, such as sidecar=2,default=0", "log verbosity by slice, as named in the slice field of log lines")
	s.stringVar(&p.traces, "traces", "stdout, file:PATH or an OTLP/HTTP URL", "export target of trace spans; no export when empty")
	s.stringVar(&p.certificate, "tls-certificate", "a file", "certificate for links, in PEM")
	s.stringVar(&p.key, "tls-key", "a file", "private key for links, in PEM")
	s.stringVar(&p.peerCA, "tls-peer-ca", "a file", "certificate authority of the peers' certificates, in PEM")
	s.boolVar(&p.plaintext, "allow-plaintext", "allow links without TLS beyond loopback")
	s.durationVar(&p.stopTimeout, "stop-timeout", "longest time to wait for running requests during shutdown")
	s.require("instance")
	s.require("zone")
	s.require("platform")
	s.checks = append(s.checks, func() *InvalidSetting { return p.checkTLS() })
	checkTelemetry(s, &p.logLevels, &p.traces)
}

// checkTelemetry validates the log levels and the trace target together with the other settings. Otherwise each of
// them would be reported only by a later run, one at a time.
func checkTelemetry(s *settings, logLevels, traces *string) {
	s.checks = append(s.checks, func() *InvalidSetting {
		if _, err := telemetry.NewLogs(io.Discard, *logLevels); err != nil {
			return &InvalidSetting{Setting: "log-levels", Value: *logLevels, Expected: "slice=verbosity pairs, such as sidecar=2,default=0"}
		}
		return nil
	}, func() *InvalidSetting {
		if !isTraceTarget(*traces) {
			return &InvalidSetting{Setting: "traces", Value: *traces, Expected: "stdout, file:PATH or an OTLP/HTTP URL"}
		}
		return nil
	})
}

func isTraceTarget(target string) bool {
	if target == "" || target == "stdout" {
		return true
	}
	for _, prefix := range []string{"file:", "http://", "https://"} {
		if rest, ok := strings.CutPrefix(target, prefix); ok {
			return rest != ""
		}
	}
	return false
}

// checkTLS requires TLS for links unless they stay on loopback or plaintext is allowed explicitly.
func (p *processFlags) checkTLS() *InvalidSetting {
	given := 0
	for _, file := range []string{p.certificate, p.key, p.peerCA} {
		if file != "" {
			given++
		}
	}
	switch {
	case given == 3:
		return nil
	case given > 0:
		return &InvalidSetting{Setting: "tls-certificate", Value: p.certificate, Expected: "a file, together with tls-key and tls-peer-ca"}
	case p.plaintext || isLoopback(p.platform) && (!p.acceptsLinks || isLoopback(p.listen)):
		return nil
	}
	return &InvalidSetting{Setting: "tls-certificate", Value: "", Expected: "a file, unless allow-plaintext is set"}
}

// isLoopback reports whether an address is on loopback. An address that is not set counts as loopback.
func isLoopback(a netip.AddrPort) bool { return !a.IsValid() || a.Addr().Unmap().IsLoopback() }

// peerTLS returns the configuration for mutual TLS, or nil for plaintext.
func (p *processFlags) peerTLS() (*tls.Config, error) {
	if p.certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(p.certificate, p.key)
	if err != nil {
		return nil, errors.Wrap(err, "load link certificate")
	}
	pem, err := os.ReadFile(p.peerCA)
	if err != nil {
		return nil, errors.Wrap(err, "read peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("read peer CA: %s contains no certificate", p.peerCA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}, nil
}

func (p *processFlags) linkOptions(config *tls.Config) []link.Option {
	if config == nil {
		if p.plaintext {
			return []link.Option{link.WithPlaintext()}
		}
		return nil
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	return []link.Option{link.WithHTTPClient(client), link.WithTLS()}
}

// instrumentation holds the logs, metrics, traces and the admin server of a process.
type instrumentation struct {
	logs     *telemetry.Logs
	logQueue *telemetry.LineQueue
	metrics  *telemetry.Metrics
	traces   *telemetry.Traces
	// adminListener is nil without --admin-listen; admin is nil until serveAdmin is called.
	adminListener net.Listener
	admin         *http.Server
}

// startInstrumentation sets up logs, metrics and traces and opens the admin listener.
func (p *processFlags) startInstrumentation(ctx context.Context) (*instrumentation, error) {
	out := p.logOutput
	if out == nil {
		out = os.Stderr
	}
	traces, err := telemetry.NewTraces(ctx, p.traces, p.instance)
	if err != nil {
		return nil, err
	}
	i := &instrumentation{
		logQueue: telemetry.NewLogQueue(out, clock.RealClock{}), metrics: telemetry.NewMetrics(p.instance), traces: traces,
	}
	i.metrics.Slice("telemetry").Set("log-lines-dropped", expvar.Func(func() any { return i.logQueue.Dropped() }))
	i.metrics.Slice("telemetry").Set("spans-dropped", expvar.Func(func() any { return traces.Dropped() }))
	if i.logs, err = telemetry.NewLogs(i.logQueue, p.logLevels); err != nil {
		i.stop()
		return nil, err
	}
	if p.admin.IsValid() {
		if i.adminListener, err = listen(p.admin, nil); err != nil {
			i.stop()
			return nil, err
		}
	}
	return i, nil
}

// serveAdmin serves metrics and status on the admin listener, if there is one. It is called once the component runs,
// because there is no status before that; earlier connections wait in the accept queue of the listener.
func (i *instrumentation) serveAdmin(status func() any) {
	if i.adminListener != nil {
		i.admin = newAdmin(i.adminListener, status)
	}
}

// newAdmin starts an HTTP server for the admin pages on a listener and returns it. The caller closes the server.
func newAdmin(listener net.Listener, status func() any) *http.Server {
	server := &http.Server{Handler: adminHandler(status), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return server
}

func adminHandler(status func() any) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encodeJSON(status()))
	})
	return mux
}

func (i *instrumentation) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	switch {
	case i.admin != nil:
		_ = i.admin.Close()
	case i.adminListener != nil:
		_ = i.adminListener.Close()
	}
	_ = i.traces.Close(ctx)
	i.logQueue.Close()
}

// component is an entry, a sidecar or a gateway. It runs until Stop is called or until it ends by itself.
type component interface {
	// Stop stops the component gracefully and waits until it has ended. ctx limits the wait for running requests.
	Stop(context.Context) error
	// Dying returns a channel that is closed when the component begins to stop, also after a failure.
	Dying() <-chan struct{}
}

// supervise waits for a signal or until the component ends by itself, and then stops it gracefully. A second signal
// aborts the graceful stop.
func supervise(c component, timeout time.Duration) error {
	return superviseSignals(c, timeout, ossignal.Stops())
}

func superviseSignals(c component, timeout time.Duration, signals <-chan os.Signal) error {
	select {
	case <-signals:
	case <-c.Dying():
	}
	// The timeout starts now and not when the process started, so that the time it has run is not deducted.
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return c.Stop(ctx)
}

// memoryLimitShare is the share of the memory that a process may use at which the Go runtime begins to collect garbage more often.
const memoryLimitShare = 0.7

// limitMemory sets the memory limit of the Go runtime for a process that may use a number of bytes; zero means that there is no
// limit.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(bytes)))
	}
}

// descriptorLimit returns the number of file descriptors that the process may open, or zero if the system does not say. Go raises
// the limit to the largest that the system allows before the command runs.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// addresses is a comma-separated list of addresses, parsed by UnmarshalText.
type addresses []netip.AddrPort

func (a *addresses) UnmarshalText(text []byte) error {
	*a = nil
	for _, field := range strings.FieldsFunc(string(text), func(r rune) bool { return r == ',' }) {
		address, err := netip.ParseAddrPort(strings.TrimSpace(field))
		if err != nil {
			return err
		}
		*a = append(*a, address)
	}
	return nil
}

func (a *addresses) String() string {
	var fields []string
	for _, address := range *a {
		fields = append(fields, address.String())
	}
	return strings.Join(fields, ",")
}

func listen(address netip.AddrPort, config *tls.Config) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, fmt.Sprintf("listen on %s", address))
	}
	if config != nil {
		return tls.NewListener(listener, config), nil
	}
	return listener, nil
}
