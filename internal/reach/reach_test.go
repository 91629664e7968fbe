package reach_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"quaybarrow/internal/reach"
	"quaybarrow/internal/standin/memnet"
)

var _ = Describe("a host whose link to an endpoint is cut", func() {
	ctx := context.Background()
	dial := func(h *host) net.Conn {
		c, err := h.Dial(ctx, endpointAddress)
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	for name, state := range map[string]memnet.LinkState{"dials are refused": memnet.LinkRefuses, "dials hang": memnet.LinkSilent} {
		It("connects through another host where "+name, func() {
			withHosts(3, func(r *rig) {
				r.hosts[0].set(state)
				began := time.Now()
				c := dial(r.hosts[0])
				Expect(time.Since(began)).To(BeNumerically("<", 250*time.Millisecond))
				Expect(echo(c, "hello")).To(Equal("hello"))
				Expect(lineOf(c).Host()).NotTo(BeEmpty())
				Expect(r.hosts[0].LostCount()).To(Equal(1))
				Expect(c.Close()).To(Succeed())
			})
		})
	}

	It("connects directly again once its link is back, and no longer reuses relayed connections", func() {
		withHosts(3, func(r *rig) {
			r.hosts[0].set(memnet.LinkRefuses)
			relayed := dial(r.hosts[0])
			Expect(lineOf(relayed).Usable()).To(BeTrue())
			r.hosts[0].set(memnet.LinkUp)
			time.Sleep(1100 * time.Millisecond)
			_ = dial(r.hosts[0]).Close() // has the direct way tried
			time.Sleep(10 * time.Millisecond)
			c := dial(r.hosts[0])
			Expect(lineOf(c).Host()).To(BeEmpty())
			Expect(lineOf(relayed).Usable()).To(BeFalse())
			_, _ = c.Close(), relayed.Close()
		})
	})

	It("forgets a lost way that nothing uses any more", func() {
		withHosts(2, func(r *rig) {
			r.hosts[0].set(memnet.LinkRefuses)
			_ = dial(r.hosts[0]).Close()
			Expect(r.hosts[0].LostCount()).To(Equal(1))
			time.Sleep(6 * time.Second)
			Expect(r.hosts[0].LostCount()).To(BeZero())
		})
	})

	It("finds hosts that reach the endpoint though most are cut, and takes it for up", func() {
		withHosts(7, func(r *rig) {
			for _, h := range r.hosts[:5] {
				h.set(memnet.LinkRefuses)
			}
			for _, h := range r.hosts[:5] {
				c := dial(h)
				Expect(echo(c, "x")).To(Equal("x"))
				_ = c.Close()
			}
		})
	})

	It("passes over hosts that don't know the call, relay too many connections or stop", func() {
		withBusyHosts(4, 1, func(r *rig) {
			r.hosts[0].set(memnet.LinkRefuses)
			r.hosts[1].server.Stop()
			l := r.net.Listen(r.hosts[1].address)
			old := grpc.NewServer() // of a version without the service
			go func() { _ = old.Serve(l) }()
			defer old.Stop()
			r.hosts[2].Drain()
			first := dial(r.hosts[0])
			Expect(lineOf(first).Host()).To(Equal(r.hosts[3].address))
			_, err := r.hosts[0].Dial(ctx, endpointAddress)
			Expect(err).To(MatchError(reach.ErrNoWay))
			_ = first.Close()
		})
	})

	It("says that it has no way, not that the endpoint is down, if all hosts are cut", func() {
		withHosts(3, func(r *rig) {
			r.hosts[0].set(memnet.LinkRefuses)
			_ = dial(r.hosts[0]).Close()
			for _, h := range r.hosts[1:] {
				h.set(memnet.LinkRefuses)
				_ = dialSoon(h)
			}
			_, err := r.hosts[0].Dial(ctx, endpointAddress)
			Expect(err).To(MatchError(reach.ErrNoWay))
			Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeFalse())
		})
	})

	It("takes requests that may be repeated off a way that is lost, and leaves others", func() {
		withHosts(3, func(r *rig) {
			repeatable, once := dial(r.hosts[0]), dial(r.hosts[0])
			lineOf(repeatable).SetAbandonable(true)
			r.net.Silence(endpointAddress)
			r.hosts[0].set(memnet.LinkSilent)
			lineOf(repeatable).Expect(true)
			lineOf(once).Expect(true)
			began := time.Now()
			_, err := repeatable.Read(make([]byte, 1))
			Expect(err).To(MatchError(reach.ErrWayLost))
			Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
			_ = once.SetReadDeadline(time.Now().Add(time.Second))
			_, err = once.Read(make([]byte, 1))
			Expect(err).To(MatchError(os.ErrDeadlineExceeded))
			_, _ = once.Close(), repeatable.Close()
		})
	})
})

