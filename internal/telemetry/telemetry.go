// Package telemetry provides the traces and metrics of the router.
//
// # Usage
//
//	t, err := telemetry.New(options)
//	ctx, span := t.Start(ctx, "choose version")
//	defer span.End()
//	t.Count("requests", 1, telemetry.Label("outcome", "answered"))
//
// Traces consist of OpenTelemetry spans, one per hop. The host keeps the most recent traces in
// memory for operators and exports all traces if a collector is configured. Metrics are kept in
// a go-metrics registry and scraped in the Prometheus text format.
package telemetry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// tracerName is the name of the tracer and the service name of its spans.
const tracerName = "quaybarrow"

// Options configure a Telemetry.
type Options struct {
	Host   string
	OTLP   string // URL of an OTLP collector; empty disables export
	Traces int    // number of traces kept in memory
}

// Telemetry records the traces and metrics of a host.
type Telemetry struct {
	Registry metrics.Registry
	Traces   *TraceBuffer

	provider   *sdktrace.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
}

// MetricsOnly returns a Telemetry without traces, for hosts that are too small for them.
func MetricsOnly() *Telemetry {
	return &Telemetry{Registry: metrics.NewRegistry(), tracer: noop.NewTracerProvider().Tracer(tracerName)}
}

// New returns the Telemetry of a host.
func New(ctx context.Context, options Options) (*Telemetry, error) {
	memory := NewTraceBuffer(options.Traces)
	providerOptions := []sdktrace.TracerProviderOption{
		sdktrace.WithSpanProcessor(memory),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName),
			attribute.String("host.name", options.Host),
		)),
	}
	if options.OTLP != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(options.OTLP))
		if err != nil {
			return nil, fmt.Errorf("set up trace export: %w", err)
		}
		providerOptions = append(providerOptions, sdktrace.WithBatcher(exporter))
	}
	provider := sdktrace.NewTracerProvider(providerOptions...)
	return &Telemetry{
		Registry:   metrics.NewRegistry(),
		Traces:     memory,
		provider:   provider,
		tracer:     provider.Tracer(tracerName),
		propagator: propagation.TraceContext{},
	}, nil
}

// Start starts a span, which the caller must end.
func (t *Telemetry) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// Fail records err on a span and marks the span as failed; it does nothing if err is nil.
func Fail(span trace.Span, err error) {
	if err == nil {
		return
	}
	span.RecordError(err)
	span.SetStatus(codes.Error, err.Error())
}

// Extract reads the W3C trace headers of an incoming request.
func (t *Telemetry) Extract(ctx context.Context, h http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the W3C trace headers of an outgoing request.
func (t *Telemetry) Inject(ctx context.Context, h http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// TraceID returns the ID of the trace in ctx in hexadecimal, or an empty string if there is none.
func TraceID(ctx context.Context) string {
	id := trace.SpanContextFromContext(ctx).TraceID()
	if !id.IsValid() {
		return ""
	}
	return id.String()
}

// Shutdown exports the remaining spans and stops the trace provider.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down tracing: %w", err)
	}
	return nil
}
