package faults_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/chat"
	"quaybarrow/internal/check"
	"quaybarrow/internal/once"
	"quaybarrow/internal/standin/caller"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/standin/table"
)

// around sends a request straight to an engine, as a router that broke a promise
// would.
func (w *world) around(engine int, version, prompt, id string) {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, version, prompt)
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.c.EngineAddress(engine)+"/v1/chat/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(chat.HeaderRequestID, id)
	request.Header.Set(chat.HeaderAttempt, id)
	response, err := w.c.Client().Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
}

// breaks are deliberate breaks, one or more for each promise, with the count
// that has to show each.
var breaks = map[string]struct {
	make func(w *world)
	seen func(check.Report) int
}{
	"a version the workspace does not allow runs": {
		func(w *world) {
			r := w.chat(0, nil)
			w.c.Engines[0].SetProfile(foreign, good)
			w.around(0, foreign.String(), r.Prompt, "x")
		},
		func(r check.Report) int { return r.DisallowedRuns },
	},
	"a withdrawn version runs": {
		func(w *world) {
			r := w.chat(0, nil)
			_, err := w.withdraw(0, supportOne)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			w.c.Engines[0].SetProfile(supportOne, good)
			w.around(0, supportOne.String(), r.Prompt, "x")
		},
		func(r check.Report) int { return r.WithdrawnRuns },
	},
	"a session changes its version": {
		func(w *world) {
			for _, version := range []string{supportOne.String(), supportTwo.String()} {
				w.chat(0, func(a *caller.Ask) { a.Session, a.Model = "talk", version })
			}
		},
		func(r check.Report) int { return r.SessionMoves },
	},
	"a bill is lost": {
		func(w *world) {
			w.c.Store.Inject(table.Fault{Kind: table.FaultForget, Table: billing.TableBills})
			w.chat(0, nil)
			time.Sleep(settled)
		},
		func(r check.Report) int { return r.BilledNever },
	},
	"an answer goes to another caller": {
		func(w *world) {
			w.chat(0, func(a *caller.Ask) { a.Prompt = "clerks/support/one" })
			w.swap("clerks/support/one", "clerks/support/two")
		},
		func(r check.Report) int { return r.ForeignAnswers },
	},
	"a planned stop cuts an answer": {
		func(w *world) {
			crashing := make(chan struct{})
			time.AfterFunc(120*time.Millisecond, func() {
				w.c.CrashSoon(w.c.Hosts[0])
				close(crashing)
			})
			w.chat(0, func(a *caller.Ask) { a.Stream = true })
			<-crashing // the cluster waits for it as it closes
			w.planned = true
		},
		func(r check.Report) int { return r.CutAnswers },
	},
	"a call told not run has run": {
		func(w *world) {
			w.c.Services["payouts"].Lie(1)
			w.pay(0, "payout-1")
		},
		func(r check.Report) int { return r.NotRunButRan },
	},
	"a call that may not be repeated runs twice": {
		func(w *world) {
			w.c.Store.Inject(table.Fault{Kind: table.FaultForget, Table: once.TableClaims})
			w.pay(0, "payout-1")
			w.pay(1, "payout-1")
		},
		func(r check.Report) int { return r.NonrepeatableRunTwice },
	},
	"a leaving endpoint gets new work": {
		func(w *world) {
			r := w.chat(0, nil)
			w.leavings = append(w.leavings, check.Leaving{Engine: "engine-1", At: time.Now()})
			time.Sleep(time.Second)
			w.around(0, supportOne.String(), r.Prompt, "x")
		},
		func(r check.Report) int { return r.LeavingRuns },
	},
	"a host goes back to an older configuration": {
		func(w *world) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.applied = append(w.applied, check.Applied{Host: "entry-1", Revision: 2}, check.Applied{Host: "entry-1", Revision: 1})
		},
		func(r check.Report) int { return r.Reverts },
	},
	"a request is billed twice": {
		func(w *world) {
			w.chat(0, nil)
			time.Sleep(settled)
			w.doubled = true
		},
		func(r check.Report) int { return r.BilledMore },
	},
}

var _ = Describe("the promise checker", func() {
	for name, b := range breaks {
		It("sees that "+name, func() {
			suite.Paused(func() {
				w := newWorld(3)
				defer w.close()
				b.make(w)
				report := check.Verify(w.history())
				Expect(b.seen(report)).To(BeNumerically(">", 0))
				Expect(report.Violations()).NotTo(BeEmpty())
			})
		})
	}

	It("finds nothing wrong with a run that breaks nothing", func() {
		suite.Paused(func() {
			w := newWorld(3)
			defer w.close()
			w.chat(0, nil)
			w.chat(1, func(a *caller.Ask) { a.Stream = true })
			w.pay(2, "payout-1")
			time.Sleep(settled)
			w.planned = true
			w.expectPromises()
		})
	})
})
