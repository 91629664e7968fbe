package ratelimit_test

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/telemetry"
)

// countingHost is a host that counts the places of one endpoint of six slots that survives four rejections.
type countingHost struct {
	limiter *ratelimit.Limiter
	ticket  int64
}

func newCountingHost() *countingHost {
	return &countingHost{limiter: ratelimit.NewLimiter(ratelimit.Options{
		Host: "counting", Fleet: fleet.New(fleet.Options{}), Members: func() []ratelimit.Member { return nil }, MembersKnown: func() bool { return true },
		Telemetry: telemetry.MetricsOnly(), Logger: log.New(io.Discard),
	})}
}

// take asks for a place.
func (h *countingHost) take() (int64, ratelimit.PlaceReply) {
	h.ticket++
	return h.ticket, h.limiter.HandleTakePlace(context.Background(), ratelimit.PlaceRequest{Endpoint: "e", Ticket: h.ticket, Survives: 4, Slots: 6, From: "asking"})
}

// takeAll takes places until there is none.
func (h *countingHost) takeAll() []int64 {
	var tickets []int64
	for {
		ticket, reply := h.take()
		if !reply.Granted {
			return tickets
		}
		tickets = append(tickets, ticket)
	}
}

// end returns a place, with the number of requests that the endpoint reports.
func (h *countingHost) end(ticket int64, end ratelimit.PlaceEnd, occupied int) {
	h.limiter.HandleReturnPlace(ratelimit.PlaceReturn{Endpoint: "e", Ticket: ticket, End: end, Report: ratelimit.PlaceReport{Occupied: occupied, Slots: 6}})
}

// becomeSure has requests come and go, one at a time, until the count is trusted.
func (h *countingHost) becomeSure() {
	for range 80 {
		if ticket, reply := h.take(); reply.Granted {
			time.Sleep(50 * time.Millisecond)
			h.end(ticket, ratelimit.PlaceFreed, 0)
		}
	}
}

// silentPeers is a host's connection to other hosts, none of which answers.
type silentPeers struct {
	ratelimit.PeerClient
	ratelimit.PlaceClient
}

// SendNews implements ratelimit.PeerClient.
func (silentPeers) SendNews(ctx context.Context, _ string, _ ratelimit.News) error {
	<-ctx.Done()
	return errSilent
}

// TakePlace implements ratelimit.PlaceClient.
func (silentPeers) TakePlace(ctx context.Context, _ string, _ ratelimit.PlaceRequest) (ratelimit.PlaceReply, error) {
	<-ctx.Done()
	return ratelimit.PlaceReply{}, errSilent
}

// FetchNews implements ratelimit.PeerClient.
func (silentPeers) FetchNews(context.Context, string) (ratelimit.News, error) {
	return ratelimit.News{}, errSilent
}

