package admission

import (
	"math"
	"math/bits"
	"time"
)

// Parameters of the limit that follows latency.
const (
	minLimit           = 4
	toleratedRatio     = 2.0    // latency over the usual one that is still well
	toleratedExcess    = 0.05   // seconds over the usual latency that nobody minds
	recentWeight       = 0.2    // weight of a new latency in the recent ones
	baselineRiseWeight = 0.0005 // weight with which a usual one follows upwards
	baselineFallWeight = 0.05   // and downwards
	adjustInterval     = 8      // observations between two changes
	moderateDecrease   = 0.95   // factor of a change while latency is somewhat high
	severeGradient     = 0.5    // gradient below which it is far too high
	severeDecrease     = 0.7    // and the factor then
	minUtilization     = 0.5    // part of the limit that must be in use to raise it
	maxKinds           = 512    // kinds of requests that are told apart
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
	max          int
	limit        float64
	baselines    map[Kind]float64 // smoothed seconds
	latencyRatio float64          // smoothed: latency over what is still well
	meanSeconds  float64          // smoothed latency
	observations int
}

func newLimiter(maxLimit int) limiter {
	return limiter{max: maxLimit, limit: float64(maxLimit), baselines: map[Kind]float64{}}
}

func (l *limiter) current() int { return int(l.limit) }

// observe takes in one latency, with the count of requests in flight.
func (l *limiter) observe(kind Kind, latency time.Duration, inFlight int) {
	seconds := latency.Seconds()
	baseline, known := l.baselines[kind]
	if !known {
		baseline = seconds
		if len(l.baselines) >= maxKinds {
			clear(l.baselines)
		}
	}
	ratio := seconds / (toleratedRatio*baseline + toleratedExcess)
	weight := baselineRiseWeight
	if seconds < baseline {
		weight = baselineFallWeight
	}
	l.baselines[kind] = baseline + (seconds-baseline)*weight
	l.latencyRatio += (ratio - l.latencyRatio) * recentWeight
	l.meanSeconds += (seconds - l.meanSeconds) * recentWeight
	l.observations++
	if l.observations%adjustInterval == 0 {
		l.adjust(inFlight)
	}
}

// adjust changes the limit.
func (l *limiter) adjust(inFlight int) {
	least := float64(min(minLimit, l.max))
	gradient := 1 / math.Max(l.latencyRatio, 1e-9)
	switch {
	case gradient < 1:
		// Requests in flight are what causes the latency; a limit far above them
		// would take long to matter.
		base := math.Min(l.limit, float64(max(inFlight, int(least))))
		factor := moderateDecrease
		if gradient < severeGradient {
			factor = severeDecrease
		}
		l.limit = math.Max(base*factor, least)
	case float64(inFlight) > l.limit*minUtilization:
		l.limit = math.Min(l.limit+1, float64(l.max))
	}
}
