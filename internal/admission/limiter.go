package admission

import (
	"math"
	"math/bits"
	"time"
)

// Parameters of the limit that adapts to latency.
const (
	minLimit           = 4
	toleratedRatio     = 2.0    // ratio of latency to its baseline that is still acceptable
	toleratedExcess    = 0.05   // seconds above that, too few for users to mind
	recentWeight       = 0.2    // weight of a new latency in the averages of recent ones
	baselineRiseWeight = 0.0005 // weight of a new latency in its baseline if it is higher
	baselineFallWeight = 0.05   // the same if it is lower
	adjustInterval     = 8      // observations between two changes of the limit
	moderateDecrease   = 0.95   // factor by which the limit falls while latency is somewhat high
	severeGradient     = 0.5    // gradient below which latency is far too high
	severeDecrease     = 0.7    // factor by which the limit falls then
	minUtilization     = 0.5    // part of the limit that must be in use for it to rise
	maxKinds           = 512    // most kinds of requests with a baseline of their own
)

// Kind groups requests whose times to the first token are comparable: those with the same version
// and prompts of similar length.
type Kind struct {
	Version string
	Size    int // bit length of the prompt's length in bytes, so that each size covers a factor of two
}

// KindOf returns the kind of a request with a version and a prompt length in bytes.
func KindOf(version string, length int) Kind {
	return Kind{Version: version, Size: bits.Len(uint(length))}
}

// limiter is a concurrency limit that adapts to the time to the first token. It shrinks while
// recent times are well above the baselines of their kinds, and otherwise grows by one at a time. A
// baseline falls quickly and rises slowly, so that an overload does not become the baseline.
type limiter struct {
	max          int
	limit        float64
	baselines    map[Kind]float64 // smoothed latencies in seconds
	latencyRatio float64          // smoothed ratio of latency to the highest acceptable one
	meanSeconds  float64          // smoothed latency of all kinds
	observations int
}

func newLimiter(maxLimit int) limiter {
	return limiter{max: maxLimit, limit: float64(maxLimit), baselines: map[Kind]float64{}}
}

func (l *limiter) current() int { return int(l.limit) }

// observe records one latency together with the number of requests in flight.
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

// adjust lowers the limit if recent latencies are too high, and raises it if they are not and the
// limit is in use.
func (l *limiter) adjust(inFlight int) {
	least := float64(min(minLimit, l.max))
	gradient := 1 / math.Max(l.latencyRatio, 1e-9)
	switch {
	case gradient < 1:
		// The requests in flight cause the latency. A limit far above their number would need
		// many decreases before it had an effect, so the decrease starts from that number.
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
