package upgrade_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

func isBad(own upgrade.Evidence, others []upgrade.Evidence, silent int) bool {
	return upgrade.Judge(own, others, silent).Verdict == upgrade.VerdictBad
}

var _ = Describe("the judgement of a version", func() {
	for name, j := range judgements {
		It("of "+name, func() {
			Expect(isBad(evidence(j.counts), nil, 0)).To(Equal(j.bad))
		})
	}

	It("adds up what hosts saw, and finds a single bad route", func() {
		half := evidence(counts{3, 2, 50, 0, 1})
		other := evidence(counts{3, 2, 50, 0, 0})
		other.Endpoints = []string{"another"}
		good := upgrade.Evidence{Routes: map[string]upgrade.Pair{"q": {Target: upgrade.Count{Good: 500}, Other: upgrade.Count{Good: 500}}}}
		j := upgrade.Judge(half, []upgrade.Evidence{other, good}, 0)
		Expect(j.Verdict).To(Equal(upgrade.VerdictBad))
		Expect(j.Reason).To(Equal("bad answers on route r"))
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
		Expect(isBad(unlucky("e"), others, 86)).To(BeFalse())
		Expect(isBad(unlucky("e"), others, 0)).To(BeTrue())
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
		Expect(isBad(evidence(counts{0, 0, 60, 0, 0}), others, 85)).To(BeFalse())
	})

	It("believes the others where nobody is silent", func() {
		Expect(isBad(evidence(counts{0, 0, 60, 0, 0}), others, 0)).To(BeTrue())
	})
})

// paced is evidence by pace: of the target and of the others, slow ones of all.
type paced struct{ slow, all, otherSlow, otherAll, endpoints int }

var pacings = map[string]struct {
	paced
	verdict upgrade.Verdict
}{
	"all answers slow, on two endpoints":     {paced{12, 12, 300, 600, 2}, upgrade.VerdictOpen},
	"more answers, all slow":                 {paced{16, 16, 300, 600, 2}, upgrade.VerdictBad},
	"all answers slow, on a single endpoint": {paced{16, 16, 300, 600, 1}, upgrade.VerdictOpen},
	"half of a plain service's answers slow": {paced{10, 20, 3, 60, 2}, upgrade.VerdictBad},
	"as many slow ones as the others show":   {paced{60, 120, 300, 600, 4}, upgrade.VerdictClear},
	"somewhat more, as with a cold memory":   {paced{84, 120, 300, 600, 4}, upgrade.VerdictOpen},
	"too few answers with a pace":            {paced{0, 2, 300, 600, 0}, upgrade.VerdictOpen},
	"enough answers, none of them slow":      {paced{0, 6, 300, 600, 0}, upgrade.VerdictClear},
	"others whose pace is not known":         {paced{0, 0, 0, 0, 0}, upgrade.VerdictClear},
}

var _ = Describe("the judgement by pace", func() {
	for name, p := range pacings {
		It("of "+name, func() {
			e := upgrade.Evidence{Routes: map[string]upgrade.Pair{"r": {
				Target: upgrade.Count{Good: max(p.all, 8), Paced: p.all, Slow: p.slow},
				Other:  upgrade.Count{Good: max(p.otherAll, 90), Paced: p.otherAll, Slow: p.otherSlow},
			}}}
			for i := range p.endpoints {
				e.Endpoints = append(e.Endpoints, fmt.Sprint(i))
			}
			Expect(upgrade.Judge(e, nil, 0).Verdict).To(Equal(p.verdict))
		})
	}
})

