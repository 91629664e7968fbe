package faults_test

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/check"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/operator"
	"quaybarrow/internal/standin/caller"
	"quaybarrow/internal/standin/cluster"
	"quaybarrow/internal/standin/engine"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/store"
)

// Versions of the world.
var (
	supportOne = declare.Ref{Model: "support", Version: "1"}
	supportTwo = declare.Ref{Model: "support", Version: "2"}
	supportNew = declare.Ref{Model: "support", Version: "3"}
	foreign    = declare.Ref{Model: "foreign", Version: "1"} // nobody may use it
)

// good is what is true of a good version.
var good = engine.Profile{Quality: 1}

const key = "key-of-clerks"

// settled is long enough for everything that a fault left behind to be put
// right: leases lapse after 3 s, lost hosts are noticed after 10 s, lost jobs
// after 15 s, and retries back off to 8 s.
const settled = 75 * time.Second

// world is a cluster under a paused clock, with a caller and a recorder.
type world struct {
	ctx    context.Context
	c      *cluster.Cluster
	who    *caller.Caller
	cancel context.CancelFunc

	recording sync.WaitGroup
	mu        sync.Mutex // guards all below
	applied   []check.Applied
	withdrawn []check.Withdrawal
	leavings  []check.Leaving
	out       int               // host that the balancer leaves out, counted from 1
	planned   bool              // all stops were planned
	doubled   bool              // the history shows each bill twice
	swapped   map[string]string // answers that the history gives to others
}

func declarations() declare.Declarations {
	version := func(name string, state declare.State) declare.Version {
		return declare.Version{Name: name, State: state, InputCost: 1, OutputCost: 2, Quality: 0.9}
	}
	return cluster.Declared(declare.Declarations{
		Models: []declare.Model{{Name: "support", Versions: []declare.Version{
			version("1", declare.StateServing), version("2", declare.StateServing), version("3", declare.StateStaged),
		}}},
		Services: []declare.Service{{Name: "payouts", Calls: []declare.Call{{Name: "pay"}, {Name: "balance", Repeatable: true}}}},
		Plans:    []declare.Plan{{Name: "three", Version: supportNew.String(), Window: 4, Floor: 0.6, Ratings: 10, RatingTimeout: 30}},
		Workspaces: []declare.Workspace{{
			Name: "clerks", Keys: []declare.Key{{Name: "a", Hash: config.HashKey(key)}}, Allow: []string{"support"},
			Concurrency: 32, Services: []string{"payouts"},
		}},
	})
}

// newWorld starts a cluster of hosts with three engines.
func newWorld(hosts int) *world {
	ctx, cancel := context.WithCancel(context.Background())
	times := cluster.FastTimes()
	times.Poll, times.Ping, times.HostList, times.Load = time.Second, 500*time.Millisecond, time.Second, time.Second
	c, err := cluster.New(ctx, cluster.Options{
		Memory: true, Hosts: hosts, Engines: 3, Services: []string{"payouts"}, ServiceDelay: 20 * time.Millisecond,
		Engine: engine.Options{Token: 20 * time.Millisecond, LoadLag: 200 * time.Millisecond, LoadTime: 100 * time.Millisecond},
		Profiles: map[declare.Ref]engine.Profile{
			supportOne: {Quality: 1}, supportTwo: {Quality: 1}, supportNew: {Quality: 1},
		},
		Times:        &times,
		Store:        table.Options{ListLag: 500 * time.Millisecond},
		Declarations: declarations(),
		Rate:         rateGood,
	})
	Expect(err).NotTo(HaveOccurred())
	w := &world{ctx: ctx, c: c, who: caller.New(c.Client()), cancel: cancel}
	w.recording.Go(func() { w.record(ctx) })
	return w
}

// rateGood rates each answer after a second, as good as it is.
func rateGood(c *cluster.Cluster, run engine.Run) {
	score := 0.0
	if c.Engines[0].Good(run) {
		score = 1
	}
	time.AfterFunc(time.Second, func() {
		c.Store.Rate(store.Rating{RequestID: run.RequestID, Version: run.Version.String(), Score: score})
	})
}

// record notes which revision each host has in force, again and again.
func (w *world) record(ctx context.Context) {
	for clock.Sleep(ctx, 250*time.Millisecond) {
		for _, h := range w.c.Hosts {
			d := h.Daemon()
			if d == nil {
				continue
			}
			status := d.State.Status()
			w.mu.Lock()
			w.applied = append(w.applied, check.Applied{Host: h.Name, Incarnation: status.Incarnation, Revision: status.Revision})
			w.mu.Unlock()
		}
	}
}

func (w *world) close() {
	w.cancel()
	w.recording.Wait()
	w.c.Close()
	// Ratings and forgotten streams still have timers.
	time.Sleep(time.Minute)
}

// chat asks the support model through a host.
func (w *world) chat(host int, change func(*caller.Ask)) caller.Result {
	a := caller.Ask{
		Address: w.c.Hosts[host].Callers(), Key: key, Workspace: "clerks", Model: "support", Kind: check.KindPlain,
	}
	if change != nil {
		change(&a)
	}
	ctx, cancel := context.WithTimeout(w.ctx, 40*time.Second)
	defer cancel()
	return w.who.Chat(ctx, a)
}

// pay requests a payout through a host, under a key.
func (w *world) pay(host int, key2 string) caller.Result {
	ctx, cancel := context.WithTimeout(w.ctx, 40*time.Second)
	defer cancel()
	return w.who.Serve(ctx, caller.Ask{
		Address: w.c.Hosts[host].Callers(), Key: key, Workspace: "clerks", Service: "payouts", Call: "pay",
		IdempotencyKey: key2, Nonrepeatable: true, Prompt: "clerks/payouts.pay/" + key2,
	})
}

// do runs a command through a host; an outcome in force is noted.
func (w *world) do(host int, text string) (operator.Outcome, error) {
	ctx, cancel := context.WithTimeout(w.ctx, 30*time.Second)
	defer cancel()
	reply, err := w.c.Operator(w.c.Hosts[host]).Do(ctx, operator.DoRequest{Base: operator.BaseNewest, Text: text, WaitMS: 5000})
	if err != nil || reply.Outcome == nil {
		return operator.Outcome{}, err
	}
	return *reply.Outcome, nil
}

func (w *world) withdraw(host int, ref declare.Ref) (operator.Outcome, error) {
	outcome, err := w.do(host, "withdraw "+ref.String())
	if err == nil && outcome.Everywhere {
		w.mu.Lock()
		w.withdrawn = append(w.withdrawn, check.Withdrawal{Version: ref, At: time.Now()})
		w.mu.Unlock()
	}
	return outcome, err
}

// history is everything recorded so far.
func (w *world) history() check.History {
	h := w.c.History(w.who.Observations())
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Applied, h.Withdrawals, h.Leavings, h.Planned = w.applied, w.withdrawn, w.leavings, w.planned
	if w.doubled {
		h.Bills = append(h.Bills, h.Bills...)
	}
	for i, o := range h.Observations {
		if other, ok := w.swapped[o.Prompt]; ok {
			h.Observations[i].Prompt = other
		}
	}
	return h
}

// swap makes the history give one prompt's answer to another's caller.
func (w *world) swap(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.swapped = map[string]string{from: to}
}

// expectPromises judges the history.
func (w *world) expectPromises() {
	ginkgo.GinkgoHelper()
	Expect(check.Verify(w.history()).Violations()).To(BeEmpty())
}
