package lease_test

import (
	"context"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/lease"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/store"
)

const length = 10 * time.Second

func manager(tables store.Tables, host string) *lease.Manager {
	return lease.NewManager(lease.Options{Tables: tables, Host: host, Incarnation: host + "-1", Length: length})
}

// holdSpan is an interval in which a host considered itself the holder of the lease.
type holdSpan struct {
	host       string
	epoch      int64
	start, end time.Time
}

// lockState is the state of a lock in lockModel: each acquisition must have a higher epoch than the
// one before.
type lockState struct{ epoch int64 }

var lockModel = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, _ any) (bool, any) {
		held, epoch := state.(lockState), input.(int64)
		return epoch > held.epoch, lockState{epoch}
	},
}

var _ = Describe("a lease", func() {
	ctx := context.Background()
	fenced := store.Transaction{Writes: []store.Write{store.Put("work", "row", []byte("x"))}}

	It("is acquired only after it was seen unchanged for its whole length", func() {
		suite.Paused(func() {
			rows := table.New(table.Options{})
			first, second := manager(rows, "a"), manager(rows, "b")
			_, err := first.Acquire(ctx, "duty")
			Expect(err).NotTo(HaveOccurred())
			_, err = second.Acquire(ctx, "duty")
			Expect(err).To(MatchError(lease.ErrHeld))
			time.Sleep(length - time.Millisecond)
			_, err = second.Acquire(ctx, "duty")
			Expect(err).To(MatchError(lease.ErrHeld))
			time.Sleep(time.Millisecond)
			l, err := second.Acquire(ctx, "duty")
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Epoch()).To(Equal(int64(2)))
		})
	})

	It("expires for a holder whose machine was suspended", func() {
		suite.Paused(func() {
			l, err := manager(table.New(table.Options{}), "a").Acquire(ctx, "duty")
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Valid()).To(BeTrue())
			clock.SimulateSuspension(length)
			Expect(l.Valid()).To(BeFalse())
			Expect(l.Remaining()).To(BeNumerically("<", 0))
		})
	})

	It("expires for its holder before another host can acquire it, and fences the old holder's late writes", func() {
		suite.Paused(func() {
			rows := table.New(table.Options{})
			first, second := manager(rows, "a"), manager(rows, "b")
			old, err := first.Acquire(ctx, "duty")
			Expect(err).NotTo(HaveOccurred())
			_, _ = second.Acquire(ctx, "duty")
			// The holder is paused between its check of the lease and its write.
			Expect(old.Valid()).To(BeTrue())
			time.Sleep(length)
			Expect(old.Valid()).To(BeFalse())
			fresh, err := second.Acquire(ctx, "duty")
			Expect(err).NotTo(HaveOccurred())
			Expect(rows.Commit(ctx, old.Fenced(fenced))).To(MatchError(store.ErrConflict))
			Expect(rows.Commit(ctx, fresh.Fenced(fenced))).To(Succeed())
			Expect(first.Renew(ctx, old)).To(MatchError(lease.ErrHeld))
		})
	})

	It("is extended from the time before a renewal was sent", func() {
		suite.Paused(func() {
			rows := table.New(table.Options{})
			m := manager(rows, "a")
			l, err := m.Acquire(ctx, "duty")
			Expect(err).NotTo(HaveOccurred())
			rows.Inject(table.Fault{Kind: table.FaultSlow, Delay: 3 * time.Second, Writes: true, Count: 1})
			sent := time.Now()
			Expect(m.Renew(ctx, l)).To(Succeed())
			Expect(time.Since(sent)).To(Equal(3 * time.Second))
			Expect(l.Remaining()).To(BeNumerically("<=", length-3*time.Second))
		})
	})

	It("stays valid when the reply to a renewal is lost", func() {
		suite.Paused(func() {
			rows := table.New(table.Options{})
			m := manager(rows, "a")
			l, err := m.Acquire(ctx, "duty")
			Expect(err).NotTo(HaveOccurred())
			for range 5 {
				time.Sleep(length / 2)
				rows.Inject(table.Fault{Kind: table.FaultLoseReply, Count: 1})
				Expect(m.Renew(ctx, l)).To(Succeed())
				Expect(l.Valid()).To(BeTrue())
			}
		})
	})

	It("is released when its duty returns, so that it can be acquired again at once", func() {
		suite.Paused(func() {
			rows := table.New(table.Options{})
			running, cancel := context.WithCancel(ctx)
			runs := 0
			var wait sync.WaitGroup
			wait.Go(func() {
				manager(rows, "a").Run(running, "duty", func(context.Context, *lease.Lease) { runs++ })
			})
			time.Sleep(3 * length)
			cancel()
			wait.Wait()
			Expect(runs).To(BeNumerically(">", 5))
		})
	})

	It("has at most one holder at a time under faults", func() {
		suite.Paused(func() {
			rows := table.New(table.Options{})
			running, cancel := context.WithCancel(ctx)
			var mu sync.Mutex
			var spans []holdSpan
			var wait sync.WaitGroup
			doors := map[string]*table.Door{}
			for _, host := range []string{"a", "b", "c"} {
				door := table.NewDoor(rows)
				doors[host] = door
				wait.Go(func() {
					manager(door, host).Run(running, "duty", func(ctx context.Context, l *lease.Lease) {
						spanStart, last := time.Now(), time.Now()
						for l.Valid() && ctx.Err() == nil {
							last = time.Now()
							time.Sleep(50 * time.Millisecond)
						}
						mu.Lock()
						defer mu.Unlock()
						spans = append(spans, holdSpan{host, l.Epoch(), spanStart, last})
					})
				})
			}
			for i := range 60 {
				victim := doors[[]string{"a", "b", "c"}[i%3]]
				switch i % 4 {
				case 0:
					victim.Freeze(true)
					time.AfterFunc(2*length, func() { victim.Freeze(false) })
				case 1:
					victim.Cut(true)
					time.AfterFunc(length, func() { victim.Cut(false) })
				case 2:
					rows.Inject(table.Fault{Kind: table.FaultLoseReply, Count: 2})
				case 3:
					rows.Inject(table.Fault{Kind: table.FaultSlow, Delay: length / 2, Count: 3})
				}
				time.Sleep(length)
			}
			rows.Heal()
			time.Sleep(5 * length)
			cancel()
			for _, d := range doors {
				d.Freeze(false)
			}
			wait.Wait()
			Expect(len(spans)).To(BeNumerically(">", 10))
			var history []porcupine.Operation
			for i, s := range spans {
				history = append(history, porcupine.Operation{
					ClientId: i, Input: s.epoch, Call: s.start.UnixNano(), Output: nil, Return: s.end.UnixNano(),
				})
				for _, other := range spans[i+1:] {
					Expect(s.end.Before(other.start) || other.end.Before(s.start)).To(BeTrue(), "%v and %v overlap", s, other)
				}
			}
			Expect(porcupine.CheckOperations(lockModel, history)).To(BeTrue())
		})
	})
})
