package duty_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/capacity"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/standin/table"
	"quaybarrow/platform/standin"
)

// platformCall is a call to the platform.
type platformCall struct{ path, holder, token, body string }

// invalidCalls are series of calls that violate the rule of one holder at a time.
var invalidCalls = map[string]struct {
	calls     []platformCall
	violation string
}{
	"two different reports of a window": {[]platformCall{
		{"/usage", "a", "1", `{"window":7,"counts":{"w":1}}`}, {"/usage", "a", "1", `{"window":7,"counts":{"w":2}}`},
	}, "window 7 was reported as"},
	"a token used by two hosts": {[]platformCall{
		{"/usage", "a", "1", `{"window":7,"counts":{}}`}, {"/usage", "b", "1", `{"window":8,"counts":{}}`},
	}, "token 1 of a and of b"},
	"a token that is lower than the one before": {[]platformCall{
		{"/scale", "a", "2", `{"service":"s","zone":"z","desired":1}`}, {"/scale", "b", "1", `{"service":"s","zone":"z","desired":1}`},
	}, "token 1 of b after 2 of a"},
	"hosts that act alternately": {[]platformCall{
		{"/usage", "a", "1", `{"window":7,"counts":{}}`}, {"/usage", "b", "2", `{"window":8,"counts":{}}`}, {"/usage", "a", "3", `{"window":9,"counts":{}}`},
	}, "another in between"},
}

// reportDelay is how long after a window's end its report is due.
const reportDelay = 10 * time.Second

// faults are injected into the host that holds the duties, the store or the platform. A seed picks
// from their names in sorted order, so a new name that sorts elsewhere changes what a seed runs.
var faults = map[string]func(r *rig){
	"nothing": func(*rig) {},
	"holder killed and restarted": func(r *rig) {
		name := r.holder()
		r.kill(name)
		time.Sleep(2 * time.Second)
		r.start(name)
	},
	// The holder stays down for 9 s, and the next host reaches all hosts but not the store.
	"holder lost while the store rejects the next host": func(r *rig) {
		name := r.holder()
		r.kill(name)
		for _, next := range r.names() {
			if n := r.node(next); r.alive(n) {
				n.door.Cut(true)
				defer n.door.Cut(false)
				break
			}
		}
		time.Sleep(9 * time.Second)
		r.start(name)
	},
	"holder stopped as planned": func(r *rig) {
		name := r.holder()
		r.terminate(name)
		time.Sleep(2 * time.Second)
		r.start(name)
	},
	"a store that loses replies": func(r *rig) {
		r.store.Inject(table.Fault{Kind: table.FaultLoseReply, Writes: true})
		time.Sleep(5 * time.Second)
		r.store.Heal()
	},
	"a store that is down": func(r *rig) {
		r.store.Inject(table.Fault{Kind: table.FaultDown})
		time.Sleep(4 * time.Second)
		r.store.Heal()
	},
	"a store that is slow": func(r *rig) {
		r.store.Inject(table.Fault{Kind: table.FaultSlow, Delay: 250 * time.Millisecond})
		time.Sleep(5 * time.Second)
		r.store.Heal()
	},
	"a store that rejects only the holder": func(r *rig) {
		n := r.node(r.holder())
		n.door.Cut(true)
		time.Sleep(5 * time.Second)
		n.door.Cut(false)
	},
	"a platform that loses replies": func(r *rig) {
		r.platform.SetFault(standin.DropCommitReplies)
		time.Sleep(4 * time.Second)
		r.platform.SetFault(standin.Healthy)
	},
	"a platform that is busy": func(r *rig) {
		r.platform.SetFault(standin.Busy)
		time.Sleep(4 * time.Second)
		r.platform.SetFault(standin.Healthy)
	},
}

// killAll kills all hosts and restarts them.
func killAll(r *rig) {
	names := r.names()
	for _, name := range names {
		r.kill(name)
	}
	time.Sleep(time.Second)
	for _, name := range names {
		r.start(name)
	}
}

// runLength is the time for which a run sends requests.
const runLength = 60 * time.Second

// runWithFault sends requests to six hosts, injects a fault 12 s after the start, and calls check once
// all reports are due.
func runWithFault(seed uint64, fault func(r *rig), check func(r *rig)) {
	suite.Paused(func() {
		r := newRig(6, seed)
		defer r.close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			time.Sleep(12 * time.Second)
			fault(r)
		}()
		r.sendRequests(runLength)
		<-done
		time.Sleep(reportDelay)
		check(r)
	})
}

var _ = Describe("the duties of one host", func() {
	for name, fault := range faults {
		It("are done by one host at a time, and usage is correct, under fault: "+name, func() {
			runWithFault(1, fault, func(r *rig) {
				Expect(r.platform.Violations()).To(BeEmpty())
				Expect(r.wrongWindows(reportDelay)).To(BeEmpty())
				Expect(len(r.platform.Reports())).To(BeNumerically(">", 10))
			})
		})
	}

	It("continue after all hosts were killed", func() {
		runWithFault(1, killAll, func(r *rig) {
			Expect(r.platform.Violations()).To(BeEmpty())
			// The counts of windows that were not reported before the kill are lost.
			Expect(len(r.wrongWindows(reportDelay))).To(BeNumerically("<=", 2))
		})
	})

	It("violate no rule in series of faults, and at least 95 % of windows are correct", func() {
		names := slices.Sorted(maps.Keys(faults))
		wrong, windows := 0, 0
		for seed := range uint64(200) {
			runWithFault(seed, func(r *rig) {
				for range 3 {
					faults[names[r.randomInt(len(names))]](r)
					time.Sleep(time.Duration(r.randomInt(8000)) * time.Millisecond)
				}
			}, func(r *rig) {
				Expect(r.platform.Violations()).To(BeEmpty(), "seed %d", seed)
				wrong, windows = wrong+len(r.wrongWindows(reportDelay)), windows+len(r.started)
			})
		}
		GinkgoWriter.Printf("%d of %d windows wrong\n", wrong, windows)
		Expect(float64(wrong)).To(BeNumerically("<=", 0.05*float64(windows)))
	})

	for name, c := range invalidCalls {
		It("are found to be violated by "+name, func() {
			d := standin.NewDutyServer(handoverDelay)
			for _, call := range c.calls {
				r := httptest.NewRequest(http.MethodPost, call.path, strings.NewReader(call.body))
				r.Header.Set("Duty-Holder", call.holder)
				r.Header.Set("Fencing-Token", call.token)
				d.ServeHTTP(httptest.NewRecorder(), r)
			}
			Expect(d.Violations()).To(ContainElement(ContainSubstring(c.violation)))
		})
	}

	It("order endpoints, and repeat an order after none were available", func() {
		suite.Paused(func() {
			r := newRig(2, 1)
			defer r.close()
			r.setEndpointCounts(map[string]capacity.EndpointCounts{"ikeja": {Ordinary: 4}, "lekki": {Ordinary: 4}, "yaba": {Ordinary: 4}})
			r.platform.SetOrderStatus(http.StatusConflict)
			time.Sleep(4 * time.Second)
			refused := len(r.platform.Calls())
			Expect(refused).To(BeNumerically(">", 0))
			Expect(refused).To(BeNumerically("<", 20))
			r.platform.SetOrderStatus(0)
			time.Sleep(10 * time.Second)
			ordered := map[string]int{}
			for _, c := range r.platform.Calls() {
				ordered[fmt.Sprint(c.Scale.Hall, c.Scale.Spot)] = c.Scale.Desired
			}
			Expect(ordered).To(HaveKey("ikejatrue"))
		})
	})
})
