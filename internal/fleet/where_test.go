package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

// twin is a fleet on which a walk of random events is played.
type twin struct {
	fleet   *fleet.Fleet
	now     clock.Instant
	holds   []*fleet.Hold
	advices []fleet.Advice
	turn    int64 // of the last request that was told to wait
}

func newTwin(endpoints int, random func() float64) *twin {
	w := &twin{now: clock.At(time.Unix(1e9, 0))}
	w.fleet = fleet.New(fleet.Options{
		Hall: "ikeja", Now: func() clock.Instant { return w.now }, Random: random,
		WarmUp:   func(string) fleet.WarmUp { return fleet.WarmUp{Duration: 3 * time.Second, MaxRate: 20} },
		Choosers: func() fleet.Choosers { return fleet.Choosers{Hosts: 3, Advisers: 1} },
	})
	w.fleet.OnLoanNeeded(func() {})
	for i := range endpoints {
		w.fleet.Put(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Hall: []string{"ikeja", "lekki"}[i%2], Version: "v1", Slots: 2})
	}
	return w
}

// place places a request and returns where it went, and the decision.
func (w *twin) place(req fleet.Request) string {
	req.Turn = w.turn
	h, d := w.fleet.Place(req)
	w.turn = 0
	if wait, ok := d.(admission.Wait); ok {
		w.turn, wait.Turn = wait.Turn, 0
		d = wait
	}
	if h == nil {
		return fmt.Sprintf("%#v", d)
	}
	w.holds = append(w.holds, h)
	return fmt.Sprintf("%s %T", h.Endpoint.ID, d)
}

// endpointEvent is an event at an endpoint.
func (w *twin) endpointEvent(kind int, id string) {
	switch kind {
	case 0:
		w.fleet.ObserveLimit(id, fleet.Limit{Named: true, Rate: 2}, w.now)
	case 1:
		w.fleet.FinishLoan(id, fleet.Loan{Requests: 2, Until: w.now.Add(time.Second)})
	case 2:
		w.fleet.NotePause(id, 500*time.Millisecond, fleet.NoticeSource{})
	case 3:
		w.fleet.ObserveBrittle(id, fleet.Brittle{Named: true, Rejections: 2}, w.now)
	case 4:
		w.fleet.AddTally(id, fleet.Tally{Failed: 4})
	default:
		w.fleet.ObserveLimit(id, fleet.Limit{}, w.now)
	}
}

// requestEvent is an event of the request at a place among those that have not ended.
func (w *twin) requestEvent(kind, at int) {
	load := fleet.Load{Running: at % 3, Waiting: at % 2, Slots: 2, Pace: 1.5}
	switch {
	case kind == 0 && len(w.advices) > 0:
		at %= len(w.advices)
		w.fleet.EndAdvised(w.advices[at])
		w.advices = append(w.advices[:at], w.advices[at+1:]...)
	case kind == 1 && len(w.advices) > 0:
		a := w.advices[at%len(w.advices)]
		w.fleet.ObserveHead(fleet.HeadReport{Endpoint: a.Endpoint, Service: "s", Model: "m", Ticket: a.Ticket, Took: time.Second, Load: load})
	case kind == 2 && len(w.holds) > 0:
		w.holds[at%len(w.holds)].Head(load)
	case len(w.holds) > 0:
		at %= len(w.holds)
		w.holds[at].Done(fleet.Result{Outcome: fleet.Outcome(kind % 5), Load: load})
		w.holds = append(w.holds[:at], w.holds[at+1:]...)
	}
}

// drawRequest draws a request.
func drawRequest(t *rapid.T) fleet.Request {
	req := fleet.Request{Service: "s", Urgency: rapid.IntRange(-1, 9).Draw(t, "urgency"), MaxLimitWait: time.Duration(rapid.IntRange(0, 3).Draw(t, "limit wait")) * time.Second}
	if rapid.Bool().Draw(t, "plain") {
		return req
	}
	parts := []fleet.Part{{ID: 1, Tokens: 2000}, {ID: rapid.Uint64Range(2, 4).Draw(t, "part"), Tokens: 9000}, {ID: rapid.Uint64Range(5, 99).Draw(t, "own"), Tokens: 1000}}
	req.Key, req.Model, req.Parts, req.Tokens, req.SharedTokens, req.CacheTokens = parts[1].ID, "m", parts, 12_000, 11_000, 40_000
	req.Objective = time.Second
	req.Slack = time.Duration(rapid.IntRange(1, 1000).Draw(t, "slack")) * time.Millisecond
	req.Remaining, req.Unadvised = 4*req.Slack, rapid.Bool().Draw(t, "unadvised")
	return req
}

