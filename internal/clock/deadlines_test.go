package clock_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// TestDeadlinesAfterSuspension suspends the machine for six seconds while there are contexts with
// deadlines after five and ten seconds: the first ends as soon as the suspension is noticed, the
// other four seconds later.
func TestDeadlinesAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadlines := clock.NewDeadlines()
		watchCtx, stop := context.WithCancel(t.Context())
		var reported time.Duration // to be read once watching has ended
		var watching sync.WaitGroup
		watching.Go(func() { deadlines.Watch(watchCtx, func(lasted time.Duration) { reported += lasted }) })
		short, endShort := deadlines.WithDeadline(t.Context(), clock.Now().Add(5*time.Second))
		defer endShort()
		long, endLong := deadlines.WithDeadline(t.Context(), clock.Now().Add(10*time.Second))
		defer endLong()
		time.Sleep(time.Millisecond)
		resumed := time.Now()
		clock.SimulateSuspension(6 * time.Second)
		<-short.Done()
		if after := time.Since(resumed); after > 200*time.Millisecond {
			t.Errorf("first context ended %v after the suspension", after)
		}
		if long.Err() != nil {
			t.Error("second context ended with the first")
		}
		<-long.Done()
		if after := time.Since(resumed); after < 3900*time.Millisecond || after > 4*time.Second {
			t.Errorf("second context ended %v after the suspension", after)
		}
		stop()
		watching.Wait()
		if reported != 6*time.Second {
			t.Errorf("reported suspensions of %v in total", reported)
		}
	})
}
