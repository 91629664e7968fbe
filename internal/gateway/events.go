package gateway

import (
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/sse"
)

// Errors that end a stream.
var (
	// errStreamEnd means that a stream ended after a complete event.
	errStreamEnd = errors.New("the stream has ended")
	// errInsideEvent means that a stream broke off inside an event.
	errInsideEvent = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)
	// errNoEvent means that a stream that states no end ended before its first event.
	errNoEvent = fmt.Errorf("the stream ended before its first event: %w", io.ErrUnexpectedEOF)
)

// initialEventBuffer is large enough for most events. Larger buffers count as memory that the request
// holds, and are given up after the event.
const initialEventBuffer = 4 << 10

// eventReader splits a stream into complete events. It drops the incomplete event at the end of a
// stream that breaks off, and events that the caller already has.
type eventReader struct {
	source   io.Reader
	memory   *bound.Holder
	buffer   []byte
	splitter sse.Splitter
	searched int    // bytes of buffer that the splitter has seen; they hold no end of an event
	lastID   string // ID of the last event returned
	endErr   error
}

// newEventReader returns a reader of the events that follow the one with ID lastID; "" for all
// events. It holds the memory of long events until release.
func newEventReader(source io.Reader, lastID string, memory *bound.Holder) *eventReader {
	return &eventReader{source: source, memory: memory, buffer: make([]byte, 0, initialEventBuffer), lastID: lastID}
}

// release gives back the memory of a long event.
func (e *eventReader) release() { e.memory.Release() }

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
			return e.end()
		}
		e.fill()
	}
}

// end returns how the stream ended, and the empty lines after the last event of a whole stream.
func (e *eventReader) end() (chunk, error) {
	c := chunk{lastID: e.lastID}
	switch {
	case !errors.Is(e.endErr, io.EOF):
		return c, e.endErr
	case !e.splitter.BetweenEvents():
		return c, errInsideEvent
	default:
		c.data, e.buffer = e.buffer, nil
		return c, errStreamEnd
	}
}

// fill reads the available bytes.
func (e *eventReader) fill() {
	if err := e.grow(); err != nil {
		e.endErr = err
		return
	}
	n, err := e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	switch {
	case errors.Is(err, io.EOF):
		e.endErr = io.EOF
	case err != nil:
		e.endErr = e.brokeOff(err)
	}
}

// grow makes room for more bytes of an incomplete event, within the bounds of one and of all events.
func (e *eventReader) grow() error {
	if len(e.buffer) >= bound.EventBytes {
		return &bound.Error{Place: bound.PlaceEvent, Bytes: int64(len(e.buffer))}
	}
	if len(e.buffer) < cap(e.buffer) {
		return nil
	}
	size := 2 * cap(e.buffer)
	if err := e.memory.Resize(int64(size)); err != nil {
		return fmt.Errorf("hold an event: %w", err)
	}
	e.buffer = append(make([]byte, 0, size), e.buffer...)
	return nil
}

// shrink gives up the memory of a long event.
func (e *eventReader) shrink() {
	if cap(e.buffer) == initialEventBuffer || len(e.buffer) > initialEventBuffer {
		return
	}
	e.buffer = append(make([]byte, 0, initialEventBuffer), e.buffer...)
	e.memory.Release()
}

// brokeOff returns the error for a stream that can't be read further, which another request may have
// caused that needed the memory.
func (e *eventReader) brokeOff(err error) error {
	if ended := e.memory.Err(); ended != nil {
		err = ended
	}
	return errors.WithMessage(err, "the stream broke off")
}

// takeEvents removes the complete events from the buffer and returns those that the caller lacks.
func (e *eventReader) takeEvents() chunk {
	c := chunk{lastID: e.lastID}
	consumed := 0
	for e.searched < len(e.buffer) {
		n, ended := e.splitter.Next(e.buffer[e.searched:])
		e.searched += n
		if !ended {
			break
		}
		event := e.buffer[consumed:e.searched]
		consumed = e.searched
		id, ok := sse.ID(event)
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
	if consumed > 0 {
		e.buffer = append(e.buffer[:0], e.buffer[consumed:]...)
		e.searched -= consumed
		e.shrink()
	}
	return c
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
