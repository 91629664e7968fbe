package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"quaybarrow/internal/pipeline"
	"quaybarrow/internal/problem"
)

// writeTimeout limits the time that a write to the caller may take.
const writeTimeout = 60 * time.Second

// deadlineInterval is the minimum interval between extensions of the write deadline of a stream.
const deadlineInterval = 10 * time.Second

// sink sends answers over HTTP; it implements pipeline.Sink.
type sink struct {
	writer        http.ResponseWriter
	controller    *http.ResponseController
	started       bool
	deadlineSetAt time.Time
}

func newSink(w http.ResponseWriter) *sink {
	return &sink{writer: w, controller: http.NewResponseController(w)}
}

// setHeaders sets the headers that describe an answer.
func (s *sink) setHeaders(h pipeline.Head) {
	header := s.writer.Header()
	header.Set(HeaderRequestID, h.RequestID)
	header.Set("X-Run", string(problem.Ran))
	if h.TraceID != "" {
		header.Set(HeaderTraceID, h.TraceID)
	}
	if h.Version != "" {
		header.Set(HeaderVersion, h.Version)
	}
	if h.SessionToken != "" {
		header.Set(HeaderSessionToken, h.SessionToken)
	}
	if h.Replayed {
		header.Set(HeaderReplayed, "true")
	}
}

// extendDeadline extends the write deadline, but not on every write, because setting it is costly.
func (s *sink) extendDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) < deadlineInterval {
		return
	}
	s.deadlineSetAt = now
	// Ignores the error of a writer that does not support deadlines, as in tests.
	_ = s.controller.SetWriteDeadline(now.Add(writeTimeout))
}

// Whole implements pipeline.Sink.
func (s *sink) Whole(h pipeline.Head, status int, contentType string, body []byte) error {
	s.started = true
	s.setHeaders(h)
	if contentType != "" {
		s.writer.Header().Set("Content-Type", contentType)
	}
	s.extendDeadline()
	s.writer.WriteHeader(status)
	if _, err := s.writer.Write(body); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// Begin implements pipeline.Sink.
func (s *sink) Begin(h pipeline.Head) error {
	s.started = true
	s.setHeaders(h)
	s.writer.Header().Set("Content-Type", "text/event-stream")
	s.writer.Header().Set("Cache-Control", "no-cache")
	s.extendDeadline()
	s.writer.WriteHeader(http.StatusOK)
	return nil
}

// Event implements pipeline.Sink.
func (s *sink) Event(data []byte, more bool) error {
	s.extendDeadline()
	if _, err := s.writer.Write(data); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if more {
		return nil
	}
	if err := s.controller.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// finish reports an error to the caller: as the answer or, if an answer has begun, as the last event
// of its stream, which then lacks the end marker.
func (s *sink) finish(err error) {
	if err == nil {
		return
	}
	failed := problem.Of(err)
	if !s.started {
		failed.Write(s.writer)
		return
	}
	_ = s.Event(fmt.Appendf(nil, "data: %s\n\n", failed.JSON()), false)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
