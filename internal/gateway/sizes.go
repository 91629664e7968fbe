package gateway

import "sync"

// sizes are the mean sizes of requests, by route; safe for use at once.
type sizes struct {
	mu    sync.Mutex // guards all below
	means map[string]float64
}

// Parameters of sizes.
const (
	// outPerIn is how many tokens of a prompt a token of the answer counts as, as the
	// users tell.
	outPerIn = 10
	// sizeStep weighs a request in the mean: some hundred count.
	sizeStep = 0.01
)

func newSizes() *sizes { return &sizes{means: map[string]float64{}} }

// relative takes in a request's size and returns it relative to the mean of its route.
func (s *sizes) relative(route string, in, out int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := float64(in + outPerIn*out)
	mean, ok := s.means[route]
	if !ok {
		mean = size
	}
	mean += sizeStep * (size - mean)
	s.means[route] = mean
	if mean == 0 {
		return 1
	}
	return size / mean
}
