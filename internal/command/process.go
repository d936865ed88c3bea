package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/telemetry"
)

// process holds the settings that entry and sidecar share.
type process struct {
	instance, zone, region   string
	listen, admin, platform  netip.AddrPort
	logLevels, traces        string
	certificate, key, peerCA string
	plaintext                bool
	// links says that the listen address accepts links.
	links       bool
	stopTimeout time.Duration
	// logTo takes the log lines; standard error when nil.
	logTo io.Writer
}

const takesAddress = "an IP address and a port, such as 127.0.0.1:8080"

func (p *process) declare(s *settings) {
	p.stopTimeout = 30 * time.Minute
	s.word(&p.instance, "instance", "a name", "name of this instance in the instance list")
	s.word(&p.zone, "zone", "a name", "availability zone of this instance")
	s.word(&p.region, "region", "a name", "region of this instance")
	s.text(&p.admin, "admin-listen", takesAddress, "address for metrics and status; none when empty")
	s.text(&p.platform, "platform", takesAddress, "address of the configuration service and instance list")
	s.word(&p.logLevels, "log-levels", "slice=verbosity pairs, such as link=2,default=0", "verbosity of the logs by slice")
	s.word(&p.traces, "traces", "stdout, file:PATH or an OTLP/HTTP URL", "where spans are exported to; nowhere when empty")
	s.word(&p.certificate, "tls-certificate", "a file", "certificate for links, PEM")
	s.word(&p.key, "tls-key", "a file", "private key for links, PEM")
	s.word(&p.peerCA, "tls-peer-ca", "a file", "certificate authority of the peers' certificates, PEM")
	s.boolean(&p.plaintext, "allow-plaintext", "allow links without TLS beyond loopback")
	s.duration(&p.stopTimeout, "stop-timeout", "longest wait for running requests on a stop")
	s.require("instance")
	s.require("zone")
	s.require("platform")
	s.checks = append(s.checks, func() *Problem { return p.checkTLS() })
	checkTelemetry(s, &p.logLevels, &p.traces)
}

// checkTelemetry lists wrong log levels and trace targets with the other settings. Without it each would end the
// process in a run of its own.
func checkTelemetry(s *settings, logLevels, traces *string) {
	s.checks = append(s.checks, func() *Problem {
		if _, err := telemetry.NewLogs(io.Discard, *logLevels); err != nil {
			return &Problem{Setting: "log-levels", Value: *logLevels, Takes: "slice=verbosity pairs, such as link=2,default=0"}
		}
		return nil
	}, func() *Problem {
		if !isTraceTarget(*traces) {
			return &Problem{Setting: "traces", Value: *traces, Takes: "stdout, file:PATH or an OTLP/HTTP URL"}
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

// checkTLS makes sure that links are authenticated unless they stay on loopback or plain text was asked for.
func (p *process) checkTLS() *Problem {
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
		return &Problem{Setting: "tls-certificate", Value: p.certificate, Takes: "a file, together with tls-key and tls-peer-ca"}
	case p.plaintext || loopback(p.platform) && (!p.links || loopback(p.listen)):
		return nil
	}
	return &Problem{Setting: "tls-certificate", Value: "", Takes: "a file, unless allow-plaintext is set"}
}

// loopback says whether an address that is given is reachable on this machine only.
func loopback(a netip.AddrPort) bool { return !a.IsValid() || a.Addr().Unmap().IsLoopback() }

// peerTLS returns the configuration of mutual TLS, or nil for plain text.
func (p *process) peerTLS() (*tls.Config, error) {
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
		return nil, errors.Errorf("read peer CA: %s holds no certificate", p.peerCA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}, nil
}

func (p *process) linkOptions(config *tls.Config) []link.Option {
	if config == nil {
		if p.plaintext {
			return []link.Option{link.WithPlaintext()}
		}
		return nil
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	return []link.Option{link.WithHTTPClient(client), link.WithTLS()}
}

// running is what a process needs around its slice.
type running struct {
	logs    *telemetry.Logs
	metrics *telemetry.Metrics
	tracer  trace.TracerProvider
	flush   func(context.Context) error
	// adminListener is nil without --admin-listen; admin is nil until serveAdmin.
	adminListener net.Listener
	admin         *http.Server
}

// start sets up logs, metrics and traces, and opens the admin listener.
func (p *process) start(ctx context.Context) (*running, error) {
	out := p.logTo
	if out == nil {
		out = os.Stderr
	}
	logs, err := telemetry.NewLogs(out, p.logLevels)
	if err != nil {
		return nil, err
	}
	tracer, flush, err := telemetry.Traces(ctx, p.traces, p.instance)
	if err != nil {
		return nil, err
	}
	r := &running{logs: logs, metrics: telemetry.NewMetrics(p.instance), tracer: tracer, flush: flush}
	if p.admin.IsValid() {
		if r.adminListener, err = listen(p.admin, nil); err != nil {
			return nil, errors.Join(err, flush(ctx))
		}
	}
	return r, nil
}

// serveAdmin serves metrics and status on the admin listener, if there is one. It is called when the slice runs,
// because there is no status before; earlier connections wait in the listener.
func (r *running) serveAdmin(status func() any) {
	if r.adminListener != nil {
		r.admin = newAdmin(r.adminListener, status)
	}
}

// newAdmin serves the admin pages on a listener until it is closed.
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

func (r *running) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	switch {
	case r.admin != nil:
		_ = r.admin.Close()
	case r.adminListener != nil:
		_ = r.adminListener.Close()
	}
	_ = r.flush(ctx)
}

// part is a slice that runs until it is stopped.
type part interface {
	Stop(context.Context) error
	Dying() <-chan struct{}
}

// supervise waits for a signal or for the part to end, and stops it without cutting requests. A second signal ends
// the process at once.
func supervise(p part, timeout time.Duration) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	return superviseSignals(p, timeout, signals)
}

func superviseSignals(p part, timeout time.Duration, signals <-chan os.Signal) error {
	select {
	case <-signals:
	case <-p.Dying():
	}
	// The time to stop starts with the signal, however long the process ran before.
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return p.Stop(ctx)
}

// addresses parses a comma-separated list of addresses.
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
