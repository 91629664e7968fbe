package advice_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/advice"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/prefill"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
)

const firstAddress = "10.0.0.1:7340"

// hostPair is the first host of a data hall and the next one.
type hostPair struct {
	net          *memnet.Network
	firstFleet   *fleet.Fleet // of the first host
	nextFleet    *fleet.Fleet // of the next host
	first, next  *advice.Advisor
	conns        map[string]*grpc.ClientConn
	predecessors []string // the hosts that next queries, in order
	server       *grpc.Server
}

func newHostPair() *hostPair {
	p := &hostPair{
		net: memnet.New(), firstFleet: fleet.New(fleet.Options{Hall: "ikeja"}), nextFleet: fleet.New(fleet.Options{Hall: "ikeja"}),
		conns: map[string]*grpc.ClientConn{}, predecessors: []string{firstAddress},
	}
	for i := range 4 {
		e := fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Hall: "ikeja", Version: "v1", Slots: 4}
		p.firstFleet.Put(e)
		p.nextFleet.Put(e)
	}
	options := advice.Options{
		Fleet: p.firstFleet, Logger: log.New(io.Discard),
		Allowed: func(string, uint64) func(string) bool { return func(v string) bool { return v == "v1" } },
		Conn:    func(address string) (grpc.ClientConnInterface, error) { return p.conn(address), nil },
	}
	options.PrecedingHosts = func() []string { return nil }
	p.first = advice.New(options)
	options.Fleet, options.PrecedingHosts = p.nextFleet, func() []string { return p.predecessors }
	p.next = advice.New(options)
	p.server = grpc.NewServer()
	p.first.Register(p.server)
	l := p.net.Listen(firstAddress)
	go func() { _ = p.server.Serve(l) }()
	return p
}

func (p *hostPair) conn(address string) *grpc.ClientConn {
	if p.conns[address] == nil {
		c, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return p.net.Dial(ctx, "tcp", address) }))
		Expect(err).NotTo(HaveOccurred())
		p.conns[address] = c
	}
	return p.conns[address]
}

// fillEndpoints has the next host ask for as many endpoints as there are slots, and returns the advice by endpoint.
func (p *hostPair) fillEndpoints() map[string][]fleet.Advice {
	counts := map[string][]fleet.Advice{}
	for i := range 16 {
		a, ok := p.next.Choose(context.Background(), ask(uint64(i)<<8|1), 0)
		Expect(ok).To(BeTrue())
		counts[a.Endpoint] = append(counts[a.Endpoint], a)
	}
	return counts
}

func (p *hostPair) stop() {
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.server.Stop()
	time.Sleep(time.Minute)
}

func ask(key uint64) fleet.Request {
	return fleet.Request{Service: "s", Key: key, Model: "m", Tokens: 10, Objective: time.Second}
}

