package telemetry

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"k8s.io/utils/clock"
)

// TracerName is the instrumentation name of all spans.
const TracerName = "berylward"

// DiscardTraces returns a provider whose spans are dropped.
func DiscardTraces() trace.TracerProvider { return noop.NewTracerProvider() }

// Traces exports the spans of a process.
type Traces struct {
	provider trace.TracerProvider
	// shutdown flushes and ends the export, if there is one.
	shutdown func(context.Context) error
	// spans writes the spans of the targets stdout and file; nil for others.
	spans  *LineQueue
	closer io.Closer
}

// NewTraces returns Traces for an instance. target is empty (spans are dropped), "stdout", "file:PATH", or an http:// or https://
// URL that accepts OTLP over HTTP. It returns an Error of KindSetting for another target, and one of KindExporter if the target
// cannot be opened. A reader of stdout or of a pipe at PATH that stops blocks nothing.
func NewTraces(ctx context.Context, target, instance string) (*Traces, error) {
	t := &Traces{provider: DiscardTraces(), shutdown: func(context.Context) error { return nil }, closer: io.NopCloser(nil)}
	var exporter sdktrace.SpanExporter
	var err error
	switch {
	case target == "":
		return t, nil
	case target == "stdout":
		exporter, err = t.exportTo(os.Stdout)
	case strings.HasPrefix(target, "file:"):
		var file *os.File
		file, err = os.OpenFile(strings.TrimPrefix(target, "file:"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err == nil {
			t.closer = file
			exporter, err = t.exportTo(file)
		}
	case strings.HasPrefix(target, "http://"), strings.HasPrefix(target, "https://"):
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(target))
	default:
		return nil, &Error{Op: "traces", Kind: KindSetting, Err: fmt.Errorf("%q: want stdout, file:PATH or an OTLP/HTTP URL", target)}
	}
	if err != nil {
		return nil, &Error{Op: "traces", Kind: KindExporter, Err: err}
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", TracerName),
			attribute.String("service.instance.id", instance),
		)),
	)
	t.provider, t.shutdown = provider, provider.Shutdown
	return t, nil
}

// exportTo returns an exporter that writes spans to out, one JSON object a line, without waiting for its reader.
func (t *Traces) exportTo(out io.Writer) (sdktrace.SpanExporter, error) {
	t.spans = newSpanQueue(out, clock.RealClock{})
	return stdouttrace.New(stdouttrace.WithWriter(t.spans))
}

// Provider returns the provider of tracers.
func (t *Traces) Provider() trace.TracerProvider { return t.provider }

// Dropped returns how many spans have been lost since the start because the reader of stdout or of a file was slow or gone.
func (t *Traces) Dropped() uint64 {
	if t.spans == nil {
		return 0
	}
	return t.spans.Dropped()
}

// Close flushes the spans and ends the export. ctx limits the wait for a URL; a reader of stdout or a file that has stopped is
// not waited for longer than that of a log.
func (t *Traces) Close(ctx context.Context) error {
	err := t.shutdown(ctx)
	if t.spans != nil {
		t.spans.Close()
	}
	_ = t.closer.Close()
	return err
}

// Inject returns the trace context of ctx in W3C form, to be sent in a message.
func Inject(ctx context.Context) map[string]string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	if len(carrier) == 0 {
		return nil
	}
	return carrier
}

// Extract returns ctx with the trace context that a message carried.
func Extract(ctx context.Context, carrier map[string]string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(carrier))
}
