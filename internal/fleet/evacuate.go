package fleet

import (
	"maps"
	"slices"

	"quaybarrow/internal/clock"
)

// Evacuate sets the evacuated data halls. No new requests go to their endpoints, including those
// that are listed later; running requests end there. Endpoints of halls that return to use are
// cold: they may have been cold since before, and no request was sent to them meanwhile.
func (f *Fleet) Evacuate(halls []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	before := f.evacuated
	f.evacuated = map[string]clock.Instant{}
	for _, hall := range halls {
		since, known := before[hall]
		if !known {
			since = now
		}
		f.evacuated[hall] = since
	}
	for _, m := range f.members {
		if _, wasEvacuated := before[m.Hall]; wasEvacuated && !f.inEvacuatedHall(m) {
			f.markCold(m, f.coldLimits(m.Service).duration, now)
		}
	}
}

// inEvacuatedHall reports whether an endpoint is in an evacuated data hall; the caller holds mu.
func (f *Fleet) inEvacuatedHall(m *member) bool {
	_, ok := f.evacuated[m.Hall]
	return ok
}

// Evacuation is an evacuated data hall, and when this host learned of the evacuation.
type Evacuation struct {
	Hall  string
	Since clock.Instant
}

// Evacuations lists the evacuated data halls in order.
func (f *Fleet) Evacuations() []Evacuation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Evacuation
	for _, hall := range slices.Sorted(maps.Keys(f.evacuated)) {
		list = append(list, Evacuation{Hall: hall, Since: f.evacuated[hall]})
	}
	return list
}

// AllEvacuated reports whether a service has endpoints and all of them are in evacuated data halls:
// no endpoint runs its requests until a hall returns to use.
func (f *Fleet) AllEvacuated(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.endpointsOf(service)
	return len(list) > 0 && !slices.ContainsFunc(list, func(m *member) bool { return !f.inEvacuatedHall(m) })
}
