package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// exchange holds the transit times of a request to another host and of its reply.
type exchange struct{ outbound, inbound time.Duration }

// exchangeCases are sequences of exchanges with the maximum width of the bounds after them.
var exchangeCases = map[string]struct {
	exchanges []exchange
	width     time.Duration
}{
	"fast reply":                                   {[]exchange{{time.Millisecond, time.Millisecond}}, 2 * time.Millisecond},
	"slow reply":                                   {[]exchange{{time.Millisecond, time.Second}}, 1001 * time.Millisecond},
	"slow reply after a fast one":                  {[]exchange{{time.Millisecond, time.Millisecond}, {0, time.Second}}, 3 * time.Millisecond},
	"slow request, then slow reply":                {[]exchange{{3 * time.Second, time.Millisecond}, {time.Millisecond, time.Second}}, 3 * time.Millisecond},
	"fast reply after slow request and slow reply": {[]exchange{{time.Second, 0}, {0, time.Second}, {0, time.Millisecond}}, time.Millisecond},
}

func TestRemoteBoundsContainOtherClock(t *testing.T) {
	for name, c := range exchangeCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				other := clock.NewSteady()
				time.Sleep(time.Hour)
				var r clock.Remote
				for _, x := range c.exchanges {
					sent := clock.Now()
					time.Sleep(x.outbound)
					shown := other.Now()
					time.Sleep(x.inbound)
					r.Observe(clock.Bounds{Earliest: shown, Latest: shown}, sent, clock.Now())
				}
				checkBounds(t, &r, other.Now(), c.width)
			})
		})
	}
}

func checkBounds(t *testing.T, r *clock.Remote, shown, width time.Duration) {
	t.Helper()
	b, known := r.Now()
	if !known || b.Earliest > shown || b.Latest < shown {
		t.Errorf("bounds are %v, known %v; the clock reads %v", b, known, shown)
	}
	if b.Width() > width {
		t.Errorf("width of the bounds is %v, want at most %v", b.Width(), width)
	}
}

func TestRemoteAfterClockRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r clock.Remote
		if _, known := r.Now(); known {
			t.Error("bounds are known before the first reading")
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
			t.Errorf("width of the bounds after an hour is %v, want %v", b.Width(), want)
		}
	})
}
