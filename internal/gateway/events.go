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
	errStreamEnd = errors.New("the stream has ended")
	errEventLong = errors.New("an event is too long")
)

// Bounds of events.
const (
	eventBuffer = 4 << 10
	eventMost   = 1 << 20
)

// eventReader cuts a stream into whole events. What a stream that breaks leaves
// of an event is dropped, and so are events that the caller has already.
type eventReader struct {
	from   io.Reader
	buffer []byte
	last   string // id of the last event handed out
	ended  error
}

// newEventReader reads events that come after one with an id; "" for all.
func newEventReader(from io.Reader, last string) *eventReader {
	return &eventReader{from: from, buffer: make([]byte, 0, eventBuffer), last: last}
}

// chunk is a row of whole events.
type chunk struct {
	data   []byte
	events int
	last   string // id of the last event so far
}

// next returns the events that are there, after waiting for one at least. The
// error tells how the stream ended; events may come with it.
func (e *eventReader) next() (chunk, error) {
	for {
		if c := e.cut(); len(c.data) > 0 {
			return c, nil
		}
		if e.ended != nil {
			return chunk{last: e.last}, e.ended
		}
		e.fill()
	}
}

// fill reads what is there.
func (e *eventReader) fill() {
	if len(e.buffer) >= eventMost {
		e.ended = errEventLong
		return
	}
	if len(e.buffer) == cap(e.buffer) {
		e.buffer = append(make([]byte, 0, 2*cap(e.buffer)), e.buffer...)
	}
	n, err := e.from.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	switch {
	case errors.Is(err, io.EOF):
		e.ended = errStreamEnd
		if tail := e.buffer[bytes.LastIndex(e.buffer, eventEnd)+1:]; len(tail) > 1 {
			e.ended = errors.WithMessage(io.ErrUnexpectedEOF, "the stream ended inside an event")
		}
	case err != nil:
		e.ended = errors.WithMessage(err, "the stream broke off")
	}
}

// eventEnd is the empty line after an event.
var eventEnd = []byte("\n\n")

// cut takes the whole events out of the buffer.
func (e *eventReader) cut() chunk {
	c := chunk{last: e.last}
	at := 0
	for {
		end := bytes.Index(e.buffer[at:], eventEnd)
		if end < 0 {
			break
		}
		event := e.buffer[at : at+end+len(eventEnd)]
		at += len(event)
		id, ok := eventID(event)
		if ok && !after(id, e.last) {
			continue
		}
		if ok {
			e.last = id
		}
		c.data = append(c.data, event...)
		c.events++
	}
	c.last = e.last
	e.buffer = append(e.buffer[:0], e.buffer[at:]...)
	return c
}

// eventID finds an event's id.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// after reports whether an id comes after another; ids that are no numbers are
// taken to rise.
func after(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// readShort reads the body of an answer that is no stream.
func readShort(answer *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes))
	if err != nil {
		return nil, errors.WithMessage(err, "the answer broke off")
	}
	return body, nil
}
