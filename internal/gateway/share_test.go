package gateway_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/route"
	"quaybarrow/internal/share"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// offer is a request that shares were asked to admit.
type offer struct {
	service string
	class   share.Class
	work    time.Duration
}

// scriptedShares admits all requests or none, and records what it is asked and told. It is safe for
// concurrent use.
type scriptedShares struct {
	verdict share.Verdict

	mu        sync.Mutex // guards all below
	offers    []offer
	responses []share.Response
}

// Admit implements gateway.Shares.
func (s *scriptedShares) Admit(service string, c share.Class, work time.Duration) share.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offers = append(s.offers, offer{service, c, work})
	return s.verdict
}

// Responded implements gateway.Shares.
func (s *scriptedShares) Responded(_ string, r share.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses = append(s.responses, r)
}

// lastWork returns the work that the last request was expected to cost.
func (s *scriptedShares) lastWork() time.Duration { return s.offers[len(s.offers)-1].work }

// withShares runs body with a rig whose service "model" has engines of 8 slots.
func withShares(v share.Verdict, scripts scripts, body func(r *rig, s *scriptedShares)) {
	suite.Paused(func() {
		r := newRig(scripts)
		defer r.stop()
		d := declaration()
		d.Version, d.Services[1].Slots = 2, 8
		r.holder.Apply(route.NewTable(d))
		s := &scriptedShares{verdict: v}
		r.gateway.Shares = s
		body(r, s)
	})
}

var (
	admitted = share.Verdict{Admitted: true, Fraction: 1}
	overIt   = share.Verdict{Fraction: 0.25}
)

var _ = Describe("a request over the share of its workspace", func() {
	both := scripts{"plain-1": standin.Always(standin.Reply{Status: 200, Body: "done"}), "model-1": standin.Always(confident)}

	for name, c := range map[string]struct {
		request    standin.Request
		service    string
		retryAfter float64 // longest, in seconds: a third of the caller's time
	}{
		"a plain request": {request("POST", "/once/1", "x"), "plain", 2.0 / 3},
		"a stream":        {prompt("/stream/1"), "model", 5},
	} {
		// A refusal that came after the sending would say wrongly that the request did not run.
		It("is refused before any endpoint sees it: "+name, func() {
			withShares(overIt, both, func(r *rig, s *scriptedShares) {
				start := time.Now()
				a := r.ask(c.request)
				Expect(time.Since(start)).To(BeZero())
				Expect(a.Status).To(Equal(503))
				Expect(a.Body).To(Equal("workspace is over its share\n"))
				after, err := strconv.ParseFloat(a.Head.Get("Retry-After"), 64)
				Expect(err).NotTo(HaveOccurred())
				Expect(after).To(BeNumerically(">", 0.6*c.retryAfter))
				Expect(after).To(BeNumerically("<=", c.retryAfter+0.01))
				Expect(r.runs()).To(BeZero())
				Expect(s.offers).To(HaveLen(1))
				Expect(s.offers[0].service).To(Equal(c.service))
				Expect(s.offers[0].class).To(Equal(share.Class{Workspace: "weavers"}))
				Expect(r.log.text()).To(ContainSubstring("share=0.25"))
				var metrics strings.Builder
				Expect(r.gateway.Telemetry.WriteText(&metrics)).To(Succeed())
				Expect(metrics.String()).To(ContainSubstring(`share_refusals_total{service="` + c.service + `"} 1`))
			})
		})
	}

	It("is served if it continues a stream, since its caller has the beginning", func() {
		withShares(overIt, both, func(r *rig, _ *scriptedShares) {
			a := r.ask(prompt("/stream/1").WithLastEvent("2"))
			Expect(a.Status).To(Equal(200))
			Expect(a.Body).To(Equal(events(3, 5, "small")))
		})
	})

	// One larger model takes the work of several first answers, which others of the workspace are refused.
	It("gets the smallest model if it is admitted beside others that are refused", func() {
		unsure := scripts{"model-1": standin.Always(standin.Stream{Events: 5, Confidence: 5})}
		withShares(share.Verdict{Admitted: true, Fraction: 0.5}, unsure, func(r *rig, _ *scriptedShares) {
			Expect(r.ask(prompt("/stream/1")).Body).To(Equal(events(1, 5, "small")))
		})
	})

	It("is refused if it states a last event but has no stream", func() {
		withShares(overIt, both, func(r *rig, _ *scriptedShares) {
			Expect(r.ask(request("POST", "/once/1", "x").WithLastEvent("2")).Status).To(Equal(503))
			Expect(r.runs()).To(BeZero())
		})
	})
})

