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
)

// TracerName is the instrumentation name of all spans.
const TracerName = "berylward"

// DiscardTraces returns a provider whose spans are dropped.
func DiscardTraces() trace.TracerProvider { return noop.NewTracerProvider() }

// NewTracerProvider returns a provider for the spans of an instance and a function that flushes the spans and shuts the
// provider down. target is empty (spans are dropped), "stdout", "file:PATH", or an http:// or https:// URL that accepts
// OTLP over HTTP.
func NewTracerProvider(ctx context.Context, target, instance string) (trace.TracerProvider, func(context.Context) error, error) {
	var exporter sdktrace.SpanExporter
	var err error
	closer := io.NopCloser(nil)
	switch {
	case target == "":
		return DiscardTraces(), func(context.Context) error { return nil }, nil
	case target == "stdout":
		exporter, err = stdouttrace.New()
	case strings.HasPrefix(target, "file:"):
		var file *os.File
		file, err = os.OpenFile(strings.TrimPrefix(target, "file:"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err == nil {
			closer = file
			exporter, err = stdouttrace.New(stdouttrace.WithWriter(file))
		}
	case strings.HasPrefix(target, "http://"), strings.HasPrefix(target, "https://"):
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(target))
	default:
		return nil, nil, &Error{Op: "traces", Kind: KindSetting, Err: fmt.Errorf("%q: want stdout, file:PATH or an OTLP/HTTP URL", target)}
	}
	if err != nil {
		return nil, nil, &Error{Op: "traces", Kind: KindExporter, Err: err}
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", TracerName),
			attribute.String("service.instance.id", instance),
		)),
	)
	return provider, func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		_ = closer.Close()
		return err
	}, nil
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
