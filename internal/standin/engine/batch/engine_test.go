package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/standin/engine/batch"
)

// options are round numbers: a step of a request alone takes 2 ms, and 100 more if it reads a chunk.
var options = batch.Options{
	Slots: 2, Queue: 2, Chunk: 1000, Step: time.Millisecond, StepPerSlot: time.Millisecond, TokensPerMs: 10,
	Memory: 5000, Paces: map[string]float64{"m": 1, "slow": 3},
}

// times are the times at which a request began and ended; zero if it did not.
type times struct{ head, end time.Duration }

// submit hands a request to an engine and records its times.
func submit(c *batch.Clock, e *batch.Engine, req batch.Request) (*batch.Run, *times) {
	got := &times{}
	req.OnHead = func() { got.head = c.Now() }
	req.OnEnd = func(error) { got.end = c.Now() }
	run, err := e.Submit(req)
	Expect(err).NotTo(HaveOccurred())
	return run, got
}

const ms = time.Millisecond

var _ = Describe("a batching engine", func() {
	var c *batch.Clock
	BeforeEach(func() { c = &batch.Clock{} })

	It("reads a prompt in chunks and takes the model's and the machine's pace", func() {
		e := batch.New(c, options)
		_, plain := submit(c, e, batch.Request{Model: "m", OwnTokens: 1500, Out: 10})
		c.Run(time.Second)
		Expect(*plain).To(Equal(times{102*ms + 52*ms + 2*ms, 154*ms + 20*ms}))
		e.SetPace(2)
		_, slow := submit(c, e, batch.Request{Model: "slow", OwnTokens: 1500, Out: 10})
		c.Run(3 * time.Second)
		Expect(*slow).To(Equal(times{time.Second + 6*156*ms, time.Second + 6*174*ms}))
	})

	// The first step begins before the short request arrives; then both take part in each step.
	orders := map[string]struct {
		order batch.PrefillOrder
		head  time.Duration
	}{
		"first admitted, first read": {batch.FirstAdmitted, 102*ms + 2*103*ms + 13*ms + 2*ms},
		"most urgent first":          {batch.MostUrgent, 102*ms + 103*ms + 103*ms},
	}
	for name, o := range orders {
		It("reads a short prompt beside a long one: "+name, func() {
			options := options
			options.Order = o.order
			e := batch.New(c, options)
			submit(c, e, batch.Request{Model: "m", Urgency: 2, OwnTokens: 3000, Out: 1})
			_, short := submit(c, e, batch.Request{Model: "m", OwnTokens: 100, Out: 1})
			c.Run(time.Second)
			Expect(short.head).To(Equal(o.head))
		})
	}

	It("runs waiting requests by urgency and rejects what exceeds its queue", func() {
		e := batch.New(c, options)
		first, _ := submit(c, e, batch.Request{Model: "m", Out: 1000})
		submit(c, e, batch.Request{Model: "m", Out: 1000})
		c.Run(10 * ms)
		_, patient := submit(c, e, batch.Request{Model: "m", Urgency: 5, Out: 1})
		_, urgent := submit(c, e, batch.Request{Model: "m", Urgency: 1, Out: 1})
		_, err := e.Submit(batch.Request{Model: "m", Out: 1})
		Expect(err).To(MatchError(batch.ErrFull))
		Expect(e.Load().Waiting).To(Equal(2))
		c.Run(100 * ms)
		Expect(urgent.head).To(BeZero())
		first.Cancel()
		c.Run(200 * ms)
		Expect(urgent.head).To(BeNumerically(">", 100*ms))
		Expect(patient.head).To(BeNumerically(">", urgent.head))
	})

	It("keeps shared parts until others need the memory", func() {
		e := batch.New(c, options)
		head := func(shared uint64) time.Duration {
			began := c.Now()
			_, got := submit(c, e, batch.Request{Model: "m", Shared: shared, SharedTokens: 2000, OwnTokens: 10, Out: 1})
			c.Run(began + time.Second)
			return got.head - began
		}
		unread, kept := 2*102*ms+3*ms+2*ms, 3*ms+2*ms
		Expect([]time.Duration{head(1), head(1), head(2), head(1)}).To(Equal([]time.Duration{unread, kept, unread, kept}))
		Expect([]time.Duration{head(3), head(2), head(3)}).To(Equal([]time.Duration{unread, unread, kept}), "2 was used least recently")
	})

	It("loses requests and kept parts in a crash", func() {
		e := batch.New(c, options)
		var ended error
		req := batch.Request{Model: "m", Shared: 1, SharedTokens: 900, OwnTokens: 100, Out: 1000, OnEnd: func(err error) { ended = err }}
		run, err := e.Submit(req)
		Expect(err).NotTo(HaveOccurred())
		c.Run(102*ms + 51*ms)
		e.Crash()
		_, err = e.Submit(req)
		Expect(err).To(MatchError(batch.ErrDown))
		c.Run(time.Second)
		Expect(ended).To(MatchError(batch.ErrCrashed))
		Expect(run.Made()).To(Equal(25), "tokens of a span that the crash cut")
		e.Restart()
		c.Run(2 * time.Second)
		Expect(e.Idle()).To(Equal(time.Second), "down is not idle")
		_, again := submit(c, e, batch.Request{Model: "m", Shared: 1, SharedTokens: 900, OwnTokens: 100, Out: 1})
		c.Run(3 * time.Second)
		Expect(again.head).To(Equal(2*time.Second + 104*ms))
	})

	It("yields the same times if it skips steps as if it runs each of them", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			type arrival struct {
				at  time.Duration
				req batch.Request
			}
			var list []arrival
			for range rapid.IntRange(1, 8).Draw(t, "requests") {
				list = append(list, arrival{
					time.Duration(rapid.IntRange(0, 300_000).Draw(t, "at")) * time.Microsecond,
					batch.Request{Model: "m", Urgency: rapid.IntRange(0, 2).Draw(t, "urgency"), OwnTokens: rapid.IntRange(1, 3000).Draw(t, "prompt"), Out: rapid.IntRange(1, 80).Draw(t, "out")},
				})
			}
			play := func(each bool) []times {
				c, options := &batch.Clock{}, options
				options.Queue = len(list)
				e, got := batch.New(c, options), make([]times, len(list))
				for i, a := range list {
					a.req.OnHead = func() { got[i].head = c.Now() }
					a.req.OnEnd = func(error) { got[i].end = c.Now() }
					c.After(a.at, func() {
						_, err := e.Submit(a.req)
						Expect(err).NotTo(HaveOccurred())
					})
				}
				for n := 1; each && n < 20_000; n++ {
					c.After(time.Duration(n)*ms/4+1, func() { e.SetPace(1) }) // ends a span with its current step
				}
				c.Run(5 * time.Second)
				return got
			}
			if skipped, each := play(false), play(true); !equal(skipped, each) {
				t.Fatalf("skipped %v, each step %v", skipped, each)
			}
		})
	})
})

func equal(a, b []times) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return len(a) == len(b)
}
