package gateway

import (
	"math/rand/v2"
	"sync"
)

// firstModels tracks by route whether requests do better if they start with the largest model.
// Where nearly all responses of the smallest model are dropped, running it is wasted work and
// delays the larger model's response. It is safe for concurrent use.
type firstModels struct {
	mu     sync.Mutex // guards all below
	routes map[string]*routeGain
}

// Parameters of firstModels.
const (
	// gainWeight is the weight of one response of the smallest model, and minGainSamples is how
	// many of them are significant; a host of a small deployment sees that many for a route in 15
	// seconds.
	gainWeight     = 0.05
	minGainSamples = 16
	// minGain is how much better the largest model has to be, as a fraction of the answer's value.
	// Below it, the priors for correctness say more than the responses.
	minGain = 0.02
	// smallestProbeFraction of the requests start with the smallest model in any case, so that a
	// change is noticed.
	smallestProbeFraction = 0.1
)

// routeGain is how much better a route's requests do if they start with the largest model,
// smoothed.
type routeGain struct {
	gain    float64
	samples int
	noRoom  bool // the last time that the largest model was weighed, no endpoint had room for it
}

func newFirstModels() *firstModels { return &firstModels{routes: map[string]*routeGain{}} }

// record records a result of the smallest model: how much better the request would have done if it
// had started with the largest.
func (m *firstModels) record(route string, gain float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.routes[route]
	if !ok {
		r = &routeGain{gain: gain}
		m.routes[route] = r
	}
	r.gain += gainWeight * (gain - r.gain)
	r.samples++
}

// recordRoom records whether some endpoint had room for the largest model.
func (m *firstModels) recordRoom(route string, room bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.routes[route]; ok {
		r.noRoom = !room
	}
}

// startWithLargest reports whether a request starts with the largest model.
func (m *firstModels) startWithLargest(route string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.routes[route]
	return ok && !r.noRoom && r.samples >= minGainSamples && r.gain > minGain && rand.Float64() >= smallestProbeFraction
}