var _ = Describe("the share of a new version", func() {
	const within = 24 * time.Second

	It("is none in the first half, and then a trial's, however late it is", func() {
		for s := range 240 {
			elapsed := time.Duration(s) * 100 * time.Millisecond
			share := upgrade.Progress{}.Share(elapsed, within)
			if elapsed < within/2 {
				Expect(share).To(BeZero())
				continue
			}
			Expect(share).To(Equal(0.2))
		}
	})

	It("rises by stages, and the last one takes all", func() {
		last := 0.0
		for stage := range 3 {
			share := upgrade.Progress{Stage: stage}.Share(23*time.Second, within)
			Expect(share).To(BeNumerically(">", last))
			last = share
		}
		Expect(last).To(Equal(1.0))
	})

	It("may be completed only in the last stage, after requests at the others could end", func() {
		Expect(upgrade.Progress{Stage: 1}.Due(within, within)).To(BeFalse())
		early := upgrade.Progress{Stage: 2, StageMs: 18_000}
		Expect(early.Due(21*time.Second, within)).To(BeFalse())
		Expect(early.Due(23*time.Second, within)).To(BeTrue())
		late := upgrade.Progress{Stage: 2, StageMs: 21_000}
		Expect(late.Due(23*time.Second, within)).To(BeFalse())
		Expect(late.Due(within, within)).To(BeTrue())
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

// traffic is what endpoints of the target do.
type traffic struct {
	badEvery int           // one of so many answers fails; 0 for none
	pause    time.Duration // shortest between events of a stream; the others have 10 ms
	noise    int           // one of so many streams of any version has four times that; 0 for none
}

// othersPause is the shortest pause of the version that is in use.
const othersPause = 10 * time.Millisecond

// serve plays traffic for a time: ten answers a second and host. It returns how
// many the target got.
func (h *hosts) serve(d time.Duration, w traffic) (exposed int) {
	n := 0
	for range int(d / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		for _, t := range h.trackers {
			n++
			key := uint64(n) * 0x9e3779b97f4a7c15
			r := upgrade.Report{Service: "s", Version: "v1", Endpoint: fmt.Sprint("v1", n%4), Route: "r"}
			pause := othersPause
			if allowed := t.Allowed("s", key); allowed != nil && allowed("v2") {
				exposed++
				r.Version, r.Endpoint = "v2", fmt.Sprint("v2", n%4)
				pause = max(w.pause, othersPause)
			}
			r.Finding = upgrade.Answered{Failed: r.Version == "v2" && w.badEvery > 0 && exposed%w.badEvery == 0}
			t.Note(r)
			if w.noise > 0 && rand.IntN(w.noise) == 0 {
				pause *= 4
			}
			r.Finding = upgrade.Paced{Pace: upgrade.Shortest(pause), Requests: n % 10}
			t.Note(r)
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
			h.serve(2*time.Second, traffic{})
			Expect(h.status()).To(MatchJSON(`{"state":"running","target_version":"v2"}`))
			h.serve(21900*time.Millisecond, traffic{})
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
			exposed := h.serve(20*time.Second, traffic{badEvery: 2})
			Expect(h.status()).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
			Expect(exposed).To(BeNumerically("<", 60))
			for _, t := range h.trackers {
				Expect(t.Allowed("s", 1)("v2")).To(BeFalse())
			}
		})
	})

	It("of a slow version is rolled back after few answers", func() {
		suite.Paused(func() {
			h := newHosts(5)
			defer h.stop()
			h.serve(5*time.Second, traffic{})
			h.order(7)
			exposed := h.serve(20*time.Second, traffic{pause: 25 * time.Millisecond})
			Expect(h.status()).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
			Expect(exposed).To(BeNumerically("<", 60))
		})
	})

	It("of a good version among many hosts completes, though unlucky ones see many slow streams", func() {
		suite.Paused(func() {
			h := newHosts(60)
			defer h.stop()
			h.serve(5*time.Second, traffic{noise: 3})
			h.order(7)
			h.serve(23900*time.Millisecond, traffic{noise: 3})
			Expect(h.status()).To(MatchJSON(`{"state":"completed","target_version":"v2"}`))
		})
	})

	It("gets no larger share while the store is away, and completes after", func() {
		suite.Paused(func() {
			h := newHosts(5)
			defer h.stop()
			h.order(7)
			h.serve(11*time.Second, traffic{})
			h.store.Break(standin.Busy)
			exposed := h.serve(5*time.Second, traffic{})
			Expect(exposed).To(BeNumerically("~", 0.2*4*50, 15))
			h.store.Break(standin.Healthy)
			h.serve(7900*time.Millisecond, traffic{})
			Expect(h.status()).To(MatchJSON(`{"state":"completed","target_version":"v2"}`))
		})
	})

	It("goes on when all but one host are gone", func() {
		suite.Paused(func() {
			h := newHosts(4)
			defer h.stop()
			h.order(7)
			h.serve(3*time.Second, traffic{})
			for _, cancel := range h.cancels[1:] {
				cancel()
			}
			h.trackers = h.trackers[:1]
			h.serve(20900*time.Millisecond, traffic{})
			Expect(h.status()).To(MatchJSON(`{"state":"completed","target_version":"v2"}`))
		})
	})

	It("survives writes whose answers are lost", func() {
		suite.Paused(func() {
			h := newHosts(3)
			defer h.stop()
			h.store.Break(standin.LoseTx)
			h.order(7)
			h.serve(23900*time.Millisecond, traffic{})
			Expect(h.status()).To(MatchJSON(`{"state":"completed","target_version":"v2"}`))
		})
	})

	It("that was decided stays decided for a host that starts later", func() {
		suite.Paused(func() {
			h := newHosts(3)
			defer h.stop()
			h.order(7)
			h.serve(20*time.Second, traffic{badEvery: 2})
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
			h.serve(20*time.Second, traffic{badEvery: 2})
			h.order(9)
			h.serve(3*time.Second, traffic{})
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
