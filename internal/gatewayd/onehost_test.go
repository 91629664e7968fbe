package gatewayd_test

import (
	"context"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quaybarrow/platform/standin"
)

// oneHostScenario describes a run in which most new connections come to one host, and to another once
// that one is gone.
type oneHostScenario struct {
	hosts    int
	load     float64 // of what the endpoints of each service take
	survives int     // rejections in a second that brittle endpoints survive; 0 for endpoints that are not
	byHand   bool    // only with allOneHostScenarios set
}

var oneHostScenarios = map[string]oneHostScenario{
	"6 hosts, half of what endpoints take":    {hosts: 6, load: 0.5, byHand: true},
	"6 hosts, 0.8 of what endpoints take":     {hosts: 6, load: 0.8},
	"30 hosts, 0.8 of what endpoints take":    {hosts: 30, load: 0.8, byHand: true},
	"6 hosts, brittle endpoints":              {hosts: 6, load: 0.5, survives: 3, byHand: true},
	"6 hosts, brittle endpoints nearly full":  {hosts: 6, load: 0.8, survives: 3, byHand: true},
	"2 hosts, brittle endpoints":              {hosts: 2, load: 0.5, survives: 3},
	"30 hosts, brittle endpoints nearly full": {hosts: 30, load: 0.8, survives: 3, byHand: true},
}

// allOneHostScenarios is the environment variable that has all of these runs played.
const allOneHostScenarios = "QUAYBARROW_ALL_ONE_HOST"

// Sizes and times of these runs. The users' rule counts from contactTime after most connections come
// to one host; minOneHostShare of how often requests were served before is its bound.
const (
	oneHostEven      = 6 * time.Second  // when they begin to come to the first host
	oneHostNext      = 14 * time.Second // when that one is killed, and they come to the next
	oneHostEnd       = 22 * time.Second
	oneHostPart      = 0.9
	minOneHostShare  = 0.75
	oneHostMachines  = 4 // of each service
	oneHostSlots     = 32
	oneHostWork      = 500 * time.Millisecond
	oneHostEvents    = 5
	oneHostPlainWork = 60 * time.Millisecond
	oneHostPlain     = 6
	// oneHostWarmup is how long after the start requests are not counted.
	oneHostWarmup = time.Second
)

func TestMostNewConnectionsAtOneHostAreServedAsBefore(t *testing.T) {
	for name, d := range oneHostScenarios {
		if d.byHand && os.Getenv(allOneHostScenarios) == "" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				r := newCrashRig(crashScenario{hosts: d.hosts, machines: oneHostMachines, slots: oneHostSlots, script: d.respond})
				defer r.stop()
				began := time.Now()
				calls := d.run(r, began)
				before := servedBetween(calls, began.Add(oneHostWarmup), began.Add(oneHostEven))
				first := servedBetween(calls, began.Add(oneHostEven+contactTime), began.Add(oneHostNext))
				next := servedBetween(calls, began.Add(oneHostNext+contactTime), began.Add(oneHostEnd))
				t.Logf("served at the first try: %.3f before, %.3f while most come to one host, %.3f to the next", before, first, next)
				Expect(first).To(BeNumerically(">=", minOneHostShare*before))
				Expect(next).To(BeNumerically(">=", minOneHostShare*before))
			})
		})
	}
}

// respond returns the response of an endpoint with as many slots as its service has.
func (d oneHostScenario) respond(service string, _ *http.Request) standin.Script {
	if service == "model" {
		return standin.Room{Slots: oneHostSlots, Waiting: oneHostSlots / 2, Work: oneHostWork, Events: oneHostEvents, Survives: d.survives, Falls: d.survives > 0}
	}
	return standin.Room{Slots: oneHostPlain, Waiting: oneHostPlain, Work: oneHostPlainWork, Survives: d.survives, Falls: d.survives > 0}
}

// run sends requests until the end of the run and returns their outcomes.
func (d oneHostScenario) run(r *crashRig, began time.Time) []cutCall {
	ctx, cancel := context.WithTimeout(context.Background(), oneHostEnd+5*time.Second)
	defer cancel()
	var mu sync.Mutex
	var calls []cutCall
	send := func(path string, interval time.Duration) {
		for time.Since(began) < oneHostEnd && sleepFor(ctx, interval) {
			r.calling.Go(func() {
				c := r.callHost(ctx, d.pickHost(r, time.Since(began)), path)
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, c)
			})
		}
	}
	models := d.load * oneHostMachines * oneHostSlots / oneHostWork.Seconds()
	plain := d.load * oneHostMachines * oneHostPlain / oneHostPlainWork.Seconds()
	r.calling.Go(func() { send("/stream/x", time.Duration(float64(time.Second)/models)) })
	r.calling.Go(func() { send("/again/x", time.Duration(float64(time.Second)/plain)) })
	r.calling.Go(func() {
		if sleepFor(ctx, oneHostNext) {
			r.hosts[0].kill()
		}
	})
	r.calling.Wait()
	r.hosts[0].start()
	return calls
}

// pickHost returns the host to which a new connection comes at a time of the run.
func (d oneHostScenario) pickHost(r *crashRig, at time.Duration) int {
	most := float64(r.randomInt(1000)) < 1000*oneHostPart
	switch {
	case at < oneHostEven:
		return r.randomInt(d.hosts)
	case at < oneHostNext && most:
		return 0
	case at < oneHostNext:
		return r.randomInt(d.hosts)
	case most:
		return 1
	default:
		return 1 + r.randomInt(d.hosts-1)
	}
}

// servedBetween returns the fraction of the requests sent in a period that were served.
func servedBetween(calls []cutCall, from, to time.Time) float64 {
	sent, served := 0, 0
	for _, c := range calls {
		if c.began.Before(from) || !c.began.Before(to) {
			continue
		}
		sent++
		if c.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}
