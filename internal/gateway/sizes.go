package gateway

import (
	"sync"
	"time"
)

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

// spans are the mean times that answers take from their first event on, by route; safe
// for use at once.
type spans struct {
	mu    sync.Mutex // guards all below
	means map[string]time.Duration
}

func newSpans() *spans { return &spans{means: map[string]time.Duration{}} }

// add takes in an answer's time.
func (s *spans) add(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.means[route]
	if !ok {
		mean = took
	}
	s.means[route] = mean + time.Duration(sizeStep*float64(took-mean))
}

// mean is the mean time of a route's answers; 0 before the first.
func (s *spans) mean(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.means[route]
}

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
