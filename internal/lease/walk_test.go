package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/lease"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/standin/table"
)

// handoverDelay is the time within which hosts must not alternate in actions that are not fenced.
const handoverDelay = 3 * length / 4

// contender is a host that acquires a lease and performs actions that the store can't fence.
type contender struct {
	name        string
	incarnation int
	timing      timing
	rows        *table.Store
	m           *lease.Manager
	l           *lease.Lease
}

// timing holds the lease options of a contender.
type timing struct{ length, handoverDelay time.Duration }

// correctTiming holds the options under which no violation may occur.
var correctTiming = timing{length, handoverDelay}

func newContender(name string, rows *table.Store, t timing) *contender {
	c := &contender{name: name, rows: rows, timing: t}
	c.restart()
	return c
}

// restart simulates a kill and a start: the host loses its state.
func (c *contender) restart() {
	c.incarnation++
	c.l = nil
	c.m = lease.NewManager(lease.Options{Tables: c.rows, Host: c.name, Incarnation: fmt.Sprint(c.name, c.incarnation), Length: c.timing.length, HandoverDelay: c.timing.handoverDelay})
}

// step renews the lease or tries to acquire it; if lost, the reply of the store's next write is lost.
func (c *contender) step(lost bool) {
	if lost {
		c.rows.Inject(table.Fault{Kind: table.FaultLoseReply, Writes: true, Count: 1})
	}
	if c.l != nil && c.l.Valid() {
		_ = c.m.Renew(context.Background(), c.l)
	} else {
		c.l, _ = c.m.Acquire(context.Background(), "duty")
	}
	c.rows.Heal()
}

func (c *contender) release() {
	if c.l != nil && c.l.Valid() {
		_ = c.m.Release(context.Background(), c.l)
	}
}

// unfencedAction is an action that the store can't fence.
type unfencedAction struct {
	at    time.Time
	host  string
	token int64
}

func (c *contender) act() []unfencedAction {
	if c.l == nil || !c.l.Valid() || c.l.UnfencedWait() > 0 {
		return nil
	}
	return []unfencedAction{{time.Now(), c.name, c.l.Epoch()}}
}

// walk is the state of a random or exhaustive walk: two hosts and the actions they have performed.
type walk struct {
	hosts   [2]*contender
	actions []unfencedAction
}

// moves are the possible steps of a walk.
var moves = map[int]func(w *walk){
	0: func(w *walk) { w.hosts[0].step(false) },
	1: func(w *walk) { w.hosts[1].step(false) },
	2: func(w *walk) { w.hosts[0].step(true) },
	3: func(w *walk) { w.hosts[1].step(true) },
	4: func(w *walk) { w.actions = append(w.actions, w.hosts[0].act()...) },
	5: func(w *walk) { w.actions = append(w.actions, w.hosts[1].act()...) },
	6: func(w *walk) { time.Sleep(length / 2) },
	7: func(w *walk) { w.hosts[0].restart() },
	8: func(w *walk) { w.hosts[0].release() },
	9: func(w *walk) { w.hosts[1].release() },
}

// violation describes the first rule that the actions violate; it is empty if there is none.
func violation(actions []unfencedAction) string {
	holders := map[int64]string{}
	for i, a := range actions {
		if other, ok := holders[a.token]; ok && other != a.host {
			return fmt.Sprintf("token %d of %s and of %s", a.token, other, a.host)
		}
		holders[a.token] = a.host
		between := false
		for j := i - 1; j >= 0; j-- {
			b := actions[j]
			switch {
			case b.token > a.token:
				return fmt.Sprintf("token %d after %d", a.token, b.token)
			case b.host != a.host:
				between = true
			case between && a.at.Sub(b.at) < handoverDelay:
				return fmt.Sprintf("%s acts %s after it did, and another in between", a.host, a.at.Sub(b.at))
			}
		}
	}
	return ""
}

// run executes a series of moves by two hosts with the given timings and returns the violation.
func run(series []int, first, second timing) string {
	rows := table.New(table.Options{})
	w := &walk{hosts: [2]*contender{newContender("a", rows, first), newContender("b", rows, second)}}
	for _, move := range series {
		moves[move](w)
	}
	return violation(w.actions)
}

// eachSeries calls each with every series of moves of a length, until it returns false.
func eachSeries(length int, each func(series []int) bool) {
	series := make([]int, length)
	for {
		if !each(series) {
			return
		}
		i := 0
		for ; i < length; i++ {
			series[i]++
			if series[i] < len(moves) {
				break
			}
			series[i] = 0
		}
		if i == length {
			return
		}
	}
}

// Lengths, number and random stream of walks.
const (
	shortWalk    = 4
	longWalk     = 60
	walkSeeds    = 2000
	randomStream = 7
)

// randomSeries returns a long random series of moves.
func randomSeries(seed uint64) []int {
	r := rand.New(rand.NewPCG(seed, randomStream))
	series := make([]int, longWalk)
	for i := range series {
		series[i] = r.IntN(len(moves))
	}
	return series
}

var _ = Describe("two hosts with unfenced actions under a lease", func() {
	It("violate no rule in any short series of moves", func() {
		suite.Paused(func() {
			// Initially one host holds the lease, or both have acted under it.
			for _, before := range [][]int{{0, 4}, {0, 4, 8, 1, 6, 6, 5}} {
				eachSeries(shortWalk, func(series []int) bool {
					all := append(append([]int{}, before...), series...)
					Expect(run(all, correctTiming, correctTiming)).To(BeEmpty(), "%v", all)
					return true
				})
			}
		})
	})

	It("violate no rule in long random series of moves", func() {
		suite.Paused(func() {
			for seed := range uint64(walkSeeds) {
				Expect(run(randomSeries(seed), correctTiming, correctTiming)).To(BeEmpty(), "seed %d", seed)
			}
		})
	})

	for name, timings := range map[string][2]timing{
		"acquires leases that are still held":          {correctTiming, {length / 4, handoverDelay}},
		"acts at once under a lease that was released": {{length, 0}, {length, 0}},
	} {
		It("are found to violate a rule where one host "+name, func() {
			suite.Paused(func() {
				found := 0
				for seed := range uint64(walkSeeds) {
					if run(randomSeries(seed), timings[0], timings[1]) != "" {
						found++
					}
				}
				Expect(found).To(BeNumerically(">", 0))
			})
		})
	}
})
