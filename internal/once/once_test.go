package once_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/once"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/standin/table"
)

// caller is a host's guard with a count of its dispatches.
type caller struct {
	guard      *once.Guard
	dispatched *int
}

func newCaller(store *table.Store, host string, dispatched *int) caller {
	lives := func(_ context.Context, host, _ string) bool { return host != "dead" }
	return caller{once.NewGuard(once.Options{
		Tables: store, Host: host, Incarnation: host + "-1", MayBeRunning: lives, Limit: 100,
	}), dispatched}
}

func (c caller) do(attempt once.Attempt) (once.Result, error) {
	call := once.Call{Workspace: "w", Service: "payouts", Name: "pay", Key: "k", Body: []byte("100"), RequestID: "r"}
	return c.guard.Do(context.Background(), call, func(context.Context) once.Attempt {
		*c.dispatched++
		return attempt
	})
}

var ran = once.Attempt{Run: problem.Ran, Outcome: once.Outcome{Status: 200, Body: []byte("paid")}}

var _ = Describe("a call that may not be repeated", func() {
	It("is dispatched once and replayed to a repeat through another host", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			first, second := newCaller(store, "a", &dispatched), newCaller(store, "b", &dispatched)
			r, err := first.do(ran)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Replayed).To(BeFalse())
			r, err = second.do(ran)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Replayed).To(BeTrue())
			Expect(string(r.Outcome.Body)).To(Equal("paid"))
			Expect(dispatched).To(Equal(1))
		})
	})

	It("may run again after it certainly did not", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newCaller(store, "a", &dispatched)
			r, err := c.do(once.Attempt{Run: problem.NotRun})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Run).To(Equal(problem.NotRun))
			r, err = c.do(ran)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Run).To(Equal(problem.Ran))
			Expect(dispatched).To(Equal(2))
		})
	})

	It("never runs again once its outcome is unknown", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newCaller(store, "a", &dispatched)
			_, err := c.do(once.Attempt{Run: problem.Unknown})
			Expect(err).NotTo(HaveOccurred())
			_, err = c.do(ran)
			Expect(err).To(MatchError(once.ErrOutcomeUnknown))
			Expect(dispatched).To(Equal(1))
		})
	})

	It("is refused for another body under the same key", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newCaller(store, "a", &dispatched)
			_, err := c.do(ran)
			Expect(err).NotTo(HaveOccurred())
			other := once.Call{Workspace: "w", Service: "payouts", Name: "pay", Key: "k", Body: []byte("200")}
			_, err = c.guard.Do(context.Background(), other, func(context.Context) once.Attempt { panic("dispatched") })
			Expect(err).To(MatchError(once.ErrBodyMismatch))
		})
	})

	It("is not dispatched when the claim's reply is lost and can't be read back, and may run later", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newCaller(store, "a", &dispatched)
			store.Inject(table.Fault{Kind: table.FaultLoseReply, Count: 1})
			store.Inject(table.Fault{Kind: table.FaultDown})
			_, err := c.do(ran)
			Expect(err).To(MatchError(once.ErrNotClaimed))
			Expect(dispatched).To(BeZero())
			store.Heal()
			time.Sleep(11 * time.Second)
			Expect(c.guard.Flush(context.Background())).To(Succeed())
			r, err := c.do(ran)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Run).To(Equal(problem.Ran))
			Expect(dispatched).To(Equal(1))
		})
	})

	hosts := map[string]error{"a": once.ErrUnderWay, "dead": once.ErrOutcomeUnknown}
	for host, want := range hosts {
		It(fmt.Sprintf("is %v while its claimer is host %s", want, host), func() {
			suite.Paused(func() {
				store, dispatched := table.New(table.Options{}), 0
				first, second := newCaller(store, host, &dispatched), newCaller(store, "b", &dispatched)
				call := once.Call{Workspace: "w", Service: "payouts", Name: "pay", Key: "k", Body: []byte("100")}
				_, err := first.guard.Do(context.Background(), call, func(context.Context) once.Attempt {
					dispatched++
					_, err := second.do(ran)
					Expect(err).To(MatchError(want))
					return ran
				})
				Expect(err).NotTo(HaveOccurred())
				Expect(dispatched).To(Equal(1))
			})
		})
	}

	It("keeps its outcome through an outage and replays it afterwards", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newCaller(store, "a", &dispatched)
			call := once.Call{Workspace: "w", Service: "payouts", Name: "pay", Key: "k", Body: []byte("100")}
			_, err := c.guard.Do(context.Background(), call, func(context.Context) once.Attempt {
				store.Inject(table.Fault{Kind: table.FaultDown})
				return ran
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(c.guard.PendingUpdates()).To(Equal(1))
			store.Heal()
			Expect(c.guard.Flush(context.Background())).To(Succeed())
			r, err := c.do(ran)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Replayed).To(BeTrue())
		})
	})
})
