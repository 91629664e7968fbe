// Package clock waits: for a time or for the end of a context, with jitter where
// many hosts would otherwise wait in step. It reads the runtime's clock, which
// tests pause and advance with testing/synctest. Remote bounds what the clock of another host shows.
//
// # Usage
//
//	for clock.Sleep(ctx, clock.Jitter(period)) {
//		...
//	}
package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits; false if the context ends first. A time that is over already makes
// no timer: the runtime crashes now and then when a timer that was due at its
// making is waited for in a paused clock's bubble under the race detector.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Jitter returns a time between half of d and d.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(rand.Int64N(int64(d)/2+1))
}

// Around returns a time within a tenth of d, to either side.
func Around(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d - d/10 + time.Duration(rand.Int64N(int64(d)/5+1))
}
