package route

import (
	"slices"
	"time"
)

// minObjectiveRatio is how many times the shortest objective the longest one of an engine service has to be
// for its longer requests to be held back in favor of the shorter ones.
const minObjectiveRatio = 2

// sharesCapacity reports whether some engine service of a declaration is such that one workspace can fill an
// engine, and that requests that can wait run beside requests that can't.
func sharesCapacity(d Declaration) bool {
	for _, s := range d.Services {
		if s.Slots > 0 && s.Slots < len(d.Workspaces) && unlikeObjectives(d, s.Name) {
			return true
		}
	}
	return false
}

// ShortestObjective returns the shortest objective of the routes to a service; 0 if none states one.
func (t *Table) ShortestObjective(service string) time.Duration { return t.shortest[service] }

// unlikeObjectives reports whether the objectives of a service's routes differ by minObjectiveRatio.
func unlikeObjectives(d Declaration, service string) bool {
	shortest, longest := d.objectives(service)
	return shortest > 0 && longest >= minObjectiveRatio*shortest
}

// objectives returns the shortest and the longest objective of a service's routes; 0 if none states one.
func (d Declaration) objectives(service string) (shortest, longest time.Duration) {
	for _, r := range d.Routes {
		if r.Objective <= 0 || !r.targets(service) {
			continue
		}
		if shortest == 0 || r.Objective < shortest {
			shortest = r.Objective
		}
		longest = max(longest, r.Objective)
	}
	return shortest, longest
}

// targets reports whether a route sends requests to a service.
func (r Route) targets(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}
