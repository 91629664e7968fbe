package gatewayd_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/memnet"
	"quaybarrow/platform/standin"
)

// cutScenario describes a run in which some hosts can't reach endpoints for a while.
type cutScenario struct {
	state    memnet.LinkState
	cutHosts int    // of cutScenarioHosts
	cuts     string // prefix of the addresses of the endpoints that they can't reach
}

// Prefixes of the addresses of endpoints.
const (
	allEndpoints    = "10."
	plainEndpoints  = "10.1."
	modelEndpoints  = "10.2."
	halfOfEndpoints = "10.2.1.1" // four of the twelve of the model service
	hostAddresses   = "10.0."
)

var cutScenarios = map[string]cutScenario{
	"connections hang":                       {state: memnet.LinkSilent, cutHosts: 3, cuts: allEndpoints},
	"connections are reset":                  {state: memnet.LinkReset, cutHosts: 3, cuts: allEndpoints},
	"new connections are refused":            {state: memnet.LinkRefuses, cutHosts: 3, cuts: allEndpoints},
	"nothing arrives from endpoints":         {state: memnet.LinkOneWay, cutHosts: 3, cuts: allEndpoints},
	"most hosts, connections hang":           {state: memnet.LinkSilent, cutHosts: 5, cuts: allEndpoints},
	"most hosts, connections are reset":      {state: memnet.LinkReset, cutHosts: 5, cuts: allEndpoints},
	"the plain service, connections hang":    {state: memnet.LinkSilent, cutHosts: 3, cuts: plainEndpoints},
	"the model service, connections reset":   {state: memnet.LinkReset, cutHosts: 3, cuts: modelEndpoints},
	"some endpoints only, connections hang":  {state: memnet.LinkSilent, cutHosts: 3, cuts: halfOfEndpoints},
	"some endpoints only, connections reset": {state: memnet.LinkReset, cutHosts: 3, cuts: halfOfEndpoints},
}

// Sizes, times and bounds of cut scenarios. The users' rule counts first tries from contactTime after
// the cut began.
const (
	cutScenarioHosts = 7
	cutCallInterval  = 12 * time.Millisecond
	cutStart         = 3 * time.Second
	cutEnd           = 15 * time.Second
	cutRunEnd        = 20 * time.Second
	contactTime      = 3 * time.Second
	// minShareOfOthers is how often first tries at cut hosts are served at least, as a share of how
	// often those at other hosts are: callers notice no difference.
	minShareOfOthers = 0.95
)

// cutCall is the outcome of a caller's request.
type cutCall struct {
	host   int
	path   string
	id     string
	status int // 0 if no complete response arrived
	began  time.Time
	took   time.Duration
	// retryAfter is what the response says of when to come again; empty if it does not.
	retryAfter string
}

func TestCallersOfHostsThatReachNoEndpointAreServedAsOthers(t *testing.T) {
	for name, d := range cutScenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				r := newCrashRig(crashScenario{hosts: cutScenarioHosts})
				defer r.stop()
				began := time.Now()
				calls := runCutScenario(r, d)
				checkServedAsOthers(t, d, calls, began)
				checkRunsOnce(r, calls)
				Expect(r.log.text()).NotTo(ContainSubstring("request quarantined"))
				Expect(r.log.text()).NotTo(ContainSubstring("endpoint crashed under a request"))
			})
		})
	}
}

// runCutScenario has callers send requests to all hosts while the links of some are cut, and returns
// the outcomes.
func runCutScenario(r *crashRig, d cutScenario) []cutCall {
	ctx, cancel := context.WithTimeout(context.Background(), cutRunEnd)
	defer cancel()
	var mu sync.Mutex
	var calls []cutCall
	r.calling.Go(func() {
		for i := 0; sleepFor(ctx, cutCallInterval); i++ {
			r.calling.Go(func() {
				c := r.callOnce(ctx, []string{"/stream/x", "/stream/x", "/again/x", "/once/x"}[i%4])
				if ctx.Err() == nil {
					mu.Lock()
					defer mu.Unlock()
					calls = append(calls, c)
				}
			})
		}
	})
	r.calling.Go(func() {
		time.Sleep(cutStart)
		cuts := func(address string) bool {
			return strings.HasPrefix(address, d.cuts) && !strings.HasPrefix(address, hostAddresses) && address != storeAddress
		}
		for _, h := range r.hosts[:d.cutHosts] {
			h.link.Set(d.state, cuts)
		}
		time.Sleep(cutEnd - cutStart)
		for _, h := range r.hosts[:d.cutHosts] {
			h.link.Set(memnet.LinkUp, cuts)
		}
	})
	r.calling.Wait()
	return calls
}

// callOnce sends one request to a random host.
func (r *crashRig) callOnce(ctx context.Context, path string) cutCall {
	return r.callHost(ctx, r.randomInt(len(r.hosts)), path)
}

// callHost sends one request to a host.
func (r *crashRig) callHost(ctx context.Context, host int, path string) cutCall {
	call := cutCall{host: host, path: path, began: time.Now()}
	defer func() { call.took = time.Since(call.began) }()
	call.id = r.nextID()
	q := standin.NewRequest(http.MethodPost, path, "of "+call.id).WithID(call.id)
	if path == "/stream/x" {
		q = q.WithPrompt()
	}
	if a := r.exchange(ctx, call.host, q); a.Err == nil {
		call.status, call.retryAfter = a.Status, a.Head.Get("Retry-After")
	}
	call.took = time.Since(call.began)
	return call
}

// checkServedAsOthers checks that requests to cut hosts are served as often as those to others.
func checkServedAsOthers(t *testing.T, d cutScenario, calls []cutCall, began time.Time) {
	var sent, served [2]int
	failures := map[string]int{}
	for _, c := range calls {
		if c.began.Before(began.Add(cutStart+contactTime)) || !c.began.Before(began.Add(cutEnd)) {
			continue
		}
		side := 0
		if c.host < d.cutHosts {
			side = 1
		}
		sent[side]++
		if c.status == http.StatusOK {
			served[side]++
		} else if side == 1 {
			failures[fmt.Sprintf("%s %d", c.path, c.status)]++
		}
	}
	t.Logf("others: %d of %d; cut hosts: %d of %d; failed there: %v", served[0], sent[0], served[1], sent[1], failures)
	Expect(sent[0]).To(BeNumerically(">", 50))
	Expect(sent[1]).To(BeNumerically(">", 50))
	others := float64(served[0]) / float64(sent[0])
	Expect(float64(served[1]) / float64(sent[1])).To(BeNumerically(">=", minShareOfOthers*others))
}

// checkRunsOnce checks that endpoints received no request that may run once only a second time, unless
// they said that they did not run it.
func checkRunsOnce(r *crashRig, calls []cutCall) {
	received := map[string]int{}
	for _, m := range r.machines {
		for _, e := range m.Starts() {
			for _, s := range e.Requests() {
				if !s.NotRun {
					received[s.ID()]++
				}
			}
		}
	}
	for _, c := range calls {
		if c.path == "/once/x" {
			Expect(received[c.id]).To(BeNumerically("<=", 1), "runs of %s", c.id)
		}
	}
}
