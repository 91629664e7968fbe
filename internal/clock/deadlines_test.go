package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// TestDeadlinesAfterSuspension has contexts of five and of ten seconds while the machine is
// suspended for six: the first ends as soon as that is noticed, the other four seconds later.
func TestDeadlinesAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadlines := clock.NewDeadlines()
		watchCtx, stop := context.WithCancel(t.Context())
		var reported time.Duration
		go deadlines.Watch(watchCtx, func(lasted time.Duration) { reported += lasted })
		short, endShort := deadlines.WithDeadline(t.Context(), clock.Now().Add(5*time.Second))
		defer endShort()
		long, endLong := deadlines.WithDeadline(t.Context(), clock.Now().Add(10*time.Second))
		defer endLong()
		time.Sleep(time.Millisecond)
		resumed := time.Now()
		clock.SimulateSuspension(6 * time.Second)
		<-short.Done()
		if after := time.Since(resumed); after > 200*time.Millisecond {
			t.Errorf("it ended %v after the machine was back", after)
		}
		if long.Err() != nil {
			t.Error("the other one ended too")
		}
		<-long.Done()
		if after := time.Since(resumed); after < 3900*time.Millisecond || after > 4*time.Second {
			t.Errorf("the other one ended %v after the machine was back", after)
		}
		if reported != 6*time.Second {
			t.Errorf("%v were told", reported)
		}
		stop()
	})
}
