package faults_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/check"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/entry"
	"quaybarrow/internal/job"
	"quaybarrow/internal/once"
	"quaybarrow/internal/rollout"
	"quaybarrow/internal/standin/caller"
)

// stepRows are the rows.
var stepRows = map[string]step{
	"completion: open bill, copied to peers": {engine: true, peers: true, drive: driveChat(false)},
	"completion: open bill, as an intent":    {hosts: 1, table: billing.TableIntents, engine: true, drive: driveChat(false)},
	"completion: relay a stream":             {engine: true, drive: driveChat(true)},
	"completion: settle the bill":            {table: billing.TableBills, engine: true, drive: driveChat(false)},
	"session by name: claim the name":        {table: "session", engine: true, drive: driveSession(true)},
	"session by token: go on":                {engine: true, drive: driveSession(false)},
	"call not to be repeated: claim":         {table: once.TableClaims, drive: drivePay},
	"call not to be repeated: record":        {table: once.TableClaims, skip: 1, drive: drivePay},
	"job: submit":                            {table: job.TableJobs, engine: true, drive: driveJob},
	"job: claim":                             {table: job.TableRunning, engine: true, drive: driveJob},
	"job: record its end":                    {table: job.TableRunning, skip: 1, engine: true, drive: driveJob},
	"configuration: accept a withdrawal":     {table: "config", peers: true, drive: driveWithdraw},
	"configuration: spread a withdrawal":     {peers: true, drive: driveWithdraw},
	"roll-out: save a step":                  {table: rollout.TablePlans, engine: true, drive: driveRollout},
	"roll-out: put into service":             {table: "config", skip: 1, engine: true, drive: driveRollout},
	"lease: acquire or renew":                {table: "lease", drive: driveRollout},
	"order to an engine: unload":             {engine: true, drive: driveUnload},
}

// driveChat sends a few requests through host 0, some during the fault, and
// expects the same to be answered after it.
func driveChat(stream bool) func(*world, func()) {
	return func(w *world, healed func()) {
		change := func(a *caller.Ask) { a.Stream = stream }
		for range 3 {
			if w.c.Hosts[0].Daemon() != nil {
				w.chat(0, change)
			}
			time.Sleep(time.Second)
		}
		healed()
		for host := range w.c.Hosts {
			Eventually(func() bool { return w.chat(host, change).Answered }).
				WithTimeout(30 * time.Second).WithPolling(time.Second).Should(BeTrue())
		}
	}
}

// driveSession holds a session over several hosts, through the fault.
func driveSession(named bool) func(*world, func()) {
	return func(w *world, healed func()) {
		token := ""
		turn := func(host int) caller.Result {
			r := w.chat(host, func(a *caller.Ask) {
				a.Session, a.Kind = "talk", check.KindSession
				if named {
					a.SessionName = "talk"
				} else {
					a.SessionToken, a.NewSession = token, token == ""
				}
			})
			if r.SessionToken != "" {
				token = r.SessionToken
			}
			return r
		}
		for i := range 4 {
			if w.c.Hosts[i%len(w.c.Hosts)].Daemon() != nil {
				turn(i % len(w.c.Hosts))
			}
		}
		healed()
		// A newer version comes into service; the session stays where it is.
		_, err := w.do(1, "serve "+supportNew.String())
		Expect(err).NotTo(HaveOccurred())
		for host := range w.c.Hosts {
			Eventually(func() bool { return turn(host).Answered }).
				WithTimeout(30 * time.Second).WithPolling(time.Second).Should(BeTrue())
		}
	}
}

// drivePay requests payouts, again with the same key through other hosts until
// each has an answer or is known to be unknown.
func drivePay(w *world, healed func()) {
	finished := map[string]bool{}
	try := func(host int) {
		for i := range 3 {
			name := fmt.Sprintf("payout-%d", i)
			if finished[name] || w.c.Hosts[host].Daemon() == nil {
				continue
			}
			r := w.pay(host, name)
			finished[name] = r.Answered || r.Code == "outcome_unknown"
		}
	}
	for host := range w.c.Hosts {
		try(host)
		time.Sleep(time.Second)
	}
	healed()
	Eventually(func() int {
		for host := range w.c.Hosts {
			try(host)
		}
		count := 0
		for _, done := range finished {
			if done {
				count++
			}
		}
		return count
	}).WithTimeout(time.Minute).WithPolling(time.Second).Should(Equal(3))
}

