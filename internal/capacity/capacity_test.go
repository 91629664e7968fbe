package capacity_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/capacity"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/standin/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "capacity") }

// dawn is when a service is first planned for.
var dawn = clock.At(time.Unix(1_000_000, 0))

// scaling is that of a service in three data halls.
var scaling = capacity.Scaling{Least: 1, Most: 60, Boot: 4 * time.Second, SpotPrice: 0.2, Prices: map[string]float64{"a": 1, "b": 1, "c": 1}}

// ordinaryOnly is the same without spot endpoints.
var ordinaryOnly = capacity.Scaling{Least: 1, Most: 60, Boot: 4 * time.Second, Prices: scaling.Prices}

// lot names a lot.
func lot(hall string, spot bool) capacity.Pool { return capacity.Pool{Hall: hall, Spot: spot} }

// each is the same stock in all data halls.
func each(s capacity.EndpointCounts) map[string]capacity.EndpointCounts {
	return map[string]capacity.EndpointCounts{"a": s, "b": s, "c": s}
}

// played is a service whose orders are followed: endpoints serve a time after they were ordered.
type played struct {
	scaling capacity.Scaling
	planner *capacity.Planner
	now     clock.Instant
	stocks  map[string]capacity.EndpointCounts
	booting []booting
	dry     map[string]bool // data halls in which no spot endpoints are to be had
	cost    float64         // ordinary endpoints' seconds
}

// booting are endpoints that do not serve yet.
type booting struct {
	lot   capacity.Pool
	count int
	at    clock.Instant
}

func newPlayed(s capacity.Scaling, stocks map[string]capacity.EndpointCounts) *played {
	return &played{scaling: s, planner: capacity.NewPlanner(), now: dawn, stocks: stocks, dry: map[string]bool{}}
}

// serving counts the endpoints that serve.
func (p *played) serving() (all, spot int) {
	for _, s := range p.stocks {
		all, spot = all+s.Ordinary+s.Spot, spot+s.Spot
	}
	return all, spot
}

// second plays a second with so many requests at once.
func (p *played) second(running float64) {
	p.now = p.now.Add(time.Second)
	var later []booting
	for _, b := range p.booting {
		if p.now.Before(b.at) {
			later = append(later, b)
			continue
		}
		p.set(b.lot, b.count)
	}
	p.booting = later
	for _, o := range p.planner.Orders(p.now, capacity.State{Scaling: p.scaling, Slots: 64, Running: running, Serving: p.stocks}) {
		if o.Spot && p.dry[o.Hall] {
			p.planner.RecordUnavailable(o, p.now)
			continue
		}
		p.planner.RecordAccepted(o)
		p.set(o.Pool, min(o.Count, p.of(o.Pool)))
		p.booting = append(p.booting, booting{o.Pool, o.Count, p.now.Add(p.scaling.Boot)})
	}
	all, spot := p.serving()
	p.cost += float64(all-spot) + p.scaling.SpotPrice*float64(spot)
}

func (p *played) of(l capacity.Pool) int {
	if l.Spot {
		return p.stocks[l.Hall].Spot
	}
	return p.stocks[l.Hall].Ordinary
}

func (p *played) set(l capacity.Pool, count int) {
	s := p.stocks[l.Hall]
	if l.Spot {
		s.Spot = count
	} else {
		s.Ordinary = count
	}
	p.stocks[l.Hall] = s
}

// reclaim takes all spot endpoints of a data hall away; there are no more to be had for now.
func (p *played) reclaim(hall string) {
	p.dry[hall] = true
	p.set(lot(hall, true), 0)
	p.booting = nil
}

