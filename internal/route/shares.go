package route

import (
	"slices"
	"time"

	"quaybarrow/internal/prefill"
)

// SharesCapacity reports whether one workspace can fill an engine that others need: some engine service
// has fewer slots per engine than there are workspaces, and runs requests that can wait beside requests
// that can't.
func (t *Table) SharesCapacity() bool { return t.shares }

// sharesCapacity computes the result of Table.SharesCapacity.
func sharesCapacity(d Declaration) bool {
	objectives := objectivesByService(d.Routes)
	return slices.ContainsFunc(d.Services, func(s Service) bool {
		o, ok := objectives[s.Name]
		return ok && s.Slots > 0 && s.Slots < len(d.Workspaces) && o.longest >= prefill.MinObjectiveRatio*o.shortest
	})
}

// ShortestObjective returns the shortest objective of the routes to a service; 0 if none states one.
func (t *Table) ShortestObjective(service string) time.Duration {
	return t.objectives[service].shortest
}

// objectiveRange holds the shortest and the longest objective of a service's routes.
type objectiveRange struct{ shortest, longest time.Duration }

// objectivesByService returns the range of objectives by service. Each target of a route counts; routes
// without an objective don't.
func objectivesByService(routes []Route) map[string]objectiveRange {
	ranges := map[string]objectiveRange{}
	for _, r := range routes {
		if r.Objective <= 0 {
			continue
		}
		for _, t := range r.Targets {
			o, ok := ranges[t.Service]
			if !ok {
				o = objectiveRange{shortest: r.Objective, longest: r.Objective}
			}
			ranges[t.Service] = objectiveRange{shortest: min(o.shortest, r.Objective), longest: max(o.longest, r.Objective)}
		}
	}
	return ranges
}
