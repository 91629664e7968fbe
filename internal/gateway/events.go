package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// Errors of event streams.
var (
	errStreamEnd    = errors.New("the stream has ended")
	errEventTooLong = errors.New("an event is too long")
)

// Bounds of events.
const (
	initialEventBuffer = 4 << 10
	maxEventBytes      = 1 << 20
)

// eventReader splits a stream into complete events. It drops the incomplete event at the end of a
// stream that breaks off, and events that the caller already has.
type eventReader struct {
	source io.Reader
	buffer []byte
	lastID string // ID of the last event returned
	endErr error
}

// newEventReader returns a reader of the events that follow the one with ID lastID; "" for all
// events.
func newEventReader(source io.Reader, lastID string) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, 0, initialEventBuffer), lastID: lastID}
}

// chunk is a sequence of complete events.
type chunk struct {
	data   []byte
	events int
	lastID string // ID of the last event so far
}

// next returns the events that are available, after waiting for at least one. The error tells how
// the stream ended.
func (e *eventReader) next() (chunk, error) {
	for {
		if c := e.takeEvents(); len(c.data) > 0 {
			return c, nil
		}
		if e.endErr != nil {
			return chunk{lastID: e.lastID}, e.endErr
		}
		e.fill()
	}
}

// fill reads the available bytes.
func (e *eventReader) fill() {
	if len(e.buffer) >= maxEventBytes {
		e.endErr = errEventTooLong
		return
	}
	if len(e.buffer) == cap(e.buffer) {
		e.buffer = append(make([]byte, 0, 2*cap(e.buffer)), e.buffer...)
	}
	n, err := e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	switch {
	case errors.Is(err, io.EOF):
		e.endErr = errStreamEnd
		if tail := e.buffer[bytes.LastIndex(e.buffer, eventEnd)+1:]; len(tail) > 1 {
			e.endErr = errors.WithMessage(io.ErrUnexpectedEOF, "the stream ended inside an event")
		}
	case err != nil:
		e.endErr = errors.WithMessage(err, "the stream broke off")
	}
}

// eventEnd is the empty line after an event.
var eventEnd = []byte("\n\n")

// takeEvents removes the complete events from the buffer and returns those that the caller lacks.
func (e *eventReader) takeEvents() chunk {
	c := chunk{lastID: e.lastID}
	consumed := 0
	for {
		end := bytes.Index(e.buffer[consumed:], eventEnd)
		if end < 0 {
			break
		}
		event := e.buffer[consumed : consumed+end+len(eventEnd)]
		consumed += len(event)
		id, ok := eventID(event)
		if ok && !idAfter(id, e.lastID) {
			continue
		}
		if ok {
			e.lastID = id
		}
		c.data = append(c.data, event...)
		c.events++
	}
	c.lastID = e.lastID
	e.buffer = append(e.buffer[:0], e.buffer[consumed:]...)
	return c
}

// eventID returns an event's ID.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// idAfter reports whether an ID comes after another. IDs that are not numbers are assumed to be in
// rising order.
func idAfter(id, lastID string) bool {
	if lastID == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(lastID, 10, 64)
	return errA != nil || errB != nil || a > b
}

// readNonStream reads the body of a response that is not a stream, up to maxBufferedBytes.
func readNonStream(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return nil, errors.WithMessage(err, "the answer broke off")
	}
	return body, nil
}
