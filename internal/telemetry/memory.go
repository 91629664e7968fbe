package telemetry

import (
	"context"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Span is a finished span in the form shown to operators.
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

// Attribute is a key-value attribute of a span.
type Attribute struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// TraceBuffer keeps the spans of the most recent traces in memory. It implements
// sdktrace.SpanProcessor.
type TraceBuffer struct {
	limit int

	mu       sync.Mutex // guards the fields below
	spans    map[string][]sdktrace.ReadOnlySpan
	traceIDs []string // oldest first; a ring buffer once full, in which next is the oldest
	next     int
}

// NewTraceBuffer returns a TraceBuffer for up to limit traces, at least one.
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

// addTrace records a new trace ID and evicts the oldest trace if the buffer is full. The caller
// holds mu.
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

// Trace returns the spans of a trace in the order in which they ended.
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
