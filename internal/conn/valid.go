package conn

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead means that the head of a response is not HTTP/1, so that nothing of the response can be
// believed: neither what it says nor where it ends.
var ErrInvalidHead = errors.New("the head of the response is not valid HTTP")

// maxStatus is the largest status code (RFC 9110, section 15).
const maxStatus = 599

// checkHead returns ErrInvalidHead if a response has a head that net/http parses though HTTP does not allow
// it: a status code out of range, another major version, a switch to another protocol that nobody has asked
// for, or a field name that is no token (RFC 9110, section 5.6.2). A name with a blank hides the field that
// it seems to be, such as one that frames the body.
func checkHead(response *http.Response) error {
	switch {
	case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
		return fmt.Errorf("%w: status code %d", ErrInvalidHead, response.StatusCode)
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: major version %d", ErrInvalidHead, response.ProtoMajor)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: switch to another protocol", ErrInvalidHead)
	}
	return checkNames(response.Header)
}

// checkNames returns ErrInvalidHead if a field name is no token.
func checkNames[H ~map[string][]string](header H) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name that is no token", ErrInvalidHead)
		}
	}
	return nil
}

// CheckedTransport fails the responses of another transport whose heads are not valid HTTP.
type CheckedTransport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper. It returns ErrInvalidHead.
func (t CheckedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkNames(header) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t CheckedTransport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
