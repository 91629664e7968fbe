package fleet

import (
	"math"
	"time"
)

// Expectation is what an attempt is expected to take.
type Expectation struct {
	Head          time.Duration // until the head of the answer
	Queue         time.Duration // of it, the wait for others
	PrefillTime   time.Duration // of the engine, to read the prompt
	PrefillTokens int           // tokens of the prompt that have to be read
	Exact         bool          // they can't be kept: all parts that others have too are known to be
	Price         float64       // seconds that others wait for a second of work
	// Overrun is how much longer than expected heads take.
	Overrun Overrun
}

// InTime is the chance that the head comes within a time.
func (e Expectation) InTime(within time.Duration) float64 {
	switch {
	case within <= 0:
		return 0
	case e.Head <= 0:
		return 1
	}
	return e.Overrun.below(float64(within) / float64(e.Head))
}

// Overrun is how much longer than expected heads take: mean and variance of the
// logarithm, smoothed. Work of other hosts, and what runs beside, is not known when a
// request is sent. An immutable value.
type Overrun struct{ Mean, Variance float64 }

// Parameters of the Overrun.
const (
	overrunWeight = 0.02 // weight of an answer: some fifty count
	// Priors: heads take half as long again as expected at the median, and three
	// times as long once in seven.
	priorOverrunMean     = 0.4
	priorOverrunVariance = 0.6
	// maxLogOverrun bounds what one answer says: one that waited for a stuck endpoint
	// says little about others.
	maxLogOverrun = 2.5
)

func (o Overrun) withPriors() Overrun {
	if o == (Overrun{}) {
		return Overrun{Mean: priorOverrunMean, Variance: priorOverrunVariance}
	}
	return o
}

// with returns the overrun after a head.
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

// below is the chance that a head takes less than a factor times what is expected.
func (o Overrun) below(factor float64) float64 {
	o = o.withPriors()
	z := (math.Log(factor) - o.Mean) / math.Sqrt(max(o.Variance, 1e-6))
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}
