package admission

import (
	"math"
	"time"
)

// Parameters of the limit that follows latency.
const (
	minLimit    = 4
	tolerated   = 2.0    // recent latency over the usual one that is still well
	unnoticed   = 0.05   // seconds over the usual latency that nobody minds
	recent      = 0.2    // weight of a new latency in the recent one
	drift       = 0.0005 // weight with which the usual one follows upwards
	fall        = 0.05   // and downwards
	adjustEvery = 8      // observations between two changes
	softly      = 0.95   // factor of a change while latency is somewhat high
	hard        = 0.5    // gradient below which it is far too high
	hardly      = 0.7    // and the factor then
	inUse       = 0.5    // part of the limit that must be in use to raise it
)

// limiter is a concurrency limit that follows the time to the first token: it
// shrinks while the recent time is well above the usual one, and grows by one at a
// time while it is not. The usual time follows
// falls quickly and rises slowly, so that an overload does not become usual.
type limiter struct {
	most   int
	limit  float64
	recent float64 // smoothed seconds
	usual  float64 // smoothed seconds
	count  int
}

func newLimiter(most int) limiter { return limiter{most: most, limit: float64(most)} }

func (l *limiter) now() int { return int(l.limit) }

// observe takes in one latency, with the count of requests in flight.
func (l *limiter) observe(latency time.Duration, flying int) {
	seconds := latency.Seconds()
	if l.usual == 0 {
		l.recent, l.usual = seconds, seconds
	}
	l.recent += (seconds - l.recent) * recent
	weight := drift
	if seconds < l.usual {
		weight = fall
	}
	l.usual += (seconds - l.usual) * weight
	l.count++
	if l.count%adjustEvery == 0 {
		l.adjust(flying)
	}
}

// adjust changes the limit.
func (l *limiter) adjust(flying int) {
	least := float64(min(minLimit, l.most))
	gradient := (tolerated*l.usual + unnoticed) / math.Max(l.recent, 1e-9)
	switch {
	case gradient < 1:
		// Requests in flight are what causes the latency; a limit far above them
		// would take long to matter.
		from := math.Min(l.limit, float64(max(flying, int(least))))
		factor := softly
		if gradient < hard {
			factor = hardly
		}
		l.limit = math.Max(from*factor, least)
	case float64(flying) > l.limit*inUse:
		l.limit = math.Min(l.limit+1, float64(l.most))
	}
}
