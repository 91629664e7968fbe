package upgrade_test

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/upgrade"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"

	"net/http"

	"quaybarrow/internal/standin/memnet"
)

// counts of answers on one route: good and bad of the target, good and bad of
// the others, and how many endpoints of the target gave the bad ones.
type counts struct{ good, bad, otherGood, otherBad, endpoints int }

var judgements = map[string]struct {
	counts counts
	bad    bool
}{
	"a few failures on two endpoints":         {counts{10, 5, 100, 0, 2}, true},
	"failures on a single endpoint":           {counts{10, 9, 100, 0, 1}, false},
	"too few to tell":                         {counts{0, 3, 100, 0, 3}, false},
	"as many failures as the others show":     {counts{80, 14, 860, 140, 5}, false},
	"many good answers around a few failures": {counts{200, 6, 1000, 5, 3}, false},
	"nothing": {counts{}, false},
}

func evidence(c counts) upgrade.Evidence {
	e := upgrade.Evidence{Routes: map[string]upgrade.Pair{"r": {
		Target: upgrade.Count{Good: c.good, Bad: c.bad}, Other: upgrade.Count{Good: c.otherGood, Bad: c.otherBad},
	}}}
	for i := range c.endpoints {
		e.Endpoints = append(e.Endpoints, fmt.Sprint(i))
	}
	return e
}

var _ = Describe("the judgement of a version", func() {
	for name, j := range judgements {
		It("of "+name, func() {
			_, bad := upgrade.Judge(evidence(j.counts), nil, 0)
			Expect(bad).To(Equal(j.bad))
		})
	}

	It("adds up what hosts saw, and finds a single bad route", func() {
		half := evidence(counts{3, 2, 50, 0, 1})
		other := evidence(counts{3, 2, 50, 0, 0})
		other.Endpoints = []string{"another"}
		good := upgrade.Evidence{Routes: map[string]upgrade.Pair{"q": {Target: upgrade.Count{Good: 500}, Other: upgrade.Count{Good: 500}}}}
		route, bad := upgrade.Judge(half, []upgrade.Evidence{other, good}, 0)
		Expect(bad).To(BeTrue())
		Expect(route).To(Equal("r"))
	})
})

var _ = Describe("the judgement by one of many hosts", func() {
	It("takes silent hosts for content, so that a few unlucky ones do not condemn a version", func() {
		unlucky := func(id string) upgrade.Evidence {
			e := evidence(counts{4, 1, 60, 0, 0})
			e.Endpoints = []string{id}
			return e
		}
		others := []upgrade.Evidence{unlucky("a"), unlucky("b"), unlucky("c"), unlucky("d")}
		_, bad := upgrade.Judge(unlucky("e"), others, 86)
		Expect(bad).To(BeFalse())
		_, bad = upgrade.Judge(unlucky("e"), others, 0)
		Expect(bad).To(BeTrue())
	})
})

var _ = Describe("the judgement by a host that has seen no answer of the target", func() {
	unlucky := func(id string) upgrade.Evidence {
		e := evidence(counts{1, 1, 60, 0, 0})
		e.Endpoints = []string{id}
		return e
	}
	others := []upgrade.Evidence{unlucky("a"), unlucky("b"), unlucky("c"), unlucky("d"), unlucky("e")}

	It("takes silent hosts to have seen as much as those that tell", func() {
		_, bad := upgrade.Judge(evidence(counts{0, 0, 60, 0, 0}), others, 85)
		Expect(bad).To(BeFalse())
	})

	It("believes the others where nobody is silent", func() {
		_, bad := upgrade.Judge(evidence(counts{0, 0, 60, 0, 0}), others, 0)
		Expect(bad).To(BeTrue())
	})
})

var _ = Describe("the share of a new version", func() {
	It("is none in the first half, never falls, and is all before completion", func() {
		last := 0.0
		for s := range 240 {
			share := upgrade.Share(time.Duration(s)*100*time.Millisecond, 24*time.Second)
			Expect(share).To(BeNumerically(">=", last))
			if s < 120 {
				Expect(share).To(BeZero())
			}
			last = share
		}
		Expect(last).To(Equal(1.0))
		Expect(upgrade.Due(21*time.Second, 24*time.Second)).To(BeFalse())
		Expect(upgrade.Due(23*time.Second, 24*time.Second)).To(BeTrue())
	})
})

const storeAddress = "10.9.0.1:80"

// hosts are trackers of several hosts at one store.
type hosts struct {
	store    *standin.Store
	server   *http.Server
	trackers []*upgrade.Tracker
	cancels  []context.CancelFunc
}

func newHosts(n int) *hosts {
	network := memnet.New()
	h := &hosts{store: standin.NewStore()}
	h.server = &http.Server{Handler: h.store}
	l := network.Listen(storeAddress)
	go func() { _ = h.server.Serve(l) }()
	f := fleet.New(fleet.Options{Hall: "ikeja"})
	for i := range 4 {
		f.Put(fleet.Endpoint{ID: fmt.Sprint("old", i), Service: "s", Version: "v1"})
		f.Put(fleet.Endpoint{ID: fmt.Sprint("new", i), Service: "s", Version: "v2"})
	}
	for i := range n {
		client := platform.NewStore(storeAddress, network.Dial)
		t := upgrade.NewTracker(upgrade.Options{
			Host: fmt.Sprint("host-", i), Tables: client, Watch: client, Fleet: f, Logger: log.New(io.Discard),
			Status: platform.StatusWrite, Hosts: func() int { return n },
		})
		ctx, cancel := context.WithCancel(context.Background())
		_, err := client.State(ctx, "none") // sets the client's clock, as the host's followers do
		Expect(err).NotTo(HaveOccurred())
		go t.Run(ctx)
		h.trackers = append(h.trackers, t)
		h.cancels = append(h.cancels, cancel)
	}
	return h
}

