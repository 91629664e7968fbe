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

// testHost is a host's guard with a dispatch counter that hosts may share.
type testHost struct {
	guard      *once.Guard
	dispatched *int
}

func newTestHost(store *table.Store, host string, dispatched *int) testHost {
	mayBeRunning := func(_ context.Context, host, _ string) bool { return host != "dead" }
	return testHost{once.NewGuard(once.Options{
		Tables: store, Host: host, Incarnation: host + "-1", MayBeRunning: mayBeRunning, Limit: 100,
	}), dispatched}
}

func (c testHost) do(attempt once.Attempt) (once.Result, error) {
	call := once.Call{Workspace: "w", Service: "payouts", Name: "pay", Key: "k", Body: []byte("100"), RequestID: "r"}
	return c.guard.Do(context.Background(), call, func(context.Context) once.Attempt {
		*c.dispatched++
		return attempt
	})
}

var ran = once.Attempt{Run: problem.Ran, Outcome: once.Outcome{Status: 200, Body: []byte("paid")}}

var _ = Describe("a non-idempotent call", func() {
	It("is dispatched once, and a retry through another host replays its outcome", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			first, second := newTestHost(store, "a", &dispatched), newTestHost(store, "b", &dispatched)
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

	It("is dispatched again if it certainly did not run", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newTestHost(store, "a", &dispatched)
			r, err := c.do(once.Attempt{Run: problem.NotRun})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Run).To(Equal(problem.NotRun))
			r, err = c.do(ran)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Run).To(Equal(problem.Ran))
			Expect(dispatched).To(Equal(2))
		})
	})

	It("is not dispatched again once its outcome is unknown", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newTestHost(store, "a", &dispatched)
			_, err := c.do(once.Attempt{Run: problem.Unknown})
			Expect(err).NotTo(HaveOccurred())
			_, err = c.do(ran)
			Expect(err).To(MatchError(once.ErrOutcomeUnknown))
			Expect(dispatched).To(Equal(1))
		})
	})

	It("is rejected if the same key is used with another body", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newTestHost(store, "a", &dispatched)
			_, err := c.do(ran)
			Expect(err).NotTo(HaveOccurred())
			other := once.Call{Workspace: "w", Service: "payouts", Name: "pay", Key: "k", Body: []byte("200")}
			_, err = c.guard.Do(context.Background(), other, func(context.Context) once.Attempt { panic("dispatched") })
			Expect(err).To(MatchError(once.ErrBodyMismatch))
		})
	})

	It("is not dispatched if the reply to the claim is lost and the claim can't be read back, and may run later", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newTestHost(store, "a", &dispatched)
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
		It(fmt.Sprintf("returns \"%v\" while the claim belongs to host %s", want, host), func() {
			suite.Paused(func() {
				store, dispatched := table.New(table.Options{}), 0
				first, second := newTestHost(store, host, &dispatched), newTestHost(store, "b", &dispatched)
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

	It("queues its outcome during an outage of the table service and replays it afterwards", func() {
		suite.Paused(func() {
			store, dispatched := table.New(table.Options{}), 0
			c := newTestHost(store, "a", &dispatched)
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
