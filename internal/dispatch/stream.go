package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/chat"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/sse"
)

// Limits of streams.
const (
	readBuffer = 16 << 10
	maxResumes = 3
	// endTimeout bounds the wait for the end of a response body after the end marker of its stream.
	// It arrives in the same packet as the marker, or the connection is closed.
	endTimeout = 50 * time.Millisecond
)

// Stream is the response to one attempt.
type Stream struct {
	dispatcher *Dispatcher
	hold       *fleet.Hold
	cancel     context.CancelFunc
	context    context.Context
	request    Request
	attemptID  string

	sentAt          clock.Instant // when the request was sent to the endpoint
	responseStarted clock.Instant // when the first byte of the response arrived
	ongoing         *quarantine.OngoingResponse
	response        *endpointResponse
	reader          *bufio.Reader
	event           eventLines    // the last event
	memory          *bound.Holder // of an event that is longer than readBuffer
	events          int           // data events read so far
	resumes         int
	usage           *chat.Usage
	ended           bool // the response was read to its end or end marker
	failed          bool
	released        bool // the connection and the fleet's hold were released
}

// setResponse makes the stream read from a response.
func (s *Stream) setResponse(a *endpointResponse) {
	if s.memory != nil {
		s.memory.Release()
	}
	s.event, s.memory = eventLines{}, s.dispatcher.options.ResponseMemory.NewHolder(bound.PlaceEvent, a.conn.Interrupt)
	s.response = a
	s.reader = bufio.NewReaderSize(a.Body, readBuffer)
}

// Status returns the endpoint's HTTP status, which is below 500.
func (s *Stream) Status() int { return s.response.StatusCode }

// ContentType returns the response's content type.
func (s *Stream) ContentType() string { return s.response.Header.Get("Content-Type") }

// Confidence returns the engine's confidence in its response; 1 if it reports none.
func (s *Stream) Confidence() float64 {
	text := s.response.Header.Get(chat.HeaderConfidence)
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 1
	}
	return value
}

// Usage returns the token usage that the engine reported, or nil.
func (s *Stream) Usage() *chat.Usage { return s.usage }

// Events returns the number of data events read so far, without the end marker.
func (s *Stream) Events() int { return s.events }

// Endpoint returns the ID of the endpoint that responds.
func (s *Stream) Endpoint() string { return s.hold.Endpoint.ID }

// Event is one event of a stream, as it is sent to the caller.
type Event struct {
	Data         []byte // the event's lines and the blank line; valid until the next call
	UsageOnly    bool   // it has usage and no choices, and is sent only to callers that asked for usage
	Done         bool   // it is the marker that ends the stream
	NextBuffered bool   // the next event is already buffered, so this one need not be flushed
}

// Byte sequences that are looked for in events.
var (
	dataPrefix  = []byte("data:")
	usageMarker = []byte(`"usage":{`)
	noChoices   = []byte(`"choices":[]`)
	doneMarker  = []byte(chat.Done)
)

// Next returns the next event. A broken stream is resumed at the same endpoint and attempt, and so
// on the same version; if that fails, the error is a problem. After the end marker Next returns
// io.EOF.
func (s *Stream) Next() (Event, error) {
	if s.ended {
		return Event{}, io.EOF
	}
	for {
		event, err := s.readEvent()
		if err == nil {
			return event, nil
		}
		if resumeErr := s.resume(err); resumeErr != nil {
			s.failed = true
			s.recordBroken(err)
			return Event{}, problem.New(http.StatusBadGateway, problem.CodeCut, problem.Ran,
				"the answer broke off and could not be resumed").WithCause(resumeErr)
		}
	}
}

// errTruncated means that a stream ended without its end marker.
var errTruncated = errors.New("stream ended early")

// hasBufferedEvent reports whether the buffer holds another complete event.
func (s *Stream) hasBufferedEvent() bool {
	buffered, err := s.reader.Peek(s.reader.Buffered())
	if err != nil {
		return false
	}
	var splitter sse.Splitter
	_, ended := splitter.Next(buffered)
	return ended
}

