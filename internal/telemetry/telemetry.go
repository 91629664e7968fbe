// Package telemetry gives the router its traces and metrics.
//
// # Usage
//
//	t, err := telemetry.New(options)
//	ctx, span := t.Start(ctx, "choose version")
//	defer span.End()
//	t.Count("requests", 1, telemetry.Label("outcome", "answered"))
//
// Traces are OpenTelemetry spans, one for each hop. The host remembers the last
// ones for operators and exports them when a collector is set. Metrics live in
// a go-metrics registry and are scraped in Prometheus' text format.
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

// tracerName names the instrumentation in spans.
const tracerName = "quaybarrow"

// Options set up telemetry.
type Options struct {
	Host   string
	OTLP   string // URL of a collector; empty exports nothing
	Traces int    // traces that are remembered
}

// Telemetry is a host's traces and metrics.
type Telemetry struct {
	Registry metrics.Registry
	Traces   *TraceBuffer

	provider   *sdktrace.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
}

// MetricsOnly returns telemetry without traces, for hosts too small for them.
func MetricsOnly() *Telemetry {
	return &Telemetry{Registry: metrics.NewRegistry(), tracer: noop.NewTracerProvider().Tracer(tracerName)}
}

// New sets up telemetry for a host.
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

// Start opens a span; the caller ends it.
func (t *Telemetry) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// Fail marks a span as failed.
func Fail(span trace.Span, err error) {
	if err == nil {
		return
	}
	span.RecordError(err)
	span.SetStatus(codes.Error, err.Error())
}

// Extract reads W3C trace headers of a request that came in.
func (t *Telemetry) Extract(ctx context.Context, h http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes W3C trace headers for a request that goes out.
func (t *Telemetry) Inject(ctx context.Context, h http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// TraceID returns the trace that a context belongs to, as hex; empty if none.
func TraceID(ctx context.Context) string {
	id := trace.SpanContextFromContext(ctx).TraceID()
	if !id.IsValid() {
		return ""
	}
	return id.String()
}

// Shutdown exports what is left.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut traces down: %w", err)
	}
	return nil
}
