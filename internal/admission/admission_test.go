package admission_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/standin/suite"
)

var _ = Describe("admission", func() {
	ctx := context.Background()
	kind := admission.KindOf("support@1", 1000)

	next := map[string]struct {
		queue []admission.Candidate
		want  int
	}{
		"interactive before batch": {[]admission.Candidate{
			{Priority: declare.PriorityBatch, Limit: 10}, {Priority: declare.PriorityInteractive, InFlight: 9, Limit: 10},
		}, 1},
		"the workspace that uses the smallest fraction of its limit": {[]admission.Candidate{{InFlight: 5, Limit: 10}, {InFlight: 1, Limit: 4}}, 1},
		"the earliest arrival among equals":                          {[]admission.Candidate{{Limit: 5}, {Limit: 5}}, 0},
		"none whose workspace is at its limit":                       {[]admission.Candidate{{InFlight: 5, Limit: 5}}, -1},
	}
	for name, n := range next {
		It("starts "+name, func() { Expect(admission.Next(n.queue)).To(Equal(n.want)) })
	}

	It("does not let a large workspace starve a small one", func() {
		suite.Paused(func() {
			c := admission.NewController(admission.Options{Limit: 10, Queue: 1000})
			var mu sync.Mutex
			started := map[string]time.Duration{}
			begin := time.Now()
			var requests sync.WaitGroup
			request := func(workspace string) {
				permit, err := c.Admit(ctx, admission.Request{Workspace: workspace, WorkspaceLimit: 100})
				Expect(err).NotTo(HaveOccurred())
				mu.Lock()
				started[workspace] = time.Since(begin)
				mu.Unlock()
				time.Sleep(time.Second)
				permit.Release()
			}
			for range 200 {
				requests.Go(func() { request("large") })
			}
			time.Sleep(100 * time.Millisecond)
			requests.Go(func() { request("small") })
			requests.Wait()
			Expect(started["small"]).To(Equal(time.Second))
			Expect(started["large"]).To(BeNumerically(">", 19*time.Second))
		})
	})

	It("refuses at once a request that could not start before its deadline", func() {
		suite.Paused(func() {
			c := admission.NewController(admission.Options{Limit: 1, Queue: 100})
			run := func() {
				permit, err := c.Admit(ctx, admission.Request{Workspace: "w", WorkspaceLimit: 100})
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(10 * time.Second)
				permit.Release()
			}
			run()
			go run()
			time.Sleep(time.Second)
			asked := clock.Now()
			_, err := c.Admit(ctx, admission.Request{Workspace: "w", WorkspaceLimit: 100, Deadline: asked.Add(3 * time.Second)})
			Expect(err).To(MatchError(admission.ErrDeadline))
			Expect(clock.Since(asked)).To(BeZero())
			time.Sleep(10 * time.Second)
		})
	})

	It("refuses new requests while draining and reports when the last one is done", func() {
		suite.Paused(func() {
			c := admission.NewController(admission.Options{Limit: 5, Queue: 5})
			permit, err := c.Admit(ctx, admission.Request{Workspace: "w", WorkspaceLimit: 5})
			Expect(err).NotTo(HaveOccurred())
			idle := c.Drain()
			_, err = c.Admit(ctx, admission.Request{Workspace: "w", WorkspaceLimit: 5})
			Expect(err).To(MatchError(admission.ErrDraining))
			Consistently(idle).WithTimeout(time.Second).ShouldNot(BeClosed())
			permit.Release()
			Eventually(idle).Should(BeClosed())
		})
	})

	It("does not count time in its own queue as latency", func() {
		suite.Paused(func() {
			c := admission.NewController(admission.Options{Limit: 8, Queue: 1000})
			var requests sync.WaitGroup
			for range 400 {
				requests.Go(func() {
					permit, err := c.Admit(ctx, admission.Request{Workspace: "w", WorkspaceLimit: 1000})
					Expect(err).NotTo(HaveOccurred())
					time.Sleep(20 * time.Millisecond)
					permit.RecordFirstToken(kind)
					time.Sleep(20 * time.Millisecond)
					permit.Release()
				})
				time.Sleep(time.Millisecond)
			}
			requests.Wait()
			Expect(c.Limit()).To(Equal(8))
		})
	})

	It("does not lower its limit because of long prompts or slower versions", func() {
		c := admission.NewController(admission.Options{Limit: 100, Queue: 5})
		for range 500 {
			c.Observe(admission.KindOf("support@1", 200), 30*time.Millisecond)
			c.Observe(admission.KindOf("support@1", 200_000), 1500*time.Millisecond)
			c.Observe(admission.KindOf("summary@1", 200), 400*time.Millisecond)
		}
		Expect(c.Limit()).To(Equal(100))
	})

	It("lowers its limit while first tokens come late", func() {
		c := admission.NewController(admission.Options{Limit: 100, Queue: 5})
		for range 200 {
			c.Observe(kind, 100*time.Millisecond)
		}
		Expect(c.Limit()).To(Equal(100))
		for range 400 {
			c.Observe(kind, 2*time.Second)
		}
		lowered := c.Limit()
		Expect(lowered).To(BeNumerically("<", 60))
	})
})
