package admission

import (
	"math"
	"math/bits"
	"time"
)

// Parameters of the limit that follows latency.
const (
	minLimit    = 4
	tolerated   = 2.0    // latency over the usual one that is still well
	unnoticed   = 0.05   // seconds over the usual latency that nobody minds
	recent      = 0.2    // weight of a new latency in the recent ones
	drift       = 0.0005 // weight with which a usual one follows upwards
	fall        = 0.05   // and downwards
	adjustEvery = 8      // observations between two changes
	softly      = 0.95   // factor of a change while latency is somewhat high
	hard        = 0.5    // gradient below which it is far too high
	hardly      = 0.7    // and the factor then
	inUse       = 0.5    // part of the limit that must be in use to raise it
	mostKinds   = 512    // kinds of requests that are told apart
)

// Kind tells requests apart whose first tokens take unlike times: those of unlike
// versions, and those with long and with short prompts.
type Kind struct {
	Version string
	Size    int // of the prompt, a power of two
}

// KindOf returns the kind of a request by its version and its length in bytes.
func KindOf(version string, length int) Kind {
	return Kind{Version: version, Size: bits.Len(uint(length))}
}

// limiter is a concurrency limit that follows the time to the first token: it
// shrinks while recent times are well above the usual ones of their kind, and
// grows by one at a time while they are not. A usual time follows falls quickly
// and rises slowly, so that an overload does not become usual.
type limiter struct {
	most    int
	limit   float64
	usual   map[Kind]float64 // smoothed seconds
	strain  float64          // smoothed: latency over what is still well
	seconds float64          // smoothed latency
	count   int
}

func newLimiter(most int) limiter {
	return limiter{most: most, limit: float64(most), usual: map[Kind]float64{}}
}

func (l *limiter) now() int { return int(l.limit) }

// observe takes in one latency, with the count of requests in flight.
func (l *limiter) observe(kind Kind, latency time.Duration, flying int) {
	seconds := latency.Seconds()
	usual, known := l.usual[kind]
	if !known {
		usual = seconds
		if len(l.usual) >= mostKinds {
			clear(l.usual)
		}
	}
	strain := seconds / (tolerated*usual + unnoticed)
	weight := drift
	if seconds < usual {
		weight = fall
	}
	l.usual[kind] = usual + (seconds-usual)*weight
	l.strain += (strain - l.strain) * recent
	l.seconds += (seconds - l.seconds) * recent
	l.count++
	if l.count%adjustEvery == 0 {
		l.adjust(flying)
	}
}

// adjust changes the limit.
func (l *limiter) adjust(flying int) {
	least := float64(min(minLimit, l.most))
	gradient := 1 / math.Max(l.strain, 1e-9)
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
