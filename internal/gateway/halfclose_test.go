package gateway_test

import (
	"context"
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/platform/standin"
)

// askHalfClosed sends a request on a real connection, closes the sending half of it and
// returns what comes back.
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
	got, _ := io.ReadAll(c) // an error is as good as nothing
	return string(got)
}

// halfClosedRequests are requests whose callers are taken to have left, with what an endpoint does.
var halfClosedRequests = map[string]struct {
	path   string
	script standin.Script
}{
	"a plain one that waits for its answer":      {"/again/1", standin.Mute{}},
	"one that may run once":                      {"/once/1", standin.Mute{}},
	"a stream that waits for its first event":    {"/stream/1", standin.Mute{}},
	"a stream that waits for the event after it": {"/stream/1", standin.Stream{Events: 5, Confidence: 90, StallAfter: 1}},
}

var _ = Describe("a caller that has closed its sending half", func() {
	for name, h := range halfClosedRequests {
		It("gets nothing that looks like a whole answer: "+name, func() {
			r := newRig(scripts{"plain-1": standin.Always(h.script), "model-1": standin.Always(h.script)})
			defer func() { _ = r.server.Close() }()
			got := r.askHalfClosed(request("POST", h.path, "x").WithPrompt())
			Expect(got).NotTo(ContainSubstring("Content-Length: 0"), "the library's answer of a handler that wrote nothing")
			Expect(got).NotTo(HaveSuffix("0\r\n\r\n"), "the end of a stream")
		})
	}
})
