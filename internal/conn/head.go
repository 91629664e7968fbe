package conn

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
)

// Bounds of what is read besides the response to a request.
const (
	// maxUnexpectedResponses is the number of informational responses and responses to
	// earlier requests after which a connection is abandoned.
	maxUnexpectedResponses = 3
	// maxDrainBytes bounds how much of an unneeded response is read to reuse its connection.
	maxDrainBytes = 16 << 10
	// drainTimeout bounds how long that takes. The rest of a short response arrives in the same
	// packet as its head.
	drainTimeout = 50 * time.Millisecond
)

// readHead reads response heads until one is accepted. It returns a *bound.Error if the endpoint sends
// more than may precede a response.
func (c *Conn) readHead(request *http.Request, accept Accept) (*http.Response, error) {
	skipped := int64(0)
	for range maxUnexpectedResponses {
		response, err := c.readOneHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		if accept(response) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, bound.SkippedBytes-skipped+1))
		skipped += n
		if skipped > bound.SkippedBytes {
			return nil, &bound.Error{Place: bound.PlaceSkipped, Bytes: skipped}
		}
		if err != nil || response.Close {
			return nil, ErrUnexpectedData
		}
	}
	return nil, &bound.Error{Place: bound.PlaceSkipped, Bytes: skipped}
}

// readOneHead reads the head of one response. It returns ErrInvalidHead if HTTP does not allow it.
func (c *Conn) readOneHead(request *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.Begin(buffered)
	defer c.head.End()
	response, err := http.ReadResponse(c.reader, request)
	if boundErr := c.head.Err(); boundErr != nil {
		return nil, boundErr
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.head.Begun() {
		return nil, fmt.Errorf("%w: %w", ErrHeadIncomplete, err)
	}
	if err != nil {
		return nil, shortened(err)
	}
	return response, checkHead(response)
}

// maxErrorText is the largest length of the text of an error of the parser, in bytes.
const maxErrorText = 300

// shortened returns an error with a short text: the parser quotes a line that it can't parse whole.
func shortened(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return errors.New(text[:maxErrorText])
	}
	return err
}

// Drain reads what is left of a response that is not needed, and reports whether the connection can be
// reused: the rest is short and arrives at once.
func (c *Conn) Drain() bool {
	c.SetReadDeadline(clock.Now().Add(drainTimeout).Time())
	n, err := io.Copy(io.Discard, io.LimitReader(c.response.Body, maxDrainBytes+1))
	return err == nil && n <= maxDrainBytes
}
