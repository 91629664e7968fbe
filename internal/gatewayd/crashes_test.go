package gatewayd_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The tests below guard against one request crashing endpoint after endpoint. Callers lost hundreds of
// streams, for a quarter of a minute at a time, because each crash ended everything that ran there.
//
// Sequence: a request crashes the endpoint that runs it. Its host treats this as any broken connection
// and retries the request on the next endpoint, which crashes, and on a third. The caller resends it
// under another id to another host, which knows nothing of it. Endpoints restart after some seconds and
// receive it again. Requests that ran beside it are retried in the same way until their attempts or the
// retry budget run out.
//
// Cause: hosts identified a request only by its id, and only while it lasted, and a crash only by the
// broken connection; nothing that one of them observed outlived the attempt.
//
// Evidence: of 24 endpoints that broke off requests in the hosts' logs, one request, identified by its
// caller, route and length, was at 17, no other at more than 6. The tests failed under this sequence.

// crashScenarios are runs in which a request crashes the endpoints that run it.
var crashScenarios = map[string]crashScenario{
	"all lose power after the third crash":          {path: "/stream/", interval: 250 * time.Millisecond, killAt: 1500 * time.Millisecond, endpointsLostAt: 1500 * time.Millisecond},
	"a stream, repeatedly":                          {path: "/stream/", interval: 250 * time.Millisecond},
	"a stream that crashes after the response head": {path: "/stream/", interval: 250 * time.Millisecond, afterHead: true},
	"at several hosts at once":                      {path: "/stream/", interval: 700 * time.Millisecond, copies: 3},
	"more copies than endpoints, at once":           {path: "/stream/", interval: 400 * time.Millisecond, copies: 24},
	"more copies of a call than endpoints":          {path: "/again/", interval: 400 * time.Millisecond, copies: 24},
	"many at once, with random crashes":             {path: "/again/", interval: 400 * time.Millisecond, copies: 24, randomCrashInterval: 700 * time.Millisecond},
	"many streams at once, with random crashes":     {path: "/stream/", interval: 400 * time.Millisecond, copies: 24, randomCrashInterval: 400 * time.Millisecond},
	"at 2 hosts":                                    {path: "/stream/", interval: 250 * time.Millisecond, copies: 2, hosts: 2},
	"at 16 hosts, a copy at each":                   {path: "/stream/", interval: 700 * time.Millisecond, copies: 16, hosts: 16},
	"rarely":                                        {path: "/stream/", interval: 1500 * time.Millisecond},
	"an idempotent call":                            {path: "/again/", interval: 250 * time.Millisecond},
	"a non-idempotent call":                         {path: "/once/", interval: 250 * time.Millisecond},
	"all hosts are killed and restarted":            {path: "/stream/", interval: 250 * time.Millisecond, killAt: 8 * time.Second},
	"while the store does not answer":               {path: "/stream/", interval: 250 * time.Millisecond, storeSilent: true},
	"with random crashes":                           {path: "/stream/", interval: 250 * time.Millisecond, randomCrashInterval: 1500 * time.Millisecond},
	"with random crashes, among identical requests": {path: "/stream/", interval: 250 * time.Millisecond, randomCrashInterval: 1500 * time.Millisecond, identical: true},
}

// minOthersServed is the least fraction of the other callers' requests that must be answered in the
// second half of a run: as many as without the crashing request.
const minOthersServed = 0.99

func TestRequestThatCrashesEndpoints(t *testing.T) {
	for name, d := range crashScenarios {
		t.Run(name, func(t *testing.T) {
			d.duration = 20 * time.Second
			runCrashScenario(t, d, func(r *crashRig) {
				sends, crashes := r.crashTimes()
				Expect(len(crashes)).To(BeNumerically(">=", 3))
				slices.SortFunc(crashes, time.Time.Compare)
				late := 0
				for _, at := range sends {
					if at.After(crashes[2].Add(quarantineWithin)) {
						late++
					}
				}
				t.Logf("%d sends, %d endpoints crashed, %d sends late, %.3f of the others served", len(sends), len(crashes), late, r.served())
				Expect(late).To(BeNumerically("<=", maxLateSends), "sends later than %s after the third crash", quarantineWithin)
				Expect(r.served()).To(BeNumerically(">=", minOthersServed))
			})
		})
	}
}

// randomCrashScenarios are runs in which endpoints crash at random and no request is the cause.
var randomCrashScenarios = map[string]crashScenario{
	"requests that all differ":   {randomCrashInterval: 700 * time.Millisecond},
	"half of them are identical": {randomCrashInterval: 700 * time.Millisecond, identical: true},
}

func TestRequestsBesideRandomCrashes(t *testing.T) {
	for name, d := range randomCrashScenarios {
		t.Run(name, func(t *testing.T) {
			d.duration = 40 * time.Second
			runCrashScenario(t, d, func(r *crashRig) {
				refused := 0
				for _, o := range r.outcomes {
					if o.status == 503 {
						refused++
					}
				}
				t.Logf("%d requests, %d refused, %.3f served", len(r.outcomes), refused, r.served())
				Expect(refused).To(BeZero())
				Expect(r.served()).To(BeNumerically(">=", minOthersServed))
			})
		})
	}
}