// submit hands in a job through a host.
func (w *world) submit(host int, key2 string) (string, bool) {
	body := fmt.Sprintf(`{"request":{"model":"support","messages":[{"role":"user","content":"clerks/support/%s"}]}}`, key2)
	ctx, cancel := context.WithTimeout(w.ctx, 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.c.Hosts[host].Callers()+"/v1/jobs", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(entry.HeaderIdempotencyKey, key2)
	response, err := w.c.Client().Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	var reply entry.JobReply
	if response.StatusCode != http.StatusAccepted || json.NewDecoder(response.Body).Decode(&reply) != nil {
		return "", false
	}
	return reply.ID, true
}

// driveJob submits jobs, and again with the same key until each is accepted;
// each that was accepted must end.
func driveJob(w *world, healed func()) {
	accepted := map[string]string{}
	try := func(host int) {
		for i := range 2 {
			name := fmt.Sprintf("job-%d", i)
			if accepted[name] != "" || w.c.Hosts[host].Daemon() == nil {
				continue
			}
			if id, ok := w.submit(host, name); ok {
				accepted[name] = id
			}
		}
	}
	for host := range w.c.Hosts {
		try(host)
	}
	time.Sleep(2 * time.Second)
	healed()
	try(1)
	Expect(accepted).To(HaveLen(2))
	for _, id := range accepted {
		Eventually(func() job.State {
			j, err := job.NewQueue(w.c.Store).Find(w.ctx, "clerks", id)
			if err != nil {
				return ""
			}
			return j.State
		}).WithTimeout(2 * time.Minute).WithPolling(time.Second).Should(Equal(job.StateDone))
	}
}

// withdrawEverywhere withdraws a version through a host until that is in force.
func (w *world) withdrawEverywhere(host int, ref declare.Ref) {
	GinkgoHelper()
	Eventually(func() bool {
		outcome, err := w.withdraw(host, ref)
		return err == nil && outcome.Everywhere
	}).WithTimeout(time.Minute).WithPolling(time.Second).Should(BeTrue())
}

// driveWithdraw withdraws a version through host 0 while requests that name it
// and a session that is pinned to it go on, and again through another host if
// that did not work.
func driveWithdraw(w *world, healed func()) {
	token := w.chat(1, func(a *caller.Ask) {
		a.Model, a.Session, a.NewSession = supportTwo.String(), "pinned", true
	}).SessionToken
	load := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-load:
				return
			case <-time.After(300 * time.Millisecond):
			}
			if host := i % len(w.c.Hosts); w.c.Hosts[host].Daemon() != nil {
				w.chat(host, func(a *caller.Ask) {
					a.Model = supportTwo.String()
					if i%2 == 0 && token != "" {
						a.Session, a.SessionToken = "pinned", token
					}
				})
			}
		}
	}()
	time.Sleep(time.Second)
	_, _ = w.withdraw(0, supportTwo)
	healed()
	w.withdrawEverywhere(1, supportTwo)
	time.Sleep(5 * time.Second)
	close(load)
	<-ended
	for _, h := range w.c.Hosts {
		Expect(h.Daemon().Config.Current().State(supportTwo)).To(Equal(declare.StateWithdrawn))
	}
}

// driveRollout rolls a good version out, through the fault, until it is in
// service everywhere.
func driveRollout(w *world, healed func()) {
	_, _ = w.do(0, "canary "+supportNew.String())
	ask := func() {
		for host := range w.c.Hosts {
			if w.c.Hosts[host].Daemon() != nil {
				w.chat(host, nil)
			}
		}
	}
	for range 5 {
		ask()
	}
	healed()
	_, _ = w.do(1, "canary "+supportNew.String())
	Eventually(func() declare.State {
		ask()
		return w.c.Hosts[2].Daemon().Config.Current().State(supportNew)
	}).WithTimeout(5 * time.Minute).WithPolling(200 * time.Millisecond).Should(Equal(declare.StateServing))
}

// driveUnload withdraws a version and waits until no engine has it.
func driveUnload(w *world, healed func()) {
	_, _ = w.withdraw(0, supportTwo)
	healed()
	w.withdrawEverywhere(1, supportTwo)
	Eventually(func() bool {
		for _, e := range w.c.Hosts[1].Daemon().Fleet.View() {
			if slices.Contains(e.Models, supportTwo.String()) {
				return false
			}
		}
		return true
	}).WithTimeout(time.Minute).WithPolling(time.Second).Should(BeTrue())
}
