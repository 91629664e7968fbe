package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// exchange is one that another host answers: on its way for there, and back again.
type exchange struct{ outbound, inbound time.Duration }

// exchangeCases are questions in order, with how far the bounds may be apart in the end.
var exchangeCases = map[string]struct {
	exchanges []exchange
	width     time.Duration
}{
	"a quick answer":                  {[]exchange{{time.Millisecond, time.Millisecond}}, 2 * time.Millisecond},
	"an answer that is late":          {[]exchange{{time.Millisecond, time.Second}}, 1001 * time.Millisecond},
	"a late one after a quick one":    {[]exchange{{time.Millisecond, time.Millisecond}, {0, time.Second}}, 3 * time.Millisecond},
	"a wait, and a late answer":       {[]exchange{{3 * time.Second, time.Millisecond}, {time.Millisecond, time.Second}}, 3 * time.Millisecond},
	"a quick one after two late ones": {[]exchange{{time.Second, 0}, {0, time.Second}, {0, time.Millisecond}}, time.Millisecond},
}

func TestRemoteBoundsContainOtherClock(t *testing.T) {
	for name, e := range exchangeCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				other := clock.NewSteady()
				time.Sleep(time.Hour)
				var r clock.Remote
				for _, q := range e.exchanges {
					sent := clock.Now()
					time.Sleep(q.outbound)
					shown := other.Now()
					time.Sleep(q.inbound)
					r.Observe(clock.Bounds{Earliest: shown, Latest: shown}, sent, clock.Now())
				}
				checkBounds(t, &r, other.Now(), e.width)
			})
		})
	}
}

func checkBounds(t *testing.T, r *clock.Remote, shown, width time.Duration) {
	t.Helper()
	b, known := r.Now()
	if !known || b.Earliest > shown || b.Latest < shown {
		t.Errorf("bounds are %v, %v; the clock shows %v", b, known, shown)
	}
	if b.Width() > width {
		t.Errorf("bounds are %v apart, want at most %v", b.Width(), width)
	}
}

func TestRemoteAfterClockRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r clock.Remote
		if _, known := r.Now(); known {
			t.Error("a clock is known that nothing was heard of")
		}
		hour, second := clock.Bounds{Earliest: time.Hour, Latest: time.Hour}, clock.Bounds{Earliest: time.Second, Latest: time.Second}
		r.Observe(hour, clock.Now(), clock.Now())
		r.Observe(second, clock.Now(), clock.Now())
		checkBounds(t, &r, time.Second, 0)
	})
}

func TestRemoteBoundsWidenWithAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r clock.Remote
		r.Observe(clock.Bounds{}, clock.Now(), clock.Now())
		time.Sleep(time.Hour)
		b, _ := r.Now()
		if want := 2 * 200 * time.Microsecond * 3600; b.Width() != want {
			t.Errorf("bounds are %v apart after an hour, want %v", b.Width(), want)
		}
	})
}
