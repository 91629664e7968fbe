package conn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/conn"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
)

// cutHeads are heads of responses that an endpoint begins to send.
var cutHeads = map[string]string{
	"without a length": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\n",
	"with a length":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\nX-Seal: s\r\n\r\n",
	"with a length 0":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
	"with chunks":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"of bare newlines": "HTTP/1.1 200 OK\nX-Id: 1\nX-Seal: s\n\n",
	"after a continue": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
}

var _ = Describe("a head that is cut off", func() {
	for name, head := range cutHeads {
		// Guards against a response whose head breaks off and whose caller gets it as whole, with an
		// empty or short body.
		It("is no response, wherever it is cut: "+name, func() {
			for end := range head {
				suite.Paused(func() {
					network := memnet.New()
					l := network.Listen(address)
					go answerOnce(l, head[:end])
					p := conn.NewPool(conn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
						return network.Dial(ctx, "tcp", address)
					}})
					c, err := p.Get(context.Background(), address, 1)
					Expect(err).NotTo(HaveOccurred())
					_, err = exchange(c)
					Expect(err).To(HaveOccurred(), "cut after %q", head[:end])
					c.Release(false)
					_ = l.Close()
				})
			}
		})
	}
})

// answerOnce answers one request with a text and closes the connection.
func answerOnce(l net.Listener, text string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
}
