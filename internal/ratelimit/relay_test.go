package ratelimit_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/telemetry"
)

// fakePeers is a host's connection to its peers, only one of which answers.
type fakePeers struct {
	ratelimit.PeerClient
	reachable string // address of the peer that answers
	requests  []ratelimit.Request
}

// Borrow implements ratelimit.PeerClient.
func (p *fakePeers) Borrow(_ context.Context, address string, r ratelimit.Request) (ratelimit.Reply, error) {
	if address != p.reachable {
		return ratelimit.Reply{}, errGone
	}
	p.requests = append(p.requests, r)
	return ratelimit.Reply{Requests: 1, Limit: r.Limit}, nil
}

// endpointWithOrder returns an endpoint in whose order the hosts rank as given.
func endpointWithOrder(hosts ...string) string {
	for i := 0; ; i++ {
		endpoint := endpointName(i)
		order := func(a, b string) int {
			return cmp.Compare(ratelimit.Rank(endpoint, a), ratelimit.Rank(endpoint, b))
		}
		if slices.IsSortedFunc(hosts, order) {
			return endpoint
		}
	}
}

var _ = Describe("a host that is asked for a loan although another host precedes it", func() {
	// borrow sends a request from host-2 to host-1 for a limit whose lender is host-0.
	borrow := func(peers *fakePeers, relayed bool) ratelimit.Reply {
		limiter := ratelimit.NewLimiter(ratelimit.Options{
			Host: "host-1", Fleet: fleet.New(fleet.Options{}), Peers: peers, MembersKnown: func() bool { return true },
			Members: func() []ratelimit.Member {
				return []ratelimit.Member{{Name: "host-0", Address: "0"}, {Name: "host-2", Address: "2"}}
			},
			Telemetry: telemetry.MetricsOnly(), Logger: log.New(io.Discard),
		})
		now := clock.Now()
		limit := fleet.LimitUpdate{Endpoint: endpointWithOrder("host-0", "host-1", "host-2"), Rate: 2, Since: now, ConfirmedAt: now}
		return limiter.Borrow(context.Background(), ratelimit.Request{Requests: 1, From: "host-2", Relayed: relayed, Limit: limit})
	}

	It("forwards the request to that host, which lends", func() {
		suite.Paused(func() {
			peers := &fakePeers{reachable: "0"}
			Expect(borrow(peers, false).Requests).To(Equal(1))
			Expect(peers.requests).To(HaveLen(1))
			Expect(peers.requests[0].Relayed).To(BeTrue())
			Expect(peers.requests[0].From).To(Equal("host-1"))
		})
	})

	for name, reachable := range map[string]string{"that host does not answer": "", "the request was already forwarded": "0"} {
		It("lends by itself, nothing at first, if "+name, func() {
			suite.Paused(func() {
				peers := &fakePeers{reachable: reachable}
				Expect(borrow(peers, reachable != "").Requests).To(BeZero(), fmt.Sprint(peers.requests))
				Expect(peers.requests).To(BeEmpty())
			})
		})
	}
})