var _ = Describe("shares", func() {
	It("decide once on a request, and learn of each response with its occupancy", func() {
		full := standin.Reply{Status: 503, NotRun: true}
		withShares(admitted, scripts{"plain-1": between(full, standin.Reply{Status: 200})}, func(r *rig, s *scriptedShares) {
			Expect(r.ask(request("POST", "/again/1", "x")).Status).To(Equal(200))
			Expect(r.runs()).To(Equal(2))
			Expect(s.offers).To(HaveLen(1))
			Expect(s.responses).To(Equal([]share.Response{{Rejected: true, Occupancy: 0.125}, {Occupancy: 0.125}}))
		})
	})

	// Shares without a client panic on a call to another host.
	It("that are not enabled refuse nothing and call no other host", func() {
		full := scripts{"plain-1": standin.Always(standin.Reply{Status: 503, NotRun: true})}
		withShares(admitted, full, func(r *rig, _ *scriptedShares) {
			off := share.New(share.Options{
				Host: "h", Members: func() []share.Member { return []share.Member{{Name: "other", Address: "10.0.0.2:83"}} },
				MembersKnown: func() bool { return true }, Enabled: func() bool { return false }, Weight: func(string) float64 { return 1 },
				Supply: func(string) share.Supply { return share.Supply{Endpoints: 1, Parallel: 8, Pace: 1} }, Telemetry: r.gateway.Telemetry, Logger: log.New(r.log),
			})
			r.gateway.Shares = off
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go off.Run(ctx)
			for range 50 {
				Expect(r.ask(request("POST", "/once/1", "x")).Body).NotTo(ContainSubstring("share"))
				time.Sleep(100 * time.Millisecond)
			}
			Expect(r.runs()).To(BeNumerically(">=", 50))
		})
	})
})

var _ = Describe("the work that a request is expected to cost", func() {
	// A slow reply takes 100 ms, which is the work of a plain request.
	slow := standin.Reply{Status: 200, Delay: 100 * time.Millisecond}
	// 500 tokens at the prior of 10 µs. The only engine is assumed to have kept three quarters of the 400
	// tokens that other requests share, so the work that is observed is that of 200.
	const promptPrior, promptWork = 5 * time.Millisecond, 2 * time.Millisecond
	// 5 events at 40 ms in 8 slots.
	const outputWork = 25 * time.Millisecond
	sized := func(tokens int) standin.Request { return request("POST", "/once/1", "x").WithTokens(tokens, 0) }

	for name, c := range map[string]struct {
		id            string
		script        standin.Script
		request       standin.Request
		before, after time.Duration
	}{
		"a plain request":                 {"plain-1", slow, request("POST", "/once/1", "x"), 20 * time.Millisecond, 100 * time.Millisecond},
		"a stream":                        {"model-1", standin.Stream{Events: 5, Confidence: 90, Gap: 40 * time.Millisecond}, prompt("/stream/1"), promptPrior, promptWork + outputWork},
		"a stream that ends early":        {"model-1", standin.Stream{Events: 5, BreakAfter: 4, Confidence: 90, Gap: 40 * time.Millisecond}, prompt("/fixed/1"), promptPrior, promptWork + outputWork*4/5},
		"a stream that engines turn away": {"model-1", standin.Reply{Status: 503, NotRun: true}, prompt("/fixed/1"), promptPrior, promptPrior},
	} {
		It("is the prior at first, and then what was observed: "+name, func() {
			withShares(admitted, scripts{c.id: standin.Always(c.script)}, func(r *rig, s *scriptedShares) {
				for _, want := range []time.Duration{c.before, c.after} {
					r.ask(c.request)
					Expect(s.lastWork()).To(BeNumerically("~", want, time.Microsecond))
				}
			})
		})
	}

	It("includes the larger model's work", func() {
		unsure := standin.Stream{Events: 5, Confidence: 5, Gap: 40 * time.Millisecond}
		withShares(admitted, scripts{"model-1": standin.Always(unsure)}, func(r *rig, s *scriptedShares) {
			Expect(r.ask(prompt("/stream/1")).Body).To(Equal(events(1, 5, "large")))
			r.ask(prompt("/stream/1"))
			Expect(s.offers).To(HaveLen(2), "the larger model is asked without another admission")
			Expect(s.lastWork()).To(BeNumerically("~", 2*promptWork+outputWork, time.Microsecond))
		})
	})

	It("leaves out plain requests whose responses show others waiting", func() {
		room := standin.Room{Slots: 1, Waiting: 5, Work: 100 * time.Millisecond}
		withShares(admitted, scripts{"plain-1": standin.Always(room)}, func(r *rig, s *scriptedShares) {
			for range 3 {
				go r.ask(request("POST", "/once/1", "x"))
			}
			time.Sleep(150 * time.Millisecond)
			r.ask(request("POST", "/once/1", "x"))
			Expect(s.lastWork()).To(Equal(20 * time.Millisecond))
		})
	})

	It("is scaled to the size that the caller states, within bounds", func() {
		withShares(admitted, scripts{"plain-1": standin.Always(slow)}, func(r *rig, s *scriptedShares) {
			r.ask(sized(100))
			r.ask(sized(200))
			Expect(s.lastWork()).To(BeNumerically("~", 198*time.Millisecond, time.Millisecond))
			r.ask(sized(100000000))
			Expect(s.lastWork()).To(BeNumerically("~", 400*time.Millisecond, 5*time.Millisecond))
			r.ask(sized(0))
			Expect(s.lastWork()).To(BeNumerically("~", 25*time.Millisecond, 5*time.Millisecond))
		})
	})

	It("is bounded before the first observation", func() {
		withShares(admitted, scripts{"model-1": standin.Always(confident)}, func(r *rig, s *scriptedShares) {
			r.ask(request("POST", "/fixed/1", "x").WithTokens(1_000_000_000, 1))
			Expect(s.lastWork()).To(BeNumerically("<=", 2*time.Second))
		})
	})
})
