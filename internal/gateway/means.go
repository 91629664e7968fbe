package gateway

import "sync"

// meanStep weighs a value in a mean: some hundred count.
const meanStep = 0.01

// means are smoothed means of a measure, by route; safe for use at once.
type means struct {
	mu     sync.Mutex // guards all below
	values map[string]float64
}

func newMeans() *means { return &means{values: map[string]float64{}} }

// add takes in a value and returns the mean with it.
func (m *means) add(route string, value float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean, known := m.values[route]
	if !known {
		mean = value
	}
	mean += meanStep * (value - mean)
	m.values[route] = mean
	return mean
}

// of returns a route's mean; 0 before its first value.
func (m *means) of(route string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[route]
}
