package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

// Load of the specs: a cold endpoint takes 10 requests a second and may get 20, for 3 s.
const (
	coldRate     = 20.0
	coldDuration = 3 * time.Second
)

// paused runs a body under the paused clock, until the requests that it sent have ended.
func paused(body func()) {
	suite.Paused(func() {
		body()
		time.Sleep(time.Second)
	})
}

// hostGroup is a group of hosts that send to the same endpoints. The first host advises the other
// hosts that it can reach.
type hostGroup struct {
	hosts     []*fleet.Fleet
	unadvised func(host int) bool // the host gets no advice now
	advisorOf func(host int) int  // the host that it asks for advice
	random    *rand.Rand
	sent      map[string][]time.Time // times of requests, by endpoint
	unplaced  int                    // requests for which there was no endpoint
}

func newHostGroup(hosts, advisors, endpoints int) *hostGroup {
	c := &hostGroup{random: rand.New(rand.NewPCG(1, uint64(hosts))), sent: map[string][]time.Time{}, unadvised: func(int) bool { return false }, advisorOf: func(int) int { return 0 }}
	for range hosts {
		f := fleet.New(fleet.Options{
			Hall:     "ikeja",
			WarmUp:   func(string) fleet.WarmUp { return fleet.WarmUp{Duration: coldDuration, MaxRate: coldRate} },
			Choosers: func() fleet.Choosers { return fleet.Choosers{Hosts: hosts, Advisers: advisors} },
		})
		f.Reset(endpointsOf(endpoints), false)
		c.hosts = append(c.hosts, f)
	}
	return c
}

func endpointsOf(n int) []fleet.Endpoint {
	list := make([]fleet.Endpoint, n)
	for i := range n {
		list[i] = fleet.Endpoint{ID: fmt.Sprintf("e%03d", i), Service: "s", Hall: []string{"ikeja", "lekki", "yaba"}[i%3], Version: "v1", Slots: 12}
	}
	return list
}

// each calls a function for every host.
func (c *hostGroup) each(do func(f *fleet.Fleet)) {
	for _, f := range c.hosts {
		do(f)
	}
}

// sendFor sends requests at a rate for a time from random hosts.
func (c *hostGroup) sendFor(span time.Duration, perSecond float64, newRequest func() fleet.Request) {
	for start := time.Now(); time.Since(start) < span; {
		time.Sleep(time.Duration(c.random.ExpFloat64() / perSecond * float64(time.Second)))
		c.send(c.random.IntN(len(c.hosts)), newRequest())
	}
}

func (c *hostGroup) send(host int, req fleet.Request) {
	h := c.pick(host, req)
	if h == nil {
		c.unplaced++
		return
	}
	c.sent[h.Endpoint.ID] = append(c.sent[h.Endpoint.ID], time.Now())
	go func() {
		time.Sleep(80 * time.Millisecond)
		h.Head(fleet.Load{})
		time.Sleep(300 * time.Millisecond)
		h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
		if host != 0 {
			c.hosts[0].AddTally(h.Endpoint.ID, fleet.Tally{Good: 1})
		}
	}()
}

func (c *hostGroup) pick(host int, req fleet.Request) *fleet.Hold {
	f := c.hosts[host]
	advisor := c.advisorOf(host)
	if req.Key == 0 || host == advisor {
		h, _ := f.Pick(req)
		return h
	}
	if !c.unadvised(host) {
		advised, ok := c.hosts[advisor].Advise(req)
		if !ok {
			return nil
		}
		h, ok := f.PickAt(advised, req)
		Expect(ok).To(BeTrue())
		h.OnDone = func() { c.hosts[advisor].EndAdvised(advised) }
		return h
	}
	req.Unadvised = true
	h, _ := f.Pick(req)
	return h
}

