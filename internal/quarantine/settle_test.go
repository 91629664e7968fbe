package quarantine

import (
	"testing"
	"time"
)

// partDays are days on which hosts tell one after the other what ran at an endpoint that crashed, and some hear of
// crashes from the list of endpoints only.
var partDays = map[string]func(d *poolDay){
	"7 hosts":   func(d *poolDay) { d.hosts, d.news, d.spread = 7, 20*time.Millisecond, 50*time.Millisecond },
	"60 hosts":  func(d *poolDay) { d.hosts, d.news, d.spread = 60, 40*time.Millisecond, 150*time.Millisecond },
	"345 hosts": func(d *poolDay) { d.hosts, d.news, d.spread = 345, 60*time.Millisecond, 350*time.Millisecond },
}

const partSeeds = 15

// TestRequestsWhileNewsOfACrashComeInParts guards against the refusal of requests that were beside crashes under
// others, of which a host hears before it hears of those, and against late sends of the others.
func TestRequestsWhileNewsOfACrashComeInParts(t *testing.T) {
	for name, change := range partDays {
		t.Run(name, func(t *testing.T) {
			d := usualDay
			d.guilty, d.copies, d.shared, d.endpoints = 3, 600*time.Millisecond, 0.3, 7
			change(&d)
			var sum, before, unproven poolResult
			for seed := range uint64(partSeeds) {
				r := playPool(d, seed, AttributePartial)
				if r.late > lateMost {
					t.Errorf("seed %d: %d sends later than 3 s after the third crash, %d allowed", seed, r.late, lateMost)
				}
				sum, before = sum.plus(r), before.plus(playPool(d, seed, Attribute))
				listed := d
				listed.unproven = 0.2
				unproven = unproven.plus(playPool(listed, seed, AttributePartial))
			}
			t.Logf("in quarantine though they crash nothing: %d of %d (%d by all news at once), %d where the list tells a fifth; %.1f crashes a day (%.1f)",
				sum.innocent, sum.requests, before.innocent, unproven.innocent, float64(sum.crashes)/partSeeds, float64(before.crashes)/partSeeds)
			for _, r := range []poolResult{sum, unproven} {
				if part := float64(r.innocent) / float64(r.requests); part > innocentMost {
					t.Errorf("%d of %d requests are in quarantine that crash nothing, %.4f allowed", r.innocent, r.requests, innocentMost)
				}
			}
		})
	}
}
