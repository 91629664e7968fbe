package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// suspensionCases are the cases of a host that bounds another host's clock: the transit time of the
// last reply before the suspension, the length of the suspension, and the transit time of the next
// reply (0 for none).
var suspensionCases = map[string]struct{ before, suspended, after time.Duration }{
	"longer than the width of the bounds":               {time.Millisecond, 5 * time.Second, time.Millisecond},
	"shorter than the width":                            {4 * time.Second, time.Second, time.Millisecond},
	"shorter than the width, slow next reply":           {4 * time.Second, time.Second, 4 * time.Second},
	"longer than the width, slow next reply":            {time.Millisecond, 5 * time.Second, 6 * time.Second},
	"as long as the width, faster next reply":           {2 * time.Second, 2 * time.Second, time.Second},
	"slightly longer than the width, faster next reply": {2 * time.Second, 2100 * time.Millisecond, time.Second},
	"much shorter than the width, faster next reply":    {4 * time.Second, 100 * time.Millisecond, time.Second},
	"longer than the width, no next reply":              {time.Millisecond, 5 * time.Second, 0},
}

// TestRemoteCountsSuspension suspends the machine while another host's clock keeps running. When
// bounds were extrapolated with a clock that stops during suspension, they were wrong by the length
// of the suspension, not only wide. If the next reply still overlapped with them they stayed wrong,
// since each reply only narrows the bounds. Leases, shares of upgrades and expiry depended on them.
func TestRemoteCountsSuspension(t *testing.T) {
	for name, s := range suspensionCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started, suspended := time.Now(), time.Duration(0)
				other := func() time.Duration { return time.Since(started) + suspended }
				var r clock.Remote
				observe := func(took time.Duration) {
					sent, shown := clock.Now(), other()
					time.Sleep(took)
					r.Observe(clock.Bounds{Earliest: shown, Latest: shown}, sent, clock.Now())
				}
				observe(s.before)
				clock.SimulateSuspension(s.suspended)
				suspended += s.suspended
				checkBounds(t, &r, other(), s.before+2*time.Millisecond)
				if s.after > 0 {
					observe(s.after)
					checkBounds(t, &r, other(), min(s.before, s.after)+4*time.Millisecond)
				}
			})
		})
	}
}

func TestSteadyCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewSteady()
		clock.SimulateSuspension(3 * time.Second)
		if c.Now() != 3*time.Second {
			t.Errorf("%s", c.Now())
		}
	})
}
