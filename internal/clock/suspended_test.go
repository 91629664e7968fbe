package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// suspensions are of a host that bounds another one's clock: how long its answer took to come
// before, how long the machine is suspended, and how long the next answer takes.
var suspensions = map[string]struct{ before, suspended, after time.Duration }{
	"longer than the bounds are wide":                        {time.Millisecond, 5 * time.Second, time.Millisecond},
	"shorter than the bounds are wide":                       {4 * time.Second, time.Second, time.Millisecond},
	"shorter than the bounds are wide, and the next too":     {4 * time.Second, time.Second, 4 * time.Second},
	"longer than the bounds are wide, and a slow next one":   {time.Millisecond, 5 * time.Second, 6 * time.Second},
	"about as long as the bounds are wide":                   {2 * time.Second, 2 * time.Second, time.Second},
	"a little longer than the bounds, and a slow next one":   {2 * time.Second, 2100 * time.Millisecond, time.Second},
	"much shorter than the bounds, and a quicker next one":   {4 * time.Second, 100 * time.Millisecond, time.Second},
	"while nothing is asked afterwards, at the first moment": {time.Millisecond, 5 * time.Second, 0},
}

// TestRemoteCountsSuspension: a machine is suspended while another host's clock goes on. Bounds
// that were carried on by the clock that stood still were wrong by as long, not only wide; and
// where the next answer still overlapped with them they stayed wrong, since each answer only
// narrows what is known. Leases, shares of upgrades and what lapses went by them.
func TestRemoteCountsSuspension(t *testing.T) {
	for name, s := range suspensions {
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