var _ = Describe("the report of where a request would go", func() {
	// It guards against a report that takes slots, random numbers, loans or turns, or that drops counts
	// which Place has not dropped.
	It("changes nothing, is the same twice and names the endpoint that is chosen next", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.SampledFrom([]int{1, 3, 6, 300}).Draw(t, "endpoints")
			constant := rapid.Bool().Draw(t, "without random numbers")
			source := func() func() float64 {
				if constant {
					return func() float64 { return 0.5 }
				}
				return rand.New(rand.NewPCG(1, 2)).Float64
			}
			asked, other := newTwin(count, source()), newTwin(count, source())
			both := func(do func(w *twin)) { do(asked); do(other) }
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				id, at := fmt.Sprint("e", rapid.IntRange(0, min(count, 6)-1).Draw(t, "endpoint")), rapid.IntRange(0, 20).Draw(t, "at")
				req := drawRequest(t)
				first := asked.fleet.Where(req)
				if again := asked.fleet.Where(req); !reflect.DeepEqual(first, again) {
					t.Fatalf("two answers: %+v and %+v", first, again)
				}
				if n := first.PassedOver[fleet.RuleOther]; n > 0 {
					t.Fatalf("%d endpoints are passed over by a rule that the report does not know", n)
				}
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0:
					kind := rapid.IntRange(0, 5).Draw(t, "kind")
					both(func(w *twin) { w.endpointEvent(kind, id) })
				case 1:
					kind := rapid.IntRange(0, 9).Draw(t, "kind")
					both(func(w *twin) { w.requestEvent(kind, at) })
				case 2:
					passed := time.Duration(rapid.SampledFrom([]int{10, 300, 2000, 9000, 21_000}).Draw(t, "ms")) * time.Millisecond
					both(func(w *twin) { w.now = w.now.Add(passed) })
				case 3:
					var ids []string
					both(func(w *twin) {
						a, ok := w.fleet.Advise(req)
						if ok && a.Endpoint != "" {
							w.advices = append(w.advices, a)
						}
						ids = append(ids, a.Endpoint)
					})
					if ids[0] != ids[1] {
						t.Fatalf("advised %s, and %s without the report", ids[0], ids[1])
					}
				default:
					req.Turn = asked.turn
					where := asked.fleet.Where(req)
					got, want := asked.place(req), other.place(req)
					if got != want {
						t.Fatalf("placed at %s, and at %s without the report", got, want)
					}
					told := fmt.Sprintf("%#v", where.Decision)
					if where.Endpoint != "" {
						told = fmt.Sprintf("%s %T", where.Endpoint, where.Decision)
					}
					if constant && !where.Sampled && told != got {
						t.Fatalf("told %s, placed at %s", told, got)
					}
				}
			}
		})
	})

	// It guards against a report that drops an advised request whose end still tells how long slots are held.
	It("leaves the count of advised requests as it is", func() {
		queue := func(ask bool) time.Duration {
			w := newTwin(1, func() float64 { return 0.5 })
			a, _ := w.fleet.Advise(promptRequest(7))
			w.fleet.ObserveHead(fleet.HeadReport{Endpoint: a.Endpoint, Service: "s", Model: "m", Ticket: a.Ticket})
			w.now = w.now.Add(9 * time.Second)
			if ask {
				w.fleet.Where(promptRequest(7))
			}
			w.fleet.EndAdvised(a)
			for range 2 {
				w.place(promptRequest(7))
			}
			e, _ := w.fleet.Expect(promptRequest(7))
			return e.Queue
		}
		Expect(queue(true)).To(Equal(queue(false)))
	})

	// It guards against a report that counts as a choice: a host that has chosen for a while sends more to
	// cold endpoints.
	It("does not count as a choice", func() {
		sent := func(ask bool) int {
			w := newTwin(1, func() float64 { return 0.5 })
			w.fleet.Put(fleet.Endpoint{ID: "e0", Service: "s", Hall: "ikeja", Version: "v1", Slots: 2, Cold: time.Minute})
			for range 3 {
				if ask {
					w.fleet.Where(promptRequest(7))
				}
				w.now = w.now.Add(800 * time.Millisecond)
			}
			for range 9 {
				w.place(promptRequest(7))
			}
			return len(w.holds)
		}
		Expect(sent(true)).To(Equal(sent(false)))
	})

	It("lists the best endpoints first, with terms that add up", func() {
		f := newFleetWith(func() float64 { return 0 })
		first, _ := f.Pick(promptRequest(7))
		r := f.Where(promptRequest(7))
		Expect(r.Endpoint).To(Equal(first.Endpoint.ID))
		Expect(r.Best).To(HaveLen(6))
		best, last := r.Best[0], r.Best[5]
		Expect(best.ID).To(Equal(first.Endpoint.ID))
		Expect(best.KeptTokens).To(Equal(5000))
		Expect(best.PrefillTokens).To(Equal(1000))
		Expect(best.Score.Sum()).To(BeNumerically("<", last.Score.Sum()))
		Expect(last.Score.Hall).To(BeNumerically("~", 0.2), "a tenth of the objective")
		Expect(last.Score.Reread).To(BeNumerically(">", 0))
		Expect(last.Slots).To(Equal(4))
		Expect(last.Reported).To(BeFalse())
		Expect(r.ListKnown).To(BeFalse())
	})

	It("lists no more than ten of many, and says that only some would be scored", func() {
		r := newTwin(300, nil).fleet.Where(promptRequest(7))
		Expect(r.Best).To(HaveLen(10))
		Expect(r.Sampled).To(BeTrue())
		Expect(r.Listed).To(Equal(300))
	})

	It("tells the age of load reports and of the list", func() {
		suite.Paused(func() {
			f := newFleet()
			f.Reset([]fleet.Endpoint{{ID: "e0", Service: "s"}}, false)
			f.Report("e0", fleet.Report{Load: fleet.Load{Slots: 4}, Asked: clock.Now()})
			time.Sleep(time.Second)
			r := f.Where(plainRequest)
			Expect(r.ListKnown).To(BeTrue())
			Expect(r.ListAge).To(Equal(time.Second))
			Expect(r.Best[0].Reported).To(BeTrue())
			Expect(r.Best[0].ReportAge).To(Equal(time.Second))
			f.ConfirmList()
			Expect(f.Where(plainRequest).ListAge).To(BeZero())
		})
	})
})

