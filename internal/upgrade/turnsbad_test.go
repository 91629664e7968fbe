package upgrade_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quaybarrow/internal/upgrade"
	"quaybarrow/platform/standin"
)

// These tests guard against an upgrade that is completed although its version has turned bad.
//
// A version did well and got larger shares, in the end all requests; then half of its answers
// failed. One host wrote the completion because the time for it had come. A moment later all hosts
// judged the version bad, read the completion, and went on using it as the version in use: callers
// got failures for as long as it ran.
//
// The completion, which cannot be undone, depended on the time alone and on counts of all answers
// since the order, in which earlier good answers hid the failures. Nothing was judged after it. The
// version had also got 0.36 of all requests by then, so that even a verdict in time would have come
// too late for the bound on exposure.
//
// The log line of the completion counted 63 failures among 909 answers and called the version clear;
// the hosts' verdicts followed 0.35 s later. The same order of events fails here without a stopped
// host or a lost message.

// maxExposure and exposureSlack bound what a bad version may get: a fraction of all requests from
// the order to the end of its time, plus a number of requests. The users specified them.
const (
	maxExposure   = 0.15
	exposureSlack = 30
)

// failureOnsets are the times at which a version turns bad, as fractions of the upgrade's time.
var failureOnsets = map[string]float64{
	"at once":                      0,
	"as it gets the first share":   0.50,
	"with that share":              0.60,
	"before it gets more":          0.70,
	"with a part of the requests":  0.80,
	"later":                        0.86,
	"before it gets all of them":   0.90,
	"shortly before it completes":  0.92,
	"in the second before it does": 0.94,
}

// failureModes are the ways in which a version's endpoints behave once it has turned bad.
var failureModes = map[string]traffic{
	"half of its answers fail":    {badEvery: 2},
	"a third of its answers fail": {badEvery: 3},
	"its answers are slow":        {gap: 25 * time.Millisecond},
}

func TestVersionThatTurnsBad(t *testing.T) {
	for onset, fraction := range failureOnsets {
		for mode, w := range failureModes {
			t.Run(onset+", "+mode, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playFailure(t, fraction, w) })
			})
		}
	}
}

// playFailure runs an upgrade whose version turns bad at a fraction of its time.
func playFailure(t *testing.T, fraction float64, w traffic) {
	const within = 24 * time.Second
	RegisterTestingT(t)
	h := newHosts(6)
	defer h.stop()
	if w.gap > 0 {
		h.serve(2*time.Second, traffic{}) // the old version's paces are the reference
	}
	h.order(7)
	onset := time.Duration(fraction * float64(within))
	exposed := h.serve(onset, traffic{}) + h.serve(within-onset, w)
	all := len(h.trackers) * int(within/(100*time.Millisecond))
	Expect(exposed).To(BeNumerically("<=", maxExposure*float64(all)+exposureSlack), "of %d", all)
	Expect(h.status()).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
	Expect(h.serve(20*time.Second, w)).To(BeZero(), "requests after the upgrade's time")
}

// disturbances affect hosts or store, second by second, while a version turns bad.
var disturbances = map[string]func(h *hosts, second int){
	"hosts that restart in turn": func(h *hosts, second int) {
		if second < 10 {
			return
		}
		i := second % len(h.trackers)
		h.restart(i)
		h.trackers[i].Order(upgrade.Order{Service: "s", Target: "v2", Within: 24 * time.Second, Revision: 7})
	},
	"a store that is overloaded three times": func(h *hosts, second int) {
		switch second {
		case 11, 15, 19:
			h.store.SetFault(standin.Busy)
		case 13, 17, 21:
			h.store.SetFault(standin.Healthy)
		}
	},
	"a store that loses the answers to writes": func(h *hosts, second int) {
		switch second {
		case 2:
			h.store.SetFault(standin.DropCommitReplies)
		case 23:
			h.store.SetFault(standin.Healthy)
		}
	},
	"a store that answers with a delay": func(h *hosts, second int) {
		switch second {
		case 11, 18:
			h.store.DelayReads(200 * time.Millisecond)
		case 15, 22:
			h.store.DelayReads(0)
		}
	},
}

// TestVersionThatTurnsBadBesideTrouble is TestVersionThatTurnsBad while hosts restart or the store
// fails.
func TestVersionThatTurnsBadBesideTrouble(t *testing.T) {
	for name, disturb := range disturbances {
		for _, onset := range []int{0, 13, 16, 19, 21} {
			t.Run(fmt.Sprintf("%s, from second %d on", name, onset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playFailureWith(t, disturb, onset) })
			})
		}
	}
}

// playFailureWith runs an upgrade whose version turns bad at a second, under a disturbance.
func playFailureWith(t *testing.T, disturb func(h *hosts, second int), onset int) {
	const seconds, perSecond = 24, 10
	RegisterTestingT(t)
	h := newHosts(6)
	defer h.stop()
	h.order(7)
	exposed := 0
	for second := range seconds {
		disturb(h, second)
		w := traffic{}
		if second >= onset {
			w.badEvery = 2
		}
		exposed += h.serve(time.Second, w)
	}
	all := len(h.trackers) * seconds * perSecond
	Expect(exposed).To(BeNumerically("<=", maxExposure*float64(all)+exposureSlack), "of %d", all)
	h.serve(2*time.Second, traffic{badEvery: 2})
	Expect(h.status()).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
	Expect(h.serve(20*time.Second, traffic{badEvery: 2})).To(BeZero(), "requests after the upgrade's time")
}
