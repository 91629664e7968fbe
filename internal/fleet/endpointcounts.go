package fleet

import (
	"maps"
	"slices"

	"quaybarrow/internal/capacity"
)

// EndpointCounts counts the endpoints of a service that take requests, by data hall. Endpoints of a
// version other than the one in force are counted separately, unless that version is empty.
func (f *Fleet) EndpointCounts(service, inForce string) map[string]capacity.EndpointCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]capacity.EndpointCounts{}
	for _, m := range f.endpointsOf(service) {
		s := counts[m.Hall]
		switch {
		case m.draining() || !m.lapsesAt.IsZero():
		case m.Spot:
			s.Spot++
		case inForce != "" && m.Version != inForce:
			s.Newer++
		default:
			s.Ordinary++
		}
		counts[m.Hall] = s
	}
	return counts
}

// Evacuated lists the names of the evacuated data halls in order.
func (f *Fleet) Evacuated() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.evacuated))
}