func (h *hosts) order(revision int64) {
	for _, t := range h.trackers {
		t.Order(upgrade.Order{Service: "s", Target: "v2", Within: 24 * time.Second, Revision: revision})
	}
}

func (h *hosts) stop() {
	for _, cancel := range h.cancels {
		cancel()
	}
	_ = h.server.Close()
	time.Sleep(5 * time.Minute)
}

func (h *hosts) status() string { return string(h.store.Value("status", "rollout/s")) }

// serve plays traffic for a time: ten answers a second and host, of which a part
// of the target's is bad.
func (h *hosts) serve(d time.Duration, badEvery int) (exposed int) {
	n := 0
	for range int(d / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		for _, t := range h.trackers {
			n++
			key := uint64(n) * 0x9e3779b97f4a7c15
			version := "v1"
			if allowed := t.Allowed("s", key); allowed != nil && allowed("v2") {
				version = "v2"
				exposed++
			}
			bad := version == "v2" && badEvery > 0 && exposed%badEvery == 0
			t.Note(upgrade.Report{Service: "s", Version: version, Endpoint: fmt.Sprint(version, n%4), Route: "r", Model: "m",
				Failed: bad, Pace: 100 * time.Millisecond})
		}
	}
	return exposed
}

var _ = Describe("an upgrade by several hosts", func() {
	It("of a good version completes in time, everywhere", func() {
		suite.Paused(func() {
			h := newHosts(5)
			defer h.stop()
			h.order(7)
			h.serve(2*time.Second, 0)
			Expect(h.status()).To(MatchJSON(`{"state":"running","target_version":"v2"}`))
			h.serve(21900*time.Millisecond, 0)
			Expect(h.status()).To(MatchJSON(`{"state":"completed","target_version":"v2"}`))
			for _, t := range h.trackers {
				Expect(t.Allowed("s", 1)("v1")).To(BeFalse())
			}
		})
	})

	It("of a bad version is rolled back after few answers", func() {
		suite.Paused(func() {
			h := newHosts(5)
			defer h.stop()
			h.order(7)
			exposed := h.serve(20*time.Second, 2)
			Expect(h.status()).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
			Expect(exposed).To(BeNumerically("<", 60))
			for _, t := range h.trackers {
				Expect(t.Allowed("s", 1)("v2")).To(BeFalse())
			}
		})
	})

	It("goes on when all but one host are gone", func() {
		suite.Paused(func() {
			h := newHosts(4)
			defer h.stop()
			h.order(7)
			h.serve(3*time.Second, 0)
			for _, cancel := range h.cancels[1:] {
				cancel()
			}
			h.trackers = h.trackers[:1]
			h.serve(20900*time.Millisecond, 0)
			Expect(h.status()).To(MatchJSON(`{"state":"completed","target_version":"v2"}`))
		})
	})

	It("survives writes whose answers are lost", func() {
		suite.Paused(func() {
			h := newHosts(3)
			defer h.stop()
			h.store.Break(standin.LoseTx)
			h.order(7)
			h.serve(23900*time.Millisecond, 0)
			Expect(h.status()).To(MatchJSON(`{"state":"completed","target_version":"v2"}`))
		})
	})

	It("that was decided stays decided for a host that starts later", func() {
		suite.Paused(func() {
			h := newHosts(3)
			defer h.stop()
			h.order(7)
			h.serve(20*time.Second, 2)
			late := newLate(h)
			late.Order(upgrade.Order{Service: "s", Target: "v2", Within: 24 * time.Second, Revision: 7})
			time.Sleep(2 * time.Second)
			Expect(late.Allowed("s", 1)("v2")).To(BeFalse())
		})
	})

	It("of a later order follows one that is over", func() {
		suite.Paused(func() {
			h := newHosts(3)
			defer h.stop()
			h.order(7)
			h.serve(20*time.Second, 2)
			h.order(9)
			h.serve(3*time.Second, 0)
			Expect(h.status()).To(MatchJSON(`{"state":"running","target_version":"v2"}`))
		})
	})

	It("gives nothing to a version that no order has named", func() {
		suite.Paused(func() {
			h := newHosts(1)
			defer h.stop()
			t := h.trackers[0]
			t.Settle("s", map[string]int{"v1": 4})
			t.Settle("s", map[string]int{"v1": 4, "v2": 4})
			Expect(t.Allowed("s", 1)("v2")).To(BeFalse())
			Expect(t.Allowed("s", 1)("v1")).To(BeTrue())
		})
	})
})

// newLate returns a tracker of a host that starts when others are at work.
func newLate(h *hosts) *upgrade.Tracker {
	network := memnet.New()
	l := network.Listen(storeAddress)
	server := &http.Server{Handler: h.store}
	go func() { _ = server.Serve(l) }()
	client := platform.NewStore(storeAddress, network.Dial)
	t := upgrade.NewTracker(upgrade.Options{
		Host: "late", Tables: client, Watch: client, Fleet: fleet.New(fleet.Options{}), Logger: log.New(io.Discard), Status: platform.StatusWrite,
		Hosts: func() int { return 3 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	go t.Run(ctx)
	h.cancels = append(h.cancels, cancel, func() { _ = server.Close() })
	return t
}
