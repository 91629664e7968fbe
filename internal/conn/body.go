package conn

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// StatesEnd reports whether a response states where its body ends. The body of one that does not ends with
// its connection.
func StatesEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// brokenBody is a body that ends with its connection, which has broken while the request was written. A
// socket tells its error once: after the failed write, reads return what has arrived and then a plain end
// of file, as if the endpoint had closed the connection.
type brokenBody struct {
	io.ReadCloser
	writeErr error
}

// Read implements io.Reader. It returns the error of the write at the end.
func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("read a response that ends with its connection: %w: %w", io.ErrUnexpectedEOF, b.writeErr)
	}
	return n, err
}

// afterFailedWrite returns the response to a request that could not be written whole. The endpoint may have
// answered before it read the rest, but its connection is not used again.
func afterFailedWrite(response *http.Response, writeErr error) *http.Response {
	response.Close = true
	if !StatesEnd(response) && response.Body != http.NoBody {
		response.Body = brokenBody{response.Body, writeErr}
	}
	return response
}
