package conn_test

import (
	"context"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/conn"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
)

// invalidHeads are heads of responses that HTTP does not allow, with a body that follows.
var invalidHeads = map[string]string{
	"status 000":                  "HTTP/1.1 000 None\r\nContent-Length: 1\r\n\r\nx",
	"status 099":                  "HTTP/1.1 099 Odd\r\nContent-Length: 1\r\n\r\nx",
	"status +20":                  "HTTP/1.1 +20 Odd\r\nContent-Length: 1\r\n\r\nx",
	"status 600":                  "HTTP/1.1 600 Odd\r\nContent-Length: 1\r\n\r\nx",
	"status 999":                  "HTTP/1.1 999 Odd\r\nContent-Length: 1\r\n\r\nx",
	"status 000 after a continue": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\nContent-Length: 1\r\n\r\nx",
	"a blank in a name":           "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 1\r\n\r\nx",
	"a blank after a length":      "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nx",
	"a blank after an encoding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	"a blank in a skipped head":   "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	"another major version":       "HTTP/2.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
	"a switch of protocols":       "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
}

// unreadableHeads are heads with names that can't be parsed either.
var unreadableHeads = map[string]string{
	"a tab in a name":       "X\tOdd: 1",
	"a control byte":        "X\x01Odd: 1",
	"a zero byte":           "X\x00Odd: 1",
	"a delete byte":         "X\x7fOdd: 1",
	"a carriage return":     "X\rOdd: 1",
	"a byte above ASCII":    "X\xe9Odd: 1",
	"a separator":           "X(Odd): 1",
	"no name":               ": 1",
	"no colon":              "X Odd",
	"a folded first line":   " X: 1",
	"a control byte behind": "X: 1\x01",
}

// validHeads are odd heads that HTTP allows.
var validHeads = map[string]string{
	"status 599":              "HTTP/1.1 599 Odd\r\nContent-Length: 1\r\n\r\nx",
	"status 299":              "HTTP/1.1 299 Odd\r\nContent-Length: 1\r\n\r\nx",
	"early hints":             "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	"HTTP/1.0":                "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
	"odd characters in names": "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~1: 1\r\nContent-Length: 1\r\n\r\nx",
	"blanks around values":    "HTTP/1.1 200 OK\r\nX: \t 1 \t\r\nContent-Length: 1\r\n\r\nx",
}

// headReaders are the ways in which heads of responses are read, each with a request to an endpoint that answers
// with a text.
var headReaders = map[string]func(network *memnet.Network) error{
	"on a connection of a pool": func(network *memnet.Network) error {
		p := conn.NewPool(conn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return network.Dial(ctx, "tcp", address)
		}})
		c, err := p.Get(context.Background(), address, 1)
		Expect(err).NotTo(HaveOccurred())
		defer c.Release(false)
		_, err = exchange(c)
		return err
	},
	"by a client of the store": func(network *memnet.Network) error {
		client := http.Client{Transport: conn.CheckedTransport{Base: network.Transport()}}
		defer client.CloseIdleConnections()
		response, err := client.Get("http://" + address + "/") //nolint:noctx // the clock is paused
		if err != nil {
			return err
		}
		return response.Body.Close()
	},
}

// answering runs body with a network on which an endpoint answers with a text.
func answering(text string, body func(*memnet.Network)) {
	suite.Paused(func() {
		network := memnet.New()
		l := network.Listen(address)
		go answerOnce(l, text)
		body(network)
		_ = l.Close()
	})
}

var _ = Describe("the head of a response", func() {
	for reader, read := range headReaders {
		for name, text := range invalidHeads {
			// Guards against a caller who gets what is no answer in HTTP, or an answer with another body
			// than the endpoint's.
			It("is refused "+reader+" if HTTP does not allow it: "+name, func() {
				answering(text, func(network *memnet.Network) {
					err := read(network)
					Expect(err).To(MatchError(conn.ErrInvalidHead))
					Expect(conn.IsDisconnect(err)).To(BeFalse(), "it is no crash")
				})
			})
		}
		for name, line := range unreadableHeads {
			It("is refused "+reader+" if a line of it can't be read: "+name, func() {
				answering("HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 1\r\n\r\nx", func(network *memnet.Network) {
					Expect(read(network)).NotTo(Succeed())
				})
			})
		}
		for name, text := range validHeads {
			It("is accepted "+reader+" if HTTP allows it: "+name, func() {
				answering(text, func(network *memnet.Network) {
					Expect(read(network)).To(Succeed())
				})
			})
		}
	}
})
