package fleet

import "time"

// price is what a second of an engine's reading costs others, in seconds that they
// wait. It follows what is observed: where a server works in turn, each second of
// work adds to the waits of those behind it as many seconds as requests wait on
// average for each second of their own work (the mean wait of an M/G/1 queue over its
// mean service time, load/(1-load) for exponential ones). An immutable value.
type price struct{ wait, work float64 } // smoothed, seconds

// Parameters of the price.
const (
	// priceWeight weighs an answer: some forty count, a few seconds of a host.
	priceWeight = 0.025
	// maxPrice bounds it: beyond, requests are late whatever is chosen.
	maxPrice = 4.0
	// priorWork is the prior: no waits in a second of work.
	priorWork = 1.0
)

// with returns the price after an answer that waited beyond its own work.
func (p price) with(wait, work time.Duration) price {
	if p.work == 0 {
		p.work = priorWork
	}
	p.wait += priceWeight * (wait.Seconds() - p.wait)
	p.work += priceWeight * (work.Seconds() - p.work)
	return p
}

// perSecond is the price of a second of work; 0 where nobody waits.
func (p price) perSecond() float64 {
	if p.work == 0 {
		return 0
	}
	return min(p.wait/p.work, maxPrice)
}
