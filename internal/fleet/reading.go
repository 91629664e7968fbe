package fleet

import "time"

// Parameters of the estimate of reading times.
const (
	// readingQuantile of the latencies is taken for an unloaded engine's: most
	// of what is above it was spent waiting.
	readingQuantile = 0.3
	readingStep     = 0.08 // of the estimate, at each answer
	readingShort    = 1500 // prompts of fewer tokens tell the time that any answer takes
	readingLong     = 3000 // prompts of more tell the time per token
	// Priors: an engine answers a short prompt in some 60 ms and reads about a
	// hundred tokens in a millisecond, as measured on both users' calm days.
	readingBase     = 60 * time.Millisecond
	readingPerToken = 10 * time.Microsecond
)

// reading estimates how long an engine that does nothing else takes until the
// head of an answer, for one model; an immutable value.
type reading struct {
	base     float64 // seconds
	perToken float64 // seconds
}

func newReading() reading {
	return reading{base: readingBase.Seconds(), perToken: readingPerToken.Seconds()}
}

// with returns the estimate after an answer's head.
func (r reading) with(tokens int, took time.Duration) reading {
	switch {
	case tokens < readingShort:
		r.base = quantileStep(r.base, took.Seconds())
	case tokens > readingLong:
		r.perToken = quantileStep(r.perToken, max(took.Seconds()-r.base, 0)/float64(tokens))
	}
	return r
}

// quantileStep moves an estimate of a quantile towards a sample.
func quantileStep(estimate, sample float64) float64 {
	if sample < estimate {
		return estimate * (1 - readingStep*(1-readingQuantile))
	}
	return estimate * (1 + readingStep*readingQuantile)
}

// tokens returns the time that tokens take to be read.
func (r reading) tokens(n int) time.Duration {
	return time.Duration(float64(n) * r.perToken * float64(time.Second))
}

// head returns the time until an answer's head when n tokens have to be read.
func (r reading) head(n int) time.Duration {
	return time.Duration(r.base*float64(time.Second)) + r.tokens(n)
}
