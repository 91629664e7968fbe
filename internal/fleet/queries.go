package fleet

import (
	"cmp"
	"slices"
)

// Size returns the number of endpoints that take requests.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		if !m.draining() {
			n++
		}
	}
	return n
}

// Count returns the number of listed endpoints of a service.
func (f *Fleet) Count(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.endpointsOf(service))
}

// Services returns the names of the services that have endpoints.
func (f *Fleet) Services() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := make([]string, 0, len(f.byService))
	for name := range f.byService {
		names = append(names, name)
	}
	return names
}

// Versions counts the endpoints of a service that take requests, by version.
func (f *Fleet) Versions(service string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, m := range f.endpointsOf(service) {
		if !m.draining() {
			counts[m.Version]++
		}
	}
	return counts
}

// Listed returns the listed endpoint of an instance.
func (f *Fleet) Listed(instance string) (Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.instances[instance]
	if !ok {
		return Endpoint{}, false
	}
	return m.Endpoint, true
}

// Serves reports whether this start of an endpoint is listed and not draining.
func (f *Fleet) Serves(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	return ok && !m.draining()
}

// HasModel reports whether a healthy endpoint of a service has a model.
func (f *Fleet) HasModel(service, model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	for _, m := range f.endpointsOf(service) {
		if f.usable(m, Request{Model: model}) && m.tier(now) < tierEjected {
			return true
		}
	}
	return false
}

// InFlight returns the number of this host's requests at an endpoint.
func (f *Fleet) InFlight(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		return m.inFlight
	}
	return 0
}

// View lists all endpoints by ID, for operators.
func (f *Fleet) View() []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	list := make([]Status, 0, len(f.members))
	for _, m := range f.members {
		s := Status{Endpoint: m.Endpoint, Models: m.models, InFlight: m.inFlight, Others: m.others}
		s.Draining = m.draining()
		s.Evacuated = f.inEvacuatedHall(m)
		if m.warmUp.cold(now) {
			s.ColdSince, s.ColdFor = m.warmUp.coldSince, max(0, m.warmUp.coldUntil.Sub(now))
		}
		s.Ready = !s.Draining && m.tier(now) < tierEjected
		s.Limit, s.Notices = m.limitStatus(now), m.notices.status(now)
		if !m.loadAt.IsZero() {
			s.Age = now.Sub(m.loadAt)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
