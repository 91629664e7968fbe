package conn_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/conn"
	"quaybarrow/internal/standin/memnet"
)

// earlyResponses are responses that arrive while the request is written, before the connection is reset, and
// whether they are whole.
var earlyResponses = map[string]struct {
	text  string
	whole bool
}{
	"without a length":           {"HTTP/1.1 200 OK\r\n\r\npart of the body", false},
	"without a length, HTTP/1.0": {"HTTP/1.0 200 OK\r\n\r\npart of the body", false},
	"without a body yet":         {"HTTP/1.1 200 OK\r\n\r\n", false},
	"a failure without a length": {"HTTP/1.1 404 Not Found\r\n\r\npart of the body", false},
	"with a length, cut":         {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart of the body", false},
	"with a length, whole":       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true},
	"in chunks, cut":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", false},
	"in chunks, whole":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
	"that has no body":           {"HTTP/1.1 204 No Content\r\n\r\n", true},
}

// upload sends a request with a body on a new connection and reads its response. It reports whether the
// connection is used again.
func upload(dial func(context.Context, string) (net.Conn, error), body []byte) (reusable bool, err error) {
	opened := 0
	p := conn.NewPool(conn.Options{Dial: dial, OnOpen: func(string) { opened++ }})
	defer p.Close()
	c, err := p.Get(context.Background(), address, 0)
	Expect(err).NotTo(HaveOccurred())
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/"}, Host: "a.example", Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	response, err := c.Send(request, accept)
	if err != nil {
		return false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	c.Release(err == nil)
	next, getErr := p.Get(context.Background(), address, 0)
	Expect(getErr).NotTo(HaveOccurred())
	next.Release(false)
	return opened == 1, err
}

var _ = Describe("a response to a request whose connection is reset while it is written", func() {
	for name, r := range earlyResponses {
		// Guards against a part of a body that passes for the whole since the reset is told only once.
		It("is whole only if it states its end: "+name, func() {
			reusable, err := upload(func(context.Context, string) (net.Conn, error) {
				return memnet.NewResetConn(100, r.text), nil
			}, make([]byte, 5000))
			Expect(reusable).To(BeFalse())
			if r.whole {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(conn.IsDisconnect(err)).To(BeTrue())
		})
	}

	// Guards against the same on real sockets.
	It("is not whole without a length, on a socket", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		go resetAfter(l, earlyResponses["without a length"].text)
		_, err = upload(func(ctx context.Context, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", l.Addr().String())
		}, make([]byte, moreThanBuffers))
		Expect(err).To(HaveOccurred())
	})
})

// moreThanBuffers is more than the kernel buffers between two sockets.
const moreThanBuffers = 64 << 20

// resetAfter answers the first connection with a text before it has read the request, and resets it; it accepts
// one more.
func resetAfter(l net.Listener, text string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	_, _ = io.ReadFull(c, make([]byte, 10))
	_, _ = io.WriteString(c, text)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	if c, err = l.Accept(); err == nil {
		_ = c.Close()
	}
}