var _ = Describe("a way that is lost", func() {
	ctx := context.Background()

	It("leaves connections alone that live on while new ones are refused", func() {
		withHosts(3, func(r *rig) {
			c, err := r.hosts[0].Dial(ctx, endpointAddress)
			Expect(err).NotTo(HaveOccurred())
			lineOf(c).SetAbandonable(true)
			lineOf(c).Expect(true)
			r.hosts[0].set(memnet.LinkRefuses)
			time.Sleep(10 * time.Millisecond)
			Expect(dialSoon(r.hosts[0])).To(Succeed())
			Expect(r.hosts[0].LostCount()).To(Equal(1))
			Expect(lineOf(c).Lost()).To(BeFalse())
			Expect(echo(c, "x")).To(Equal("x"))
			_ = c.Close()
		})
	})

	It("explains what breaks, though a check a moment before found it well", func() {
		withHosts(3, func(r *rig) {
			c, err := r.hosts[0].Dial(ctx, endpointAddress)
			Expect(err).NotTo(HaveOccurred())
			Expect(lineOf(c).WayLost(ctx, true)).To(BeFalse())
			time.Sleep(300 * time.Millisecond)
			r.hosts[0].set(memnet.LinkRefuses)
			Expect(lineOf(c).WayLost(ctx, true)).To(BeTrue())
			_ = c.Close()
		})
	})
})

// dialSoon dials without an interest in the result.
func dialSoon(h *host) error {
	c, err := h.Dial(context.Background(), endpointAddress)
	if err == nil {
		_ = c.Close()
	}
	return err
}

var _ = Describe("a host whose link works", func() {
	ctx := context.Background()

	It("takes an endpoint for down that no host reaches", func() {
		withHosts(3, func(r *rig) {
			r.stopEndpoint()
			_, err := r.hosts[0].Dial(ctx, endpointAddress)
			Expect(err).To(MatchError(reach.ErrDown))
			Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
			Expect(r.hosts[0].LostCount()).To(BeZero())
		})
	})

	It("finds out within 0.1 s that an endpoint is down though one of the others does not answer", func() {
		withHosts(5, func(r *rig) {
			for _, h := range r.hosts[1:] { // the connections between hosts are open
				r.hosts[0].set(memnet.LinkRefuses)
				_ = dialSoon(r.hosts[0])
				_ = dialSoon(h)
			}
			r.hosts[0].set(memnet.LinkUp)
			time.Sleep(6 * time.Second) // the lost way is forgotten
			r.stopEndpoint()
			r.net.Silence(r.hosts[1].address)
			r.net.Darken(r.hosts[1].address, true)
			began := time.Now()
			_, err := r.hosts[0].Dial(ctx, endpointAddress)
			Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
			Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
			r.net.Darken(r.hosts[1].address, false)
		})
	})

	It("takes the only host's word if there is no other", func() {
		withHosts(1, func(r *rig) {
			r.hosts[0].set(memnet.LinkRefuses)
			_, err := r.hosts[0].Dial(ctx, endpointAddress)
			Expect(err).To(MatchError(reach.ErrDown))
		})
	})

	It("does not take its way for lost if an endpoint starts between its dial and another host's", func() {
		withHosts(2, func(r *rig) {
			r.hosts[0].set(memnet.LinkRefuses) // the first dial
			go func() {
				time.Sleep(time.Millisecond)
				r.hosts[0].set(memnet.LinkUp)
			}()
			r.hosts[1].set(memnet.LinkSilent)
			go func() {
				time.Sleep(20 * time.Millisecond)
				r.hosts[1].set(memnet.LinkUp)
			}()
			time.Sleep(0)
			c, err := r.hosts[0].Dial(ctx, endpointAddress)
			for err != nil { // the other host was asked too early
				time.Sleep(250 * time.Millisecond)
				c, err = r.hosts[0].Dial(ctx, endpointAddress)
			}
			Expect(lineOf(c).Host()).To(BeEmpty())
			Expect(r.hosts[0].LostCount()).To(BeZero())
			_ = c.Close()
		})
	})

	It("keeps the way to an endpoint that falls silent for a second", func() {
		withHosts(3, func(r *rig) {
			c, err := r.hosts[0].Dial(ctx, endpointAddress)
			Expect(err).NotTo(HaveOccurred())
			lineOf(c).SetAbandonable(true)
			lineOf(c).Expect(true)
			time.Sleep(1500 * time.Millisecond) // nothing arrives
			Expect(lineOf(c).WayLost(ctx, false)).To(BeFalse())
			Expect(r.hosts[0].LostCount()).To(BeZero())
			_ = c.Close()
		})
	})
})

