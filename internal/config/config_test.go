package config_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/standin/table"
)

func change(id string) config.Change {
	return config.Change{CommandID: id, Operator: "op-" + id, Command: "command " + id}
}

// headModel is the sequential model of the configuration head: a command is accepted if and only if
// its base is the head.
var headModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		head, base, number := state.(int64), input.(int64), output.(int64)
		if number == 0 {
			return head != base, head
		}
		return head == base && number == base+1, number
	},
}

var _ = Describe("Log", func() {
	ctx := context.Background()

	It("accepts only one of two commands based on the same revision and names the accepted one", func() {
		suite.Paused(func() {
			log := config.NewLog(table.New(table.Options{}))
			_, err := log.Accept(ctx, 0, change("one"))
			Expect(err).NotTo(HaveOccurred())
			_, err = log.Accept(ctx, 0, change("two"))
			var conflict *config.ConflictError
			Expect(err).To(BeAssignableToTypeOf(conflict))
			Expect(err).To(MatchError(config.ErrConflict))
			Expect(err.Error()).To(And(ContainSubstring("op-one"), ContainSubstring("command one")))
		})
	})

	storeFaults := map[string][]table.Fault{
		"one lost reply":           {{Kind: table.FaultLoseReply, Count: 1}},
		"two lost replies":         {{Kind: table.FaultLoseReply, Count: 2}},
		"a lost reply, then down":  {{Kind: table.FaultLoseReply, Count: 1}, {Kind: table.FaultDown, Count: 2}},
		"down for a few calls":     {{Kind: table.FaultDown, Count: 3}},
		"stale reads after a loss": {{Kind: table.FaultLoseReply, Count: 1}, {Kind: table.FaultStale, Count: 2}},
	}
	for name, faults := range storeFaults {
		It("determines the outcome of "+name+" by the command id", func() {
			suite.Paused(func() {
				store := table.New(table.Options{})
				log := config.NewLog(store)
				_, err := log.Accept(ctx, 0, change("first"))
				Expect(err).NotTo(HaveOccurred())
				for _, f := range faults {
					store.Inject(f)
				}
				r, err := log.Accept(ctx, 1, change("second"))
				Expect(err).NotTo(HaveOccurred())
				Expect(r.Number).To(Equal(int64(2)))
				newest, err := log.Newest(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(newest.CommandID).To(Equal("second"))
			})
		})
	}

	It("returns ErrUnsettled while the outcome is unknown, and accepts the change on a repeated call", func() {
		suite.Paused(func() {
			store := table.New(table.Options{})
			log := config.NewLog(store)
			store.Inject(table.Fault{Kind: table.FaultLoseReply, Count: 1})
			store.Inject(table.Fault{Kind: table.FaultDown, Writes: true})
			time.AfterFunc(time.Millisecond, func() {})
			limited, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			_, err := log.Accept(limited, 0, change("only"))
			Expect(err).To(MatchError(config.ErrUnsettled))
			store.Heal()
			r, err := log.Accept(ctx, 0, change("only"))
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Number).To(Equal(int64(1)))
		})
	})

	It("is linearizable with concurrent operators and store faults", func() {
		suite.Paused(func() {
			store := table.New(table.Options{})
			var mu sync.Mutex
			var history []porcupine.Operation
			var wait sync.WaitGroup
			for operator := range 4 {
				wait.Go(func() {
					log := config.NewLog(store)
					for i := range 12 {
						base, err := log.HeadNumber(ctx)
						if err != nil {
							time.Sleep(50 * time.Millisecond)
							continue
						}
						start := time.Now()
						r, err := log.Accept(ctx, base, change(fmt.Sprintf("%d-%d", operator, i)))
						if err != nil {
							r.Number = 0
							if !isConflict(err) {
								continue // the outcome is unknown
							}
						}
						mu.Lock()
						history = append(history, porcupine.Operation{
							ClientId: operator, Input: base, Output: r.Number, Call: start.UnixNano(), Return: time.Now().UnixNano(),
						})
						mu.Unlock()
						time.Sleep(time.Duration(operator+1) * 7 * time.Millisecond)
					}
				})
			}
			for range 10 {
				time.Sleep(30 * time.Millisecond)
				store.Inject(table.Fault{Kind: table.FaultLoseReply, Count: 2})
				store.Inject(table.Fault{Kind: table.FaultSlow, Delay: 20 * time.Millisecond, Count: 3})
			}
			wait.Wait()
			Expect(len(history)).To(BeNumerically(">", 20))
			Expect(porcupine.CheckOperations(headModel, history)).To(BeTrue())
		})
	})
})

func isConflict(err error) bool {
	var conflict *config.ConflictError
	return errors.As(err, &conflict)
}

var _ = Describe("Holder", func() {
	It("never reverts, in whatever order revisions arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := config.NewHolder()
			highest := int64(0)
			for _, n := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "numbers") {
				applied := h.Apply(config.Revision{Number: n})
				if applied != (n > highest) {
					t.Fatalf("applied %d after %d: %v", n, highest, applied)
				}
				highest = max(highest, n)
				if h.Number() != highest {
					t.Fatalf("in force %d, want %d", h.Number(), highest)
				}
			}
		})
	})

	It("counts a confirmation only for the revision in force", func() {
		suite.Paused(func() {
			h := config.NewHolder()
			h.Apply(config.Revision{Number: 2})
			h.Confirm(1, clock.Now())
			_, known := h.Age()
			Expect(known).To(BeFalse())
			h.Confirm(2, clock.Now())
			time.Sleep(3 * time.Second)
			age, known := h.Age()
			Expect(known).To(BeTrue())
			Expect(age).To(Equal(3 * time.Second))
		})
	})
})

var _ = Describe("Snapshot", func() {
	It("finds a workspace by its key and lists only the versions that it may use", func() {
		d := declare.Declarations{
			Models: []declare.Model{
				{Name: "a", Versions: []declare.Version{{Name: "1", State: declare.StateServing}, {Name: "2", State: declare.StateServing}}},
				{Name: "b", Versions: []declare.Version{{Name: "1", State: declare.StateServing}}},
			},
			Workspaces: []declare.Workspace{{Name: "w", Keys: []declare.Key{{Name: "k", Hash: config.HashKey("secret")}}, Allow: []string{"a@2"}, Concurrency: 1}},
		}
		s := config.NewSnapshot(config.Revision{Number: 1, Declarations: d})
		w, ok := s.WorkspaceOfKey("secret")
		Expect(ok).To(BeTrue())
		Expect(w.Name).To(Equal("w"))
		_, ok = s.WorkspaceOfKey("other")
		Expect(ok).To(BeFalse())
		Expect(s.Candidates("w", "a")).To(HaveLen(1))
		Expect(s.Candidates("w", "b")).To(BeEmpty())
	})
})