var _ = Describe("hosts of a data hall", func() {
	ctx := context.Background()

	It("distribute requests over endpoints together, and learn which ones have ended", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			counts := p.fillEndpoints()
			Expect(counts).To(HaveLen(4))
			for _, a := range counts["e2"] {
				p.next.EndAdvised(a)
			}
			_, ok := p.next.Choose(ctx, ask(1), 0) // reports the ended requests
			Expect(ok).To(BeTrue())
			a, ok := p.next.Choose(ctx, ask(2), 0)
			Expect(ok).To(BeTrue())
			Expect(a.Endpoint).To(Equal("e2"))
		})
	})

	It("report ended requests again when the query that told of them was lost", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			counts := p.fillEndpoints()
			p.net.Cut(firstAddress, true)
			for _, a := range counts["e2"] {
				p.next.EndAdvised(a)
			}
			_, ok := p.next.Choose(ctx, ask(1), 0)
			Expect(ok).To(BeFalse())
			Expect(p.conns[firstAddress].Close()).To(Succeed())
			delete(p.conns, firstAddress)
			p.net.Cut(firstAddress, false)
			time.Sleep(time.Second)
			for i := range uint64(4) {
				a, ok := p.next.Choose(ctx, ask(i), 0) // the first one reports the ended requests
				Expect(ok).To(BeTrue())
				Expect(a.Endpoint).To(Equal("e2"))
			}
		})
	})

	It("are advised on endpoints of the regions that they ask for", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			q := ask(1)
			q.Regions = []string{"abuja"}
			_, ok := p.next.Choose(ctx, q, 0)
			Expect(ok).To(BeFalse(), "no endpoint is in that region")
			_, ok = p.next.Choose(ctx, ask(1), 0)
			Expect(ok).To(BeTrue())
		})
	})

	It("know which of them advises the others", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			Expect(p.first.Leads()).To(BeTrue())
			Expect(p.next.Leads()).To(BeFalse())
		})
	})

	It("have requests wait or refuse them as the first host decides, and send waiting ones later", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			askWithDeadline := func(key uint64) fleet.Request {
				q := ask(key)
				q.Slack, q.Remaining = time.Second, 4*time.Second
				return q
			}
			var advised []fleet.Advice
			decisions := map[string]int{}
			turn := int64(0)
			for i := range uint64(80) {
				a, ok := p.next.Choose(ctx, askWithDeadline(i<<8|1), 0)
				Expect(ok).To(BeTrue())
				decisions[fmt.Sprintf("%T", a.Decision)]++
				if w, waits := a.Decision.(admission.Wait); waits {
					turn = w.Turn
					Expect(a.Endpoint).To(BeEmpty())
				}
				if a.Endpoint != "" {
					advised = append(advised, a)
				}
			}
			Expect(decisions).To(HaveKey("admission.Send"))
			Expect(decisions).To(HaveKey("admission.Wait"))
			Expect(decisions).To(HaveKey("admission.Refuse"))
			for _, a := range advised {
				p.next.EndAdvised(a)
			}
			again := askWithDeadline(99)
			again.Turn = turn
			a, ok := p.next.Choose(ctx, again, 0)
			Expect(ok).To(BeTrue())
			Expect(a.Endpoint).NotTo(BeEmpty())
		})
	})

	// Many concurrent queries fail together in one short outage. If each failure doubled the pause,
	// the first host would not be queried for up to 8 s.
	It("query the first host again soon after many queries failed at once", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			_, ok := p.next.Choose(ctx, ask(1), 0)
			Expect(ok).To(BeTrue())
			p.net.Cut(firstAddress, true)
			var queries sync.WaitGroup
			for i := range uint64(50) {
				queries.Go(func() {
					time.Sleep(time.Duration(i) * 100 * time.Microsecond)
					_, ok := p.next.Choose(ctx, ask(i), 0)
					Expect(ok).To(BeFalse())
				})
			}
			queries.Wait()
			p.net.Cut(firstAddress, false)
			time.Sleep(2 * time.Second)
			_, ok = p.next.Choose(ctx, ask(2), 0)
			Expect(ok).To(BeTrue(), "each of the fifty failures doubled the pause, up to 8 s")
		})
	})

	It("choose alone if they are the first, or the first has no advice", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			_, ok := p.first.Choose(ctx, ask(1), 0)
			Expect(ok).To(BeFalse())
			_, ok = p.next.Choose(ctx, fleet.Request{Service: "unknown", Key: 1}, 0)
			Expect(ok).To(BeFalse())
		})
	})

	It("get the expectation for an attempt without its being counted", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			for range 50 {
				e, ok := p.next.Expect(ctx, ask(1), 0)
				Expect(ok).To(BeTrue())
				Expect(e.Expected.Head).To(BeNumerically(">", 0))
			}
			counts := map[string]int{}
			for i := range 16 {
				a, _ := p.next.Choose(ctx, ask(uint64(i)<<8|1), 0)
				counts[a.Endpoint]++
			}
			Expect(counts).To(HaveLen(4))
			_, ok := p.first.Expect(ctx, ask(1), 0)
			Expect(ok).To(BeFalse())
		})
	})

	// A host that fell back on its own view would find room everywhere, since it knows only its own requests.
	It("learn that no endpoint has room for a request that only uses what others leave", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			larger := ask(1 << 20)
			larger.Tokens, larger.Budget = 100, prefill.NewLargerBudget(time.Second, 4*time.Second)
			f, ok := p.next.Expect(ctx, larger, 0)
			Expect(ok).To(BeTrue())
			Expect(f.Available).To(BeTrue())
			for i := range uint64(64) {
				_, ok := p.next.Choose(ctx, ask(i<<8|1), 0)
				Expect(ok).To(BeTrue())
			}
			f, ok = p.next.Expect(ctx, larger, 0)
			Expect(ok).To(BeTrue(), "the first host answered")
			Expect(f.Available).To(BeFalse())
		})
	})

	It("report the heads of answers to the first host", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			for range 40 {
				p.next.ObserveHead(fleet.HeadReport{Endpoint: "e1", Service: "s", Model: "m", Took: 2 * time.Second, PrefillTokens: 100, Expected: time.Second})
			}
			e, ok := p.next.Expect(ctx, ask(1), 0)
			Expect(ok).To(BeTrue())
			Expect(e.Expected.Price).To(BeNumerically(">", 0))
		})
	})

	It("do not report heads of answers from the time when they were first to a new first host", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			p.predecessors = nil
			for range 40 {
				p.next.ObserveHead(fleet.HeadReport{Endpoint: "e1", Service: "s", Model: "m", Took: 2 * time.Second, PrefillTokens: 100, Expected: time.Second})
				_, ok := p.next.Choose(ctx, ask(1), 0)
				Expect(ok).To(BeFalse())
			}
			p.predecessors = []string{firstAddress}
			e, ok := p.next.Expect(ctx, ask(1), 0)
			Expect(ok).To(BeTrue())
			Expect(e.Expected.Price).To(BeZero())
		})
	})

	It("tell each other which endpoints fail", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			for range 5 {
				p.next.AddOutcome("e1", fleet.OutcomeFailed)
				p.next.AddOutcome("e2", fleet.OutcomeGood)
			}
			_, ok := p.next.Choose(ctx, ask(1), 0)
			Expect(ok).To(BeTrue())
			Expect(p.firstFleet.Ejected()).To(Equal([]string{"e1"}))
			for range 40 {
				h, ok := p.nextFleet.Pick(fleet.Request{Service: "s"})
				Expect(ok).To(BeTrue())
				Expect(h.Endpoint.ID).NotTo(Equal("e1"))
			}
			for _, e := range []string{"e0", "e2", "e3"} {
				p.nextFleet.Remove(e)
			}
			_, ok = p.nextFleet.Pick(fleet.Request{Service: "s"})
			Expect(ok).To(BeTrue(), "an ejected endpoint is better than none")
		})
	})

	It("query the next host in order while the first does not answer", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			p.predecessors = []string{"10.0.0.9:7340", firstAddress}
			_, ok := p.next.Choose(ctx, ask(1), 0)
			Expect(ok).To(BeFalse())
			for range 10 {
				_, ok = p.next.Choose(ctx, ask(1), 0)
				Expect(ok).To(BeTrue())
			}
		})
	})

	It("do not wait for a host that does not answer, and query it again soon", func() {
		suite.Paused(func() {
			p := newHostPair()
			defer p.stop()
			_, ok := p.next.Choose(ctx, ask(1), 0)
			Expect(ok).To(BeTrue())
			p.net.Cut(firstAddress, true)
			began := time.Now()
			for range 10 {
				_, ok = p.next.Choose(ctx, ask(1), 0)
				Expect(ok).To(BeFalse())
			}
			Expect(time.Since(began)).To(BeNumerically("<=", 30*time.Millisecond))
			p.net.Cut(firstAddress, false)
			time.Sleep(10 * time.Second)
			_, ok = p.next.Choose(ctx, ask(1), 0)
			Expect(ok).To(BeTrue())
		})
	})
})
