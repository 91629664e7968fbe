package quarantine

import (
	"testing"
	"time"
)

// partialReportScenarios are scenarios in which hosts report one after the other what ran at an
// endpoint that crashed, and some learn of crashes only from the endpoint list.
var partialReportScenarios = map[string]func(d *scenario){
	"7 hosts": func(d *scenario) {
		d.hosts, d.reportDelay, d.lateReportSpread = 7, 20*time.Millisecond, 50*time.Millisecond
	},
	"60 hosts": func(d *scenario) {
		d.hosts, d.reportDelay, d.lateReportSpread = 60, 40*time.Millisecond, 150*time.Millisecond
	},
	"345 hosts": func(d *scenario) {
		d.hosts, d.reportDelay, d.lateReportSpread = 345, 60*time.Millisecond, 350*time.Millisecond
	},
}

const partialReportSeeds = 15

// TestRequestsWhileNewsOfACrashComeInParts guards against the refusal of requests that ran at
// crashes which other requests caused, when a host receives their reports before those of the other
// requests. It also guards against late sends of the requests that crash endpoints.
func TestRequestsWhileNewsOfACrashComeInParts(t *testing.T) {
	for name, change := range partialReportScenarios {
		t.Run(name, func(t *testing.T) {
			d := baseScenario
			d.crashingRequests, d.copyInterval, d.identicalFraction, d.endpoints = 3, 600*time.Millisecond, 0.3, 7
			change(&d)
			var sum, unsettled, late simResult
			for seed := range uint64(partialReportSeeds) {
				r := simulate(d, seed, AttributePartial)
				if r.lateSends > maxLate {
					t.Errorf("seed %d: %d sends later than 3 s after the third crash, %d allowed", seed, r.lateSends, maxLate)
				}
				sum, unsettled = sum.plus(r), unsettled.plus(simulate(d, seed, Attribute))
				lateReports := d
				lateReports.lateReportFraction = 0.2
				late = late.plus(simulate(lateReports, seed, AttributePartial))
			}
			t.Logf("in quarantine though they crash nothing: %d of %d (%d without settling), %d if a fifth of the hosts learn from the list; %.1f crashes per run (%.1f)",
				sum.wronglyQuarantined, sum.requests, unsettled.wronglyQuarantined, late.wronglyQuarantined, float64(sum.crashes)/partialReportSeeds, float64(unsettled.crashes)/partialReportSeeds)
			for _, r := range []simResult{sum, late} {
				if part := float64(r.wronglyQuarantined) / float64(r.requests); part > maxWronglyQuarantined {
					t.Errorf("%d of %d requests are in quarantine though they crash nothing, %.4f allowed", r.wronglyQuarantined, r.requests, maxWronglyQuarantined)
				}
			}
		})
	}
}
