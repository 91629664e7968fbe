package conn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

const address = "10.0.1.1:80"

// withEndpoint runs a body with a pool and an endpoint that answers every request
// as a script tells.
func withEndpoint(script standin.Script, body func(p *conn.Pool, e *standin.Endpoint)) {
	suite.Paused(func() {
		network := memnet.New()
		e := standin.NewEndpoint("e-1", standin.Always(script))
		l := network.Listen(address)
		go e.Serve(l)
		p := conn.NewPool(conn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return network.Dial(ctx, "tcp", address)
		}})
		body(p, e)
		_ = l.Close()
		p.Close()
		time.Sleep(time.Minute)
	})
}

func accept(http.Header) bool { return true }

// exchange sends a request and reads its answer.
func exchange(c *conn.Conn) (string, error) {
	answer, err := c.Send(&http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/"}, Host: "a.example", Header: http.Header{}}, accept)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

var _ = Describe("a pool of connections", func() {
	ctx := context.Background()

	It("forgets the connections at rest to an address, and leaves those in use", func() {
		withEndpoint(standin.Reply{Status: 200, Body: "x"}, func(p *conn.Pool, e *standin.Endpoint) {
			resting, err := p.Get(ctx, address, 2)
			Expect(err).NotTo(HaveOccurred())
			_, err = exchange(resting)
			Expect(err).NotTo(HaveOccurred())
			using, err := p.Get(ctx, address, 2)
			Expect(err).NotTo(HaveOccurred())
			resting.Release(true)
			p.Forget(address)
			p.Forget("10.9.9.9:80")
			body, err := exchange(using)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("x"))
			using.Release(true)
			before := e.Connections()
			for range 2 { // the one in use, and a new one in the place of the other
				c, err := p.Get(ctx, address, 2)
				Expect(err).NotTo(HaveOccurred())
				_, err = exchange(c)
				Expect(err).NotTo(HaveOccurred())
				defer c.Release(false)
			}
			Expect(e.Connections()).To(Equal(before + 1))
		})
	})

	It("uses a connection again, until it has rested too long", func() {
		withEndpoint(standin.Reply{Status: 200, Body: "x"}, func(p *conn.Pool, e *standin.Endpoint) {
			for _, rest := range []time.Duration{0, time.Second, 10 * time.Second} {
				time.Sleep(rest)
				c, err := p.Get(ctx, address, 1)
				Expect(err).NotTo(HaveOccurred())
				Expect(exchange(c)).To(Equal("x"))
				c.Release(true)
			}
			Expect(e.Connections()).To(Equal(2))
		})
	})

	It("uses none again that rested too long while the machine was suspended", func() {
		withEndpoint(standin.Reply{Status: 200, Body: "x"}, func(p *conn.Pool, e *standin.Endpoint) {
			for _, away := range []time.Duration{0, time.Second, 10 * time.Second} {
				clock.SimulateSuspension(away)
				c, err := p.Get(ctx, address, 1)
				Expect(err).NotTo(HaveOccurred())
				Expect(exchange(c)).To(Equal("x"))
				c.Release(true)
			}
			Expect(e.Connections()).To(Equal(2))
		})
	})

	It("opens no more than the limit", func() {
		withEndpoint(standin.Reply{Status: 200, Body: "x"}, func(p *conn.Pool, _ *standin.Endpoint) {
			c, err := p.Get(ctx, address, 1)
			Expect(err).NotTo(HaveOccurred())
			_, err = p.Get(ctx, address, 1)
			Expect(err).To(MatchError(conn.ErrBusy))
			c.Release(false)
			c, err = p.Get(ctx, address, 1)
			Expect(err).NotTo(HaveOccurred())
			c.Release(false)
		})
	})

	It("says that nothing was sent where nobody listens", func() {
		withEndpoint(standin.Reset{}, func(p *conn.Pool, _ *standin.Endpoint) {
			_, err := p.Get(ctx, "10.0.1.2:80", 1)
			Expect(err).To(MatchError(conn.ErrNotSent))
		})
	})

	It("does not say so once a request has left", func() {
		withEndpoint(standin.Reset{}, func(p *conn.Pool, e *standin.Endpoint) {
			c, err := p.Get(ctx, address, 1)
			Expect(err).NotTo(HaveOccurred())
			_, err = exchange(c)
			Expect(err).To(HaveOccurred())
			Expect(err).NotTo(MatchError(conn.ErrNotSent))
			Expect(e.Requests()).To(HaveLen(1))
			c.Release(false)
		})
	})

	It("ends a wait that is interrupted", func() {
		withEndpoint(standin.NoReply{}, func(p *conn.Pool, _ *standin.Endpoint) {
			c, err := p.Get(ctx, address, 1)
			Expect(err).NotTo(HaveOccurred())
			time.AfterFunc(time.Second, c.Interrupt)
			start := time.Now()
			_, err = exchange(c)
			Expect(err).To(HaveOccurred())
			Expect(time.Since(start)).To(Equal(time.Second))
			c.Release(false)
		})
	})
})
