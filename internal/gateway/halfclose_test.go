package gateway_test

import (
	"context"
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/platform/standin"
)

// askHalfClosed sends a request on a TCP connection, closes its sending half and returns the bytes
// that come back.
func (r *rig) askHalfClosed(req standin.Request) string {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = r.server.Serve(r.gateway.Wrap(l)) }()
	var dialer net.Dialer
	c, err := dialer.DialContext(context.Background(), "tcp4", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, req.Text())
	Expect(err).NotTo(HaveOccurred())
	Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
	got, _ := io.ReadAll(c) // an error counts as no response
	return string(got)
}

// halfClosedRequests are requests whose callers count as disconnected, with the endpoint's script.
var halfClosedRequests = map[string]struct {
	path   string
	script standin.Script
}{
	"a repeatable request that waits for its response": {"/again/1", standin.NoReply{}},
	"a request that may run only once":                 {"/once/1", standin.NoReply{}},
	"a stream that waits for its first event":          {"/stream/1", standin.NoReply{}},
	"a stream that waits for its second event":         {"/stream/1", standin.Stream{Events: 5, Confidence: 90, StallAfter: 1}},
}

var _ = Describe("a caller that has closed its sending half", func() {
	for name, h := range halfClosedRequests {
		It("gets nothing that looks like a complete response: "+name, func() {
			r := newRig(scripts{"plain-1": standin.Always(h.script), "model-1": standin.Always(h.script)})
			defer func() { _ = r.server.Close() }()
			got := r.askHalfClosed(request("POST", h.path, "x").WithPrompt())
			Expect(got).NotTo(ContainSubstring("Content-Length: 0"), "net/http's response for a handler that wrote nothing")
			Expect(got).NotTo(HaveSuffix("0\r\n\r\n"), "the end of a stream")
		})
	}
})
