package fleet

import (
	"math"
	"time"
)

// Expectation is the estimate of an attempt.
type Expectation struct {
	Head          time.Duration // until the response head
	Queue         time.Duration // part of Head: the wait for other requests
	PrefillTime   time.Duration // time in which the engine prefills the prompt
	PrefillTokens int           // tokens of the prompt that have to be prefilled
	Exact         bool          // none of these tokens can be cached: all shared parts are known to be cached
	Price         float64       // seconds that other requests wait for a second of work
	// Overrun is how much longer than expected response heads take.
	Overrun Overrun
}

// InTime returns the probability that the response head arrives within a time.
func (e Expectation) InTime(within time.Duration) float64 {
	switch {
	case within <= 0:
		return 0
	case e.Head <= 0:
		return 1
	}
	return e.Overrun.below(float64(within) / float64(e.Head))
}

// Overrun is how much longer than expected response heads take: smoothed mean and variance of the
// logarithm. Work of other hosts, and what else runs on the machine, is not known when a request is
// sent. It is immutable.
type Overrun struct{ Mean, Variance float64 }

// Parameters of the Overrun.
const (
	overrunWeight = 0.02 // weight of a response: about fifty responses count
	// Priors: response heads take half as long again as expected at the median, and three times as
	// long once in seven.
	priorOverrunMean     = 0.4
	priorOverrunVariance = 0.6
	// maxLogOverrun bounds the effect of a response: one that waited for a stuck endpoint indicates
	// little about others.
	maxLogOverrun = 2.5
)

func (o Overrun) withPriors() Overrun {
	if o == (Overrun{}) {
		return Overrun{Mean: priorOverrunMean, Variance: priorOverrunVariance}
	}
	return o
}

// with returns the overrun after a response head.
func (o Overrun) with(took, expected time.Duration) Overrun {
	o = o.withPriors()
	if took <= 0 || expected <= 0 {
		return o
	}
	log := min(max(math.Log(float64(took)/float64(expected)), -maxLogOverrun), maxLogOverrun)
	off := log - o.Mean
	o.Mean += overrunWeight * off
	o.Variance += overrunWeight * (off*off - o.Variance)
	return o
}

// below returns the probability that a response head takes less than a factor times the expected
// time.
func (o Overrun) below(factor float64) float64 {
	o = o.withPriors()
	z := (math.Log(factor) - o.Mean) / math.Sqrt(max(o.Variance, 1e-6))
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}