var _ = Describe("orders of endpoints", func() {
	It("come down to what the work needs, most of it spot endpoints", func() {
		p := newPlayed(scaling, each(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.second(280)
		}
		all, spot := p.serving()
		Expect(float64(all-spot)+scaling.SpotPrice*float64(spot)).To(BeNumerically("<", 30), "a third of the cost of before")
		Expect(spot).To(BeNumerically(">", all*2/3))
		Expect(280.0 / float64(all)).To(BeNumerically("<", 64*0.25))
		Expect(p.cost).To(BeNumerically("<", 90*60/2))
	})

	It("let no endpoint go before others serve in its place", func() {
		p := newPlayed(scaling, each(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.second(280)
			all, _ := p.serving()
			Expect(280.0 / float64(all)).To(BeNumerically("<", 64*0.4))
		}
	})

	It("bear the loss of all spot endpoints of a data hall, and of all", func() {
		p := newPlayed(scaling, each(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.second(280)
		}
		p.reclaim("a")
		all, _ := p.serving()
		Expect(280.0 / float64(all)).To(BeNumerically("<", 64*0.3))
		p.reclaim("b")
		p.reclaim("c")
		all, _ = p.serving()
		Expect(280.0 / float64(all)).To(BeNumerically("<", 64))
		for range 8 {
			p.second(280)
		}
		all, _ = p.serving()
		Expect(280.0 / float64(all)).To(BeNumerically("<", 64*0.25))
	})

	// A data hall was lost, came back cold, and the traffic jumped, while nobody ordered: the others had
	// 35 of 64 slots in use, and a third of the requests were late.
	It("bear the loss of a data hall in a burst while nobody orders", func() {
		p := newPlayed(scaling, each(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.second(320)
		}
		delete(p.stocks, "a")
		all, _ := p.serving()
		Expect(1.7 * 320 / float64(all)).To(BeNumerically("<", 64*0.2))
	})

	It("follow a burst up, and come down long after it", func() {
		p := newPlayed(scaling, each(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.second(280)
		}
		before, _ := p.serving()
		for range 6 {
			p.second(840)
		}
		all, _ := p.serving()
		Expect(all).To(BeNumerically(">", 2*before))
		orders := 0
		for range 120 {
			orders += len(p.planner.Orders(p.now.Add(time.Second), capacity.State{Scaling: scaling, Slots: 64, Running: 280, Serving: p.stocks}))
			p.second(280)
		}
		all, _ = p.serving()
		Expect(all).To(BeNumerically("<", before*5/4))
		Expect(orders).To(BeNumerically("<", 6*8))
	})

	It("do not flap where the work comes in waves", func() {
		p := newPlayed(scaling, each(capacity.EndpointCounts{Ordinary: 30}))
		orders := 0
		for i := range 180 {
			running := 280.0
			if i/6%2 == 0 {
				running = 180
			}
			if i > 60 {
				orders += len(p.planner.Orders(p.now.Add(time.Second), capacity.State{Scaling: scaling, Slots: 64, Running: running, Serving: p.stocks}))
			}
			p.second(running)
		}
		Expect(orders).To(BeNumerically("<", 6))
	})

	It("are of ordinary endpoints where there are no others, within what is declared", func() {
		p := newPlayed(ordinaryOnly, each(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.second(280)
		}
		Expect(p.stocks["a"]).To(Equal(capacity.EndpointCounts{Ordinary: 11}))
		for range 20 {
			p.second(100_000)
		}
		Expect(p.stocks["a"]).To(Equal(capacity.EndpointCounts{Ordinary: 60}))
		for range 900 {
			p.second(1)
		}
		Expect(p.stocks["a"]).To(Equal(capacity.EndpointCounts{Ordinary: 1}))
	})

	It("keep the version in force whole while an upgrade is under way", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: scaling, Slots: 64, Running: 280, Serving: each(capacity.EndpointCounts{Ordinary: 30}), Upgrading: true}
		Expect(planner.Orders(dawn, s)).To(BeEmpty())
		s.Serving = each(capacity.EndpointCounts{Ordinary: 30, Newer: 30})
		Expect(planner.Orders(dawn.Add(time.Second), s)).To(BeEmpty())
		lowered := planner.Orders(dawn.Add(9*time.Second), s)
		Expect(lowered).To(HaveLen(3))
		for _, o := range lowered {
			Expect(o.Count).To(Equal(41))
			planner.RecordAccepted(o)
		}
		// The upgrade is completed: the old endpoints are gone at once, and not ordered again.
		s.Upgrading, s.Serving = false, each(capacity.EndpointCounts{Ordinary: 11})
		orders := planner.Orders(dawn.Add(10*time.Second), s)
		Expect(orders).To(ContainElement(capacity.Order{Pool: lot("a", false), Count: 15})) // until spot endpoints serve
	})

	It("keep the new version where endpoints of the one in force are down for a moment", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: scaling, Slots: 64, Running: 280, Serving: each(capacity.EndpointCounts{Ordinary: 30, Newer: 30}), Upgrading: true}
		for at := range 10 {
			for _, o := range planner.Orders(dawn.Add(time.Duration(at)*time.Second), s) {
				planner.RecordAccepted(o)
			}
		}
		s.Serving = each(capacity.EndpointCounts{Ordinary: 20, Newer: 11})
		for at := range 10 {
			Expect(planner.Orders(dawn.Add(time.Duration(10+at)*time.Second), s)).To(BeEmpty())
		}
	})

	It("follow the work up while an upgrade is under way", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: scaling, Slots: 64, Running: 280, Serving: each(capacity.EndpointCounts{Ordinary: 4}), Upgrading: true}
		Expect(planner.Orders(dawn, s)).To(ContainElement(capacity.Order{Pool: lot("a", false), Count: 11}))
		s.Serving = each(capacity.EndpointCounts{Ordinary: 4, Newer: 4})
		Expect(planner.Orders(dawn.Add(time.Second), s)).To(ContainElement(capacity.Order{Pool: lot("a", false), Count: 15}))
	})

	It("leave evacuated data halls alone and have the others bear their work", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: ordinaryOnly, Slots: 64, Running: 280, Serving: each(capacity.EndpointCounts{Ordinary: 11}), ExcludedHalls: []string{"c"}}
		orders := planner.Orders(dawn, s)
		Expect(orders).To(Equal([]capacity.Order{{Pool: lot("a", false), Count: 22}, {Pool: lot("b", false), Count: 22}}))
	})

	It("let nothing go while little of the work was seen, as after all hosts were killed", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: scaling, Slots: 64, Serving: each(capacity.EndpointCounts{Ordinary: 4, Spot: 8})}
		for at := range 8 {
			s.Running = float64(20 * at)
			for _, o := range planner.Orders(dawn.Add(time.Duration(at)*time.Second), s) {
				Expect(o.Count).To(BeNumerically(">", 4), "%v", o)
			}
		}
	})

	It("are not made while nothing is known of the work", func() {
		s := capacity.State{Scaling: scaling, Slots: 64, Serving: each(capacity.EndpointCounts{Ordinary: 30})}
		Expect(capacity.NewPlanner().Orders(dawn, s)).To(BeEmpty())
	})

	It("are not made again at once where none were to be had", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: ordinaryOnly, Slots: 64, Running: 280, Serving: map[string]capacity.EndpointCounts{"a": {}}}
		orders := planner.Orders(dawn, s)
		Expect(orders).To(HaveLen(1))
		planner.RecordUnavailable(orders[0], dawn)
		Expect(planner.Orders(dawn.Add(time.Second), s)).To(BeEmpty())
		Expect(planner.Orders(dawn.Add(6*time.Second), s)).To(HaveLen(1))
	})
})