var _ = Describe("places at an endpoint of whose hosts none answers", func() {
	It("are found to be free by a host without slots once the others must have gone", func() {
		suite.Paused(func() {
			limiter := ratelimit.NewLimiter(ratelimit.Options{
				Host: "host-2", Fleet: fleet.New(fleet.Options{}), Peers: silentPeers{}, Places: silentPeers{}, MembersKnown: func() bool { return true },
				Members: func() []ratelimit.Member {
					return []ratelimit.Member{{Name: "host-0", Address: "0"}, {Name: "host-1", Address: "1"}}
				},
				Telemetry: telemetry.MetricsOnly(), Logger: log.New(io.Discard),
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go limiter.Run(ctx)
			endpoint, ticket := endpointWithOrder("host-0", "host-1", "host-2"), int64(0)
			take := func() ratelimit.PlaceReply {
				ticket++
				return limiter.HandleTakePlace(ctx, ratelimit.PlaceRequest{
					Endpoint: endpoint, Ticket: ticket, Survives: 4, From: "asking", Report: ratelimit.PlaceReport{Occupied: 2, Slots: 2, Age: time.Hour},
				})
			}
			for began := time.Now(); time.Since(began) < 3900*time.Millisecond; time.Sleep(100 * time.Millisecond) {
				Expect(take().Granted).To(BeFalse(), "others may hold all slots")
			}
			Eventually(func() bool { time.Sleep(100 * time.Millisecond); return take().Granted }).WithTimeout(2 * time.Second).Should(BeTrue())
			limiter.HandleReturnPlace(ratelimit.PlaceReturn{Endpoint: endpoint, Ticket: ticket, End: ratelimit.PlaceFreed, Report: ratelimit.PlaceReport{Occupied: 0, Slots: 2}})
			Expect(take().Granted).To(BeTrue())
			Expect(take().Granted).To(BeTrue())
			Expect(take().Granted).To(BeFalse())
		})
	})
})

var _ = Describe("places at an endpoint", func() {
	It("are given one by one to find out, by a host that knows nothing of others' requests", func() {
		suite.Paused(func() {
			h := newCountingHost()
			tickets := h.takeAll()
			Expect(tickets).To(HaveLen(1))
			_, reply := h.take()
			Expect(reply.Basis.State).To(Equal(ratelimit.CountClosed))
			time.Sleep(50 * time.Millisecond)
			h.end(tickets[0], ratelimit.PlaceFreed, 4)
			Expect(h.takeAll()).To(HaveLen(1), "four of six are taken, and half of the rest is given")
		})
	})

	It("are all given by a host that counts alone, and no more", func() {
		suite.Paused(func() {
			h := newCountingHost()
			h.becomeSure()
			tickets := h.takeAll()
			Expect(tickets).To(HaveLen(6))
			time.Sleep(50 * time.Millisecond)
			h.end(tickets[0], ratelimit.PlaceFreed, 5)
			Expect(h.takeAll()).To(HaveLen(1))
		})
	})

	It("are not free while the endpoint may go on running requests that were given up", func() {
		suite.Paused(func() {
			h := newCountingHost()
			h.becomeSure()
			for _, ticket := range h.takeAll() {
				h.limiter.HandleReturnPlace(ratelimit.PlaceReturn{Endpoint: "e", Ticket: ticket, End: ratelimit.PlaceGivenUp})
			}
			Expect(h.takeAll()).To(BeEmpty())
			for range 3 {
				time.Sleep(1100 * time.Millisecond)
				tickets := h.takeAll()
				Expect(tickets).To(HaveLen(1), "a request finds out")
				h.end(tickets[0], ratelimit.PlaceRejected, 6)
				Expect(h.takeAll()).To(BeEmpty())
			}
			time.Sleep(1100 * time.Millisecond)
			tickets := h.takeAll()
			time.Sleep(50 * time.Millisecond)
			h.end(tickets[0], ratelimit.PlaceFreed, 1)
			Expect(h.takeAll()).NotTo(BeEmpty(), "they have ended")
		})
	})

	It("that a host took that has died are free once the endpoint reports so", func() {
		suite.Paused(func() {
			h := newCountingHost()
			h.becomeSure()
			tickets := h.takeAll()
			time.Sleep(50 * time.Millisecond)
			h.end(tickets[0], ratelimit.PlaceFreed, 0)
			Expect(h.takeAll()).NotTo(BeEmpty())
		})
	})

	It("are not given for a second after the endpoint has rejected half of what it survives", func() {
		suite.Paused(func() {
			h := newCountingHost()
			h.becomeSure()
			tickets := h.takeAll()
			for _, ticket := range tickets[:2] {
				h.end(ticket, ratelimit.PlaceRejected, 1)
			}
			_, reply := h.take()
			Expect(reply.Granted).To(BeFalse())
			Expect(reply.Basis.State).To(Equal(ratelimit.CountStopped))
			Expect(reply.RetryAfter).To(Equal(time.Second))
			time.Sleep(time.Second)
			Expect(h.takeAll()).NotTo(BeEmpty())
		})
	})

	// rejectAt has a request be rejected with a number of others at the endpoint, and returns their tickets.
	rejectAt := func(h *countingHost, occupied int) []int64 {
		h.becomeSure()
		tickets := h.takeAll()
		time.Sleep(50 * time.Millisecond)
		for _, ticket := range tickets[occupied:] {
			h.end(ticket, ratelimit.PlaceFreed, occupied)
		}
		ticket, _ := h.take()
		h.end(ticket, ratelimit.PlaceRejected, occupied)
		return tickets[:occupied]
	}

	It("are as few as the endpoint had when it rejected a request, and grow again", func() {
		suite.Paused(func() {
			h := newCountingHost()
			tickets := rejectAt(h, 4)
			Expect(h.takeAll()).To(BeEmpty())
			time.Sleep(500 * time.Millisecond)
			h.end(tickets[0], ratelimit.PlaceFreed, 3)
			Expect(h.takeAll()).To(HaveLen(1))
			time.Sleep(500 * time.Millisecond)
			Expect(h.takeAll()).To(HaveLen(1))
		})
	})

	It("are as many as before after a rejection of another cause, with most slots free", func() {
		suite.Paused(func() {
			h := newCountingHost()
			rejectAt(h, 1)
			Expect(h.takeAll()).To(HaveLen(5))
		})
	})

	It("that are denied are to be asked for again when as many have come free as hosts wait", func() {
		suite.Paused(func() {
			h := newCountingHost()
			h.becomeSure()
			h.takeAll()
			_, reply := h.take()
			Expect(reply.RetryAfter).To(BeNumerically("~", 10*time.Millisecond, 2*time.Millisecond), "one of six that last 50 ms")
			other := ratelimit.PlaceRequest{Endpoint: "e", Ticket: -1, Survives: 4, From: "another"}
			Expect(h.limiter.HandleTakePlace(context.Background(), other).RetryAfter).To(BeNumerically(">", reply.RetryAfter))
		})
	})
})
