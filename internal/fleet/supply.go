package fleet

// Supply is what the endpoints of a service offer now. It is immutable.
type Supply struct {
	Endpoints int     // that take requests
	Slots     float64 // mean of their slots; 0 without endpoints
	Pace      float64 // mean time of work there relative to the usual time; 1 without endpoints
}

// Supply returns what the endpoints of a service offer that take requests now. Those that are draining,
// ejected, in an evacuated data hall or want a pause from this host take none.
func (f *Fleet) Supply(service string) Supply {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	count, slots, pace := 0, 0, 0.0
	for _, m := range f.endpointsOf(service) {
		if m.draining() || f.inEvacuatedHall(m) || m.ejected(now) || m.notices.paused(now) {
			continue
		}
		count++
		slots += m.currentSlots()
		pace += m.pace()
	}
	if count == 0 {
		return Supply{Pace: 1}
	}
	n := float64(count)
	return Supply{Endpoints: count, Slots: float64(slots) / n, Pace: pace / n}
}

// currentSlots returns the slots that the endpoint reported last, or else those of its entry.
func (m *member) currentSlots() int {
	if m.reported.Slots > 0 {
		return m.reported.Slots
	}
	return m.slots()
}
