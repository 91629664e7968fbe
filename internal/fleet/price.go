package fleet

import "time"

// price is the cost of a second of an engine's prefill for other requests, in seconds that they
// wait. It follows observations: where a server processes requests in turn, each second of work
// adds to the waits of the requests behind it as many seconds as requests wait on average for each
// second of their own work (the mean wait of an M/G/1 queue over its mean service time,
// load/(1-load) for exponential service times). It is immutable.
type price struct{ wait, work float64 } // smoothed, in seconds

// Parameters of the price.
const (
	// priceWeight is the weight of a response: about forty responses count, a few seconds of a
	// host's traffic.
	priceWeight = 0.025
	// maxPrice bounds the price: beyond it, requests are late whichever endpoint is chosen.
	maxPrice = 4.0
	// priorWork is the prior: no waits in a second of work.
	priorWork = 1.0
)

// with returns the price after a response that waited beyond its own work.
func (p price) with(wait, work time.Duration) price {
	if p.work == 0 {
		p.work = priorWork
	}
	p.wait += priceWeight * (wait.Seconds() - p.wait)
	p.work += priceWeight * (work.Seconds() - p.work)
	return p
}

// perSecond returns the price of a second of work; 0 if no request waits.
func (p price) perSecond() float64 {
	if p.work == 0 {
		return 0
	}
	return min(p.wait/p.work, maxPrice)
}
