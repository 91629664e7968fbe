package gateway

import (
	"math/rand/v2"
	"sync"
)

// beginnings tell, by route, whether requests do better if they begin with the largest
// model; safe for use at once. Where nearly all answers of the smallest are dropped,
// its runs are waste and the larger answer comes later for them.
type beginnings struct {
	mu     sync.Mutex // guards all below
	routes map[string]*beginning
}

// Parameters of beginnings.
const (
	// beginStep weighs an answer of the smallest model, beginLeast of them say
	// something; a host of a small deployment sees so many of a route in 15 seconds.
	beginStep  = 0.05
	beginLeast = 16
	// beginMargin is how much better the largest has to be, as a part of the answer's
	// worth: below, the priors of what is right say more than the answers.
	beginMargin = 0.02
	// beginProbe of the requests begin with the smallest model all the same, so that a
	// change is noticed.
	beginProbe = 0.1
)

// beginning is how much better requests of a route do that begin with the largest
// model, smoothed.
type beginning struct {
	better float64
	n      int
}

func newBeginnings() *beginnings { return &beginnings{routes: map[string]*beginning{}} }

// note takes in what an answer of the smallest model told: how much better the request
// would have done if it had begun with the largest.
func (b *beginnings) note(route string, better float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.routes[route]
	if !ok {
		r = &beginning{better: better}
		b.routes[route] = r
	}
	r.better += beginStep * (better - r.better)
	r.n++
}

// largest reports whether a request begins with the largest model.
func (b *beginnings) largest(route string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.routes[route]
	return ok && r.n >= beginLeast && r.better > beginMargin && rand.Float64() >= beginProbe
}
