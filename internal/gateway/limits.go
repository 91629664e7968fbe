package gateway

import (
	"time"

	"golang.org/x/time/rate"
)

// limitLogInterval is the minimum interval between log lines about limits that change, and between
// those about limits that can't be parsed.
const limitLogInterval = time.Second

// unreachedLogInterval is the minimum interval between log lines about endpoints that are not reached: a
// host without any way to endpoints would write thousands.
const unreachedLogInterval = 50 * time.Millisecond

// newLogSampler returns a sampler that passes at most one log line per limitLogInterval.
func newLogSampler() *rate.Sometimes { return &rate.Sometimes{Interval: limitLogInterval} }

// maxLimitWait returns how long the request may wait for endpoints that are at their limits: until
// its caller disconnects, or the response could not arrive in time.
func (x *exchange) maxLimitWait() time.Duration {
	if x.affinityKey(x.model) != 0 && x.headerDelay == 0 {
		return x.usefulTime()
	}
	return max(x.timeLeft()-x.route.Objective, 1)
}
