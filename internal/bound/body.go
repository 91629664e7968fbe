package bound

import (
	"io"

	"github.com/pkg/errors"
)

// initialBody is the size of the first buffer of a body that is held, which counts as no memory.
const initialBody = 4 << 10

// ReadBody reads a body into a buffer that grows up to a number of bytes. Before it grows, grow is called
// with its next size; an error ends the reading. It returns what was read, and io.EOF if that is the whole
// body.
func ReadBody(source io.Reader, most int, grow func(size int) error) ([]byte, error) {
	body := make([]byte, 0, min(initialBody, most))
	for {
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, err
		}
		if len(body) < cap(body) {
			continue
		}
		if len(body) == most {
			return body, ErrFull
		}
		size := min(2*cap(body), most)
		if err := grow(size); err != nil {
			return body, err
		}
		body = append(make([]byte, 0, size), body...)
	}
}

// ErrFull means that a body has more bytes than may be held, or may have.
var ErrFull = errors.New("no more of the body may be held")
