package faults_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/check"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/standin/caller"
	"quaybarrow/internal/standin/engine"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/standin/table"
)

// load sends requests through the live hosts, a few each second, until stopped.
// It returns a function that stops it.
func (w *world) load(change func(*caller.Ask)) func() {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			if host := i % len(w.c.Hosts); w.inBalancer(host) {
				go w.chat(host, change)
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
		time.Sleep(45 * time.Second)
	}
}

// inBalancer reports whether the balancer sends to a host.
func (w *world) inBalancer(host int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.c.Hosts[host].Daemon() != nil && w.out != host+1
}

func (w *world) setOut(host int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out = host + 1
}

// scenarios are longer stories than a cell of the matrix.
var scenarios = map[string]func(w *world){
	"a rolling restart of all hosts under load loses and refuses nothing": func(w *world) {
		stop := w.load(func(a *caller.Ask) { a.Stream = true })
		for i, h := range w.c.Hosts {
			w.setOut(i)
			Expect(w.c.Stop(w.ctx, h)).To(Succeed())
			time.Sleep(time.Second)
			Expect(w.c.Start(w.ctx, h)).To(Succeed())
			time.Sleep(5 * time.Second)
			w.setOut(-1)
			time.Sleep(2 * time.Second)
		}
		stop()
		w.planned = true
		report := check.Verify(w.history())
		Expect(report.Answered).To(Equal(report.Requests))
	},
	"an hour without the tables loses no bill": func(w *world) {
		w.c.Store.Inject(table.Fault{Kind: table.FaultDown})
		for range 60 {
			for host := range w.c.Hosts {
				Expect(w.chat(host, nil).Answered).To(BeTrue())
			}
			time.Sleep(time.Minute)
		}
		for _, h := range w.c.Hosts {
			_, pending, held := h.Daemon().Ledger.Size()
			Expect(pending).To(Equal(60))
			Expect(held).To(Equal(120))
		}
		w.c.Store.Heal()
		time.Sleep(settled)
		Expect(w.c.Store.Rows(billing.TableBills)).To(HaveLen(180))
		for _, h := range w.c.Hosts {
			open, pending, held := h.Daemon().Ledger.Size()
			Expect(open + pending + held).To(BeZero())
		}
	},
	"hosts that die during an outage leave their bills to others": func(w *world) {
		w.c.Store.Inject(table.Fault{Kind: table.FaultDown})
		for range 5 {
			w.chat(0, nil)
			w.chat(1, nil)
		}
		w.c.Crash(w.c.Hosts[0])
		time.Sleep(30 * time.Second)
		w.c.Store.Heal()
		time.Sleep(settled)
		Expect(w.c.Store.Rows(billing.TableBills)).To(HaveLen(10))
	},
	"a leaving engine gets nothing new after three seconds": func(w *world) {
		stop := w.load(nil)
		time.Sleep(3 * time.Second)
		w.c.Leave(0)
		w.mu.Lock()
		w.leavings = append(w.leavings, check.Leaving{Engine: "engine-1", At: time.Now().Add(3 * time.Second)})
		w.mu.Unlock()
		time.Sleep(20 * time.Second)
		stop()
	},
	"a host cut off from everyone refuses work and says not run": func(w *world) {
		w.c.Isolate(w.c.Hosts[2], true)
		time.Sleep(20 * time.Second)
		r := w.chat(2, nil)
		Expect(r.Code).To(Equal(problem.CodeBilling))
		Expect(r.Run).To(Equal(problem.NotRun))
		w.c.Isolate(w.c.Hosts[2], false)
		time.Sleep(5 * time.Second)
		Expect(w.chat(2, nil).Answered).To(BeTrue())
	},
	hallScenario: func(w *world) {
		near, far := w.c.Hosts[2], w.c.Hosts[5]
		Expect(near.Hall).To(Equal(far.Hall))
		w.c.Isolate(near, true)
		w.c.Isolate(far, true)
		w.c.Peers.SetPartitioned(near.Peers(), far.Peers(), false)
		outcome, err := w.withdraw(0, supportTwo)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Everywhere).To(BeFalse())
		Expect(outcome.InForce.Lagging).To(ConsistOf("entry-3", "entry-6"))
		time.Sleep(time.Minute)
		// The hall's two hosts keep each other's bills and serve what has proven
		// itself.
		Expect(w.chat(2, func(a *caller.Ask) { a.Model = supportOne.String() }).Answered).To(BeTrue())
		w.c.Isolate(near, false)
		w.c.Isolate(far, false)
		time.Sleep(5 * time.Second)
		Expect(w.c.Hosts[2].Daemon().Config.Current().State(supportTwo)).To(Equal(declare.StateWithdrawn))
		Expect(w.chat(2, func(a *caller.Ask) { a.Model = supportTwo.String() }).Run).To(Equal(problem.NotRun))
	},
	"a stream that breaks is resumed where it broke, and is whole": func(w *world) {
		for _, after := range []int{1, 3, 8} {
			for _, e := range w.c.Engines {
				e.BreakAfter(after)
			}
			r := w.chat(0, func(a *caller.Ask) { a.Stream = true })
			Expect(r.Answered && r.Ended).To(BeTrue(), "%+v", r)
			Expect(r.Answer).To(Equal("re: " + r.Prompt + " t1 t2 t3 t4 t5 t6 t7 t8 t9 t10 t11"))
		}
	},
	"a hung engine delays a request and does not lose it": func(w *world) {
		w.c.Engines[0].SetHung(true)
		for range 6 {
			Expect(w.chat(0, nil).Answered).To(BeTrue())
		}
	},
	"an answer for another request is never passed on": func(w *world) {
		w.c.Engines[0].SetMixing(true)
		for range 12 {
			Expect(w.chat(0, nil).Answered).To(BeTrue())
		}
	},
	"a withdrawn version ends its sessions and says so": func(w *world) {
		var token string
		ask := func() caller.Result {
			return w.chat(0, func(a *caller.Ask) {
				a.Model, a.Session = supportTwo.String(), "talk"
				a.SessionToken, a.NewSession = token, token == ""
			})
		}
		token = ask().SessionToken
		Expect(token).NotTo(BeEmpty())
		_, err := w.do(1, "retire "+supportTwo.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(ask().Answered).To(BeTrue())
		_, err = w.withdraw(1, supportTwo)
		Expect(err).NotTo(HaveOccurred())
		r := ask()
		Expect(r.Code).To(Equal(problem.CodeSessionEnded))
		Expect(r.Run).To(Equal(problem.NotRun))
	},
	"a bad version in roll-out is withdrawn after few answers": func(w *world) {
		for _, e := range w.c.Engines {
			e.SetProfile(supportNew, engine.Profile{Quality: 0.1})
		}
		_, err := w.do(0, "canary "+supportNew.String())
		Expect(err).NotTo(HaveOccurred())
		stop := w.load(nil)
		Eventually(func() declare.State { return w.c.Hosts[1].Daemon().Config.Current().State(supportNew) }).
			WithTimeout(2 * time.Minute).WithPolling(time.Second).Should(Equal(declare.StateWithdrawn))
		stop()
		Expect(w.runsOf(supportNew)).To(BeNumerically("<", 25))
	},
	"a version in roll-out that fails outright is withdrawn without a rating": func(w *world) {
		for _, e := range w.c.Engines {
			e.SetProfile(supportNew, engine.Profile{Fails: true})
		}
		_, err := w.do(0, "canary "+supportNew.String())
		Expect(err).NotTo(HaveOccurred())
		stop := w.load(nil)
		Eventually(func() declare.State { return w.c.Hosts[1].Daemon().Config.Current().State(supportNew) }).
			WithTimeout(5 * time.Minute).WithPolling(time.Second).Should(Equal(declare.StateWithdrawn))
		stop()
	},
	"an operator holds a roll-out and lets it go on": func(w *world) {
		_, err := w.do(0, "hold three")
		Expect(err).NotTo(HaveOccurred())
		_, err = w.do(0, "canary "+supportNew.String())
		Expect(err).NotTo(HaveOccurred())
		stop := w.load(nil)
		time.Sleep(20 * time.Second)
		Expect(w.runsOf(supportNew)).To(BeZero())
		_, err = w.do(0, "resume three")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() declare.State { return w.c.Hosts[1].Daemon().Config.Current().State(supportNew) }).
			WithTimeout(5 * time.Minute).WithPolling(time.Second).Should(Equal(declare.StateServing))
		stop()
	},
	"all hosts started at once on a store that is down serve when it is back": func(w *world) {
		for _, h := range w.c.Hosts {
			w.c.Crash(h)
		}
		w.c.Store.Inject(table.Fault{Kind: table.FaultDown})
		for _, h := range w.c.Hosts {
			Expect(w.c.Start(w.ctx, h)).To(Succeed())
		}
		time.Sleep(10 * time.Second)
		r := w.chat(0, nil)
		Expect(r.Code).To(Equal(problem.CodeNoConfig))
		Expect(r.Run).To(Equal(problem.NotRun))
		w.c.Store.Heal()
		time.Sleep(5 * time.Second)
		for host := range w.c.Hosts {
			Expect(w.chat(host, nil).Answered).To(BeTrue())
		}
	},
}

// hallScenario is the one that needs two hosts in each data hall.
const hallScenario = "a data hall cut off for a minute comes back to the newest configuration"

// hostsOf is how many hosts a scenario has.
func hostsOf(scenario string) int {
	if scenario == hallScenario {
		return 6
	}
	return 3
}

// runsOf counts the dispatches of a version.
func (w *world) runsOf(ref declare.Ref) int {
	count := 0
	for _, run := range w.history().EngineRuns {
		if run.Version == ref {
			count++
		}
	}
	return count
}

var _ = Describe("scenarios", func() {
	for name, play := range scenarios {
		It(name, func() {
			suite.Paused(func() {
				w := newWorld(hostsOf(name))
				defer w.close()
				time.Sleep(5 * time.Second) // the first versions have proven themselves
				play(w)
				time.Sleep(settled)
				w.expectPromises()
			})
		})
	}
})
