package dispatch

import (
	"bufio"
	"bytes"
	"fmt"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
)

// eventLines holds the lines of an event without its id lines.
type eventLines struct {
	data      []byte
	continued bool // the last piece did not end its line
	skipping  bool // that line is left out
}

// idField begins the lines that are left out.
var idField = []byte("id:")

// wants reports whether a piece of a line belongs to the event, and whether it ends the event.
func (e *eventLines) wants(piece []byte, endsLine bool) (wanted, ends bool) {
	if !e.continued {
		e.skipping = bytes.HasPrefix(piece, idField)
	}
	blank := !e.continued && len(bytes.TrimRight(piece, "\r\n")) == 0
	e.continued = !endsLine
	if blank {
		return len(e.data) > 0, len(e.data) > 0
	}
	return !e.skipping, false
}

// reset drops the event. It keeps the buffer unless that is large.
func (e *eventLines) reset(memory *bound.Holder) {
	if cap(e.data) > readBuffer {
		e.data = nil
		memory.Release()
	}
	*e = eventLines{data: e.data[:0]}
}

// add appends a piece of a line, within the bound on all events.
func (e *eventLines) add(piece []byte, memory *bound.Holder) error {
	if size := len(e.data) + len(piece); size > cap(e.data) {
		size = max(readBuffer, 2*cap(e.data), size)
		if size > readBuffer {
			if err := memory.Resize(int64(size)); err != nil {
				return fmt.Errorf("hold an event: %w", err)
			}
		}
		e.data = append(make([]byte, 0, size), e.data...)
	}
	e.data = append(e.data, piece...)
	return nil
}

// readEvent returns the next complete event of the current response, without its id lines. It returns a
// *bound.Error if an event and the lines that are left out before it are too long.
func (s *Stream) readEvent() (Event, error) {
	s.event.reset(s.memory)
	read := 0
	for ends := false; !ends; {
		piece, err := s.reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if ended := s.memory.Err(); ended != nil {
				err = ended
			}
			return Event{}, fmt.Errorf("%w: %w", errTruncated, err)
		}
		if read += len(piece); read > bound.EventBytes {
			return Event{}, &bound.Error{Place: bound.PlaceEvent, Bytes: int64(read)}
		}
		var wanted bool
		wanted, ends = s.event.wants(piece, err == nil)
		if !wanted {
			continue
		}
		if err := s.event.add(piece, s.memory); err != nil {
			return Event{}, err
		}
	}
	s.ongoing.DataArrived(clock.Now())
	event := s.parseEvent(s.event.data)
	event.NextBuffered = s.hasBufferedEvent()
	return event, nil
}
