package telemetry

import (
	"context"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Span is a finished span as operators see it.
type Span struct {
	TraceID    string      `json:"trace_id"`
	SpanID     string      `json:"span_id"`
	ParentID   string      `json:"parent_id,omitempty"`
	Name       string      `json:"name"`
	Host       string      `json:"host"`
	Start      time.Time   `json:"start"`
	Micros     int64       `json:"micros"`
	Error      string      `json:"error,omitempty"`
	Attributes []Attribute `json:"attributes,omitempty"`
}

// Attribute is one key and value of a span.
type Attribute struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// TraceBuffer keeps the spans of the last traces; it implements SpanProcessor.
type TraceBuffer struct {
	limit int

	mu       sync.Mutex // guards all below
	spans    map[string][]sdktrace.ReadOnlySpan
	traceIDs []string // trace ids, oldest first; a ring once full
	next     int
}

// NewTraceBuffer returns a memory for a count of traces.
func NewTraceBuffer(limit int) *TraceBuffer {
	return &TraceBuffer{limit: max(limit, 1), spans: map[string][]sdktrace.ReadOnlySpan{}}
}

// OnStart implements sdktrace.SpanProcessor.
func (m *TraceBuffer) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd implements sdktrace.SpanProcessor.
func (m *TraceBuffer) OnEnd(span sdktrace.ReadOnlySpan) {
	id := span.SpanContext().TraceID().String()
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.spans[id]; !ok {
		m.addTrace(id)
	}
	m.spans[id] = append(m.spans[id], span)
}

// addTrace makes room for a new trace; the caller holds mu.
func (m *TraceBuffer) addTrace(id string) {
	if len(m.traceIDs) < m.limit {
		m.traceIDs = append(m.traceIDs, id)
		return
	}
	delete(m.spans, m.traceIDs[m.next])
	m.traceIDs[m.next] = id
	m.next = (m.next + 1) % m.limit
}

// Shutdown implements sdktrace.SpanProcessor.
func (m *TraceBuffer) Shutdown(context.Context) error { return nil }

// ForceFlush implements sdktrace.SpanProcessor.
func (m *TraceBuffer) ForceFlush(context.Context) error { return nil }

// Trace returns the spans of a trace in order of their end.
func (m *TraceBuffer) Trace(id string) []Span {
	m.mu.Lock()
	kept := append([]sdktrace.ReadOnlySpan(nil), m.spans[id]...)
	m.mu.Unlock()
	spans := make([]Span, len(kept))
	for i, s := range kept {
		spans[i] = spanOf(s)
	}
	return spans
}

func spanOf(s sdktrace.ReadOnlySpan) Span {
	span := Span{
		TraceID: s.SpanContext().TraceID().String(),
		SpanID:  s.SpanContext().SpanID().String(),
		Name:    s.Name(),
		Start:   s.StartTime(),
		Micros:  s.EndTime().Sub(s.StartTime()).Microseconds(),
		Error:   s.Status().Description,
	}
	if s.Parent().SpanID().IsValid() {
		span.ParentID = s.Parent().SpanID().String()
	}
	for _, a := range s.Attributes() {
		span.Attributes = append(span.Attributes, Attribute{Key: string(a.Key), Value: a.Value.String()})
	}
	for _, a := range s.Resource().Attributes() {
		if a.Key == "host.name" {
			span.Host = a.Value.AsString()
		}
	}
	return span
}
