package gateway

import (
	"math/rand/v2"
	"sync"
)

// firstModels tell, by route, whether requests do better if they begin with the largest
// model; safe for use at once. Where nearly all answers of the smallest are dropped,
// its runs are waste and the larger answer comes later for them.
type firstModels struct {
	mu     sync.Mutex // guards all below
	routes map[string]*routeGain
}

// Parameters of beginnings.
const (
	// gainWeight weighs an answer of the smallest model, beginLeast of them say
	// something; a host of a small deployment sees so many of a route in 15 seconds.
	gainWeight     = 0.05
	minGainSamples = 16
	// minGain is how much better the largest has to be, as a part of the answer's
	// worth: below, the priors of what is right say more than the answers.
	minGain = 0.02
	// smallestProbeFraction of the requests begin with the smallest model all the same, so that a
	// change is noticed.
	smallestProbeFraction = 0.1
)

// routeGain is how much better requests of a route do that begin with the largest
// model, smoothed.
type routeGain struct {
	gain    float64
	samples int
}

func newFirstModels() *firstModels { return &firstModels{routes: map[string]*routeGain{}} }

// record takes in what an answer of the smallest model told: how much better the request
// would have done if it had begun with the largest.
func (b *firstModels) record(route string, gain float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.routes[route]
	if !ok {
		r = &routeGain{gain: gain}
		b.routes[route] = r
	}
	r.gain += gainWeight * (gain - r.gain)
	r.samples++
}

// startWithLargest reports whether a request begins with the startWithLargest model.
func (b *firstModels) startWithLargest(route string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.routes[route]
	return ok && r.samples >= minGainSamples && r.gain > minGain && rand.Float64() >= smallestProbeFraction
}
