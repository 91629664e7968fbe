package gateway

import "sync"

// meanWeight weighs a value in a mean: some hundred count.
const meanWeight = 0.01

// routeMeans are smoothed routeMeans of a measure, by route; safe for use at once.
type routeMeans struct {
	mu     sync.Mutex // guards all below
	values map[string]float64
}

func newRouteMeans() *routeMeans { return &routeMeans{values: map[string]float64{}} }

// add takes in a value and returns the mean with it.
func (m *routeMeans) add(route string, value float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean, known := m.values[route]
	if !known {
		mean = value
	}
	mean += meanWeight * (value - mean)
	m.values[route] = mean
	return mean
}

// mean returns a route's mean; 0 before its first value.
func (m *routeMeans) mean(route string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[route]
}
