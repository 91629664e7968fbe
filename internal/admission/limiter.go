package admission

import "time"

// Parameters of the limit that follows latency.
const (
	minLimit     = 8
	tolerated    = 3.0  // recent latency over the long-run one that is still well
	decrease     = 0.95 // factor of the limit when it is not
	increase     = 1.0  // added to the limit when it is
	shortWeight  = 0.1
	longWeight   = 0.002
	usedForRaise = 0.5 // part of the limit that must be in use to raise it
	adjustEvery  = 16  // observations between two changes
)

// limiter is a concurrency limit that follows the time to the first token: it
// shrinks while recent latency is well above the long-run one.
type limiter struct {
	most  int
	limit float64
	short float64 // smoothed seconds, recent
	long  float64 // smoothed seconds, long-run
	count int
}

func newLimiter(most int) limiter { return limiter{most: most, limit: float64(most)} }

func (l *limiter) now() int { return int(l.limit) }

// observe takes in one latency, with the count of requests in flight.
func (l *limiter) observe(latency time.Duration, flying int) {
	seconds := latency.Seconds()
	if l.long == 0 {
		l.short, l.long = seconds, seconds
	}
	l.short += (seconds - l.short) * shortWeight
	l.long += (seconds - l.long) * longWeight
	if seconds < l.long {
		l.long += (seconds - l.long) * shortWeight
	}
	l.count++
	if l.count%adjustEvery != 0 {
		return
	}
	least := float64(min(minLimit, l.most))
	switch {
	case l.short > l.long*tolerated:
		l.limit = max(l.limit*decrease, least)
	case float64(flying) > l.limit*usedForRaise:
		l.limit = min(l.limit+increase, float64(l.most))
	}
}