var _ = Describe("a relayed connection", func() {
	ctx := context.Background()
	relayed := func(r *rig) net.Conn {
		r.hosts[0].set(memnet.LinkRefuses)
		c, err := r.hosts[0].Dial(ctx, endpointAddress)
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("is not opened by a host from which the endpoint wants nothing, and nothing is held against either", func() {
		withHosts(3, func(r *rig) {
			r.hosts[1].unwanted.Store(true)
			c := relayed(r)
			Expect(lineOf(c).Host()).To(Equal(r.hosts[2].address))
			_ = c.Close()
			r.hosts[2].unwanted.Store(true)
			_, err := r.hosts[0].Dial(ctx, endpointAddress)
			Expect(err).To(MatchError(reach.ErrNoWay))
			r.hosts[1].unwanted.Store(false)
			c, err = r.hosts[0].Dial(ctx, endpointAddress)
			Expect(err).NotTo(HaveOccurred())
			_ = c.Close()
		})
	})

	It("lives on but is not reused once the endpoint wants nothing from the host that relays", func() {
		withHosts(3, func(r *rig) {
			c := relayed(r)
			Expect(lineOf(c).Usable()).To(BeTrue())
			for _, h := range r.hosts[1:] {
				h.unwanted.Store(true)
				h.StopReuse(endpointAddress)
			}
			time.Sleep(100 * time.Millisecond)
			Expect(lineOf(c).Usable()).To(BeFalse())
			lineOf(c).SetAbandonable(true)
			lineOf(c).Expect(true)
			time.Sleep(time.Second) // its way is checked, over hosts that relay nothing there
			Expect(lineOf(c).WayLost(ctx, true)).To(BeFalse())
			Expect(echo(c, "x")).To(Equal("x"))
			_ = c.Close()
		})
	})

	It("has the host that relays told what the endpoint asks", func() {
		withHosts(2, func(r *rig) {
			told := reach.Notice{Endpoint: "e", Request: "r1", Pause: 3 * time.Second}
			r.hosts[0].Tell(r.hosts[1].address, told)
			time.Sleep(100 * time.Millisecond)
			r.hosts[1].mu.Lock()
			defer r.hosts[1].mu.Unlock()
			Expect(r.hosts[1].told).To(Equal([]reach.Notice{told}))
		})
	})

	It("ends at the endpoint as soon as its user closes it", func() {
		withHosts(2, func(r *rig) {
			c := relayed(r)
			Expect(echo(c, "x")).To(Equal("x"))
			closed := time.Now()
			_ = c.Close()
			Expect((<-r.ended).Sub(closed)).To(BeNumerically("<", 100*time.Millisecond))
		})
	})

	It("tells the end of the endpoint from the loss of the host that relays", func() {
		withHosts(2, func(r *rig) {
			c := relayed(r)
			Expect(echo(c, "x")).To(Equal("x"))
			r.stopEndpoint()
			_, err := c.Read(make([]byte, 1))
			Expect(errors.Is(err, reach.ErrWayLost)).To(BeFalse())
			_ = c.Close()
		})
		withHosts(2, func(r *rig) {
			c := relayed(r)
			Expect(echo(c, "x")).To(Equal("x"))
			r.hosts[1].server.Stop()
			_, err := c.Read(make([]byte, 1))
			Expect(err).To(MatchError(reach.ErrWayLost))
			_ = c.Close()
		})
	})

	for name, size := range map[string]int{"all of which has been sent to the host that relays": 200, "longer than hosts buffer": 1 << 20} {
		// Guards against a cut answer that passes for a whole one since the host that relays learned of the
		// reset by its write alone, and against a user that hangs in a write nobody takes.
		It("ends with a reset if the endpoint resets it while a request is written, "+name, func() {
			withHosts(2, func(r *rig) {
				r.hosts[1].next.Store(memnet.NewResetConn(100, "answer"))
				c := relayed(r)
				began := time.Now()
				_, _ = c.Write(make([]byte, size))
				read, err := io.ReadAll(c)
				Expect(time.Since(began)).To(BeNumerically("<", time.Second))
				Expect(err).To(MatchError(syscall.ECONNRESET))
				Expect(string(read)).To(Equal("answer"))
				_ = c.Close()
			})
		})
	}

	It("ends within a second if the host that relays falls silent", func() {
		withHosts(2, func(r *rig) {
			c := relayed(r)
			Expect(echo(c, "x")).To(Equal("x"))
			r.net.Silence(r.hosts[1].address)
			r.net.Darken(r.hosts[1].address, true)
			began := time.Now()
			_, err := c.Read(make([]byte, 1))
			Expect(err).To(MatchError(reach.ErrWayLost))
			Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			_ = c.Close()
			r.net.Darken(r.hosts[1].address, false)
		})
	})

	It("is not reused once the host that relays stops, which waits for what runs", func() {
		withHosts(2, func(r *rig) {
			c := relayed(r)
			lineOf(c).Expect(true)
			Expect(echo(c, "x")).To(Equal("x"))
			r.hosts[1].Drain()
			time.Sleep(time.Millisecond)
			Expect(lineOf(c).Usable()).To(BeFalse())
			waited, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			began := time.Now()
			r.hosts[1].AwaitRelayed(waited)
			Expect(time.Since(began)).To(BeNumerically("~", 2500*time.Millisecond, 200*time.Millisecond))
			_ = c.Close()
		})
	})

	It("is given to endpoints only", func() {
		withHosts(2, func(r *rig) {
			r.hosts[0].link.Set(memnet.LinkRefuses, func(string) bool { return true })
			_, err := r.hosts[0].Dial(ctx, r.hosts[1].address)
			Expect(err).To(HaveOccurred())
			Expect(r.hosts[1].RelayedCount()).To(BeZero())
		})
	})
})
