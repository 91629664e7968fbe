package fleet

import (
	"math"
	"slices"

	"quaybarrow/internal/clock"
)

// Focus restricts requests to some of the endpoints that suit them, so that these carry more load than
// if all did. It is a preference: requests go to the other endpoints where the chosen ones have no free
// slot or do not respond. The zero value prefers none.
type Focus struct {
	Key      uint64  // selects the endpoints; hosts with the same key and list select the same
	Fraction float64 // of the endpoints; at least one is selected
}

// maxFocusLoad is the load, as a fraction of the slots, up to which an endpoint in focus is preferred.
const maxFocusLoad = 0.6

// Select returns the seeds of the endpoints in focus; nil if no endpoint is preferred.
func (f Focus) Select(seeds []uint64) []uint64 {
	n := max(1, int(math.Ceil(f.Fraction*float64(len(seeds)))))
	if f.Fraction <= 0 || n >= len(seeds) {
		return nil
	}
	byWeight := slices.Clone(seeds)
	slices.SortFunc(byWeight, func(a, b uint64) int {
		switch x, y := RendezvousWeight(f.Key, a), RendezvousWeight(f.Key, b); {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
	return byWeight[:n]
}

// focusedChoice is the best endpoint in focus that has been considered.
type focusedChoice struct {
	seeds         []uint64 // of the endpoints in focus
	member        *member  // nil if none may be used
	prefillTokens int
	score         float64
}

// consider takes an endpoint with a score if it is in focus, below maxFocusLoad and better than the last.
func (c *focusedChoice) consider(m *member, score, load float64, prefillTokens int) {
	if load >= maxFocusLoad || (c.member != nil && score >= c.score) || !slices.Contains(c.seeds, m.seed) {
		return
	}
	c.member, c.prefillTokens, c.score = m, prefillTokens, score
}

// replace makes the endpoint the choice if there is one.
func (c *focusedChoice) replace(best *choice) {
	if c.member != nil {
		best.member, best.prefillTokens, best.score = c.member, c.prefillTokens, c.score
	}
}

// inFocus returns the seeds of the healthy endpoints of a list that a request prefers.
func (f *Fleet) inFocus(list []*member, req Request, now clock.Instant) []uint64 {
	if req.Focus.Fraction <= 0 {
		return nil
	}
	var seeds []uint64
	for _, m := range list {
		if f.suits(m, req) && m.tierFor(req, now) == tierHealthy {
			seeds = append(seeds, m.seed)
		}
	}
	return req.Focus.Select(seeds)
}
