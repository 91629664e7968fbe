package fleet

import (
	"maps"
	"slices"

	"quaybarrow/internal/clock"
)

// Evacuate takes in which data halls are evacuated: nothing new goes to their endpoints,
// also to those that are listed later. What runs there ends there. Endpoints of halls that
// are taken back are cold: they may have been so since before, and were not asked.
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

// inEvacuatedHall reports whether an endpoint stands in an evacuated data hall; the caller holds mu.
func (f *Fleet) inEvacuatedHall(m *member) bool {
	_, ok := f.evacuated[m.Hall]
	return ok
}

// Evacuation is a data hall that is evacuated, and when this host heard of it.
type Evacuation struct {
	Hall  string
	Since clock.Instant
}

// Evacuations lists the data halls that are evacuated, in order.
func (f *Fleet) Evacuations() []Evacuation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Evacuation
	for _, hall := range slices.Sorted(maps.Keys(f.evacuated)) {
		list = append(list, Evacuation{Hall: hall, Since: f.evacuated[hall]})
	}
	return list
}

// AllEvacuated reports whether a service has endpoints, and all of them stand in evacuated data
// halls: nobody runs its requests until one is taken back.
func (f *Fleet) AllEvacuated(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.endpointsOf(service)
	return len(list) > 0 && !slices.ContainsFunc(list, func(m *member) bool { return !f.inEvacuatedHall(m) })
}
