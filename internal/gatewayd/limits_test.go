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

// limitDay is a day on which endpoints name limits.
type limitDay struct {
	service  string
	limited  int     // endpoints that name one
	rate     float64 // requests a second
	backAt   time.Duration
	kill     time.Duration // between hosts that are killed in turn; 0 for none
	least    float64       // of the requests to the service that are served
	usedLess bool          // the limit is far more than is asked
}

// limitDays are days on which endpoints name limits, from limitsAt on.
var limitDays = map[string]limitDay{
	"one endpoint of twelve, prompts":         {service: "model", limited: 1, rate: 1, least: 0.99},
	"one endpoint of twelve, plain":           {service: "plain", limited: 1, rate: 1, least: 0.99},
	"a third of the endpoints, prompts":       {service: "model", limited: 4, rate: 1, least: 0.99},
	"a third of the endpoints, plain":         {service: "plain", limited: 4, rate: 1.5, least: 0.99},
	"less than one a second":                  {service: "plain", limited: 4, rate: 0.2, least: 0.99},
	"none at all":                             {service: "plain", limited: 2, rate: 0, least: 0.99},
	"all endpoints, prompts":                  {service: "model", limited: 12, rate: 0.5, least: 0.2},
	"all endpoints, plain":                    {service: "plain", limited: 12, rate: 1, least: 0.2},
	"more than is asked":                      {service: "plain", limited: 12, rate: 50, least: 0.99, usedLess: true},
	"while hosts are killed in turn":          {service: "model", limited: 4, rate: 1, kill: 3 * time.Second, least: 0.85},
	"plain, while hosts are killed in turn":   {service: "plain", limited: 4, rate: 1, kill: 3 * time.Second, least: 0.9},
	"a limit that is taken back, all prompts": {service: "model", limited: 12, rate: 0.4, backAt: 10 * time.Second, least: 0.3},
	"a limit that is taken back, plain":       {service: "plain", limited: 6, rate: 0.25, backAt: 10 * time.Second, least: 0.99},
}

// Times of a limit day, and its callers.
const (
	limitsAt     = 2 * time.Second
	limitsLast   = 20 * time.Second
	limitCallers = 32
	// usedAgain is how long after a limit was taken back its endpoint gets its usual share.
	usedAgain = 3 * time.Second
)

func TestEndpointsGetNoMoreThanTheLimitTheyName(t *testing.T) {
	for name, d := range limitDays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				r := newCrashRig(crashDay{})
				defer r.stop()
				ctx, cancel := context.WithTimeout(context.Background(), limitsLast)
				defer cancel()
				began := time.Now()
				for i := range limitCallers {
					r.calling.Go(func() { r.call(ctx, i, crashDay{lasts: limitsLast}) })
				}
				if d.kill > 0 {
					r.calling.Go(func() { r.killInTurn(ctx, d.kill) })
				}
				limited := r.some(d.service, d.limited)
				time.Sleep(limitsAt)
				for _, e := range limited {
					e.SetLimit(d.rate)
				}
				if d.backAt > 0 {
					time.Sleep(d.backAt - limitsAt)
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

// checkLimits checks what the limited endpoints got.
func checkLimits(t *testing.T, r *crashRig, d limitDay, began time.Time, limited []*standin.Endpoint) {
	end := began.Add(limitsLast)
	if d.backAt > 0 {
		end = began.Add(d.backAt)
	}
	worst, got := 0, 0
	for _, e := range limited {
		worst = max(worst, e.MaxRequestsInWindow(began.Add(limitsAt+standin.LimitNoticeTime), end.Add(-standin.LimitWindow), standin.LimitWindow))
		for _, s := range e.Requests() {
			if s.At.After(began.Add(limitsAt+standin.LimitNoticeTime)) && s.At.Before(end) {
				got++
			}
		}
	}
	span := end.Sub(began) - limitsAt - standin.LimitNoticeTime
	used := float64(got) / max(d.rate*float64(len(limited))*span.Seconds(), 1)
	served := r.servedOf(d.service)
	t.Logf("worst %d in %s, %d allowed; %.2f of the limits used; %.3f served", worst, standin.LimitWindow, standin.LimitMaxRequests(d.rate), used, served)
	Expect(worst).To(BeNumerically("<=", standin.LimitMaxRequests(d.rate)))
	Expect(served).To(BeNumerically(">=", d.least))
	if d.backAt > 0 {
		above, again := standin.LimitFactor*d.rate*standin.LimitWindow.Seconds(), 0
		for _, e := range limited {
			most := e.MaxRequestsInWindow(end.Add(usedAgain), began.Add(limitsLast), standin.LimitWindow)
			again += most
			// Prompts go to as few endpoints as the load asks for, those that keep their beginning.
			Expect(d.service == "model" || float64(most) > above).To(BeTrue(), "used again: %d in %s", most, standin.LimitWindow)
		}
		Expect(again).To(BeNumerically(">", above*float64(len(limited))), "used again, all together")
	}
	if d.limited == crashMachines && !d.usedLess && d.backAt == 0 {
		Expect(used).To(BeNumerically(">=", 0.7), "of what the endpoints take")
	}
}

// some returns some endpoints of a service.
func (r *crashRig) some(service string, n int) []*standin.Endpoint {
	var found []*standin.Endpoint
	for _, m := range r.machines {
		if m.Service == service && len(found) < n {
			starts := m.Starts()
			found = append(found, starts[len(starts)-1])
		}
	}
	return found
}

// killInTurn kills one host after the other and starts each again.
func (r *crashRig) killInTurn(ctx context.Context, every time.Duration) {
	for i := 0; sleepFor(ctx, every); i++ {
		h := r.hosts[i%len(r.hosts)]
		h.kill()
		time.Sleep(500 * time.Millisecond)
		h.start()
	}
}

// servedOf is the part of a service's ordinary requests that got an answer.
func (r *crashRig) servedOf(service string) float64 {
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