// parseEvent extracts the parts of an event that the router uses: the end marker and the usage.
func (s *Stream) parseEvent(block []byte) Event {
	event := Event{Data: block}
	payload := bytes.TrimSpace(bytes.TrimPrefix(block, dataPrefix))
	if bytes.Equal(payload, doneMarker) {
		s.ended, event.Done = true, true
		return event
	}
	s.events++
	if bytes.Contains(payload, usageMarker) {
		var chunk chat.Completion
		if err := json.Unmarshal(payload, &chunk); err == nil {
			s.usage = chunk.Usage
		}
		event.UsageOnly = bytes.Contains(payload, noChoices)
	}
	return event
}

// resume requests the rest of the stream from the engine, after the events read so far. It returns
// cause if the stream can't be resumed.
func (s *Stream) resume(cause error) error {
	if s.context.Err() != nil || s.resumes >= maxResumes || bound.IsExceeded(cause) {
		return cause
	}
	s.resumes++
	s.response.release(false)
	a, err := s.dispatcher.send(s.context, exchange{
		method: http.MethodGet, hold: s.hold, continues: true, path: fmt.Sprintf("/v1/streams/%s?from=%d", s.attemptID, s.events),
		header: http.Header{}, requestID: s.request.ID, attemptID: s.attemptID,
	})
	if err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		a.release(a.conn.Drain())
		return cause
	}
	s.setResponse(a)
	return nil
}

// ReadAll reads the whole body of a response that is not streamed.
func (s *Stream) ReadAll() ([]byte, error) {
	body, err := s.dispatcher.readWhole(s.context, s.response, s.reader, s.hold)
	if err != nil {
		s.failed = true
		s.recordBroken(err)
		return nil, problem.New(http.StatusBadGateway, problem.CodeCut, problem.Ran, "the answer broke off").WithCause(err)
	}
	s.ended = true
	var completion chat.Completion
	if err := json.Unmarshal(body, &completion); err == nil {
		s.usage = completion.Usage
	}
	return body, nil
}

// recordBroken reports a response that broke off to the quarantine tracker.
func (s *Stream) recordBroken(err error) {
	run := quarantine.Run{Lasted: clock.Since(s.sentAt), ResponseLasted: clock.Since(s.responseStarted)}
	s.dispatcher.recordFailure(s.context, s.hold, s.request.info(), quarantine.BrokenAttempt{Begun: s.ongoing.Lived(), Run: run}, err)
}

// abort ends an attempt that was not read to its end, and cancels it at the engine unless the
// engine refused it.
func (s *Stream) abort(outcome fleet.Outcome) {
	s.release(outcome, false)
	if outcome != fleet.OutcomeRefused {
		go s.dispatcher.cancelAttempt(s.hold.Endpoint.Address, s.attemptID)
	}
}

// Close ends the attempt. If its response was not read to the end, Close also cancels it at the
// engine, so that the engine does not keep generating a response that nobody reads.
func (s *Stream) Close() {
	switch {
	case s.failed:
		s.abort(fleet.OutcomeFailed)
	case s.ended:
		s.dispatcher.recordCompleted(s.request.Identity)
		s.release(fleet.OutcomeGood, s.reachedEOF())
	default:
		s.abort(fleet.OutcomeNeutral)
	}
}

// reachedEOF reports whether nothing follows the marker that ends a stream, so that the connection
// can be reused.
func (s *Stream) reachedEOF() bool {
	s.response.conn.SetReadDeadline(clock.Now().Add(endTimeout).Time())
	n, err := io.Copy(io.Discard, io.LimitReader(s.reader, 1))
	return err == nil && n == 0
}

// release releases the connection and the fleet's hold; calls after the first do nothing.
func (s *Stream) release(outcome fleet.Outcome, readToEnd bool) {
	if s.released {
		return
	}
	s.released = true
	if s.ongoing != nil {
		s.dispatcher.options.Quarantine.EndResponse(s.ongoing, s.ended && s.Status() == http.StatusOK)
	}
	if s.response != nil {
		s.memory.Release()
		s.response.release(readToEnd && !s.memory.Ended())
	}
	s.cancel()
	s.hold.Done(fleet.Result{Outcome: outcome})
}
