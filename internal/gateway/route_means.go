package gateway

import "sync"

// meanWeight is the weight of a new value in a smoothed mean: about the last hundred values count.
const meanWeight = 0.01

// routeMeans holds an exponentially smoothed mean per route. It is safe for concurrent use.
type routeMeans struct {
	mu     sync.Mutex // guards all below
	values map[string]float64
}

func newRouteMeans() *routeMeans { return &routeMeans{values: map[string]float64{}} }

// add adds a value to a route's mean and returns the updated mean.
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

// mean returns a route's mean, 0 before its first value.
func (m *routeMeans) mean(route string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[route]
}