// passedOver is the number of endpoints that a rule passes over in a fleet of six.
type passedOver struct {
	prepare func(f *fleet.Fleet)
	request fleet.Request
	rule    fleet.Rule
	count   int
}

// failAt lets attempts at an endpoint end with an outcome.
func failAt(f *fleet.Fleet, id string, attempts int, o fleet.Outcome) {
	for range attempts {
		h, ok := f.Pick(fleet.Request{Service: "s", Avoid: allExcept(6, int(id[1]-'0'))})
		Expect(ok).To(BeTrue())
		h.Done(fleet.Result{Outcome: o})
	}
}

var passedOverCases = map[string]passedOver{
	"draining":             {prepare: func(f *fleet.Fleet) { f.NoteLeaving("e0", fleet.NoticeSource{}) }, rule: fleet.RuleDraining, count: 1},
	"in an evacuated hall": {prepare: func(f *fleet.Fleet) { f.Evacuate([]string{"lekki"}) }, rule: fleet.RuleEvacuated, count: 3},
	"of another version":   {request: fleet.Request{Allowed: func(v string) bool { return v == "v2" }}, rule: fleet.RuleVersion, count: 6},
	"in another region":    {request: fleet.Request{Regions: []string{"west"}}, rule: fleet.RuleRegion, count: 3},
	"without the model":    {prepare: func(f *fleet.Fleet) { f.Report("e1", fleet.Report{Models: []string{"other"}}) }, request: fleet.Request{Model: "m"}, rule: fleet.RuleModel, count: 1},
	"tried before":         {request: fleet.Request{Avoid: []string{"e0", "e1"}}, rule: fleet.RuleTried, count: 2},
	"that want a pause":    {prepare: func(f *fleet.Fleet) { f.NotePause("e0", time.Second, fleet.NoticeSource{}) }, rule: fleet.RulePaused, count: 1},
	"without a place": {prepare: func(f *fleet.Fleet) {
		f.ObserveBrittle("e0", fleet.Brittle{Named: true}, clock.Now())
		h, _ := f.Pick(plainRequest)
		h.NoPlace(time.Second)
		h.Done(fleet.Result{Outcome: fleet.OutcomeNotSent})
	}, rule: fleet.RuleFull, count: 1},
	"that have just rejected a request": {prepare: func(f *fleet.Fleet) { failAt(f, "e0", 1, fleet.OutcomeRefused) }, rule: fleet.RuleFull, count: 1},
	"that are cold": {prepare: func(f *fleet.Fleet) {
		f.Put(fleet.Endpoint{ID: "e4", Service: "s", Hall: "lekki", Version: "v1", Slots: 4, Cold: time.Minute})
	}, rule: fleet.RuleCold, count: 1},
	"at their limits": {prepare: func(f *fleet.Fleet) { f.ObserveLimit("e0", announcedLimit(2), clock.Now()) }, rule: fleet.RuleLimit, count: 1},
	"that fail":       {prepare: func(f *fleet.Fleet) { failAt(f, "e2", 9, fleet.OutcomeFailed) }, rule: fleet.RuleEjected, count: 1},
}

