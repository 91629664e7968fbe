package reach_test

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/platform/standin"
)

// relayBuffers covers the bytes that both hosts and the connection between them hold of a relayed connection
// whose user does not read.
const relayBuffers = 192 << 10

// withRelayed runs body with a pool whose connections to the endpoint are relayed by another host.
func withRelayed(script func(n int, r *http.Request) standin.Script, body func(p *conn.Pool, e *standin.Endpoint)) {
	withHosts(2, func(r *rig) {
		r.stopEndpoint()
		e := standin.NewEndpoint("e-1", script)
		r.listener = r.net.Listen(endpointAddress)
		go e.Serve(r.listener)
		r.hosts[0].set(memnet.LinkRefuses)
		p := conn.NewPool(conn.Options{Dial: r.hosts[0].Dial})
		body(p, e)
		p.Close()
		time.Sleep(time.Second)
	})
}

// send sends a request on a new connection that is relayed.
func send(p *conn.Pool, path string) (*conn.Conn, *http.Response, error) {
	c, err := p.Get(context.Background(), endpointAddress, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.RelayedBy()).NotTo(BeEmpty())
	c.SetDeadline(time.Now().Add(5 * time.Second))
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: path}, Host: "a.example", Header: http.Header{}}
	response, err := c.Send(request, func(*http.Response) bool { return true })
	return c, response, err
}

var _ = Describe("a response without end on a relayed connection", func() {
	flood := standin.Endless{Status: 200, Repeat: strings.Repeat("x", 4<<10), Pause: time.Millisecond}

	// Guards against a host that relays on after the other has closed the connection.
	It("is cut off at the bound of a head, and the endpoint's connection closes", func() {
		withRelayed(standin.Always(flood), func(p *conn.Pool, e *standin.Endpoint) {
			start := time.Now()
			c, _, err := send(p, "/flood") //nolint:bodyclose // there is no response
			Expect(bound.IsExceeded(err)).To(BeTrue())
			Expect(c.WayLost(context.Background(), false)).To(BeFalse())
			c.Release(false)
			time.Sleep(time.Second)
			q := e.Requests()[0]
			Expect(q.Ended.Sub(start)).To(BeNumerically("<", 100*time.Millisecond))
			Expect(q.Sent).To(BeNumerically("<=", bound.HeadBytes+relayBuffers))
		})
	})

	// Guards against a host that collects what a user does not read, and against one relayed connection
	// that holds up the others of the same host.
	It("is not read ahead of its user, and does not delay others through the same host", func() {
		body := flood
		body.Start = "\r\n"
		script := func(_ int, r *http.Request) standin.Script {
			if r.URL.Path == "/flood" {
				return body
			}
			return standin.Stream{Events: 5, Confidence: -1, Gap: 100 * time.Millisecond}
		}
		withRelayed(script, func(p *conn.Pool, e *standin.Endpoint) {
			flooded, _, err := send(p, "/flood") //nolint:bodyclose // its connection is closed
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(2 * time.Second)
			start := time.Now()
			c, response, err := send(p, "/events")
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Since(start)).To(BeNumerically("<", 520*time.Millisecond))
			c.Release(true)
			flooded.Release(false)
			time.Sleep(time.Second)
			Expect(e.Requests()[0].Sent).To(BeNumerically("<=", relayBuffers))
		})
	})
})
