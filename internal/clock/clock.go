// Package clock provides sleeps that end with a context, jitter that keeps many hosts from acting in
// lockstep, and times and deadlines that count suspensions of the machine. It reads the runtime's
// clock, which tests pause and advance with testing/synctest. Remote bounds the reading of another
// host's clock.
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

// Sleep waits for d and returns false if ctx ends first. It creates no timer if d is not positive:
// under the race detector, the runtime occasionally crashes when a goroutine in a synctest bubble
// waits for a timer that was already due at its creation.
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

// Jitter returns a random duration between half of d and d.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(rand.Int64N(int64(d)/2+1))
}

// Around returns a random duration between 0.9 and 1.1 times d.
func Around(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d - d/10 + time.Duration(rand.Int64N(int64(d)/5+1))
}