var _ = Describe("the report of a request counts the endpoints", func() {
	for name, c := range passedOverCases {
		It(name, func() {
			suite.Paused(func() {
				f := fleet.New(fleet.Options{
					Hall: "ikeja", Regions: map[string]string{"ikeja": "west", "lekki": "east"}, Random: func() float64 { return 0.5 },
					WarmUp: func(string) fleet.WarmUp { return fleet.WarmUp{MaxRate: 1} },
				})
				f.OnLoanNeeded(func() {})
				addEndpoints(f)
				if c.prepare != nil {
					c.prepare(f)
				}
				req := c.request
				req.Service = "s"
				r := f.Where(req)
				Expect(r.PassedOver).To(Equal(map[fleet.Rule]int{c.rule: c.count}))
				Expect(fleet.Rules()).To(ContainElement(c.rule))
				if c.count < 6 {
					h, ok := f.Pick(req)
					Expect(ok).To(BeTrue())
					Expect(r.Endpoint).To(Equal(h.Endpoint.ID))
				}
			})
		})
	}
})

// decisionCase is a request to six endpoints that is not simply sent.
type decisionCase struct {
	prepare func(f *fleet.Fleet, id string)
	request fleet.Request
	want    admission.Decision
	sent    bool
}

// atLimit has an endpoint announce a limit.
func atLimit(f *fleet.Fleet, id string) { f.ObserveLimit(id, announcedLimit(2), clock.Now()) }

var decisionCases = map[string]decisionCase{
	"that is late as sent behind all others": {
		request: fleet.Request{Key: 7, Model: "m", Tokens: 6000, Slack: time.Millisecond, Remaining: 3 * time.Second}, want: admission.Behind{}, sent: true,
	},
	"that is refused": {prepare: atLimit, request: fleet.Request{MaxLimitWait: time.Millisecond}, want: admission.Refuse{After: 25 * time.Millisecond}},
	"that waits":      {prepare: atLimit, request: fleet.Request{MaxLimitWait: time.Second}, want: admission.Wait{For: 25 * time.Millisecond}},
	"for which all endpoints want a pause": {
		prepare: func(f *fleet.Fleet, id string) { f.NotePause(id, time.Second, fleet.NoticeSource{}) }, want: admission.Paused{For: time.Second},
	},
	"without an endpoint as sent nowhere": {prepare: func(f *fleet.Fleet, id string) { f.NoteLeaving(id, fleet.NoticeSource{}) }, want: admission.Send{}},
	"to an unknown service":               {request: fleet.Request{Service: "none"}, want: admission.Send{}},
}

var _ = Describe("the report shows a request", func() {
	for name, c := range decisionCases {
		It(name, func() {
			suite.Paused(func() {
				f := newFleet()
				f.OnLoanNeeded(func() {})
				for i := range 6 {
					if c.prepare != nil {
						c.prepare(f, fmt.Sprint("e", i))
					}
				}
				req := c.request
				if req.Service == "" {
					req.Service = "s"
				}
				r := f.Where(req)
				Expect(r.Decision).To(Equal(c.want))
				Expect(r.Endpoint != "").To(Equal(c.sent))
				requests, _ := f.LoanRequests()
				Expect(requests).To(BeEmpty(), "nothing is borrowed")
			})
		})
	}
})
