package bound

import "io"

// headScan is what has been read of the head of a response.
type headScan struct {
	bytes, lines int
	lineBytes    int  // of the line that has not ended, without carriage returns
	done         bool // the empty line that ends the head was read
}

// add returns the scan after further bytes; those that follow the head are ignored.
func (s headScan) add(p []byte) headScan {
	for _, b := range p {
		if s.done || s.exceeded() {
			break
		}
		s.bytes++
		switch {
		case b == '\r':
		case b != '\n':
			s.lineBytes++
		case s.lineBytes == 0:
			s.done = true
		default:
			s.lines, s.lineBytes = s.lines+1, 0
		}
	}
	return s
}

// exceeded reports whether the head exceeds its bounds.
func (s headScan) exceeded() bool { return s.bytes > HeadBytes || s.lines > HeadLines }

// HeadReader reads from a connection and bounds the heads of responses. The zero value is not usable.
type HeadReader struct {
	source  io.Reader
	reading bool // a head is being read
	scan    headScan
}

// NewHeadReader returns a reader of a connection.
func NewHeadReader(source io.Reader) *HeadReader { return &HeadReader{source: source} }

// Begin starts a head, whose first bytes may have been read before.
func (r *HeadReader) Begin(buffered []byte) { r.reading, r.scan = true, headScan{}.add(buffered) }

// End ends a head: what follows is not bounded.
func (r *HeadReader) End() { r.reading = false }

// Begun reports whether any byte of the last head was read.
func (r *HeadReader) Begun() bool { return r.scan.bytes > 0 }

// Err returns an *Error if the last head exceeds its bounds.
func (r *HeadReader) Err() error {
	if !r.scan.exceeded() {
		return nil
	}
	return &Error{Place: PlaceHead, Bytes: int64(r.scan.bytes)}
}

// Read implements io.Reader. It reads nothing beyond a head that exceeds its bounds or has ended.
func (r *HeadReader) Read(p []byte) (int, error) {
	if !r.reading {
		return r.source.Read(p)
	}
	if err := r.Err(); err != nil {
		return 0, err
	}
	if r.scan.done {
		// Whoever parses the head did not take its end for one.
		return 0, &Error{Place: PlaceHead, Bytes: int64(r.scan.bytes)}
	}
	n, err := r.source.Read(p)
	r.scan = r.scan.add(p[:n])
	if boundErr := r.Err(); boundErr != nil {
		return 0, boundErr
	}
	return n, err
}
