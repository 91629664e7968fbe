// Package sse finds the ends of the events of a stream of server-sent events (WHATWG HTML Living
// Standard, section 9.2).
//
// # Usage
//
//	var s sse.Splitter
//	for len(data) > 0 {
//		n, ended := s.Next(data)
//		... data[:n] belongs to the current event, which is whole if ended is set ...
//		data = data[n:]
//	}
//	if !s.BetweenEvents() { ... the stream ended inside an event ... }
//
// A line ends with LF, CR or CR LF, and an empty line ends an event. Empty lines before an event mean
// nothing; every other byte begins an event, or a comment, which is treated as one.
package sse

import "bytes"

// Splitter finds the ends of events in data that arrives in pieces. The zero value expects the start
// of a stream.
type Splitter struct {
	inLine  bool // the current line has a byte
	inEvent bool // a line of the current event has a byte
	afterCR bool // the last byte was a CR, so that an LF belongs to the same line end
}

// Next returns the number of bytes up to the end of the current event and whether the event ends
// there. If it does not, all bytes belong to it. An LF that arrives later than the CR before it is
// returned with the bytes of the next event.
func (s *Splitter) Next(data []byte) (n int, ended bool) {
	for n < len(data) {
		if s.skipLF(data[n]) {
			n++
			continue
		}
		length, complete := lineLength(data[n:])
		if length > 0 {
			s.inLine, s.inEvent = true, true
		}
		n += length
		if !complete {
			break
		}
		s.afterCR = data[n] == '\r'
		n++
		if n < len(data) && s.skipLF(data[n]) {
			n++
		}
		blank := !s.inLine
		s.inLine = false
		if blank && s.inEvent {
			s.inEvent = false
			return n, true
		}
	}
	return n, false
}

// skipLF reports whether a byte is the LF of a line end that began with CR.
func (s *Splitter) skipLF(b byte) bool {
	skip := s.afterCR && b == '\n'
	s.afterCR = false
	return skip
}

// BetweenEvents reports whether no event has begun since the last whole one.
func (s *Splitter) BetweenEvents() bool { return !s.inEvent }

// lineLength returns the number of bytes before the first line end, and whether there is one.
func lineLength(data []byte) (n int, complete bool) {
	lf := bytes.IndexByte(data, '\n')
	if lf >= 0 {
		data = data[:lf]
	}
	if cr := bytes.IndexByte(data, '\r'); cr >= 0 {
		return cr, true
	}
	return len(data), lf >= 0
}

// ID returns the value of an event's id field; ok is false if it has none.
func ID(event []byte) (id string, ok bool) {
	for len(event) > 0 {
		n, _ := lineLength(event)
		if value, found := bytes.CutPrefix(event[:n], idField); found {
			return string(bytes.TrimSpace(value)), true
		}
		event = event[min(n+1, len(event)):]
	}
	return "", false
}

// idField begins the line of an event's ID.
var idField = []byte("id:")
