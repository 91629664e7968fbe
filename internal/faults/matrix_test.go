package faults_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/standin/table"
)

// step is a row of the matrix: a step of a request, a configuration change, a
// roll-out, a job or an order, and the work that passes through it.
type step struct {
	hosts  int    // of the cluster; 0 means 3
	table  string // the table whose write is this step; empty if it writes none
	skip   int    // writes of that table that come before this step's
	engine bool   // an engine is asked in this step
	peers  bool   // other hosts are asked in this step
	// drive does the work, through host 0 first, and checks that it comes to a
	// good end once the fault is healed.
	drive func(w *world, healed func())
}

// fault is a column of the matrix.
type fault struct {
	// absent says why the fault can't occur at a step; empty if it can.
	absent func(s step) string
	// strike puts the fault in force; times is 1, or 2 for twice in a row. The
	// function it returns heals what does not heal by itself.
	strike func(w *world, s step, times int) func()
}

func writesTable(s step) string {
	if s.table == "" {
		return "the step writes no table"
	}
	return ""
}

func asksEngine(s step) string {
	if !s.engine {
		return "no engine is asked in this step"
	}
	return ""
}

func always(step) string { return "" }

func severalHosts(s step) string {
	if s.hosts == 1 {
		return "the step is one of a host without others"
	}
	return ""
}

// faultColumns are the columns.
var faultColumns = map[string]fault{
	"reply lost after effect": {writesTable, func(w *world, s step, times int) func() {
		w.c.Store.Inject(table.Fault{Kind: table.FaultLoseReply, Table: s.table, Skip: s.skip, Count: times})
		return func() {}
	}},
	"store down": {always, func(w *world, _ step, times int) func() {
		w.c.Store.Inject(table.Fault{Kind: table.FaultDown})
		return func() {
			w.c.Store.Heal()
			if times > 1 {
				time.Sleep(3 * time.Second)
				w.c.Store.Inject(table.Fault{Kind: table.FaultDown})
				time.Sleep(20 * time.Second)
				w.c.Store.Heal()
			}
		}
	}},
	"store slow": {always, func(w *world, _ step, times int) func() {
		w.c.Store.Inject(table.Fault{Kind: table.FaultSlow, Delay: time.Duration(times) * 1500 * time.Millisecond})
		return w.c.Store.Heal
	}},
	"store replies stale": {always, func(w *world, s step, times int) func() {
		count := 0
		if s.table != "" {
			count = 10 * times
		}
		w.c.Store.Inject(table.Fault{Kind: table.FaultStale, Table: s.table, Count: count})
		return w.c.Store.Heal
	}},
	"endpoint dies before": {asksEngine, func(w *world, _ step, times int) func() {
		for i := range times {
			w.c.CutEngine(i, true)
		}
		return func() { cutAll(w, false) }
	}},
	"endpoint dies during": {asksEngine, func(w *world, _ step, times int) func() {
		time.AfterFunc(90*time.Millisecond, func() { cutAll(w, true) })
		if times > 1 {
			time.AfterFunc(500*time.Millisecond, func() { cutAll(w, false) })
			time.AfterFunc(600*time.Millisecond, func() { cutAll(w, true) })
		}
		return func() { cutAll(w, false) }
	}},
	"endpoint dies after": {asksEngine, func(w *world, _ step, times int) func() {
		time.AfterFunc(time.Duration(times)*time.Second, func() { cutAll(w, true) })
		return func() {
			time.Sleep(3 * time.Second)
			cutAll(w, false)
		}
	}},
	"host killed": {always, killHost},
	"host paused past its lease": {always, func(w *world, _ step, times int) func() {
		h := w.c.Hosts[0]
		pause := func() {
			h.Door().Freeze(true)
			time.AfterFunc(8*time.Second, func() { h.Door().Freeze(false) })
		}
		pause()
		if times > 1 {
			time.AfterFunc(9*time.Second, pause)
		}
		return func() {}
	}},
	"peer cut off": {severalHosts, func(w *world, _ step, times int) func() {
		victim := w.c.Hosts[0]
		w.c.Isolate(victim, true)
		return func() {
			w.c.Isolate(victim, false)
			if times > 1 {
				time.Sleep(3 * time.Second)
				w.c.Isolate(victim, true)
				time.Sleep(10 * time.Second)
				w.c.Isolate(victim, false)
			}
		}
	}},
}

func cutAll(w *world, on bool) {
	for i := range w.c.Engines {
		w.c.CutEngine(i, on)
	}
}

// killHost ends host 0 at the step, and the host after it too when it strikes
// twice; each is replaced by a new process.
func killHost(w *world, s step, times int) func() {
	kill := func(index int) func() {
		return func() { w.c.CrashSoon(w.c.Hosts[index]) }
	}
	for i := range min(times, len(w.c.Hosts)) {
		if s.table != "" {
			w.c.Store.Inject(table.Fault{Kind: table.FaultCall, Table: s.table, Skip: s.skip, Count: 1, Do: kill(i)})
			continue
		}
		time.AfterFunc(time.Duration(50+100*i)*time.Millisecond, kill(i))
	}
	return func() {
		w.c.Store.Heal()
		for i := range min(times, len(w.c.Hosts)) {
			if w.c.Hosts[i].Daemon() == nil {
				Expect(w.c.Start(w.ctx, w.c.Hosts[i])).To(Succeed())
			}
		}
		time.Sleep(2 * time.Second)
	}
}

// struckFor is how long a fault lasts that has to be healed.
const struckFor = 20 * time.Second

// runCell runs one cell: the work with the fault, then the fault healed, time
// for what is left to be put right, and the judgement.
func runCell(s step, f fault, times int) {
	hosts := s.hosts
	if hosts == 0 {
		hosts = 3
	}
	w := newWorld(hosts)
	defer w.close()
	heal := f.strike(w, s, times)
	struck := time.Now()
	s.drive(w, func() {
		time.Sleep(time.Until(struck.Add(struckFor)))
		heal()
	})
	time.Sleep(settled)
	w.expectPromises()
}

var _ = Describe("the fault matrix", func() {
	for rowName, s := range stepRows {
		for columnName, f := range faultColumns {
			for times := 1; times <= 2; times++ {
				name := fmt.Sprintf("%s: %s, %d×", rowName, columnName, times)
				if reason := f.absent(s); reason != "" {
					page.absent(rowName, columnName, reason)
					continue
				}
				page.planned(rowName, columnName, times)
				It(name, func() {
					suite.Paused(func() { runCell(s, f, times) })
					page.passed(rowName, columnName, times)
				})
			}
		}
	}
})
