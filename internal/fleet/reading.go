package fleet

import (
	"math/bits"
	"time"
)

// Parameters of the estimate of reading times.
const (
	// readingQuantile of the latencies is taken for an unloaded engine's: most
	// of what is above it was spent waiting.
	readingQuantile = 0.35
	readingStep     = 0.08 // of the estimate, at each answer
	readingShort    = 1500 // prompts of fewer tokens tell the time that any answer takes
	// Long prompts are told apart by length, in powers of two from here on: the
	// time for each token rises with the prompt.
	readingLong  = 2000
	readingBands = 6
	// Priors: an engine answers a short prompt in some 60 ms and reads about a
	// hundred tokens in a millisecond, as measured on both users' calm days.
	readingBase     = 60 * time.Millisecond
	readingPerToken = 10 * time.Microsecond
)

// reading estimates how long an engine that does nothing else takes until the
// head of an answer, for one model; an immutable value.
type reading struct {
	base     float64               // seconds
	perToken [readingBands]float64 // seconds, by length of the prompt; 0 if not seen yet
}

func newReading() reading { return reading{base: readingBase.Seconds()} }

// band is the length of a prompt in powers of two.
func band(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0)/readingLong)), readingBands-1)
}

// with returns the estimate after an answer's head, when tokens were read.
func (r reading) with(tokens int, took time.Duration) reading {
	switch {
	case tokens < readingShort:
		r.base = quantileStep(r.base, took.Seconds())
	case tokens > readingLong:
		b := band(tokens)
		sample := max(took.Seconds()-r.base, 0) / float64(tokens)
		if r.perToken[b] == 0 {
			r.perToken[b] = min(sample, 2*r.rate(b))
			return r
		}
		r.perToken[b] = quantileStep(r.perToken[b], sample)
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

// rate is the time for a token in a band, or in the nearest that was seen.
func (r reading) rate(b int) float64 {
	for d := range readingBands {
		if low := b - d; low >= 0 && r.perToken[low] > 0 {
			return r.perToken[low]
		}
		if high := b + d; high < readingBands && r.perToken[high] > 0 {
			return r.perToken[high]
		}
	}
	return readingPerToken.Seconds()
}

// tokens returns the time that tokens take to be read.
func (r reading) tokens(n int) time.Duration {
	return time.Duration(float64(n) * r.rate(band(n)) * float64(time.Second))
}

// head returns the time until an answer's head when n tokens have to be read.
func (r reading) head(n int) time.Duration {
	return time.Duration(r.base*float64(time.Second)) + r.tokens(n)
}
