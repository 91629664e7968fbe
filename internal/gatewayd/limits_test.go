package gatewayd_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quaybarrow/platform/standin"
)

// limitScenario describes a run in which endpoints announce rate limits.
type limitScenario struct {
	service      string
	limited      int     // number of endpoints that announce a limit
	rate         float64 // requests a second
	withdrawnAt  time.Duration
	killInterval time.Duration // interval at which hosts are killed in turn; 0 for never
	minServed    float64       // least fraction of the requests to the service that must be served
	belowLimit   bool          // the limit is far above the load
}

// limitScenarios are runs in which endpoints announce limits, from limitsStart on.
var limitScenarios = map[string]limitScenario{
	"one endpoint of twelve, prompts":        {service: "model", limited: 1, rate: 1, minServed: 0.99},
	"one endpoint of twelve, plain":          {service: "plain", limited: 1, rate: 1, minServed: 0.99},
	"a third of the endpoints, prompts":      {service: "model", limited: 4, rate: 1, minServed: 0.99},
	"a third of the endpoints, plain":        {service: "plain", limited: 4, rate: 1.5, minServed: 0.99},
	"less than one a second":                 {service: "plain", limited: 4, rate: 0.2, minServed: 0.99},
	"none at all":                            {service: "plain", limited: 2, rate: 0, minServed: 0.99},
	"all endpoints, prompts":                 {service: "model", limited: 12, rate: 0.5, minServed: 0.2},
	"all endpoints, plain":                   {service: "plain", limited: 12, rate: 1, minServed: 0.2},
	"far above the load":                     {service: "plain", limited: 12, rate: 50, minServed: 0.99, belowLimit: true},
	"while hosts are killed in turn":         {service: "model", limited: 4, rate: 1, killInterval: 3 * time.Second, minServed: 0.85},
	"plain, while hosts are killed in turn":  {service: "plain", limited: 4, rate: 1, killInterval: 3 * time.Second, minServed: 0.9},
	"a limit that is withdrawn, all prompts": {service: "model", limited: 12, rate: 0.4, withdrawnAt: 10 * time.Second, minServed: 0.3},
	"a limit that is withdrawn, plain":       {service: "plain", limited: 6, rate: 0.25, withdrawnAt: 10 * time.Second, minServed: 0.99},
}

// Times of a limitScenario, and the number of its callers.
const (
	limitsStart    = 2 * time.Second
	limitsDuration = 20 * time.Second
	limitCallers   = 32
	// fullShareWithin is the time after the withdrawal of a limit within which its endpoint has to get
	// its usual share again.
	fullShareWithin = 3 * time.Second
)

func TestEndpointsGetNoMoreThanTheLimitTheyName(t *testing.T) {
	for name, d := range limitScenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				r := newCrashRig(crashScenario{})
				defer r.stop()
				ctx, cancel := context.WithTimeout(context.Background(), limitsDuration)
				defer cancel()
				began := time.Now()
				for i := range limitCallers {
					r.calling.Go(func() { r.call(ctx, i, crashScenario{duration: limitsDuration}) })
				}
				if d.killInterval > 0 {
					r.calling.Go(func() { r.killInTurn(ctx, d.killInterval) })
				}
				limited := r.endpointsOf(d.service, d.limited)
				time.Sleep(limitsStart)
				for _, e := range limited {
					e.SetLimit(d.rate)
				}
				if d.withdrawnAt > 0 {
					time.Sleep(d.withdrawnAt - limitsStart)
					for _, e := range limited {
						e.SetLimitText("")
					}
				}
				r.calling.Wait()
				checkLimits(t, r, d, began, limited)
			})
		})
	}
}

// checkLimits checks the number of requests that the limited endpoints received.
func checkLimits(t *testing.T, r *crashRig, d limitScenario, began time.Time, limited []*standin.Endpoint) {
	end := began.Add(limitsDuration)
	if d.withdrawnAt > 0 {
		end = began.Add(d.withdrawnAt)
	}
	worst, got := 0, 0
	for _, e := range limited {
		worst = max(worst, e.MaxRequestsInWindow(began.Add(limitsStart+standin.LimitNoticeTime), end.Add(-standin.LimitWindow), standin.LimitWindow))
		for _, s := range e.Requests() {
			if s.At.After(began.Add(limitsStart+standin.LimitNoticeTime)) && s.At.Before(end) {
				got++
			}
		}
	}
	span := end.Sub(began) - limitsStart - standin.LimitNoticeTime
	used := float64(got) / max(d.rate*float64(len(limited))*span.Seconds(), 1)
	served := r.servedByService(d.service)
	t.Logf("worst %d in %s, %d allowed; %.2f of the limits used; %.3f served", worst, standin.LimitWindow, standin.LimitMaxRequests(d.rate), used, served)
	Expect(worst).To(BeNumerically("<=", standin.LimitMaxRequests(d.rate)))
	Expect(served).To(BeNumerically(">=", d.minServed))
	if d.withdrawnAt > 0 {
		above, again := standin.LimitFactor*d.rate*standin.LimitWindow.Seconds(), 0
		for _, e := range limited {
			most := e.MaxRequestsInWindow(end.Add(fullShareWithin), began.Add(limitsDuration), standin.LimitWindow)
			again += most
			// Prompts go to as few endpoints as the load requires, to those that cache their prefix.
			Expect(d.service == "model" || float64(most) > above).To(BeTrue(), "used again: %d in %s", most, standin.LimitWindow)
		}
		Expect(again).To(BeNumerically(">", above*float64(len(limited))), "used again, all together")
	}
	if d.limited == crashMachines && !d.belowLimit && d.withdrawnAt == 0 {
		Expect(used).To(BeNumerically(">=", 0.7), "of what the endpoints take")
	}
}

// endpointsOf returns up to n endpoints of a service, each at its latest start.
func (r *crashRig) endpointsOf(service string, n int) []*standin.Endpoint {
	var found []*standin.Endpoint
	for _, m := range r.machines {
		if m.Service == service && len(found) < n {
			starts := m.Starts()
			found = append(found, starts[len(starts)-1])
		}
	}
	return found
}

// killInTurn kills and restarts one host after the other.
func (r *crashRig) killInTurn(ctx context.Context, interval time.Duration) {
	for i := 0; sleepFor(ctx, interval); i++ {
		h := r.hosts[i%len(r.hosts)]
		h.kill()
		time.Sleep(500 * time.Millisecond)
		h.start()
	}
}

// servedByService returns the fraction of a service's ordinary requests that succeeded.
func (r *crashRig) servedByService(service string) float64 {
	path := map[string]string{"model": "/stream/x", "plain": "/again/x"}[service]
	all, good := 0, 0
	for _, o := range r.outcomes {
		if o.path != path {
			continue
		}
		all++
		if o.status == http.StatusOK {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}