// maxPerSecond returns the largest number of requests within a second.
func maxPerSecond(times []time.Time) int {
	worst, from := 0, 0
	for i, t := range times {
		for t.Sub(times[from]) >= time.Second {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return worst
}

// maxRateOf returns the largest number of requests that any of some endpoints got within a second.
func (c *hostGroup) maxRateOf(concerns func(id string) bool) int {
	worst := 0
	for id, times := range c.sent {
		if concerns(id) {
			worst = max(worst, maxPerSecond(times))
		}
	}
	return worst
}

// newPrompt returns a request with a new random prompt.
func (c *hostGroup) newPrompt() fleet.Request {
	return fleet.Request{Service: "s", Key: c.random.Uint64() | 1, Model: "m", Tokens: 600, SharedTokens: 300, Objective: 1500 * time.Millisecond}
}

var _ = Describe("a cold endpoint", func() {
	isCold := func(id string) bool { return id < "e030" }
	makeCold := func(f *fleet.Fleet) {
		for _, e := range endpointsOf(30) {
			e.Cold = coldDuration
			f.Put(e)
		}
	}
	sizes := map[string]struct{ hosts, advisors, endpoints int }{
		"6 hosts": {6, 1, 60}, "61 hosts": {61, 1, 100}, "295 hosts": {295, 5, 160}, "345 hosts": {345, 5, 160},
	}
	advice := map[string]func(host int) bool{
		"advised":                 func(int) bool { return false },
		"half get no advice":      func(host int) bool { return host%2 == 1 },
		"none get advice":         func(int) bool { return true },
		"advisor lost for 500 ms": func(int) bool { return time.Now().UnixMilli()%2000 < 500 },
		"advisor new to most":     func(host int) bool { return host > 3 },
	}
	for size, n := range sizes {
		for name, unadvised := range advice {
			It("gets no more than its limit: "+size+", "+name, func() {
				paused(func() {
					c := newHostGroup(n.hosts, n.advisors, n.endpoints)
					c.unadvised = unadvised
					c.sendFor(time.Second, 600, c.newPrompt)
					c.each(makeCold)
					clear(c.sent)
					c.sendFor(2900*time.Millisecond, 600, c.newPrompt)
					Expect(c.maxRateOf(isCold)).To(BeNumerically("<=", int(coldRate)))
					Expect(c.unplaced).To(BeZero(), "warm endpoints had free slots")
				})
			})
		}
	}

	// A cold endpoint got more requests than its limit within a second in which three hosts advised
	// one after the other.
	for _, hosts := range []int{4, 7, 60, 345} {
		It(fmt.Sprintf("gets no more than its limit while advisors are lost one after the other: %d hosts", hosts), func() {
			paused(func() {
				c := newHostGroup(hosts, 1, 60)
				c.sendFor(time.Second, 600, c.newPrompt)
				c.each(makeCold)
				clear(c.sent)
				began := time.Now()
				c.advisorOf = func(int) int { return min(int(time.Since(began)/(300*time.Millisecond)), 2) }
				c.unadvised = func(host int) bool {
					return host%3 == 0 && time.Since(began)%(300*time.Millisecond) < 100*time.Millisecond
				}
				c.sendFor(2900*time.Millisecond, 600, c.newPrompt)
				Expect(c.maxRateOf(isCold)).To(BeNumerically("<=", int(coldRate)))
				Expect(c.unplaced).To(BeZero(), "warm endpoints had free slots")
			})
		})
	}

	It("is used while cold, and like others once it is warm", func() {
		paused(func() {
			c := newHostGroup(61, 1, 60)
			c.each(makeCold)
			c.sendFor(2900*time.Millisecond, 900, c.newPrompt)
			counts := map[bool]int{}
			for id, times := range c.sent {
				counts[isCold(id)] += len(times)
			}
			Expect(counts[true]).To(BeNumerically(">", counts[false]/5))
			clear(c.sent)
			time.Sleep(2 * time.Second)
			clear(c.sent)
			c.sendFor(2*time.Second, 1200, c.newPrompt)
			Expect(c.maxRateOf(isCold)).To(BeNumerically(">", 15))
			Expect(c.unplaced).To(BeZero())
		})
	})

	It("is one that is listed while requests run, even if its entry says otherwise", func() {
		paused(func() {
			c := newHostGroup(61, 1, 5)
			c.sendFor(time.Second, 60, c.newPrompt)
			c.each(func(f *fleet.Fleet) {
				f.Put(fleet.Endpoint{ID: "new", Service: "s", Hall: "ikeja", Version: "v1", Slots: 12})
			})
			c.sendFor(2900*time.Millisecond, 150, c.newPrompt)
			Expect(maxPerSecond(c.sent["new"])).To(BeNumerically("<=", coldRate*2/5+1))
		})
	})

	It("is one of a hall that returns to use", func() {
		paused(func() {
			c := newHostGroup(61, 1, 90)
			inLekki := func(id string) bool { e, _ := c.hosts[0].Listed(id); return e.Hall == "lekki" }
			c.each(func(f *fleet.Fleet) { f.Evacuate([]string{"lekki"}) })
			c.sendFor(2*time.Second, 900, c.newPrompt)
			Expect(c.maxRateOf(inLekki)).To(BeZero())
			c.each(func(f *fleet.Fleet) { f.Evacuate(nil) })
			clear(c.sent)
			c.sendFor(2900*time.Millisecond, 1300, c.newPrompt)
			Expect(c.maxRateOf(inLekki)).To(BeNumerically("<=", coldRate*2/5+2))
			Expect(c.unplaced).To(BeZero())
		})
	})

	failureModes := map[string]func(f *fleet.Fleet, h *fleet.Hold){
		"can't be reached": func(_ *fleet.Fleet, h *fleet.Hold) { h.Done(fleet.Result{Outcome: fleet.OutcomeLost}) },
		"failed all requests that ran there": func(f *fleet.Fleet, h *fleet.Hold) {
			h.Done(fleet.Result{Outcome: fleet.OutcomeFailed})
			f.AddTally(h.Endpoint.ID, fleet.Tally{Failed: 3})
		},
	}
	for name, fail := range failureModes {
		It("is one that "+name+", until some time after it has answered", func() {
			paused(func() {
				c := newHostGroup(61, 1, 6)
				h, _ := c.hosts[0].Pick(c.newPrompt())
				id := h.Endpoint.ID
				fail(c.hosts[0], h)
				time.Sleep(2100 * time.Millisecond) // until its ejection ends
				c.sendFor(2500*time.Millisecond, 200, c.newPrompt)
				Expect(maxPerSecond(c.sent[id])).To(BeNumerically("<=", coldRate*2/5+1))
				Expect(c.sent[id]).NotTo(BeEmpty())
				time.Sleep(2 * time.Second)
				delete(c.sent, id)
				c.sendFor(2*time.Second, 100, c.newPrompt)
				Expect(maxPerSecond(c.sent[id])).To(BeNumerically(">", 10))
			})
		})
	}

	It("is not one that fails occasionally", func() {
		paused(func() {
			c := newHostGroup(1, 1, 1)
			for range 10 {
				c.hosts[0].AddTally("e000", fleet.Tally{Failed: 3})
				c.hosts[0].AddTally("e000", fleet.Tally{Good: 2})
			}
			Expect(c.hosts[0].View()[0].ColdSince.IsZero()).To(BeTrue())
		})
	})

	It("gets no more than its limit of requests that no host advises on", func() {
		paused(func() {
			c := newHostGroup(61, 1, 6)
			c.each(func(f *fleet.Fleet) {
				for _, e := range endpointsOf(3) {
					e.Cold = coldDuration
					f.Put(e)
				}
			})
			c.sendFor(2900*time.Millisecond, 250, func() fleet.Request { return fleet.Request{Service: "s"} })
			Expect(c.maxRateOf(func(id string) bool { return id < "e003" })).To(BeNumerically("<=", int(coldRate)))
			Expect(len(c.sent["e000"])).To(BeNumerically(">", 5), "in the hosts' data hall")
		})
	})

	It("gets no more than its limit from an advisor that does not know that it is cold", func() {
		paused(func() {
			c := newHostGroup(61, 1, 40)
			prompt := c.newPrompt() // a prompt that is expensive to prefill again
			prompt.Tokens, prompt.SharedTokens, prompt.Parts = 20_000, 19_900, []fleet.Part{{ID: 7, Tokens: 19_900}, {ID: 8, Tokens: 100}}
			c.sendFor(4*time.Second, 30, func() fleet.Request { return prompt })
			Expect(c.maxRateOf(func(string) bool { return true })).To(BeNumerically("<=", coldRate*3/5+1))
		})
	})
})
