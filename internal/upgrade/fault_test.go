package upgrade

import (
	"fmt"
	"testing"

	"quaybarrow/internal/clock"
)

// judgementOfEqualFailures returns a judgement of a target that fails half of its answers, as all
// but one of the other versions' endpoints do.
func judgementOfEqualFailures() Judgement {
	j := Judgement{Weighed: VersionCounts{Target: Count{Bad: 20, Good: 20}, Other: Count{Bad: 90, Good: 110}, TargetByEndpoint: Tallies{}, OtherByEndpoint: Tallies{}}}
	for n := range 40 {
		j.Weighed.TargetByEndpoint.add(tallyOne(fmt.Sprint("new", n%4), n%8 < 4))
	}
	for n := range 200 {
		j.Weighed.OtherByEndpoint.add(tallyOne(fmt.Sprint("old", n%10), n%10 > 0 && n/10%2 == 0))
	}
	return j
}

// TestHostStopsAVersionThatFailsAsOthersDo guards against hosts that use such a version until they
// read its roll-back from the progress row.
func TestHostStopsAVersionThatFailsAsOthersDo(t *testing.T) {
	now := clock.Now()
	for name, c := range map[string]struct {
		s    serviceUpgrade
		stop bool
	}{
		"while a larger share is not due":              {serviceUpgrade{progress: Progress{Revision: 1, Stage: 0}, manyFailuresAt: now.Add(-maxUndecided / 2)}, false},
		"once the last share is written":               {serviceUpgrade{progress: Progress{Revision: 1, Stage: lastStage}}, true},
		"long after many failures":                     {serviceUpgrade{progress: Progress{Revision: 1, Stage: 0}, manyFailuresAt: now.Add(-maxUndecided)}, true},
		"not again once the host has stopped using it": {serviceUpgrade{progress: Progress{Revision: 1, Stage: 0}, manyFailuresAt: now.Add(-maxUndecided), rejectReason: "bad answers"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c.s.order.Revision, c.s.row.Version, c.s.judgedAt = 1, 1, now
			if got := c.s.reasonToReject(judgementOfEqualFailures()); (got != "") != c.stop {
				t.Errorf("fault %q, stop %v", got, c.stop)
			}
		})
	}
}
